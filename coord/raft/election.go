package raft

// campaign starts a pre-vote.
func (n *Node) campaign() {
	n.resetDeadline()
	if !n.mayLead() {
		n.becomeFollower(n.hard.Term, ReplicaID{})
		return
	}
	n.role, n.leader = PreCandidate, ReplicaID{}
	n.requestVotes(MessagePreVote, n.hard.Term+1)
}

// mayLead reports whether the replica is a voter, or is one until its removal is
// committed. In the latter case its log may be the longest one, without which
// no other voter can win; it then leads without counting itself.
func (n *Node) mayLead() bool {
	return n.configuration().IsVoter(n.cfg.ID) || n.configurationAsOf(n.commit).IsVoter(n.cfg.ID)
}

func (n *Node) startElection() {
	n.resetDeadline()
	n.role = Candidate
	n.hard = HardState{Term: n.hard.Term + 1, Vote: n.cfg.ID}
	n.requestVotes(MessageVote, n.hard.Term)
}

func (n *Node) requestVotes(kind MessageKind, term uint64) {
	n.votes = map[ReplicaID]bool{n.cfg.ID: true}
	if n.tallied(true) {
		n.advanceElection()
		return
	}
	last := n.log.last()
	for _, m := range n.configuration().Members {
		if !m.Learner && m.ReplicaID != n.cfg.ID {
			n.send(m.ReplicaID, Message{Kind: kind, Term: term, Index: last.index, LogTerm: last.term})
		}
	}
}

// hearsLeader reports whether the replica follows or is a live leader. Such a
// replica ignores elections, so that a voter that only lost contact itself
// cannot depose the leader.
func (n *Node) hearsLeader() bool {
	if n.role == Leader {
		return true
	}
	return !n.leader.IsZero() && n.now-n.leaderContact < n.cfg.ElectionTimeoutMin
}

// handleVoteRequest does not look at the own configuration: it may be older
// than the candidate's, which counts only its own voters.
func (n *Node) handleVoteRequest(m Message) {
	last := n.log.last()
	upToDate := m.LogTerm > last.term || (m.LogTerm == last.term && m.Index >= last.index)
	if m.Kind == MessagePreVote {
		if upToDate && m.Term > n.hard.Term && !n.hearsLeader() {
			n.send(m.From, Message{Kind: MessagePreVoteResponse, Term: m.Term})
			return
		}
		n.send(m.From, Message{Kind: MessagePreVoteResponse, Rejected: true})
		return
	}
	free := n.hard.Vote.IsZero() || n.hard.Vote == m.From
	if !upToDate || !free {
		n.send(m.From, Message{Kind: MessageVoteResponse, Rejected: true})
		return
	}
	n.hard.Vote = m.From
	n.resetDeadline()
	n.send(m.From, Message{Kind: MessageVoteResponse})
}

func (n *Node) handleVoteResponse(m Message) {
	preVote := m.Kind == MessagePreVoteResponse
	term := n.hard.Term
	if preVote && !m.Rejected {
		term++
	}
	if (preVote && n.role != PreCandidate) || (!preVote && n.role != Candidate) || m.Term != term {
		return
	}
	n.votes[m.From] = !m.Rejected
	if n.tallied(true) {
		n.advanceElection()
		return
	}
	if n.tallied(false) {
		n.becomeFollower(n.hard.Term, ReplicaID{})
	}
}

func (n *Node) advanceElection() {
	if n.role == PreCandidate {
		n.startElection()
		return
	}
	n.becomeLeader()
}

// tallied reports whether a quorum of the voters gave the answer.
func (n *Node) tallied(granted bool) bool {
	c := n.configuration()
	count := 0
	for _, m := range c.Members {
		vote, answered := n.votes[m.ReplicaID]
		if !m.Learner && answered && vote == granted {
			count++
		}
	}
	return count >= c.Quorum()
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.progress = make(map[ReplicaID]*progress)
	n.reads = readQueue{}
	n.nextHeartbeat = n.now + n.cfg.HeartbeatInterval
	for _, m := range n.configuration().Members {
		n.addProgress(m.ReplicaID)
	}
	n.termStart = n.appendAsLeader(EntryNoop, nil)
	n.broadcastAppend()
}
