package config

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExamples checks that the settings of each VM of both example sites are valid.
func TestExamples(t *testing.T) {
	for _, site := range []string{"laut-suhu", "kingston"} {
		folder := filepath.Join("..", "examples")
		vms, err := filepath.Glob(filepath.Join(folder, "vm", site, "*.json"))
		require.NoError(t, err)
		require.Len(t, vms, 7)
		for _, vm := range vms {
			t.Run(site+"/"+filepath.Base(vm), func(t *testing.T) {
				_, err := Load(filepath.Join(folder, "base.json"), filepath.Join(folder, site+".json"), vm)
				require.NoError(t, err)
			})
		}
	}
}
