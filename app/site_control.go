package app

import (
	"context"

	"github.com/go-faster/errors"

	"buckthornpin/ctrl"
	"buckthornpin/oper"
	platf "buckthornpin/platform"
	"buckthornpin/site"
	"buckthornpin/wire"
)

// decodeSite decodes a site's configuration in the format in which it was sent.
func decodeSite(s *wire.SiteState) (site.Configuration, error) {
	if s.GetFormat() == wire.SiteFormat_SITE_FORMAT_OWN {
		return site.Decode(s.GetDocument())
	}
	return platf.DecodeConfiguration(s.GetDocument())
}

// putSite makes a configuration durable unless one of the same or a higher
// version is already, and returns the version in force.
func putSite(ctx context.Context, c *ctrl.Client, s site.Configuration, document []byte, form wire.SiteFormat) (int64, error) {
	put := &wire.PutSite{Version: s.Version, Document: document, Format: form}
	for _, o := range s.Organisations {
		if o.Prepaid != site.Unlimited {
			put.Totals = append(put.Totals, &wire.OrganisationTotal{Organisation: o.Name, Tokens: o.Prepaid})
		}
	}
	results, err := c.Execute(ctx, []*wire.Command{{Op: &wire.Command_PutSite{PutSite: put}}})
	if err != nil {
		return 0, err
	}
	if results[0].GetKind() != wire.ResultKind_RESULT_KIND_OK {
		return 0, &site.Error{Op: "put", Kind: site.KindInvalid, Err: errors.New(results[0].GetMessage())}
	}
	return results[0].GetVersion(), nil
}

// siteControl stores and reads the site's configuration for this project's own
// operators' interface.
type siteControl struct {
	client *ctrl.Client
}

// PutSite implements oper.SiteControl.
func (c *siteControl) PutSite(ctx context.Context, s site.Configuration) (int64, error) {
	document, err := site.Encode(s)
	if err != nil {
		return 0, err
	}
	return putSite(ctx, c.client, s, document, wire.SiteFormat_SITE_FORMAT_OWN)
}

// ReadSite implements oper.SiteControl.
func (c *siteControl) ReadSite(ctx context.Context) (site.Configuration, error) {
	s, err := c.client.ReadSite(ctx)
	if err != nil {
		return site.Configuration{}, err
	}
	if s.GetVersion() == 0 {
		return site.Configuration{}, &oper.Error{Op: "read site", Kind: oper.KindNotFound}
	}
	return decodeSite(s)
}
