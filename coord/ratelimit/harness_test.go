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

// defaultSchedules keeps the package's tests short; SCHEDULES overrides it.
const defaultSchedules = 5

// windowCheck tests admissions against rate x time + burst over every window
// that begins after start. A window that spans an edit may use the larger limits.
type windowCheck struct {
	start  time.Duration
	limits fleet.Limits
	level  float64
	at     time.Duration
}

// admit returns the excess over the bound: a bucket that drains at the rate and
// never exceeds the burst is equivalent to the bound over all windows.
func (c *windowCheck) admit(now time.Duration) float64 {
	if now < c.start {
		return 0
	}
	c.level = max(c.level-c.limits.RatePerSecond*(now-c.at).Seconds(), 0) + 1
	c.at = now
	return c.level - c.limits.Burst
}

// staleness is how long edited limits may be unknown to the owner, and grants
// under the old ones in use: a lease, a reservation and a grant's validity.
const staleness = membership.LeaseDuration + MaxWait + MaxValidity

// meter checks the admissions of one bucket under edits.
type meter struct{ checks []*windowCheck }

func newMeter(l fleet.Limits) *meter { return &meter{[]*windowCheck{{limits: l}}} }

func (m *meter) edit(now time.Duration, l fleet.Limits) {
	for _, c := range m.checks {
		c.limits.RatePerSecond = max(c.limits.RatePerSecond, l.RatePerSecond)
		c.limits.Burst = max(c.limits.Burst, l.Burst)
	}
	m.checks = append(m.checks, &windowCheck{start: now + staleness, at: now + staleness, limits: l})
}

func (m *meter) admit(t require.TestingT, now time.Duration, what string) {
	for _, c := range m.checks {
		if excess := c.admit(now); excess > 1e-6 {
			require.Failf(t, "window bound exceeded", "%s at %v by %v under %+v", what, now, excess, c.limits)
		}
	}
}

// world is a fleet of VMs with owner and client cores, a network that loses,
// repeats and delays messages, and a control that moves the shard. Only the
// world knows the true time.
type world struct {
	t          *rapid.T
	random     *rand.Rand // uniform, unlike rapid's numbers; seeded by rapid
	now        time.Duration
	vms        []*node
	queue      []message
	lost       int // percentages of messages that are lost, repeated and late
	assigned   assignment
	limits     [2]fleet.Limits // of the organisation and of its second profile
	meters     [2]*meter
	lastID     uint64
	admitted   int
	refused    int
	unanswered int
}

type assignment struct {
	epoch        uint64
	owner        *node
	previous     *node
	previousLive bool
	limits       [2]fleet.Limits
}

// node is one incarnation of a VM.
type node struct {
	w        *world
	offset   time.Duration // of its clock
	owner    *Owner
	client   *Client
	view     assignment
	lease    time.Duration // on its own clock
	lastPoll time.Duration // true time, as control knows it
	paused   time.Duration // until then it does nothing
	isolated time.Duration // until then its polls are lost
	dead     bool
}

type message struct {
	at  time.Duration
	to  *node
	run func()
}

func newNode(w *world) *node {
	// Clocks of different VMs have nothing in common.
	offset := time.Duration(w.random.IntN(1e6)) * time.Millisecond
	n := &node{w: w, offset: offset, owner: NewOwner(), client: NewClient(), lastPoll: w.now}
	w.later(w.draw(500), n, n.poll)
	return n
}

func (n *node) clock() time.Duration { return n.w.now + n.offset }

func (w *world) draw(maxMS int) time.Duration {
	return time.Duration(w.random.IntN(maxMS*1000)) * time.Microsecond
}

func (w *world) later(delay time.Duration, to *node, run func()) {
	w.enqueue(message{w.now + max(delay, 0), to, run})
}

// enqueue keeps the queue sorted by time and, at equal times, by arrival.
func (w *world) enqueue(m message) {
	i, _ := slices.BinarySearchFunc(w.queue, m.at, func(have message, at time.Duration) int {
		if have.at <= at {
			return -1
		}
		return 1
	})
	w.queue = slices.Insert(w.queue, i, m)
}

// send delivers a message over the faulty network.
func (w *world) send(to *node, run func()) {
	percent := w.random.IntN(100)
	if percent < w.lost {
		return
	}
	delay := func() time.Duration {
		if w.random.IntN(100) < w.lost {
			return w.draw(400)
		}
		return 500*time.Microsecond + w.draw(3)
	}
	w.later(delay(), to, run)
	if percent >= 100-w.lost {
		w.later(delay(), to, run)
	}
}

// advance moves the true time and delivers what is due, in order.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		m := w.queue[0]
		w.queue = w.queue[1:]
		w.now = max(w.now, m.at)
		switch {
		case m.to.dead:
		case m.to.paused > w.now:
			w.enqueue(message{m.to.paused, m.to, m.run})
		default:
			m.run()
		}
	}
	w.now = end
}

// poll is one exchange with control: the lease counts from when it was sent.
func (n *node) poll() {
	w := n.w
	sent := n.clock()
	w.later(500*time.Millisecond, n, n.poll)
	if n.isolated > w.now {
		return
	}
	w.later(w.draw(300), n, func() {
		if n.isolated > w.now {
			return
		}
		n.lastPoll = w.now
		view := w.assigned
		w.later(w.draw(300), n, func() {
			if view.epoch >= n.view.epoch {
				n.view = view
			}
			n.lease = max(n.lease, sent+membership.LeaseDuration)
			n.owner.Observe(n.clock(), 0, n.view.epoch)
			n.serves()
		})
	})
}

// serves is the part of an adapter that starts an epoch of ownership.
func (n *node) serves() bool {
	if n.view.owner != n || n.clock() >= n.lease {
		return false
	}
	serves, ask := n.owner.TakeOver(n.clock(), 0, n.view.epoch, n.view.previousLive)
	if ask {
		epoch, previous := n.view.epoch, n.view.previous
		n.w.send(previous, func() {
			levels := previous.owner.Release(previous.clock(), 0, epoch)
			n.w.send(n, func() { n.owner.Released(n.clock(), 0, epoch, levels) })
		})
	}
	return serves
}

// decide is the owner's part of an adapter.
func (n *node) decide(key Key, unit, count int64) (Answer, bool) {
	if !n.serves() {
		return Answer{}, false
	}
	wants := []Want{{"acme", n.view.limits[0]}}
	if key.Profile != "" {
		wants = append(wants, Want{BucketName("acme", key.Profile), n.view.limits[1]})
	}
	return n.owner.Acquire(n.clock(), 0, n.view.epoch, wants, unit, count)
}

// run is the client's part of an adapter.
func (n *node) run(effects []Effect) {
	w := n.w
	for _, e := range effects {
		switch e.Kind {
		case Send:
			owner := n.view.owner
			if owner == nil {
				continue // a restarted VM knows no owner yet; the acquisition times out
			}
			w.send(owner, func() {
				answer, ok := owner.decide(e.Key, e.Unit, e.Count)
				w.send(n, func() {
					if !ok {
						n.run(n.client.Failed(n.clock(), e.Key, e.Sequence))
						return
					}
					n.run(n.client.Answered(n.clock(), e.Key, e.Sequence, answer))
				})
			})
		case Wake:
			w.later(e.At-n.clock(), n, func() { n.run(n.client.Tick(n.clock(), e.Key)) })
		case Admit:
			w.admitted++
			w.meters[0].admit(w.t, w.now, "organisation")
			if e.Key.Profile != "" {
				w.meters[1].admit(w.t, w.now, "profile")
			}
		case Refuse:
			w.refused++
		case Unavailable:
			w.unanswered++
		}
	}
}

// request adds a caller's request.
func (n *node) request(profile string) {
	n.w.lastID++
	id, key := n.w.lastID, Key{Organisation: "acme", Profile: profile}
	n.w.later(0, n, func() { n.run(n.client.Request(n.clock(), id, key, 1)) })
}

// reassign is control's part: a dead owner is replaced, a live one may be moved.
func (w *world) reassign(planned bool) {
	old := w.assigned
	live := func(n *node) bool { return w.now-n.lastPoll < membership.DeadAfter }
	if live(old.owner) && !planned {
		return
	}
	candidates := slices.DeleteFunc(slices.Clone(w.vms), func(n *node) bool { return n == old.owner || !live(n) })
	if len(candidates) == 0 {
		return
	}
	next := w.random.IntN(len(candidates))
	w.assigned.epoch++
	w.assigned.owner = candidates[next]
	w.assigned.previous, w.assigned.previousLive = old.owner, live(old.owner)
}

// restart replaces a VM by a new incarnation.
func (w *world) restart(i int) {
	w.vms[i].dead = true
	w.vms[i] = newNode(w)
}

func newWorld(t *rapid.T, limits [2]fleet.Limits, lost int) *world {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	w := &world{t: t, random: random, lost: lost, limits: limits, meters: [2]*meter{newMeter(limits[0]), newMeter(limits[1])}}
	for range 4 {
		w.vms = append(w.vms, newNode(w))
	}
	w.assigned = assignment{epoch: 1, owner: w.vms[0], limits: limits}
	for _, n := range w.vms {
		n.view = w.assigned
	}
	return w
}

func (w *world) edit(which int, l fleet.Limits) {
	w.limits[which] = l
	w.assigned.limits[which] = l
	w.meters[which].edit(w.now, l)
}
