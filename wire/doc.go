// Package wire defines the messages that buckthornpin's processes send each other
// and store in files. Its Go code is generated from wire.proto.
package wire

//go:generate buf generate
