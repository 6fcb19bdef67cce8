package routing

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawConfiguration generates a random configuration from a few possible objects, so
// that two configurations often have objects in common.
func drawConfiguration(t *rapid.T, version int64) Configuration {
	c := Configuration{Version: version, Limits: Limits{MaxBodyBytes: int64(rapid.IntRange(0, 2).Draw(t, "limit"))}}
	for i := range 4 {
		if rapid.Bool().Draw(t, "route") {
			c.Routes = append(c.Routes, Route{Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), TimeoutMS: int64(rapid.IntRange(1, 2).Draw(t, "timeout")),
				Destinations: []Destination{{Service: "s", Weight: float64(rapid.IntRange(1, 2).Draw(t, "weight"))}}})
		}
		if rapid.Bool().Draw(t, "service") {
			c.Services = append(c.Services, Service{Name: fmt.Sprint("s", i), Engine: &Engine{Slots: rapid.IntRange(1, 2).Draw(t, "slots")}})
		}
		if rapid.Bool().Draw(t, "organisation") {
			c.Organisations = append(c.Organisations, Organisation{Name: fmt.Sprint("o", i), Keys: []string{fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "key"), i)}})
		}
	}
	return c
}

func sortedByKey(c Configuration) Configuration {
	slices.SortFunc(c.Routes, func(a, b Route) int { return cmp.Compare(a.PathPrefix, b.PathPrefix) })
	slices.SortFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Organisations, func(a, b Organisation) int { return cmp.Compare(a.Name, b.Name) })
	return c
}

// TestChangeMakesTheLaterConfiguration guards against a VM that applies a change and
// then uses a configuration other than the operator's, for example one in which a
// removed route, key or limit still applies or a new one is missing.
func TestChangeMakesTheLaterConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawConfiguration(t, 1), drawConfiguration(t, 2)
		change, ok := Diff(from, to)
		require.True(t, ok)
		result := change.Apply(from)
		assert.Equal(t, len(to.Routes), len(result.Routes))
		assert.EqualValues(t, fmt.Sprintf("%+v", dereferenced(sortedByKey(to))), fmt.Sprintf("%+v", dereferenced(sortedByKey(result))))
	})
}

// dereferenced replaces pointers by the values that they point to, so that
// configurations can be printed and compared.
func dereferenced(c Configuration) any {
	var engines []Engine
	for i := range c.Services {
		engines = append(engines, *c.Services[i].Engine)
		c.Services[i].Engine = nil
	}
	return struct {
		Configuration
		Engines []Engine
	}{c, engines}
}

// TestDiffRequiresUniqueKeys guards against computing a change between
// configurations whose objects cannot be identified by their keys.
func TestDiffRequiresUniqueKeys(t *testing.T) {
	duplicate := Configuration{Organisations: []Organisation{{Name: "o"}, {Name: "o", Keys: []string{"k"}}}}
	_, ok := Diff(Configuration{}, duplicate)
	assert.False(t, ok)
	_, ok = Diff(duplicate, Configuration{})
	assert.False(t, ok)
}
