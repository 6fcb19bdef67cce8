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

// simulation runs replicas on several VMs, with a fake control and a network that
// delays, loses and duplicates messages, in simulated time.
type simulation struct {
	t             testing.TB
	rng           *rand.Rand
	now           time.Duration
	queue         []simEvent // sorted by descending time; the next event is last
	order         uint64
	steps         int
	control       fakeControl
	nodes         []*simNode
	blocked       map[[2]string]bool // directed links that drop every message
	lossRate      float64
	duplicateRate float64
	clients       clients
	eventCounts   map[string]int
	// dropReleases stops the confirmation of releases.
	dropReleases bool
}

// simNode is a VM with an entry and a replica of the shard.
type simNode struct {
	vm              fleet.VM
	r               *Replica
	clock           time.Duration // offset of its monotonic clock from simulated time
	alive           bool
	pausedUntil     time.Duration
	lease           time.Duration // end of its lease in simulated time
	knownAssignment fleet.Assignment
	revision        uint64
	released        map[string]int
}

// simEvent is a scheduled function. Events at the same time run by ascending order.
type simEvent struct {
	at    time.Duration
	order uint64
	run   func()
}

const (
	simLease        = 2 * time.Second
	simVMTimeout    = 3 * time.Second
	simPollInterval = 500 * time.Millisecond
	linkDelay       = 2 * time.Millisecond
	duplicateDelay  = time.Second // maximum random part of a duplicate's delay
)

func newSimulation(t testing.TB, seed uint64, nodes int) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]string]bool{}, eventCounts: map[string]int{}}
	sim.clients = newClients(sim)
	sim.control = fakeControl{sim: sim, lastPoll: map[fleet.VMRef]time.Duration{}}
	for i := range nodes {
		sim.startVM(fmt.Sprintf("vm-%d", i))
	}
	a := fleet.Assignment{Epoch: 1, Version: 1, Owner: sim.nodes[0].vm.VMRef}
	a.InSync = []fleet.VMRef{a.Owner}
	for _, n := range sim.nodes[:min(3, nodes)] {
		a.Replicas = append(a.Replicas, n.vm.VMRef)
	}
	sim.control.commit(a)
	sim.after(0, sim.control.plan)
	return sim
}

// startVM starts a VM, or restarts it as a new incarnation.
func (s *simulation) startVM(id string) *simNode {
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.vm.ID == id })
	if i < 0 {
		i = len(s.nodes)
		s.nodes = append(s.nodes, nil)
	}
	s.order++
	n := &simNode{alive: true, clock: time.Duration(s.rng.Int64N(int64(time.Hour))), released: map[string]int{}}
	n.vm = fleet.VM{VMRef: fleet.VMRef{ID: id, Incarnation: fmt.Sprint(s.order)}, DataCentre: fmt.Sprintf("dc-%d", i%3)}
	n.r = New(n.vm.VMRef, 0)
	n.r.partBytes = 2000 // small enough for several parts per copy
	s.nodes[i] = n
	s.after(time.Duration(s.rng.Int64N(int64(20*time.Millisecond))), func() { s.poll(n) })
	s.after(TickInterval, func() { s.tick(n) })
	return n
}

// after schedules run at d from now.
func (s *simulation) after(d time.Duration, run func()) {
	s.order++
	e := simEvent{s.now + d, s.order, run}
	i, _ := slices.BinarySearchFunc(s.queue, e, func(a, b simEvent) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(b.order, a.order))
	})
	s.queue = slices.Insert(s.queue, i, e)
}

func (s *simulation) next() simEvent { return s.queue[len(s.queue)-1] }

// step runs the next event and checks the invariants.
func (s *simulation) step() {
	e := s.next()
	s.queue = s.queue[:len(s.queue)-1]
	s.now = max(s.now, e.at)
	s.steps++
	e.run()
	s.clients.checkInvariants()
}

// runFor runs the events of the next d.
func (s *simulation) runFor(d time.Duration) {
	for end := s.now + d; s.next().at <= end; {
		s.step()
	}
}

// waitUntil runs events until done returns true. It fails the test after d.
func (s *simulation) waitUntil(d time.Duration, what string, done func() bool) {
	s.t.Helper()
	for end := s.now + d; !done(); {
		if s.next().at > end {
			s.t.Fatalf("not reached within %s: %s", d, what)
		}
		s.step()
	}
}

func (s *simulation) node(ref fleet.VMRef) *simNode {
	for _, n := range s.nodes {
		if n.vm.VMRef == ref && n.alive {
			return n
		}
	}
	return nil
}

func (s *simulation) dataCentre(id string) string {
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.vm.ID == id })
	return s.nodes[i].vm.DataCentre
}

// runOn runs f on a VM: now, after its pause, or never if the VM has failed.
func (s *simulation) runOn(n *simNode, f func()) {
	switch {
	case n == nil || !n.alive:
	case s.now < n.pausedUntil:
		s.after(n.pausedUntil-s.now, func() { s.runOn(n, f) })
	default:
		f()
	}
}

// transmit delivers a message over a link: once, several times, late or never.
func (s *simulation) transmit(from, to string, deliver func()) {
	if from == to {
		deliver()
		return
	}
	for delay := linkDelay; ; delay = duplicateDelay {
		if !s.blocked[[2]string{from, to}] && s.rng.Float64() >= s.lossRate {
			s.after(linkDelay+time.Duration(s.rng.Int64N(int64(delay))), deliver)
		}
		if s.rng.Float64() >= s.duplicateRate {
			return
		}
	}
}

// handle passes an event to a VM's replica and performs the effects.
func (s *simulation) handle(n *simNode, e Event) {
	for _, effect := range slices.Clone(n.r.Step(s.now+n.clock, e)) {
		s.perform(n, effect)
	}
}

func (s *simulation) perform(n *simNode, effect Effect) {
	switch e := effect.(type) {
	case SendAppend:
		s.exchange(n, e.To, func(id uint64) Event { return AppendReceived{id, e.Message} }, func(reply Effect) Event {
			message := reply.(ReplyAppend).Reply
			return AppendDone{e.To, e.Message.Epoch, e.Number, &message}
		})
	case SendCopy:
		s.exchange(n, e.To, func(id uint64) Event { return CopyReceived{id, e.Message} }, func(reply Effect) Event {
			message := reply.(ReplyCopy).Reply
			return CopyDone{e.To, e.Message.Epoch, e.Number, &message}
		})
	case ReplyAppend, ReplyCopy, ReplyBegin, Reply:
		s.clients.deliverReply(effect)
	case ProposeAssignment:
		s.transmit(n.vm.ID, "control", func() {
			ok := s.control.assign(e.Assignment)
			s.transmit("control", n.vm.ID, func() { s.runOn(n, func() { s.handle(n, ProposalDone{e.Assignment, ok}) }) })
		})
	case ReleaseMemory:
		n.released[e.Release.Program.ID]++
		if !s.dropReleases && s.rng.Float64() >= s.lossRate {
			s.after(10*time.Millisecond, func() { s.runOn(n, func() { s.handle(n, ReleaseDone(e)) }) })
		}
	case LogEvent:
		s.eventCounts[e.Name]++
	}
}

// exchange delivers a message from the owner n to a replica, and the reply to n.
func (s *simulation) exchange(n *simNode, ref fleet.VMRef, build func(id uint64) Event, toEvent func(Effect) Event) {
	s.transmit(n.vm.ID, ref.ID, func() {
		to := s.node(ref)
		s.runOn(to, func() {
			id := s.clients.expectReply(func(reply Effect) {
				s.transmit(ref.ID, n.vm.ID, func() { s.runOn(n, func() { s.handle(n, toEvent(reply)) }) })
			})
			s.handle(to, build(id))
		})
	})
}

// poll renews a VM's lease and delivers the configuration every simPollInterval, as an
// entry's poller does.
func (s *simulation) poll(n *simNode) {
	s.runOn(n, func() {
		sent := s.now
		s.transmit(n.vm.ID, "control", func() {
			view, a := s.control.poll(n.vm)
			s.transmit("control", n.vm.ID, func() {
				s.runOn(n, func() {
					if view.Revision >= n.revision {
						n.revision, n.knownAssignment = view.Revision, a
						s.handle(n, Assigned{a})
						s.handle(n, FleetChanged{view})
					}
					n.lease = max(n.lease, sent+simLease)
					s.handle(n, LeaseRenewed{n.lease + n.clock})
				})
			})
		})
		s.after(simPollInterval, func() { s.poll(n) })
	})
}

func (s *simulation) tick(n *simNode) {
	s.runOn(n, func() {
		s.handle(n, Tick{})
		s.after(TickInterval, func() { s.tick(n) })
	})
}

// fakeControl simulates control with its planner.
type fakeControl struct {
	sim        *simulation
	assignment fleet.Assignment
	revision   uint64
	vms        []fleet.VM
	lastPoll   map[fleet.VMRef]time.Duration
}

func (c *fakeControl) commit(a fleet.Assignment) {
	c.assignment = a
	c.revision++
}

// assign simulates control.assign: a compare-and-set on the version, with the checks of
// coord/fleet.
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

// poll records the time of a VM's poll, registers the VM if it is a new incarnation,
// and returns the current view and assignment.
func (c *fakeControl) poll(vm fleet.VM) (*View, fleet.Assignment) {
	if _, ok := c.lastPoll[vm.VMRef]; !ok {
		c.vms = slices.DeleteFunc(c.vms, func(o fleet.VM) bool {
			if o.ID == vm.ID {
				delete(c.lastPoll, o.VMRef)
			}
			return o.ID == vm.ID
		})
		c.vms = append(c.vms, vm)
		c.revision++
	}
	c.lastPoll[vm.VMRef] = c.sim.now
	view := &View{Revision: c.revision, VMs: map[string]fleet.VM{}}
	for _, vm := range c.vms {
		view.VMs[vm.ID] = vm
	}
	return view, c.assignment
}

// plan removes VMs that no longer poll, replaces a lost owner and adds replicas. It runs
// every 200 ms.
func (c *fakeControl) plan() {
	for _, vm := range slices.Clone(c.vms) {
		if c.sim.now-c.lastPoll[vm.VMRef] > simVMTimeout {
			delete(c.lastPoll, vm.VMRef)
			c.vms = slices.DeleteFunc(c.vms, func(o fleet.VM) bool { return o.VMRef == vm.VMRef })
			c.revision++
		}
	}
	if a, changed := c.plannedAssignment(); changed {
		a.Version++
		c.commit(a)
	}
	c.sim.after(200*time.Millisecond, c.plan)
}

// move moves the ownership to a random live in-sync replica although the owner may be
// healthy, as the planner does to balance load.
func (c *fakeControl) move() {
	a := c.assignment
	a.Owner = a.InSync[c.sim.rng.IntN(len(a.InSync))]
	if _, live := c.lastPoll[a.Owner]; !live || a.Owner == c.assignment.Owner {
		return
	}
	a.Epoch++
	a.Version++
	c.commit(a)
}

// plannedAssignment returns the assignment without dead VMs, with up to three replicas,
// preferably in different data centres, and whether it differs from the current one.
func (c *fakeControl) plannedAssignment() (a fleet.Assignment, changed bool) {
	a = c.assignment
	dead := func(ref fleet.VMRef) bool { return c.lastPoll[ref] == 0 && c.sim.now > simVMTimeout }
	a.InSync = slices.DeleteFunc(slices.Clone(a.InSync), dead)
	if len(a.InSync) == 0 {
		return c.assignment, false
	}
	a.Replicas = slices.DeleteFunc(slices.Clone(a.Replicas), dead)
	if !slices.Contains(a.InSync, a.Owner) {
		a.Owner = a.InSync[c.sim.rng.IntN(len(a.InSync))]
		a.Epoch++
	}
	for _, spread := range []bool{true, false} {
		for _, vm := range c.vms {
			sameDataCentre := slices.ContainsFunc(a.Replicas, func(ref fleet.VMRef) bool { return c.sim.dataCentre(ref.ID) == vm.DataCentre })
			if len(a.Replicas) < 3 && !slices.Contains(a.Replicas, vm.VMRef) && !(spread && sameDataCentre) {
				a.Replicas = append(a.Replicas, vm.VMRef)
			}
		}
	}
	return a, len(a.Replicas) != len(c.assignment.Replicas) || !slices.Equal(a.Replicas, c.assignment.Replicas) ||
		a.Epoch != c.assignment.Epoch || len(a.InSync) != len(c.assignment.InSync)
}
