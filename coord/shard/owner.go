package shard

import (
	"slices"
	"time"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
)

// owner is the volatile state of the replica that owns the shard. It is not
// replicated and is rebuilt after each takeover.
type owner struct {
	peers       []*peer
	proposals   openProposals
	pending     []pendingReply // by ascending index
	waiters     waitList
	running     map[program.Ref]uint64 // sequence of the running call of each program
	timers      timerHeap
	copies      uint64 // number of full copies started; the last copy's id
	handingOver bool   // a handover is in progress: no records are proposed
}

func newOwner() *owner {
	return &owner{running: make(map[program.Ref]uint64), waiters: newWaitList()}
}

// pendingReply is a reply that is withheld until the record at index is committed.
type pendingReply struct {
	index  uint64
	effect Effect
	// call is set if the reply grants a ticket, which confirmTicket must check.
	call *program.BeginCall
	// repeated is true if the ticket was granted to an earlier delivery of the request.
	repeated bool
}

// peer is the owner's replication state for another replica.
type peer struct {
	ref          fleet.VMRef
	inSync       bool          // it is a member of the committed in-sync set
	required     bool          // commits need its acknowledgement although it is not in sync yet
	requiredFrom uint64        // last index of the log when it became required
	copyEnd      uint64        // last index whose effects its full copy may contain
	suspect      bool          // it did not acknowledge or reply in time
	next         uint64        // index of the next record to send
	acked        uint64        // last acknowledged index
	copy         *outgoingCopy // nil while it receives log records

	messageNumber uint64 // number of the last message sent
	inFlight      bool   // no reply to that message has arrived yet
	sentAt        time.Duration
	lastReplyAt   time.Duration
	lagSince      time.Duration // when it began to lag or, if later, last made progress
	lagging       bool
}

// updatePeers updates the list of peers to match the assignment. skipped is true if
// versions of the assignment were missed: a replica that is not in sync may have left
// the shard and rejoined without its records since, so it receives a new full copy.
func (r *Replica) updatePeers(skipped bool) {
	o, a := r.owner, &r.assignment
	peers := make([]*peer, 0, len(a.Replicas))
	for _, ref := range members(a) {
		if ref == r.self {
			continue
		}
		p := o.peer(ref)
		if p == nil {
			p = &peer{ref: ref, next: r.log.last() + 1, lastReplyAt: r.now}
			if !slices.Contains(a.InSync, ref) {
				r.startCopy(p)
			}
		}
		p.inSync = slices.Contains(a.InSync, ref)
		if skipped && !p.inSync && p.copy == nil {
			r.startCopy(p)
		}
		p.required = p.required && !p.inSync
		peers = append(peers, p)
	}
	o.peers = peers
	o.proposals.resolve(a.Version)
}

func (o *owner) peer(ref fleet.VMRef) *peer {
	for _, p := range o.peers {
		if p.ref == ref {
			return p
		}
	}
	return nil
}

// caughtUp reports whether the peer holds all records up to last.
func (p *peer) caughtUp(last uint64) bool { return p.copy == nil && p.acked >= last }

// resign stops acting as the owner. Pending requests fail with ErrNotOwner; the next
// owner finds what they recorded.
func (r *Replica) resign() {
	o := r.owner
	if o == nil {
		return
	}
	r.owner = nil
	for _, p := range o.pending {
		r.failReply(p.effect)
	}
	for _, w := range o.waiters.all() {
		r.emit(Reply{ID: w.id, Err: ErrNotOwner})
	}
	r.table.Programs(func(p *program.Program) { p.TimerDue = 0 })
	r.logEvent(LogEvent{Name: "shard_resigned", Sequence: r.log.last()})
}

// failReply replies with ErrNotOwner to the request that a withheld reply belongs to.
func (r *Replica) failReply(e Effect) {
	switch e := e.(type) {
	case ReplyBegin:
		r.emit(Reply{ID: e.ID, Err: ErrNotOwner})
	case Reply:
		r.emit(Reply{ID: e.ID, Err: ErrNotOwner})
	}
}

// propose appends a record, applies it to the owner's table and returns its index.
func (r *Replica) propose(c program.Change) uint64 {
	index := r.log.last() + 1
	r.log.records = append(r.log.records, Record{Index: index, Epoch: r.epoch, Time: r.shardTime(), Change: c})
	r.applied = index
	r.maxApplied = index
	if p := r.table.Apply(index, r.shardTime(), &c); p != nil {
		r.trackChange(p, index)
	}
	return index
}

// replyWhenCommitted emits a reply once all records in the log are committed, so that
// everything the reply depends on is committed.
func (r *Replica) replyWhenCommitted(e Effect) {
	r.owner.pending = append(r.owner.pending, pendingReply{index: r.log.last(), effect: e})
}

// replyAfterBarrier emits a reply that was read from the state, once a barrier record
// proposed after the read is committed. Committing it proves that this replica was
// still the owner when it read.
func (r *Replica) replyAfterBarrier(e Effect) {
	r.propose(program.Change{Barrier: true})
	r.replyWhenCommitted(e)
}

// advance updates the commit index, emits the replies whose records are committed,
// checks the peers and sends them what they lack. It does nothing without a valid lease.
func (r *Replica) advance() {
	if !r.active() {
		return
	}
	for r.flushReplies() {
	}
	r.checkPeers()
	r.proposeAssignment()
	for _, p := range r.owner.peers {
		r.send(p)
	}
	r.compact()
}

// flushReplies emits the replies whose records are committed. It returns true if
// that proposed further records.
func (r *Replica) flushReplies() (proposed bool) {
	o := r.owner
	r.commit = max(r.commit, r.commitIndex())
	n := 0
	for n < len(o.pending) && o.pending[n].index <= r.commit {
		n++
	}
	ready := o.pending[:n:n]
	o.pending = o.pending[n:]
	for _, p := range ready {
		if p.call != nil && !r.confirmTicket(p) {
			proposed = true
			continue
		}
		r.emit(p.effect)
	}
	if len(o.pending) == 0 {
		o.pending = nil
	}
	return proposed
}

// commitIndex returns the index of the last record that all required replicas hold:
// the members of the in-sync set, of any open proposal for it, and the replicas about
// to join it.
func (r *Replica) commitIndex() uint64 {
	commit := r.log.last()
	for _, p := range r.owner.peers {
		if p.inSync || p.required || r.owner.proposals.includes(p.ref) {
			commit = min(commit, p.acked)
		}
	}
	return commit
}

// hasSufficientReplicas reports whether a non-idempotent call may run: two in-sync
// replicas are in different data centres, or the shard has a single replica.
func (r *Replica) hasSufficientReplicas() bool {
	if len(r.assignment.Replicas) == 1 {
		return true
	}
	first := ""
	for _, ref := range r.assignment.InSync {
		vm, ok := r.view.VMs[ref.ID]
		if !ok || vm.Incarnation != ref.Incarnation {
			continue
		}
		if first != "" && vm.DataCentre != first {
			return true
		}
		first = vm.DataCentre
	}
	return false
}

// compact removes the log records that no replica needs any more.
func (r *Replica) compact() {
	keep := r.commit
	for _, p := range r.owner.peers {
		switch {
		case p.copy != nil && p.copy.id > 0:
			keep = min(keep, p.copy.start)
		case p.copy == nil:
			keep = min(keep, p.acked)
		}
	}
	r.log.compact(max(keep, r.log.base))
}
