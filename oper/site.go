package oper

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"

	"buckthornpin/site"
)

// SiteResult is the reply to a call that puts a site's configuration.
type SiteResult struct {
	// Version is the version in force: that of the configuration, or a higher one.
	Version int64 `json:"version"`
}

// putSite puts a site's configuration in force. The highest version wins: a configuration
// with an equal or lower version is acknowledged and changes nothing.
func (s *Server) putSite(ctx iris.Context) {
	document, err := ctx.GetBody()
	if err != nil {
		s.replyProblem(ctx, http.StatusBadRequest, err.Error())
		return
	}
	c, err := site.Decode(document)
	if err == nil {
		err = c.CheckNames()
	}
	if err != nil {
		s.replyProblem(ctx, http.StatusBadRequest, err.Error())
		return
	}
	controlCtx, cancel := context.WithTimeout(ctx.Request().Context(), controlTimeout)
	defer cancel()
	version, err := s.Site.PutSite(controlCtx, c)
	if err != nil {
		s.replyProblem(ctx, http.StatusServiceUnavailable, "the configuration may or may not have been accepted; send it again: "+err.Error())
		return
	}
	_ = ctx.JSON(SiteResult{Version: version})
}

// readSite replies with the newest configuration, or with status 503 if it isn't certain
// which one is the newest.
func (s *Server) readSite(ctx iris.Context) {
	controlCtx, cancel := context.WithTimeout(ctx.Request().Context(), controlTimeout)
	defer cancel()
	c, err := s.Site.ReadSite(controlCtx)
	if errors.Is(err, &Error{Kind: KindNotFound}) {
		s.replyProblem(ctx, http.StatusNotFound, "there is no configuration yet")
		return
	}
	if err != nil {
		s.replyProblem(ctx, http.StatusServiceUnavailable, err.Error())
		return
	}
	_ = ctx.JSON(c)
}

// PutSite puts a site's configuration in force unless a higher version already is. It
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
	return getJSON[site.Configuration](ctx, c, SitePath)
}
