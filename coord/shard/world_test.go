package shard

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hemlockvale.dev/coord/fleet"
)

// world runs replicas on several VMs with a fake control and a network that
// delays, loses and duplicates messages, in simulated time.
type world struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Duration
	queue   []simEvent // in order of time, the next one last
	order   uint64
	steps   int
	control fakeControl
	nodes   []*simNode
	blocked map[[2]string]bool // directed links that lose everything
	loss    float64
	double  float64
	clients clients
	notes   map[string]int
	// unconfirmed releases reach no target.
	unconfirmed bool
}

// simNode is one VM: an entry with a replica of the shard.
type simNode struct {
	vm          fleet.VM
	r           *Replica
	clock       time.Duration // offset of its monotonic clock
	alive       bool
	pausedUntil time.Duration
	lease       time.Duration // in world time
	known       fleet.Assignment
	revision    uint64
	released    map[string]int
}

type simEvent struct {
	at    time.Duration
	order uint64
	run   func()
}

const (
	simLease  = 2 * time.Second
	simDeath  = 3 * time.Second
	simPoll   = 500 * time.Millisecond
	linkDelay = 2 * time.Millisecond
	lateDelay = time.Second // of a message that is delivered again
)

func newWorld(t testing.TB, seed uint64, nodes int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]string]bool{}, notes: map[string]int{}}
	w.clients = newClients(w)
	w.control = fakeControl{w: w, polls: map[fleet.VMRef]time.Duration{}}
	for i := range nodes {
		w.boot(fmt.Sprintf("vm-%d", i))
	}
	a := fleet.Assignment{Epoch: 1, Version: 1, Owner: w.nodes[0].vm.VMRef}
	a.InSync = []fleet.VMRef{a.Owner}
	for _, n := range w.nodes[:min(3, nodes)] {
		a.Replicas = append(a.Replicas, n.vm.VMRef)
	}
	w.control.commit(a)
	w.after(0, w.control.plan)
	return w
}

// boot starts a VM, or starts it again as another incarnation.
func (w *world) boot(id string) *simNode {
	i := slices.IndexFunc(w.nodes, func(n *simNode) bool { return n.vm.ID == id })
	if i < 0 {
		i = len(w.nodes)
		w.nodes = append(w.nodes, nil)
	}
	w.order++
	n := &simNode{alive: true, clock: time.Duration(w.rng.Int64N(int64(time.Hour))), released: map[string]int{}}
	n.vm = fleet.VM{VMRef: fleet.VMRef{ID: id, Incarnation: fmt.Sprint(w.order)}, DataCentre: fmt.Sprintf("dc-%d", i%3)}
	n.r = New(n.vm.VMRef, 0)
	n.r.partBytes = 2000 // several parts per copy
	w.nodes[i] = n
	w.after(time.Duration(w.rng.Int64N(int64(20*time.Millisecond))), func() { w.poll(n) })
	w.after(TickInterval, func() { w.tick(n) })
	return n
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	e := simEvent{w.now + d, w.order, run}
	i, _ := slices.BinarySearchFunc(w.queue, e, func(a, b simEvent) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(b.order, a.order))
	})
	w.queue = slices.Insert(w.queue, i, e)
}

func (w *world) next() simEvent { return w.queue[len(w.queue)-1] }

// step runs the next event and checks the invariants.
func (w *world) step() {
	e := w.next()
	w.queue = w.queue[:len(w.queue)-1]
	w.now = max(w.now, e.at)
	w.steps++
	e.run()
	w.clients.check()
}

// runFor runs the events of a time span.
func (w *world) runFor(d time.Duration) {
	for end := w.now + d; w.next().at <= end; {
		w.step()
	}
}

// until runs until the condition holds, for at most d.
func (w *world) until(d time.Duration, what string, done func() bool) {
	w.t.Helper()
	for end := w.now + d; !done(); {
		if w.next().at > end {
			w.t.Fatalf("not reached within %s: %s", d, what)
		}
		w.step()
	}
}

func (w *world) node(ref fleet.VMRef) *simNode {
	for _, n := range w.nodes {
		if n.vm.VMRef == ref && n.alive {
			return n
		}
	}
	return nil
}

func (w *world) dataCentre(id string) string {
	i := slices.IndexFunc(w.nodes, func(n *simNode) bool { return n.vm.ID == id })
	return w.nodes[i].vm.DataCentre
}

// on runs f at a VM now, after its pause, or never if it has failed.
func (w *world) on(n *simNode, f func()) {
	switch {
	case n == nil || !n.alive:
	case w.now < n.pausedUntil:
		w.after(n.pausedUntil-w.now, func() { w.on(n, f) })
	default:
		f()
	}
}

// transmit delivers something over a link, late, twice or never.
func (w *world) transmit(from, to string, deliver func()) {
	if from == to {
		deliver()
		return
	}
	for delay := linkDelay; ; delay = lateDelay {
		if !w.blocked[[2]string{from, to}] && w.rng.Float64() >= w.loss {
			w.after(linkDelay+time.Duration(w.rng.Int64N(int64(delay))), deliver)
		}
		if w.rng.Float64() >= w.double {
			return
		}
	}
}

// handle passes an event to a VM's replica and carries out the effects.
func (w *world) handle(n *simNode, e Event) {
	for _, effect := range slices.Clone(n.r.Step(w.now+n.clock, e)) {
		w.perform(n, effect)
	}
}

func (w *world) perform(n *simNode, effect Effect) {
	switch e := effect.(type) {
	case SendAppend:
		w.exchange(n, e.To, func(id uint64) Event { return AppendReceived{id, e.Message} }, func(reply Effect) Event {
			answer := reply.(ReplyAppend).Reply
			return AppendAnswered{e.To, e.Message.Epoch, e.Number, &answer}
		})
	case SendCopy:
		w.exchange(n, e.To, func(id uint64) Event { return CopyReceived{id, e.Message} }, func(reply Effect) Event {
			answer := reply.(ReplyCopy).Reply
			return CopyAnswered{e.To, e.Message.Epoch, e.Number, &answer}
		})
	case ReplyAppend, ReplyCopy, ReplyBegin, Reply:
		w.clients.answer(effect)
	case Ask:
		w.transmit(n.vm.ID, "control", func() {
			ok := w.control.assign(e.Assignment)
			w.transmit("control", n.vm.ID, func() { w.on(n, func() { w.handle(n, Asked{e.Assignment, ok}) }) })
		})
	case ReleaseMemory:
		n.released[e.Release.Program.ID]++
		if !w.unconfirmed && w.rng.Float64() >= w.loss {
			w.after(10*time.Millisecond, func() { w.on(n, func() { w.handle(n, ReleaseDone(e)) }) })
		}
	case Note:
		w.notes[e.Name]++
	}
}

// exchange delivers a message to a replica and its answer to the owner.
func (w *world) exchange(n *simNode, ref fleet.VMRef, build func(id uint64) Event, answered func(Effect) Event) {
	w.transmit(n.vm.ID, ref.ID, func() {
		to := w.node(ref)
		w.on(to, func() {
			id := w.clients.expect(func(reply Effect) {
				w.transmit(ref.ID, n.vm.ID, func() { w.on(n, func() { w.handle(n, answered(reply)) }) })
			})
			w.handle(to, build(id))
		})
	})
}

// poll renews the lease and brings the configuration, as the poller of an entry does.
func (w *world) poll(n *simNode) {
	w.on(n, func() {
		sent := w.now
		w.transmit(n.vm.ID, "control", func() {
			view, a := w.control.poll(n.vm)
			w.transmit("control", n.vm.ID, func() {
				w.on(n, func() {
					if view.Revision >= n.revision {
						n.revision, n.known = view.Revision, a
						w.handle(n, Assigned{a})
						w.handle(n, FleetChanged{view})
					}
					n.lease = max(n.lease, sent+simLease)
					w.handle(n, LeaseRenewed{n.lease + n.clock})
				})
			})
		})
		w.after(simPoll, func() { w.poll(n) })
	})
}

func (w *world) tick(n *simNode) {
	w.on(n, func() {
		w.handle(n, Tick{})
		w.after(TickInterval, func() { w.tick(n) })
	})
}

// fakeControl is control's state with its planner.
type fakeControl struct {
	w          *world
	assignment fleet.Assignment
	revision   uint64
	vms        []fleet.VM
	polls      map[fleet.VMRef]time.Duration
}

func (c *fakeControl) commit(a fleet.Assignment) {
	c.assignment = a
	c.revision++
}

// assign is control.assign: a compare-and-set on the version, with the rules of coord/fleet.
func (c *fakeControl) assign(a fleet.Assignment) bool {
	old := &c.assignment
	if a.Version != old.Version+1 || !slices.Contains(old.InSync, a.Owner) || !slices.Contains(a.InSync, a.Owner) ||
		!slices.Equal(a.Replicas, old.Replicas) || (a.Owner != old.Owner) != (a.Epoch == old.Epoch+1) {
		return false
	}
	for _, ref := range a.InSync {
		if !slices.Contains(old.Replicas, ref) || !slices.Contains(old.InSync, ref) && a.Owner != old.Owner {
			return false
		}
	}
	c.commit(a)
	return true
}

func (c *fakeControl) poll(vm fleet.VM) (*View, fleet.Assignment) {
	if _, ok := c.polls[vm.VMRef]; !ok {
		c.vms = slices.DeleteFunc(c.vms, func(o fleet.VM) bool {
			if o.ID == vm.ID {
				delete(c.polls, o.VMRef)
			}
			return o.ID == vm.ID
		})
		c.vms = append(c.vms, vm)
		c.revision++
	}
	c.polls[vm.VMRef] = c.w.now
	view := &View{Revision: c.revision, VMs: map[string]fleet.VM{}}
	for _, vm := range c.vms {
		view.VMs[vm.ID] = vm
	}
	return view, c.assignment
}

// plan removes dead VMs, moves the ownership and adds replicas.
func (c *fakeControl) plan() {
	for _, vm := range slices.Clone(c.vms) {
		if c.w.now-c.polls[vm.VMRef] > simDeath {
			delete(c.polls, vm.VMRef)
			c.vms = slices.DeleteFunc(c.vms, func(o fleet.VM) bool { return o.VMRef == vm.VMRef })
			c.revision++
		}
	}
	if a, changed := c.planned(); changed {
		a.Version++
		c.commit(a)
	}
	c.w.after(200*time.Millisecond, c.plan)
}

// move moves the ownership although the owner works, as the planner does to balance.
func (c *fakeControl) move() {
	a := c.assignment
	a.Owner = a.InSync[c.w.rng.IntN(len(a.InSync))]
	if _, live := c.polls[a.Owner]; !live || a.Owner == c.assignment.Owner {
		return
	}
	a.Epoch++
	a.Version++
	c.commit(a)
}

func (c *fakeControl) planned() (a fleet.Assignment, changed bool) {
	a = c.assignment
	dead := func(ref fleet.VMRef) bool { return c.polls[ref] == 0 && c.w.now > simDeath }
	a.InSync = slices.DeleteFunc(slices.Clone(a.InSync), dead)
	if len(a.InSync) == 0 {
		return c.assignment, false
	}
	a.Replicas = slices.DeleteFunc(slices.Clone(a.Replicas), dead)
	if !slices.Contains(a.InSync, a.Owner) {
		a.Owner = a.InSync[c.w.rng.IntN(len(a.InSync))]
		a.Epoch++
	}
	for _, spread := range []bool{true, false} {
		for _, vm := range c.vms {
			near := slices.ContainsFunc(a.Replicas, func(ref fleet.VMRef) bool { return c.w.dataCentre(ref.ID) == vm.DataCentre })
			if len(a.Replicas) < 3 && !slices.Contains(a.Replicas, vm.VMRef) && !(spread && near) {
				a.Replicas = append(a.Replicas, vm.VMRef)
			}
		}
	}
	return a, len(a.Replicas) != len(c.assignment.Replicas) || !slices.Equal(a.Replicas, c.assignment.Replicas) ||
		a.Epoch != c.assignment.Epoch || len(a.InSync) != len(c.assignment.InSync)
}
