package stand

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// defaultTokens is the length of an answer whose request names none.
const defaultTokens = 16

// Faults are the directives of a request: words like @break_at=10 in its
// messages.
type Faults struct {
	// Tokens is the length of the answer.
	Tokens int
	// BreakAt breaks the connection of the first attempt at a token.
	BreakAt int
	// SilentAt stops sending at a token of the first attempt and keeps the
	// connection open.
	SilentAt int
	// CrashAt ends the stand-in at a token of each attempt.
	CrashAt int
	// ShortAt ends the first attempt at a token without the end mark.
	ShortAt int
	// AlienAt sends a frame of another request at a token of the first attempt.
	AlienAt int
	// RepeatAt sends a token of the first attempt twice.
	RepeatAt int
	// Pace is the time between tokens; 0 is the stand-in's own.
	Pace time.Duration
}

// Faults reads the directives of a prompt.
func (p Prompt) Faults() (Faults, error) {
	f := Faults{Tokens: defaultTokens, BreakAt: -1, SilentAt: -1, CrashAt: -1, ShortAt: -1, AlienAt: -1, RepeatAt: -1}
	for _, m := range p.Messages {
		for _, w := range strings.Fields(m.Content) {
			if !strings.HasPrefix(w, "@") {
				continue
			}
			if err := f.set(w[1:]); err != nil {
				return f, err
			}
		}
	}
	return f, nil
}

func (f *Faults) set(directive string) error {
	name, value, _ := strings.Cut(directive, "=")
	numbers := map[string]*int{
		"tokens": &f.Tokens, "break_at": &f.BreakAt, "silent_at": &f.SilentAt, "crash_at": &f.CrashAt,
		"short_at": &f.ShortAt, "alien_at": &f.AlienAt, "repeat_at": &f.RepeatAt,
	}
	n, err := strconv.Atoi(value)
	if name == "pace_ms" && err == nil {
		f.Pace = time.Duration(n) * time.Millisecond
		return nil
	}
	field, ok := numbers[name]
	if !ok || err != nil || n < 0 {
		return &Error{Op: "read directive", Kind: KindFault, Err: errors.Errorf("@%s: expected a known name and a number", directive)}
	}
	*field = n
	return nil
}
