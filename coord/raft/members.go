package raft

// configuration returns the latest configuration in the log, committed or not:
// a member uses it as soon as it is appended.
func (n *Node) configuration() Configuration {
	if len(n.configurations) == 0 {
		return Configuration{}
	}
	return n.configurations[len(n.configurations)-1].Configuration
}

// configurationAsOf returns the configuration in effect at index.
func (n *Node) configurationAsOf(index uint64) Configuration {
	var c Configuration
	for _, at := range n.configurations {
		if at.index <= index {
			c = at.Configuration
		}
	}
	return c
}

// changePending is true until the latest configuration and an entry of the
// leader's own term are committed. Without the second condition, two leaders
// could change different configurations at once and form disjoint quorums.
func (n *Node) changePending() bool {
	return n.configurations[len(n.configurations)-1].index > n.commit || n.termStart > n.commit
}

func (n *Node) addMember(ev AddMember) {
	if n.role != Leader {
		n.emit(Rejected{ev.Token, ErrNotLeader})
		return
	}
	c := n.configuration()
	if _, ok := c.Find(ev.Member.ReplicaID); ok {
		n.emit(Accepted{ev.Token, n.configurations[len(n.configurations)-1].index, n.hard.Term})
		return
	}
	if _, busy := c.learner(); busy || n.changePending() {
		n.emit(Rejected{ev.Token, ErrChangePending})
		return
	}
	ev.Member.Learner = true
	n.changeConfiguration(ev.Token, c.with(ev.Member))
}

// removeMember refuses to remove a voter while a learner catches up: the
// replacement has to count before the old voter is removed.
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
	if _, busy := c.learner(); n.changePending() || (busy && !member.Learner) {
		n.emit(Rejected{ev.Token, ErrChangePending})
		return
	}
	rest := c.without(ev.ID)
	if rest.Voters() == 0 || !n.hasActiveQuorum(rest) {
		n.emit(Rejected{ev.Token, ErrUnsafeChange})
		return
	}
	n.changeConfiguration(ev.Token, rest)
}

// promoteLearner makes a learner a voter once it has synced every committed
// entry and the new set of voters has an active quorum.
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
	next := c.with(learner)
	if pr.match < n.commit || n.now-pr.contact >= n.cfg.ElectionTimeoutMax || !n.hasActiveQuorum(next) {
		return
	}
	n.changeConfiguration(0, next)
}

// changeConfiguration appends c and uses it at once.
func (n *Node) changeConfiguration(token uint64, c Configuration) {
	index := n.appendAsLeader(EntryConfiguration, encodeConfiguration(c))
	n.configurations = append(n.configurations, configurationAt{index, c})
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
		n.emit(Accepted{token, index, n.hard.Term})
	}
	n.broadcastAppend()
}

// stepDownIfRemoved ends the leadership of a leader whose removal is
// committed, after it has told the others.
func (n *Node) stepDownIfRemoved() {
	last := n.configurations[len(n.configurations)-1]
	if last.index > n.commit || last.IsVoter(n.cfg.ID) {
		return
	}
	n.broadcastHeartbeat()
	n.becomeFollower(n.hard.Term, ReplicaID{})
}

// bootstrap installs the initial configuration in a replica that has never
// taken part in a cluster. Repeating it with the same voters is harmless.
func (n *Node) bootstrap(ev Bootstrap) {
	if !ev.Configuration.IsVoter(n.cfg.ID) {
		n.emit(Rejected{ev.Token, ErrInvalidConfiguration})
		return
	}
	if n.Touched() {
		n.emit(Rejected{ev.Token, ErrAlreadyFormed})
		return
	}
	meta := SnapshotMeta{Index: InitialIndex, Term: InitialTerm, Configuration: ev.Configuration}
	n.hard.Term = InitialTerm
	n.installSnapshot(&Snapshot{SnapshotMeta: meta})
	n.emit(Accepted{ev.Token, InitialIndex, InitialTerm})
}
