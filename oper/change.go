package oper

import (
	"github.com/go-faster/errors"

	"buckthornpin"
	"buckthornpin/wire"
)

// CheckChange checks that a command has an id and is one that operators may send, and
// that the content of a configuration can be decoded. Its errors are of KindInvalid.
func CheckChange(c *wire.Command) error {
	if c.GetId() == "" {
		return invalidChange(errors.New("id: expected the id of the change, unique to it"))
	}
	switch op := c.GetOp().(type) {
	case *wire.Command_PutOrganisation, *wire.Command_TopUp, *wire.Command_PutKey:
		return nil
	case *wire.Command_PutConfiguration:
		if _, err := buckthornpin.DecodePolicy(op.PutConfiguration.GetContent()); err != nil {
			return invalidChange(err)
		}
		return nil
	}
	return invalidChange(errors.New("op: expected put_organisation, top_up, put_key or put_configuration"))
}

func invalidChange(err error) error {
	return &Error{Op: "change", Kind: KindInvalid, Err: err}
}
