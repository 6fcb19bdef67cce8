// Package raft implements the Raft protocol for control's replicated log. It is
// a deterministic state machine: Node.Step takes the time and an event and
// returns effects. It uses no clock, goroutine, socket or file.
//
// The caller executes the effects of a step in order. Every Persist must be
// durable before any later effect is executed; several steps may be combined
// into one write as long as all their Persist effects are durable before the
// first of their other effects is executed.
//
// A replica is identified by its name and by the UUID of its storage. Each
// message is addressed to that pair, so a replica that restarts with an empty
// disk neither votes nor acknowledges entries under its former identity.
//
// The package maintains these invariants:
//   - at most one leader per term;
//   - two logs with an equal (index, term) are equal up to that index;
//   - a committed entry is in the log of every later leader;
//   - at most one membership change is uncommitted, and a learner becomes a
//     voter only when it holds every committed entry;
//   - a read index is at least the commit index at the time of the request, and
//     a quorum confirmed the leadership after the request.
package raft

import (
	"encoding/json"
	"fmt"
	"slices"
)

// ReplicaID identifies a replica by its configured name and its storage.
type ReplicaID struct {
	// Name is the replica's name in the settings.
	Name string `json:"name"`
	// Storage is the UUID that is created with the data directory.
	Storage string `json:"storage"`
}

// String returns the identity as name/storage.
func (r ReplicaID) String() string { return r.Name + "/" + r.Storage }

// IsZero reports whether r is the zero value, which identifies no replica.
func (r ReplicaID) IsZero() bool { return r == ReplicaID{} }

// Member is a replica that receives the log.
type Member struct {
	ReplicaID
	// Address is the replica's RPC address, as IP:port.
	Address string `json:"address"`
	// Learner is set for a member that receives the log but does not vote.
	Learner bool `json:"learner,omitempty"`
}

// Configuration is the set of the cluster's members.
type Configuration struct {
	// Members is in the order in which the members were added.
	Members []Member `json:"members"`
}

// Find returns the member with the given identity.
func (c Configuration) Find(id ReplicaID) (Member, bool) {
	for _, m := range c.Members {
		if m.ReplicaID == id {
			return m, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id is a voting member.
func (c Configuration) IsVoter(id ReplicaID) bool {
	m, ok := c.Find(id)
	return ok && !m.Learner
}

// Voters returns the number of voting members.
func (c Configuration) Voters() int {
	n := 0
	for _, m := range c.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters that form a majority.
func (c Configuration) Quorum() int { return c.Voters()/2 + 1 }

// learner returns the member that does not vote yet, if any.
func (c Configuration) learner() (Member, bool) {
	for _, m := range c.Members {
		if m.Learner {
			return m, true
		}
	}
	return Member{}, false
}

// with returns a copy in which m replaces the member with the same identity, or
// is added if there is none.
func (c Configuration) with(m Member) Configuration {
	members := slices.Clone(c.Members)
	for i := range members {
		if members[i].ReplicaID == m.ReplicaID {
			members[i] = m
			return Configuration{Members: members}
		}
	}
	return Configuration{Members: append(members, m)}
}

// without returns a copy without the member id.
func (c Configuration) without(id ReplicaID) Configuration {
	members := slices.Clone(c.Members)
	members = slices.DeleteFunc(members, func(m Member) bool { return m.ReplicaID == id })
	return Configuration{Members: members}
}

// EntryKind is the type of an entry's payload.
type EntryKind uint8

const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is the first entry of each leader's term.
	EntryNoop
	// EntryConfiguration carries a Configuration as JSON.
	EntryConfiguration
)

// Entry is one entry of the log.
type Entry struct {
	// Index is the position in the log; the first is 1.
	Index uint64 `json:"index"`
	// Term is the term of the leader that created the entry.
	Term uint64 `json:"term"`
	// Kind determines how to interpret Data.
	Kind EntryKind `json:"kind,omitempty"`
	// Data is the command or the encoded configuration; it is empty in a no-op entry.
	Data []byte `json:"data,omitempty"`
}

// decodeConfiguration returns the configuration in a configuration entry.
func decodeConfiguration(e Entry) (Configuration, error) {
	var c Configuration
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return c, fmt.Errorf("configuration entry %d: %w", e.Index, err)
	}
	return c, nil
}

// HardState is the term and the vote, which must survive a restart.
type HardState struct {
	// Term is the latest term that the replica has seen.
	Term uint64 `json:"term"`
	// Vote is the candidate that received this replica's vote in Term, or zero.
	Vote ReplicaID `json:"vote"`
}

// SnapshotMeta describes the log prefix that a snapshot replaces.
type SnapshotMeta struct {
	// Index is the index of the last entry that the snapshot includes.
	Index uint64 `json:"index"`
	// Term is the term of that entry.
	Term uint64 `json:"term"`
	// Configuration is the configuration in effect at Index.
	Configuration Configuration `json:"configuration"`
}

// Snapshot is the state machine's state after the entry at Index was applied.
type Snapshot struct {
	SnapshotMeta
	// Data is the state as encoded by the state machine; it is empty in the initial snapshot.
	Data []byte `json:"-"`
}

// InitialIndex is the index, and InitialTerm the term, of the snapshot that
// holds the initial configuration and an empty state machine.
const (
	InitialIndex = 1
	InitialTerm  = 1
)

// MessageKind is the type of a message.
type MessageKind uint8

const (
	// MessagePreVote asks whether the receiver would grant its vote, without changing its term.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteResponse answers MessagePreVote.
	MessagePreVoteResponse
	// MessageVote requests the receiver's vote.
	MessageVote
	// MessageVoteResponse answers MessageVote.
	MessageVoteResponse
	// MessageHeartbeat confirms leadership and carries the commit index.
	MessageHeartbeat
	// MessageHeartbeatResponse answers MessageHeartbeat, and rejects any message of a leader of an earlier term.
	MessageHeartbeatResponse
	// MessageAppend carries entries.
	MessageAppend
	// MessageAppendResponse answers MessageAppend, and MessageSnapshot once the snapshot is installed or not needed.
	MessageAppendResponse
	// MessageSnapshot carries one chunk of a snapshot.
	MessageSnapshot
	// MessageSnapshotResponse requests the snapshot chunk at Offset.
	MessageSnapshotResponse
)

// Message is exchanged between replicas. Messages may be lost, duplicated and reordered.
type Message struct {
	// Kind determines which of the other fields are used and what they mean.
	Kind MessageKind `json:"kind"`
	// From is the sender.
	From ReplicaID `json:"from"`
	// To is the receiver; a replica with another storage discards the message.
	To ReplicaID `json:"to"`
	// Term is the sender's term or, in a pre-vote request and a granted pre-vote response, the term of the proposed
	// election.
	Term uint64 `json:"term"`
	// Index is the last log index in a vote request, the index before the entries in an append, the match index in an
	// append response or, if it is a rejection, the conflict hint, and the snapshot index in a snapshot response.
	Index uint64 `json:"index,omitempty"`
	// LogTerm is the term of the entry at Index, or the conflicting term in a rejection.
	LogTerm uint64 `json:"log_term,omitempty"`
	// Previous is the Index of the append that an append response answers.
	Previous uint64 `json:"previous,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `json:"commit,omitempty"`
	// Round is the number of the leader's latest confirmation round. A response has the Round of the message that it
	// answers.
	Round uint64 `json:"round,omitempty"`
	// Offset is the next byte of the snapshot that the receiver needs.
	Offset uint64 `json:"offset,omitempty"`
	// Rejected is set in a response that denies a vote or rejects an append or a stale term.
	Rejected bool `json:"rejected,omitempty"`
	// Entries are consecutive and start at Index+1.
	Entries []Entry `json:"entries,omitempty"`
	// Chunk is set in MessageSnapshot.
	Chunk *SnapshotChunk `json:"chunk,omitempty"`
}

// SnapshotChunk is one part of a snapshot that is sent in several messages.
type SnapshotChunk struct {
	SnapshotMeta
	// Offset is the position of Data in the snapshot's data, in bytes.
	Offset uint64 `json:"offset"`
	// Total is the size of the snapshot's data in bytes.
	Total uint64 `json:"total"`
	// Data is the content of the chunk.
	Data []byte `json:"data"`
}
