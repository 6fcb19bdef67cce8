package raft

import (
	"slices"
	"time"
)

// progress is what the leader knows about one member.
type progress struct {
	// match is the last entry that is known to be durable on the member.
	match uint64
	// next is the first entry of the next append.
	next uint64
	// waiting is set from a send until its answer; at most one append or chunk is under way.
	waiting bool
	// sent is the last entry of the append under way.
	sent uint64
	// sentAt is when it was sent; it is repeated after a heartbeat interval.
	sentAt time.Duration
	// contact is when the member last answered.
	contact time.Duration
	// round is the latest confirmation round that the member answered.
	round uint64
	// snapshot is under transfer, if not nil, and offset is its next byte.
	snapshot *Snapshot
	offset   uint64
}

func (n *Node) addProgress(id ReplicaID) {
	n.progress[id] = &progress{next: n.log.lastIndex() + 1, contact: n.now}
}

// tickLeader steps down without a quorum and sends heartbeats.
func (n *Node) tickLeader() string {
	if !n.hasActiveQuorum(n.configuration()) {
		n.becomeFollower(n.hard.Term, ReplicaID{})
		return "no contact with a quorum"
	}
	if n.now >= n.nextHeartbeat {
		n.broadcastHeartbeat()
	}
	n.promoteLearner()
	return ""
}

// hasActiveQuorum reports whether a quorum of c's voters answered recently.
func (n *Node) hasActiveQuorum(c Configuration) bool {
	active := 0
	for _, m := range c.Members {
		if m.Learner {
			continue
		}
		pr := n.progress[m.ReplicaID]
		if m.ReplicaID == n.cfg.ID || (pr != nil && n.now-pr.contact < n.cfg.ElectionTimeoutMax) {
			active++
		}
	}
	return active >= c.Quorum()
}

func (n *Node) propose(ev Propose) {
	if n.role != Leader {
		n.emit(Rejected{ev.Token, ErrNotLeader})
		return
	}
	index := n.appendAsLeader(EntryCommand, ev.Data)
	n.emit(Accepted{ev.Token, index, n.hard.Term})
	n.broadcastAppend()
}

// appendAsLeader appends one entry of the current term and returns its index.
func (n *Node) appendAsLeader(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	entries := []Entry{e}
	n.log.append(entries)
	n.emit(Persist{Entries: entries})
	return e.Index
}

// broadcastAppend sends new entries to every member without an append under
// way and commits what is already durable on a quorum.
func (n *Node) broadcastAppend() {
	for _, m := range n.configuration().Members {
		pr := n.progress[m.ReplicaID]
		if m.ReplicaID != n.cfg.ID && !pr.waiting {
			n.sendAppend(m.ReplicaID, pr)
		}
	}
	n.advanceCommit()
}

func (n *Node) broadcastHeartbeat() {
	n.nextHeartbeat = n.now + n.cfg.HeartbeatInterval
	for _, m := range n.configuration().Members {
		if m.ReplicaID != n.cfg.ID {
			n.sendHeartbeat(m.ReplicaID, n.progress[m.ReplicaID])
		}
	}
}

// sendHeartbeat bounds the commit index by the match index, because the
// member's log beyond it may differ.
func (n *Node) sendHeartbeat(id ReplicaID, pr *progress) {
	n.send(id, Message{Kind: MessageHeartbeat, Commit: min(pr.match, n.commit), Round: n.reads.round})
}

func (n *Node) sendAppend(id ReplicaID, pr *progress) {
	previous := pr.next - 1
	term, ok := n.log.term(previous)
	if !ok || pr.snapshot != nil {
		n.sendSnapshot(id, pr)
		return
	}
	entries := n.log.batch(pr.next, n.cfg.MaxBatchEntries, n.cfg.MaxBatchBytes)
	pr.waiting, pr.sentAt, pr.sent = true, n.now, previous+uint64(len(entries))
	n.send(id, Message{Kind: MessageAppend, Index: previous, LogTerm: term, Entries: entries, Commit: n.commit, Round: n.reads.round})
}

func (n *Node) sendSnapshot(id ReplicaID, pr *progress) {
	if pr.snapshot == nil {
		pr.snapshot, pr.offset = n.snapshot, 0
	}
	total := uint64(len(pr.snapshot.Data))
	end := min(total, pr.offset+uint64(n.cfg.SnapshotChunkBytes))
	chunk := &SnapshotChunk{SnapshotMeta: pr.snapshot.SnapshotMeta, Offset: pr.offset, Total: total, Data: pr.snapshot.Data[pr.offset:end]}
	pr.waiting, pr.sentAt, pr.sent = true, n.now, pr.snapshot.Index
	n.send(id, Message{Kind: MessageSnapshot, Chunk: chunk, Round: n.reads.round})
}

// handleFromFollower processes the answers of members.
func (n *Node) handleFromFollower(m Message) {
	pr := n.progress[m.From]
	if n.role != Leader || pr == nil {
		return
	}
	pr.contact = n.now
	pr.round = max(pr.round, m.Round)
	switch m.Kind {
	case MessageHeartbeatResponse:
		n.resend(m.From, pr)
	case MessageAppendResponse:
		n.handleAppendResponse(m, pr)
	case MessageSnapshotResponse:
		n.handleSnapshotResponse(m, pr)
	}
	n.confirmReads()
}

// resend repeats an append or chunk whose answer is overdue.
func (n *Node) resend(id ReplicaID, pr *progress) {
	if pr.waiting && n.now-pr.sentAt < n.cfg.HeartbeatInterval {
		return
	}
	if pr.match < n.log.lastIndex() {
		n.sendAppend(id, pr)
	}
}

func (n *Node) handleAppendResponse(m Message, pr *progress) {
	if m.Rejected {
		n.backOff(m, pr)
		return
	}
	// An answer that is older than the append under way must not release it:
	// each duplicate would start one more chain of appends.
	if m.Index >= pr.sent {
		pr.waiting = false
	}
	if m.Index > pr.match {
		pr.match = m.Index
		pr.next = max(pr.next, pr.match+1)
		n.advanceCommit()
	}
	if n.role != Leader || n.progress[m.From] != pr {
		return
	}
	if pr.snapshot != nil && pr.match >= pr.snapshot.Index {
		pr.snapshot = nil
	}
	if !pr.waiting && pr.match < n.log.lastIndex() {
		n.sendAppend(m.From, pr)
	}
	n.promoteLearner()
}

// backOff moves next to the last index at which the logs may agree: behind the
// leader's last entry of the conflicting term or, if it has none, to the first
// entry of that term on the follower. It skips a whole term per rejection.
func (n *Node) backOff(m Message, pr *progress) {
	if pr.snapshot != nil || m.Previous != pr.next-1 || m.Previous <= pr.match {
		return
	}
	next := m.Index
	if m.LogTerm != 0 {
		if index, ok := n.log.lastOfTerm(m.LogTerm, m.Previous); ok {
			next = index + 1
		}
	}
	pr.next = max(pr.match+1, min(next, m.Previous))
	n.sendAppend(m.From, pr)
}

func (n *Node) handleSnapshotResponse(m Message, pr *progress) {
	if pr.snapshot == nil || m.Index != pr.snapshot.Index || m.Offset > uint64(len(pr.snapshot.Data)) {
		return
	}
	if m.Offset == pr.offset && pr.waiting && m.Offset != 0 {
		return
	}
	pr.offset = m.Offset
	n.sendSnapshot(m.From, pr)
}

// advanceCommit commits entries of the current term that are durable on a
// quorum. Entries of earlier terms are only committed together with them,
// because a quorum alone does not protect those from being overwritten.
func (n *Node) advanceCommit() {
	c := n.configuration()
	matches := n.matches[:0]
	for _, m := range c.Members {
		switch {
		case m.Learner:
		case m.ReplicaID == n.cfg.ID:
			matches = append(matches, n.log.lastIndex())
		default:
			matches = append(matches, n.progress[m.ReplicaID].match)
		}
	}
	n.matches = matches
	slices.Sort(matches)
	index := matches[len(matches)-c.Quorum()]
	if term, ok := n.log.term(index); index <= n.commit || !ok || term != n.hard.Term {
		return
	}
	n.commitTo(index)
	n.startReads()
	n.stepDownIfRemoved()
}
