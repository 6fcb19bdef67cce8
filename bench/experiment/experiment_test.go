package experiment

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/bench/workload"
	"hemlockvale.dev/bench/world"
	"hemlockvale.dev/coord/placement"
)

// TestBounds guards against regressions of the placement decisions: with the options
// Short, the benchmark must meet the bounds in bounds.json on the check seeds.
func TestBounds(t *testing.T) {
	report, err := Run(Short(Seeds(FirstCheckSeed, SeedCount)))
	require.NoError(t, err)
	for _, c := range report.Checks {
		t.Run(c.Deployment+"/"+string(c.Measure), func(t *testing.T) {
			assert.True(t, c.Met, "median %.4f, spread %.4f to %.4f, bound %s, check seeds %v",
				c.Spread.Median, c.Spread.Min, c.Spread.Max, c.Bound, report.Seeds)
		})
	}
}

// TestBoundsNameMeasures guards against bounds that name an unknown measure and would
// therefore never be checked.
func TestBoundsNameMeasures(t *testing.T) {
	known := map[Measure]bool{}
	for _, m := range measures(Full(nil)) {
		known[m.name] = true
	}
	bounds, err := Bounds()
	require.NoError(t, err)
	assert.NotEmpty(t, bounds)
	for _, b := range bounds {
		assert.True(t, known[b.Measure], b.Measure)
		assert.True(t, b.AtMost != nil || b.AtLeast != nil, b.Measure)
	}
}

// TestRunsAreDeterministicAndComplete guards against runs that depend on anything but
// their seed, and against programs that never finish because of a fault.
func TestRunsAreDeterministicAndComplete(t *testing.T) {
	d := workload.Krukpunt()
	trial := newTrial(d, placement.DefaultPolicy(), 7, 300)
	for _, kind := range []world.FaultKind{world.NoFault, world.TargetLost, world.TargetSlow, world.EntryLost, world.CacheEventsStop} {
		t.Run("fault "+string(kind), func(t *testing.T) {
			first := world.Run(trial.faultConfig(Policy, kind))
			assert.Equal(t, first, world.Run(trial.faultConfig(Policy, kind)))
			for _, p := range first.Programs {
				assert.True(t, p.Finished)
				assert.GreaterOrEqual(t, p.Latency, p.UnloadedLatency/2)
			}
		})
	}
}
