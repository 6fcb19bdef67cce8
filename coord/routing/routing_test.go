package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func sampleConfiguration() Configuration {
	return Configuration{
		Version:  3,
		Services: []Service{{Name: "s"}, {Name: "t"}},
		Routes: []Route{
			{Name: "short", Host: "h.example", PathPrefix: "/a/", Kind: Idempotent, TimeoutMS: 100, Destinations: []Destination{{"s", 1}}},
			{Name: "long", Host: "h.example", PathPrefix: "/a/b/", Kind: NonIdempotent, TimeoutMS: 100, Destinations: []Destination{{"s", 90}, {"t", 10}}},
		},
		Organisations: []Organisation{{Name: "o", Keys: []string{"k1", "k2"}}, {Name: "p", Keys: []string{"k3"}}},
	}
}

// TestValidateReportsAllFindings guards against an invalid configuration that is
// accepted, and against a finding that hides others.
func TestValidateReportsAllFindings(t *testing.T) {
	c := sampleConfiguration()
	assert.Empty(t, c.Validate())
	c.Routes[0].Destinations[0].Service = "unknown"
	c.Routes[1].TimeoutMS = 0
	c.Routes = append(c.Routes, Route{Host: "H.example", PathPrefix: "/a/", Kind: "other", TimeoutMS: 1, Destinations: []Destination{{"s", 0}}})
	c.Organisations[1].Keys = []string{"k1"}
	var paths []string
	for _, f := range c.Validate() {
		paths = append(paths, f.Path)
	}
	assert.Equal(t, []string{"routes.0.destinations.0.service", "routes.1.timeout_ms", "routes.2.path_prefix", "routes.2.kind", "routes.2.destinations", "organisations.1.keys"}, paths)
	assert.NotContains(t, c.Validate().Error(), "k1", "messages must not contain keys")
}

// TestMatchPrefersLongestPrefix guards against a shorter prefix that takes
// precedence over a longer one, and against prefixes that match part of a path
// segment.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	table := NewTable(sampleConfiguration())
	for path, want := range map[string]string{"/a/x": "short", "/a/": "short", "/a/b/c": "long", "/a/bc": "short"} {
		route := table.Match("H.Example", path)
		require.NotNil(t, route, path)
		assert.Equal(t, want, route.Name, path)
	}
	assert.Nil(t, table.Match("h.example", "/ab"))
	assert.Nil(t, table.Match("other.example", "/a/x"))
}

// TestChooseServiceFollowsWeights guards against a traffic split that ignores the
// weights of its destinations.
func TestChooseServiceFollowsWeights(t *testing.T) {
	r := sampleConfiguration().Routes[1]
	assert.Equal(t, "s", r.ChooseService(0))
	assert.Equal(t, "s", r.ChooseService(0.89))
	assert.Equal(t, "t", r.ChooseService(0.91))
	assert.Equal(t, "t", r.ChooseService(1))
}

// TestAuthenticate guards against an unknown or empty key that is accepted, and
// against a key that authenticates the wrong organisation.
func TestAuthenticate(t *testing.T) {
	table := NewTable(sampleConfiguration())
	assert.Equal(t, "o", table.Authenticate("k2").Name)
	assert.Nil(t, table.Authenticate(""))
	assert.Nil(t, table.Authenticate("k4"))
}
