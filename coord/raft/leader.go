package raft

import (
	"slices"
	"time"
)

// progress is the leader's replication state for one member.
type progress struct {
	// match is the highest index that is known to be durable on the member.
	match uint64
	// next is the index of the first entry of the next append.
	next uint64
	// inFlight is true while an append or a snapshot chunk awaits its response;
	// at most one of them is outstanding per member.
	inFlight bool
	// sentIndex is the last index covered by the outstanding append or snapshot.
	sentIndex uint64
	// sentAt is the time at which it was sent; it is sent again after a heartbeat interval.
	sentAt time.Duration
	// lastContact is the time of the member's last response, or of the start of its replication
	// if heard is not set.
	lastContact time.Duration
	// heard is set once the member has responded.
	heard bool
	// round is the latest confirmation round that the member acknowledged.
	round uint64
	// snapshot is the snapshot in transfer, or nil, and offset is the position
	// of the chunk that is sent next or is in flight.
	snapshot *Snapshot
	offset   uint64
}

// addProgress starts replication to a member after the last entry of the log. Until
// the member is heard, its silence counts from now on.
func (n *Node) addProgress(id ReplicaID) {
	n.progress[id] = &progress{next: n.log.lastIndex() + 1, lastContact: n.now}
}

// tickLeader steps down if the leader has lost contact with a quorum. Otherwise
// it sends due heartbeats and promotes a learner that has caught up. It returns
// the reason for stepping down, or "".
func (n *Node) tickLeader() string {
	if !n.hasActiveQuorum(n.configuration()) {
		n.becomeFollower(n.hardState.Term, ReplicaID{})
		return "no contact with a quorum"
	}
	if n.now >= n.nextHeartbeat {
		n.broadcastHeartbeat()
	}
	n.promoteLearner()
	return ""
}

// hasActiveQuorum reports whether a quorum of c's voters, including this replica
// if it is one, responded within the maximum election timeout.
func (n *Node) hasActiveQuorum(c Configuration) bool {
	active := 0
	for _, m := range c.Members {
		if m.Learner {
			continue
		}
		pr := n.progress[m.ReplicaID]
		if m.ReplicaID == n.cfg.ID || (pr != nil && n.now-pr.lastContact < n.cfg.ElectionTimeoutMax) {
			active++
		}
	}
	return active >= c.Quorum()
}

// hearsQuorum reports whether a quorum of c's voters, including this replica if it is
// one, is known to respond. A voter that this leader has not heard may be gone.
func (n *Node) hearsQuorum(c Configuration) bool {
	heard := Configuration{Members: slices.DeleteFunc(slices.Clone(c.Members), func(m Member) bool {
		pr := n.progress[m.ReplicaID]
		return m.ReplicaID != n.cfg.ID && (pr == nil || !pr.heard || n.now-pr.lastContact >= n.cfg.ElectionTimeoutMax)
	})}
	return heard.Voters() >= c.Quorum()
}

// propose appends a command if this replica is the leader.
func (n *Node) propose(ev Propose) {
	if n.role != Leader {
		n.emit(Rejected{ev.Token, ErrNotLeader})
		return
	}
	index := n.appendAsLeader(EntryCommand, ev.Data)
	n.emit(Accepted{ev.Token, index, n.hardState.Term})
	n.broadcastAppend()
}

// appendAsLeader appends one entry of the current term to the leader's log and
// returns its index.
func (n *Node) appendAsLeader(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.hardState.Term, Kind: kind, Data: data}
	entries := []Entry{e}
	n.log.append(entries)
	n.emit(Persist{Entries: entries})
	return e.Index
}

// broadcastAppend sends new entries to every member that has no outstanding
// append or snapshot chunk, and commits the entries that are already durable on a quorum.
func (n *Node) broadcastAppend() {
	for _, m := range n.configuration().Members {
		pr := n.progress[m.ReplicaID]
		if m.ReplicaID != n.cfg.ID && !pr.inFlight {
			n.sendAppend(m.ReplicaID, pr)
		}
	}
	n.advanceCommit()
}

// broadcastHeartbeat sends a heartbeat to every other member and schedules the
// next one.
func (n *Node) broadcastHeartbeat() {
	n.nextHeartbeat = n.now + n.cfg.HeartbeatInterval
	for _, m := range n.configuration().Members {
		if m.ReplicaID != n.cfg.ID {
			n.sendHeartbeat(m.ReplicaID, n.progress[m.ReplicaID])
		}
	}
}

// sendHeartbeat sends a heartbeat to a member. The commit index in it does not
// exceed the member's match index, because the member's log may differ beyond
// that.
func (n *Node) sendHeartbeat(id ReplicaID, pr *progress) {
	n.send(id, Message{Kind: MessageHeartbeat, Commit: min(pr.match, n.commit), Round: n.reads.round})
}

// sendAppend sends the entries from the member's next index on, or a snapshot
// chunk if a transfer is in progress or the log no longer contains the entry
// before them.
func (n *Node) sendAppend(id ReplicaID, pr *progress) {
	previous := pr.next - 1
	term, ok := n.log.term(previous)
	if !ok || pr.snapshot != nil {
		n.sendSnapshot(id, pr)
		return
	}
	entries := n.log.batch(pr.next, n.cfg.MaxBatchEntries, n.cfg.MaxBatchBytes)
	pr.inFlight, pr.sentAt, pr.sentIndex = true, n.now, previous+uint64(len(entries))
	n.send(id, Message{Kind: MessageAppend, Index: previous, LogTerm: term, Entries: entries, Commit: n.commit, Round: n.reads.round})
}

// sendSnapshot sends the next chunk of the snapshot in transfer, and starts a
// transfer of the latest snapshot if there is none.
func (n *Node) sendSnapshot(id ReplicaID, pr *progress) {
	if pr.snapshot == nil {
		pr.snapshot, pr.offset = n.snapshot, 0
	}
	total := uint64(len(pr.snapshot.Data))
	end := min(total, pr.offset+uint64(n.cfg.SnapshotChunkBytes))
	chunk := &SnapshotChunk{SnapshotMeta: pr.snapshot.SnapshotMeta, Offset: pr.offset, Total: total, Data: pr.snapshot.Data[pr.offset:end]}
	pr.inFlight, pr.sentAt, pr.sentIndex = true, n.now, pr.snapshot.Index
	n.send(id, Message{Kind: MessageSnapshot, Chunk: chunk, Round: n.reads.round})
}

// handleMemberResponse processes a response to a heartbeat, an append or a
// snapshot chunk.
func (n *Node) handleMemberResponse(m Message) {
	pr := n.progress[m.From]
	if n.role != Leader || pr == nil {
		return
	}
	pr.lastContact, pr.heard = n.now, true
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

// resend sends missing entries to a member, unless an append or chunk is
// outstanding that was sent less than a heartbeat interval ago.
func (n *Node) resend(id ReplicaID, pr *progress) {
	if pr.inFlight && n.now-pr.sentAt < n.cfg.HeartbeatInterval {
		return
	}
	if pr.match < n.log.lastIndex() {
		n.sendAppend(id, pr)
	}
}

// handleAppendResponse advances the member's match index and the commit index,
// sends further entries if the member lacks any and may promote a learner.
func (n *Node) handleAppendResponse(m Message, pr *progress) {
	if m.Rejected {
		n.decreaseNext(m, pr)
		return
	}
	// A response to an earlier append must not clear the outstanding one: each
	// duplicate response would start another concurrent sequence of appends.
	if m.Index >= pr.sentIndex {
		pr.inFlight = false
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
	if !pr.inFlight && pr.match < n.log.lastIndex() {
		n.sendAppend(m.From, pr)
	}
	n.promoteLearner()
}

// decreaseNext handles a rejected append. It sets next to the index after the
// leader's last entry of the conflicting term or, if the leader has none, to the
// follower's first entry of that term. This skips a whole term per rejection.
// Rejections of anything but the latest append are ignored.
func (n *Node) decreaseNext(m Message, pr *progress) {
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

// handleSnapshotResponse sends the chunk that the member requests. It ignores a
// request for the chunk that is already outstanding, unless that is the first one.
func (n *Node) handleSnapshotResponse(m Message, pr *progress) {
	if pr.snapshot == nil || m.Index != pr.snapshot.Index || m.Offset > uint64(len(pr.snapshot.Data)) {
		return
	}
	if m.Offset == pr.offset && pr.inFlight && m.Offset != 0 {
		return
	}
	pr.offset = m.Offset
	n.sendSnapshot(m.From, pr)
}

// advanceCommit commits entries of the current term that are durable on a
// quorum. Entries of earlier terms are committed only together with one of the
// current term, because being durable on a quorum does not protect them from
// being overwritten by a later leader.
func (n *Node) advanceCommit() {
	c := n.configuration()
	matchIndexes := n.matchIndexes[:0]
	for _, m := range c.Members {
		switch {
		case m.Learner:
		case m.ReplicaID == n.cfg.ID:
			matchIndexes = append(matchIndexes, n.log.lastIndex())
		default:
			matchIndexes = append(matchIndexes, n.progress[m.ReplicaID].match)
		}
	}
	n.matchIndexes = matchIndexes
	slices.Sort(matchIndexes)
	index := matchIndexes[len(matchIndexes)-c.Quorum()]
	if term, ok := n.log.term(index); index <= n.commit || !ok || term != n.hardState.Term {
		return
	}
	n.commitTo(index)
	n.startReadRound()
	n.stepDownIfRemoved()
}
