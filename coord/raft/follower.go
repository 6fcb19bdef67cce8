package raft

import "encoding/json"

// handleFromLeader accepts the sender as the leader of the term.
func (n *Node) handleFromLeader(m Message) {
	if n.role == Leader {
		return
	}
	if n.leader != m.From || n.role != Follower {
		n.becomeFollower(n.hard.Term, m.From)
	}
	n.leaderContact = n.now
	n.resetDeadline()
	switch m.Kind {
	case MessageHeartbeat:
		n.commitTo(min(m.Commit, n.log.lastIndex()))
		n.send(m.From, Message{Kind: MessageHeartbeatResponse, Round: m.Round})
	case MessageAppend:
		n.handleAppend(m)
	case MessageSnapshot:
		n.handleSnapshot(m)
	}
}

func (n *Node) handleAppend(m Message) {
	answer := Message{Kind: MessageAppendResponse, Round: m.Round, Previous: m.Index}
	if m.Index < n.commit {
		answer.Index = n.commit
		n.send(m.From, answer)
		return
	}
	if !n.log.matches(position{m.Index, m.LogTerm}) {
		answer.Rejected = true
		answer.Index, answer.LogTerm = n.conflict(m.Index)
		n.send(m.From, answer)
		return
	}
	configurations, err := configurationsIn(m.Entries)
	if err != nil || !consecutive(m.Index, m.Entries) {
		return
	}
	n.appendNew(m.Entries, configurations)
	answer.Index = m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, answer.Index))
	n.send(m.From, answer)
}

// conflict returns the retry hint for a rejected append after index.
func (n *Node) conflict(index uint64) (hint, term uint64) {
	if index > n.log.lastIndex() {
		return n.log.lastIndex() + 1, 0
	}
	term, _ = n.log.term(index)
	return n.log.firstOfTerm(index), term
}

// appendNew appends the entries that the log lacks. A conflicting suffix is
// discarded; equal entries stay, because a delayed message must not remove
// entries that were acknowledged after it was sent.
func (n *Node) appendNew(entries []Entry, configurations []configurationAt) {
	for len(entries) > 0 && n.log.matches(position{entries[0].Index, entries[0].Term}) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return
	}
	if entries[0].Index <= n.commit {
		panic("raft: leader conflicts with a committed entry")
	}
	for len(configurations) > 0 && configurations[0].index < entries[0].Index {
		configurations = configurations[1:]
	}
	n.appendToLog(entries, configurations)
	n.emit(Persist{Entries: entries})
}

// appendToLog appends to the log and keeps the configurations in step with it.
func (n *Node) appendToLog(entries []Entry, configurations []configurationAt) {
	if len(entries) == 0 {
		return
	}
	n.log.append(entries)
	for len(n.configurations) > 0 && n.configurations[len(n.configurations)-1].index >= entries[0].Index {
		n.configurations = n.configurations[:len(n.configurations)-1]
	}
	n.configurations = append(n.configurations, configurations...)
}

// commitTo delivers the entries up to index and asks for a snapshot when due.
func (n *Node) commitTo(index uint64) {
	if index <= n.commit {
		return
	}
	n.emit(Apply{n.log.between(n.commit, index)})
	n.commit = index
	if !n.snapshotPending && n.commit-n.snapshotIndex() >= n.cfg.CompactAfter {
		n.snapshotPending = true
		n.emit(TakeSnapshot{})
	}
}

func consecutive(previous uint64, entries []Entry) bool {
	for i := range entries {
		if entries[i].Index != previous+uint64(i)+1 {
			return false
		}
	}
	return true
}

func configurationsIn(entries []Entry) ([]configurationAt, error) {
	var found []configurationAt
	for _, e := range entries {
		if e.Kind != EntryConfiguration {
			continue
		}
		c, err := decodeConfiguration(e)
		if err != nil {
			return nil, err
		}
		found = append(found, configurationAt{e.Index, c})
	}
	return found, nil
}

func encodeConfiguration(c Configuration) []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic("raft: configuration is not encodable: " + err.Error())
	}
	return data
}
