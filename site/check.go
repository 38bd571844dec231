package site

import (
	"strings"

	"github.com/go-faster/errors"

	"buckthornpin"
)

// Check validates the configuration and returns all problems in one Error of
// KindInvalid, or nil.
func (c *Configuration) Check() error {
	k := &checker{services: map[string]bool{}}
	for i := range c.Services {
		k.checkService(&c.Services[i])
	}
	routeNames := map[[2]string]string{}
	for i := range c.Routes {
		k.checkRoute(&c.Routes[i], routeNames)
	}
	k.checkOrganisations(c.Organisations)
	return k.problem("check")
}

// CheckNames returns an error if endpoints can't be told the name of an organisation, which is sent
// in a header. It is for configurations that are put. One that is in force already stays usable,
// since only the requests of that organisation can't be sent.
func (c *Configuration) CheckNames() error {
	k := &checker{}
	for _, o := range c.Organisations {
		err := buckthornpin.CheckName(o.Name)
		k.expect(err == nil, "organisation: %v", err)
	}
	return k.problem("check names")
}

// checker collects the problems of one configuration.
type checker struct {
	// services holds the names of the services checked so far.
	services map[string]bool
	problems []error
}

// problem returns all problems as one error, or nil if there is none.
func (k *checker) problem(op string) error {
	if len(k.problems) == 0 {
		return nil
	}
	return &Error{Op: op, Kind: KindInvalid, Err: errors.Join(k.problems...)}
}

// expect records a problem unless ok is true.
func (k *checker) expect(ok bool, format string, args ...any) {
	if !ok {
		k.problems = append(k.problems, errors.Errorf(format, args...))
	}
}

func (k *checker) checkService(s *Service) {
	k.expect(s.Name != "", "service without a name")
	k.expect(!k.services[s.Name], "service %q: named twice", s.Name)
	k.services[s.Name] = true
	if e := s.Engine; e != nil {
		k.expect(e.Slots >= 0 && e.Slots <= maxCount, "service %q: slots %d: expected 0 to %d", s.Name, e.Slots, maxCount)
		k.expect(buckthornpin.IsTokenCount(e.KVCacheTokens), "service %q: memory: expected 0 to %d tokens", s.Name, buckthornpin.MaxTokens)
		k.expect(e.EventTokens >= 0 && e.EventTokens <= maxCount, "service %q: event of %d tokens: expected 0 to %d", s.Name, e.EventTokens, maxCount)
	}
}

// maxCount bounds the slots of an engine, the tokens of an event and the weights of a route.
const maxCount = 1 << 20

// checkRoute checks a route. routeNames maps the host and path prefix of each route
// checked so far to the route's name.
func (k *checker) checkRoute(r *Route, routeNames map[[2]string]string) {
	location := [2]string{strings.ToLower(r.Host), r.PathPrefix}
	other, taken := routeNames[location]
	routeNames[location] = r.Name
	k.expect(!taken, "route %q: host and prefix are those of route %q", r.Name, other)
	hasSlashes := strings.HasPrefix(r.PathPrefix, "/") && strings.HasSuffix(r.PathPrefix, "/")
	k.expect(hasSlashes, "route %q: path prefix %q: expected slashes at both ends", r.Name, r.PathPrefix)
	k.expect(r.Timeout > 0, "route %q: timeout %v: expected more than 0", r.Name, r.Timeout)
	k.expect(r.Kind == KindIdempotent || r.Kind == KindNonIdempotent || r.Kind == KindStream, "route %q: kind %q isn't known", r.Name, r.Kind)
	totalWeight := 0
	for _, s := range r.Shares {
		k.expect(k.services[s.Service], "route %q: service %q isn't known", r.Name, s.Service)
		k.expect(s.Weight >= 0 && s.Weight <= maxCount, "route %q: weight %d of service %q: expected 0 to %d", r.Name, s.Weight, s.Service, maxCount)
		totalWeight += s.Weight
	}
	k.expect(totalWeight > 0, "route %q: weights add up to %d: expected more than 0", r.Name, totalWeight)
}

func (k *checker) checkOrganisations(organisations []Organisation) {
	owners := map[string]string{}
	for _, o := range organisations {
		k.expect(o.Name != "", "organisation without a name")
		k.expect(o.Prepaid == Unlimited || buckthornpin.IsTokenCount(o.Prepaid), "organisation %q: prepaid: expected 0 to %d tokens", o.Name, buckthornpin.MaxTokens)
		for _, key := range o.Keys {
			owner, taken := owners[key]
			k.expect(!taken || owner == o.Name, "organisations %q and %q share a key", owner, o.Name)
			owners[key] = o.Name
		}
	}
}
