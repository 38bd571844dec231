package app

import (
	"context"
	"time"

	"buckthornpin"
	"buckthornpin/site"
	"buckthornpin/wire"
)

// pushTimeout bounds the wait until processes in touch have heard that an
// endpoint leaves; endpoints wait a second for their acknowledgement.
const pushTimeout = 600 * time.Millisecond

// fleetControl carries what the platform's operators and endpoints ask to the
// control group and the directory.
type fleetControl struct {
	fleet *Fleet
}

// PutSite implements platf.Control.
func (c *fleetControl) PutSite(ctx context.Context, s site.Configuration, document []byte) error {
	put := &wire.PutSite{Version: s.Version, Document: document}
	for _, o := range s.Organisations {
		if o.Prepaid != site.Unlimited {
			put.Totals = append(put.Totals, &wire.OrganisationTotal{Organisation: o.Name, Tokens: o.Prepaid})
		}
	}
	_, err := c.fleet.client.Execute(ctx, []*wire.Command{{Op: &wire.Command_PutSite{PutSite: put}}})
	return err
}

// ReadSite implements platf.Control.
func (c *fleetControl) ReadSite(ctx context.Context) (int64, []byte, error) {
	s, err := c.fleet.client.ReadSite(ctx)
	return s.GetVersion(), s.GetDocument(), err
}

// Announce implements platf.Control. The word that an endpoint leaves is
// acknowledged once the processes in touch have it.
func (c *fleetControl) Announce(ctx context.Context, e buckthornpin.Endpoint) error {
	e.SeenAt = time.Now()
	c.fleet.directory.Put(e)
	if e.Leaving {
		c.push(ctx)
	}
	return nil
}

// Leave implements platf.Control.
func (c *fleetControl) Leave(ctx context.Context, id string) error {
	c.fleet.directory.Leave(id)
	c.push(ctx)
	return nil
}

func (c *fleetControl) push(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	c.fleet.mesh.Push(ctx)
}
