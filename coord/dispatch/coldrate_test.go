package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// coldOverage and coldSlack are the bound of a cold target: in no second more than the rate
	// times coldOverage plus coldSlack requests.
	coldOverage = 1.5
	coldSlack   = 5
	// runTime is how long a request runs in these tests.
	runTime = 20 * time.Millisecond
)

// coldTargets returns targets of data centre a that are cold until a time, with a rate.
func coldTargets(n, slots int, until time.Duration, perSecond float64) []Target {
	ts := targets(n, slots)
	for i := range ts {
		ts[i].ColdUntil, ts[i].ColdPerSecond = until, perSecond
	}
	return ts
}

// offeredLoad offers requests to a dispatcher and records the times of the grants of each target.
type offeredLoad struct {
	dispatcher *Dispatcher
	perStep    int
	number     int
	running    []Outcome
	ends       []time.Duration
	grants     map[string][]time.Duration
	refused    int
}

// step ends requests, calls Tick and offers perStep requests.
func (l *offeredLoad) step(now time.Duration) {
	for len(l.running) > 0 && l.ends[0] <= now {
		o := l.running[0]
		l.running, l.ends = l.running[1:], l.ends[1:]
		l.record(now, l.dispatcher.Done(now, o.ID, o.Target, Completed, 1)...)
	}
	l.record(now, l.dispatcher.Tick(now)...)
	for range l.perStep {
		l.number++
		r := request(fmt.Sprint(l.number))
		r.TimeLeft = 200 * time.Millisecond
		l.record(now, l.dispatcher.Admit(now, r))
	}
}

func (l *offeredLoad) record(now time.Duration, outcomes ...Outcome) {
	for _, o := range outcomes {
		switch {
		case o.Target != "":
			l.grants[o.Target] = append(l.grants[o.Target], now)
			l.running, l.ends = append(l.running, o), append(l.ends, now+runTime)
		case o.Refusal != "":
			l.refused++
		}
	}
}

func newOfferedLoad(d *Dispatcher, perStep int) *offeredLoad {
	return &offeredLoad{dispatcher: d, perStep: perStep, grants: make(map[string][]time.Duration)}
}

const stepTime = 10 * time.Millisecond

func (l *offeredLoad) run(from, to time.Duration) {
	for now := from; now < to; now += stepTime {
		l.step(now)
	}
}

// mostWithinASecond returns the largest number of times within one second.
func mostWithinASecond(times []time.Duration) int {
	times = slices.Sorted(slices.Values(times))
	most := 0
	for first, last := 0, 0; last < len(times); last++ {
		for times[last]-times[first] >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// arrivals returns the times at which requests arrive that are sent up to MaxColdGrantAge after
// their grants. In the worst case those of one span are late and those after it are not.
func arrivals(grants []time.Duration, random *rand.Rand, lateFrom, lateTo time.Duration) []time.Duration {
	times := make([]time.Duration, len(grants))
	for i, at := range grants {
		times[i] = at + time.Duration(random.Int64N(int64(MaxColdGrantAge/8)))
		if at >= lateFrom && at < lateTo {
			times[i] = lateTo + time.Duration(random.Int64N(int64(stepTime)))
		}
	}
	return times
}

// assertColdBound checks the bound of a cold target for grants that arrive at once, and for grants
// of which some arrive late.
func assertColdBound(t *testing.T, perSecond float64, grants []time.Duration) {
	t.Helper()
	bound := perSecond*coldOverage + coldSlack
	assert.LessOrEqual(t, float64(mostWithinASecond(grants)), bound, "rate %v", perSecond)
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		late := time.Duration(random.Int64N(int64(10 * time.Second)))
		assert.LessOrEqual(t, float64(mostWithinASecond(arrivals(grants, random, late, late+MaxColdGrantAge))), bound, "rate %v, late grants", perSecond)
	}
}

// TestColdTargetsArePaced guards against a cold target that crashes because it gets more requests
// than it states, and against one that gets far fewer than it could serve while others are full.
func TestColdTargetsArePaced(t *testing.T) {
	for _, perSecond := range []float64{0.4, 3, 20, 150} {
		d := New(0, 1)
		d.SetTargets(0, coldTargets(2, 40, time.Hour, perSecond))
		load := newOfferedLoad(d, 10)
		load.run(0, 10*time.Second)
		for _, id := range []string{"t0", "t1"} {
			assertColdBound(t, perSecond, load.grants[id])
			assert.GreaterOrEqual(t, float64(len(load.grants[id])), 0.8*10*perSecond-1, "rate %v", perSecond)
		}
	}
}

// TestNewLeaderKeepsTheColdBound guards against two leaders that together grant more than a cold
// target accepts: the next one doesn't know what the earlier one has granted. Leaders change at any
// time, also twice within a second.
func TestNewLeaderKeepsTheColdBound(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 40 {
		perSecond := []float64{1, 8, 60}[random.IntN(3)]
		grants := make(map[string][]time.Duration)
		for now := time.Duration(0); now < 10*time.Second; {
			end := now + time.Duration(random.Int64N(int64(3*time.Second)))
			d := New(now, random.Uint64())
			d.SetTargets(now, coldTargets(2, 40, time.Hour, perSecond))
			load := newOfferedLoad(d, 4)
			load.run(now, end)
			for id, times := range load.grants {
				grants[id] = append(grants[id], times...)
			}
			now = end
		}
		for _, times := range grants {
			assertColdBound(t, perSecond, times)
		}
	}
}

// TestTargetBecomesColdUnderLoad guards against a target that has restarted, or states that it is
// cold again, and keeps getting what it got while it was warm.
func TestTargetBecomesColdUnderLoad(t *testing.T) {
	const perSecond = 10
	d := New(0, 1)
	d.SetTargets(0, targets(1, 20))
	load := newOfferedLoad(d, 10)
	load.run(0, 2*time.Second)
	warm := len(load.grants["t0"])
	require.Greater(t, warm, 500)
	d.SetTargets(2*time.Second, coldTargets(1, 20, 5*time.Second, perSecond))
	load.run(2*time.Second, 3*time.Second)
	// The catalog changes for another reason.
	d.SetTargets(3*time.Second, coldTargets(1, 20, 5*time.Second, perSecond))
	load.run(3*time.Second, 5*time.Second)
	cold := load.grants["t0"][warm:]
	assertColdBound(t, perSecond, cold)
	assert.GreaterOrEqual(t, len(cold), 2*perSecond)
	load.run(5*time.Second, 6*time.Second)
	assert.Greater(t, len(load.grants["t0"])-warm-len(cold), 250, "the limit ends with the cold period")
}

// TestReturningDataCentreIsRampedUp guards against a data centre that returns cold, whose idle
// targets get all requests because they are the least loaded, and against requests that are refused
// although it has capacity.
func TestReturningDataCentreIsRampedUp(t *testing.T) {
	const perSecond = 12
	ts := targets(8, 4)
	for i := range 4 {
		ts[i+4].DataCentre = "b"
	}
	withCold := slices.Clone(ts)
	for i := range 4 {
		withCold[i].Draining, withCold[i].Evacuated = true, true
	}
	d := New(0, 1)
	d.SetTargets(0, withCold)
	// The callers are in data centre a, and the four targets of b can serve them.
	load := newOfferedLoad(d, 4)
	load.run(0, 2*time.Second)
	for i := range 4 {
		withCold[i].Draining, withCold[i].Evacuated = false, false
		withCold[i].ColdUntil, withCold[i].ColdPerSecond = 6*time.Second, perSecond
	}
	d.SetTargets(2*time.Second, withCold)
	refused := load.refused
	load.run(2*time.Second, 4*time.Second)
	for i := range 4 {
		assert.Empty(t, load.grants[fmt.Sprint("t", i)], "warm targets have free capacity")
	}
	assert.Equal(t, refused, load.refused)
	// More than b can serve: four targets with at most 8 requests each, which run for 20 ms.
	load.perStep = 20
	load.run(4*time.Second, 6*time.Second)
	for i := range 4 {
		grants := load.grants[fmt.Sprint("t", i)]
		assertColdBound(t, perSecond, grants)
		assert.GreaterOrEqual(t, len(grants), perSecond, "cold targets help up to their rate")
	}
	before := len(load.grants["t0"])
	load.run(6*time.Second, 7*time.Second)
	assert.Greater(t, len(load.grants["t0"])-before, 4*perSecond, "warm again")
}

// TestLowerOfTwoLimitsApplies guards against a cold target whose stated rate limit is ignored, and
// against a rate limit that hides the cold period.
func TestLowerOfTwoLimitsApplies(t *testing.T) {
	for _, c := range []struct{ stated, cold float64 }{{3, 20}, {20, 3}} {
		d := New(0, 1)
		d.SetTargets(0, coldTargets(1, 20, time.Hour, c.cold))
		d.LimitTarget(0, "t0", c.stated)
		load := newOfferedLoad(d, 2)
		load.run(0, 10*time.Second)
		assert.InDelta(t, 30, len(load.grants["t0"]), 3)
	}
}

// TestColdServiceRefusesAtOnce guards against requests that wait in vain because the rate measured
// while the targets were warm is used to estimate their wait.
func TestColdServiceRefusesAtOnce(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(2, 2))
	grantsWithin(d, 0, 2*time.Second)
	d.SetTargets(2*time.Second, coldTargets(2, 2, 9*time.Second, 2))
	refused := 0
	for i := range 10 {
		if o := d.Admit(2*time.Second, request(fmt.Sprint("x", i))); o.Refusal == Overloaded {
			refused++
		}
	}
	assert.Equal(t, 5, refused, "four requests can be served within a second, and the estimate counts only those ahead")
}

// TestServiceWithoutColdRateIsUnchanged guards against other decisions for services that state no
// rate of cold targets.
func TestServiceWithoutColdRateIsUnchanged(t *testing.T) {
	grants := make([]map[string][]time.Duration, 2)
	for i, until := range []time.Duration{0, time.Hour} {
		d := New(0, 1)
		d.SetTargets(0, coldTargets(3, 2, until, 0))
		load := newOfferedLoad(d, 3)
		load.run(0, time.Second)
		grants[i] = load.grants
	}
	assert.Equal(t, grants[0], grants[1])
}
