package raft

// incomingSnapshot collects the chunks of one transfer. Two leaders may encode
// the same state differently, so chunks of different senders never mix.
type incomingSnapshot struct {
	from     ReplicaID
	term     uint64
	snapshot Snapshot
}

func (n *Node) snapshotIndex() uint64 {
	if n.snapshot == nil {
		return 0
	}
	return n.snapshot.Index
}

// snapshotTaken compacts the log behind a snapshot of the own state machine.
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

func (n *Node) persistSnapshot() {
	hard := n.hard
	n.emit(Persist{HardState: &hard, Snapshot: n.snapshot, Entries: n.log.between(n.snapshot.Index, n.log.lastIndex())})
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
	in := n.incoming
	if in == nil || in.from != m.From || in.term != m.Term || in.snapshot.Index != c.Index {
		in = &incomingSnapshot{from: m.From, term: m.Term, snapshot: Snapshot{SnapshotMeta: c.SnapshotMeta}}
		n.incoming = in
	}
	if c.Offset == uint64(len(in.snapshot.Data)) {
		in.snapshot.Data = append(in.snapshot.Data, c.Data...)
	}
	if uint64(len(in.snapshot.Data)) < c.Total {
		n.send(m.From, Message{Kind: MessageSnapshotResponse, Index: c.Index, Offset: uint64(len(in.snapshot.Data)), Round: m.Round})
		return
	}
	n.incoming = nil
	n.installSnapshot(&in.snapshot)
	n.send(m.From, Message{Kind: MessageAppendResponse, Index: c.Index, Round: m.Round})
}

// installSnapshot replaces the state machine's state. Entries behind the
// snapshot stay if the log agrees with it, because they may be acknowledged.
func (n *Node) installSnapshot(s *Snapshot) {
	at := position{s.Index, s.Term}
	n.snapshot = s
	n.commit = s.Index
	if n.log.matches(at) {
		n.log.compact(s.Index)
		for len(n.configurations) > 0 && n.configurations[0].index <= s.Index {
			n.configurations = n.configurations[1:]
		}
		n.configurations = append([]configurationAt{{s.Index, s.Configuration}}, n.configurations...)
	} else {
		n.log.reset(at)
		n.configurations = []configurationAt{{s.Index, s.Configuration}}
	}
	n.persistSnapshot()
	n.emit(Restore{s})
}
