package app

import (
	"context"
	"time"

	"buckthornpin"
	platf "buckthornpin/platform"
	"buckthornpin/site"
	"buckthornpin/wire"
)

// platformControl passes the requests of the hosting platform's operators and
// endpoints on to the control group and the directory.
type platformControl struct {
	process *PlatformProcess
}

// PutSite implements platf.Control.
func (c *platformControl) PutSite(ctx context.Context, s site.Configuration, document []byte) error {
	if s.Version <= c.process.replica.SiteVersion() {
		return nil
	}
	_, err := putSite(ctx, c.process.client, s, document, wire.SiteFormat_SITE_FORMAT_UNSPECIFIED)
	return err
}

// ReadSite implements platf.Control.
func (c *platformControl) ReadSite(ctx context.Context) (int64, []byte, error) {
	s, err := c.process.client.ReadSite(ctx)
	if err != nil || s.GetFormat() != wire.SiteFormat_SITE_FORMAT_OWN {
		return s.GetVersion(), s.GetDocument(), err
	}
	own, err := decodeSite(s)
	if err != nil {
		return 0, nil, err
	}
	return s.GetVersion(), platf.EncodeConfiguration(own), nil
}

// Announce implements platf.Control. The announcement that an endpoint is
// leaving is passed on to the reachable processes before it is acknowledged.
func (c *platformControl) Announce(ctx context.Context, e buckthornpin.Endpoint) error {
	e.SeenAt = time.Now()
	c.process.directory.Put(e)
	if e.Leaving {
		return c.process.mesh.ConfirmLeaving(ctx, e.ID)
	}
	return nil
}

// Leave implements platf.Control.
func (c *platformControl) Leave(ctx context.Context, id string, incarnation int64) error {
	return c.process.mesh.Leave(ctx, id, incarnation)
}
