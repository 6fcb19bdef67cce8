package routing

import (
	"strings"
)

// Table indexes a configuration to look up routes, services and organisations. It is
// immutable.
type Table struct {
	// Configuration is the configuration that the table was built from.
	Configuration Configuration

	routesByHost       map[string]map[string]*Route
	servicesByName     map[string]*Service
	organisationsByKey map[string]*Organisation
}

// NewTable builds a table from a valid configuration.
func NewTable(c Configuration) *Table {
	t := &Table{
		Configuration:      c,
		routesByHost:       make(map[string]map[string]*Route),
		servicesByName:     make(map[string]*Service, len(c.Services)),
		organisationsByKey: make(map[string]*Organisation),
	}
	for i := range c.Services {
		t.servicesByName[c.Services[i].Name] = &t.Configuration.Services[i]
	}
	for i := range c.Routes {
		r := &t.Configuration.Routes[i]
		host := strings.ToLower(r.Host)
		if t.routesByHost[host] == nil {
			t.routesByHost[host] = make(map[string]*Route)
		}
		t.routesByHost[host][r.PathPrefix] = r
	}
	for i := range c.Organisations {
		o := &t.Configuration.Organisations[i]
		for _, key := range o.Keys {
			t.organisationsByKey[key] = o
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.Configuration.Version }

// Match returns the route of the host with the longest path prefix that matches the
// path, or nil if there is none.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.routesByHost[strings.ToLower(host)]
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

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.servicesByName[name] }

// RequiresKey reports whether a request on the route must present an API key.
func (t *Table) RequiresKey(r *Route) bool {
	return !r.Public && len(t.Configuration.Organisations) > 0
}

// Authenticate returns the organisation that owns the API key, or nil.
func (t *Table) Authenticate(key string) *Organisation { return t.organisationsByKey[key] }

// ChooseService returns the name of the service for a uniformly distributed number
// from 0 to 1, in proportion to the weights of the destinations. It returns an empty
// name if no destination has a positive weight.
func (r *Route) ChooseService(fraction float64) string {
	total := 0.0
	for _, d := range r.Destinations {
		total += d.Weight
	}
	remaining := fraction * total
	for _, d := range r.Destinations {
		if remaining < d.Weight {
			return d.Service
		}
		remaining -= d.Weight
	}
	for i := len(r.Destinations) - 1; i >= 0; i-- {
		if r.Destinations[i].Weight > 0 {
			return r.Destinations[i].Service
		}
	}
	return ""
}
