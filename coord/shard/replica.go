// Package shard replicates one shard of program state. A VM holds one Replica per
// shard. One replica is the owner: it orders records and sends them to all in-sync
// replicas before it acknowledges anything. The other replicas store the records and
// apply them once they are committed.
//
// Control decides the assignment: it names the owner under an increasing epoch and
// the in-sync set under an increasing version. A change of the in-sync set is a
// compare-and-set on the version. Until the owner knows the result of a proposed
// change, it requires acknowledgements from the members of both sets. Each set that
// control may have committed therefore holds every acknowledged record.
//
// A new owner keeps its records beyond the commit index, because they may have been
// acknowledged. A replica discards uncommitted records that differ from the owner's.
// An owner applies records before they are committed. If a later owner lacks one of
// them, the former owner keeps its state until a full copy has arrived, because
// control may still have to make it the owner again.
//
// Control can move a shard while its owner's lease is valid. The former owner then
// cannot commit anything, because the new owner refuses its epoch, but its state is
// out of date. A reply that could be wrong for that reason (a refusal, a history)
// therefore waits until a barrier record is committed.
//
// Shard time advances with the owner's monotonic clock. Each message carries it, so
// that it neither stops nor goes back when the ownership changes.
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
	// HeartbeatInterval is the time between two messages to a replica of an idle shard.
	// It can be long: in a busy shard, missing acknowledgements reveal a failed
	// replica, and control detects VMs that stop polling.
	HeartbeatInterval = 4 * time.Second
	// AcknowledgeTimeout is how long an in-sync replica may delay commits before the
	// owner asks control to remove it from the in-sync set.
	AcknowledgeTimeout = time.Second
	// resendInterval is how long a message without a reply blocks the next one.
	resendInterval = 300 * time.Millisecond
	// pauseThreshold is the time between two steps above which the owner assumes that
	// it was paused itself. It then restarts the timeouts of its peers, because their
	// silence may be due to its own pause.
	pauseThreshold = 400 * time.Millisecond
	// pruneInterval is the time between two prunings of call records whose resend
	// window has passed. Each pruning visits every program.
	pruneInterval = 30 * time.Second
	// resetIndexShift defines the start of an empty log, epoch << resetIndexShift, so
	// that sequence numbers of an earlier, lost log are never used again.
	resetIndexShift = 32
	// unknownClockOffset is the clock offset until the first message with a shard time
	// arrives: the monotonic clocks of two VMs are unrelated.
	unknownClockOffset = time.Duration(math.MinInt64 / 2)
)

// Replica is the state machine of one replica of a shard. It does no input or output
// and is not safe for concurrent use.
type Replica struct {
	self        fleet.VMRef
	shard       int
	assignment  fleet.Assignment
	epoch       uint64        // latest epoch seen
	version     uint64        // latest version seen
	lease       time.Duration // end of the VM's lease
	view        *View
	now         time.Duration // monotonic clock of the VM, from the last Step
	clockOffset time.Duration // shard time minus now

	log        recordLog
	table      *program.Table
	complete   bool   // the state is complete: a full copy was received, or the log started empty here
	commit     uint64 // last index known to be committed
	applied    uint64 // last index applied to the table
	maxApplied uint64 // last index whose effects the table may contain
	incoming   *incomingCopy

	recentResults resultCache // kept across changes of ownership, for duplicates that arrive under a later epoch

	owner     *owner // nil unless this replica owns the shard
	effects   []Effect
	partBytes int           // approximate size of a part of a copy; copyPartBytes except in tests
	lastPrune time.Duration // shard time of the last pruning
}

// New returns a replica of the numbered shard, without state, for the VM self.
func New(self fleet.VMRef, shard int) *Replica {
	return &Replica{self: self, shard: shard, table: program.NewTable(), view: &View{}, clockOffset: unknownClockOffset, partBytes: copyPartBytes}
}

// Step handles one event and returns its effects, which are valid until the next call.
// now is the VM's monotonic clock.
func (r *Replica) Step(now time.Duration, e Event) []Effect {
	clear(r.effects)
	r.effects = r.effects[:0]
	if r.owner != nil && now-r.now > pauseThreshold {
		r.owner.resetPeerTimers(now)
	}
	r.now = max(now, r.now)
	switch e := e.(type) {
	case Assigned:
		r.applyAssignment(e.Assignment)
	case FleetChanged:
		r.view = e.View
		r.settleLostCalls()
	case LeaseRenewed:
		if r.owner != nil && !r.active() {
			r.owner.resetPeerTimers(r.now)
		}
		r.lease = e.Until
		r.takeOver()
	case AppendReceived:
		r.emit(ReplyAppend{e.ID, r.handleAppend(&e.Message)})
	case CopyReceived:
		r.emit(ReplyCopy{e.ID, r.handleCopy(&e.Message)})
	default:
		r.stepOwner(e)
	}
	r.advance()
	return r.effects
}

// Owner returns the latest known epoch and whether this replica owns the shard with a
// valid lease.
func (r *Replica) Owner() (epoch uint64, ok bool) { return r.epoch, r.active() }

// Assignment returns the latest assignment that the replica knows.
func (r *Replica) Assignment() fleet.Assignment { return r.assignment }

// Table returns the program table. Callers may read it between two steps.
func (r *Replica) Table() *program.Table { return r.table }

// Discarded reports whether the latest known assignment does not include this VM, so that
// the replica can be removed.
func (r *Replica) Discarded() bool {
	return r.assignment.Version > 0 && r.version == r.assignment.Version && !slices.Contains(members(&r.assignment), r.self)
}

// members returns the union of an assignment's replicas and its in-sync set.
func members(a *fleet.Assignment) []fleet.VMRef {
	out := slices.Clone(a.Replicas)
	for _, ref := range a.InSync {
		if !slices.Contains(out, ref) {
			out = append(out, ref)
		}
	}
	return out
}

// active reports whether the replica owns the shard and its lease is valid.
func (r *Replica) active() bool { return r.owner != nil && r.now < r.lease }

// shardTime returns the current shard time.
func (r *Replica) shardTime() time.Duration { return r.now + r.clockOffset }

func (r *Replica) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Replica) logEvent(e LogEvent) { r.emit(e) }

// applyAssignment adopts a newer assignment: the replica takes over, resigns, updates
// its peers or drops its state. Older assignments are ignored.
func (r *Replica) applyAssignment(a fleet.Assignment) {
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
		r.dropState()
		return
	}
	if r.owner != nil {
		r.updatePeers(skipped)
		return
	}
	r.takeOver()
}

// dropState drops the log and the table. It invalidates a copy in progress, so that
// its remaining parts are refused.
func (r *Replica) dropState() {
	r.log, r.table, r.complete = recordLog{}, program.NewTable(), false
	if r.incoming != nil {
		r.incoming.nextPart, r.incoming.table = -1, nil
	}
	r.commit, r.applied, r.maxApplied = 0, 0, 0
}

// takeOver starts to act as the owner, if the assignment names this replica and the
// lease is valid. Without complete state it starts with an empty log.
func (r *Replica) takeOver() {
	a := &r.assignment
	if r.owner != nil || a.Owner != r.self || a.Epoch < r.epoch || a.Epoch == 0 || r.now >= r.lease {
		return
	}
	if !r.complete || r.log.last() < r.maxApplied {
		r.startEmpty(a.Epoch)
	}
	if r.clockOffset == unknownClockOffset {
		r.clockOffset = 0
	}
	r.applyTo(r.log.last())
	r.clockOffset = max(r.clockOffset, r.lastRecordTime()-r.now)
	r.owner = newOwner()
	r.updatePeers(false)
	r.logEvent(LogEvent{Name: "shard_takeover", Sequence: r.log.last()})
	r.propose(program.Change{Barrier: true})
	r.table.Programs(r.trackAfterTakeover)
	r.repeatReleases()
	r.settleLostCalls()
}

// startEmpty starts an empty log. Control names an owner without state only for a new
// shard, or if every VM that held the shard is lost.
func (r *Replica) startEmpty(epoch uint64) {
	r.dropState()
	r.complete = true
	r.log.base, r.log.baseEpoch = epoch<<resetIndexShift, epoch
	r.commit, r.applied, r.maxApplied = r.log.base, r.log.base, r.log.base
	r.logEvent(LogEvent{Name: "shard_started_empty", Sequence: r.log.base, Warning: epoch > 1})
}

// lastRecordTime returns the shard time of the last record in the log, or 0.
func (r *Replica) lastRecordTime() time.Duration {
	if len(r.log.records) == 0 {
		return 0
	}
	return r.log.records[len(r.log.records)-1].Time
}

// applyTo applies the records up to index to the table.
func (r *Replica) applyTo(index uint64) {
	for r.applied < index {
		rec := r.log.at(r.applied + 1)
		r.table.Apply(rec.Index, rec.Time, &rec.Change)
		r.applied++
	}
	r.maxApplied = max(r.maxApplied, r.applied)
}
