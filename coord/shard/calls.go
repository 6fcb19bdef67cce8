package shard

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
)

// stepOwner handles the events that concern the owner. If this replica is not the
// owner, has no valid lease or is handing the shard over, it refuses requests with
// ErrNotOwner.
func (r *Replica) stepOwner(e Event) {
	if !r.active() || r.owner.handingOver {
		if id, ok := requestID(e); ok {
			r.emit(Reply{ID: id, Err: ErrNotOwner})
			return
		}
	}
	switch e := e.(type) {
	case Tick:
		r.handleTick()
	case BeginRequest:
		r.handleBegin(e)
	case AbandonRequest:
		r.handleAbandon(e)
	case FinishRequest:
		r.handleFinish(e)
	case EndRequest:
		r.handleEnd(e)
	case HistoryRequest:
		r.replyAfterBarrier(Reply{ID: e.ID, History: r.table.History(e.Program)})
	case CrashRequest:
		r.propose(program.Change{Crash: &e.Crash})
		r.replyWhenCommitted(Reply{ID: e.ID})
	case QuarantineRequest:
		r.replyWhenCommitted(Reply{ID: e.ID, Quarantined: r.table.Quarantined(r.shardTime(), e.Organisation, e.Fingerprint)})
	case ReleaseDone:
		r.handleReleaseDone(e.Release)
	case HandoverRequest:
		r.handleHandover(!e.Cancel)
	case AppendDone:
		r.handleAppendDone(e)
	case CopyDone:
		r.handleCopyDone(e)
	case ProposalDone:
		r.handleProposalDone(e)
	}
}

// requestID returns the id of a request that only an owner may serve. ok is false
// for any other event.
func requestID(e Event) (id uint64, ok bool) {
	switch e := e.(type) {
	case BeginRequest:
		return e.ID, true
	case AbandonRequest:
		return e.ID, true
	case FinishRequest:
		return e.ID, true
	case EndRequest:
		return e.ID, true
	case HistoryRequest:
		return e.ID, true
	case CrashRequest:
		return e.ID, true
	case QuarantineRequest:
		return e.ID, true
	}
	return 0, false
}

// handleTick prunes the table, fires timers and refuses calls whose wait limit has
// passed.
func (r *Replica) handleTick() {
	if now := r.shardTime(); now-r.lastPrune >= pruneInterval {
		r.lastPrune = now
		r.table.Prune(now)
	}
	if !r.active() || r.owner.handingOver {
		return
	}
	r.fireTimers()
	now := r.shardTime()
	for _, w := range r.owner.waiters.expired(now) {
		r.replyWithoutTicket(w, program.RefuseWait(w.retry))
	}
	r.recentResults.rotate(now)
}

// handleBegin starts a call, queues it or replies without starting it. A duplicate of
// a request that has a result receives a reply and starts no call. A duplicate of a
// queued request replaces it in the queue: the earlier delivery is refused with
// ErrNotOwner, and the later one receives the result.
func (r *Replica) handleBegin(e BeginRequest) {
	o := r.owner
	if result, ok := r.recentResults.get(e.Call.Request); ok && r.table.FindRequest(e.Call.Program, e.Call.Lineage, e.Call.Request) == nil {
		r.replyAfterBarrier(ReplyBegin{e.ID, r.repeatedResult(&e.Call, result)})
		return
	}
	if w := o.waiters.find(e.Call.Program, e.Call.Request); w != nil {
		r.emit(Reply{ID: w.id, Err: ErrNotOwner})
		w.id = e.ID
		return
	}
	limit := e.Call.WaitLimit
	if limit <= 0 {
		limit = program.DefaultWaitLimit
	}
	w := &waiter{id: e.ID, call: e.Call, deadline: r.shardTime() + limit}
	if !r.evaluate(w) {
		o.waiters.add(w)
	}
}

// evaluate starts a call or replies without starting it. It returns false if the call
// must wait. A call whose runner is no longer registered does not start, but a retry
// still receives the outcome of the first attempt, or that it is unknown.
func (r *Replica) evaluate(w *waiter) bool {
	_, repeated := r.recentResults.get(w.call.Request)
	d := r.table.Decide(r.shardTime(), w.call, repeated)
	unregistered := r.unregistered(w.call.Runner, w.call.Revision)
	switch {
	case d.Result != nil:
		r.replyWithoutTicket(w, *d.Result)
	case d.Ticket != nil:
		r.grantTicket(w, *d.Ticket, r.log.last(), true)
	case unregistered && d.Retry:
		r.replyWithoutTicket(w, program.RefuseWait(true))
	case unregistered:
		r.replyWithoutTicket(w, program.Refuse(program.CodeRunnerNotRegistered, "VM %s is not registered", w.call.Runner.ID))
	case d.Wait:
		w.retry = d.Retry
		return false
	case d.Start.Call.NonIdempotent && !r.hasSufficientReplicas():
		r.replyWithoutTicket(w, insufficientReplicas())
	default:
		r.start(w, d.Start)
	}
	return true
}

// replyWithoutTicket replies to a call that does not start. The result is cached, so
// that a duplicate of the request cannot start the call later. A refusal waits for a
// barrier, because it may be based on outdated state.
func (r *Replica) replyWithoutTicket(w *waiter, result program.BeginResult) {
	r.recentResults.put(w.call.Request, result)
	if result.Refusal == nil {
		r.replyWhenCommitted(ReplyBegin{w.id, result})
		return
	}
	r.replyAfterBarrier(ReplyBegin{w.id, result})
}

// repeatedResult returns the result for a duplicate of a request that already has
// one. It is the first result, unless that is a refusal stating that the call was not
// executed: a request with the same identity may have run since, so the duplicate is
// evaluated again.
func (r *Replica) repeatedResult(c *program.BeginCall, first program.BeginResult) program.BeginResult {
	if first.Refusal == nil || first.Refusal.Executed != program.ExecutedNo {
		return first
	}
	switch d := r.table.Decide(r.shardTime(), *c, true); {
	case d.Result != nil:
		return *d.Result
	case d.Retry:
		return program.RefuseWait(true)
	}
	return first
}

// start proposes the start of a call and grants its ticket.
func (r *Replica) start(w *waiter, b *program.Begin) {
	index := r.propose(program.Change{Begin: b})
	r.recentResults.put(b.Call.Request, alreadyAnswered())
	r.grantTicket(w, *r.table.Ticket(b.ResolvedRef(index)), index, false)
}

// grantTicket replies with a ticket once the record at index is committed. repeated
// is true if the ticket was granted to an earlier delivery of the request.
func (r *Replica) grantTicket(w *waiter, t program.Ticket, index uint64, repeated bool) {
	t.Shard, t.Epoch = r.shard, r.epoch
	effect := ReplyBegin{w.id, program.BeginResult{Ticket: &t}}
	r.owner.pending = append(r.owner.pending, pendingReply{index: index, effect: effect, call: &w.call, repeated: repeated})
}

// alreadyAnswered returns the refusal for a late duplicate of a request whose call
// was started or withdrawn. The sender no longer waits for this reply.
func alreadyAnswered() program.BeginResult {
	return program.RefuseUnknown(program.CodeCallInProgress, "the request was answered or withdrawn before")
}

// insufficientReplicas returns the refusal of a non-idempotent call if
// hasSufficientReplicas is false.
func insufficientReplicas() program.BeginResult {
	return program.Refuse(program.CodeInsufficientReplicas, "fewer than two data centres hold the shard in sync")
}

// confirmTicket reports whether a ticket may be sent now that its record is
// committed. Otherwise it replies with another result: a non-idempotent call is
// aborted if too few in-sync replicas are left. A repeated ticket may have been sent
// before, so it never aborts the call; it is sent as long as the call is running.
func (r *Replica) confirmTicket(p pendingReply) bool {
	reply := p.effect.(ReplyBegin)
	ticket := reply.Result.Ticket
	prog := r.table.Program(ticket.Program)
	running := prog != nil && prog.Running() != nil && prog.Running().Sequence == ticket.Sequence
	switch {
	case running && (p.repeated || !p.call.NonIdempotent || r.hasSufficientReplicas()):
		return true
	case running:
		r.recentResults.put(p.call.Request, insufficientReplicas())
		r.abort(prog, program.NotRun)
	}
	result, ok := r.recentResults.get(p.call.Request)
	if !ok {
		result = alreadyAnswered()
	}
	r.replyWhenCommitted(ReplyBegin{reply.ID, result})
	return false
}

// unregistered reports whether a VM is known to be no longer registered. A view older
// than revision, at which the VM itself was registered, proves nothing.
func (r *Replica) unregistered(vm fleet.VMRef, revision uint64) bool {
	if vm == (fleet.VMRef{}) || r.view.Revision == 0 || r.view.Revision < revision {
		return false
	}
	return r.view.VMs[vm.ID].Incarnation != vm.Incarnation
}

// abort settles the running call of a program with the given outcome and evaluates
// the calls that wait for it.
func (r *Replica) abort(p *program.Program, o program.Outcome) {
	r.propose(program.Change{Settle: p.Abort(o)})
	r.evaluateWaiting(p.Ref())
}

// handleAbandon withdraws a request. The sender never received the ticket, so the
// call was not executed.
func (r *Replica) handleAbandon(e AbandonRequest) {
	o := r.owner
	for _, w := range o.waiters.removeRequest(e.Program, e.Request) {
		r.emit(Reply{ID: w.id, Err: ErrNotOwner})
	}
	if p := r.table.FindRequest(e.Program, e.Lineage, e.Request); p != nil {
		r.abort(p, program.NotRun)
	}
	r.recentResults.put(e.Request, alreadyAnswered())
	r.replyWhenCommitted(Reply{ID: e.ID})
}

// handleFinish settles a call. If the call is settled already, only the target is
// recorded, because it may hold cache of the program that has to be released.
func (r *Replica) handleFinish(e FinishRequest) {
	if !e.Finish.Outcome.Valid() {
		r.emit(Reply{ID: e.ID, Err: fmt.Errorf("invalid outcome %q", e.Finish.Outcome)})
		return
	}
	s, err := r.table.DecideFinish(e.Finish)
	if s == nil {
		if errors.Is(err, program.ErrAlreadySettled) && e.Finish.Target != "" {
			r.propose(program.Change{AddTarget: &program.AddTarget{Program: e.Finish.Ticket.Program, Target: e.Finish.Target}})
		}
		r.replyAfterBarrier(Reply{ID: e.ID, Err: err})
		return
	}
	if limit := r.table.Program(s.Program).Running().TokenLimit; limit > 0 && s.TokensUsed > limit {
		r.logEvent(LogEvent{Name: "call_exceeded_reservation", Program: s.Program, Sequence: s.Sequence, Warning: true})
	}
	r.propose(program.Change{Settle: s})
	r.replyWhenCommitted(Reply{ID: e.ID})
	r.evaluateWaiting(s.Program)
}

// handleEnd ends a program or lineage on request.
func (r *Replica) handleEnd(e EndRequest) {
	r.endPrograms(e.Program)
	r.replyWhenCommitted(Reply{ID: e.ID})
}

// endPrograms ends a program with its sub-agents, or all programs of a lineage.
// Waiting calls are refused, except retries; running calls can still be finished.
func (r *Replica) endPrograms(ref program.Ref) {
	programs := r.table.Descendants(ref)
	if p := r.table.Program(ref); p != nil {
		programs = append(programs, p)
	}
	for _, p := range programs {
		if p.Ended() {
			continue
		}
		r.propose(program.Change{End: &program.End{Program: p.Ref()}})
		for _, w := range r.owner.waiters.removeProgram(p.Ref()) {
			r.replyWithoutTicket(w, program.Refuse(program.CodeProgramEnded, "the program ended while the call waited"))
		}
	}
}

// handleReleaseDone records that a release is complete, if it is still pending.
func (r *Replica) handleReleaseDone(release program.Release) {
	p := r.table.Program(release.Program)
	if p == nil || !r.active() || r.owner.handingOver {
		return
	}
	if pending, ok := p.PendingRelease(); ok && pending.ID == release.ID {
		r.propose(program.Change{Released: &program.Released{Program: release.Program, ReleaseID: release.ID}})
	}
}

// handleHandover starts or cancels a handover. During a handover the owner accepts no
// requests; the senders of waiting calls are told to ask the next owner.
func (r *Replica) handleHandover(start bool) {
	o := r.owner
	if !r.active() || o.handingOver == start {
		return
	}
	o.handingOver = start
	if !start {
		r.repeatReleases()
		r.settleLostCalls()
		return
	}
	for _, w := range o.waiters.all() {
		r.emit(Reply{ID: w.id, Err: ErrNotOwner})
	}
	o.waiters = newWaitList()
	r.logEvent(LogEvent{Name: "shard_handover"})
}

// evaluateWaiting evaluates the waiting calls of a program, in order of arrival.
func (r *Replica) evaluateWaiting(ref program.Ref) {
	q := program.QueueRef(ref)
	waiting := r.owner.waiters.take(q)
	for i, w := range waiting {
		if r.evaluate(w) {
			waiting[i] = nil
		}
	}
	r.owner.waiters.put(q, slices.DeleteFunc(waiting, func(w *waiter) bool { return w == nil }))
}

// waiter is a call that waits until the program's running call is settled, or, if it
// is a retry, until its first attempt is settled.
type waiter struct {
	id       uint64 // id of the BeginRequest to reply to
	call     program.BeginCall
	deadline time.Duration // shard time at which the wait limit passes
	retry    bool          // the call is a retry
}
