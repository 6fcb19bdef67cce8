package raft

// campaign starts a pre-vote, or makes the replica a follower if it must not campaign.
func (n *Node) campaign() {
	n.resetElectionDeadline()
	if !n.canCampaign() {
		n.becomeFollower(n.hardState.Term, ReplicaID{})
		return
	}
	n.role, n.leader = PreCandidate, ReplicaID{}
	n.requestVotes(MessagePreVote, n.hardState.Term+1)
}

// canCampaign reports whether the replica is a voter in the latest configuration
// or in the latest committed one. A voter whose removal is not yet committed
// still campaigns, because it may hold the longest log, and then no other voter
// can win. As leader it does not count itself towards the quorum.
func (n *Node) canCampaign() bool {
	return n.configuration().IsVoter(n.cfg.ID) || n.configurationAsOf(n.commit).IsVoter(n.cfg.ID)
}

// startElection increments the term, votes for this replica and requests the
// votes of the other voters.
func (n *Node) startElection() {
	n.resetElectionDeadline()
	n.role = Candidate
	n.hardState = HardState{Term: n.hardState.Term + 1, Vote: n.cfg.ID}
	n.requestVotes(MessageVote, n.hardState.Term)
}

// requestVotes sends a vote or pre-vote request to every other voter. If this
// replica's own vote is a quorum, it wins at once and sends no requests.
func (n *Node) requestVotes(kind MessageKind, term uint64) {
	n.votes = map[ReplicaID]bool{n.cfg.ID: true}
	if n.hasVoteQuorum(true) {
		n.advanceElection()
		return
	}
	n.sendVoteRequests(kind, term)
}

// sendVoteRequests sends a request to every voter that has not responded to an earlier one.
func (n *Node) sendVoteRequests(kind MessageKind, term uint64) {
	n.nextVoteRequest = n.now + n.cfg.HeartbeatInterval
	last := n.log.lastPosition()
	for _, m := range n.configuration().Members {
		if _, responded := n.votes[m.ReplicaID]; !m.Learner && !responded {
			n.send(m.ReplicaID, Message{Kind: kind, Term: term, Index: last.index, LogTerm: last.term})
		}
	}
}

// repeatVoteRequests asks the voters again that have not responded. When all VMs start at about
// the same time, the first request finds some of them not ready, and the next campaign would
// begin only after another election timeout. A repeated request gets the same response.
func (n *Node) repeatVoteRequests() {
	if n.now < n.nextVoteRequest {
		return
	}
	switch n.role {
	case PreCandidate:
		n.sendVoteRequests(MessagePreVote, n.hardState.Term+1)
	case Candidate:
		n.sendVoteRequests(MessageVote, n.hardState.Term)
	}
}

// hasLeaderContact reports whether the replica is the leader or has received a
// message from the leader within the minimum election timeout. Such a replica
// ignores vote requests, so that a single voter that has lost its connection to
// the leader cannot depose it.
func (n *Node) hasLeaderContact() bool {
	if n.role == Leader {
		return true
	}
	return !n.leader.IsZero() && n.now-n.lastLeaderContact < n.cfg.ElectionTimeoutMin
}

// handleVoteRequest answers a vote or pre-vote request. It does not check that
// the candidate or this replica is a voter in the local configuration, which may
// be older than the candidate's; the candidate counts only the voters of its own
// configuration.
func (n *Node) handleVoteRequest(m Message) {
	last := n.log.lastPosition()
	upToDate := m.LogTerm > last.term || (m.LogTerm == last.term && m.Index >= last.index)
	if m.Kind == MessagePreVote {
		if upToDate && m.Term > n.hardState.Term && !n.hasLeaderContact() {
			n.send(m.From, Message{Kind: MessagePreVoteResponse, Term: m.Term})
			return
		}
		n.send(m.From, Message{Kind: MessagePreVoteResponse, Rejected: true})
		return
	}
	canVote := n.hardState.Vote.IsZero() || n.hardState.Vote == m.From
	if !upToDate || !canVote {
		n.send(m.From, Message{Kind: MessageVoteResponse, Rejected: true})
		return
	}
	n.hardState.Vote = m.From
	n.resetElectionDeadline()
	n.send(m.From, Message{Kind: MessageVoteResponse})
}

// handleVoteResponse records a vote and ends the election or the pre-vote
// once a quorum has granted or rejected it.
func (n *Node) handleVoteResponse(m Message) {
	preVote := m.Kind == MessagePreVoteResponse
	term := n.hardState.Term
	if preVote && !m.Rejected {
		term++
	}
	if (preVote && n.role != PreCandidate) || (!preVote && n.role != Candidate) || m.Term != term {
		return
	}
	n.votes[m.From] = !m.Rejected
	if n.hasVoteQuorum(true) {
		n.advanceElection()
		return
	}
	if n.hasVoteQuorum(false) {
		n.becomeFollower(n.hardState.Term, ReplicaID{})
	}
}

// advanceElection moves from a won pre-vote to the election, and from a won
// election to leadership.
func (n *Node) advanceElection() {
	if n.role == PreCandidate {
		n.startElection()
		return
	}
	n.becomeLeader()
}

// hasVoteQuorum reports whether a quorum of the voters granted the vote, or
// rejected it if granted is false.
func (n *Node) hasVoteQuorum(granted bool) bool {
	c := n.configuration()
	count := 0
	for _, m := range c.Members {
		vote, responded := n.votes[m.ReplicaID]
		if !m.Learner && responded && vote == granted {
			count++
		}
	}
	return count >= c.Quorum()
}

// becomeLeader resets the leader's state and appends a no-op entry, because only
// an entry of the current term can commit entries of earlier terms.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.progress = make(map[ReplicaID]*progress)
	n.reads = readQueue{}
	n.nextHeartbeat = n.now + n.cfg.HeartbeatInterval
	for _, m := range n.configuration().Members {
		n.addProgress(m.ReplicaID)
	}
	n.termStartIndex = n.appendAsLeader(EntryNoop, nil)
	n.broadcastAppend()
}
