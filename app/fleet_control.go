package app

import (
	"context"
	"time"

	"buckthornpin"
	platf "buckthornpin/platform"
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
	_, err := putSite(ctx, c.fleet.client, s, document, wire.SiteFormat_SITE_FORMAT_UNSPECIFIED)
	return err
}

// ReadSite implements platf.Control.
func (c *fleetControl) ReadSite(ctx context.Context) (int64, []byte, error) {
	s, err := c.fleet.client.ReadSite(ctx)
	if err != nil || s.GetFormat() != wire.SiteFormat_SITE_FORMAT_OWN {
		return s.GetVersion(), s.GetDocument(), err
	}
	own, err := decodeSite(s)
	if err != nil {
		return 0, nil, err
	}
	return s.GetVersion(), platf.EncodeConfiguration(own), nil
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
	c.fleet.mesh.PushUpdates(ctx)
}
