package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func targets(n, slots int) []Target {
	var ts []Target
	for i := range n {
		ts = append(ts, Target{ID: fmt.Sprintf("t%d", i), Service: "s", DataCentre: "a", Slots: slots})
	}
	return ts
}

func request(id string) Request {
	return Request{ID: id, Service: "s", TimeLeft: time.Second, DataCentre: "a"}
}

func limitedRequest(id string, rate, burst float64) Request {
	r := request(id)
	r.Organisation, r.Limits = "o", Limits{Version: 1, RatePerSecond: rate, Burst: burst}
	return r
}

// TestWaitsForAFreeSlot guards against a target that gets more requests than it may
// hold, and against a queued request that is never granted. More requests arrive
// than the targets have slots.
func TestWaitsForAFreeSlot(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(2, 2))
	perTarget := map[string]int{}
	for i := range 6 {
		o := d.Admit(0, request(fmt.Sprint(i)))
		require.NotEmpty(t, o.Target)
		perTarget[o.Target]++
	}
	assert.Equal(t, map[string]int{"t0": 3, "t1": 3}, perTarget, "two running requests and one that is queued at the target")
	require.True(t, d.Admit(0, request("waits")).Waiting())
	out := d.Done(time.Millisecond, "0", d.grants["0"].target.ID, Completed, 1)
	require.Len(t, out, 1)
	assert.Equal(t, "waits", out[0].ID)
	assert.NotEmpty(t, out[0].Target)
}

// TestQueueOrder guards against urgent requests that wait behind less urgent ones,
// and against less urgent ones that starve.
func TestQueueOrder(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(1, 1))
	d.Admit(0, request("running"))
	d.Admit(0, request("at the target"))
	low, high, late := request("low"), request("high"), request("late")
	low.Priority, late.Priority = 2, 0
	low.TimeLeft, late.TimeLeft = 10*time.Second, 10*time.Second
	d.Admit(0, low)
	d.Admit(10*time.Millisecond, high)
	d.Admit(2*priorityDelay+time.Millisecond, late)
	var order []string
	ended := "running"
	for range 3 {
		out := d.Done(2*priorityDelay+2*time.Millisecond, ended, "t0", Completed, 1)
		for _, o := range out {
			if o.Target != "" {
				order = append(order, o.ID)
				ended = o.ID
			}
		}
	}
	assert.Equal(t, []string{"high", "low", "late"}, order)
}

// TestRefusesRequestsThatCannotBeServed guards against requests that wait until
// their callers' time runs out during a lasting overload, although it is known on
// arrival that they cannot be served.
func TestRefusesRequestsThatCannotBeServed(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(1, 1))
	now := time.Duration(0)
	d.Admit(now, request("r0"))
	refused := 0
	for i := 1; i < 200; i++ {
		now += 10 * time.Millisecond
		if o := d.Admit(now, request(fmt.Sprintf("r%d", i))); o.Refusal == Overloaded {
			refused++
			assert.Positive(t, o.RetryAfter)
		}
		if i%10 == 0 {
			for id, g := range d.grants {
				d.Done(now, id, g.target.ID, Completed, 1)
				break
			}
		}
	}
	assert.Greater(t, refused, 50)
	for _, o := range d.Tick(now + 2*time.Second) {
		assert.NotEqual(t, "", o.ID)
	}
	assert.Zero(t, d.Load("s").Waiting)
}

// TestRateAndBurst guards against an organisation that gets more than its rate and
// burst in any time window.
func TestRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(0, 1)
		d.SetTargets(0, targets(1, 1_000_000))
		const rate, burst = 50.0, 20.0
		var admitted []time.Duration
		now := time.Duration(0)
		for i := range rapid.IntRange(50, 400).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * time.Millisecond
			for _, o := range d.Tick(now) {
				if o.Target != "" {
					admitted = append(admitted, now)
				}
			}
			r := limitedRequest(fmt.Sprint(i), rate, burst)
			r.ContinuesProgram = rapid.Bool().Draw(t, "continues program")
			if d.Admit(now, r).Target != "" {
				admitted = append(admitted, now)
			}
		}
		for i := range admitted {
			for j := i; j < len(admitted); j++ {
				if limit := rate*(admitted[j]-admitted[i]).Seconds() + burst + 1e-6; float64(j-i+1) > limit {
					t.Fatalf("%d admitted between %v and %v, at most %.1f", j-i+1, admitted[i], admitted[j], limit)
				}
			}
		}
	})
}

// TestStartedProgramsHavePriority guards against a rate limit that makes every
// program of an organisation lose a request. The organisation sends twice its rate,
// at which half of its programs can finish.
func TestStartedProgramsHavePriority(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(1, 1_000_000))
	const requestsPerProgram, rate = 10, 100.0
	finished, started := 0, 0
	type program struct {
		requestsLeft int
		next         time.Duration
	}
	var programs []*program
	id := 0
	admit := func(now time.Duration, first bool) bool {
		id++
		r := limitedRequest(fmt.Sprint(id), rate, 100)
		r.StartsProgram, r.ContinuesProgram = first, !first
		return d.Admit(now, r).Refusal == ""
	}
	for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
		started++ // 20 programs of 10 requests per second are twice the rate
		if admit(now, true) {
			programs = append(programs, &program{requestsPerProgram - 1, now + 200*time.Millisecond})
		}
		rest := programs[:0]
		for _, p := range programs {
			if now < p.next {
				rest = append(rest, p)
				continue
			}
			if !admit(now, false) {
				continue // the program has lost a request and fails
			}
			p.requestsLeft--
			p.next = now + 200*time.Millisecond
			if p.requestsLeft == 0 {
				finished++
			} else {
				rest = append(rest, p)
			}
		}
		programs = rest
	}
	assert.Greater(t, float64(finished), 0.45*float64(started), "half of the programs fit the rate, and nine tenths of these finish")
}

// TestAvoidsTargets guards against grants to a target that is draining or could not
// be reached.
func TestAvoidsTargets(t *testing.T) {
	d := New(0, 1)
	ts := targets(2, 4)
	ts[0].Draining = true
	d.SetTargets(0, ts)
	for i := range 5 {
		assert.Equal(t, "t1", d.Admit(0, request(fmt.Sprint(i))).Target)
	}
	ts[0].Draining = false
	d.SetTargets(0, ts)
	d.Done(0, "0", "t1", Unreachable, 1)
	for i := range 3 {
		assert.Equal(t, "t0", d.Admit(0, request(fmt.Sprint("x", i))).Target)
	}
	for i := range 2 {
		assert.Equal(t, "t0", d.Admit(0, request(fmt.Sprint("y", i))).Target)
	}
	assert.True(t, d.Admit(0, request("waits")).Waiting(), "the healthy target is busy and the other one is down")
	d.Cancel("waits")
	again := request("again")
	again.Exclude = []string{"t0"}
	assert.Equal(t, "t1", d.Admit(minSuspectTime, again).Target, "the target is no longer suspect")
}

// TestDeclinedTargetIsAvoided guards against requests that are all granted first at a target
// which the sending VMs decline because their catalogs are newer: it always has free slots.
func TestDeclinedTargetIsAvoided(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(2, 4))
	declined := d.Admit(0, request("declined")).Target
	d.Done(0, "declined", declined, Leaving, 0)
	for i := range 4 {
		assert.NotEqual(t, declined, d.Admit(0, request(fmt.Sprint(i))).Target)
	}
	assert.Equal(t, declined, d.Admit(minSuspectTime, request("later")).Target, "the other target is busy")
}

// TestDeclinedTargetIsNotGrantedAgain guards against a request that is granted at the target which
// it has been declined for, although there is another one that is suspect as well.
func TestDeclinedTargetIsNotGrantedAgain(t *testing.T) {
	for seed := range uint64(20) {
		d := New(0, seed)
		d.SetTargets(0, targets(2, 4))
		d.Done(0, "unreachable", "t1", Unreachable, 0)
		require.Equal(t, "t0", d.Admit(0, request("r")).Target)
		d.Done(0, "r", "t0", Leaving, 0)
		again := request("r")
		again.Exclude = []string{"t0"}
		assert.Equal(t, "t1", d.Admit(0, again).Target)
	}
}

// TestLostReportAndRepeatedRequest guards against a grant that keeps its slot forever
// because its done report was lost, and against a repeated request that is granted two
// slots.
func TestLostReportAndRepeatedRequest(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(1, 2))
	first := d.Admit(0, limitedRequest("a", 1, 1))
	again := d.Admit(0, limitedRequest("a", 1, 1))
	assert.Equal(t, first.Target, again.Target, "the repeated request is not charged")
	assert.Equal(t, 1, d.Load("s").Running)
	d.Tick(2*time.Second + grantGracePeriod)
	assert.Zero(t, d.Load("s").Running)
}

// TestPrefersTargetWithCachedPrefix guards against a placement that computes a
// shared prefix again although an engine with free slots has it cached.
func TestPrefersTargetWithCachedPrefix(t *testing.T) {
	d := New(0, 1)
	ts := targets(4, 8)
	for i := range ts {
		ts[i].KVCapacity = 100_000
	}
	d.SetTargets(0, ts)
	r := request("a")
	r.Parts = []Part{{"shared", 2000}, {"own", 3000}}
	cachedAt := d.Admit(0, r).Target
	d.Done(0, "a", cachedAt, Completed, 1)
	r.ID, r.Parts = "b", append(r.Parts, Part{"more", 100})
	o := d.Admit(0, r)
	assert.Equal(t, cachedAt, o.Target)
	assert.EqualValues(t, 5000, o.Cached)
}

// TestNewDispatcherTakesNewcomers guards against a new dispatcher, after a change of
// leader, that refuses the first requests of programs although no organisation
// exceeds its rate. The buckets of a new dispatcher are almost empty.
func TestNewDispatcherTakesNewcomers(t *testing.T) {
	d := New(time.Minute, 1)
	d.SetTargets(time.Minute, targets(1, 100))
	for i := range 20 {
		now := time.Minute + time.Duration(i)*20*time.Millisecond
		r := limitedRequest(fmt.Sprint(i), 100, 100)
		r.StartsProgram = true
		assert.NotEmpty(t, d.Admit(now, r).Target, "the organisation uses half of its rate")
	}
	later := limitedRequest("later", 100, 100)
	later.Organisation, later.StartsProgram = "other", true
	assert.NotEmpty(t, d.Admit(2*time.Minute, later).Target, "a bucket fills from the start of the dispatcher, not from its first use")
}

// TestOnTrackProgramsHavePriority guards against a queue in order of arrival, in
// which every program is late when the service has fewer slots than its load needs.
func TestOnTrackProgramsHavePriority(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(1, 1))
	d.Admit(0, request("running"))
	d.Admit(0, request("at the target"))
	for _, p := range []struct {
		id       string
		timeLeft time.Duration
	}{{"late", -1}, {"much time", 10 * time.Second}, {"little time", 300 * time.Millisecond}, {"no program", 0}} {
		r := request(p.id)
		r.ProgramTimeLeft = p.timeLeft
		require.True(t, d.Admit(0, r).Waiting())
	}
	var order []string
	for ended := "running"; len(order) < 4; {
		for _, o := range d.Done(time.Millisecond, ended, "t0", Completed, 1) {
			order = append(order, o.ID)
			ended = o.ID
		}
	}
	assert.Equal(t, []string{"no program", "little time", "late", "much time"}, order)
}

// TestAvoidsSlowAndFailingTargets guards against placements on targets that have
// become slow, or that fail requests while their health checks pass, and against
// targets that are never tried again.
func TestAvoidsSlowAndFailingTargets(t *testing.T) {
	for _, c := range []struct {
		name   string
		took   time.Duration
		result Result
	}{{"slow", 200 * time.Millisecond, Completed}, {"failing", 20 * time.Millisecond, Failed}} {
		t.Run(c.name, func(t *testing.T) {
			d := New(0, 1)
			d.SetTargets(0, targets(4, 6))
			now, toFaulty, total := time.Duration(0), 0, 0
			for i := range 400 {
				o := d.Admit(now, request(fmt.Sprint(i)))
				require.NotEmpty(t, o.Target)
				took, result := 20*time.Millisecond, Completed
				if o.Target == "t0" {
					took, result = c.took, c.result
				}
				if i >= 100 {
					total++
					if o.Target == "t0" {
						toFaulty++
					}
				}
				now += took
				d.Done(now, fmt.Sprint(i), o.Target, result, 1)
			}
			assert.Less(t, float64(toFaulty), 0.05*float64(total), "without the statistics it would be one request in four")
			for i := range 400 {
				now += 20 * time.Millisecond
				o := d.Admit(now, request(fmt.Sprint("later", i)))
				now += 20 * time.Millisecond
				d.Done(now, fmt.Sprint("later", i), o.Target, Completed, 1)
			}
			assert.Greater(t, d.targets["t0"].stats.samples, 20, "the target is used again within 16 s of its recovery")
		})
	}
}
