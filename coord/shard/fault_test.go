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

// failoverBound is the design's bound for a shard's failover.
const failoverBound = 5 * time.Second

// callTo returns a non-idempotent call with a key.
func callTo(id, key string) program.BeginCall {
	return program.BeginCall{
		Program: program.Ref{Organisation: "org", ID: id}, Key: key, Fingerprint: 1, NonIdempotent: true,
		ResendWindow: time.Minute, EstimatedTokens: 10,
	}
}

func (w *world) inSync(n int) {
	w.t.Helper()
	w.until(10*time.Second, fmt.Sprint(n, " in-sync replicas"), func() bool { return len(w.control.assignment.InSync) == n })
	w.runFor(simPoll + 100*time.Millisecond)
}

func (w *world) owner() *simNode { return w.node(w.control.assignment.Owner) }

// follower returns an in-sync replica that is not the owner.
func (w *world) follower(i int) *simNode {
	var out []*simNode
	for _, ref := range w.control.assignment.InSync {
		if n := w.node(ref); n != nil && n != w.owner() {
			out = append(out, n)
		}
	}
	return out[i]
}

// call runs a call through an entry to its end.
func (w *world) call(n *simNode, c program.BeginCall) *operation {
	w.t.Helper()
	op := w.clients.begin(n, c)
	w.until(failoverBound+simPoll, "the end of "+identity(&c), func() bool { return op.state == "done" })
	return op
}

// running starts a call that runs until it is let go.
func (w *world) running(n *simNode, c program.BeginCall) *operation {
	w.t.Helper()
	op := w.clients.begin(n, c)
	op.holdFor = time.Hour
	w.until(time.Second, "the start of "+identity(&c), func() bool { return op.state == "running" })
	return op
}

func (w *world) letGo(op *operation) {
	w.t.Helper()
	w.clients.end(op, op.ticket.TokenLimit)
	w.until(failoverBound, "the settlement of "+identity(&op.call), func() bool { return op.state == "done" })
	require.NoError(w.t, op.err)
}

func (w *world) requireReplay(n *simNode, c program.BeginCall) {
	w.t.Helper()
	op := w.call(n, c)
	require.NotNil(w.t, op.result.Replay, "%+v", op.result.Refusal)
}

func (w *world) requireRefusal(n *simNode, c program.BeginCall, code, executed string) {
	w.t.Helper()
	op := w.call(n, c)
	require.NotNil(w.t, op.result.Refusal, "%+v", op.result)
	require.Equal(w.t, [2]string{code, executed}, [2]string{op.result.Refusal.Code, op.result.Refusal.Executed})
}

func (w *world) cutBoth(a, b string) {
	w.blocked[[2]string{a, b}], w.blocked[[2]string{b, a}] = true, true
}

// newOwner waits until another VM than old acts as the owner, within the bound.
func (w *world) newOwner(old *simNode) {
	w.t.Helper()
	w.until(failoverBound, "a new owner", func() bool {
		n := w.owner()
		return n != nil && n != old && n.r.active()
	})
}

// Guards against each fault of the design page at the level of the cores. Every
// step of each case also checks the invariants of clients.check.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		nodes int
		run   func(t *testing.T, w *world)
	}{
		{"owner fails during a call: the call is finished at the new owner", 4, func(t *testing.T, w *world) {
			old, entry := w.owner(), w.nodes[3]
			w.call(entry, callTo("p", "first"))
			op := w.running(entry, callTo("p", "second"))
			old.alive = false
			w.newOwner(old)
			w.letGo(op)
			w.requireReplay(w.follower(0), callTo("p", "first"))
			w.requireReplay(w.follower(0), callTo("p", "second"))
			require.Len(t, turn.FindAll(w.owner().r.Table().History(op.ticket.Program), -1), 2)
		}},
		{"runner fails: the outcome is unknown and never runs again", 4, func(_ *testing.T, w *world) {
			op := w.running(w.nodes[3], callTo("p", "k"))
			w.nodes[3].alive = false
			w.until(failoverBound, "settlement of the lost call", func() bool { return w.notes["call_runner_lost"] == 1 })
			w.requireRefusal(w.nodes[1], op.call, program.CodeOutcomeUnknown, program.ExecutedUnknown)
		}},
		{"owner that also runs the call fails", 4, func(_ *testing.T, w *world) {
			old := w.owner()
			op := w.running(old, callTo("p", "k"))
			old.alive = false
			w.newOwner(old)
			w.requireRefusal(w.nodes[3], op.call, program.CodeOutcomeUnknown, program.ExecutedUnknown)
		}},
		{"owner pauses past its lease: it answers nothing and loses nothing", 4, func(_ *testing.T, w *world) {
			old := w.owner()
			w.call(w.nodes[3], callTo("p", "k"))
			old.pausedUntil = w.now + 8*time.Second
			w.newOwner(old)
			w.call(w.nodes[3], callTo("p", "k2"))
			w.runFor(9 * time.Second)
			require.False(w.t, old.r.active())
			w.requireReplay(old, callTo("p", "k2"))
		}},
		{"owner without control: it stops within its lease", 4, func(t *testing.T, w *world) {
			old := w.owner()
			w.cutBoth(old.vm.ID, "control")
			w.runFor(simLease)
			require.False(t, old.r.active())
			w.newOwner(old)
			w.call(w.nodes[3], callTo("p", "k"))
		}},
		{"replica unreachable one way: removed, calls go on", 4, func(_ *testing.T, w *world) {
			w.blocked[[2]string{w.owner().vm.ID, w.follower(0).vm.ID}] = true
			started := w.now
			require.NotNil(w.t, w.call(w.nodes[3], callTo("p", "k")).result.Ticket)
			require.Less(w.t, w.now-started, AcknowledgeTimeout+simPoll)
		}},
		{"answers of a replica lost one way", 4, func(_ *testing.T, w *world) {
			w.blocked[[2]string{w.follower(0).vm.ID, w.owner().vm.ID}] = true
			require.NotNil(w.t, w.call(w.nodes[3], callTo("p", "k")).result.Ticket)
		}},
		{"owner cut off from its replicas: only idempotent calls run", 4, func(t *testing.T, w *world) {
			for i := range 2 {
				w.cutBoth(w.owner().vm.ID, w.follower(i).vm.ID)
			}
			w.requireRefusal(w.nodes[3], callTo("p", "k"), program.CodeInsufficientReplicas, program.ExecutedNo)
			idempotent := callTo("p", "k2")
			idempotent.NonIdempotent = false
			require.NotNil(t, w.call(w.nodes[3], idempotent).result.Ticket)
			require.Len(t, w.control.assignment.InSync, 1)
			clear(w.blocked)
			w.inSync(3)
			w.requireReplay(w.nodes[3], idempotent)
			require.NotNil(t, w.call(w.nodes[3], callTo("p", "k")).result.Ticket)
		}},
		{"second loss right after the repair", 5, func(_ *testing.T, w *world) {
			for i := range 20 {
				w.call(w.nodes[4], callTo(fmt.Sprint("p", i), "k"))
			}
			for range 2 {
				w.follower(0).alive = false
				w.until(failoverBound, "removal", func() bool { return len(w.control.assignment.InSync) == 2 })
				w.until(failoverBound, "repair", func() bool { return len(w.control.assignment.InSync) == 3 })
			}
			old := w.owner()
			old.alive = false
			w.newOwner(old)
			for i := range 20 {
				w.requireReplay(w.nodes[4], callTo(fmt.Sprint("p", i), "k"))
			}
		}},
		{"owner does not learn that a replica has joined: nothing is acknowledged without it", 4, func(t *testing.T, w *world) {
			old := w.owner()
			w.follower(0).alive = false
			w.until(failoverBound, "a new replica", func() bool { return slices.Contains(old.known.Replicas, w.nodes[3].vm.VMRef) })
			w.blocked[[2]string{"control", old.vm.ID}] = true
			w.until(failoverBound, "joining", func() bool { return len(w.control.assignment.InSync) == 3 })
			w.cutBoth(old.vm.ID, w.follower(1).vm.ID)
			op := w.clients.begin(old, callTo("p", "k"))
			w.until(simLease, "the end of the lease", func() bool { return w.now >= old.lease })
			require.Equal(t, "begin", op.state)
		}},
		{"a waiting request that is delivered twice starts no call after its refusal", 4, func(t *testing.T, w *world) {
			op := w.running(w.nodes[3], callTo("p", "k"))
			call := callTo("p", "k2")
			call.Request, call.WaitLimit = "twice", time.Second
			w.handle(w.owner(), BeginRequest{1 << 40, call})
			w.runFor(500 * time.Millisecond)
			w.handle(w.owner(), BeginRequest{1<<40 + 1, call})
			w.runFor(700 * time.Millisecond)
			w.letGo(op)
			w.runFor(100 * time.Millisecond)
			require.Nil(t, w.owner().r.Table().Program(call.Program).Running())
		}},
		{"a request that is repeated after its ticket does not take the call back", 4, func(_ *testing.T, w *world) {
			op := w.running(w.nodes[3], callTo("p", "k"))
			for i := range 2 {
				w.cutBoth(w.owner().vm.ID, w.follower(i).vm.ID)
			}
			w.handle(w.owner(), CrashRequest{}) // a record, so that the repeated ticket is confirmed later
			w.handle(w.owner(), BeginRequest{1 << 40, op.call})
			w.inSync(1)
			w.letGo(op)
		}},
		{"owner that was moved away unnoticed answers nothing from its old state", 4, func(t *testing.T, w *world) {
			old := w.owner()
			w.until(simPoll, "a fresh lease", func() bool { return old.lease-w.now > simLease-10*time.Millisecond })
			for w.owner() == old {
				w.control.move()
			}
			for _, n := range w.nodes {
				w.cutBoth(old.vm.ID, n.vm.ID)
			}
			w.cutBoth(old.vm.ID, "control")
			w.poll(w.owner())
			w.poll(w.nodes[3])
			w.call(w.nodes[3], callTo("p", "k"))
			require.True(t, old.r.active(), "the case needs an owner with a lease")
			var answers []Effect
			for _, build := range []func(id uint64) Event{
				func(id uint64) Event { return HistoryRequest{id, program.Ref{Organisation: "org", ID: "p"}} },
				func(id uint64) Event {
					call := callTo("p", "k")
					call.Runner = fleet.VMRef{ID: "gone"}
					return BeginRequest{id, call}
				},
			} {
				w.handle(old, build(w.clients.expect(func(e Effect) { answers = append(answers, e) })))
			}
			w.until(simLease, "the end of the lease", func() bool { return w.now >= old.lease })
			require.Empty(t, answers)
		}},
		{"lost and duplicated messages", 4, func(t *testing.T, w *world) {
			w.loss, w.double = 0.15, 0.3
			for i := range 20 {
				require.NotNil(t, w.call(w.nodes[i%4], callTo("p", fmt.Sprint(i))).result.Ticket)
			}
		}},
		{"ten sub-agents spend at once", 4, func(t *testing.T, w *world) {
			w.clients.budgets["p"] = fleet.Budget{MaxCalls: 30, MaxTokens: 500}
			for i := range 200 {
				call := callTo(fmt.Sprintf("p/agent%d", i%10), fmt.Sprint(i))
				call.Budget, call.EstimatedTokens = w.clients.budgets["p"], 40
				op := w.clients.begin(w.nodes[i%4], call)
				op.used = int64(i % 41)
				w.runFor(5 * time.Millisecond)
			}
			w.runFor(5 * time.Second)
			require.Positive(t, w.clients.refusals[program.CodeBudgetExhausted])
			// What is left does not allow another call.
			require.True(t, w.clients.calls["p"] == 30 || w.clients.spent["p"] > 460, "%d calls", w.clients.calls["p"])
		}},
		{"handover keeps the running call and refuses nothing", 4, func(t *testing.T, w *world) {
			old := w.owner()
			op := w.running(w.nodes[3], callTo("p", "k"))
			waiting := w.clients.begin(w.nodes[1], callTo("p", "k2"))
			w.handle(old, HandoverRequest{})
			w.newOwner(old)
			w.letGo(op)
			w.until(time.Second, "the waiting call", func() bool { return waiting.state == "done" })
			require.NotNil(t, waiting.result.Ticket)
		}},
		{"unconfirmed release is repeated by the new owner", 4, func(t *testing.T, w *world) {
			w.call(w.nodes[3], callTo("p", "k"))
			w.unconfirmed = true
			w.clients.endProgram(w.owner(), program.Ref{Organisation: "org", ID: "p"})
			w.runFor(100 * time.Millisecond)
			old := w.owner()
			require.Equal(t, 1, old.released["p"])
			w.unconfirmed = false
			old.alive = false
			w.newOwner(old)
			w.until(time.Second, "the release", func() bool { return w.owner().released["p"] == 1 })
			w.runFor(100 * time.Millisecond)
			_, open := w.owner().r.Table().Program(program.Ref{Organisation: "org", ID: "p"}).PendingRelease()
			require.False(t, open)
		}},
		{"crash suspects survive the owner", 4, func(t *testing.T, w *world) {
			for _, target := range []string{"t1", "t1", "t2"} {
				require.False(t, w.owner().r.Table().Quarantined(w.owner().r.shardTime(), "org", 9))
				w.handle(w.owner(), CrashRequest{Crash: program.Crash{Organisation: "org", Fingerprint: 9, Target: target}})
				w.runFor(20 * time.Millisecond)
			}
			old := w.owner()
			old.alive = false
			w.newOwner(old)
			require.True(t, w.owner().r.Table().Quarantined(w.owner().r.shardTime(), "org", 9))
			require.False(t, w.owner().r.Table().Quarantined(w.owner().r.shardTime()+program.QuarantineTime, "org", 9))
			w.handle(w.owner(), CrashRequest{Crash: program.Crash{Organisation: "org", Fingerprint: 9, Clear: true}})
			require.False(t, w.owner().r.Table().Quarantined(w.owner().r.shardTime(), "org", 9))
		}},
		{"call past its timeout, idle program and its memory", 4, func(t *testing.T, w *world) {
			call := callTo("p", "k")
			call.CallTimeout, call.IdleTimeout, call.ResendWindow = time.Second, 2*time.Second, 4*time.Second
			op := w.running(w.nodes[3], call)
			w.runFor(time.Second + program.SettleGrace + 100*time.Millisecond)
			w.requireRefusal(w.nodes[1], call, program.CodeOutcomeUnknown, program.ExecutedUnknown)
			op.state = "done"
			w.until(3*time.Second, "the idle end", func() bool { return w.notes["program_idle"] == 1 })
			w.until(5*time.Second, "the end of the resend window", func() bool { return w.owner().r.Table().Len() == 0 })
		}},
		{"single VM serves non-idempotent calls", 1, func(t *testing.T, w *world) {
			require.NotNil(t, w.call(w.nodes[0], callTo("p", "k")).result.Ticket)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			seed := schedule.EnvUint(t, "SEED", 1)
			t.Logf("repeat with SEED=%d", seed)
			w := newWorld(t, seed, c.nodes)
			w.inSync(min(3, c.nodes))
			c.run(t, w)
		})
	}
}

// Guards against a deposed owner whose records reach a replica, and against a
// restarted VM that is taken for the replica it was.
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

// Guards against a replica that keeps records which a later owner replaced, that
// takes an old copy for a new one, or that answers from a state that it would
// have to undo.
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
	step(first)   // delivered again
	step(earlier) // delivered late
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
