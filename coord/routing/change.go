package routing

import (
	"reflect"
	"slices"
)

// Change turns one configuration into a later one. Configurations follow each
// other with small differences, so a VM that holds the earlier one needs only these.
type Change struct {
	// From is the version that the change applies to; Version is the one that it makes.
	From    int64 `json:"from"`
	Version int64 `json:"version"`
	// Limits replace the former ones.
	Limits Limits `json:"limits"`
	// Routes, Services and Organisations are new or different.
	Routes        []Route        `json:"routes,omitempty"`
	Services      []Service      `json:"services,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty"`
	// GoneRoutes, GoneServices and GoneOrganisations are removed.
	GoneRoutes        []Place  `json:"gone_routes,omitempty"`
	GoneServices      []string `json:"gone_services,omitempty"`
	GoneOrganisations []string `json:"gone_organisations,omitempty"`
}

// Place identifies a route: no two routes of a configuration share it.
type Place struct {
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
}

func routePlace(r Route) Place               { return Place{r.Host, r.PathPrefix} }
func serviceName(s Service) string           { return s.Name }
func organisationName(o Organisation) string { return o.Name }

// Diff returns the change from one configuration to a later one, or false if an
// object of either cannot be identified.
func Diff(from, to Configuration) (Change, bool) {
	c := Change{From: from.Version, Version: to.Version, Limits: to.Limits}
	var routes, services, organisations bool
	c.Routes, c.GoneRoutes, routes = diff(from.Routes, to.Routes, routePlace)
	c.Services, c.GoneServices, services = diff(from.Services, to.Services, serviceName)
	c.Organisations, c.GoneOrganisations, organisations = diff(from.Organisations, to.Organisations, organisationName)
	return c, routes && services && organisations
}

// Apply returns the configuration that the change makes of an earlier one.
// Objects may stand in another order than in the configuration that Diff saw.
func (c Change) Apply(from Configuration) Configuration {
	return Configuration{
		Version: c.Version, Limits: c.Limits,
		Routes:        patch(from.Routes, c.Routes, c.GoneRoutes, routePlace),
		Services:      patch(from.Services, c.Services, c.GoneServices, serviceName),
		Organisations: patch(from.Organisations, c.Organisations, c.GoneOrganisations, organisationName),
	}
}

// diff compares two lists of objects by key.
func diff[T any, K comparable](from, to []T, key func(T) K) (changed []T, gone []K, ok bool) {
	old := make(map[K]T, len(from))
	for _, o := range from {
		old[key(o)] = o
	}
	kept := make(map[K]bool, len(to))
	for _, n := range to {
		k := key(n)
		kept[k] = true
		if o, known := old[k]; !known || !reflect.DeepEqual(o, n) {
			changed = append(changed, n)
		}
	}
	for _, o := range from {
		if !kept[key(o)] {
			gone = append(gone, key(o))
		}
	}
	return changed, gone, len(old) == len(from) && len(kept) == len(to)
}

// patch replaces, adds and removes objects by key.
func patch[T any, K comparable](from, changed []T, gone []K, key func(T) K) []T {
	drop := make(map[K]bool, len(changed)+len(gone))
	for _, k := range gone {
		drop[k] = true
	}
	for _, n := range changed {
		drop[key(n)] = true
	}
	kept := slices.DeleteFunc(slices.Clone(from), func(o T) bool { return drop[key(o)] })
	return append(kept, changed...)
}
