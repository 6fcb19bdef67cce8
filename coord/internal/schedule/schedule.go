// Package schedule runs the random schedules of the state machines' tests: random
// sequences of operations and faults. The environment variables SEED, STEPS and
// SCHEDULES set their seed, length and number.
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

// MinimumSteps is the minimum length of a schedule, as required by the design document.
const MinimumSteps = 2000

// shrinkTime bounds the time that rapid spends on reducing a failing schedule.
const shrinkTime = "10s"

// EnvUint returns the number in an environment variable, or defaultValue if the variable is
// empty or not set.
func EnvUint(t testing.TB, name string, defaultValue uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.ParseUint(text, 10, 63)
	require.NoError(t, err, name)
	return n
}

// Options holds the settings of a test run.
type Options struct {
	// Seed determines the random choices. The default is the current time.
	Seed uint64
	// Steps is the number of steps of each schedule.
	Steps int
	// Count is the number of schedules.
	Count uint64
}

// OptionsFromEnv reads the options of a test run from the environment and logs them, so that
// the run can be repeated.
func OptionsFromEnv(t testing.TB, steps int, count uint64) Options {
	t.Helper()
	o := Options{
		Seed:  EnvUint(t, "SEED", uint64(time.Now().UnixNano())),
		Steps: int(EnvUint(t, "STEPS", uint64(steps))),
		Count: EnvUint(t, "SCHEDULES", count),
	}
	t.Logf("SEED=%d STEPS=%d SCHEDULES=%d", o.Seed, o.Steps, o.Count)
	return o
}

// Check tests a property on random schedules. By default there are count schedules of
// MinimumSteps steps each.
func Check(t *testing.T, count uint64, property func(t *rapid.T, steps int)) {
	t.Helper()
	o := OptionsFromEnv(t, MinimumSteps, count)
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
