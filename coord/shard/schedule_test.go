package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/internal/schedule"
	"hemlockvale.dev/coord/program"
)

const (
	// defaultSteps is the number of steps per schedule. It exceeds
	// schedule.MinimumSteps, the length that the design document requires, because
	// a step here is a single simulated event, such as the delivery of one message.
	defaultSteps = 6000
	// defaultSchedules is the number of schedules; SCHEDULES overrides it. It is small
	// to keep the package's tests short.
	defaultSchedules = 16
)

// randomDriver starts calls and injects faults at random times.
type randomDriver struct {
	*simulation
	keys     int
	noFaults bool // stop injecting faults
	noCalls  bool // stop starting calls
}

// TestRandomSchedules checks that no acknowledged record is lost, no non-idempotent
// call runs twice, calls of one program do not overlap, budgets hold and histories are
// not mixed, under crashes, restarts, pauses, partitions, and lost and duplicated
// messages. The environment variable SEED selects the first schedule, STEPS their
// length and SCHEDULES their number.
func TestRandomSchedules(t *testing.T) {
	o := schedule.OptionsFromEnv(t, defaultSteps, defaultSchedules)
	completed := 0
	for seed := o.Seed; seed < o.Seed+o.Count; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Logf("repeat with SEED=%d STEPS=%d SCHEDULES=1", seed, o.Steps)
			completed += runSchedule(t, seed, o.Steps)
		})
	}
	t.Logf("%d acknowledged calls", completed)
}

// runSchedule runs one random schedule, then checks that the shard recovers once no
// more faults occur. It returns the number of acknowledged completed calls.
func runSchedule(t *testing.T, seed uint64, steps int) int {
	s := newSimulation(t, seed, 5)
	s.lossRate, s.duplicateRate = 0.02, 0.05
	c := &randomDriver{simulation: s}
	for _, root := range []string{"b0", "b1"} {
		s.clients.budgets[root] = fleet.Budget{MaxCalls: 60, MaxTokens: 2000}
	}
	s.after(time.Second, c.startCall)
	s.after(2*time.Second, c.injectFault)
	for s.steps < steps {
		s.step()
	}
	c.heal()
	c.noFaults, s.lossRate, s.duplicateRate = true, 0, 0
	t.Logf("%d calls in %s, events %v, refusals %v", s.clients.completed, s.now, s.eventCounts, s.clients.refusals)
	s.waitUntil(40*time.Second, "three in-sync replicas after the faults", func() bool { return len(s.control.assignment.InSync) == 3 })
	before := s.clients.completed
	s.waitUntil(20*time.Second, "more calls after the faults", func() bool { return s.clients.completed > before+20 })
	c.noCalls = true
	s.waitUntil(20*time.Second, "the end of all calls", func() bool { return len(s.clients.ops) == 0 && len(s.owner().r.owner.running) == 0 })
	return s.clients.completed
}

// pickHealthy picks a random VM and returns it if it is healthy, or nil otherwise.
func (c *randomDriver) pickHealthy() *simNode {
	n := c.nodes[c.rng.IntN(len(c.nodes))]
	if !c.healthy(n) {
		return nil
	}
	return n
}

// healthy reports whether a VM runs, is not paused, holds a lease and is connected to
// control.
func (c *randomDriver) healthy(n *simNode) bool {
	return n.alive && c.now >= n.pausedUntil && c.now < n.lease && !c.disconnected(n.vm.ID, "control")
}

// disconnected reports whether the link between a and b is blocked in any direction.
func (c *randomDriver) disconnected(a, b string) bool {
	return c.blocked[[2]string{a, b}] || c.blocked[[2]string{b, a}]
}

// startCall starts a random call, or retries an earlier one, through a random entry.
func (c *randomDriver) startCall() {
	if c.noCalls {
		return
	}
	c.after(time.Duration(c.rng.Int64N(int64(40*time.Millisecond))), c.startCall)
	n := c.pickHealthy()
	if n == nil {
		return
	}
	call := program.BeginCall{
		Program: program.Ref{Organisation: fmt.Sprint("org", c.rng.IntN(2)), ID: fmt.Sprint("p", c.rng.IntN(4))},
		Key:     fmt.Sprint("k", c.rng.IntN(max(c.keys, 1))), ResendWindow: 10 * time.Minute, NonIdempotent: c.rng.IntN(3) > 0,
		EstimatedTokens: c.rng.Int64N(100), WaitLimit: time.Second,
	}
	c.keys++
	if c.rng.IntN(3) > 0 {
		call.Key = fmt.Sprint("k", c.keys)
	}
	call.Fingerprint = uint64(len(call.Key))
	switch c.rng.IntN(6) {
	case 0, 1:
		call.Program = program.Ref{Organisation: "org", ID: fmt.Sprint("b", c.rng.IntN(2))}
		call.Budget = c.clients.budgets[call.Program.ID]
		if i := c.rng.IntN(5); i > 0 {
			call.Program.ID = fmt.Sprintf("%s/c%d", call.Program.ID, i)
		}
	case 2:
		call.Program, call.Lineage = program.Ref{Organisation: "org", ID: fmt.Sprint("lineage", c.rng.IntN(2))}, true
		call.Head = c.randomHead(call.Program)
	case 3:
		call.Program.ID = "ends"
		if c.rng.IntN(5) == 0 {
			c.clients.endProgram(n, call.Program)
		}
	}
	if !call.Lineage && c.rng.IntN(8) == 0 {
		c.clients.readHistory(n, call.Program)
	}
	op := c.clients.begin(n, call)
	op.runTime = time.Duration(c.rng.Int64N(int64(150 * time.Millisecond)))
	op.abandonAt = c.now + time.Duration(1+c.rng.IntN(8))*time.Second
	op.tokensUsed = c.rng.Int64N(100)
	op.outcome = []program.Outcome{program.Completed, program.Completed, program.Completed, program.NotRun, program.Unknown}[c.rng.IntN(5)]
}

// randomHead returns the head of one of the lineage's programs, or 0 for a new program.
func (c *randomDriver) randomHead(lineage program.Ref) uint64 {
	var heads []uint64
	for ref, acked := range c.clients.acked {
		if program.QueueRef(ref) == lineage && ref != lineage {
			heads = append(heads, acked[len(acked)-1])
		}
	}
	if len(heads) == 0 || c.rng.IntN(8) == 0 {
		return 0
	}
	slices.Sort(heads)
	return heads[c.rng.IntN(len(heads))]
}

// injectFault injects a random fault, or repairs the links or a VM. It does not inject
// a fault that could fail the last in-sync replica.
func (c *randomDriver) injectFault() {
	if c.noFaults {
		return
	}
	c.after(time.Duration(c.rng.Int64N(int64(1500*time.Millisecond))), c.injectFault)
	n := c.nodes[c.rng.IntN(len(c.nodes))]
	other := c.nodes[c.rng.IntN(len(c.nodes))]
	switch kind := c.rng.IntN(10); {
	case kind < 2:
		c.heal()
	case kind == 2 && !n.alive:
		c.startVM(n.vm.ID)
	case kind < 5 && c.canLose(n):
		n.alive = false
		c.after(time.Duration(c.rng.Int64N(int64(6*time.Second))), func() {
			if i := slices.Index(c.nodes, n); i >= 0 && !n.alive {
				c.startVM(n.vm.ID)
			}
		})
	case kind == 5 && c.canLose(n):
		n.pausedUntil = c.now + time.Duration(c.rng.Int64N(int64(5*time.Second)))
	case kind == 6 && c.canLose(n):
		c.blockLink(n.vm.ID, "control")
	case kind == 7 && n != other && c.healthy(n) && c.healthy(other):
		c.blockLink(n.vm.ID, other.vm.ID)
	case kind == 9:
		c.control.move()
	case kind == 8 && c.healthy(n):
		c.handle(n, HandoverRequest{})
		c.after(2*time.Second, func() { c.runOn(n, func() { c.handle(n, HandoverRequest{Cancel: true}) }) })
	}
}

// blockLink blocks a link in one direction or in both.
func (c *randomDriver) blockLink(a, b string) {
	directions := c.rng.IntN(3)
	if directions != 0 {
		c.blocked[[2]string{a, b}] = true
	}
	if directions != 1 {
		c.blocked[[2]string{b, a}] = true
	}
}

func (c *randomDriver) heal() { clear(c.blocked) }

// canLose reports whether the shard survives the loss of n: another in-sync replica is
// healthy and not about to be removed by the owner.
func (c *randomDriver) canLose(n *simNode) bool {
	a := c.control.assignment
	if !c.healthy(n) {
		return false
	}
	owner := c.node(a.Owner)
	if owner != nil && owner != n && c.healthy(owner) && owner.r.active() {
		return true
	}
	if owner == nil || owner.r.owner == nil {
		return !slices.Contains(a.InSync, n.vm.VMRef)
	}
	for _, ref := range a.InSync {
		m := c.node(ref)
		p := owner.r.owner.peer(ref)
		if m == nil || m == n || p == nil || !c.healthy(m) || c.disconnected(m.vm.ID, owner.vm.ID) {
			continue
		}
		if !p.suspect && c.now+owner.clock-p.lastReplyAt < 300*time.Millisecond {
			return true
		}
	}
	return false
}
