package config

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const baseSettings = `{"vm": "vm-1", "zone": "kl-1", "zones": ["kl-1", "kl-2"], "roles": ["router"], "ctrl": {"group": ["127.0.0.1:8083"]}}`

func writeSettings(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestOverlayIsAMergePatch(t *testing.T) {
	s, err := Load(writeSettings(t, baseSettings), writeSettings(t, `{"zone": "kl-2", "endpt": {"silence": "2s"}}`))
	require.NoError(t, err)
	require.Equal(t, "kl-2", s.Zone)
	require.Equal(t, "2s", durationText(t, s.Endpoint.Silence))
	require.Equal(t, Defaults().Caller, s.Caller, "settings that no file contains keep their defaults")
}

func durationText(t *testing.T, d Duration) string {
	t.Helper()
	data, err := d.MarshalJSON()
	require.NoError(t, err)
	return string(data[1 : len(data)-1])
}

func TestLoadReportsAllProblems(t *testing.T) {
	scenarios := []struct {
		description string
		overlay     string
		problems    []string
	}{
		{"an unknown field", `{"calller": {}}`, []string{"calller"}},
		{"a wrong unit", `{"endpt": {"silence": "5 parsecs"}}`, []string{"endpt.silence"}},
		{"a number for a duration", `{"endpt": {"silence": 5}}`, []string{"endpt.silence"}},
		{"a bad address", `{"caller": {"address": "localhost"}}`, []string{"caller.address", "localhost", "IP:PORT"}},
		{"clashing ports", `{"peer": {"address": "127.0.0.1:8080"}}`, []string{"peer.address", "caller.address"}},
		{"an absent zone", `{"zone": "kl-9"}`, []string{"zone", "kl-9"}},
		{"an open address without TLS", `{"caller": {"address": "0.0.0.0:8080"}}`, []string{"caller.address", "tls.enabled"}},
		{"several at once", `{"zone": "kl-9", "roles": ["boss"], "log": {"level": "loud"}}`, []string{"zone", "boss", "loud"}},
		{"a syntax error", "{\n\"zone\": }", []string{"line 2"}},
	}
	for _, s := range scenarios {
		t.Run(s.description, func(t *testing.T) {
			_, err := Load(writeSettings(t, baseSettings), writeSettings(t, s.overlay))
			require.Error(t, err)
			for _, p := range s.problems {
				require.Contains(t, err.Error(), p)
			}
		})
	}
}

func TestDefaultsAreValid(t *testing.T) {
	_, err := Load(writeSettings(t, baseSettings))
	require.NoError(t, err)
}
