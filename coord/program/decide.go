package program

import (
	"math"
	"time"

	"hemlockvale.dev/coord/fleet"
)

// Decision is what a call may do now; exactly one field is set.
type Decision struct {
	// Start is the record that starts the call.
	Start *Begin
	// Ticket repeats the ticket of a request that was delivered twice.
	Ticket *Ticket
	// Result answers without running anything.
	Result *BeginResult
	// Wait says that the call must wait until another call is settled.
	Wait bool
	// Retry says that the call waits for the first call of which it is a retry.
	Retry bool
}

// Decide returns what a call may do now, without changing the table. repeated
// says that a request with the same identity may have been started before.
func (t *Table) Decide(now time.Duration, c BeginCall, repeated bool) Decision {
	c.EstimatedTokens = max(c.EstimatedTokens, 0)
	if c.Key != "" && c.ResendWindow <= 0 {
		c.ResendWindow = DefaultResendWindow
	}
	// A lineage can have many programs; most calls cannot match a record in them.
	if repeated || c.recorded() {
		for _, p := range t.candidates(c.Program, c.Lineage) {
			if d, done := p.repeat(now, &c); done {
				return d
			}
		}
	}
	p := t.selectProgram(&c)
	if p != nil && p.running != nil {
		return Decision{Wait: true}
	}
	if r := t.checkAncestors(c.Program); r != nil {
		return Decision{Result: r}
	}
	b := &Begin{Call: c, Renew: p != nil && p.ended}
	if r := t.reserve(now, p, b); r != nil {
		return Decision{Result: r}
	}
	return Decision{Start: b}
}

// candidates returns the programs that can hold a record of a call.
func (t *Table) candidates(r Ref, lineage bool) []*Program {
	if !lineage {
		if p := t.programs[r]; p != nil {
			return []*Program{p}
		}
		return nil
	}
	root, _ := rootOf(r)
	var out []*Program
	for _, p := range t.families[root] {
		if p.ref != r && QueueRef(p.ref) == r {
			out = append(out, p)
		}
	}
	return out
}

// repeat answers a request that was delivered before, or a retry of a recorded call.
func (p *Program) repeat(now time.Duration, c *BeginCall) (Decision, bool) {
	if r := p.running; r != nil && r.Request != "" && r.Request == c.Request {
		return Decision{Ticket: p.ticket()}, true
	}
	r := p.findRecord(c, now)
	switch {
	case r == nil:
		return Decision{}, false
	case r.Fingerprint != c.Fingerprint:
		return answer(Refuse(CodeKeyReused, "the key was used for a different request")), true
	case r.Outcome == "":
		return Decision{Wait: true, Retry: true}, true
	case r.Response != nil:
		return answer(BeginResult{Replay: r.Response}), true
	case r.NonIdempotent || c.NonIdempotent:
		return answer(RefuseUnknown(CodeOutcomeUnknown, "an equal request may have taken effect and its response is not known")), true
	}
	return Decision{}, false
}

func answer(r BeginResult) Decision { return Decision{Result: &r} }

// recorded says whether the call has an at-most-once record.
func (c *BeginCall) recorded() bool {
	return c.Key != "" || c.NonIdempotent && c.ResendWindow > 0
}

// selectProgram returns the program to which the call belongs, or nil for a
// new one, and resolves a lineage that selects an existing program.
func (t *Table) selectProgram(c *BeginCall) *Program {
	if !c.Lineage {
		return t.programs[c.Program]
	}
	for _, p := range t.heads[headKey{c.Program, c.Head}] {
		if c.Head != 0 || p.unused() {
			c.Program, c.Lineage = p.ref, false
			return p
		}
	}
	return nil
}

// checkAncestors refuses a sub-agent whose parent has ended.
func (t *Table) checkAncestors(r Ref) *BeginResult {
	for _, id := range ancestors(r.ID) {
		if p := t.programs[Ref{r.Organisation, id}]; p != nil && p.ended {
			refusal := Refuse(CodeProgramEnded, "the parent program %s has ended", id)
			return &refusal
		}
	}
	return nil
}

// account is what a budget is compared with.
type account struct {
	budget        fleet.Budget
	calls, tokens int64
	started       bool
	firstCall     time.Duration
}

// accounts returns the accounts that the call is charged to.
func (t *Table) accounts(p *Program, c *BeginCall) []account {
	own := account{budget: c.Budget}
	if p != nil && !p.ended {
		own = p.account(c.Budget)
	}
	accounts := []account{own}
	for _, id := range ancestors(c.Program.ID) {
		if a := t.programs[Ref{c.Program.Organisation, id}]; a != nil {
			accounts = append(accounts, a.account(a.budget))
		}
	}
	return accounts
}

func (p *Program) account(b fleet.Budget) account {
	return account{budget: b, calls: p.calls, tokens: p.tokens + p.reserved, started: p.firstCall > 0, firstCall: p.firstCall}
}

// reserve sets the tokens and the time that the call may use, or refuses it.
// An estimate of zero under a bounded budget reserves all that remains.
func (t *Table) reserve(now time.Duration, p *Program, b *Begin) *BeginResult {
	remaining := int64(math.MaxInt64)
	for _, a := range t.accounts(p, &b.Call) {
		if max := a.budget.MaxCalls; max > 0 && a.calls >= max {
			return exhausted("calls", a.calls, max)
		}
		if max := a.budget.MaxTokens; max > 0 {
			remaining = min(remaining, max-a.tokens)
			if remaining <= 0 || remaining < b.Call.EstimatedTokens {
				return exhausted("tokens", a.tokens, max)
			}
		}
		if max := time.Duration(a.budget.MaxSeconds) * time.Second; max > 0 {
			left := max
			if a.started {
				left = max - (now - a.firstCall)
			}
			if left <= 0 {
				return exhausted("seconds", int64((now - a.firstCall).Seconds()), a.budget.MaxSeconds)
			}
			if b.Call.CallTimeout == 0 || b.Call.CallTimeout > left {
				b.Call.CallTimeout = left
			}
		}
	}
	b.Reserved, b.Bounded = b.Call.EstimatedTokens, remaining != math.MaxInt64
	if b.Reserved == 0 && b.Bounded {
		b.Reserved = remaining
	}
	return nil
}

func exhausted(what string, used, limit int64) *BeginResult {
	r := Refuse(CodeBudgetExhausted, "%d of %d %s are used or reserved", used, limit, what)
	return &r
}
