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

// memorySite is a SiteControl that keeps the configuration with the highest version, as
// the control group does.
type memorySite struct {
	current  site.Configuration
	noQuorum bool
}

func (m *memorySite) PutSite(_ context.Context, c site.Configuration) (int64, error) {
	if m.noQuorum {
		return 0, errors.New("no quorum")
	}
	if c.Version > m.current.Version {
		m.current = c
	}
	return m.current.Version, nil
}

func (m *memorySite) ReadSite(context.Context) (site.Configuration, error) {
	if m.noQuorum {
		return site.Configuration{}, errors.New("no quorum")
	}
	if m.current.Version == 0 {
		return site.Configuration{}, &Error{Op: "read site", Kind: KindNotFound}
	}
	return m.current, nil
}

func serveSite(t *testing.T, m *memorySite) *Client {
	t.Helper()
	s := &Server{
		Site: m, Timeline: &event.Timeline{Clock: &event.Clock{}}, IsOperatorKey: func(hash string) bool { return hash == "key" },
		HashKey: func(key string) string { return key },
	}
	handler, err := s.Handler()
	require.NoError(t, err)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return &Client{HTTP: http.DefaultClient, URL: server.URL, Key: "key"}
}

// configuration returns a small configuration with version n.
func configuration(n int64) site.Configuration {
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

// TestSite checks that the highest version wins and that reading returns it.
func TestSite(t *testing.T) {
	m := &memorySite{}
	c := serveSite(t, m)
	_, err := c.ReadSite(t.Context())
	requireKind(t, KindNotFound, err)

	for _, step := range []struct{ put, inForce int64 }{{3, 3}, {2, 3}, {3, 3}, {9, 9}} {
		v, err := c.PutSite(t.Context(), configuration(step.put))
		require.NoError(t, err)
		require.Equal(t, step.inForce, v)
	}
	got, err := c.ReadSite(t.Context())
	require.NoError(t, err)
	require.Equal(t, configuration(9), got)
}

// TestSiteRefuses checks the kinds of errors of an invalid configuration, a lost quorum and
// a wrong key.
func TestSiteRefuses(t *testing.T) {
	m := &memorySite{}
	c := serveSite(t, m)
	invalid := configuration(1)
	invalid.Routes[0].Timeout = 0
	invalid.Routes[0].Shares[0].Service = "gone"
	_, err := c.PutSite(t.Context(), invalid)
	requireKind(t, KindInvalid, err)
	require.ErrorContains(t, err, "timeout 0s")
	require.ErrorContains(t, err, `service "gone" isn't known`)

	m.noQuorum = true
	_, err = c.PutSite(t.Context(), configuration(1))
	requireKind(t, KindUnavailable, err)
	_, err = c.ReadSite(t.Context())
	requireKind(t, KindUnavailable, err)

	c.Key = "other"
	_, err = c.ReadSite(t.Context())
	requireKind(t, KindUnauthorised, err)
}
