package buckthornpin

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Policy is the replicated configuration, which operators can change while the
// system runs. It is immutable once decoded.
type Policy struct {
	// DefaultMaxTokens is the output cap of a request that sets none, in tokens.
	DefaultMaxTokens int `json:"default_max_tokens"`
	// MaxTokens is the largest output cap that a request gets, in tokens.
	MaxTokens int `json:"max_tokens"`
	// MaxDeadlineMS is the longest deadline of a request, in milliseconds.
	MaxDeadlineMS int64 `json:"max_deadline_ms"`
	// Services holds the rules for plain services.
	Services []ServiceRule `json:"services"`
	// DeniedEndpoints lists the endpoints that get no new work.
	DeniedEndpoints []string `json:"denied_endpoints"`
}

// ServiceRule sets the price and the retry policy of one plain service.
type ServiceRule struct {
	Name string `json:"name"`
	// Cost is the price of one call, in tokens.
	Cost Tokens `json:"cost"`
	// NonIdempotent says that a call runs at most once, even if the caller
	// declares it idempotent.
	NonIdempotent bool `json:"non_idempotent"`
}

// DefaultServiceCost is the price of a call to a service without a rule, in
// tokens.
const DefaultServiceCost Tokens = 1

// DefaultPolicy is in force until the first configuration is accepted.
func DefaultPolicy() Policy {
	return Policy{
		DefaultMaxTokens: 1024,
		MaxTokens:        16384,
		MaxDeadlineMS:    (10 * time.Minute).Milliseconds(),
	}
}

// DecodePolicy decodes and validates the content of a configuration. Fields that
// the content omits keep their defaults; unknown fields are errors.
func DecodePolicy(content string) (Policy, error) {
	p := DefaultPolicy()
	d := json.NewDecoder(bytes.NewReader([]byte(content)))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return p, errors.Wrap(err, "configuration")
	}
	return p, p.check()
}

func (p Policy) check() error {
	var problems []error
	if p.MaxTokens < 1 || p.MaxTokens > 1<<20 {
		problems = append(problems, errors.Errorf("max_tokens: %d: expected 1 to %d", p.MaxTokens, 1<<20))
	}
	if p.DefaultMaxTokens < 1 || p.DefaultMaxTokens > p.MaxTokens {
		problems = append(problems, errors.Errorf("default_max_tokens: %d: expected 1 to max_tokens", p.DefaultMaxTokens))
	}
	if p.MaxDeadlineMS < 100 || p.MaxDeadlineMS > (10*time.Minute).Milliseconds() {
		problems = append(problems, errors.Errorf("max_deadline_ms: %d: expected 100 to 600000", p.MaxDeadlineMS))
	}
	seen := map[string]bool{}
	for _, s := range p.Services {
		if s.Name == "" || s.Cost < 1 || !IsTokenCount(int64(s.Cost)) || seen[s.Name] {
			problems = append(problems, errors.Errorf("services: %q with cost %d: expected a name that stands once and a cost of at least 1 and at most %d", s.Name, s.Cost, MaxTokens))
		}
		seen[s.Name] = true
	}
	return errors.Join(problems...)
}

// ServiceRule returns the rule for a plain service, or the default rule if there is
// none.
func (p Policy) ServiceRule(name string) ServiceRule {
	for _, s := range p.Services {
		if s.Name == name {
			return s
		}
	}
	return ServiceRule{Name: name, Cost: DefaultServiceCost}
}

// OutputCap returns the output cap, in tokens, of a request that asks for a cap of
// n; 0 means that it asks for none.
func (p Policy) OutputCap(n int) int {
	if n <= 0 {
		return p.DefaultMaxTokens
	}
	return min(n, p.MaxTokens)
}
