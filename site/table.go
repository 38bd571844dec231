package site

import (
	"net"
	"strings"
)

// Table is a configuration indexed for lookups. It is immutable and safe for
// concurrent use.
type Table struct {
	Configuration
	// routes is indexed by lower-case host, then by path prefix.
	routes        map[string]map[string]*Route
	services      map[string]*Service
	keyOwners     map[string]*Organisation
	organisations map[string]*Organisation
}

// NewTable indexes a configuration that has passed Check.
func NewTable(c Configuration) *Table {
	t := &Table{
		Configuration: c, routes: map[string]map[string]*Route{}, services: map[string]*Service{},
		keyOwners: map[string]*Organisation{}, organisations: map[string]*Organisation{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = map[string]*Route{}
		}
		t.routes[host][r.PathPrefix] = r
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		t.organisations[o.Name] = o
		for _, key := range o.Keys {
			t.keyOwners[key] = o
		}
	}
	return t
}

// Route returns the host's route with the longest prefix of the path, or nil. The
// host may include a port, which is ignored.
func (t *Table) Route(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	byPrefix := t.routes[strings.ToLower(host)]
	if byPrefix == nil {
		return nil
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := byPrefix[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Organisation returns an organisation by name, or nil.
func (t *Table) Organisation(name string) *Organisation { return t.organisations[name] }

// KeyOwner returns the organisation that holds a key, or nil.
func (t *Table) KeyOwner(key string) *Organisation {
	if key == "" {
		return nil
	}
	return t.keyOwners[key]
}

// HasOrganisations reports whether the configuration names any organisations. If
// not, requests need no key.
func (t *Table) HasOrganisations() bool { return len(t.Organisations) > 0 }

// PickService maps a fraction from 0 to 1 to one of the route's services, in proportion to
// their weights.
func (r *Route) PickService(fraction float64) string {
	totalWeight := 0
	for _, s := range r.Shares {
		totalWeight += s.Weight
	}
	remaining := fraction * float64(totalWeight)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
