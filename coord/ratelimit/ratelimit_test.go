package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/internal/schedule"
)

// TestRefusalsWithinRate checks that callers who use up to their whole burst and rate are
// refused at most once in 1,000 requests while nothing fails.
func TestRefusalsWithinRate(t *testing.T) {
	for _, l := range []fleet.Limits{{RatePerSecond: 50, Burst: 100}, {RatePerSecond: 5, Burst: 60}, {RatePerSecond: 400, Burst: 200}, {RatePerSecond: 100, Burst: 10}} {
		schedule.Check(t, defaultSchedules, func(r *rapid.T, steps int) {
			sim := newSimulation(r, [2]fleet.Limits{l, l}, 0)
			fill := time.Duration(l.Burst / l.RatePerSecond * float64(time.Second))
			sim.advance(fill + 2*time.Second)
			credit, burstLeft := l.Burst, 0
			for range 2 * steps {
				pause := time.Duration(sim.random.ExpFloat64() / l.RatePerSecond * float64(time.Second))
				if burstLeft--; burstLeft < -200 {
					// Pause until the bucket is full, then send the whole burst at once.
					pause, burstLeft = fill, int(l.Burst)
				}
				if burstLeft > 0 {
					pause = 0
				}
				sim.advance(pause)
				credit = min(credit+l.RatePerSecond*pause.Seconds(), l.Burst)
				if credit >= 1 {
					credit--
					sim.vms[sim.random.IntN(len(sim.vms))].request("")
				}
			}
			sim.advance(time.Second)
			total := sim.admitted + sim.refused + sim.unavailable
			require.LessOrEqual(r, sim.refused+sim.unavailable, total/1000, "%+v: %d of %d", l, sim.refused+sim.unavailable, total)
		})
	}
}

// TestTakeOver checks that a successor does not start while an earlier owner may still
// grant, and that it does not wait once all earlier owners have stopped.
func TestTakeOver(t *testing.T) {
	type step struct {
		at           time.Duration
		epoch        uint64
		own          bool // this VM owns the epoch
		previousLive bool
		released     *HandoverState // the previous owner's response, handled before TakeOver
		serves       bool
	}
	const afterWait = TakeoverWait + time.Second
	for name, steps := range map[string][]step{
		"first owner":                        {{epoch: 1, own: true, serves: true}},
		"second owner, first dead":           {{epoch: 1}, {at: 1, epoch: 2, own: true, serves: true}},
		"dead owner that took over long ago": {{epoch: 2}, {at: afterWait, epoch: 3, own: true, serves: true}},
		"dead owner that took over just now": {{epoch: 2}, {at: time.Second, epoch: 3, own: true}, {at: afterWait + time.Second, epoch: 3, own: true, serves: true}},
		"unknown history":                    {{epoch: 7, own: true}, {at: afterWait, epoch: 7, own: true, serves: true}},
		"live owner, no response":            {{epoch: 2}, {at: afterWait, epoch: 3, own: true, previousLive: true}, {at: 2 * afterWait, epoch: 3, own: true, serves: true}},
		"live owner released":                {{epoch: 2}, {at: afterWait, epoch: 3, own: true, previousLive: true}, {at: afterWait + 1, epoch: 3, own: true, previousLive: true, released: &HandoverState{Epoch: 2}, serves: true}},
		"live owner never started":           {{epoch: 2}, {at: afterWait, epoch: 3, own: true, previousLive: true}, {at: afterWait + 1, epoch: 3, own: true, previousLive: true, released: &HandoverState{Epoch: 1}}},
	} {
		o := NewOwner()
		for i, s := range steps {
			o.Observe(s.at, 0, s.epoch)
			if s.released != nil {
				o.HandleReleaseResponse(s.at, 0, s.epoch, *s.released)
			}
			if s.own {
				serves, _ := o.TakeOver(s.at, 0, s.epoch, s.previousLive)
				require.Equal(t, s.serves, serves, "%s, step %d", name, i)
			}
		}
	}
}

// TestHandover checks that a handover neither creates tokens nor loses an organisation's
// burst, that a repeated release returns the same state, and that a backward step of the
// clock adds no tokens.
func TestHandover(t *testing.T) {
	limits := fleet.Limits{RatePerSecond: 10, Burst: 100}
	params, _ := BucketParamsFor(limits)
	buckets := []BucketLimits{{"acme", limits}}
	old, next := NewOwner(), NewOwner()
	old.TakeOver(0, 0, 1, false)
	at := 5 * time.Second
	first, ok := old.Acquire(at, 0, 1, buckets, 1, 20)
	require.True(t, ok)
	require.EqualValues(t, 20, first.Granted)
	old.RecordUsage(at, 0, "acme", 1000)
	state := old.Release(at+time.Second, 0, 2)
	require.Equal(t, state, old.Release(at+9*time.Second, 0, 2))
	_, ok = old.Acquire(at+time.Second, 0, 1, buckets, 1, 1)
	require.False(t, ok)
	// The successor's clock is unrelated to the previous owner's.
	now := time.Hour
	next.Observe(now, 0, 2)
	next.HandleReleaseResponse(now, 0, 2, state)
	next.HandleReleaseResponse(now, 0, 2, state)
	used, _ := next.Acquire(now, 0, 2, buckets, 1, 1000)
	require.EqualValues(t, 5*10-20+10, used.Granted)
	unused, _ := next.Acquire(now, 0, 2, []BucketLimits{{"other", limits}}, 1, 1000)
	require.EqualValues(t, 6*10, unused.Granted)
	require.InDelta(t, 1000, next.OrganisationTokens(now, 0, "acme"), 30)
	require.InDelta(t, 500, next.OrganisationTokens(now+CounterHalfLife, 0, "acme"), 15)
	for _, c := range []struct {
		at      time.Duration
		granted int64
	}{{now - time.Minute, 0}, {now, 0}, {now + time.Second, 8 /* of the 10 new tokens, 2 were reserved before */}, {now + time.Hour, int64(params.Capacity)}} {
		a, _ := next.Acquire(c.at, 0, 2, buckets, 1, 1000)
		require.Equal(t, c.granted, a.Granted, "at %v", c.at)
	}
}

// TestClientUsesAGrantOnceInTime checks that no request is admitted with an expired, late
// or repeated response, or with a reservation that expired before the VM used it.
func TestClientUsesAGrantOnceInTime(t *testing.T) {
	response := AcquireResponse{Granted: 1, Reserved: 1, Validity: 50 * time.Millisecond, RetryAfter: 30 * time.Millisecond, RequestRate: 10}
	for _, c := range []struct {
		name              string
		respondedAt       time.Duration
		sequenceOffset    uint64 // added to the sequence of the response
		tick              time.Duration
		granted, reserved bool // the request with the grant or the reservation is admitted
	}{
		{"in time", 10 * time.Millisecond, 0, 40 * time.Millisecond, true, true},
		{"reservation not due", 10 * time.Millisecond, 0, 39 * time.Millisecond, true, false},
		{"reservation missed", 10 * time.Millisecond, 0, 80 * time.Millisecond, true, false},
		{"expired", 50 * time.Millisecond, 0, 85 * time.Millisecond, false, false},
		{"clock stepped back", -time.Millisecond, 0, 40 * time.Millisecond, false, false},
		{"another acquisition", 10 * time.Millisecond, 1, 40 * time.Millisecond, false, false},
	} {
		client, key := NewClient(), Key{Organisation: "acme"}
		admitted := map[uint64]bool{}
		record := func(effects []Effect) {
			for _, e := range effects {
				require.False(t, e.Kind == Admit && admitted[e.Request], c.name)
				admitted[e.Request] = admitted[e.Request] || e.Kind == Admit
			}
		}
		client.queues[key] = &queue{waiting: []pendingRequest{{1, 1, 0}, {2, 1, 0}}}
		record(client.Tick(0, key))
		for range 2 {
			record(client.HandleResponse(c.respondedAt, key, 1+c.sequenceOffset, response))
		}
		record(client.Tick(c.tick, key))
		require.Equal(t, [2]bool{c.granted, c.reserved}, [2]bool{admitted[1], admitted[2]}, c.name)
	}
}

// TestBucketParamsAndCost checks that extreme limits are enforced, and no more strictly than
// necessary, and that an acquisition respects each of its buckets.
func TestBucketParamsAndCost(t *testing.T) {
	_, limited := BucketParamsFor(fleet.Limits{Burst: 5})
	require.False(t, limited)
	for _, l := range testLimits {
		params, limited := BucketParamsFor(l)
		require.True(t, limited)
		require.GreaterOrEqual(t, params.Capacity, 1.0)
		require.LessOrEqual(t, params.Validity, MaxValidity)
		if l.Burst >= 1+l.RatePerSecond*MinValidity.Seconds() {
			require.Equal(t, l.RatePerSecond, params.Rate, "%+v", l)
		}
	}
	o := NewOwner()
	o.TakeOver(0, 0, 1, false)
	// Both buckets limit the grant, a request that is not granted takes tokens from
	// neither, and a cost above the capacity is never granted.
	both := []BucketLimits{{"acme", fleet.Limits{RatePerSecond: 10, Burst: 100}}, {"acme/p", fleet.Limits{RatePerSecond: 1, Burst: 5}}}
	a, _ := o.Acquire(time.Minute, 0, 1, both, 1, 50)
	require.EqualValues(t, 4, a.Granted)
	a, _ = o.Acquire(time.Minute, 0, 1, both[:1], 1, 1000)
	require.EqualValues(t, 95, a.Granted)
	a, _ = o.Acquire(time.Hour, 0, 1, both, 5, 1)
	require.True(t, a.ExceedsCapacity)
	require.Zero(t, a.Granted)
}

// BenchmarkDecision measures a request at a Client together with its decision at the Owner.
func BenchmarkDecision(b *testing.B) {
	for _, buckets := range []int{1, 2} {
		b.Run(fmt.Sprintf("buckets=%d", buckets), func(b *testing.B) {
			b.ReportAllocs()
			o, c := NewOwner(), NewClient()
			o.TakeOver(0, 0, 1, false)
			limits := []BucketLimits{{"acme", fleet.Limits{RatePerSecond: 1e6, Burst: 1e6}}, {"acme/p", fleet.Limits{RatePerSecond: 1e6, Burst: 1e6}}}[:buckets]
			now, id, key := time.Second, uint64(0), Key{Organisation: "acme"}
			for b.Loop() {
				now += time.Duration(rand.IntN(20)) * time.Microsecond
				id++
				for _, e := range c.Request(now, id, key, 1) {
					if e.Kind == Send {
						a, _ := o.Acquire(now, 0, 1, limits, e.Cost, e.Count)
						c.HandleResponse(now, key, e.Sequence, a)
					}
				}
			}
		})
	}
}
