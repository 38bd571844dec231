package stand

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// defaultTokens is the number of tokens of an answer without the directive @tokens.
const defaultTokens = 16

// Faults holds the directives of a request: words such as @break_at=10 in its messages.
// Tokens are counted from 0; a fault at -1 never happens.
type Faults struct {
	// Tokens is the number of tokens of the answer.
	Tokens int
	// BreakAt is the token at which the connection of the first attempt breaks.
	BreakAt int
	// SilentAt is the token at which the first attempt stops sending and keeps the
	// connection open.
	SilentAt int
	// CrashAt is the token at which the endpoint crashes, in every attempt.
	CrashAt int
	// TruncateAt is the token at which the first attempt ends without the end mark.
	TruncateAt int
	// ForeignFrameAt is the token at which the first attempt sends a frame of another
	// request.
	ForeignFrameAt int
	// RepeatAt is the token that the first attempt sends twice.
	RepeatAt int
	// TokenInterval is the time between two tokens; if 0, the endpoint's own.
	TokenInterval time.Duration
}

// Faults parses the directives in a prompt. Its error is of KindFault.
func (p Prompt) Faults() (Faults, error) {
	f := Faults{Tokens: defaultTokens, BreakAt: -1, SilentAt: -1, CrashAt: -1, TruncateAt: -1, ForeignFrameAt: -1, RepeatAt: -1}
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

// set parses a directive, without its @, and sets its field.
func (f *Faults) set(directive string) error {
	name, value, _ := strings.Cut(directive, "=")
	fields := map[string]*int{
		"tokens": &f.Tokens, "break_at": &f.BreakAt, "silent_at": &f.SilentAt, "crash_at": &f.CrashAt,
		"short_at": &f.TruncateAt, "alien_at": &f.ForeignFrameAt, "repeat_at": &f.RepeatAt,
	}
	n, err := strconv.Atoi(value)
	if name == "pace_ms" && err == nil {
		f.TokenInterval = time.Duration(n) * time.Millisecond
		return nil
	}
	field, ok := fields[name]
	if !ok || err != nil || n < 0 {
		return &Error{Op: "read directive", Kind: KindFault, Err: errors.Errorf("@%s: expected a known name and a number", directive)}
	}
	*field = n
	return nil
}
