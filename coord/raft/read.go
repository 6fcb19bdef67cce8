package raft

// pendingRead is a read barrier that waits for a confirmation of leadership.
type pendingRead struct {
	token uint64
	// round is the confirmation round that a quorum must acknowledge; it starts
	// after the request.
	round uint64
	// index is the commit index at the request, or a later one at the start of
	// a round.
	index uint64
}

// readQueue holds the pending reads, which share confirmation rounds: each round
// is a set of heartbeats that a quorum must acknowledge. Reads that arrive during
// a round wait for the next one, because the responses to the current round may
// have been sent before the reads arrived.
type readQueue struct {
	// round is the latest round that was sent.
	round uint64
	// confirmed is the latest round that a quorum acknowledged.
	confirmed uint64
	pending   []pendingRead
}

// readIndex queues a read barrier if this replica is the leader.
func (n *Node) readIndex(ev ReadIndex) {
	if n.role != Leader {
		n.emit(Rejected{ev.Token, ErrNotLeader})
		return
	}
	n.reads.pending = append(n.reads.pending, pendingRead{ev.Token, n.reads.round + 1, n.commit})
	n.startReadRound()
}

// startReadRound starts a confirmation round if a read waits and no round is in
// progress. Reads wait until an entry of the current term is committed, because
// only then is the commit index known to cover all entries committed in earlier
// terms.
func (n *Node) startReadRound() {
	reads := &n.reads
	if n.role != Leader || len(reads.pending) == 0 || reads.confirmed != reads.round || n.commit < n.termStartIndex {
		return
	}
	reads.round++
	for i := range reads.pending {
		reads.pending[i].index = max(reads.pending[i].index, n.commit)
	}
	n.broadcastHeartbeat()
	n.confirmReads()
}

// confirmReads completes the reads whose round a quorum has acknowledged and
// starts the next round.
func (n *Node) confirmReads() {
	reads := &n.reads
	if n.role != Leader || reads.confirmed == reads.round || !n.hasRoundQuorum() {
		return
	}
	reads.confirmed = reads.round
	var ready ReadReady
	remaining := reads.pending[:0]
	for _, r := range reads.pending {
		if r.round > reads.confirmed {
			remaining = append(remaining, r)
			continue
		}
		ready.Tokens = append(ready.Tokens, r.token)
		ready.Index = max(ready.Index, r.index)
	}
	reads.pending = remaining
	if len(ready.Tokens) > 0 {
		n.emit(ready)
	}
	n.startReadRound()
}

// hasRoundQuorum reports whether a quorum of the voters, including this replica
// if it is one, acknowledged the latest round.
func (n *Node) hasRoundQuorum() bool {
	c := n.configuration()
	count := 0
	for _, m := range c.Members {
		if m.Learner {
			continue
		}
		if m.ReplicaID == n.cfg.ID || n.progress[m.ReplicaID].round >= n.reads.round {
			count++
		}
	}
	return count >= c.Quorum()
}

// rejectReads rejects all pending reads when the replica stops being the leader.
func (n *Node) rejectReads() {
	for _, r := range n.reads.pending {
		n.emit(Rejected{r.token, ErrNotLeader})
	}
	n.reads = readQueue{}
}
