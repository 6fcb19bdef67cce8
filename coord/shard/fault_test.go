package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/internal/schedule"
	"hemlockvale.dev/coord/program"
)

// failoverBound is the maximum duration of a shard's failover that the design allows.
const failoverBound = 5 * time.Second

// newCall returns a non-idempotent call with an idempotency key to the program id.
func newCall(id, key string) program.BeginCall {
	return program.BeginCall{
		Program: program.Ref{Organisation: "org", ID: id}, Key: key, Fingerprint: 1, NonIdempotent: true,
		ResendWindow: time.Minute, EstimatedTokens: 10,
	}
}

// waitInSync waits until n replicas are in sync and the VMs have polled that state.
func (s *simulation) waitInSync(n int) {
	s.t.Helper()
	s.waitUntil(10*time.Second, fmt.Sprint(n, " in-sync replicas"), func() bool { return len(s.control.assignment.InSync) == n })
	s.runFor(simPollInterval + 100*time.Millisecond)
}

func (s *simulation) owner() *simNode { return s.node(s.control.assignment.Owner) }

// follower returns the i-th in-sync replica that is not the owner.
func (s *simulation) follower(i int) *simNode {
	var out []*simNode
	for _, ref := range s.control.assignment.InSync {
		if n := s.node(ref); n != nil && n != s.owner() {
			out = append(out, n)
		}
	}
	return out[i]
}

// runCall starts a call through the entry n and waits until it is done.
func (s *simulation) runCall(n *simNode, c program.BeginCall) *operation {
	s.t.Helper()
	op := s.clients.begin(n, c)
	s.waitUntil(failoverBound+simPollInterval, "the end of "+identity(&c), func() bool { return op.state == "done" })
	return op
}

// startRunning starts a call that runs until completeRun.
func (s *simulation) startRunning(n *simNode, c program.BeginCall) *operation {
	s.t.Helper()
	op := s.clients.begin(n, c)
	op.runTime = time.Hour
	s.waitUntil(time.Second, "the start of "+identity(&c), func() bool { return op.state == "running" })
	return op
}

// completeRun ends the run of a call and waits until it is settled without an error.
func (s *simulation) completeRun(op *operation) {
	s.t.Helper()
	s.clients.endRun(op, op.ticket.TokenLimit)
	s.waitUntil(failoverBound, "the settlement of "+identity(&op.call), func() bool { return op.state == "done" })
	require.NoError(s.t, op.err)
}

// requireReplay requires that the result of the call is a stored response.
func (s *simulation) requireReplay(n *simNode, c program.BeginCall) {
	s.t.Helper()
	op := s.runCall(n, c)
	require.NotNil(s.t, op.result.Replay, "%+v", op.result.Refusal)
}

// requireRefusal requires that the call is refused with the given code and execution
// state.
func (s *simulation) requireRefusal(n *simNode, c program.BeginCall, code, executed string) {
	s.t.Helper()
	op := s.runCall(n, c)
	require.NotNil(s.t, op.result.Refusal, "%+v", op.result)
	require.Equal(s.t, [2]string{code, executed}, [2]string{op.result.Refusal.Code, op.result.Refusal.Executed})
}

// blockBoth blocks the link between a and b in both directions.
func (s *simulation) blockBoth(a, b string) {
	s.blocked[[2]string{a, b}], s.blocked[[2]string{b, a}] = true, true
}

// waitNewOwner waits until a VM other than old acts as the owner. It fails the test
// after failoverBound.
func (s *simulation) waitNewOwner(old *simNode) {
	s.t.Helper()
	s.waitUntil(failoverBound, "a new owner", func() bool {
		n := s.owner()
		return n != nil && n != old && n.r.active()
	})
}

// TestFaults covers each fault in the design document, with replicas in the
// simulation. Each step also checks the invariants in clients.checkInvariants.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		nodes int
		run   func(t *testing.T, s *simulation)
	}{
		{"owner fails during a call: the call is finished at the new owner", 4, func(t *testing.T, s *simulation) {
			old, entry := s.owner(), s.nodes[3]
			s.runCall(entry, newCall("p", "first"))
			op := s.startRunning(entry, newCall("p", "second"))
			old.alive = false
			s.waitNewOwner(old)
			s.completeRun(op)
			s.requireReplay(s.follower(0), newCall("p", "first"))
			s.requireReplay(s.follower(0), newCall("p", "second"))
			require.Len(t, historyPattern.FindAll(s.owner().r.Table().History(op.ticket.Program), -1), 2)
		}},
		{"runner fails: the outcome is unknown and the call never runs again", 4, func(_ *testing.T, s *simulation) {
			op := s.startRunning(s.nodes[3], newCall("p", "k"))
			s.nodes[3].alive = false
			s.waitUntil(failoverBound, "settlement of the lost call", func() bool { return s.eventCounts["call_runner_lost"] == 1 })
			s.requireRefusal(s.nodes[1], op.call, program.CodeOutcomeUnknown, program.ExecutedUnknown)
		}},
		{"owner that also runs the call fails", 4, func(_ *testing.T, s *simulation) {
			old := s.owner()
			op := s.startRunning(old, newCall("p", "k"))
			old.alive = false
			s.waitNewOwner(old)
			s.requireRefusal(s.nodes[3], op.call, program.CodeOutcomeUnknown, program.ExecutedUnknown)
		}},
		{"owner pauses past its lease: it serves nothing afterwards and no record is lost", 4, func(_ *testing.T, s *simulation) {
			old := s.owner()
			s.runCall(s.nodes[3], newCall("p", "k"))
			old.pausedUntil = s.now + 8*time.Second
			s.waitNewOwner(old)
			s.runCall(s.nodes[3], newCall("p", "k2"))
			s.runFor(9 * time.Second)
			require.False(s.t, old.r.active())
			s.requireReplay(old, newCall("p", "k2"))
		}},
		{"owner cannot reach control: it stops serving at the end of its lease", 4, func(t *testing.T, s *simulation) {
			old := s.owner()
			s.blockBoth(old.vm.ID, "control")
			s.runFor(simLease)
			require.False(t, old.r.active())
			s.waitNewOwner(old)
			s.runCall(s.nodes[3], newCall("p", "k"))
		}},
		{"messages to a replica are lost: it is removed from the in-sync set and calls go on", 4, func(_ *testing.T, s *simulation) {
			s.blocked[[2]string{s.owner().vm.ID, s.follower(0).vm.ID}] = true
			started := s.now
			require.NotNil(s.t, s.runCall(s.nodes[3], newCall("p", "k")).result.Ticket)
			require.Less(s.t, s.now-started, AcknowledgeTimeout+simPollInterval)
		}},
		{"replies of a replica are lost", 4, func(_ *testing.T, s *simulation) {
			s.blocked[[2]string{s.follower(0).vm.ID, s.owner().vm.ID}] = true
			require.NotNil(s.t, s.runCall(s.nodes[3], newCall("p", "k")).result.Ticket)
		}},
		{"owner cannot reach its replicas: only idempotent calls run", 4, func(t *testing.T, s *simulation) {
			for i := range 2 {
				s.blockBoth(s.owner().vm.ID, s.follower(i).vm.ID)
			}
			s.requireRefusal(s.nodes[3], newCall("p", "k"), program.CodeInsufficientReplicas, program.ExecutedNo)
			idempotent := newCall("p", "k2")
			idempotent.NonIdempotent = false
			require.NotNil(t, s.runCall(s.nodes[3], idempotent).result.Ticket)
			require.Len(t, s.control.assignment.InSync, 1)
			clear(s.blocked)
			s.waitInSync(3)
			s.requireReplay(s.nodes[3], idempotent)
			require.NotNil(t, s.runCall(s.nodes[3], newCall("p", "k")).result.Ticket)
		}},
		{"replicas and the owner fail, each right after the previous loss was repaired", 5, func(_ *testing.T, s *simulation) {
			for i := range 20 {
				s.runCall(s.nodes[4], newCall(fmt.Sprint("p", i), "k"))
			}
			for range 2 {
				s.follower(0).alive = false
				s.waitUntil(failoverBound, "removal", func() bool { return len(s.control.assignment.InSync) == 2 })
				s.waitUntil(failoverBound, "repair", func() bool { return len(s.control.assignment.InSync) == 3 })
			}
			old := s.owner()
			old.alive = false
			s.waitNewOwner(old)
			for i := range 20 {
				s.requireReplay(s.nodes[4], newCall(fmt.Sprint("p", i), "k"))
			}
		}},
		{"owner does not learn that a replica has joined: nothing is acknowledged without it", 4, func(t *testing.T, s *simulation) {
			old := s.owner()
			s.follower(0).alive = false
			s.waitUntil(failoverBound, "a new replica", func() bool { return slices.Contains(old.knownAssignment.Replicas, s.nodes[3].vm.VMRef) })
			s.blocked[[2]string{"control", old.vm.ID}] = true
			s.waitUntil(failoverBound, "joining", func() bool { return len(s.control.assignment.InSync) == 3 })
			s.blockBoth(old.vm.ID, s.follower(1).vm.ID)
			op := s.clients.begin(old, newCall("p", "k"))
			s.waitUntil(simLease, "the end of the lease", func() bool { return s.now >= old.lease })
			require.Equal(t, "begin", op.state)
		}},
		{"a waiting request that is delivered twice starts no call after its refusal", 4, func(t *testing.T, s *simulation) {
			op := s.startRunning(s.nodes[3], newCall("p", "k"))
			call := newCall("p", "k2")
			call.Request, call.WaitLimit = "twice", time.Second
			s.handle(s.owner(), BeginRequest{1 << 40, call})
			s.runFor(500 * time.Millisecond)
			s.handle(s.owner(), BeginRequest{1<<40 + 1, call})
			s.runFor(700 * time.Millisecond)
			s.completeRun(op)
			s.runFor(100 * time.Millisecond)
			require.Nil(t, s.owner().r.Table().Program(call.Program).Running())
		}},
		{"a request that is repeated after its ticket was sent does not abort the call", 4, func(_ *testing.T, s *simulation) {
			op := s.startRunning(s.nodes[3], newCall("p", "k"))
			for i := range 2 {
				s.blockBoth(s.owner().vm.ID, s.follower(i).vm.ID)
			}
			s.handle(s.owner(), CrashRequest{}) // appends a record, so that the repeated ticket is confirmed later than the first
			s.handle(s.owner(), BeginRequest{1 << 40, op.call})
			s.waitInSync(1)
			s.completeRun(op)
		}},
		{"former owner that does not know the new epoch sends no reply from its old state", 4, func(t *testing.T, s *simulation) {
			old := s.owner()
			s.waitUntil(simPollInterval, "a fresh lease", func() bool { return old.lease-s.now > simLease-10*time.Millisecond })
			for s.owner() == old {
				s.control.move()
			}
			for _, n := range s.nodes {
				s.blockBoth(old.vm.ID, n.vm.ID)
			}
			s.blockBoth(old.vm.ID, "control")
			s.poll(s.owner())
			s.poll(s.nodes[3])
			s.runCall(s.nodes[3], newCall("p", "k"))
			require.True(t, old.r.active(), "the case needs an owner with a lease")
			var replies []Effect
			for _, build := range []func(id uint64) Event{
				func(id uint64) Event { return HistoryRequest{id, program.Ref{Organisation: "org", ID: "p"}} },
				func(id uint64) Event {
					call := newCall("p", "k")
					call.Runner = fleet.VMRef{ID: "gone"}
					return BeginRequest{id, call}
				},
			} {
				s.handle(old, build(s.clients.expectReply(func(e Effect) { replies = append(replies, e) })))
			}
			s.waitUntil(simLease, "the end of the lease", func() bool { return s.now >= old.lease })
			require.Empty(t, replies)
		}},
		{"lost and duplicated messages", 4, func(t *testing.T, s *simulation) {
			s.lossRate, s.duplicateRate = 0.15, 0.3
			for i := range 20 {
				require.NotNil(t, s.runCall(s.nodes[i%4], newCall("p", fmt.Sprint(i))).result.Ticket)
			}
		}},
		{"ten sub-agents use their budget concurrently", 4, func(t *testing.T, s *simulation) {
			s.clients.budgets["p"] = fleet.Budget{MaxCalls: 30, MaxTokens: 500}
			for i := range 200 {
				call := newCall(fmt.Sprintf("p/agent%d", i%10), fmt.Sprint(i))
				call.Budget, call.EstimatedTokens = s.clients.budgets["p"], 40
				op := s.clients.begin(s.nodes[i%4], call)
				op.tokensUsed = int64(i % 41)
				s.runFor(5 * time.Millisecond)
			}
			s.runFor(5 * time.Second)
			require.Positive(t, s.clients.refusals[program.CodeBudgetExhausted])
			// The rest of the budget does not allow another call.
			require.True(t, s.clients.calls["p"] == 30 || s.clients.spent["p"] > 460, "%d calls", s.clients.calls["p"])
		}},
		{"handover keeps the running call and refuses no call", 4, func(t *testing.T, s *simulation) {
			old := s.owner()
			op := s.startRunning(s.nodes[3], newCall("p", "k"))
			waiting := s.clients.begin(s.nodes[1], newCall("p", "k2"))
			s.handle(old, HandoverRequest{})
			s.waitNewOwner(old)
			s.completeRun(op)
			s.waitUntil(time.Second, "the waiting call", func() bool { return waiting.state == "done" })
			require.NotNil(t, waiting.result.Ticket)
		}},
		{"the new owner repeats an unconfirmed release", 4, func(t *testing.T, s *simulation) {
			s.runCall(s.nodes[3], newCall("p", "k"))
			s.dropReleases = true
			s.clients.endProgram(s.owner(), program.Ref{Organisation: "org", ID: "p"})
			s.runFor(100 * time.Millisecond)
			old := s.owner()
			require.Equal(t, 1, old.released["p"])
			s.dropReleases = false
			old.alive = false
			s.waitNewOwner(old)
			s.waitUntil(time.Second, "the release", func() bool { return s.owner().released["p"] == 1 })
			s.runFor(100 * time.Millisecond)
			_, open := s.owner().r.Table().Program(program.Ref{Organisation: "org", ID: "p"}).PendingRelease()
			require.False(t, open)
		}},
		{"crash suspects survive a failure of the owner", 4, func(t *testing.T, s *simulation) {
			for _, target := range []string{"t1", "t1", "t2"} {
				require.False(t, s.owner().r.Table().Quarantined(s.owner().r.shardTime(), "org", 9))
				s.handle(s.owner(), CrashRequest{Crash: program.Crash{Organisation: "org", Fingerprint: 9, Target: target}})
				s.runFor(20 * time.Millisecond)
			}
			old := s.owner()
			old.alive = false
			s.waitNewOwner(old)
			require.True(t, s.owner().r.Table().Quarantined(s.owner().r.shardTime(), "org", 9))
			require.False(t, s.owner().r.Table().Quarantined(s.owner().r.shardTime()+program.QuarantineDuration, "org", 9))
			s.handle(s.owner(), CrashRequest{Crash: program.Crash{Organisation: "org", Fingerprint: 9, Clear: true}})
			require.False(t, s.owner().r.Table().Quarantined(s.owner().r.shardTime(), "org", 9))
		}},
		{"call timeout, end of an idle program and its removal from the table", 4, func(t *testing.T, s *simulation) {
			call := newCall("p", "k")
			call.CallTimeout, call.IdleTimeout, call.ResendWindow = time.Second, 2*time.Second, 4*time.Second
			op := s.startRunning(s.nodes[3], call)
			s.runFor(time.Second + program.SettleGrace + 100*time.Millisecond)
			s.requireRefusal(s.nodes[1], call, program.CodeOutcomeUnknown, program.ExecutedUnknown)
			op.state = "done"
			s.waitUntil(3*time.Second, "the idle end", func() bool { return s.eventCounts["program_idle"] == 1 })
			s.waitUntil(5*time.Second, "the end of the resend window", func() bool { return s.owner().r.Table().Len() == 0 })
		}},
		{"single VM serves non-idempotent calls", 1, func(t *testing.T, s *simulation) {
			require.NotNil(t, s.runCall(s.nodes[0], newCall("p", "k")).result.Ticket)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			seed := schedule.EnvUint(t, "SEED", 1)
			t.Logf("repeat with SEED=%d", seed)
			s := newSimulation(t, seed, c.nodes)
			s.waitInSync(min(3, c.nodes))
			c.run(t, s)
		})
	}
}

// TestReplicaRefusesStaleMessages checks that a replica refuses records of a former
// owner, and messages to an earlier incarnation of its VM.
func TestReplicaRefusesStaleMessages(t *testing.T) {
	self, other := fleet.VMRef{ID: "a", Incarnation: "1"}, fleet.VMRef{ID: "b", Incarnation: "1"}
	for _, c := range []struct {
		header Header
		want   Status
	}{
		{Header{From: other, To: self, Epoch: 4, Version: 9}, Stale},
		{Header{From: other, To: fleet.VMRef{ID: "a", Incarnation: "0"}, Epoch: 5}, WrongVM},
		{Header{From: other, To: self, Epoch: 5}, NeedCopy},
		{Header{From: other, To: self, Epoch: 6}, NeedCopy},
	} {
		r := New(self, 0)
		r.Step(0, Assigned{fleet.Assignment{Epoch: 5, Version: 7, Owner: other, Replicas: []fleet.VMRef{other, self}}})
		for _, effect := range r.Step(0, AppendReceived{Message: Append{Header: c.header}}) {
			require.Equal(t, c.want, effect.(ReplyAppend).Reply.Status, "%+v", c.header)
		}
	}
}

// TestReplicaLog checks that a replica discards records that a later owner replaced,
// ignores an old copy after a newer one, and requires a full copy, keeping its state
// until then, if the owner's log conflicts with records that it has applied.
func TestReplicaLog(t *testing.T) {
	self, owner := fleet.VMRef{ID: "a", Incarnation: "1"}, fleet.VMRef{ID: "b", Incarnation: "1"}
	a := fleet.Assignment{Epoch: 1, Version: 1, Owner: owner, InSync: []fleet.VMRef{owner, self}, Replicas: []fleet.VMRef{owner, self}}
	header := func(epoch uint64) Header { return Header{From: owner, To: self, Epoch: epoch, Version: 1} }
	begin := func(index, epoch uint64) []Record {
		call := program.BeginCall{Program: program.Ref{Organisation: "org", ID: fmt.Sprintf("%d/%d", index, epoch)}, Runner: owner}
		return []Record{{Index: index, Epoch: epoch, Change: program.Change{Begin: &program.Begin{Call: call}}}}
	}
	r := New(self, 0)
	var status Status
	step := func(e Event) {
		for _, effect := range r.Step(time.Second, e) {
			switch e := effect.(type) {
			case ReplyAppend:
				status = e.Reply.Status
			case ReplyCopy:
				status = e.Reply.Status
			}
		}
	}
	send := func(want Status, m Append) {
		t.Helper()
		step(AppendReceived{Message: m})
		require.Equal(t, want, status)
	}
	holds := func(index, epoch uint64) bool {
		return r.Table().Program(program.Ref{Organisation: "org", ID: fmt.Sprintf("%d/%d", index, epoch)}) != nil
	}
	step(Assigned{a})
	first := CopyReceived{Message: Copy{Header: header(1), ID: 2, Start: 10, StartEpoch: 1, Final: true, End: 10}}
	earlier := first
	earlier.Message.ID = 1
	step(first)
	require.Equal(t, OK, status)
	send(OK, Append{Header: header(1), Previous: 10, PreviousEpoch: 1, Records: begin(11, 1)})
	send(OK, Append{Header: header(1), Previous: 11, PreviousEpoch: 1, Records: begin(12, 1), Commit: 11})
	step(first)   // duplicate
	step(earlier) // copy with a lower id, delivered late
	require.True(t, holds(11, 1), "the state after the copy is kept")

	send(Gap, Append{Header: header(2), Previous: 12, PreviousEpoch: 2})
	send(OK, Append{Header: header(2), Previous: 11, PreviousEpoch: 1, Records: begin(12, 2), Commit: 12})
	require.True(t, holds(12, 2))
	require.False(t, holds(12, 1), "the record of the earlier owner is replaced")
	send(Stale, Append{Header: header(1), Previous: 11, PreviousEpoch: 1, Records: begin(12, 1), Commit: 12})

	a.Epoch, a.Version, a.Owner = 3, 2, self
	step(Assigned{a})
	step(FleetChanged{&View{Revision: 1}})
	step(LeaseRenewed{time.Minute})
	require.True(t, r.active())
	require.Nil(t, r.Table().Program(program.Ref{Organisation: "org", ID: "12/2"}).Running(), "its runner is gone")
	call := begin(14, 3)[0].Change.Begin.Call
	call.Runner, call.Revision = fleet.VMRef{ID: "new", Incarnation: "1"}, 2
	step(BeginRequest{1, call})
	require.True(t, holds(14, 3), "a runner that registered after this view is not gone")
	send(NeedCopy, Append{Header: header(4), Previous: 13, PreviousEpoch: 4})
	send(NeedCopy, Append{Header: header(4), Previous: 12, PreviousEpoch: 2, Records: begin(13, 4)})
	require.True(t, holds(14, 3), "the former owner's state stays until a copy arrives")
}
