package oper

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"

	"buckthornpin/site"
)

// SiteResult is the answer to a site's configuration that was put.
type SiteResult struct {
	// Version is the one in force: that of the configuration, or a higher one.
	Version int64 `json:"version"`
}

// putSite takes a site's configuration. The highest version wins; an equal or
// lower one is acknowledged and changes nothing.
func (s *Server) putSite(ctx iris.Context) {
	document, err := ctx.GetBody()
	if err != nil {
		s.problem(ctx, http.StatusBadRequest, err.Error())
		return
	}
	c, err := site.Decode(document)
	if err != nil {
		s.problem(ctx, http.StatusBadRequest, err.Error())
		return
	}
	wait, cancel := context.WithTimeout(ctx.Request().Context(), controlTimeout)
	defer cancel()
	version, err := s.Site.PutSite(wait, c)
	if err != nil {
		s.problem(ctx, http.StatusServiceUnavailable, "the configuration may or may not have been accepted; send it again: "+err.Error())
		return
	}
	_ = ctx.JSON(SiteResult{Version: version})
}

// readSite answers with the newest configuration or, where that isn't certain,
// with 503.
func (s *Server) readSite(ctx iris.Context) {
	wait, cancel := context.WithTimeout(ctx.Request().Context(), controlTimeout)
	defer cancel()
	c, err := s.Site.ReadSite(wait)
	if errors.Is(err, &Error{Kind: KindNotFound}) {
		s.problem(ctx, http.StatusNotFound, "there is no configuration yet")
		return
	}
	if err != nil {
		s.problem(ctx, http.StatusServiceUnavailable, err.Error())
		return
	}
	_ = ctx.JSON(c)
}

// PutSite puts a site's configuration in force unless a higher version is, and
// returns the version in force.
func (c *Client) PutSite(ctx context.Context, s site.Configuration) (int64, error) {
	document, err := site.Encode(s)
	if err != nil {
		return 0, err
	}
	var r SiteResult
	_, err = c.call(ctx, http.MethodPut, SitePath, document, func(data []byte) error { return json.Unmarshal(data, &r) })
	return r.Version, err
}

// ReadSite returns the newest configuration of the site.
func (c *Client) ReadSite(ctx context.Context) (site.Configuration, error) {
	return fetch[site.Configuration](ctx, c, SitePath)
}
