// Package buckthornpin holds the values and interfaces that the parts of the
// router fleet share. Implementations live in the packages below it.
package buckthornpin
