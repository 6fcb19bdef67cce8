package shard

import (
	"slices"
	"time"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
)

// outgoingCopy is a full copy that is being sent.
type outgoingCopy struct {
	id         uint64
	start      uint64
	startEpoch uint64
	refs       []program.Ref // programs that remain
	message    *Copy         // the part in flight, which is repeated unchanged
	covered    int           // programs in that part
	part       int
	notBefore  time.Duration // earliest time to start again after a failure
}

const (
	// joinLag is the number of missing records at which a joining replica counts as caught up.
	joinLag = 64
	// joinerTimeout is how long the owner keeps records for a joining replica that does not answer.
	joinerTimeout = 3 * time.Second
	// copyRetryInterval is the time between two attempts to copy.
	copyRetryInterval = time.Second
)

// header returns the header of a message to a peer.
func (r *Replica) header(to fleet.VMRef) Header {
	return Header{Shard: r.shard, From: r.self, To: to, Epoch: r.epoch, Version: r.assignment.Version, Time: r.shardTime()}
}

// send sends what a peer lacks. One message at a time is in flight, so records
// that are written meanwhile go into the next one together.
func (r *Replica) send(p *peer) {
	if p.inFlight && r.now-p.sentAt < p.resendDelay() {
		return
	}
	if p.copy != nil {
		r.sendCopy(p)
		return
	}
	last := r.log.last()
	if p.next > last && r.now-p.sentAt < HeartbeatInterval && p.number > 0 {
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
	r.emit(SendAppend{p.ref, p.number, m})
}

// resendDelay is how long an unanswered message blocks the next one.
func (p *peer) resendDelay() time.Duration {
	if p.copy != nil {
		return copyRetryInterval
	}
	return resendInterval
}

func (r *Replica) markSent(p *peer) {
	p.number++
	p.inFlight, p.sentAt = true, r.now
}

func (r *Replica) appendAnswered(e AppendAnswered) {
	p := r.answered(e.From, e.Epoch, e.Number, e.Reply != nil)
	if p == nil || p.copy != nil {
		return
	}
	switch e.Reply.Status {
	case OK:
		r.acknowledged(p, e.Reply.Last)
	case Stale:
		r.superseded(e.Reply.Epoch)
	case Gap:
		p.next = min(p.next, e.Reply.Last+1)
	case NeedCopy:
		r.startCopy(p)
	}
}

// answered returns the peer that an answer comes from, or nil if there is no
// answer: the next attempt then waits as if the message were still in flight. An
// answer to an earlier message remains true, because a replica drops records only
// for a copy that contains them, or when it leaves the shard.
func (r *Replica) answered(from fleet.VMRef, epoch, number uint64, ok bool) *peer {
	if r.owner == nil || epoch != r.epoch || !ok {
		return nil
	}
	p := r.owner.peer(from)
	if p == nil {
		return nil
	}
	if number == p.number {
		p.inFlight = false
	}
	p.heardAt = r.now
	return p
}

func (r *Replica) acknowledged(p *peer, last uint64) {
	if last > p.acked {
		p.acked = last
		p.lagging, p.lagSince = p.acked < r.log.last(), r.now
	}
	p.next = max(p.next, p.acked+1)
	if p.caughtUp(r.log.last()) {
		p.suspect = false
	}
	if !p.inSync && !p.required && p.acked+joinLag >= r.log.last() {
		p.required, p.joinedAt = true, r.log.last()
		r.note(Note{Name: "replica_caught_up", Peer: p.ref, Sequence: p.acked})
	}
}

// superseded resigns, because a replica knows a later epoch.
func (r *Replica) superseded(epoch uint64) {
	if epoch > r.epoch {
		r.resign()
		r.epoch = epoch
	}
}

// startCopy prepares a full copy; acknowledgements of the peer's old log no longer count.
func (r *Replica) startCopy(p *peer) {
	p.acked, p.required = 0, false
	p.copy = &outgoingCopy{}
	p.inFlight = false
	if !p.lagging {
		p.lagging, p.lagSince = true, r.now
	}
}

func (r *Replica) sendCopy(p *peer) {
	c := p.copy
	if r.now < c.notBefore {
		return
	}
	if c.id == 0 {
		r.owner.copies++
		c.id, c.start, c.startEpoch = r.owner.copies, r.log.last(), r.log.lastEpoch()
		c.refs = r.table.Refs()
	}
	if c.message == nil {
		r.nextPart(p)
	}
	r.markSent(p)
	r.emit(SendCopy{p.ref, p.number, *c.message})
}

func (r *Replica) nextPart(p *peer) {
	c := p.copy
	m := &Copy{Header: r.header(p.ref), ID: c.id, Part: c.part, Start: c.start, StartEpoch: c.startEpoch}
	m.Images, c.covered = r.table.Export(c.refs, r.partBytes)
	if m.Final = c.covered == len(c.refs); m.Final {
		m.End, m.Suspects = r.log.last(), r.table.ExportSuspects()
		p.copyEnd = m.End
	}
	c.message = m
}

func (r *Replica) copyAnswered(e CopyAnswered) {
	p := r.answered(e.From, e.Epoch, e.Number, e.Reply != nil)
	if p == nil || p.copy == nil {
		return
	}
	c := p.copy
	switch {
	case e.Reply.Status == Stale:
		r.superseded(e.Reply.Epoch)
	case e.Reply.Status == OK && (e.Reply.ID != c.id || e.Reply.Part != c.part):
		// The answer to an earlier delivery of a part.
	case e.Reply.Status == OK && c.message.Final:
		p.copy, p.next = nil, c.start+1
		r.note(Note{Name: "replica_copied", Peer: p.ref, Sequence: p.copyEnd})
		r.acknowledged(p, c.start)
	case e.Reply.Status == OK:
		c.refs, c.message = c.refs[c.covered:], nil
		c.part++
	default:
		p.copy = &outgoingCopy{notBefore: r.now + copyRetryInterval}
	}
}

// resetPeerTimers restarts the timers of all replicas after a pause of the owner
// itself: their answers may still wait to be read.
func (o *owner) resetPeerTimers(now time.Duration) {
	for _, p := range o.peers {
		p.lagSince, p.heardAt = now, now
	}
}

// judgePeers finds replicas that do not acknowledge in time.
func (r *Replica) judgePeers() {
	for _, p := range r.owner.peers {
		late := p.lagging && r.now-p.lagSince >= AcknowledgeTimeout
		silent := r.now-p.heardAt >= AcknowledgeTimeout+HeartbeatInterval
		switch {
		case (p.inSync || p.required) && (late || silent) && !p.suspect:
			p.suspect = true
			r.note(Note{Name: "replica_suspected", Peer: p.ref, Sequence: p.acked, Warning: true})
		case !p.inSync && !p.required && r.now-p.heardAt >= joinerTimeout && (p.copy == nil || p.copy.id > 0):
			r.startCopy(p)
			p.copy.notBefore = r.now + copyRetryInterval
		}
		if p.suspect && p.required {
			p.required = false
			p.suspect = false
		}
	}
}

// asks are the changes of the in-sync set that control may still commit.
type asks struct {
	base    uint64 // version that the asks follow; 0: none
	members []fleet.VMRef
	sentAt  time.Duration
	last    fleet.Assignment
}

// resolve forgets the asks once a later version is known: only one of the
// changes that follow a version can be committed.
func (a *asks) resolve(version uint64) {
	if version > a.base {
		*a = asks{}
	}
}

func (a *asks) names(ref fleet.VMRef) bool { return slices.Contains(a.members, ref) }

// askRetryInterval is the time between two proposals to control.
const askRetryInterval = 300 * time.Millisecond

// askControl proposes the in-sync set that the owner wants, or the next owner.
// While the result of an earlier proposal is open, it proposes again, even if the
// set is the current one: any committed change settles the matter.
func (r *Replica) askControl() {
	o := r.owner
	want := r.wanted()
	open := o.asks.base != 0
	if !open && sameMembers(want.InSync, r.assignment.InSync) && want.Owner == r.self {
		return
	}
	if open && r.now-o.asks.sentAt < askRetryInterval {
		return
	}
	o.asks.base, o.asks.sentAt, o.asks.last = r.assignment.Version, r.now, want
	for _, ref := range want.InSync {
		if !o.asks.names(ref) {
			o.asks.members = append(o.asks.members, ref)
		}
	}
	r.emit(Ask{want})
}

// wanted returns the assignment that the owner would like to have.
func (r *Replica) wanted() fleet.Assignment {
	a := r.assignment
	a.Version++
	a.InSync = []fleet.VMRef{r.self}
	heir, leaving := r.heir()
	for _, p := range r.owner.peers {
		held := max(p.joinedAt, p.copyEnd)
		joined := p.required && p.acked >= held && r.commit >= held
		// Control refuses a replica that joins while the owner changes.
		if p.inSync && !p.suspect || joined && !leaving {
			a.InSync = append(a.InSync, p.ref)
		}
	}
	if leaving {
		a.Owner = heir
		a.Epoch++
	}
	return a
}

// heir returns the replica to which a handover moves the shard: it holds every
// record and, if possible, is not about to stop itself.
func (r *Replica) heir() (heir fleet.VMRef, ok bool) {
	if !r.owner.frozen || r.commit < r.log.last() {
		return heir, false
	}
	for _, p := range r.owner.peers {
		vm := r.view.VMs[p.ref.ID]
		if !p.inSync || p.suspect || !p.caughtUp(r.log.last()) {
			continue
		}
		if !ok || !vm.Draining {
			heir, ok = p.ref, true
		}
		if !vm.Draining {
			break
		}
	}
	return heir, ok
}

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

// asked handles control's answer.
func (r *Replica) asked(e Asked) {
	if e.Committed {
		r.assign(e.Assignment)
	}
}
