package site

import (
	"strings"

	"github.com/go-faster/errors"
)

// Check returns all problems of a configuration at once.
func (c *Configuration) Check() error {
	k := &checker{services: map[string]bool{}}
	for i := range c.Services {
		k.checkService(&c.Services[i])
	}
	places := map[[2]string]string{}
	for i := range c.Routes {
		k.checkRoute(&c.Routes[i], places)
	}
	k.checkOrganisations(c.Organisations)
	if len(k.problems) == 0 {
		return nil
	}
	return &Error{Op: "check", Kind: KindInvalid, Err: errors.Join(k.problems...)}
}

type checker struct {
	services map[string]bool
	problems []error
}

func (k *checker) expect(ok bool, format string, args ...any) {
	if !ok {
		k.problems = append(k.problems, errors.Errorf(format, args...))
	}
}

func (k *checker) checkService(s *Service) {
	k.expect(s.Name != "", "service without a name")
	k.expect(!k.services[s.Name], "service %q: named twice", s.Name)
	k.services[s.Name] = true
}

func (k *checker) checkRoute(r *Route, places map[[2]string]string) {
	place := [2]string{strings.ToLower(r.Host), r.PathPrefix}
	other, taken := places[place]
	places[place] = r.Name
	k.expect(!taken, "route %q: host and prefix are those of route %q", r.Name, other)
	prefixed := strings.HasPrefix(r.PathPrefix, "/") && strings.HasSuffix(r.PathPrefix, "/")
	k.expect(prefixed, "route %q: path prefix %q: expected slashes at both ends", r.Name, r.PathPrefix)
	k.expect(r.Timeout > 0, "route %q: timeout %v: expected more than 0", r.Name, r.Timeout)
	k.expect(r.Kind == KindIdempotent || r.Kind == KindNonIdempotent || r.Kind == KindStream, "route %q: kind %q isn't known", r.Name, r.Kind)
	weights := 0
	for _, s := range r.Shares {
		k.expect(k.services[s.Service], "route %q: service %q isn't known", r.Name, s.Service)
		k.expect(s.Weight >= 0, "route %q: weight %d of service %q: expected 0 or more", r.Name, s.Weight, s.Service)
		weights += s.Weight
	}
	k.expect(weights > 0, "route %q: weights add up to %d: expected more than 0", r.Name, weights)
}

func (k *checker) checkOrganisations(all []Organisation) {
	owners := map[string]string{}
	for _, o := range all {
		k.expect(o.Name != "", "organisation without a name")
		for _, key := range o.Keys {
			owner, taken := owners[key]
			k.expect(!taken || owner == o.Name, "organisations %q and %q share a key", owner, o.Name)
			owners[key] = o.Name
		}
	}
}
