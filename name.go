package buckthornpin

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// MaxNameBytes is the length of the longest name that CheckName accepts.
const MaxNameBytes = 1024

// CheckName returns an error unless a name is the same after it was written and read
// back, wherever names are written: in headers, in messages between processes and in
// files. Such a name is valid UTF-8 without control characters, doesn't begin or end
// with a space, and has 1 to MaxNameBytes bytes. A replacement character shows that the
// name was changed when it was read, since decoders put it in place of what they can't
// read.
func CheckName(name string) error {
	switch {
	case name == "":
		return errors.New("name is empty")
	case len(name) > MaxNameBytes:
		return errors.Errorf("name has %d bytes: expected at most %d", len(name), MaxNameBytes)
	case !utf8.ValidString(name) || strings.ContainsRune(name, utf8.RuneError):
		return errors.Errorf("name %q isn't UTF-8", name)
	case strings.ContainsFunc(name, unicode.IsControl):
		return errors.Errorf("name %q has a control character", name)
	case strings.TrimSpace(name) != name:
		return errors.Errorf("name %q begins or ends with a space", name)
	}
	return nil
}
