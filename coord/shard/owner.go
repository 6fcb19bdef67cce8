package shard

import (
	"slices"
	"time"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
)

// owner is the volatile state of the replica that owns the shard.
type owner struct {
	peers   []*peer
	asks    asks
	pending []pendingReply // in order of index
	waiters waitList
	running map[program.Ref]uint64 // running calls by program: their sequence
	alarms  alarmHeap
	copies  uint64 // number of copies started
	frozen  bool   // a handover is under way: nothing is proposed
}

func newOwner() *owner {
	return &owner{running: make(map[program.Ref]uint64), waiters: newWaitList()}
}

// pendingReply is an effect that waits until the record at index is committed.
type pendingReply struct {
	index  uint64
	effect Effect
	// call is set if the effect gives out a ticket, which has to be confirmed.
	call *program.BeginCall
	// repeated says that the ticket answers a request that was delivered before.
	repeated bool
}

// peer is another replica as the owner sees it.
type peer struct {
	ref      fleet.VMRef
	inSync   bool   // control has committed it to the in-sync set
	required bool   // its acknowledgement is required although it is not in-sync yet
	joinedAt uint64 // last record when it became required
	copyEnd  uint64 // last record whose effects its copy may contain
	suspect  bool
	next     uint64
	acked    uint64
	copy     *outgoingCopy // nil while it follows the log

	number   uint64 // last message sent
	inFlight bool
	sentAt   time.Duration
	heardAt  time.Duration
	lagSince time.Duration // when the oldest unacknowledged record became due
	lagging  bool
}

// adoptAssignment brings the list of peers in line with the assignment. If
// versions were skipped, a replica that is not in sync may have left the shard
// and come back without its records meanwhile; it gets a new copy.
func (r *Replica) adoptAssignment(skipped bool) {
	o, a := r.owner, &r.assignment
	peers := make([]*peer, 0, len(a.Replicas))
	for _, ref := range members(a) {
		if ref == r.self {
			continue
		}
		p := o.peer(ref)
		if p == nil {
			p = &peer{ref: ref, next: r.log.last() + 1, heardAt: r.now}
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
	o.asks.resolve(a.Version)
}

func (o *owner) peer(ref fleet.VMRef) *peer {
	for _, p := range o.peers {
		if p.ref == ref {
			return p
		}
	}
	return nil
}

func (p *peer) caughtUp(last uint64) bool { return p.copy == nil && p.acked >= last }

// resign stops acting as the owner. Requests without an answer fail; what they
// recorded is found by the next owner.
func (r *Replica) resign() {
	o := r.owner
	if o == nil {
		return
	}
	r.owner = nil
	for _, p := range o.pending {
		r.failEffect(p.effect)
	}
	for _, w := range o.waiters.all() {
		r.emit(Reply{ID: w.id, Err: ErrNotOwner})
	}
	r.table.Programs(func(p *program.Program) { p.TimerDue = 0 })
	r.note(Note{Name: "shard_resigned", Sequence: r.log.last()})
}

func (r *Replica) failEffect(e Effect) {
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
	r.ahead = index
	if p := r.table.Apply(index, r.shardTime(), &c); p != nil {
		r.track(p, index)
	}
	return index
}

// reply emits an answer once everything that it can depend on is committed.
func (r *Replica) reply(e Effect) {
	r.owner.pending = append(r.owner.pending, pendingReply{index: r.log.last(), effect: e})
}

// confirmedReply emits an answer that is read from the state, once a record
// that was written after the reading is committed.
func (r *Replica) confirmedReply(e Effect) {
	r.propose(program.Change{Barrier: true})
	r.reply(e)
}

// advance moves the commit index, emits the answers that it allows and sends
// what the replicas lack. An owner without a lease does nothing.
func (r *Replica) advance() {
	if !r.active() {
		return
	}
	for r.flush() {
	}
	r.judgePeers()
	r.askControl()
	for _, p := range r.owner.peers {
		r.send(p)
	}
	r.compact()
}

// flush emits the committed answers. It returns true if that added records.
func (r *Replica) flush() (again bool) {
	o := r.owner
	r.commit = max(r.commit, r.committed())
	n := 0
	for n < len(o.pending) && o.pending[n].index <= r.commit {
		n++
	}
	ready := o.pending[:n:n]
	o.pending = o.pending[n:]
	for _, p := range ready {
		if p.call != nil && !r.confirm(p) {
			again = true
			continue
		}
		r.emit(p.effect)
	}
	if len(o.pending) == 0 {
		o.pending = nil
	}
	return again
}

// committed returns the last record that all required replicas hold.
func (r *Replica) committed() uint64 {
	commit := r.log.last()
	for _, p := range r.owner.peers {
		if p.inSync || p.required || r.owner.asks.names(p.ref) {
			commit = min(commit, p.acked)
		}
	}
	return commit
}

// sufficient says whether a non-idempotent call may run: two in-sync copies lie
// in different data centres, or the shard has a single replica.
func (r *Replica) sufficient() bool {
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

// compact cuts off records that no replica needs.
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
