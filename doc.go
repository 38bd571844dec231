// Package buckthornpin defines the types and interfaces that all packages of the
// router fleet share. The packages below it hold the implementations.
package buckthornpin
