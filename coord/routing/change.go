package routing

import (
	"reflect"
	"slices"
)

// Change is the difference between one configuration and a later one. Successive
// configurations differ little, so a VM that has the earlier one only needs the
// change.
type Change struct {
	// From is the version that the change applies to, and Version the one that
	// results.
	From    int64 `json:"from"`
	Version int64 `json:"version"`
	// Limits replaces the limits of the earlier configuration.
	Limits Limits `json:"limits"`
	// Routes, Services and Organisations hold the added and modified objects.
	Routes        []Route        `json:"routes,omitempty"`
	Services      []Service      `json:"services,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty"`
	// RemovedRoutes, RemovedServices and RemovedOrganisations identify the removed
	// objects.
	RemovedRoutes        []RouteKey `json:"gone_routes,omitempty"`
	RemovedServices      []string   `json:"gone_services,omitempty"`
	RemovedOrganisations []string   `json:"gone_organisations,omitempty"`
}

// RouteKey identifies a route; no two routes of a configuration have the same host and
// path prefix.
type RouteKey struct {
	// Host and PathPrefix are the fields of the Route.
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
}

func routeKey(r Route) RouteKey              { return RouteKey{r.Host, r.PathPrefix} }
func serviceName(s Service) string           { return s.Name }
func organisationName(o Organisation) string { return o.Name }

// Diff returns the change from one configuration to a later one. It returns false if
// two objects of the same kind in either configuration have the same key.
func Diff(from, to Configuration) (Change, bool) {
	c := Change{From: from.Version, Version: to.Version, Limits: to.Limits}
	var routes, services, organisations bool
	c.Routes, c.RemovedRoutes, routes = diff(from.Routes, to.Routes, routeKey)
	c.Services, c.RemovedServices, services = diff(from.Services, to.Services, serviceName)
	c.Organisations, c.RemovedOrganisations, organisations = diff(from.Organisations, to.Organisations, organisationName)
	return c, routes && services && organisations
}

// Apply returns the configuration that results from applying the change to the
// earlier one. The order of objects may differ from that of the configuration that
// was passed to Diff.
func (c Change) Apply(from Configuration) Configuration {
	return Configuration{
		Version: c.Version, Limits: c.Limits,
		Routes:        patch(from.Routes, c.Routes, c.RemovedRoutes, routeKey),
		Services:      patch(from.Services, c.Services, c.RemovedServices, serviceName),
		Organisations: patch(from.Organisations, c.Organisations, c.RemovedOrganisations, organisationName),
	}
}

// diff compares two lists of objects by key. The result ok is false if a key is not
// unique in its list.
func diff[T any, K comparable](from, to []T, key func(T) K) (changed []T, removed []K, ok bool) {
	fromByKey := make(map[K]T, len(from))
	for _, o := range from {
		fromByKey[key(o)] = o
	}
	present := make(map[K]bool, len(to))
	for _, n := range to {
		k := key(n)
		present[k] = true
		if o, known := fromByKey[k]; !known || !reflect.DeepEqual(o, n) {
			changed = append(changed, n)
		}
	}
	for _, o := range from {
		if !present[key(o)] {
			removed = append(removed, key(o))
		}
	}
	return changed, removed, len(fromByKey) == len(from) && len(present) == len(to)
}

// patch replaces, adds and removes objects by key.
func patch[T any, K comparable](from, changed []T, removedKeys []K, key func(T) K) []T {
	replaced := make(map[K]bool, len(changed)+len(removedKeys))
	for _, k := range removedKeys {
		replaced[k] = true
	}
	for _, n := range changed {
		replaced[key(n)] = true
	}
	kept := slices.DeleteFunc(slices.Clone(from), func(o T) bool { return replaced[key(o)] })
	return append(kept, changed...)
}
