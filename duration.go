package buckthornpin

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Duration is a time span that is written as text in JSON, such as "1.5s".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Errorf("%s: expected a duration such as \"1.5s\"", data)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Errorf("%q: expected a duration such as \"1.5s\"", s)
	}
	*d = Duration(v)
	return nil
}

// AsDuration returns the duration as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }
