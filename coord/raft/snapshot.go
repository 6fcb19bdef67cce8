package raft

// incomingSnapshot collects the chunks of one snapshot transfer. Two leaders may
// encode the same state differently, so chunks of different senders or terms
// are never combined.
type incomingSnapshot struct {
	from     ReplicaID
	term     uint64
	snapshot Snapshot
}

// snapshotIndex returns the last index that the latest snapshot covers, or 0.
func (n *Node) snapshotIndex() uint64 {
	if n.snapshot == nil {
		return 0
	}
	return n.snapshot.Index
}

// snapshotTaken stores a snapshot of the local state machine and compacts the
// log up to it, except for the last RetainEntries entries.
func (n *Node) snapshotTaken(ev SnapshotTaken) {
	n.snapshotPending = false
	if ev.Index <= n.snapshotIndex() || ev.Index > n.commit {
		return
	}
	term, ok := n.log.term(ev.Index)
	if !ok {
		return
	}
	meta := SnapshotMeta{Index: ev.Index, Term: term, Configuration: n.configurationAsOf(ev.Index)}
	n.snapshot = &Snapshot{SnapshotMeta: meta, Data: ev.Data}
	n.persistSnapshot()
	if ev.Index > n.cfg.RetainEntries {
		n.log.compact(max(n.log.base.index, ev.Index-n.cfg.RetainEntries))
	}
	for len(n.configurations) > 1 && n.configurations[1].index <= n.log.base.index {
		n.configurations = n.configurations[1:]
	}
}

// persistSnapshot emits a write of the latest snapshot, the hard state and the
// entries after the snapshot.
func (n *Node) persistSnapshot() {
	hardState := n.hardState
	n.emit(Persist{HardState: &hardState, Snapshot: n.snapshot, Entries: n.log.between(n.snapshot.Index, n.log.lastIndex())})
}

// handleSnapshot collects chunks in order and installs the complete snapshot.
func (n *Node) handleSnapshot(m Message) {
	c := m.Chunk
	if c == nil {
		return
	}
	if c.Index <= n.commit {
		n.incoming = nil
		n.send(m.From, Message{Kind: MessageAppendResponse, Index: n.commit, Round: m.Round})
		return
	}
	transfer := n.incoming
	if transfer == nil || transfer.from != m.From || transfer.term != m.Term || transfer.snapshot.Index != c.Index {
		transfer = &incomingSnapshot{from: m.From, term: m.Term, snapshot: Snapshot{SnapshotMeta: c.SnapshotMeta}}
		n.incoming = transfer
	}
	if c.Offset == uint64(len(transfer.snapshot.Data)) {
		transfer.snapshot.Data = append(transfer.snapshot.Data, c.Data...)
	}
	if uint64(len(transfer.snapshot.Data)) < c.Total {
		n.send(m.From, Message{Kind: MessageSnapshotResponse, Index: c.Index, Offset: uint64(len(transfer.snapshot.Data)), Round: m.Round})
		return
	}
	n.incoming = nil
	n.installSnapshot(&transfer.snapshot)
	n.send(m.From, Message{Kind: MessageAppendResponse, Index: c.Index, Round: m.Round})
}

// installSnapshot replaces the state machine's state by s. The entries after s
// are kept if the log contains its last entry, because this replica may have
// acknowledged them.
func (n *Node) installSnapshot(s *Snapshot) {
	last := position{s.Index, s.Term}
	n.snapshot = s
	n.commit = s.Index
	if n.log.contains(last) {
		n.log.compact(s.Index)
		for len(n.configurations) > 0 && n.configurations[0].index <= s.Index {
			n.configurations = n.configurations[1:]
		}
		n.configurations = append([]indexedConfiguration{{s.Index, s.Configuration}}, n.configurations...)
	} else {
		n.log.reset(last)
		n.configurations = []indexedConfiguration{{s.Index, s.Configuration}}
	}
	n.persistSnapshot()
	n.emit(Restore{s})
}
