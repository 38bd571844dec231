package buckthornpin

import (
	"math"
	"strconv"

	"github.com/go-faster/errors"
)

// StatedLimit is what an answer says of the requests that its endpoint takes from all
// routers together.
type StatedLimit struct {
	// Stated is false if the answer names no limit.
	Stated bool
	// PerSecond is the number of requests a second.
	PerSecond float64
	// Err is set if the limit that the answer names can't be read.
	Err error
}

// ParseStatedLimit parses a decimal number of requests a second; "" states no limit.
func ParseStatedLimit(text string) StatedLimit {
	if text == "" {
		return StatedLimit{}
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0) {
		err = errors.Errorf("limit of %q requests a second", text)
	}
	return StatedLimit{Stated: true, PerSecond: perSecond, Err: err}
}
