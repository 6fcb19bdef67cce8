// Package shard replicates one shard of program state. A VM holds one Replica
// per shard: the owner orders records and sends them to all in-sync replicas
// before it acknowledges anything; the others store them and apply them once
// they are committed.
//
// Control arbitrates: it names the owner under a growing epoch and the in-sync
// set under a growing version. A change of the in-sync set is a compare-and-set
// on the version. Until the owner knows the result of such a change it requires
// acknowledgements from the members of both sets, so each set that control can
// have committed holds every acknowledged record.
//
// A new owner keeps the records that it holds beyond the commit index: they may
// have been acknowledged. A replica whose own tail differs discards the tail. An
// owner applies records before they are committed; if a later owner lacks one of
// them, the former owner keeps its state until a full copy has arrived, because
// control may still have to fall back on it.
//
// Control can move a shard while its owner's lease is valid. The former owner
// cannot commit anything then, because the new owner refuses its epoch; but its
// state is out of date. An answer that could be wrong for that reason (a refusal,
// a history) therefore waits for a barrier record like any other change.
//
// Shard time advances with the owner's monotonic clock. Each message carries it,
// so that it neither stops nor goes back when the ownership changes.
package shard

import (
	"math"
	"slices"
	"time"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
)

const (
	// TickInterval is the time between two Tick events.
	TickInterval = 50 * time.Millisecond
	// HeartbeatInterval is the time between two messages to an idle replica. A
	// silent replica of a busy shard is found by its missing acknowledgements, and
	// control finds silent VMs, so an idle shard can afford to wait.
	HeartbeatInterval = 4 * time.Second
	// AcknowledgeTimeout is how long an in-sync replica may hold up the owner
	// before the owner asks control to remove it.
	AcknowledgeTimeout = time.Second
	// resendInterval is how long an unanswered message blocks the next one.
	resendInterval = 300 * time.Millisecond
	// pauseThreshold is the time between two steps after which the owner assumes
	// that it was paused itself and does not blame its replicas for the silence.
	pauseThreshold = 400 * time.Millisecond
	// pruneInterval is the time between two searches for records whose resend
	// window has passed; a search visits every program.
	pruneInterval = 30 * time.Second
	// resetIndexShift starts the log of a shard without state at epoch << resetIndexShift,
	// so that sequence numbers of an earlier, lost log are never used again.
	resetIndexShift = 32
	// unknownOffset stands for the shard time before a message has brought it:
	// the monotonic clocks of two VMs have nothing in common.
	unknownOffset = time.Duration(math.MinInt64 / 2)
)

// Replica is one VM's part in one shard.
type Replica struct {
	self       fleet.VMRef
	shard      int
	assignment fleet.Assignment
	epoch      uint64 // latest epoch seen
	version    uint64 // latest version seen
	lease      time.Duration
	view       *View
	now        time.Duration
	offset     time.Duration // shard time minus now

	log      recordLog
	table    *program.Table
	complete bool   // the state is usable: a full copy has arrived, or the shard began here
	commit   uint64 // last committed record, as far as known
	applied  uint64 // last record applied to the table
	ahead    uint64 // the table may contain effects of records up to here
	incoming *incomingCopy

	recent requestMemory // outlives an ownership: late messages can find the next one

	owner     *owner // nil unless this replica owns the shard
	out       []Effect
	partBytes int           // size of a part of a copy
	pruned    time.Duration // shard time of the last pruning
}

// New returns a replica without state.
func New(self fleet.VMRef, shard int) *Replica {
	return &Replica{self: self, shard: shard, table: program.NewTable(), view: &View{}, offset: unknownOffset, partBytes: copyPartBytes}
}

// Step handles one event. The effects are valid until the next call.
func (r *Replica) Step(now time.Duration, e Event) []Effect {
	clear(r.out)
	r.out = r.out[:0]
	if r.owner != nil && now-r.now > pauseThreshold {
		r.owner.resetPeerTimers(now)
	}
	r.now = max(now, r.now)
	switch e := e.(type) {
	case Assigned:
		r.assign(e.Assignment)
	case FleetChanged:
		r.view = e.View
		r.settleLost()
	case LeaseRenewed:
		if r.owner != nil && !r.active() {
			r.owner.resetPeerTimers(r.now)
		}
		r.lease = e.Until
		r.takeOver()
	case AppendReceived:
		r.emit(ReplyAppend{e.ID, r.receive(&e.Message)})
	case CopyReceived:
		r.emit(ReplyCopy{e.ID, r.receiveCopy(&e.Message)})
	default:
		r.stepOwner(e)
	}
	r.advance()
	return r.out
}

// Owner says whether this replica owns the shard and may act, and under which epoch.
func (r *Replica) Owner() (epoch uint64, ok bool) { return r.epoch, r.active() }

// Assignment returns the latest assignment that the replica knows.
func (r *Replica) Assignment() fleet.Assignment { return r.assignment }

// Table returns the state for reading between steps.
func (r *Replica) Table() *program.Table { return r.table }

// Discarded says that the VM no longer takes part in the shard.
func (r *Replica) Discarded() bool {
	return r.assignment.Version > 0 && r.version == r.assignment.Version && !slices.Contains(members(&r.assignment), r.self)
}

// members returns all VMs that take part in a shard.
func members(a *fleet.Assignment) []fleet.VMRef {
	out := slices.Clone(a.Replicas)
	for _, ref := range a.InSync {
		if !slices.Contains(out, ref) {
			out = append(out, ref)
		}
	}
	return out
}

// active says whether the replica may act as the owner.
func (r *Replica) active() bool { return r.owner != nil && r.now < r.lease }

func (r *Replica) shardTime() time.Duration { return r.now + r.offset }

func (r *Replica) emit(e Effect) { r.out = append(r.out, e) }

func (r *Replica) note(n Note) { r.emit(n) }

// assign takes over a newer assignment.
func (r *Replica) assign(a fleet.Assignment) {
	if a.Version < r.version || a.Version <= r.assignment.Version || a.Epoch < r.epoch {
		return
	}
	skipped := a.Version > r.assignment.Version+1
	r.assignment, r.version = a, a.Version
	if a.Epoch > r.epoch || a.Owner != r.self {
		r.resign()
	}
	r.epoch = a.Epoch
	if !slices.Contains(members(&a), r.self) {
		r.forget()
		return
	}
	if r.owner != nil {
		r.adoptAssignment(skipped)
		return
	}
	r.takeOver()
}

// forget drops the state of a shard that the VM no longer holds.
func (r *Replica) forget() {
	r.log, r.table, r.complete = recordLog{}, program.NewTable(), false
	if r.incoming != nil {
		r.incoming.part, r.incoming.table = -1, nil
	}
	r.commit, r.applied, r.ahead = 0, 0, 0
}

// takeOver starts to act as the owner, once the assignment and a lease allow it.
func (r *Replica) takeOver() {
	a := &r.assignment
	if r.owner != nil || a.Owner != r.self || a.Epoch < r.epoch || a.Epoch == 0 || r.now >= r.lease {
		return
	}
	if !r.complete || r.log.last() < r.ahead {
		r.reset(a.Epoch)
	}
	if r.offset == unknownOffset {
		r.offset = 0
	}
	r.applyTo(r.log.last())
	r.offset = max(r.offset, r.lastRecordTime()-r.now)
	r.owner = newOwner()
	r.adoptAssignment(false)
	r.note(Note{Name: "shard_takeover", Sequence: r.log.last()})
	r.propose(program.Change{Barrier: true})
	r.table.Programs(r.trackTakenOver)
	r.repeatReleases()
	r.settleLost()
}

// reset starts an empty log. Control names an owner without state only for a
// new shard, or when every VM that held the shard is lost.
func (r *Replica) reset(epoch uint64) {
	r.forget()
	r.complete = true
	r.log.base, r.log.baseEpoch = epoch<<resetIndexShift, epoch
	r.commit, r.applied, r.ahead = r.log.base, r.log.base, r.log.base
	r.note(Note{Name: "shard_started_empty", Sequence: r.log.base, Warning: epoch > 1})
}

func (r *Replica) lastRecordTime() time.Duration {
	if len(r.log.records) == 0 {
		return 0
	}
	return r.log.records[len(r.log.records)-1].Time
}

// applyTo applies the log up to index.
func (r *Replica) applyTo(index uint64) {
	for r.applied < index {
		rec := r.log.at(r.applied + 1)
		r.table.Apply(rec.Index, rec.Time, &rec.Change)
		r.applied++
	}
	r.ahead = max(r.ahead, r.applied)
}
