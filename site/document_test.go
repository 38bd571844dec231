package site

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEncodeDecodeRoundTrip(t *testing.T) {
	c := validConfiguration()
	c.Routes[1].EventGap = 300 * time.Millisecond
	c.Routes[1].MaxAttempts, c.Routes[0].MaxAttempts, c.Routes[2].MaxAttempts = 2, 1, 1
	c.Services[0].Engine = &Engine{Slots: 48, KVCacheTokens: 444000, EventTokens: 6}
	c.Organisations[1].Prepaid = Unlimited
	c.Limits = Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	document, err := Encode(c)
	require.NoError(t, err)
	require.Contains(t, string(document), `"event_gap":"300ms"`)
	decoded, err := Decode(document)
	require.NoError(t, err)
	require.Equal(t, c, decoded)
}

func TestDecodeAppliesDefaults(t *testing.T) {
	c, err := Decode([]byte(`{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"idempotent","shares":[{"service":"s","weight":1}],"timeout":"1s"}],
		"services":[{"name":"s"}],"organisations":[{"name":"o","keys":["k"]}]}`))
	require.NoError(t, err)
	require.Equal(t, Unlimited, c.Organisations[0].Prepaid)
	require.Equal(t, 1, c.Routes[0].MaxAttempts)
}

func TestDecodeRejects(t *testing.T) {
	data, err := os.ReadFile("../examples/site/kingston.json")
	require.NoError(t, err)
	valid := string(data)
	_, err = Decode(data)
	require.NoError(t, err)
	cases := map[string]struct{ old, changed, want string }{
		"unknown field of the configuration": {`"version": 1`, `"version": 1, "routs": []`, "routs"},
		"unknown field of a route":           {`"sticky": true`, `"stiky": true`, "stiky"},
		"unknown field of the limits":        {`"idle_timeout": "15s"`, `"idle_timout": "15s"`, "idle_timout"},
		"unknown field of an organisation":   {`"prepaid": 5000000`, `"paid": 5000000`, "paid"},
		"duration without a unit":            {`"timeout": "8s"`, `"timeout": "8"`, "expected a duration"},
		"duration as a number":               {`"timeout": "8s"`, `"timeout": 8`, "expected a duration"},
		"timeout of 0":                       {`"timeout": "8s"`, `"timeout": "0s"`, "expected more than 0"},
		"truncated document":                 {"\n}\n", "", "unexpected EOF"},
		"text after the document":            {"\n}\n", "\n}{}", "expected nothing behind"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, valid, c.old)
			_, err := Decode([]byte(strings.Replace(valid, c.old, c.changed, 1)))
			require.ErrorContains(t, err, c.want)
		})
	}
}
