package buckthornpin

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// MaxPause bounds how long an endpoint that asks for a pause is left alone. After that, one
// request finds out whether it still wants one.
const MaxPause = 5 * time.Minute

// StatedPause is for how long an answer says that its endpoint wants no requests.
type StatedPause struct {
	// For counts from the arrival of the answer; 0 if the answer asks for no pause.
	For time.Duration
	// Err is set if what the answer says can't be read.
	Err error
}

// ParseStatedPause parses the value of a Retry-After header (RFC 9110, section 10.2.3): a
// decimal number of seconds, or a date, which counts from the date of the answer. Negative
// times and dates in the past ask for no pause, and long ones are bounded by MaxPause.
func ParseStatedPause(value, date string, now time.Time) StatedPause {
	value = strings.TrimSpace(value)
	if value == "" {
		return StatedPause{}
	}
	if until, err := http.ParseTime(value); err == nil {
		if sent, err := http.ParseTime(date); err == nil {
			now = sent
		}
		return StatedPause{For: min(max(until.Sub(now), 0), MaxPause)}
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err == nil && math.IsNaN(seconds) {
		err = errors.Errorf("pause of %q seconds", value)
	}
	if err != nil && !math.IsInf(seconds, 0) {
		return StatedPause{Err: err}
	}
	seconds = min(max(seconds, 0), MaxPause.Seconds())
	return StatedPause{For: time.Duration(seconds * float64(time.Second))}
}
