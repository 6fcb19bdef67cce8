package routing

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestValidatesColdTargets guards against a rate or a period that can't be meant, and against a
// report that names only the first of several errors.
func TestValidatesColdTargets(t *testing.T) {
	service := func(start, rate float64) Service {
		return Service{Name: "s", ColdStartSeconds: start, ColdPerSecond: rate}
	}
	for _, c := range []struct {
		start, rate float64
		paths       []string
	}{
		{0, 0, nil}, {3600, 1e6, nil}, {2.5, 0.4, nil},
		{-1, 1, []string{"services.0.cold_start_s"}},
		{1, -0.1, []string{"services.0.cold_per_s"}},
		{3601, 1e6 + 1, []string{"services.0.cold_start_s", "services.0.cold_per_s"}},
		{math.NaN(), math.Inf(1), []string{"services.0.cold_start_s", "services.0.cold_per_s"}},
	} {
		configuration := Configuration{Version: 1, Services: []Service{service(c.start, c.rate)}}
		var paths []string
		for _, f := range configuration.Validate() {
			paths = append(paths, f.Path)
		}
		assert.Equal(t, c.paths, paths, "%+v", c)
	}
}
