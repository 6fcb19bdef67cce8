package program

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockvale.dev/coord/fleet"
)

// harness drives a table as a shard owner without replicas does.
type harness struct {
	t     require.TestingT
	table *Table
	index uint64
	now   time.Duration
}

func newHarness(t require.TestingT) *harness {
	return &harness{t: t, table: NewTable(), index: 100, now: time.Hour}
}

// apply applies the next record and returns its index.
func (h *harness) apply(c Change) uint64 {
	h.index++
	h.table.Apply(h.index, h.now, &c)
	return h.index
}

// begin starts a call if the table allows it. It returns a ticket, a stored response
// or a refusal, or nil for a call that must wait.
func (h *harness) begin(c BeginCall) *BeginResult {
	d := h.table.Decide(h.now, c, true)
	switch {
	case d.Wait:
		return nil
	case d.Result != nil:
		return d.Result
	case d.Ticket != nil:
		return &BeginResult{Ticket: d.Ticket}
	}
	index := h.apply(Change{Begin: d.Start})
	return &BeginResult{Ticket: h.table.Ticket(d.Start.ResolvedRef(index))}
}

// ticket begins a call that must get a ticket.
func (h *harness) ticket(c BeginCall) Ticket {
	r := h.begin(c)
	require.NotNil(h.t, r, "the call waits")
	require.NotNil(h.t, r.Ticket, "%+v", r.Refusal)
	return *r.Ticket
}

// refused begins a call that must be refused with the given code.
func (h *harness) refused(c BeginCall, code, executed string) {
	r := h.begin(c)
	require.NotNil(h.t, r, "the call waits")
	require.NotNil(h.t, r.Refusal, "%+v", r)
	require.Equal(h.t, [2]string{code, executed}, [2]string{r.Refusal.Code, r.Refusal.Executed})
}

// finish settles a call on target t1.
func (h *harness) finish(t Ticket, o Outcome, tokens int64) {
	s, err := h.table.DecideFinish(FinishCall{
		Ticket: t, Outcome: o, TokensUsed: tokens, Target: "t1", HistoryDelta: fmt.Appendf(nil, "%d;", t.Sequence),
		Response: &StoredResponse{Status: 200, Body: fmt.Append(nil, t.Sequence)}, Head: t.Sequence,
	})
	require.NoError(h.t, err)
	if o != Completed {
		s.Response, s.HistoryDelta, s.Head = nil, nil, 0
	}
	h.apply(Change{Settle: s})
}

// run begins and completes a call.
func (h *harness) run(c BeginCall) Ticket {
	t := h.ticket(c)
	h.finish(t, Completed, 1)
	return t
}

// end ends a program.
func (h *harness) end(r Ref) { h.apply(Change{End: &End{Program: r}}) }

// keyedCall returns a non-idempotent call with an idempotency key.
func keyedCall(id, key string) BeginCall {
	return BeginCall{Program: Ref{"org", id}, Key: key, Fingerprint: 1, NonIdempotent: true, ResendWindow: time.Minute}
}

// modify returns a copy of c that change has modified.
func modify(c BeginCall, change func(*BeginCall)) BeginCall {
	change(&c)
	return c
}

// TestDecisions guards against running a non-idempotent call twice, refusals with a
// wrong code or execution status, and state that leaks from one program or generation
// into another.
func TestDecisions(t *testing.T) {
	unkeyed := modify(keyedCall("p", ""), func(c *BeginCall) { c.Fingerprint = 9 })
	idempotent := modify(keyedCall("p", "i"), func(c *BeginCall) { c.NonIdempotent = false })
	firstCall := BeginCall{Program: Ref{"org", "lineage"}, Lineage: true}
	atHead := func(head uint64) BeginCall { return modify(firstCall, func(c *BeginCall) { c.Head = head }) }
	for name, run := range map[string]func(t *testing.T, h *harness){
		"a retry gets the stored response": func(t *testing.T, h *harness) {
			ticket := h.run(keyedCall("p", "a"))
			require.Equal(t, fmt.Append(nil, ticket.Sequence), h.begin(keyedCall("p", "a")).Replay.Body)
			ticket = h.run(unkeyed)
			require.Equal(t, fmt.Append(nil, ticket.Sequence), h.begin(unkeyed).Replay.Body)
			ticket = h.run(idempotent)
			require.Equal(t, fmt.Append(nil, ticket.Sequence), h.begin(idempotent).Replay.Body)
		},
		"an equal body without a resend window starts a new call": func(t *testing.T, h *harness) {
			c := modify(unkeyed, func(c *BeginCall) { c.ResendWindow = 0 })
			require.Less(t, h.run(c).Sequence, h.run(c).Sequence)
		},
		"a retry waits for the first call": func(t *testing.T, h *harness) {
			h.ticket(keyedCall("p", "a"))
			require.True(t, h.table.Decide(h.now, keyedCall("p", "a"), false).Retry)
		},
		"an unknown outcome is never run again": func(_ *testing.T, h *harness) {
			h.finish(h.ticket(keyedCall("p", "a")), Unknown, 0)
			h.refused(keyedCall("p", "a"), CodeOutcomeUnknown, ExecutedUnknown)
			h.finish(h.ticket(unkeyed), Unknown, 0)
			h.refused(unkeyed, CodeOutcomeUnknown, ExecutedUnknown)
		},
		"a late settlement of a renewed program's call is recognised": func(t *testing.T, h *harness) {
			ticket := h.ticket(keyedCall("p", "a"))
			h.apply(Change{Settle: h.table.Program(ticket.Program).Abort(Unknown)})
			h.end(ticket.Program)
			h.run(keyedCall("p", "b"))
			_, err := h.table.DecideFinish(FinishCall{Ticket: ticket, Outcome: Completed, Target: "t2"})
			require.ErrorIs(t, err, ErrAlreadySettled)
			next := h.ticket(keyedCall("p", "c"))
			h.apply(Change{Settle: h.table.Program(next.Program).Abort(Unknown)})
			h.end(next.Program)
			h.ticket(keyedCall("p", "d"))
			_, err = h.table.DecideFinish(FinishCall{Ticket: next, Outcome: Completed, Target: "t2"})
			require.ErrorIs(t, err, ErrAlreadySettled, "before the first call of the new generation has ended")
		},
		"an idempotent call runs again after an unknown outcome": func(_ *testing.T, h *harness) {
			h.finish(h.ticket(idempotent), Unknown, 0)
			h.run(idempotent)
		},
		"a call that did not run may be retried": func(_ *testing.T, h *harness) {
			h.finish(h.ticket(keyedCall("p", "a")), NotRun, 0)
			h.run(keyedCall("p", "a"))
		},
		"a key cannot be reused for another request": func(_ *testing.T, h *harness) {
			h.run(keyedCall("p", "a"))
			h.refused(modify(keyedCall("p", "a"), func(c *BeginCall) { c.Fingerprint = 2 }), CodeKeyReused, ExecutedNo)
		},
		"a record lasts for the resend window, or for the default window if none is set": func(t *testing.T, h *harness) {
			noWindow := modify(keyedCall("p", "b"), func(c *BeginCall) { c.ResendWindow = 0 })
			h.run(keyedCall("p", "a"))
			h.run(noWindow)
			h.now += time.Minute - 1
			require.NotNil(t, h.begin(keyedCall("p", "a")).Replay)
			require.NotNil(t, h.begin(noWindow).Replay)
			h.now++
			h.run(keyedCall("p", "a"))
		},
		"equal ids of two organisations are two programs": func(t *testing.T, h *harness) {
			h.run(keyedCall("p", "a"))
			h.run(modify(keyedCall("p", "a"), func(c *BeginCall) { c.Program.Organisation = "other" }))
			require.NotEqual(t, h.table.History(Ref{"org", "p"}), h.table.History(Ref{"other", "p"}))
		},
		"a new generation keeps only the records of non-idempotent calls": func(t *testing.T, h *harness) {
			c := modify(keyedCall("p", "a"), func(c *BeginCall) { c.Budget.MaxCalls = 2 })
			h.run(c)
			h.run(idempotent)
			h.end(c.Program)
			h.run(idempotent)
			require.Empty(t, h.ticket(modify(c, func(c *BeginCall) { c.Key = "b" })).Targets[1:])
			require.Len(t, h.table.History(c.Program), 4)
			require.NotNil(t, h.begin(c).Replay)
			require.EqualValues(t, 2, h.table.Program(c.Program).Calls())
		},
		"a call that runs while its program ends stays out of the next generation": func(t *testing.T, h *harness) {
			ticket := h.ticket(keyedCall("p", "a"))
			h.end(ticket.Program)
			require.Nil(t, h.begin(keyedCall("p", "b")), "the next generation waits")
			h.finish(ticket, Completed, 5)
			release, ok := h.table.Program(ticket.Program).PendingRelease()
			require.True(t, ok)
			require.Equal(t, []string{"t1"}, release.Targets)
			next := h.ticket(keyedCall("p", "b"))
			require.Empty(t, next.Targets)
			require.Zero(t, next.AttainedTokens)
			require.Empty(t, h.table.History(ticket.Program))
		},
		"a late settlement still adds its target to the release": func(t *testing.T, h *harness) {
			ticket := h.ticket(keyedCall("p", "a"))
			h.finish(ticket, Unknown, 0)
			h.end(ticket.Program)
			h.apply(Change{Released: &Released{Program: ticket.Program, ReleaseID: h.index}})
			h.apply(Change{AddTarget: &AddTarget{Program: ticket.Program, Target: "t2"}})
			release, _ := h.table.Program(ticket.Program).PendingRelease()
			require.Equal(t, []string{"t2"}, release.Targets)
		},
		"a sub-agent of an ended program is refused": func(_ *testing.T, h *harness) {
			h.run(keyedCall("p/a", "a"))
			h.end(Ref{"org", "p"})
			h.refused(keyedCall("p/a", "b"), CodeProgramEnded, ExecutedNo)
		},
		"the head selects the program of a lineage": func(t *testing.T, h *harness) {
			a, b := h.run(firstCall), h.run(firstCall)
			require.NotEqual(t, a.Program, b.Program)
			require.Equal(t, a.Program, h.run(atHead(a.Sequence)).Program)
			require.Equal(t, b.Program, h.run(atHead(b.Sequence)).Program)
			require.NotEqual(t, a.Program, h.run(atHead(a.Sequence)).Program, "no program has the old head any more")
		},
		"a retry in a lineage finds its record although the head has changed": func(t *testing.T, h *harness) {
			c := modify(firstCall, func(c *BeginCall) { c.Key, c.NonIdempotent = "a", true })
			h.run(c)
			require.NotNil(t, h.begin(c).Replay)
		},
		"a program that ran nothing is used for the next first call": func(t *testing.T, h *harness) {
			ticket := h.ticket(firstCall)
			h.finish(ticket, NotRun, 0)
			require.Equal(t, ticket.Program, h.ticket(firstCall).Program)
		},
		"an edited profile applies from the next call": func(_ *testing.T, h *harness) {
			h.run(modify(keyedCall("p", "a"), func(c *BeginCall) { c.Budget.MaxCalls = 9 }))
			h.refused(modify(keyedCall("p", "b"), func(c *BeginCall) { c.Budget.MaxCalls = 1 }), CodeBudgetExhausted, ExecutedNo)
			h.run(modify(keyedCall("p", "c"), func(c *BeginCall) { c.Budget.MaxCalls = 3 }))
		},
		"the seconds of a budget limit the program and the run time of its calls": func(t *testing.T, h *harness) {
			c := modify(keyedCall("p", "a"), func(c *BeginCall) { c.Budget.MaxSeconds, c.CallTimeout = 60, 50*time.Second })
			require.Equal(t, 50*time.Second, h.run(c).TimeLimit)
			h.now += 20 * time.Second
			c.Key = "b"
			require.Equal(t, 40*time.Second, h.run(c).TimeLimit)
			h.now += 40 * time.Second
			c.Key = "c"
			h.refused(c, CodeBudgetExhausted, ExecutedNo)
		},
		"a request that is delivered twice gets one ticket": func(t *testing.T, h *harness) {
			c := modify(keyedCall("p", "a"), func(c *BeginCall) { c.Request = "r1" })
			require.Equal(t, h.ticket(c), h.ticket(c))
		},
		"a settlement that is delivered twice is recorded once": func(t *testing.T, h *harness) {
			ticket := h.run(keyedCall("p", "a"))
			s, err := h.table.DecideFinish(FinishCall{Ticket: ticket, Outcome: Completed})
			require.Nil(t, s)
			require.NoError(t, err)
			_, err = h.table.DecideFinish(FinishCall{Ticket: ticket, Outcome: NotRun})
			require.ErrorIs(t, err, ErrAlreadySettled)
		},
	} {
		t.Run(name, func(t *testing.T) { run(t, newHarness(t)) })
	}
}

// TestBudgetOfFamily guards against a program and its sub-agents exceeding a shared
// budget together, and against reservations that are never returned.
func TestBudgetOfFamily(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(rt)
		budget := fleet.Budget{MaxCalls: rapid.Int64Range(1, 20).Draw(rt, "calls"), MaxTokens: rapid.Int64Range(1, 300).Draw(rt, "tokens")}
		var openTickets []Ticket
		var granted, reserved, used int64
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if len(openTickets) > 0 && rapid.Bool().Draw(rt, "finish") {
				ticket := openTickets[0]
				openTickets = openTickets[1:]
				o := rapid.SampledFrom([]Outcome{Completed, NotRun, Unknown}).Draw(rt, "outcome")
				tokens := rapid.Int64Range(0, ticket.TokenLimit).Draw(rt, "used")
				h.finish(ticket, o, tokens)
				reserved -= ticket.TokenLimit
				switch o {
				case Completed:
					used += tokens
				case NotRun:
					granted--
				case Unknown:
					used += ticket.TokenLimit
				}
				continue
			}
			id := rapid.SampledFrom([]string{"p", "p/a", "p/b", "p/a/x"}).Draw(rt, "program")
			c := BeginCall{Program: Ref{"org", id}, Key: fmt.Sprint(i), Budget: budget, EstimatedTokens: rapid.Int64Range(0, 80).Draw(rt, "estimate")}
			if r := h.begin(c); r != nil && r.Ticket != nil {
				openTickets = append(openTickets, *r.Ticket)
				granted++
				reserved += r.Ticket.TokenLimit
			}
			require.LessOrEqual(rt, granted, budget.MaxCalls)
			require.LessOrEqual(rt, reserved+used, budget.MaxTokens)
		}
		if p := h.table.Program(Ref{"org", "p"}); p != nil {
			attained, held := p.Tokens()
			require.Equal(rt, [3]int64{granted, used, reserved}, [3]int64{p.Calls(), attained, held})
		}
	})
}

// TestCopyThenReplay guards against a copy that differs from the original after
// replaying records that the copied state already includes.
func TestCopyThenReplay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(rt)
		var changes []Change
		steps := rapid.IntRange(5, 80).Draw(rt, "steps")
		start, end := rapid.IntRange(0, steps).Draw(rt, "start"), steps
		var refs []Ref
		copied := NewTable()
		for i := range steps {
			if i == start {
				refs = h.table.Refs()
			}
			if i >= start && len(refs) > 0 && rapid.Bool().Draw(rt, "export") {
				images, n := h.table.Export(refs, 1)
				copied.Import(images, nil)
				refs = refs[n:]
			}
			changes = append(changes, h.randomChange(rt))
			h.apply(changes[i])
		}
		images, _ := h.table.Export(refs, 1<<30)
		copied.Import(images, h.table.ExportSuspects())
		if start < end {
			for i, c := range changes[start:] {
				copied.Apply(uint64(101+start+i), h.now, &c)
			}
		} else {
			images, _ = h.table.Export(h.table.Refs(), 1<<30)
			copied.Import(images, nil)
		}
		want, _ := h.table.Export(h.table.Refs(), 1<<30)
		got, _ := copied.Export(copied.Refs(), 1<<30)
		require.Equal(rt, want, got)
	})
}

// randomChange draws a change that an owner could write in the current state.
func (h *harness) randomChange(rt *rapid.T) Change {
	ref := Ref{"org", rapid.SampledFrom([]string{"p", "p/a", "q"}).Draw(rt, "program")}
	p := h.table.Program(ref)
	if p == nil || p.Running() == nil && rapid.IntRange(0, 2).Draw(rt, "kind") > 0 {
		if d := h.table.Decide(h.now, BeginCall{Program: ref, Key: fmt.Sprint(h.index), EstimatedTokens: 5}, false); d.Start != nil {
			return Change{Begin: d.Start}
		}
		return Change{Crash: &Crash{Organisation: "org", Fingerprint: 1, Target: ref.ID}}
	}
	if p.Running() != nil {
		s := p.Abort(rapid.SampledFrom([]Outcome{Completed, NotRun, Unknown}).Draw(rt, "outcome"))
		s.HistoryDelta, s.Target = []byte("turn;"), "t1"
		return Change{Settle: s}
	}
	if r, ok := p.PendingRelease(); ok {
		return Change{Released: &Released{Program: ref, ReleaseID: r.ID}}
	}
	if p.Ended() {
		return Change{Drop: &Drop{Program: ref}}
	}
	return Change{End: &End{Program: ref}}
}
