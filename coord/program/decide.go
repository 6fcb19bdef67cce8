package program

import (
	"math"
	"time"

	"hemlockvale.dev/coord/fleet"
)

// Decision is the result of Decide. Exactly one of Start, Ticket, Result and Wait is
// set; Retry can be set with Wait.
type Decision struct {
	// Start is the record to write in order to start the call.
	Start *Begin
	// Ticket is the ticket already issued to a request that was delivered again.
	Ticket *Ticket
	// Result is the answer to a call that is not run.
	Result *BeginResult
	// Wait is set if the call must wait until another call is settled.
	Wait bool
	// Retry is set if the call waits because it is a retry of a call that is still
	// running.
	Retry bool
}

// Decide returns what a call may do at shard time now, without changing the table.
// repeated is set if a request with the same identity may have been started before.
func (t *Table) Decide(now time.Duration, c BeginCall, repeated bool) Decision {
	c.EstimatedTokens = max(c.EstimatedTokens, 0)
	if c.Key != "" && c.ResendWindow <= 0 {
		c.ResendWindow = DefaultResendWindow
	}
	// A lineage can have many programs; calls that cannot match a record or a
	// running request skip the search through them.
	if repeated || c.needsRecord() {
		for _, p := range t.candidates(c.Program, c.Lineage) {
			if d, done := p.answerRepeat(now, &c); done {
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

// candidates returns the programs that can hold a record of a call: the program
// itself, or all programs of the lineage.
func (t *Table) candidates(r Ref, lineage bool) []*Program {
	if !lineage {
		if p := t.programs[r]; p != nil {
			return []*Program{p}
		}
		return nil
	}
	root, _ := rootOf(r)
	var out []*Program
	for _, p := range t.byRoot[root] {
		if p.ref != r && QueueRef(p.ref) == r {
			out = append(out, p)
		}
	}
	return out
}

// answerRepeat returns the decision for a request that was delivered before, or for
// a retry of a recorded call. It returns false if the call is neither, or if it may
// run again.
func (p *Program) answerRepeat(now time.Duration, c *BeginCall) (Decision, bool) {
	if r := p.running; r != nil && r.Request != "" && r.Request == c.Request {
		return Decision{Ticket: p.ticket()}, true
	}
	r := p.findRecord(c, now)
	switch {
	case r == nil:
		return Decision{}, false
	case r.Fingerprint != c.Fingerprint:
		return resultDecision(Refuse(CodeKeyReused, "the key was used for a different request")), true
	case r.Outcome == "":
		return Decision{Wait: true, Retry: true}, true
	case r.Response != nil:
		return resultDecision(BeginResult{Replay: r.Response}), true
	case r.NonIdempotent || c.NonIdempotent:
		return resultDecision(RefuseUnknown(CodeOutcomeUnknown, "an equal request may have taken effect and its response is not known")), true
	}
	return Decision{}, false
}

// resultDecision returns the decision to answer a call without running it.
func resultDecision(r BeginResult) Decision { return Decision{Result: &r} }

// needsRecord reports whether the call gets an at-most-once record.
func (c *BeginCall) needsRecord() bool {
	return c.Key != "" || c.NonIdempotent && c.ResendWindow > 0
}

// selectProgram returns the program to which the call belongs, or nil for a new
// program. If the head of a lineage selects an existing program, it replaces the
// lineage in c by that program.
func (t *Table) selectProgram(c *BeginCall) *Program {
	if !c.Lineage {
		return t.programs[c.Program]
	}
	for _, p := range t.byHead[headKey{c.Program, c.Head}] {
		if c.Head != 0 || p.neverRan() {
			c.Program, c.Lineage = p.ref, false
			return p
		}
	}
	return nil
}

// checkAncestors returns the refusal of a call if an ancestor of its program r has
// ended, or nil.
func (t *Table) checkAncestors(r Ref) *BeginResult {
	for _, id := range ancestors(r.ID) {
		if p := t.programs[Ref{r.Organisation, id}]; p != nil && p.ended {
			refusal := Refuse(CodeProgramEnded, "the parent program %s has ended", id)
			return &refusal
		}
	}
	return nil
}

// account is a budget together with the usage that counts against it.
type account struct {
	budget        fleet.Budget
	calls, tokens int64
	started       bool
	firstCall     time.Duration
}

// accounts returns the accounts that the call is charged to: that of its program,
// which may not exist yet, and those of the ancestors.
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

// account returns the program's current usage with the budget b.
func (p *Program) account(b fleet.Budget) account {
	return account{budget: b, calls: p.calls, tokens: p.tokens + p.reserved, started: p.firstCall > 0, firstCall: p.firstCall}
}

// reserve sets the tokens and the time that the call may use in b, or returns a
// refusal. If tokens are limited and the estimate is zero, it reserves all
// remaining tokens.
func (t *Table) reserve(now time.Duration, p *Program, b *Begin) *BeginResult {
	remaining := int64(math.MaxInt64)
	for _, a := range t.accounts(p, &b.Call) {
		if limit := a.budget.MaxCalls; limit > 0 && a.calls >= limit {
			return refuseExhausted("calls", a.calls, limit)
		}
		if limit := a.budget.MaxTokens; limit > 0 {
			remaining = min(remaining, limit-a.tokens)
			if remaining <= 0 || remaining < b.Call.EstimatedTokens {
				return refuseExhausted("tokens", a.tokens, limit)
			}
		}
		if limit := time.Duration(a.budget.MaxSeconds) * time.Second; limit > 0 {
			timeLeft := limit
			if a.started {
				timeLeft = limit - (now - a.firstCall)
			}
			if timeLeft <= 0 {
				return refuseExhausted("seconds", int64((now - a.firstCall).Seconds()), a.budget.MaxSeconds)
			}
			if b.Call.CallTimeout == 0 || b.Call.CallTimeout > timeLeft {
				b.Call.CallTimeout = timeLeft
			}
		}
	}
	b.Reserved, b.Bounded = b.Call.EstimatedTokens, remaining != math.MaxInt64
	if b.Reserved == 0 && b.Bounded {
		b.Reserved = remaining
	}
	return nil
}

// refuseExhausted returns the refusal of a call whose budget of the given unit is
// used up.
func refuseExhausted(unit string, used, limit int64) *BeginResult {
	r := Refuse(CodeBudgetExhausted, "%d of %d %s are used or reserved", used, limit, unit)
	return &r
}
