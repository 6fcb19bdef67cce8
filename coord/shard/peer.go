package shard

import (
	"slices"
	"time"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
)

// outgoingCopy is a full copy that is sent to a peer, part by part.
type outgoingCopy struct {
	id           uint64 // 0 until the first part is sent
	start        uint64 // last index of the log when the copy began; replay starts after it
	startEpoch   uint64
	remaining    []program.Ref // programs not yet acknowledged
	message      *Copy         // the part in flight; it is resent unchanged
	partPrograms int           // number of programs in that part
	part         int           // number of that part, from 0
	notBefore    time.Duration // earliest time to send after a failure
}

const (
	// maxJoinLag is the number of missing records up to which a joining replica counts as
	// caught up.
	maxJoinLag = 64
	// joinerTimeout is how long the owner keeps log records for a joining replica that
	// does not reply.
	joinerTimeout = 3 * time.Second
	// copyRetryInterval is the time between two attempts to send a copy or a part of it.
	copyRetryInterval = time.Second
)

// header returns the header of a message to a peer.
func (r *Replica) header(to fleet.VMRef) Header {
	return Header{Shard: r.shard, From: r.self, To: to, Epoch: r.epoch, Version: r.assignment.Version, Time: r.shardTime()}
}

// send sends a peer the records or the copy that it lacks, or a heartbeat. One message
// per peer is in flight at a time; records proposed meanwhile are batched into the
// next message.
func (r *Replica) send(p *peer) {
	if p.inFlight && r.now-p.sentAt < p.resendDelay() {
		return
	}
	if p.copy != nil {
		r.sendCopy(p)
		return
	}
	last := r.log.last()
	if p.next > last && r.now-p.sentAt < HeartbeatInterval && p.messageNumber > 0 {
		return
	}
	if p.next <= r.log.base {
		r.startCopy(p)
		r.sendCopy(p)
		return
	}
	if p.acked < last && !p.lagging {
		p.lagging, p.lagSince = true, r.now
	}
	m := Append{
		Header: r.header(p.ref), Previous: p.next - 1, PreviousEpoch: r.log.epochAt(p.next - 1),
		Commit: r.commit, Records: r.log.after(p.next-1, maxAppendBytes),
	}
	r.markSent(p)
	r.emit(SendAppend{p.ref, p.messageNumber, m})
}

// resendDelay returns how long a message without a reply blocks the next one.
func (p *peer) resendDelay() time.Duration {
	if p.copy != nil {
		return copyRetryInterval
	}
	return resendInterval
}

// markSent numbers the next message to a peer and marks it as in flight.
func (r *Replica) markSent(p *peer) {
	p.messageNumber++
	p.inFlight, p.sentAt = true, r.now
}

// handleAppendDone handles a peer's reply to an Append message.
func (r *Replica) handleAppendDone(e AppendDone) {
	p := r.recordReply(e.From, e.Epoch, e.Number, e.Reply != nil)
	if p == nil || p.copy != nil {
		return
	}
	switch e.Reply.Status {
	case OK:
		r.recordAck(p, e.Reply.Last)
	case Stale:
		r.observeEpoch(e.Reply.Epoch)
	case Gap:
		p.next = min(p.next, e.Reply.Last+1)
	case NeedCopy:
		r.startCopy(p)
	}
}

// recordReply marks the sender of a reply as responsive and returns it. It returns nil
// if there is no reply or the reply is of another epoch; the message then stays in
// flight until its resend delay has passed. A reply to an earlier message is still
// valid, because a replica drops records only for a copy that contains them, or when it
// leaves the shard.
func (r *Replica) recordReply(from fleet.VMRef, epoch, number uint64, ok bool) *peer {
	if r.owner == nil || epoch != r.epoch || !ok {
		return nil
	}
	p := r.owner.peer(from)
	if p == nil {
		return nil
	}
	if number == p.messageNumber {
		p.inFlight = false
	}
	p.lastReplyAt = r.now
	return p
}

// recordAck records that a peer holds all records up to last. A joining peer that has
// nearly caught up becomes required for commits.
func (r *Replica) recordAck(p *peer, last uint64) {
	if last > p.acked {
		p.acked = last
		p.lagging, p.lagSince = p.acked < r.log.last(), r.now
	}
	p.next = max(p.next, p.acked+1)
	if p.caughtUp(r.log.last()) {
		p.suspect = false
	}
	if !p.inSync && !p.required && p.acked+maxJoinLag >= r.log.last() {
		p.required, p.requiredFrom = true, r.log.last()
		r.logEvent(LogEvent{Name: "replica_caught_up", Peer: p.ref, Sequence: p.acked})
	}
}

// observeEpoch resigns if a peer knows a later epoch.
func (r *Replica) observeEpoch(epoch uint64) {
	if epoch > r.epoch {
		r.resign()
		r.epoch = epoch
	}
}

// startCopy prepares a full copy for a peer. Acknowledgements of its old log no longer
// count.
func (r *Replica) startCopy(p *peer) {
	p.acked, p.required = 0, false
	p.copy = &outgoingCopy{}
	p.inFlight = false
	if !p.lagging {
		p.lagging, p.lagSince = true, r.now
	}
}

// sendCopy sends the current part of a peer's copy. It starts the copy if necessary.
func (r *Replica) sendCopy(p *peer) {
	c := p.copy
	if r.now < c.notBefore {
		return
	}
	if c.id == 0 {
		r.owner.copies++
		c.id, c.start, c.startEpoch = r.owner.copies, r.log.last(), r.log.lastEpoch()
		c.remaining = r.table.Refs()
	}
	if c.message == nil {
		r.nextPart(p)
	}
	r.markSent(p)
	r.emit(SendCopy{p.ref, p.messageNumber, *c.message})
}

// nextPart exports the next part of a peer's copy.
func (r *Replica) nextPart(p *peer) {
	c := p.copy
	m := &Copy{Header: r.header(p.ref), ID: c.id, Part: c.part, Start: c.start, StartEpoch: c.startEpoch}
	m.Images, c.partPrograms = r.table.Export(c.remaining, r.partBytes)
	if m.Final = c.partPrograms == len(c.remaining); m.Final {
		m.End, m.Suspects = r.log.last(), r.table.ExportSuspects()
		p.copyEnd = m.End
	}
	c.message = m
}

// handleCopyDone handles a peer's reply to a part of a copy.
func (r *Replica) handleCopyDone(e CopyDone) {
	p := r.recordReply(e.From, e.Epoch, e.Number, e.Reply != nil)
	if p == nil || p.copy == nil {
		return
	}
	c := p.copy
	switch {
	case e.Reply.Status == Stale:
		r.observeEpoch(e.Reply.Epoch)
	case e.Reply.Status == OK && (e.Reply.ID != c.id || e.Reply.Part != c.part):
		// This is the reply to an earlier copy or an earlier part.
	case e.Reply.Status == OK && c.message.Final:
		p.copy, p.next = nil, c.start+1
		r.logEvent(LogEvent{Name: "replica_copied", Peer: p.ref, Sequence: p.copyEnd})
		r.recordAck(p, c.start)
	case e.Reply.Status == OK:
		c.remaining, c.message = c.remaining[c.partPrograms:], nil
		c.part++
	default:
		p.copy = &outgoingCopy{notBefore: r.now + copyRetryInterval}
	}
}

// resetPeerTimers restarts the timeouts of all peers after the owner itself was paused
// or without a lease, because their replies may not have been processed yet.
func (o *owner) resetPeerTimers(now time.Duration) {
	for _, p := range o.peers {
		p.lagSince, p.lastReplyAt = now, now
	}
}

// checkPeers marks in-sync and required peers as suspect if they do not acknowledge or
// reply in time. A suspect that is not in sync is no longer required. A joining peer
// that does not reply starts again with a new copy, so that the log can be compacted.
func (r *Replica) checkPeers() {
	for _, p := range r.owner.peers {
		late := p.lagging && r.now-p.lagSince >= AcknowledgeTimeout
		silent := r.now-p.lastReplyAt >= AcknowledgeTimeout+HeartbeatInterval
		switch {
		case (p.inSync || p.required) && (late || silent) && !p.suspect:
			p.suspect = true
			r.logEvent(LogEvent{Name: "replica_suspected", Peer: p.ref, Sequence: p.acked, Warning: true})
		case !p.inSync && !p.required && r.now-p.lastReplyAt >= joinerTimeout && (p.copy == nil || p.copy.id > 0):
			r.startCopy(p)
			p.copy.notBefore = r.now + copyRetryInterval
		}
		if p.suspect && p.required {
			p.required = false
			p.suspect = false
		}
	}
}

// openProposals are the proposed assignments that control may still commit.
type openProposals struct {
	base    uint64        // version that the proposals follow; 0 if there are none
	members []fleet.VMRef // union of the proposed in-sync sets
	sentAt  time.Duration
	last    fleet.Assignment // latest proposal
}

// resolve clears the proposals once a later version is known: only one of the
// proposals that follow a version can be committed.
func (p *openProposals) resolve(version uint64) {
	if version > p.base {
		*p = openProposals{}
	}
}

func (p *openProposals) includes(ref fleet.VMRef) bool { return slices.Contains(p.members, ref) }

// proposalRetryInterval is the time between two proposals to control.
const proposalRetryInterval = 300 * time.Millisecond

// proposeAssignment proposes to control the desired in-sync set, or the next owner.
// While the result of an earlier proposal is unknown, it keeps proposing, even the
// current set: the commit of any proposal rules out the others.
func (r *Replica) proposeAssignment() {
	o := r.owner
	desired := r.desiredAssignment()
	open := o.proposals.base != 0
	if !open && sameMembers(desired.InSync, r.assignment.InSync) && desired.Owner == r.self {
		return
	}
	if open && r.now-o.proposals.sentAt < proposalRetryInterval {
		return
	}
	o.proposals.base, o.proposals.sentAt, o.proposals.last = r.assignment.Version, r.now, desired
	for _, ref := range desired.InSync {
		if !o.proposals.includes(ref) {
			o.proposals.members = append(o.proposals.members, ref)
		}
	}
	r.emit(ProposeAssignment{desired})
}

// desiredAssignment returns the assignment to propose: the in-sync set without suspects
// and with the replicas that caught up, and the successor during a handover.
func (r *Replica) desiredAssignment() fleet.Assignment {
	a := r.assignment
	a.Version++
	a.InSync = []fleet.VMRef{r.self}
	successor, leaving := r.successor()
	for _, p := range r.owner.peers {
		joinIndex := max(p.requiredFrom, p.copyEnd)
		joined := p.required && p.acked >= joinIndex && r.commit >= joinIndex
		// Control refuses a new in-sync replica in a change of the owner.
		if p.inSync && !p.suspect || joined && !leaving {
			a.InSync = append(a.InSync, p.ref)
		}
	}
	if leaving {
		a.Owner = successor
		a.Epoch++
	}
	return a
}

// successor returns the replica that a handover moves the shard to. It holds every
// record and, if possible, is on a VM that is not draining.
func (r *Replica) successor() (successor fleet.VMRef, ok bool) {
	if !r.owner.handingOver || r.commit < r.log.last() {
		return successor, false
	}
	for _, p := range r.owner.peers {
		vm := r.view.VMs[p.ref.ID]
		if !p.inSync || p.suspect || !p.caughtUp(r.log.last()) {
			continue
		}
		if !ok || !vm.Draining {
			successor, ok = p.ref, true
		}
		if !vm.Draining {
			break
		}
	}
	return successor, ok
}

// sameMembers reports whether a and b are the same set of VMs.
func sameMembers(a, b []fleet.VMRef) bool {
	if len(a) != len(b) {
		return false
	}
	for _, ref := range a {
		if !slices.Contains(b, ref) {
			return false
		}
	}
	return true
}

// handleProposalDone applies a proposed assignment that control committed.
func (r *Replica) handleProposalDone(e ProposalDone) {
	if e.Committed {
		r.applyAssignment(e.Assignment)
	}
}
