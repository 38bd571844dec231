package buckthornpin

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDecodePolicy(t *testing.T) {
	scenarios := []struct {
		description, content, problem string
	}{
		{"nothing set", `{}`, ""},
		{"a service", `{"services": [{"name": "permits", "cost": 5, "non_idempotent": true}]}`, ""},
		{"an unknown field", `{"max_tokes": 1}`, "max_tokes"},
		{"a default cap above the maximum", `{"max_tokens": 10, "default_max_tokens": 11}`, "default_max_tokens: 11"},
		{"a duplicate service", `{"services": [{"name": "a", "cost": 1}, {"name": "a", "cost": 2}]}`, `"a" with cost 2`},
		{"a free service", `{"services": [{"name": "a"}]}`, "cost of at least 1"},
		{"a deadline of zero", `{"max_deadline_ms": 0}`, "max_deadline_ms: 0"},
	}
	for _, s := range scenarios {
		t.Run(s.description, func(t *testing.T) {
			_, err := DecodePolicy(s.content)
			if s.problem == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, s.problem)
		})
	}
}

func ExamplePolicy_OutputCap() {
	p, _ := DecodePolicy(`{"default_max_tokens": 100, "max_tokens": 500}`)
	fmt.Println(p.OutputCap(0), p.OutputCap(50), p.OutputCap(9000))
	// Output: 100 50 500
}
