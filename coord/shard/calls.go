package shard

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
)

// stepOwner handles the events that only an owner answers.
func (r *Replica) stepOwner(e Event) {
	if !r.active() || r.owner.frozen {
		if id, ok := requestID(e); ok {
			r.emit(Reply{ID: id, Err: ErrNotOwner})
			return
		}
	}
	switch e := e.(type) {
	case Tick:
		r.tick()
	case BeginRequest:
		r.begin(e)
	case AbandonRequest:
		r.abandon(e)
	case FinishRequest:
		r.finish(e)
	case EndRequest:
		r.endRequested(e)
	case HistoryRequest:
		r.confirmedReply(Reply{ID: e.ID, History: r.table.History(e.Program)})
	case CrashRequest:
		r.propose(program.Change{Crash: &e.Crash})
		r.reply(Reply{ID: e.ID})
	case QuarantineRequest:
		r.reply(Reply{ID: e.ID, Quarantined: r.table.Quarantined(r.shardTime(), e.Organisation, e.Fingerprint)})
	case ReleaseDone:
		r.released(e.Release)
	case HandoverRequest:
		r.handover(!e.Cancel)
	case AppendAnswered:
		r.appendAnswered(e)
	case CopyAnswered:
		r.copyAnswered(e)
	case Asked:
		r.asked(e)
	}
}

// requestID returns the id of a request that only an owner may answer.
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

func (r *Replica) tick() {
	if now := r.shardTime(); now-r.pruned >= pruneInterval {
		r.pruned = now
		r.table.Prune(now)
	}
	if !r.active() || r.owner.frozen {
		return
	}
	r.ring()
	now := r.shardTime()
	for _, w := range r.owner.waiters.expired(now) {
		r.answer(w, program.RefuseWait(w.retry))
	}
	r.recent.rotate(now)
}

func (r *Replica) begin(e BeginRequest) {
	o := r.owner
	if result, ok := r.recent.get(e.Call.Request); ok && r.table.FindRequest(e.Call.Program, e.Call.Lineage, e.Call.Request) == nil {
		r.confirmedReply(ReplyBegin{e.ID, r.answerAgain(&e.Call, result)})
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

// evaluate starts or answers a call; it returns false if the call must wait. A
// call whose runner is gone does not start, but a retry is answered truthfully.
func (r *Replica) evaluate(w *waiter) bool {
	_, repeated := r.recent.get(w.call.Request)
	d := r.table.Decide(r.shardTime(), w.call, repeated)
	gone := r.gone(w.call.Runner, w.call.Revision)
	switch {
	case d.Result != nil:
		r.answer(w, *d.Result)
	case d.Ticket != nil:
		r.giveTicket(w, *d.Ticket, r.log.last(), true)
	case gone && d.Retry:
		r.answer(w, program.RefuseWait(true))
	case gone:
		r.answer(w, program.Refuse(program.CodeRunnerNotRegistered, "VM %s is not registered", w.call.Runner.ID))
	case d.Wait:
		w.retry = d.Retry
		return false
	case d.Start.Call.NonIdempotent && !r.sufficient():
		r.answer(w, insufficient())
	default:
		r.start(w, d.Start)
	}
	return true
}

// answer answers a call that does not start. The result is remembered for a
// repetition of the request, which must not start the call after all.
func (r *Replica) answer(w *waiter, result program.BeginResult) {
	r.recent.put(w.call.Request, result)
	if result.Refusal == nil {
		r.reply(ReplyBegin{w.id, result})
		return
	}
	r.confirmedReply(ReplyBegin{w.id, result})
}

// answerAgain returns the answer to a request that was answered before. The
// first answer counts, except that a refusal as not run must still be true: an
// equal request may have run meanwhile.
func (r *Replica) answerAgain(c *program.BeginCall, first program.BeginResult) program.BeginResult {
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

func (r *Replica) start(w *waiter, b *program.Begin) {
	index := r.propose(program.Change{Begin: b})
	r.recent.put(b.Call.Request, answeredBefore())
	r.giveTicket(w, *r.table.Ticket(b.ResolvedRef(index)), index, false)
}

// giveTicket answers with a ticket once the record at index is committed.
func (r *Replica) giveTicket(w *waiter, t program.Ticket, index uint64, repeated bool) {
	t.Shard, t.Epoch = r.shard, r.epoch
	effect := ReplyBegin{w.id, program.BeginResult{Ticket: &t}}
	r.owner.pending = append(r.owner.pending, pendingReply{index: index, effect: effect, call: &w.call, repeated: repeated})
}

// answeredBefore is the answer to a late repetition of a request whose call was
// started or withdrawn; its sender no longer waits for it.
func answeredBefore() program.BeginResult {
	return program.RefuseUnknown(program.CodeCallInProgress, "the request was answered or withdrawn before")
}

func insufficient() program.BeginResult {
	return program.Refuse(program.CodeInsufficientReplicas, "fewer than two data centres hold the shard in sync")
}

// confirm says whether a ticket may be given out now that its record is
// committed. Otherwise it answers the call in another way: a non-idempotent call
// is taken back if too few replicas are left. A repeated ticket may have been
// given out before, so that it only follows what became of the first.
func (r *Replica) confirm(p pendingReply) bool {
	reply := p.effect.(ReplyBegin)
	ticket := reply.Result.Ticket
	prog := r.table.Program(ticket.Program)
	running := prog != nil && prog.Running() != nil && prog.Running().Sequence == ticket.Sequence
	switch {
	case running && (p.repeated || !p.call.NonIdempotent || r.sufficient()):
		return true
	case running:
		r.recent.put(p.call.Request, insufficient())
		r.abort(prog, program.NotRun)
	}
	result, ok := r.recent.get(p.call.Request)
	if !ok {
		result = answeredBefore()
	}
	r.reply(ReplyBegin{reply.ID, result})
	return false
}

// gone says whether a VM is certainly no longer registered. A view that is older
// than the VM's own registration proves nothing.
func (r *Replica) gone(vm fleet.VMRef, revision uint64) bool {
	if vm == (fleet.VMRef{}) || r.view.Revision == 0 || r.view.Revision < revision {
		return false
	}
	return r.view.VMs[vm.ID].Incarnation != vm.Incarnation
}

// abort settles the running call of a program and gives the turn to the next one.
func (r *Replica) abort(p *program.Program, o program.Outcome) {
	r.propose(program.Change{Settle: p.Abort(o)})
	r.wake(p.Ref())
}

// abandon withdraws a request: its sender never received the ticket, so nothing ran.
func (r *Replica) abandon(e AbandonRequest) {
	o := r.owner
	for _, w := range o.waiters.removeRequest(e.Program, e.Request) {
		r.emit(Reply{ID: w.id, Err: ErrNotOwner})
	}
	if p := r.table.FindRequest(e.Program, e.Lineage, e.Request); p != nil {
		r.abort(p, program.NotRun)
	}
	r.recent.put(e.Request, answeredBefore())
	r.reply(Reply{ID: e.ID})
}

func (r *Replica) finish(e FinishRequest) {
	if !e.Finish.Outcome.Valid() {
		r.emit(Reply{ID: e.ID, Err: fmt.Errorf("invalid outcome %q", e.Finish.Outcome)})
		return
	}
	s, err := r.table.DecideFinish(e.Finish)
	if s == nil {
		if errors.Is(err, program.ErrAlreadySettled) && e.Finish.Target != "" {
			r.propose(program.Change{AddTarget: &program.AddTarget{Program: e.Finish.Ticket.Program, Target: e.Finish.Target}})
		}
		r.confirmedReply(Reply{ID: e.ID, Err: err})
		return
	}
	if limit := r.table.Program(s.Program).Running().TokenLimit; limit > 0 && s.TokensUsed > limit {
		r.note(Note{Name: "call_exceeded_reservation", Program: s.Program, Sequence: s.Sequence, Warning: true})
	}
	r.propose(program.Change{Settle: s})
	r.reply(Reply{ID: e.ID})
	r.wake(s.Program)
}

func (r *Replica) endRequested(e EndRequest) {
	r.end(e.Program)
	r.reply(Reply{ID: e.ID})
}

// end ends a program with its sub-agents, or all programs of a lineage. Calls
// that wait for a turn are refused; running calls can still be finished.
func (r *Replica) end(ref program.Ref) {
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
			r.answer(w, program.Refuse(program.CodeProgramEnded, "the program ended while the call waited"))
		}
	}
}

func (r *Replica) released(release program.Release) {
	p := r.table.Program(release.Program)
	if p == nil || !r.active() || r.owner.frozen {
		return
	}
	if pending, ok := p.PendingRelease(); ok && pending.ID == release.ID {
		r.propose(program.Change{Released: &program.Released{Program: release.Program, ReleaseID: release.ID}})
	}
}

// handover stops or resumes taking requests. Waiting calls go to the next owner.
func (r *Replica) handover(start bool) {
	o := r.owner
	if !r.active() || o.frozen == start {
		return
	}
	o.frozen = start
	if !start {
		r.repeatReleases()
		r.settleLost()
		return
	}
	for _, w := range o.waiters.all() {
		r.emit(Reply{ID: w.id, Err: ErrNotOwner})
	}
	o.waiters = newWaitList()
	r.note(Note{Name: "shard_handover"})
}

// wake evaluates the waiting calls of a program, in order of arrival.
func (r *Replica) wake(ref program.Ref) {
	q := program.QueueRef(ref)
	waiting := r.owner.waiters.take(q)
	for i, w := range waiting {
		if r.evaluate(w) {
			waiting[i] = nil
		}
	}
	r.owner.waiters.put(q, slices.DeleteFunc(waiting, func(w *waiter) bool { return w == nil }))
}

// waiter is a call that waits for its program's turn, or for the first call of
// which it is a retry.
type waiter struct {
	id       uint64
	call     program.BeginCall
	deadline time.Duration
	retry    bool
}
