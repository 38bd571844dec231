package site

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"buckthornpin"
)

// Decode parses and checks a configuration in the product's own JSON format: this
// package's field names in snake_case, durations such as "1.5s", sizes in bytes or
// tokens. Unknown fields are errors. If the document can be parsed, all problems
// that Check finds are returned at once.
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

// Encode returns a configuration in the product's own JSON format.
func Encode(c Configuration) ([]byte, error) {
	document, err := json.Marshal(c)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindInvalid, Err: err}
	}
	return document, nil
}

// unmarshalStrict parses a part of a configuration. Unknown fields are errors.
func unmarshalStrict(data []byte, value any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(value)
}

// Forms of the types whose durations are written as text. Their duration fields
// hide the embedded fields of the same name. The error texts of encoding/json contain
// the names of these types.
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

// UnmarshalJSON implements json.Unmarshaler. MaxAttempts defaults to 1, so that a
// request is sent to one endpoint.
func (r *Route) UnmarshalJSON(data []byte) error {
	r.MaxAttempts = 1
	f := routeForm{plainRoute: (*plainRoute)(r)}
	err := unmarshalStrict(data, &f)
	r.Timeout, r.Objective, r.EventGap = f.Timeout.AsDuration(), f.Objective.AsDuration(), f.EventGap.AsDuration()
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
	err := unmarshalStrict(data, &f)
	l.HeaderTimeout, l.IdleTimeout = f.HeaderTimeout.AsDuration(), f.IdleTimeout.AsDuration()
	return err
}

// UnmarshalJSON implements json.Unmarshaler. Prepaid defaults to Unlimited.
func (o *Organisation) UnmarshalJSON(data []byte) error {
	type plain Organisation
	o.Prepaid = Unlimited
	return unmarshalStrict(data, (*plain)(o))
}
