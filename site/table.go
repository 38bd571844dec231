package site

import (
	"net"
	"strings"
)

// Table is a configuration with its indexes. It is immutable and safe for
// concurrent use.
type Table struct {
	Configuration
	hosts    map[string]map[string]*Route
	services map[string]*Service
	keys     map[string]*Organisation
	names    map[string]*Organisation
}

// NewTable indexes a configuration that has been checked.
func NewTable(c Configuration) *Table {
	t := &Table{
		Configuration: c, hosts: map[string]map[string]*Route{}, services: map[string]*Service{},
		keys: map[string]*Organisation{}, names: map[string]*Organisation{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][r.PathPrefix] = r
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		t.names[o.Name] = o
		for _, key := range o.Keys {
			t.keys[key] = o
		}
	}
	return t
}

// Route returns the route with the longest prefix that begins the path, or nil.
func (t *Table) Route(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	prefixes := t.hosts[strings.ToLower(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := prefixes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Organisation returns an organisation by name, or nil.
func (t *Table) Organisation(name string) *Organisation { return t.names[name] }

// KeyOwner returns the organisation that holds a key, or nil.
func (t *Table) KeyOwner(key string) *Organisation {
	if key == "" {
		return nil
	}
	return t.keys[key]
}

// HasOrganisations reports whether requests need a key at all.
func (t *Table) HasOrganisations() bool { return len(t.Organisations) > 0 }

// Pick returns the service of a route for a number from 0 to 1, in proportion
// to the weights.
func (r *Route) Pick(at float64) string {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	mark := at * float64(sum)
	for _, s := range r.Shares {
		mark -= float64(s.Weight)
		if mark < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
