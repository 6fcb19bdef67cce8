package voters

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hemlockvale.dev/coord/raft"
)

const (
	simStep            = 10 * time.Millisecond
	simTickInterval    = 20 * time.Millisecond
	simChangeInterval  = 300 * time.Millisecond
	simJoinInterval    = time.Second
	simMaxMessageDelay = 6 * time.Millisecond
)

// simVM is a simulated VM with a replica.
type simVM struct {
	raft.Member
	node       *raft.Node
	disk       raft.PersistentState
	up, frozen bool
	// removed is set once the VM has been taken away.
	removed bool
	inbox   []raft.Message
	// joinedAt is the time of its last request to be added.
	joinedAt time.Duration
	// standbys are the requests that it has received, with their times.
	standbys map[raft.ReplicaID]time.Duration
	changeAt time.Duration
}

// runs reports whether the VM handles messages.
func (v *simVM) runs() bool { return v.up && !v.frozen }

type simMessage struct {
	at time.Duration
	raft.Message
}

// simulation runs real raft nodes, whose members follow a policy, on a simulated clock, network
// and disks. One seed gives one run.
type simulation struct {
	t        testing.TB
	seed     uint64
	rand     *rand.Rand
	now      time.Duration
	policy   Policy
	vms      []*simVM
	network  []simMessage
	retired  map[string]bool
	leaving  *simVM
	accepted uint64
	log      []string
}

func newSimulation(t testing.TB, seed uint64, policy Policy) *simulation {
	s := &simulation{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 7)), policy: policy, retired: make(map[string]bool)}
	s.policy.DeadAfter = DefaultDeadAfter
	s.policy.Retired = func(storage string) bool { return s.retired[storage] }
	return s
}

func (s *simulation) note(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%8v  %s", s.now, fmt.Sprintf(format, args...)))
}

// add creates a VM with an empty disk.
func (s *simulation) add(name string) *simVM {
	storage := fmt.Sprint("disk", len(s.vms))
	v := &simVM{Member: raft.Member{ReplicaID: raft.ReplicaID{Name: name, Storage: storage}, Address: name}, joinedAt: -simJoinInterval}
	s.vms = append(s.vms, v)
	s.start(v)
	return v
}

// start starts the process of a VM with what is on its disk.
func (s *simulation) start(v *simVM) {
	node, _, err := raft.New(raft.Config{ID: v.ReplicaID, Seed: s.rand.Uint64()}, v.disk, s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	v.node, v.up, v.frozen, v.inbox, v.standbys = node, true, false, nil, make(map[raft.ReplicaID]time.Duration)
	s.note("%s starts", v.ReplicaID)
}

func (s *simulation) stop(v *simVM) {
	v.up, v.inbox = false, nil
	s.note("%s stops", v.ReplicaID)
}

// wipe restarts a VM with an empty disk.
func (s *simulation) wipe(v *simVM) *simVM { return s.add(v.Name) }

func (s *simulation) form(names ...string) {
	var c raft.Configuration
	for _, name := range names {
		c.Members = append(c.Members, s.add(name).Member)
	}
	for _, v := range s.vms {
		s.step(v, raft.Bootstrap{Configuration: c})
	}
}

// step passes an event to a VM and executes the effects.
func (s *simulation) step(v *simVM, ev raft.Event) {
	for pending := []raft.Event{ev}; len(pending) > 0; pending = pending[1:] {
		for _, e := range v.node.Step(s.now, pending[0]) {
			switch e := e.(type) {
			case raft.Persist:
				v.persist(e)
			case raft.Send:
				s.network = append(s.network, simMessage{s.now + time.Millisecond + time.Duration(s.rand.Int64N(int64(simMaxMessageDelay))), e.Message})
			case raft.TakeSnapshot:
				pending = append(pending, raft.SnapshotTaken{Index: v.node.Commit()})
			case raft.RoleChanged:
				if e.Role == raft.Leader {
					s.note("%s leads", v.ReplicaID)
				}
			case raft.Accepted:
				s.accepted = e.Token
			}
		}
	}
}

func (v *simVM) persist(p raft.Persist) {
	if p.Snapshot != nil {
		v.disk.Snapshot, v.disk.Entries = p.Snapshot, nil
	}
	if p.HardState != nil {
		v.disk.HardState = *p.HardState
	}
	for _, e := range p.Entries {
		keep := slices.IndexFunc(v.disk.Entries, func(old raft.Entry) bool { return old.Index >= e.Index })
		if keep >= 0 {
			v.disk.Entries = v.disk.Entries[:keep:keep]
		}
		v.disk.Entries = append(v.disk.Entries, e)
	}
}

// run lets time pass until a time.
func (s *simulation) run(until time.Duration) {
	for ; s.now < until; s.now += simStep {
		due := s.network
		s.network = nil
		slices.SortStableFunc(due, func(a, b simMessage) int { return cmp.Compare(a.at, b.at) })
		for _, m := range due {
			if m.at > s.now {
				s.network = append(s.network, m)
				continue
			}
			for _, v := range s.vms {
				if v.up && v.ReplicaID == m.To {
					v.inbox = append(v.inbox, m.Message)
				}
			}
		}
		for _, v := range s.vms {
			s.runVM(v)
		}
	}
}

func (s *simulation) runVM(v *simVM) {
	if !v.runs() {
		return
	}
	inbox := v.inbox
	v.inbox = nil
	for _, m := range inbox {
		s.step(v, raft.Receive{Message: m})
	}
	if s.now%simTickInterval == 0 {
		s.step(v, raft.Tick{})
	}
	if s.now < v.changeAt {
		return
	}
	v.changeAt = s.now + simChangeInterval
	status := v.node.Status()
	switch {
	case status.Role == raft.Leader:
		s.maintain(v)
	case status.Leader.IsZero() && s.now >= v.joinedAt+simJoinInterval:
		s.join(v)
	}
}

// join asks the leader to add a VM.
func (s *simulation) join(v *simVM) {
	for _, leader := range s.vms {
		if leader.runs() && leader.node.Role() == raft.Leader {
			v.joinedAt = s.now
			leader.standbys[v.ReplicaID] = s.now
			s.maintain(leader)
		}
	}
}

// group returns what a leader knows.
func (s *simulation) group(leader *simVM) Group {
	status := leader.node.Status()
	g := Group{Self: leader.ReplicaID, ChangePending: status.ChangePending}
	for _, m := range status.Configuration.Members {
		progress := status.Members[m.ReplicaID]
		g.Members = append(g.Members, Member{m, progress.SinceLastContact, progress.Heard})
	}
	for _, v := range s.vms {
		if at, asked := leader.standbys[v.ReplicaID]; asked && s.now-at < 2*simJoinInterval {
			g.Standbys = append(g.Standbys, v.Member)
		}
	}
	return g
}

// maintain makes the next change of the members that a leader finds necessary.
func (s *simulation) maintain(leader *simVM) {
	g := s.group(leader)
	change, ok := s.policy.Next(g)
	switch {
	case ok && change.Remove != raft.ReplicaID{}:
		s.note("%s removes %s", leader.ReplicaID, change.Remove)
		s.step(leader, raft.RemoveMember{Token: 1, ID: change.Remove})
	case ok:
		s.note("%s adds %s", leader.ReplicaID, change.Add.ReplicaID)
		s.step(leader, raft.AddMember{Token: 1, Member: change.Add})
	}
	s.finishRetirement(leader)
}

// finishRetirement removes the VM that is being retired from the group, and takes it away once that
// is committed.
func (s *simulation) finishRetirement(leader *simVM) {
	v := s.leaving
	if v == nil {
		return
	}
	status := leader.node.Status()
	if _, member := status.CommittedConfiguration.Find(v.ReplicaID); !member && status.Commit == status.LastIndex {
		s.note("the retirement of %s is done", v.ReplicaID)
		s.leaving, v.removed = nil, true
		s.stop(v)
		return
	}
	if s.policy.MayLeave(s.group(leader), v.ReplicaID) {
		s.step(leader, raft.RemoveMember{Token: 1, ID: v.ReplicaID})
	}
}

// leader returns the VM that leads, or nil.
func (s *simulation) leader() *simVM {
	for _, v := range s.vms {
		if v.runs() && v.node.Role() == raft.Leader {
			return v
		}
	}
	return nil
}

// voters returns the running VMs that vote.
func (s *simulation) voters() []*simVM {
	var latest raft.Status
	for _, v := range s.vms {
		if status := v.node.Status(); v.up && status.Commit >= latest.Commit {
			latest = status
		}
	}
	return slices.DeleteFunc(slices.Clone(s.vms), func(v *simVM) bool { return !v.up || !latest.CommittedConfiguration.IsVoter(v.ReplicaID) })
}

// commits reports whether an entry can be committed within a time.
func (s *simulation) commits(within time.Duration) bool {
	for end := s.now + within; s.now < end; {
		if leader := s.leader(); leader != nil {
			before := leader.node.Status()
			s.step(leader, raft.Propose{Token: 2, Data: []byte("x")})
			s.run(s.now + 100*time.Millisecond)
			if leader.runs() && leader.node.Role() == raft.Leader && leader.node.Commit() > before.LastIndex {
				return true
			}
			continue
		}
		s.run(s.now + 100*time.Millisecond)
	}
	return false
}

// fail ends the test with the events of the run.
func (s *simulation) fail(format string, args ...any) {
	s.t.Helper()
	for _, line := range s.log {
		s.t.Log(line)
	}
	s.t.Fatalf("seed %d: %s", s.seed, fmt.Sprintf(format, args...))
}
