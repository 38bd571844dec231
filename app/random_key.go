package app

import (
	"crypto/rand"
)

// randomKey returns a key with at least 128 random bits.
func randomKey() string { return "bp-" + rand.Text() }
