package program

import (
	"strconv"
	"time"
)

// getOrCreate returns the program of ref, creating it if necessary, and whether the
// record at index still has to be applied to it. If so, it marks the record as applied.
func (t *Table) getOrCreate(ref Ref, index uint64, at time.Duration, c *BeginCall) (*Program, bool) {
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

// idleTimeout returns the idle timeout that c sets, or the default.
func idleTimeout(c *BeginCall) time.Duration {
	if c.IdleTimeout > 0 {
		return c.IdleTimeout
	}
	return DefaultIdleTimeout
}

// ResolvedRef returns the program of the Begin record at index. If the call's lineage
// selected no existing program, this is a new program numbered by the index.
func (b *Begin) ResolvedRef(index uint64) Ref {
	if !b.Call.Lineage {
		return b.Call.Program
	}
	return Ref{b.Call.Program.Organisation, b.Call.Program.ID + lineageSeparator + strconv.FormatUint(index, 36)}
}

// applyBegin starts a call and charges its reservation to the program and its ancestors.
func (t *Table) applyBegin(index uint64, at time.Duration, b *Begin) *Program {
	ref := b.ResolvedRef(index)
	for _, id := range ancestors(ref.ID) {
		if a, pending := t.getOrCreate(Ref{ref.Organisation, id}, index, at, &b.Call); pending {
			a.charge(at, b.Reserved)
			a.subAgentCalls++
		}
	}
	p, pending := t.getOrCreate(ref, index, at, &b.Call)
	if !pending {
		return p
	}
	if b.Renew {
		p.startGeneration(index)
		t.indexHead(p)
	}
	p.pruneRecords(at)
	p.charge(at, b.Reserved)
	p.budget, p.idleTimeout = b.Call.Budget, idleTimeout(&b.Call)
	p.running = &Running{
		Sequence: index, BegunAt: at, Reserved: b.Reserved, Timeout: b.Call.CallTimeout, ResendWindow: b.Call.ResendWindow,
		Runner: b.Call.Runner, Revision: b.Call.Revision, Request: b.Call.Request,
	}
	if b.Bounded {
		p.running.TokenLimit = b.Reserved
	}
	if b.Call.needsRecord() {
		p.records = append(p.records, &callRecord{
			Key: b.Call.Key, Fingerprint: b.Call.Fingerprint, Generation: p.generation, Sequence: index, NonIdempotent: b.Call.NonIdempotent,
		})
	}
	return p
}

// charge counts one call and reserves its tokens.
func (p *Program) charge(at time.Duration, tokens int64) {
	if p.firstCall == 0 {
		p.firstCall = max(at, 1)
	}
	p.calls++
	p.reserved += tokens
	p.lastActive = at
}

// startGeneration resets an ended program to a new generation. Only the at-most-once
// records, an unconfirmed release and the last settled call are carried over: a runner may
// still report the target of that call.
func (p *Program) startGeneration(index uint64) {
	*p = Program{
		ref: p.ref, generation: index, applied: p.applied, records: p.records, keepUntil: p.keepUntil,
		releaseID: p.releaseID, releasing: p.releasing, lastSettled: p.lastSettled,
	}
}
