package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func validConfiguration() Configuration {
	return Configuration{
		Version:  3,
		Services: []Service{{Name: "llm"}, {Name: "llm-new"}, {Name: "records"}},
		Routes: []Route{
			{Name: "all", Host: "a.example", PathPrefix: "/", Kind: KindIdempotent, Timeout: time.Second, Shares: []Share{{"records", 1}}},
			{Name: "chat", Host: "a.example", PathPrefix: "/chat/", Kind: KindStream, Timeout: time.Second, Shares: []Share{{"llm", 90}, {"llm-new", 10}}},
			{Name: "deep", Host: "a.example", PathPrefix: "/chat/deep/", Kind: KindStream, Timeout: time.Second, Shares: []Share{{"llm", 1}}},
		},
		Organisations: []Organisation{{Name: "fleet", Keys: []string{"k1", "k2"}, Prepaid: 10}, {Name: "port", Keys: []string{"k3"}}},
	}
}

func TestRoute(t *testing.T) {
	table := NewTable(validConfiguration())
	cases := []struct{ host, path, want string }{
		{"a.example", "/chat/x", "chat"},
		{"A.EXAMPLE:8080", "/chat/deep/x", "deep"},
		{"a.example", "/chat", "all"},
		{"a.example", "/chatty/x", "all"},
		{"a.example", "/", "all"},
	}
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			require.Equal(t, c.want, table.Route(c.host, c.path).Name)
		})
	}
	require.Nil(t, table.Route("b.example", "/chat/x"))
}

func TestKeyOwner(t *testing.T) {
	table := NewTable(validConfiguration())
	require.Equal(t, "fleet", table.KeyOwner("k2").Name)
	require.Nil(t, table.KeyOwner("k4"))
	require.Nil(t, table.KeyOwner(""))
}

func TestPickFollowsWeights(t *testing.T) {
	r := validConfiguration().Routes[1]
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.PickService(float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"llm": 900, "llm-new": 100}, counts)
}

// TestCheckNamesEveryProblem breaks a valid configuration in one way at a time, then
// in several ways at once, and expects the error to name each problem.
func TestCheckNamesEveryProblem(t *testing.T) {
	valid := validConfiguration()
	require.NoError(t, valid.Check())
	cases := []struct {
		name   string
		mutate func(c *Configuration)
		want   string
	}{
		{"unknown service", func(c *Configuration) { c.Routes[0].Shares[0].Service = "gone" }, `service "gone" isn't known`},
		{"same host and prefix", func(c *Configuration) { c.Routes[1].PathPrefix = "/" }, "host and prefix are those"},
		{"all weights 0", func(c *Configuration) { c.Routes[0].Shares[0].Weight = 0 }, "weights add up to 0"},
		{"no timeout", func(c *Configuration) { c.Routes[0].Timeout = 0 }, "timeout 0s"},
		{"key of two organisations", func(c *Configuration) { c.Organisations[1].Keys = []string{"k1"} }, "share a key"},
		{"kind", func(c *Configuration) { c.Routes[0].Kind = "odd" }, `kind "odd"`},
		{"prefix", func(c *Configuration) { c.Routes[1].PathPrefix = "/chat" }, "slashes at both ends"},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			c := validConfiguration()
			x.mutate(&c)
			require.ErrorContains(t, c.Check(), x.want)
		})
	}
	broken := validConfiguration()
	for _, x := range cases[2:5] {
		x.mutate(&broken)
	}
	for _, x := range cases[2:5] {
		require.ErrorContains(t, broken.Check(), x.want)
	}
}

// TestCheckNames guards against organisations whose names would end the head of a request, and
// against a stored configuration that one of them makes unusable for all others.
func TestCheckNames(t *testing.T) {
	c := validConfiguration()
	require.NoError(t, c.CheckNames())
	c.Organisations[1].Name = "fleet\r\n"
	require.ErrorContains(t, c.CheckNames(), "control character")
	require.NoError(t, c.Check())
}
