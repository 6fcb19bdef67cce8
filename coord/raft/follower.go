package raft

import "encoding/json"

// handleLeaderMessage processes a message of the term's leader and follows the
// sender.
func (n *Node) handleLeaderMessage(m Message) {
	if n.role == Leader {
		return
	}
	if n.leader != m.From || n.role != Follower {
		n.becomeFollower(n.hardState.Term, m.From)
	}
	n.lastLeaderContact = n.now
	n.resetElectionDeadline()
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

// handleAppend appends the entries of a message if the log agrees with the
// leader's up to the entry before them. The response to an append that starts
// before the commit index contains the commit index, because committed entries
// match the leader's. A message with an invalid configuration or with indexes
// that are not consecutive is dropped without a response.
func (n *Node) handleAppend(m Message) {
	response := Message{Kind: MessageAppendResponse, Round: m.Round, Previous: m.Index}
	if m.Index < n.commit {
		response.Index = n.commit
		n.send(m.From, response)
		return
	}
	if !n.log.contains(position{m.Index, m.LogTerm}) {
		response.Rejected = true
		response.Index, response.LogTerm = n.conflictHint(m.Index)
		n.send(m.From, response)
		return
	}
	configurations, err := decodeConfigurations(m.Entries)
	if err != nil || !consecutive(m.Index, m.Entries) {
		return
	}
	n.appendMissing(m.Entries, configurations)
	response.Index = m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, response.Index))
	n.send(m.From, response)
}

// conflictHint returns the index and term from which the leader computes its
// next append after a rejected append to index. If the log ends before index,
// they are the index after the last entry and term 0; otherwise they are the
// first index of the conflicting term and that term.
func (n *Node) conflictHint(index uint64) (hint, term uint64) {
	if index > n.log.lastIndex() {
		return n.log.lastIndex() + 1, 0
	}
	term, _ = n.log.term(index)
	return n.log.firstOfTerm(index), term
}

// appendMissing appends the entries that the log does not contain yet. It
// discards a conflicting suffix and keeps entries that are equal, because a
// delayed message must not remove entries that were acknowledged after it was
// sent.
func (n *Node) appendMissing(entries []Entry, configurations []indexedConfiguration) {
	for len(entries) > 0 && n.log.contains(position{entries[0].Index, entries[0].Term}) {
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

// appendToLog appends entries to the log. It drops the configurations of the
// entries that are overwritten and adds those of the new entries.
func (n *Node) appendToLog(entries []Entry, configurations []indexedConfiguration) {
	if len(entries) == 0 {
		return
	}
	n.log.append(entries)
	for len(n.configurations) > 0 && n.configurations[len(n.configurations)-1].index >= entries[0].Index {
		n.configurations = n.configurations[:len(n.configurations)-1]
	}
	n.configurations = append(n.configurations, configurations...)
}

// commitTo advances the commit index, emits the newly committed entries and
// requests a snapshot if at least CompactAfter entries were committed since the
// last one.
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

// consecutive reports whether the indexes of entries increase by one and start
// after previous.
func consecutive(previous uint64, entries []Entry) bool {
	for i := range entries {
		if entries[i].Index != previous+uint64(i)+1 {
			return false
		}
	}
	return true
}

// decodeConfigurations returns the configurations contained in entries, with
// their indexes.
func decodeConfigurations(entries []Entry) ([]indexedConfiguration, error) {
	var configurations []indexedConfiguration
	for _, e := range entries {
		if e.Kind != EntryConfiguration {
			continue
		}
		c, err := decodeConfiguration(e)
		if err != nil {
			return nil, err
		}
		configurations = append(configurations, indexedConfiguration{e.Index, c})
	}
	return configurations, nil
}

// encodeConfiguration returns the Data of a configuration entry.
func encodeConfiguration(c Configuration) []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic("raft: configuration is not encodable: " + err.Error())
	}
	return data
}
