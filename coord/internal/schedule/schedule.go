// Package schedule runs the random schedules of the cores' tests. The
// environment variables SEED, STEPS and SCHEDULES select them.
package schedule

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// MinimumSteps is the length of a schedule that the design page requires.
const MinimumSteps = 2000

// shrinkTime bounds the search for a smaller failing schedule.
const shrinkTime = "10s"

// Setting returns a number from the environment.
func Setting(t testing.TB, name string, fallback uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 63)
	require.NoError(t, err, name)
	return n
}

// Options are the settings of a run.
type Options struct {
	// Seed makes the run repeatable; the time by default.
	Seed uint64
	// Steps is the length of each schedule.
	Steps int
	// Count is the number of schedules.
	Count uint64
}

// Settings reads the settings of a run and logs them, so that it can be repeated.
func Settings(t testing.TB, steps int, count uint64) Options {
	t.Helper()
	o := Options{
		Seed:  Setting(t, "SEED", uint64(time.Now().UnixNano())),
		Steps: int(Setting(t, "STEPS", uint64(steps))),
		Count: Setting(t, "SCHEDULES", count),
	}
	t.Logf("SEED=%d STEPS=%d SCHEDULES=%d", o.Seed, o.Steps, o.Count)
	return o
}

// Check runs a property on random schedules of MinimumSteps steps by default.
func Check(t *testing.T, count uint64, property func(t *rapid.T, steps int)) {
	t.Helper()
	o := Settings(t, MinimumSteps, count)
	for name, value := range map[string]string{
		"rapid.seed":       strconv.FormatUint(o.Seed, 10),
		"rapid.checks":     strconv.FormatUint(o.Count, 10),
		"rapid.nofailfile": "true",
		"rapid.shrinktime": shrinkTime,
	} {
		require.NoError(t, flag.Set(name, value))
	}
	rapid.Check(t, func(r *rapid.T) { property(r, o.Steps) })
}
