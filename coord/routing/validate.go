package routing

import (
	"fmt"
	"strings"
)

// Finding is one error in a configuration.
type Finding struct {
	// Path is the path of the value in the document, for example
	// routes.2.timeout_ms.
	Path string `json:"place"`
	// Message describes the error.
	Message string `json:"message"`
}

// String returns "path: message".
func (f Finding) String() string { return f.Path + ": " + f.Message }

// Findings lists all errors of a configuration.
type Findings []Finding

// Error returns the findings joined by semicolons.
func (f Findings) Error() string {
	texts := make([]string, len(f))
	for i := range f {
		texts[i] = f[i].String()
	}
	return strings.Join(texts, "; ")
}

func (f *Findings) add(path, format string, args ...any) {
	*f = append(*f, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Validate returns all errors of a configuration. If there are none, the
// configuration may be put in force.
func (c *Configuration) Validate() Findings {
	var findings Findings
	if c.Version <= 0 {
		findings.add("version", "must be positive")
	}
	services := make(map[string]bool, len(c.Services))
	for i, s := range c.Services {
		if s.Name == "" {
			findings.add(fmt.Sprintf("services.%d.name", i), "is empty")
		}
		if services[s.Name] {
			findings.add(fmt.Sprintf("services.%d.name", i), "%q is used twice", s.Name)
		}
		services[s.Name] = true
		validateRange(fmt.Sprintf("services.%d.cold_start_s", i), s.ColdStartSeconds, maxColdStartSeconds, &findings)
		validateRange(fmt.Sprintf("services.%d.cold_per_s", i), s.ColdPerSecond, maxColdPerSecond, &findings)
	}
	c.validateRoutes(services, &findings)
	c.validateOrganisations(&findings)
	return findings
}

const (
	// maxColdStartSeconds bounds the cold period after a start, and maxColdPerSecond the
	// rate of a cold target.
	maxColdStartSeconds = 3600
	maxColdPerSecond    = 1_000_000
)

// validateRange adds a finding if a value is not between 0 and highest.
func validateRange(path string, value, highest float64, findings *Findings) {
	if !(value >= 0 && value <= highest) {
		findings.add(path, "must be between 0 and %v", highest)
	}
}

func (c *Configuration) validateRoutes(services map[string]bool, findings *Findings) {
	routeIndexes := make(map[string]int, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		path := fmt.Sprintf("routes.%d.", i)
		key := strings.ToLower(r.Host) + r.PathPrefix
		if first, taken := routeIndexes[key]; taken {
			findings.add(path+"path_prefix", "routes %d and %d share host and prefix", first, i)
		}
		routeIndexes[key] = i
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			findings.add(path+"path_prefix", "%q does not begin and end with a slash", r.PathPrefix)
		}
		if r.TimeoutMS <= 0 {
			findings.add(path+"timeout_ms", "must be positive")
		}
		switch r.Kind {
		case Idempotent, NonIdempotent, Streaming:
		default:
			findings.add(path+"kind", "%q is not known", r.Kind)
		}
		r.validateDestinations(path, services, findings)
	}
}

func (r *Route) validateDestinations(path string, services map[string]bool, findings *Findings) {
	total := 0.0
	for j, d := range r.Destinations {
		if !services[d.Service] {
			findings.add(fmt.Sprintf("%sdestinations.%d.service", path, j), "service %q is not defined", d.Service)
		}
		if d.Weight < 0 {
			findings.add(fmt.Sprintf("%sdestinations.%d.weight", path, j), "is negative")
		}
		total += d.Weight
	}
	if total <= 0 {
		findings.add(path+"destinations", "the weights add up to 0")
	}
}

func (c *Configuration) validateOrganisations(findings *Findings) {
	keyOwners := make(map[string]string)
	names := make(map[string]bool, len(c.Organisations))
	for i, o := range c.Organisations {
		path := fmt.Sprintf("organisations.%d.", i)
		if o.Name == "" || names[o.Name] {
			findings.add(path+"name", "%q is empty or used twice", o.Name)
		}
		names[o.Name] = true
		if o.RatePerSecond < 0 || o.Burst < 0 {
			findings.add(path+"rate_per_second", "rate and burst must not be negative")
		}
		for _, key := range o.Keys {
			if owner, taken := keyOwners[key]; taken && owner != o.Name {
				// The key itself is left out because messages are logged.
				findings.add(path+"keys", "shares a key with organisation %q", owner)
			}
			keyOwners[key] = o.Name
		}
	}
}
