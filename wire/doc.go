// Package wire holds the messages between buckthornpin's processes and in its
// files. wire.proto is the source of the other files.
package wire

//go:generate buf generate
