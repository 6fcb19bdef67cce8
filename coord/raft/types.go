// Package raft is the protocol core of control's replicated log. It is a pure
// state machine: Node.Step takes the time and an event and returns effects. It
// holds no clock, goroutine, socket or file.
//
// The caller executes the effects of a step in order. Every Persist must be
// durable before any later effect is executed; several steps may be combined
// into one write as long as all their Persist effects are durable before the
// first of their other effects is executed.
//
// A replica is identified by its name and by the UUID of its storage. Each
// message is addressed to that pair, so a replica that lost its disk neither
// votes nor acknowledges in the place of its predecessor.
//
// Invariants:
//   - at most one leader per term;
//   - two logs with an equal (index, term) are equal up to that index;
//   - a committed entry is in the log of every later leader;
//   - at most one membership change is uncommitted, and a learner becomes a
//     voter only when it holds every committed entry;
//   - a read index is at least the commit index at the time of the request, and
//     leadership was confirmed by a quorum after the request.
package raft

import (
	"encoding/json"
	"fmt"
	"slices"
)

// ReplicaID identifies a replica by its configured name and its storage.
type ReplicaID struct {
	// Name is the name from the settings.
	Name string `json:"name"`
	// Storage is the UUID that was created with the data directory.
	Storage string `json:"storage"`
}

// String returns name/storage.
func (r ReplicaID) String() string { return r.Name + "/" + r.Storage }

// IsZero reports whether r names no replica.
func (r ReplicaID) IsZero() bool { return r == ReplicaID{} }

// Member is a replica that receives the log.
type Member struct {
	ReplicaID
	// Address is where the replica answers RPCs, as IP:port.
	Address string `json:"address"`
	// Learner members receive the log but do not vote.
	Learner bool `json:"learner,omitempty"`
}

// Configuration is the set of members.
type Configuration struct {
	// Members are in the order in which they were added.
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

// learner returns the member that waits for its promotion, if any.
func (c Configuration) learner() (Member, bool) {
	for _, m := range c.Members {
		if m.Learner {
			return m, true
		}
	}
	return Member{}, false
}

// with returns a copy in which m replaces or joins the members.
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

// without returns a copy that lacks id.
func (c Configuration) without(id ReplicaID) Configuration {
	members := slices.Clone(c.Members)
	members = slices.DeleteFunc(members, func(m Member) bool { return m.ReplicaID == id })
	return Configuration{Members: members}
}

// EntryKind tells what an entry carries.
type EntryKind uint8

const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is the first entry of each leader's term.
	EntryNoop
	// EntryConfiguration carries a Configuration as JSON.
	EntryConfiguration
)

// Entry is one position of the log.
type Entry struct {
	// Index is the position; the first is 1.
	Index uint64 `json:"index"`
	// Term is the term of the leader that created the entry.
	Term uint64 `json:"term"`
	// Kind tells how to read Data.
	Kind EntryKind `json:"kind,omitempty"`
	// Data is the payload.
	Data []byte `json:"data,omitempty"`
}

func decodeConfiguration(e Entry) (Configuration, error) {
	var c Configuration
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return c, fmt.Errorf("configuration entry %d: %w", e.Index, err)
	}
	return c, nil
}

// HardState must survive a restart.
type HardState struct {
	// Term is the latest term that the replica has seen.
	Term uint64 `json:"term"`
	// Vote is the candidate that received the vote in Term.
	Vote ReplicaID `json:"vote"`
}

// SnapshotMeta describes the log prefix that a snapshot replaces.
type SnapshotMeta struct {
	// Index is the last entry that the snapshot includes.
	Index uint64 `json:"index"`
	// Term is the term of that entry.
	Term uint64 `json:"term"`
	// Configuration is the configuration as of Index.
	Configuration Configuration `json:"configuration"`
}

// Snapshot is the state machine's state after Index.
type Snapshot struct {
	SnapshotMeta
	// Data was produced by the state machine; it is empty in the initial snapshot.
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
	// MessagePreVote asks whether an election could succeed.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteResponse answers MessagePreVote.
	MessagePreVoteResponse
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteResponse answers MessageVote.
	MessageVoteResponse
	// MessageHeartbeat confirms leadership and carries the commit index.
	MessageHeartbeat
	// MessageHeartbeatResponse answers MessageHeartbeat.
	MessageHeartbeatResponse
	// MessageAppend carries entries.
	MessageAppend
	// MessageAppendResponse answers MessageAppend and a complete snapshot.
	MessageAppendResponse
	// MessageSnapshot carries one chunk of a snapshot.
	MessageSnapshot
	// MessageSnapshotResponse asks for the chunk at Offset.
	MessageSnapshotResponse
)

// Message is exchanged between replicas. Messages may be lost, duplicated and reordered.
type Message struct {
	// Kind selects the meaning of the other fields.
	Kind MessageKind `json:"kind"`
	// From is the sender.
	From ReplicaID `json:"from"`
	// To is the receiver; a replica with another storage discards the message.
	To ReplicaID `json:"to"`
	// Term is the sender's term; in a pre-vote and a granted pre-vote response, the term of the proposed election.
	Term uint64 `json:"term"`
	// Index is the last log index (votes), the index before the entries (append), the
	// match index or the retry hint (append response) or the snapshot index (snapshot response).
	Index uint64 `json:"index,omitempty"`
	// LogTerm is the term of the entry at Index, or the conflicting term in a rejection.
	LogTerm uint64 `json:"log_term,omitempty"`
	// Previous repeats the rejected append's Index.
	Previous uint64 `json:"previous,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `json:"commit,omitempty"`
	// Round numbers the leader's confirmation rounds.
	Round uint64 `json:"round,omitempty"`
	// Offset is the next byte of the snapshot that the receiver needs.
	Offset uint64 `json:"offset,omitempty"`
	// Rejected is set in negative responses.
	Rejected bool `json:"rejected,omitempty"`
	// Entries are consecutive and start at Index+1.
	Entries []Entry `json:"entries,omitempty"`
	// Chunk is set in MessageSnapshot.
	Chunk *SnapshotChunk `json:"chunk,omitempty"`
}

// SnapshotChunk is a part of a snapshot.
type SnapshotChunk struct {
	SnapshotMeta
	// Offset is the position of Data.
	Offset uint64 `json:"offset"`
	// Total is the size of the snapshot in bytes.
	Total uint64 `json:"total"`
	// Data is the part.
	Data []byte `json:"data"`
}
