package program

import (
	"slices"
	"strings"
	"time"
)

// Table is the replicated state machine of one shard: its programs and its crash
// suspects. Its state changes only through Apply and Import, so that replicas that
// apply the same records hold the same state. Times are shard times: the time of the
// owner's clock, which each record carries.
type Table struct {
	programs map[Ref]*Program
	byRoot   map[Ref][]*Program     // programs under a root program or lineage, in order of creation
	byHead   map[headKey][]*Program // programs of lineages that have not ended
	suspects map[suspectKey]*suspect
	interned map[string]string // organisations and target ids, each stored once
}

// headKey selects the programs of a lineage that have a given head.
type headKey struct {
	lineage Ref
	head    uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		programs: make(map[Ref]*Program),
		byRoot:   make(map[Ref][]*Program),
		byHead:   make(map[headKey][]*Program),
		suspects: make(map[suspectKey]*suspect),
		interned: make(map[string]string),
	}
}

// Program returns the program that r identifies, or nil.
func (t *Table) Program(r Ref) *Program { return t.programs[r] }

// Len returns the number of programs, including ended ones.
func (t *Table) Len() int { return len(t.programs) }

// Programs calls f for each program, in no particular order.
func (t *Table) Programs(f func(*Program)) {
	for _, p := range t.programs {
		f(p)
	}
}

// History returns a copy of the program's history.
func (t *Table) History(r Ref) []byte {
	if p := t.programs[r]; p != nil {
		return slices.Clone(p.history)
	}
	return nil
}

// Apply applies the record at index, written at shard time at, and returns the program
// that the record concerns, or nil. Each program skips records that it already
// includes: a copied program can be ahead of the records that follow the copy.
func (t *Table) Apply(index uint64, at time.Duration, c *Change) *Program {
	switch {
	case c.Begin != nil:
		return t.applyBegin(index, at, c.Begin)
	case c.Settle != nil:
		return t.applySettle(index, at, c.Settle)
	case c.End != nil:
		return t.applyEnd(index, at, c.End)
	case c.Released != nil:
		return t.applyReleased(index, c.Released)
	case c.AddTarget != nil:
		return t.applyAddTarget(index, c.AddTarget)
	case c.Drop != nil:
		t.applyDrop(index, c.Drop)
	case c.Crash != nil:
		t.applyCrash(index, at, c.Crash)
	}
	return nil
}

// intern returns the shared copy of a string that many programs refer to.
func (t *Table) intern(s string) string {
	if shared, ok := t.interned[s]; ok {
		return shared
	}
	s = strings.Clone(s)
	t.interned[s] = s
	return s
}

// insert adds a program to the table and its indexes.
func (t *Table) insert(p *Program) {
	p.ref.Organisation = t.intern(p.ref.Organisation)
	t.programs[p.ref] = p
	if root, nested := rootOf(p.ref); nested {
		t.byRoot[root] = append(t.byRoot[root], p)
	}
	t.indexHead(p)
}

// indexHead adds the program to byHead if it belongs to a lineage and has not ended.
func (t *Table) indexHead(p *Program) {
	if lineage := QueueRef(p.ref); lineage != p.ref && !p.ended {
		k := headKey{lineage, p.head}
		t.byHead[k] = append(t.byHead[k], p)
	}
}

// unindexHead is the inverse of indexHead. It must be called before the program's head
// changes or the program ends.
func (t *Table) unindexHead(p *Program) {
	lineage := QueueRef(p.ref)
	if lineage == p.ref || p.ended {
		return
	}
	k := headKey{lineage, p.head}
	t.byHead[k] = slices.DeleteFunc(t.byHead[k], func(o *Program) bool { return o == p })
	if len(t.byHead[k]) == 0 {
		delete(t.byHead, k)
	}
}

// remove deletes a program from the table and its indexes.
func (t *Table) remove(p *Program) {
	delete(t.programs, p.ref)
	t.unindexHead(p)
	root, nested := rootOf(p.ref)
	if !nested {
		return
	}
	t.byRoot[root] = slices.DeleteFunc(t.byRoot[root], func(o *Program) bool { return o == p })
	if len(t.byRoot[root]) == 0 {
		delete(t.byRoot, root)
	}
}

// Descendants returns the programs whose ids start with the id of r and a slash: the
// sub-agents of a program, or the programs of a lineage.
func (t *Table) Descendants(r Ref) []*Program {
	root, _ := rootOf(r)
	var out []*Program
	for _, p := range t.byRoot[root] {
		if strings.HasPrefix(p.ref.ID, r.ID+"/") {
			out = append(out, p)
		}
	}
	return out
}

// Ancestors returns the programs, other than r itself, that are charged for calls of r.
func (t *Table) Ancestors(r Ref) []*Program {
	var out []*Program
	for _, id := range ancestors(r.ID) {
		if p := t.programs[Ref{r.Organisation, id}]; p != nil {
			out = append(out, p)
		}
	}
	return out
}

// FindRequest returns the program whose running call was begun by the given request,
// or nil.
func (t *Table) FindRequest(r Ref, lineage bool, request string) *Program {
	for _, p := range t.candidates(r, lineage) {
		if p.running != nil && p.running.Request == request {
			return p
		}
	}
	return nil
}

// Prune frees memory that can no longer affect a decision at shard time now. It is not
// replicated: replicas may prune at different times.
func (t *Table) Prune(now time.Duration) {
	for _, p := range t.programs {
		p.compact(now)
	}
}

// applySettle ends the running call and replaces its reservation by its usage, in the
// program and its ancestors.
func (t *Table) applySettle(index uint64, at time.Duration, s *Settle) *Program {
	for _, id := range ancestors(s.Program.ID) {
		// An ancestor's generation that started after the call was not charged for it.
		if a := t.programs[Ref{s.Program.Organisation, id}]; a != nil && a.applied < index {
			a.applied = index
			if a.generation <= s.Sequence {
				a.subAgentCalls--
				a.settleCharge(at, s)
			}
		}
	}
	p := t.programs[s.Program]
	if p == nil || p.applied >= index || p.running == nil || p.running.Sequence != s.Sequence {
		return p
	}
	p.applied = index
	p.settleCharge(at, s)
	p.settleRecord(at, s)
	p.running = nil
	p.lastSettled = settledCall{s.Sequence, s.Outcome}
	t.addTarget(p, s.Target)
	if s.Outcome == Completed && s.Target != "" {
		p.lastCall = LastCall{Target: t.intern(s.Target), Tokens: s.TokensUsed, EndedAt: at}
	}
	if p.ended {
		p.requestRelease(index)
		return p
	}
	p.history = append(p.history, s.HistoryDelta...)
	if s.Head != 0 {
		t.unindexHead(p)
		p.head = s.Head
		t.indexHead(p)
	}
	return p
}

// addTarget records that a target may hold cached tokens of the program.
func (t *Table) addTarget(p *Program, target string) {
	if target != "" && !slices.Contains(p.targets, target) {
		p.targets = append(slices.Clip(p.targets), t.intern(target))
	}
}

// applyAddTarget records the target of a call that was settled without one. If the
// program has ended meanwhile, it also requests the release of the target.
func (t *Table) applyAddTarget(index uint64, a *AddTarget) *Program {
	p := t.programs[a.Program]
	if p == nil || p.applied >= index {
		return p
	}
	p.applied = index
	t.addTarget(p, a.Target)
	if p.ended && p.running == nil {
		p.requestRelease(index)
	}
	return p
}

// settleCharge replaces a call's reservation by its usage. A call with an unknown
// outcome is charged at least its reservation, because it may have used all of it.
func (p *Program) settleCharge(at time.Duration, s *Settle) {
	p.reserved -= s.Reserved
	p.lastActive = at
	switch s.Outcome {
	case NotRun:
		p.calls--
	case Unknown:
		p.tokens += max(s.Reserved, s.TokensUsed)
	default:
		p.tokens += s.TokensUsed
	}
}

// settleRecord stores the outcome in the call's at-most-once record, or deletes the
// record of a call that did not run.
func (p *Program) settleRecord(at time.Duration, s *Settle) {
	p.keepUntil = max(p.keepUntil, at+p.running.ResendWindow)
	r := p.recordBySequence(s.Sequence)
	if r == nil {
		return
	}
	if s.Outcome == NotRun {
		p.records = slices.DeleteFunc(p.records, func(o *callRecord) bool { return o == r })
		return
	}
	r.Outcome, r.Response, r.Expires = s.Outcome, s.Response, at+p.running.ResendWindow
}

// applyEnd ends a program. The release of its cache is requested once no call is
// running.
func (t *Table) applyEnd(index uint64, at time.Duration, e *End) *Program {
	p := t.programs[e.Program]
	if p == nil || p.applied >= index || p.ended {
		return p
	}
	p.applied = index
	t.unindexHead(p)
	p.ended, p.endedAt = true, at
	p.history, p.head = nil, 0
	if p.running == nil {
		p.requestRelease(index)
	}
	return p
}

// applyDrop deletes a program.
func (t *Table) applyDrop(index uint64, d *Drop) {
	if p := t.programs[d.Program]; p != nil && p.applied < index {
		t.remove(p)
	}
}

// ticket returns the ticket of the running call. Its shard and epoch are not set.
func (p *Program) ticket() *Ticket {
	r := p.running
	since := time.Duration(0)
	if p.lastCall.Target != "" {
		since = r.BegunAt - p.lastCall.EndedAt
	}
	return &Ticket{
		LastCall: p.lastCall, SinceLastCall: since, Sequence: r.Sequence, Program: p.ref, AttainedTokens: p.tokens, Targets: slices.Clone(p.targets),
		TokenLimit: r.TokenLimit, TimeLimit: r.Timeout,
	}
}

// Ticket returns the ticket of the program's running call, or nil. Its shard and epoch
// are not set.
func (t *Table) Ticket(r Ref) *Ticket {
	if p := t.programs[r]; p != nil && p.running != nil {
		return p.ticket()
	}
	return nil
}
