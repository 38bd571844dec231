package app

import (
	"crypto/rand"
)

// randomKey returns a key of at least 128 bits.
func randomKey() string { return "bp-" + rand.Text() }
