package site

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"buckthornpin"
)

// Decode reads and checks a configuration in our own form: JSON with the names of
// this package's fields in snake_case, times such as "1.5s", sizes in bytes or
// tokens. A field that isn't known is a problem; all problems of a document that
// can be read are returned at once.
func Decode(document []byte) (Configuration, error) {
	c := Configuration{}
	d := json.NewDecoder(bytes.NewReader(document))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return Configuration{}, &Error{Op: "decode", Kind: KindInvalid, Err: err}
	}
	if _, err := d.Token(); err != io.EOF {
		return Configuration{}, &Error{Op: "decode", Kind: KindInvalid, Err: errors.New("expected nothing behind the configuration")}
	}
	return c, c.Check()
}

// Encode writes a configuration in our own form.
func Encode(c Configuration) ([]byte, error) {
	document, err := json.Marshal(c)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindInvalid, Err: err}
	}
	return document, nil
}

// unmarshal reads a part of a configuration; a field that isn't known is a
// problem.
func unmarshal(data []byte, part any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(part)
}

// The forms of parts whose times are written as text. Their own fields hide those
// of the same name in the part.
type (
	plainRoute  Route
	plainLimits Limits

	routeForm struct {
		*plainRoute
		Timeout   buckthornpin.Duration `json:"timeout"`
		Objective buckthornpin.Duration `json:"objective"`
		EventGap  buckthornpin.Duration `json:"event_gap"`
	}
	limitsForm struct {
		*plainLimits
		HeaderTimeout buckthornpin.Duration `json:"header_timeout"`
		IdleTimeout   buckthornpin.Duration `json:"idle_timeout"`
	}
)

// MarshalJSON implements json.Marshaler.
func (r Route) MarshalJSON() ([]byte, error) {
	return json.Marshal(routeForm{
		plainRoute: (*plainRoute)(&r), Timeout: buckthornpin.Duration(r.Timeout),
		Objective: buckthornpin.Duration(r.Objective), EventGap: buckthornpin.Duration(r.EventGap),
	})
}

// UnmarshalJSON implements json.Unmarshaler. A route that names no attempts may be
// sent to one endpoint.
func (r *Route) UnmarshalJSON(data []byte) error {
	r.MaxAttempts = 1
	f := routeForm{plainRoute: (*plainRoute)(r)}
	err := unmarshal(data, &f)
	r.Timeout, r.Objective, r.EventGap = f.Timeout.Std(), f.Objective.Std(), f.EventGap.Std()
	return err
}

// MarshalJSON implements json.Marshaler.
func (l Limits) MarshalJSON() ([]byte, error) {
	return json.Marshal(limitsForm{
		plainLimits: (*plainLimits)(&l), HeaderTimeout: buckthornpin.Duration(l.HeaderTimeout), IdleTimeout: buckthornpin.Duration(l.IdleTimeout),
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Limits) UnmarshalJSON(data []byte) error {
	f := limitsForm{plainLimits: (*plainLimits)(l)}
	err := unmarshal(data, &f)
	l.HeaderTimeout, l.IdleTimeout = f.HeaderTimeout.Std(), f.IdleTimeout.Std()
	return err
}

// UnmarshalJSON implements json.Unmarshaler. An organisation that names no prepaid
// total isn't charged.
func (o *Organisation) UnmarshalJSON(data []byte) error {
	type plain Organisation
	o.Prepaid = Unlimited
	return unmarshal(data, (*plain)(o))
}
