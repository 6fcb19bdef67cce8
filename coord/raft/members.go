package raft

// configuration returns the latest configuration in the log, committed or not. A
// configuration takes effect as soon as it is appended.
func (n *Node) configuration() Configuration {
	if len(n.configurations) == 0 {
		return Configuration{}
	}
	return n.configurations[len(n.configurations)-1].Configuration
}

// configurationAsOf returns the configuration in effect at index.
func (n *Node) configurationAsOf(index uint64) Configuration {
	var c Configuration
	for _, indexed := range n.configurations {
		if indexed.index <= index {
			c = indexed.Configuration
		}
	}
	return c
}

// changePending reports whether a membership change must wait: until the latest
// configuration and an entry of the leader's current term are committed. Without
// the second condition, two leaders could change different configurations at the
// same time and form disjoint quorums.
func (n *Node) changePending() bool {
	return n.configurations[len(n.configurations)-1].index > n.commit || n.termStartIndex > n.commit
}

// addMember appends a configuration with the new member as a learner. A replica
// that is already a member is accepted without a change. Only one learner is
// allowed at a time.
func (n *Node) addMember(ev AddMember) {
	if n.role != Leader {
		n.emit(Rejected{ev.Token, ErrNotLeader})
		return
	}
	c := n.configuration()
	if _, ok := c.Find(ev.Member.ReplicaID); ok {
		n.emit(Accepted{ev.Token, n.configurations[len(n.configurations)-1].index, n.hardState.Term})
		return
	}
	if _, hasLearner := c.learner(); hasLearner || n.changePending() {
		n.emit(Rejected{ev.Token, ErrChangePending})
		return
	}
	ev.Member.Learner = true
	n.changeConfiguration(ev.Token, c.with(ev.Member))
}

// removeMember appends a configuration without the member. It rejects the removal
// of a voter while a learner is catching up, because a replacement must be a
// voter before the old voter is removed.
func (n *Node) removeMember(ev RemoveMember) {
	if n.role != Leader {
		n.emit(Rejected{ev.Token, ErrNotLeader})
		return
	}
	c := n.configuration()
	member, ok := c.Find(ev.ID)
	if !ok {
		n.emit(Rejected{ev.Token, ErrUnknownMember})
		return
	}
	if _, hasLearner := c.learner(); n.changePending() || (hasLearner && !member.Learner) {
		n.emit(Rejected{ev.Token, ErrChangePending})
		return
	}
	remaining := c.without(ev.ID)
	if remaining.Voters() == 0 || !n.hearsQuorum(remaining) {
		n.emit(Rejected{ev.Token, ErrUnsafeChange})
		return
	}
	n.changeConfiguration(ev.Token, remaining)
}

// promoteLearner makes the learner a voter once every committed entry is durable
// on it, it has responded recently and the new voters have an active quorum.
func (n *Node) promoteLearner() {
	if n.role != Leader {
		return
	}
	c := n.configuration()
	learner, ok := c.learner()
	if !ok || n.changePending() {
		return
	}
	pr := n.progress[learner.ReplicaID]
	learner.Learner = false
	promoted := c.with(learner)
	if pr.match < n.commit || n.now-pr.lastContact >= n.cfg.ElectionTimeoutMax || !n.hearsQuorum(promoted) {
		return
	}
	n.changeConfiguration(0, promoted)
}

// changeConfiguration appends c to the log, where it takes effect at once. A
// token of 0 marks a change that no request asked for and that needs no result.
func (n *Node) changeConfiguration(token uint64, c Configuration) {
	index := n.appendAsLeader(EntryConfiguration, encodeConfiguration(c))
	n.configurations = append(n.configurations, indexedConfiguration{index, c})
	for _, m := range c.Members {
		if n.progress[m.ReplicaID] == nil {
			n.addProgress(m.ReplicaID)
		}
	}
	for id := range n.progress {
		if _, ok := c.Find(id); !ok {
			delete(n.progress, id)
		}
	}
	if token != 0 {
		n.emit(Accepted{token, index, n.hardState.Term})
	}
	n.broadcastAppend()
}

// stepDownIfRemoved ends the leadership of a leader whose removal is committed,
// after a heartbeat that tells the other members the commit index.
func (n *Node) stepDownIfRemoved() {
	last := n.configurations[len(n.configurations)-1]
	if last.index > n.commit || last.IsVoter(n.cfg.ID) {
		return
	}
	n.broadcastHeartbeat()
	n.becomeFollower(n.hardState.Term, ReplicaID{})
}

// bootstrap installs the initial configuration in a replica that has never
// belonged to a cluster. A repeated bootstrap is rejected and changes nothing.
func (n *Node) bootstrap(ev Bootstrap) {
	if !ev.Configuration.IsVoter(n.cfg.ID) {
		n.emit(Rejected{ev.Token, ErrInvalidConfiguration})
		return
	}
	if n.HasState() {
		n.emit(Rejected{ev.Token, ErrAlreadyFormed})
		return
	}
	meta := SnapshotMeta{Index: InitialIndex, Term: InitialTerm, Configuration: ev.Configuration}
	n.hardState.Term = InitialTerm
	n.installSnapshot(&Snapshot{SnapshotMeta: meta})
	n.emit(Accepted{ev.Token, InitialIndex, InitialTerm})
}
