package program

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Table is the replicated state machine of one shard: its programs and its
// crash suspects. It changes only through Apply and Import, so that replicas
// which apply the same records hold the same state.
type Table struct {
	programs map[Ref]*Program
	families map[Ref][]*Program     // programs below a root program or lineage, in order of creation
	heads    map[headKey][]*Program // programs of lineages that have not ended, by head
	suspects map[suspectKey]*suspect
	names    map[string]string // interned organisations and target names
}

// headKey selects a program of a lineage.
type headKey struct {
	lineage Ref
	head    uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		programs: make(map[Ref]*Program),
		families: make(map[Ref][]*Program),
		heads:    make(map[headKey][]*Program),
		suspects: make(map[suspectKey]*suspect),
		names:    make(map[string]string),
	}
}

// Program returns one program, or nil.
func (t *Table) Program(r Ref) *Program { return t.programs[r] }

// Len returns the number of programs, the ended ones included.
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

// Apply applies the record at index, written at shard time at. It returns the
// program that the record concerns, or nil. Each program skips records that it
// contains already: a copied program can be ahead of the records that follow the copy.
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
	case c.Hold != nil:
		return t.applyHold(index, c.Hold)
	case c.Drop != nil:
		t.applyDrop(index, c.Drop)
	case c.Crash != nil:
		t.applyCrash(index, at, c.Crash)
	}
	return nil
}

// intern returns one shared copy of a name that many programs mention.
func (t *Table) intern(s string) string {
	if shared, ok := t.names[s]; ok {
		return shared
	}
	s = strings.Clone(s)
	t.names[s] = s
	return s
}

func (t *Table) insert(p *Program) {
	p.ref.Organisation = t.intern(p.ref.Organisation)
	t.programs[p.ref] = p
	if root, below := rootOf(p.ref); below {
		t.families[root] = append(t.families[root], p)
	}
	t.index(p)
}

// index makes the program selectable by its head, if it belongs to a lineage.
func (t *Table) index(p *Program) {
	if lineage := QueueRef(p.ref); lineage != p.ref && !p.ended {
		k := headKey{lineage, p.head}
		t.heads[k] = append(t.heads[k], p)
	}
}

// unindex is the inverse of index; it precedes a change of the head or of the end.
func (t *Table) unindex(p *Program) {
	lineage := QueueRef(p.ref)
	if lineage == p.ref || p.ended {
		return
	}
	k := headKey{lineage, p.head}
	t.heads[k] = slices.DeleteFunc(t.heads[k], func(o *Program) bool { return o == p })
	if len(t.heads[k]) == 0 {
		delete(t.heads, k)
	}
}

func (t *Table) remove(p *Program) {
	delete(t.programs, p.ref)
	t.unindex(p)
	root, below := rootOf(p.ref)
	if !below {
		return
	}
	t.families[root] = slices.DeleteFunc(t.families[root], func(o *Program) bool { return o == p })
	if len(t.families[root]) == 0 {
		delete(t.families, root)
	}
}

// Below returns the programs whose ids start with the id and a slash: its
// sub-agents, or the programs of a lineage.
func (t *Table) Below(r Ref) []*Program {
	root, _ := rootOf(r)
	var out []*Program
	for _, p := range t.families[root] {
		if strings.HasPrefix(p.ref.ID, r.ID+"/") {
			out = append(out, p)
		}
	}
	return out
}

// Ancestors returns the programs that are charged for calls of r besides r itself.
func (t *Table) Ancestors(r Ref) []*Program {
	var out []*Program
	for _, id := range ancestors(r.ID) {
		if p := t.programs[Ref{r.Organisation, id}]; p != nil {
			out = append(out, p)
		}
	}
	return out
}

// FindRequest returns the program in which an attempt to begin a call is running, or nil.
func (t *Table) FindRequest(r Ref, lineage bool, request string) *Program {
	for _, p := range t.candidates(r, lineage) {
		if p.running != nil && p.running.Request == request {
			return p
		}
	}
	return nil
}

// Prune frees memory that can no longer affect a decision at shard time now. It
// needs no record: replicas may prune at different times.
func (t *Table) Prune(now time.Duration) {
	for _, p := range t.programs {
		p.compact(now)
	}
}

// obtain returns the program at ref as of the record at index, and whether the
// record still has to be applied to it.
func (t *Table) obtain(ref Ref, index uint64, at time.Duration, c *BeginCall) (*Program, bool) {
	p := t.programs[ref]
	if p == nil {
		p = &Program{ref: ref, generation: index, budget: c.Budget, idleTimeout: idleTimeout(c), lastActive: at}
		t.insert(p)
	}
	if p.applied >= index {
		return p, false
	}
	p.applied = index
	return p, true
}

func idleTimeout(c *BeginCall) time.Duration {
	if c.IdleTimeout > 0 {
		return c.IdleTimeout
	}
	return DefaultIdleTimeout
}

// ResolvedRef returns the program of a Begin record: a lineage that selected
// no program starts one that is named after the record.
func (b *Begin) ResolvedRef(index uint64) Ref {
	if !b.Call.Lineage {
		return b.Call.Program
	}
	return Ref{b.Call.Program.Organisation, b.Call.Program.ID + lineageMark + strconv.FormatUint(index, 36)}
}

func (t *Table) applyBegin(index uint64, at time.Duration, b *Begin) *Program {
	ref := b.ResolvedRef(index)
	for _, id := range ancestors(ref.ID) {
		if a, fresh := t.obtain(Ref{ref.Organisation, id}, index, at, &b.Call); fresh {
			a.charge(at, b.Reserved)
			a.children++
		}
	}
	p, fresh := t.obtain(ref, index, at, &b.Call)
	if !fresh {
		return p
	}
	if b.Renew {
		p.renew(index)
		t.index(p)
	}
	p.pruneRecords(at)
	p.charge(at, b.Reserved)
	p.budget, p.idleTimeout = b.Call.Budget, idleTimeout(&b.Call)
	p.running = &Running{
		Sequence: index, Begun: at, Reserved: b.Reserved, Timeout: b.Call.CallTimeout, ResendWindow: b.Call.ResendWindow,
		Runner: b.Call.Runner, Revision: b.Call.Revision, Request: b.Call.Request,
	}
	if b.Bounded {
		p.running.TokenLimit = b.Reserved
	}
	if b.Call.recorded() {
		p.records = append(p.records, &callRecord{
			Key: b.Call.Key, Fingerprint: b.Call.Fingerprint, Generation: p.generation, Sequence: index, NonIdempotent: b.Call.NonIdempotent,
		})
	}
	return p
}

// charge reserves one call.
func (p *Program) charge(at time.Duration, tokens int64) {
	if p.firstCall == 0 {
		p.firstCall = max(at, 1)
	}
	p.calls++
	p.reserved += tokens
	p.lastActive = at
}

// renew starts a new generation; only the at-most-once records and an
// unconfirmed release outlive the old one.
func (p *Program) renew(index uint64) {
	*p = Program{
		ref: p.ref, generation: index, applied: p.applied, records: p.records, keepUntil: p.keepUntil,
		release: p.release, releasing: p.releasing,
	}
}

func (t *Table) applySettle(index uint64, at time.Duration, s *Settle) *Program {
	for _, id := range ancestors(s.Program.ID) {
		// A generation that is younger than the call was not charged for it.
		if a := t.programs[Ref{s.Program.Organisation, id}]; a != nil && a.applied < index {
			a.applied = index
			if a.generation <= s.Sequence {
				a.children--
				a.uncharge(at, s)
			}
		}
	}
	p := t.programs[s.Program]
	if p == nil || p.applied >= index || p.running == nil || p.running.Sequence != s.Sequence {
		return p
	}
	p.applied = index
	p.uncharge(at, s)
	p.settleRecord(at, s)
	p.running = nil
	p.settled = settledCall{s.Sequence, s.Outcome}
	t.hold(p, s.Target)
	if s.Outcome == Completed && s.Target != "" {
		p.lastCall = LastCall{Target: t.intern(s.Target), Tokens: s.TokensUsed, Ended: at}
	}
	if p.ended {
		p.requestRelease(index)
		return p
	}
	p.history = append(p.history, s.HistoryDelta...)
	if s.Head != 0 {
		t.unindex(p)
		p.head = s.Head
		t.index(p)
	}
	return p
}

// hold adds a target that may hold cache of the program.
func (t *Table) hold(p *Program, target string) {
	if target != "" && !slices.Contains(p.targets, target) {
		p.targets = append(slices.Clip(p.targets), t.intern(target))
	}
}

func (t *Table) applyHold(index uint64, h *Hold) *Program {
	p := t.programs[h.Program]
	if p == nil || p.applied >= index {
		return p
	}
	p.applied = index
	t.hold(p, h.Target)
	if p.ended && p.running == nil {
		p.requestRelease(index)
	}
	return p
}

// uncharge replaces a reservation by what was used. Unknown calls are charged
// their reservation, because they may have used it.
func (p *Program) uncharge(at time.Duration, s *Settle) {
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

func (p *Program) settleRecord(at time.Duration, s *Settle) {
	p.keepUntil = max(p.keepUntil, at+p.running.ResendWindow)
	r := p.recordOf(s.Sequence)
	if r == nil {
		return
	}
	if s.Outcome == NotRun {
		p.records = slices.DeleteFunc(p.records, func(o *callRecord) bool { return o == r })
		return
	}
	r.Outcome, r.Response, r.Expires = s.Outcome, s.Response, at+p.running.ResendWindow
}

func (t *Table) applyEnd(index uint64, at time.Duration, e *End) *Program {
	p := t.programs[e.Program]
	if p == nil || p.applied >= index || p.ended {
		return p
	}
	p.applied = index
	t.unindex(p)
	p.ended, p.endedAt = true, at
	p.history, p.head = nil, 0
	if p.running == nil {
		p.requestRelease(index)
	}
	return p
}

// requestRelease asks for the memory of the targets that may hold the program's cache.
func (p *Program) requestRelease(index uint64) {
	if len(p.targets) == 0 {
		return
	}
	for _, id := range p.targets {
		if !slices.Contains(p.releasing, id) {
			p.releasing = append(p.releasing, id)
		}
	}
	p.targets, p.release = nil, index
}

// PendingRelease returns the release that has not been confirmed, if any.
func (p *Program) PendingRelease() (Release, bool) {
	if p.release == 0 {
		return Release{}, false
	}
	return Release{Program: p.ref, Targets: slices.Clone(p.releasing), ID: p.release}, true
}

func (t *Table) applyReleased(index uint64, r *Released) *Program {
	p := t.programs[r.Program]
	if p == nil || p.applied >= index {
		return p
	}
	p.applied = index
	if p.release == r.Release {
		p.release, p.releasing = 0, nil
	}
	return p
}

func (t *Table) applyDrop(index uint64, d *Drop) {
	if p := t.programs[d.Program]; p != nil && p.applied < index {
		t.remove(p)
	}
}

// ticket returns the ticket of the call that has the program's turn.
func (p *Program) ticket() *Ticket {
	r := p.running
	since := time.Duration(0)
	if p.lastCall.Target != "" {
		since = r.Begun - p.lastCall.Ended
	}
	return &Ticket{
		LastCall: p.lastCall, SinceLastCall: since, Sequence: r.Sequence, Program: p.ref, AttainedTokens: p.tokens, Targets: slices.Clone(p.targets),
		TokenLimit: r.TokenLimit, TimeLimit: r.Timeout,
	}
}

// Ticket returns the ticket of the call that runs in a program, or nil.
func (t *Table) Ticket(r Ref) *Ticket {
	if p := t.programs[r]; p != nil && p.running != nil {
		return p.ticket()
	}
	return nil
}
