package ratelimit

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/membership"
)

// defaultSchedules is the number of random schedules per test. It keeps the tests short;
// the environment variable SCHEDULES overrides it.
const defaultSchedules = 5

// windowBound checks the bound rate x time + burst on the admissions of every window that
// begins after start. In a window that includes a change of limits, the larger limits
// apply.
type windowBound struct {
	start   time.Duration
	limits  fleet.Limits
	level   float64 // level, at the time updated, of a leaky bucket that gains 1 per admission
	updated time.Duration
}

// admit records an admission and returns by how much it exceeds the bound. The bound holds
// over all windows exactly if a bucket that leaks at the rate never exceeds the burst.
func (b *windowBound) admit(now time.Duration) float64 {
	if now < b.start {
		return 0
	}
	b.level = max(b.level-b.limits.RatePerSecond*(now-b.updated).Seconds(), 0) + 1
	b.updated = now
	return b.level - b.limits.Burst
}

// maxStaleness is the longest time after a change of limits in which requests may be
// admitted under the old limits: the lease of an owner that does not know the change, plus
// the wait and the validity of its last reserved grant.
const maxStaleness = membership.LeaseDuration + MaxWait + MaxValidity

// windowChecker checks the admissions of one bucket whose limits may change.
type windowChecker struct{ bounds []*windowBound }

func newWindowChecker(l fleet.Limits) *windowChecker {
	return &windowChecker{[]*windowBound{{limits: l}}}
}

// setLimits widens the existing bounds to l and adds a bound with l alone, which starts
// when the old limits can no longer be in use.
func (c *windowChecker) setLimits(now time.Duration, l fleet.Limits) {
	for _, b := range c.bounds {
		b.limits.RatePerSecond = max(b.limits.RatePerSecond, l.RatePerSecond)
		b.limits.Burst = max(b.limits.Burst, l.Burst)
	}
	c.bounds = append(c.bounds, &windowBound{start: now + maxStaleness, updated: now + maxStaleness, limits: l})
}

func (c *windowChecker) admit(t require.TestingT, now time.Duration, bucket string) {
	for _, b := range c.bounds {
		if excess := b.admit(now); excess > 1e-6 {
			require.Failf(t, "window bound exceeded", "%s at %v by %v under %+v", bucket, now, excess, b.limits)
		}
	}
}

// simulation runs the Owner and the Client of several VMs in simulated time, with a
// network that loses, duplicates and delays messages and with a control that moves the
// shard between the VMs. The VMs see only their own clocks, not the simulated time.
type simulation struct {
	t            *rapid.T
	random       *rand.Rand // seeded by rapid, whose own numbers are not uniform
	now          time.Duration
	vms          []*simNode
	queue        []simEvent
	faultPercent int             // percentage of messages lost; the same for duplicated and for delayed ones
	assigned     assignment      // latest assignment that control committed
	limits       [2]fleet.Limits // limits of the organisation and of its profile "second"
	checkers     [2]*windowChecker
	lastID       uint64
	admitted     int
	refused      int
	unavailable  int
}

// assignment is control's assignment of the shard, with the limits in the same configuration.
type assignment struct {
	epoch        uint64
	owner        *simNode
	previous     *simNode
	previousLive bool
	limits       [2]fleet.Limits
}

// simNode is one incarnation of a VM.
type simNode struct {
	sim           *simulation
	clockOffset   time.Duration // its clock minus simulated time
	owner         *Owner
	client        *Client
	view          assignment    // latest assignment that it received
	leaseEnd      time.Duration // end of its lease on its own clock
	lastPoll      time.Duration // when control received its last poll, in simulated time
	pausedUntil   time.Duration // it handles no event before this time
	isolatedUntil time.Duration // its polls are lost before this time
	dead          bool
}

// simEvent is a function that runs on a VM at a time: the delivery of a message or a timer.
type simEvent struct {
	at  time.Duration
	to  *simNode
	run func()
}

func newSimNode(sim *simulation) *simNode {
	// Each VM has an unrelated clock.
	clockOffset := time.Duration(sim.random.IntN(1e6)) * time.Millisecond
	n := &simNode{sim: sim, clockOffset: clockOffset, owner: NewOwner(), client: NewClient(), lastPoll: sim.now}
	sim.after(sim.randomDuration(500), n, n.poll)
	return n
}

func (n *simNode) clock() time.Duration { return n.sim.now + n.clockOffset }

// randomDuration returns a uniform duration below maxMS milliseconds.
func (s *simulation) randomDuration(maxMS int) time.Duration {
	return time.Duration(s.random.IntN(maxMS*1000)) * time.Microsecond
}

// after schedules run on a VM.
func (s *simulation) after(delay time.Duration, to *simNode, run func()) {
	s.enqueue(simEvent{s.now + max(delay, 0), to, run})
}

// enqueue keeps the queue sorted by time and, at equal times, by order of insertion.
func (s *simulation) enqueue(e simEvent) {
	i, _ := slices.BinarySearchFunc(s.queue, e.at, func(queued simEvent, at time.Duration) int {
		if queued.at <= at {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, i, e)
}

// send delivers a message over the network, which may lose, duplicate or delay it.
func (s *simulation) send(to *simNode, run func()) {
	percent := s.random.IntN(100)
	if percent < s.faultPercent {
		return
	}
	delay := func() time.Duration {
		if s.random.IntN(100) < s.faultPercent {
			return s.randomDuration(400)
		}
		return 500*time.Microsecond + s.randomDuration(3)
	}
	s.after(delay(), to, run)
	if percent >= 100-s.faultPercent {
		s.after(delay(), to, run)
	}
}

// advance moves the simulated time by d and runs the events that are due, in order.
func (s *simulation) advance(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = max(s.now, e.at)
		switch {
		case e.to.dead:
		case e.to.pausedUntil > s.now:
			s.enqueue(simEvent{e.to.pausedUntil, e.to, e.run})
		default:
			e.run()
		}
	}
	s.now = end
}

// poll schedules the next poll and exchanges one request and response with control. The
// lease is counted from when the request was sent.
func (n *simNode) poll() {
	sim := n.sim
	sent := n.clock()
	sim.after(500*time.Millisecond, n, n.poll)
	if n.isolatedUntil > sim.now {
		return
	}
	sim.after(sim.randomDuration(300), n, func() {
		if n.isolatedUntil > sim.now {
			return
		}
		n.lastPoll = sim.now
		view := sim.assigned
		sim.after(sim.randomDuration(300), n, func() {
			if view.epoch >= n.view.epoch {
				n.view = view
			}
			n.leaseEnd = max(n.leaseEnd, sent+membership.LeaseDuration)
			n.owner.Observe(n.clock(), 0, n.view.epoch)
			n.tryTakeOver()
		})
	})
}

// tryTakeOver starts an epoch of ownership as server/limits does, and reports whether this
// VM serves it.
func (n *simNode) tryTakeOver() bool {
	if n.view.owner != n || n.clock() >= n.leaseEnd {
		return false
	}
	serves, requestRelease := n.owner.TakeOver(n.clock(), 0, n.view.epoch, n.view.previousLive)
	if requestRelease {
		epoch, previous := n.view.epoch, n.view.previous
		n.sim.send(previous, func() {
			state := previous.owner.Release(previous.clock(), 0, epoch)
			n.sim.send(n, func() { n.owner.HandleReleaseResponse(n.clock(), 0, epoch, state) })
		})
	}
	return serves
}

// handleAcquire handles an acquisition at the owner, as server/limits does.
func (n *simNode) handleAcquire(key Key, cost, count int64) (AcquireResponse, bool) {
	if !n.tryTakeOver() {
		return AcquireResponse{}, false
	}
	buckets := []BucketLimits{{"acme", n.view.limits[0]}}
	if key.Profile != "" {
		buckets = append(buckets, BucketLimits{BucketName("acme", key.Profile), n.view.limits[1]})
	}
	return n.owner.Acquire(n.clock(), 0, n.view.epoch, buckets, cost, count)
}

// apply performs the effects of the Client, as server/limits does.
func (n *simNode) apply(effects []Effect) {
	sim := n.sim
	for _, e := range effects {
		switch e.Kind {
		case Send:
			owner := n.view.owner
			if owner == nil {
				continue // a restarted VM does not know the owner yet; the acquisition times out
			}
			sim.send(owner, func() {
				response, ok := owner.handleAcquire(e.Key, e.Cost, e.Count)
				sim.send(n, func() {
					if !ok {
						n.apply(n.client.HandleFailure(n.clock(), e.Key, e.Sequence))
						return
					}
					n.apply(n.client.HandleResponse(n.clock(), e.Key, e.Sequence, response))
				})
			})
		case ScheduleTick:
			sim.after(e.At-n.clock(), n, func() { n.apply(n.client.Tick(n.clock(), e.Key)) })
		case Admit:
			sim.admitted++
			sim.checkers[0].admit(sim.t, sim.now, "organisation")
			if e.Key.Profile != "" {
				sim.checkers[1].admit(sim.t, sim.now, "profile")
			}
		case Refuse:
			sim.refused++
		case Unavailable:
			sim.unavailable++
		}
	}
}

// request adds a request of a caller to the Client.
func (n *simNode) request(profile string) {
	n.sim.lastID++
	id, key := n.sim.lastID, Key{Organisation: "acme", Profile: profile}
	n.sim.after(0, n, func() { n.apply(n.client.Request(n.clock(), id, key, 1)) })
}

// reassign acts as control: it replaces a dead owner, and moves the shard away from a live
// one if planned is set.
func (s *simulation) reassign(planned bool) {
	old := s.assigned
	live := func(n *simNode) bool { return s.now-n.lastPoll < membership.DeadAfter }
	if live(old.owner) && !planned {
		return
	}
	candidates := slices.DeleteFunc(slices.Clone(s.vms), func(n *simNode) bool { return n == old.owner || !live(n) })
	if len(candidates) == 0 {
		return
	}
	next := s.random.IntN(len(candidates))
	s.assigned.epoch++
	s.assigned.owner = candidates[next]
	s.assigned.previous, s.assigned.previousLive = old.owner, live(old.owner)
}

// restart replaces a VM by a new incarnation.
func (s *simulation) restart(i int) {
	s.vms[i].dead = true
	s.vms[i] = newSimNode(s)
}

func newSimulation(t *rapid.T, limits [2]fleet.Limits, faultPercent int) *simulation {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	sim := &simulation{t: t, random: random, faultPercent: faultPercent, limits: limits, checkers: [2]*windowChecker{newWindowChecker(limits[0]), newWindowChecker(limits[1])}}
	for range 4 {
		sim.vms = append(sim.vms, newSimNode(sim))
	}
	sim.assigned = assignment{epoch: 1, owner: sim.vms[0], limits: limits}
	for _, n := range sim.vms {
		n.view = sim.assigned
	}
	return sim
}

// setLimits changes the limits of the organisation (index 0) or of its profile "second" (1).
func (s *simulation) setLimits(index int, l fleet.Limits) {
	s.limits[index] = l
	s.assigned.limits[index] = l
	s.checkers[index].setLimits(s.now, l)
}
