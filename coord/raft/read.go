package raft

// pendingRead is a read barrier that waits for confirmation.
type pendingRead struct {
	token uint64
	// round must be answered by a quorum; it began after the request.
	round uint64
	// index is the commit index at the time of the request.
	index uint64
}

// readQueue shares confirmation rounds between reads. While a round is under
// way, new reads wait for the next one, because the answers to the current
// round may have been sent before they arrived.
type readQueue struct {
	// round is the latest round that was sent.
	round uint64
	// confirmed is the latest round that a quorum answered.
	confirmed uint64
	pending   []pendingRead
}

func (n *Node) readIndex(ev ReadIndex) {
	if n.role != Leader {
		n.emit(Rejected{ev.Token, ErrNotLeader})
		return
	}
	n.reads.pending = append(n.reads.pending, pendingRead{ev.Token, n.reads.round + 1, n.commit})
	n.startReads()
}

// startReads begins a round if none is under way and a read waits for one. The
// commit index is known to cover all earlier terms only once an entry of the
// own term is committed; until then reads wait.
func (n *Node) startReads() {
	q := &n.reads
	if n.role != Leader || len(q.pending) == 0 || q.confirmed != q.round || n.commit < n.termStart {
		return
	}
	q.round++
	for i := range q.pending {
		q.pending[i].index = max(q.pending[i].index, n.commit)
	}
	n.broadcastHeartbeat()
	n.confirmReads()
}

// confirmReads answers the reads whose round a quorum has answered.
func (n *Node) confirmReads() {
	q := &n.reads
	if n.role != Leader || q.confirmed == q.round || !n.roundConfirmed() {
		return
	}
	q.confirmed = q.round
	var ready ReadReady
	rest := q.pending[:0]
	for _, r := range q.pending {
		if r.round > q.confirmed {
			rest = append(rest, r)
			continue
		}
		ready.Tokens = append(ready.Tokens, r.token)
		ready.Index = max(ready.Index, r.index)
	}
	q.pending = rest
	if len(ready.Tokens) > 0 {
		n.emit(ready)
	}
	n.startReads()
}

func (n *Node) roundConfirmed() bool {
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

func (n *Node) rejectReads() {
	for _, r := range n.reads.pending {
		n.emit(Rejected{r.token, ErrNotLeader})
	}
	n.reads = readQueue{}
}
