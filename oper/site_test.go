package oper

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"buckthornpin/event"
	"buckthornpin/site"
)

// heldSite keeps the highest version, as control does.
type heldSite struct {
	held site.Configuration
	down bool
}

func (h *heldSite) PutSite(_ context.Context, c site.Configuration) (int64, error) {
	if h.down {
		return 0, errors.New("no quorum")
	}
	if c.Version > h.held.Version {
		h.held = c
	}
	return h.held.Version, nil
}

func (h *heldSite) ReadSite(context.Context) (site.Configuration, error) {
	if h.down {
		return site.Configuration{}, errors.New("no quorum")
	}
	if h.held.Version == 0 {
		return site.Configuration{}, &Error{Op: "read site", Kind: KindNotFound}
	}
	return h.held, nil
}

func serveSite(t *testing.T, h *heldSite) *Client {
	t.Helper()
	s := &Server{
		Site: h, Line: &event.Line{Clock: &event.Clock{}}, Operator: func(hash string) bool { return hash == "key" },
		Hash: func(key string) string { return key },
	}
	handler, err := s.Handler()
	require.NoError(t, err)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return &Client{HTTP: http.DefaultClient, URL: server.URL, Key: "key"}
}

func version(n int64) site.Configuration {
	return site.Configuration{
		Version:       n,
		Routes:        []site.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: site.KindIdempotent, Timeout: time.Second, MaxAttempts: 1, Shares: []site.Share{{Service: "s", Weight: 1}}}},
		Services:      []site.Service{{Name: "s"}},
		Organisations: []site.Organisation{{Name: "o", Keys: []string{"k"}, Prepaid: 5}},
	}
}

func requireKind(t *testing.T, kind Kind, err error) {
	t.Helper()
	require.ErrorIs(t, err, &Error{Kind: kind})
}

func TestSite(t *testing.T) {
	h := &heldSite{}
	c := serveSite(t, h)
	_, err := c.ReadSite(t.Context())
	requireKind(t, KindNotFound, err)

	for _, step := range []struct{ put, inForce int64 }{{3, 3}, {2, 3}, {3, 3}, {9, 9}} {
		v, err := c.PutSite(t.Context(), version(step.put))
		require.NoError(t, err)
		require.Equal(t, step.inForce, v)
	}
	back, err := c.ReadSite(t.Context())
	require.NoError(t, err)
	require.Equal(t, version(9), back)
}

func TestSiteRefuses(t *testing.T) {
	h := &heldSite{}
	c := serveSite(t, h)
	bad := version(1)
	bad.Routes[0].Timeout = 0
	bad.Routes[0].Shares[0].Service = "gone"
	_, err := c.PutSite(t.Context(), bad)
	requireKind(t, KindInvalid, err)
	require.ErrorContains(t, err, "timeout 0s")
	require.ErrorContains(t, err, `service "gone" isn't known`)

	h.down = true
	_, err = c.PutSite(t.Context(), version(1))
	requireKind(t, KindUnavailable, err)
	_, err = c.ReadSite(t.Context())
	requireKind(t, KindUnavailable, err)

	c.Key = "other"
	_, err = c.ReadSite(t.Context())
	requireKind(t, KindUnauthorised, err)
}
