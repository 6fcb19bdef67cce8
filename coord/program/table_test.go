package program

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockvale.dev/coord/fleet"
)

// machine drives a table as an owner without replicas does.
type machine struct {
	t     require.TestingT
	table *Table
	index uint64
	now   time.Duration
}

func newMachine(t require.TestingT) *machine {
	return &machine{t: t, table: NewTable(), index: 100, now: time.Hour}
}

func (m *machine) apply(c Change) uint64 {
	m.index++
	m.table.Apply(m.index, m.now, &c)
	return m.index
}

// begin decides and starts a call; the result is a ticket, a replay or a
// refusal, or nil for a call that must wait.
func (m *machine) begin(c BeginCall) *BeginResult {
	d := m.table.Decide(m.now, c, true)
	switch {
	case d.Wait:
		return nil
	case d.Result != nil:
		return d.Result
	case d.Ticket != nil:
		return &BeginResult{Ticket: d.Ticket}
	}
	index := m.apply(Change{Begin: d.Start})
	return &BeginResult{Ticket: m.table.Ticket(d.Start.ResolvedRef(index))}
}

func (m *machine) ticket(c BeginCall) Ticket {
	r := m.begin(c)
	require.NotNil(m.t, r, "the call waits")
	require.NotNil(m.t, r.Ticket, "%+v", r.Refusal)
	return *r.Ticket
}

func (m *machine) refused(c BeginCall, code, executed string) {
	r := m.begin(c)
	require.NotNil(m.t, r, "the call waits")
	require.NotNil(m.t, r.Refusal, "%+v", r)
	require.Equal(m.t, [2]string{code, executed}, [2]string{r.Refusal.Code, r.Refusal.Executed})
}

func (m *machine) finish(t Ticket, o Outcome, tokens int64) {
	s, err := m.table.DecideFinish(FinishCall{
		Ticket: t, Outcome: o, TokensUsed: tokens, Target: "t1", HistoryDelta: fmt.Appendf(nil, "%d;", t.Sequence),
		Response: &StoredResponse{Status: 200, Body: fmt.Append(nil, t.Sequence)}, Head: t.Sequence,
	})
	require.NoError(m.t, err)
	if o != Completed {
		s.Response, s.HistoryDelta, s.Head = nil, nil, 0
	}
	m.apply(Change{Settle: s})
}

// run begins and completes a call.
func (m *machine) run(c BeginCall) Ticket {
	t := m.ticket(c)
	m.finish(t, Completed, 1)
	return t
}

func (m *machine) end(r Ref) { m.apply(Change{End: &End{Program: r}}) }

func keyed(id, key string) BeginCall {
	return BeginCall{Program: Ref{"org", id}, Key: key, Fingerprint: 1, NonIdempotent: true, ResendWindow: time.Minute}
}

func with(c BeginCall, change func(*BeginCall)) BeginCall {
	change(&c)
	return c
}

// Guards against second runs of a non-idempotent call, refusals that are not
// true, and state that passes from one program or generation to another.
func TestDecisions(t *testing.T) {
	byBody := with(keyed("p", ""), func(c *BeginCall) { c.Fingerprint = 9 })
	idempotent := with(keyed("p", "i"), func(c *BeginCall) { c.NonIdempotent = false })
	first := BeginCall{Program: Ref{"org", "lineage"}, Lineage: true}
	at := func(head uint64) BeginCall { return with(first, func(c *BeginCall) { c.Head = head }) }
	for name, run := range map[string]func(t *testing.T, m *machine){
		"a retry gets the stored response": func(t *testing.T, m *machine) {
			k := m.run(keyed("p", "a"))
			require.Equal(t, fmt.Append(nil, k.Sequence), m.begin(keyed("p", "a")).Replay.Body)
			k = m.run(byBody)
			require.Equal(t, fmt.Append(nil, k.Sequence), m.begin(byBody).Replay.Body)
			k = m.run(idempotent)
			require.Equal(t, fmt.Append(nil, k.Sequence), m.begin(idempotent).Replay.Body)
		},
		"an equal body without a window is another call": func(t *testing.T, m *machine) {
			c := with(byBody, func(c *BeginCall) { c.ResendWindow = 0 })
			require.Less(t, m.run(c).Sequence, m.run(c).Sequence)
		},
		"a retry waits for the first call": func(t *testing.T, m *machine) {
			m.ticket(keyed("p", "a"))
			require.True(t, m.table.Decide(m.now, keyed("p", "a"), false).Retry)
		},
		"an unknown outcome is never run again": func(_ *testing.T, m *machine) {
			m.finish(m.ticket(keyed("p", "a")), Unknown, 0)
			m.refused(keyed("p", "a"), CodeOutcomeUnknown, ExecutedUnknown)
			m.finish(m.ticket(byBody), Unknown, 0)
			m.refused(byBody, CodeOutcomeUnknown, ExecutedUnknown)
		},
		"an idempotent call runs again after an unknown outcome": func(_ *testing.T, m *machine) {
			m.finish(m.ticket(idempotent), Unknown, 0)
			m.run(idempotent)
		},
		"a call that did not run may run": func(_ *testing.T, m *machine) {
			m.finish(m.ticket(keyed("p", "a")), NotRun, 0)
			m.run(keyed("p", "a"))
		},
		"a key is not reused for another request": func(_ *testing.T, m *machine) {
			m.run(keyed("p", "a"))
			m.refused(with(keyed("p", "a"), func(c *BeginCall) { c.Fingerprint = 2 }), CodeKeyReused, ExecutedNo)
		},
		"a record lasts for the resend window, by default without one": func(t *testing.T, m *machine) {
			none := with(keyed("p", "b"), func(c *BeginCall) { c.ResendWindow = 0 })
			m.run(keyed("p", "a"))
			m.run(none)
			m.now += time.Minute - 1
			require.NotNil(t, m.begin(keyed("p", "a")).Replay)
			require.NotNil(t, m.begin(none).Replay)
			m.now++
			m.run(keyed("p", "a"))
		},
		"equal ids of two organisations are two programs": func(t *testing.T, m *machine) {
			m.run(keyed("p", "a"))
			m.run(with(keyed("p", "a"), func(c *BeginCall) { c.Program.Organisation = "other" }))
			require.NotEqual(t, m.table.History(Ref{"org", "p"}), m.table.History(Ref{"other", "p"}))
		},
		"a new generation keeps only the records of non-idempotent calls": func(t *testing.T, m *machine) {
			c := with(keyed("p", "a"), func(c *BeginCall) { c.Budget.MaxCalls = 2 })
			m.run(c)
			m.run(idempotent)
			m.end(c.Program)
			m.run(idempotent)
			require.Empty(t, m.ticket(with(c, func(c *BeginCall) { c.Key = "b" })).Targets[1:])
			require.Len(t, m.table.History(c.Program), 4)
			require.NotNil(t, m.begin(c).Replay)
			require.EqualValues(t, 2, m.table.Program(c.Program).Calls())
		},
		"a call that runs while its program ends stays out of the next generation": func(t *testing.T, m *machine) {
			k := m.ticket(keyed("p", "a"))
			m.end(k.Program)
			require.Nil(t, m.begin(keyed("p", "b")), "the next generation waits")
			m.finish(k, Completed, 5)
			release, ok := m.table.Program(k.Program).PendingRelease()
			require.True(t, ok)
			require.Equal(t, []string{"t1"}, release.Targets)
			next := m.ticket(keyed("p", "b"))
			require.Empty(t, next.Targets)
			require.Zero(t, next.AttainedTokens)
			require.Empty(t, m.table.History(k.Program))
		},
		"a late settlement still names its target": func(t *testing.T, m *machine) {
			k := m.ticket(keyed("p", "a"))
			m.finish(k, Unknown, 0)
			m.end(k.Program)
			m.apply(Change{Released: &Released{Program: k.Program, Release: m.index}})
			m.apply(Change{Hold: &Hold{Program: k.Program, Target: "t2"}})
			release, _ := m.table.Program(k.Program).PendingRelease()
			require.Equal(t, []string{"t2"}, release.Targets)
		},
		"a sub-agent of an ended program is refused": func(_ *testing.T, m *machine) {
			m.run(keyed("p/a", "a"))
			m.end(Ref{"org", "p"})
			m.refused(keyed("p/a", "b"), CodeProgramEnded, ExecutedNo)
		},
		"the head selects the program of a lineage": func(t *testing.T, m *machine) {
			a, b := m.run(first), m.run(first)
			require.NotEqual(t, a.Program, b.Program)
			require.Equal(t, a.Program, m.run(at(a.Sequence)).Program)
			require.Equal(t, b.Program, m.run(at(b.Sequence)).Program)
			require.NotEqual(t, a.Program, m.run(at(a.Sequence)).Program, "the head has moved on")
		},
		"a retry in a lineage finds its record although the head has moved": func(t *testing.T, m *machine) {
			c := with(first, func(c *BeginCall) { c.Key, c.NonIdempotent = "a", true })
			m.run(c)
			require.NotNil(t, m.begin(c).Replay)
		},
		"a program that ran nothing is used for the next first call": func(t *testing.T, m *machine) {
			k := m.ticket(first)
			m.finish(k, NotRun, 0)
			require.Equal(t, k.Program, m.ticket(first).Program)
		},
		"a profile that was edited applies from the next call": func(_ *testing.T, m *machine) {
			m.run(with(keyed("p", "a"), func(c *BeginCall) { c.Budget.MaxCalls = 9 }))
			m.refused(with(keyed("p", "b"), func(c *BeginCall) { c.Budget.MaxCalls = 1 }), CodeBudgetExhausted, ExecutedNo)
			m.run(with(keyed("p", "c"), func(c *BeginCall) { c.Budget.MaxCalls = 3 }))
		},
		"seconds end a program and bound its calls": func(t *testing.T, m *machine) {
			c := with(keyed("p", "a"), func(c *BeginCall) { c.Budget.MaxSeconds, c.CallTimeout = 60, 50*time.Second })
			require.Equal(t, 50*time.Second, m.run(c).TimeLimit)
			m.now += 20 * time.Second
			c.Key = "b"
			require.Equal(t, 40*time.Second, m.run(c).TimeLimit)
			m.now += 40 * time.Second
			c.Key = "c"
			m.refused(c, CodeBudgetExhausted, ExecutedNo)
		},
		"a request that is delivered twice gets one ticket": func(t *testing.T, m *machine) {
			c := with(keyed("p", "a"), func(c *BeginCall) { c.Request = "r1" })
			require.Equal(t, m.ticket(c), m.ticket(c))
		},
		"a settlement that is delivered twice is recorded once": func(t *testing.T, m *machine) {
			k := m.run(keyed("p", "a"))
			s, err := m.table.DecideFinish(FinishCall{Ticket: k, Outcome: Completed})
			require.Nil(t, s)
			require.NoError(t, err)
			_, err = m.table.DecideFinish(FinishCall{Ticket: k, Outcome: NotRun})
			require.ErrorIs(t, err, ErrAlreadySettled)
		},
	} {
		t.Run(name, func(t *testing.T) { run(t, newMachine(t)) })
	}
}

// Guards against a budget that several programs of a family exceed together,
// and against a reservation that is never returned.
func TestBudgetOfFamily(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(rt)
		budget := fleet.Budget{MaxCalls: rapid.Int64Range(1, 20).Draw(rt, "calls"), MaxTokens: rapid.Int64Range(1, 300).Draw(rt, "tokens")}
		var open []Ticket
		var granted, reserved, used int64
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(rt, "finish") {
				k := open[0]
				open = open[1:]
				o := rapid.SampledFrom([]Outcome{Completed, NotRun, Unknown}).Draw(rt, "outcome")
				tokens := rapid.Int64Range(0, k.TokenLimit).Draw(rt, "used")
				m.finish(k, o, tokens)
				reserved -= k.TokenLimit
				switch o {
				case Completed:
					used += tokens
				case NotRun:
					granted--
				case Unknown:
					used += k.TokenLimit
				}
				continue
			}
			id := rapid.SampledFrom([]string{"p", "p/a", "p/b", "p/a/x"}).Draw(rt, "program")
			c := BeginCall{Program: Ref{"org", id}, Key: fmt.Sprint(i), Budget: budget, EstimatedTokens: rapid.Int64Range(0, 80).Draw(rt, "estimate")}
			if r := m.begin(c); r != nil && r.Ticket != nil {
				open = append(open, *r.Ticket)
				granted++
				reserved += r.Ticket.TokenLimit
			}
			require.LessOrEqual(rt, granted, budget.MaxCalls)
			require.LessOrEqual(rt, reserved+used, budget.MaxTokens)
		}
		if p := m.table.Program(Ref{"org", "p"}); p != nil {
			attained, held := p.Tokens()
			require.Equal(rt, [3]int64{granted, used, reserved}, [3]int64{p.Calls(), attained, held})
		}
	})
}

// Guards against a copy that differs from the original when the log is replayed
// from before the copied state.
func TestCopyThenReplay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(rt)
		var log []Change
		steps := rapid.IntRange(5, 80).Draw(rt, "steps")
		start, end := rapid.IntRange(0, steps).Draw(rt, "start"), steps
		var refs []Ref
		copied := NewTable()
		for i := range steps {
			if i == start {
				refs = m.table.Refs()
			}
			if i >= start && len(refs) > 0 && rapid.Bool().Draw(rt, "export") {
				images, n := m.table.Export(refs, 1)
				copied.Import(images, nil)
				refs = refs[n:]
			}
			log = append(log, m.randomChange(rt))
			m.apply(log[i])
		}
		images, _ := m.table.Export(refs, 1<<30)
		copied.Import(images, m.table.ExportSuspects())
		if start < end {
			for i, c := range log[start:] {
				copied.Apply(uint64(101+start+i), m.now, &c)
			}
		} else {
			images, _ = m.table.Export(m.table.Refs(), 1<<30)
			copied.Import(images, nil)
		}
		want, _ := m.table.Export(m.table.Refs(), 1<<30)
		got, _ := copied.Export(copied.Refs(), 1<<30)
		require.Equal(rt, want, got)
	})
}

// randomChange draws a change that an owner could write.
func (m *machine) randomChange(rt *rapid.T) Change {
	ref := Ref{"org", rapid.SampledFrom([]string{"p", "p/a", "q"}).Draw(rt, "program")}
	p := m.table.Program(ref)
	if p == nil || p.Running() == nil && rapid.IntRange(0, 2).Draw(rt, "kind") > 0 {
		if d := m.table.Decide(m.now, BeginCall{Program: ref, Key: fmt.Sprint(m.index), EstimatedTokens: 5}, false); d.Start != nil {
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
		return Change{Released: &Released{Program: ref, Release: r.ID}}
	}
	if p.Ended() {
		return Change{Drop: &Drop{Program: ref}}
	}
	return Change{End: &End{Program: ref}}
}
