package shard

import (
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
		r.reply(Reply{ID: e.ID, History: r.table.History(e.Program)})
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
	if !r.active() || r.owner.frozen {
		return
	}
	r.ring()
	now := r.shardTime()
	for _, w := range r.owner.waiters.expired(now) {
		r.reply(ReplyBegin{w.id, program.RefuseWait(w.retry)})
	}
	r.owner.recent.rotate(now)
}

func (r *Replica) begin(e BeginRequest) {
	o := r.owner
	if o.recent.has(e.Call.Request) && r.table.FindRequest(e.Call.Program, e.Call.Lineage, e.Call.Request) == nil {
		r.reply(ReplyBegin{e.ID, program.RefuseUnknown(program.CodeCallInProgress, "the request was answered or withdrawn before")})
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

// evaluate starts or answers a call; it returns false if the call must wait.
func (r *Replica) evaluate(w *waiter) bool {
	if r.gone(w.call.Runner, w.call.Revision) {
		r.reply(ReplyBegin{w.id, program.Refuse(program.CodeRunnerNotRegistered, "VM %s is not registered", w.call.Runner.ID)})
		return true
	}
	d := r.table.Decide(r.shardTime(), w.call)
	switch {
	case d.Wait:
		w.retry = d.Retry
		return false
	case d.Result != nil:
		r.reply(ReplyBegin{w.id, *d.Result})
	case d.Ticket != nil:
		r.giveTicket(w.id, *d.Ticket, r.log.last(), &program.Begin{Call: w.call})
	case d.Start.Call.NonIdempotent && !r.sufficient():
		r.reply(ReplyBegin{w.id, insufficient()})
	default:
		r.start(w, d.Start)
	}
	return true
}

func (r *Replica) start(w *waiter, b *program.Begin) {
	index := r.propose(program.Change{Begin: b})
	r.owner.recent.add(b.Call.Request)
	r.giveTicket(w.id, *r.table.Ticket(b.ResolvedRef(index)), index, b)
}

// giveTicket answers with a ticket once the record at index is committed.
func (r *Replica) giveTicket(id uint64, t program.Ticket, index uint64, b *program.Begin) {
	t.Shard, t.Epoch = r.shard, r.epoch
	effect := ReplyBegin{id, program.BeginResult{Ticket: &t}}
	r.owner.pending = append(r.owner.pending, pendingReply{index: index, effect: effect, begin: b})
}

func insufficient() program.BeginResult {
	return program.Refuse(program.CodeInsufficientReplicas, "fewer than two data centres hold the shard in sync")
}

// takeBack settles a call whose ticket was never given out, because too few
// replicas are left when its record is committed.
func (r *Replica) takeBack(p pendingReply) {
	reply := p.effect.(ReplyBegin)
	ticket := reply.Result.Ticket
	if prog := r.table.Program(ticket.Program); prog != nil && prog.Running() != nil && prog.Running().Sequence == ticket.Sequence {
		r.abort(prog, program.NotRun)
	}
	r.reply(ReplyBegin{reply.ID, insufficient()})
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
	o.recent.add(e.Request)
	r.reply(Reply{ID: e.ID})
}

func (r *Replica) finish(e FinishRequest) {
	if !e.Finish.Outcome.Valid() {
		r.emit(Reply{ID: e.ID, Err: fmt.Errorf("invalid outcome %q", e.Finish.Outcome)})
		return
	}
	s, err := r.table.DecideFinish(e.Finish)
	if s != nil {
		r.propose(program.Change{Settle: s})
		r.wake(s.Program)
	}
	r.reply(Reply{ID: e.ID, Err: err})
}

func (r *Replica) endRequested(e EndRequest) {
	r.end(e.Program)
	r.reply(Reply{ID: e.ID})
}

// end ends a program with its sub-agents, or all programs of a lineage. Calls
// that wait for a turn are refused; running calls can still be finished.
func (r *Replica) end(ref program.Ref) {
	programs := r.table.Below(ref)
	if p := r.table.Program(ref); p != nil {
		programs = append(programs, p)
	}
	for _, p := range programs {
		if p.Ended() {
			continue
		}
		r.propose(program.Change{End: &program.End{Program: p.Ref()}})
		for _, w := range r.owner.waiters.removeProgram(p.Ref()) {
			r.reply(ReplyBegin{w.id, program.Refuse(program.CodeProgramEnded, "the program ended while the call waited")})
		}
	}
}

func (r *Replica) released(release program.Release) {
	p := r.table.Program(release.Program)
	if p == nil || !r.active() || r.owner.frozen {
		return
	}
	if pending, ok := p.PendingRelease(); ok && pending.ID == release.ID {
		r.propose(program.Change{Released: &program.Released{Program: release.Program, Release: release.ID}})
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
