package ratelimit

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/internal/schedule"
)

// testLimits includes bursts that cover the tokens of a grant's validity and ones that do
// not.
var testLimits = []fleet.Limits{
	{RatePerSecond: 50, Burst: 100}, {RatePerSecond: 100, Burst: 10}, {RatePerSecond: 5, Burst: 1},
	{RatePerSecond: 500, Burst: 3}, {RatePerSecond: 20, Burst: 20}, {RatePerSecond: 200, Burst: 2.5},
	{RatePerSecond: 5, Burst: 60}, {RatePerSecond: 20, Burst: 200}, // these take longer to fill than a failover
}

// drawLimits draws one of testLimits.
func drawLimits(t *rapid.T) fleet.Limits {
	return testLimits[rapid.IntRange(0, len(testLimits)-1).Draw(t, "limits")]
}

// TestWindowBoundOnSchedules checks that no window has more admissions than
// rate x time + burst under failover, planned moves, pauses, isolation, restarts, changes
// of limits, unrelated clocks, and lost, duplicate and late messages.
func TestWindowBoundOnSchedules(t *testing.T) {
	admitted, refused, unavailable, epochs := 0, 0, 0, uint64(0)
	schedule.Check(t, defaultSchedules, func(r *rapid.T, steps int) {
		sim := newSimulation(r, [2]fleet.Limits{drawLimits(r), drawLimits(r)}, rapid.IntRange(0, 20).Draw(r, "lost"))
		node := func() *simNode { return sim.vms[sim.random.IntN(len(sim.vms))] }
		faultDivisor := rapid.IntRange(1, 10).Draw(r, "calm") // one in faultDivisor of the drawn faults is injected
		for range steps {
			n := node()
			switch action := sim.random.IntN(1000); {
			case action >= 500 && sim.random.IntN(faultDivisor) != 0:
			case action < 500:
				for range 1 + sim.random.IntN(10) {
					n.request([]string{"", "second"}[action%2])
				}
			case action < 506:
				n.pausedUntil = sim.now + sim.randomDuration(4000)
			case action < 510:
				n.isolatedUntil = sim.now + sim.randomDuration(8000)
			case action < 520:
				sim.assigned.owner.isolatedUntil = sim.now + sim.randomDuration(2000)
				sim.reassign(true)
			case action < 523:
				sim.restart(sim.random.IntN(len(sim.vms)))
			case action < 526:
				sim.setLimits(action%2, drawLimits(r))
			case action < 535:
				sim.reassign(true)
			case action < 538:
				sim.advance(sim.randomDuration(10000))
			}
			sim.reassign(false)
			sim.advance(sim.randomDuration(40))
		}
		admitted, refused, unavailable, epochs = admitted+sim.admitted, refused+sim.refused, unavailable+sim.unavailable, epochs+sim.assigned.epoch
	})
	t.Logf("admitted %d, refused %d, unavailable %d, epochs %d", admitted, refused, unavailable, epochs)
	require.NotZero(t, admitted)
}
