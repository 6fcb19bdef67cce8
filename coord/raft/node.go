package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// These constants are the defaults of Config.
const (
	// DefaultElectionTimeoutMin is the shortest time without a message from the leader after which a follower campaigns.
	DefaultElectionTimeoutMin = 300 * time.Millisecond
	// DefaultElectionTimeoutMax is the longest such time, and the time after which a leader without contact with a
	// quorum steps down.
	DefaultElectionTimeoutMax = 600 * time.Millisecond
	// DefaultHeartbeatInterval is the time between heartbeats; a follower can miss two before it campaigns.
	DefaultHeartbeatInterval = 100 * time.Millisecond
	// DefaultCompactAfter is the number of committed entries after which a snapshot is taken.
	DefaultCompactAfter = 1000
	// DefaultRetainEntries is the number of entries that a snapshot covers and that
	// stay in memory, so that a follower that lags by less needs no snapshot.
	DefaultRetainEntries = 256
	// DefaultMaxBatchEntries is the maximum number of entries in one append message.
	DefaultMaxBatchEntries = 256
	// DefaultMaxBatchBytes is the maximum size in bytes of the data in one append
	// message. The message stays far below the size limit of a frame after base64
	// encoding.
	DefaultMaxBatchBytes = 1 << 20
	// DefaultSnapshotChunkBytes is the maximum size in bytes of the data in one snapshot message.
	DefaultSnapshotChunkBytes = 256 << 10
)

// Config holds the parameters of a Node. Zero fields take their defaults.
type Config struct {
	// ID identifies this replica.
	ID ReplicaID
	// Seed seeds the randomised election timeouts; replicas should use different seeds.
	Seed uint64
	// ElectionTimeoutMin and ElectionTimeoutMax bound the randomised election timeout.
	ElectionTimeoutMin, ElectionTimeoutMax time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// CompactAfter is the number of committed entries after which a snapshot is taken.
	CompactAfter uint64
	// RetainEntries is the number of entries that a snapshot covers and that stay in memory.
	RetainEntries uint64
	// MaxBatchEntries and MaxBatchBytes bound the entries, and the bytes of their data, in one append message.
	MaxBatchEntries, MaxBatchBytes int
	// SnapshotChunkBytes bounds the bytes of data in one snapshot message.
	SnapshotChunkBytes int
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTimeoutMin, DefaultElectionTimeoutMin)
	setDefault(&c.ElectionTimeoutMax, max(DefaultElectionTimeoutMax, 2*c.ElectionTimeoutMin))
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.CompactAfter, DefaultCompactAfter)
	setDefault(&c.RetainEntries, DefaultRetainEntries)
	setDefault(&c.MaxBatchEntries, DefaultMaxBatchEntries)
	setDefault(&c.MaxBatchBytes, DefaultMaxBatchBytes)
	setDefault(&c.SnapshotChunkBytes, DefaultSnapshotChunkBytes)
	return c
}

// setDefault sets a field that has its zero value to value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// initialEffectsCapacity suffices for the effects of a proposal in a cluster with a few members.
const initialEffectsCapacity = 8

// PersistentState is the hard state, snapshot and log that a replica reads from its storage at startup.
type PersistentState struct {
	// HardState is zero in a new replica.
	HardState HardState
	// Snapshot is the latest snapshot, or nil if there is none.
	Snapshot *Snapshot
	// Entries are the consecutive log entries after the snapshot.
	Entries []Entry
}

// Role is a replica's current role in the protocol.
type Role uint8

const (
	// Follower replicas accept entries from the leader.
	Follower Role = iota
	// PreCandidate replicas ask whether an election could succeed.
	PreCandidate
	// Candidate replicas ask for votes.
	Candidate
	// Leader replicas append entries and replicate them to the other members.
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// indexedConfiguration is a configuration and the index of the entry that introduced it.
type indexedConfiguration struct {
	index uint64
	Configuration
}

// Node is one replica's protocol state. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	rand *rand.Rand

	hardState HardState
	role      Role
	leader    ReplicaID
	log       entryLog
	snapshot  *Snapshot
	commit    uint64

	// configurations is ordered by index. The first is the latest configuration
	// at or before the log's base, and the last is the one in effect.
	configurations []indexedConfiguration

	// electionDeadline is the time at which a replica that is not the leader campaigns.
	electionDeadline time.Duration
	// lastLeaderContact is the time of the last message from the leader, if leader is set.
	lastLeaderContact time.Duration
	votes             map[ReplicaID]bool
	// nextVoteRequest is the time at which a candidate asks again the voters that have not
	// responded.
	nextVoteRequest time.Duration

	// The fields from progress to reads are used by the leader only.
	progress      map[ReplicaID]*progress
	nextHeartbeat time.Duration
	// termStartIndex is the index of the first entry of the leader's term.
	termStartIndex uint64
	// matchIndexes is a buffer that advanceCommit reuses.
	matchIndexes []uint64
	reads        readQueue

	incoming        *incomingSnapshot
	snapshotPending bool

	now     time.Duration
	effects []Effect
}

// New returns a follower with the persistent state s. The returned effect, if
// not nil, restores the state machine and must be executed before all others.
func New(cfg Config, s PersistentState, now time.Duration) (*Node, *Restore, error) {
	n := &Node{cfg: cfg.withDefaults(), hardState: s.HardState, now: now}
	n.rand = rand.New(rand.NewPCG(cfg.Seed, s.HardState.Term))
	var restore *Restore
	if s.Snapshot != nil {
		n.snapshot = s.Snapshot
		n.commit = s.Snapshot.Index
		n.log.reset(position{s.Snapshot.Index, s.Snapshot.Term})
		n.configurations = []indexedConfiguration{{s.Snapshot.Index, s.Snapshot.Configuration}}
		restore = &Restore{Snapshot: s.Snapshot}
	}
	if len(s.Entries) > 0 && s.Entries[0].Index != n.log.base.index+1 {
		return nil, nil, fmt.Errorf("raft: stored entries start at %d, want %d", s.Entries[0].Index, n.log.base.index+1)
	}
	configurations, err := decodeConfigurations(s.Entries)
	if err != nil {
		return nil, nil, fmt.Errorf("raft: %w", err)
	}
	n.appendToLog(s.Entries, configurations)
	n.setInitialElectionDeadline()
	return n, restore, nil
}

// Step handles one event and returns the effects to execute. The time now must
// not decrease between calls.
func (n *Node) Step(now time.Duration, ev Event) []Effect {
	n.now = max(n.now, now)
	n.effects = nil
	oldHardState := n.hardState
	oldRole, oldLeader := n.role, n.leader
	reason := n.handle(ev)
	if n.hardState != oldHardState {
		n.persistHardState()
	}
	if oldRole != n.role || oldLeader != n.leader || oldHardState.Term != n.hardState.Term {
		n.emit(RoleChanged{Role: n.role, Term: n.hardState.Term, Leader: n.leader, Reason: reason})
	}
	return n.effects
}

// handle dispatches an event and returns the reason to report if the role,
// term or leader changes.
func (n *Node) handle(ev Event) string {
	switch ev := ev.(type) {
	case Tick:
		return n.tick()
	case Receive:
		return n.receive(ev.Message)
	case Propose:
		n.propose(ev)
	case AddMember:
		n.addMember(ev)
	case RemoveMember:
		n.removeMember(ev)
	case ReadIndex:
		n.readIndex(ev)
	case SnapshotTaken:
		n.snapshotTaken(ev)
	case Bootstrap:
		n.bootstrap(ev)
	}
	return "request"
}

// tick campaigns if the election deadline has passed, or does the leader's
// periodic work. It returns the reason for a change of role, or "".
func (n *Node) tick() string {
	if n.role == Leader {
		return n.tickLeader()
	}
	if n.now >= n.electionDeadline {
		n.campaign()
		return "election timeout"
	}
	n.repeatVoteRequests()
	return ""
}

// emit adds an effect to those that the current step returns.
func (n *Node) emit(e Effect) {
	if n.effects == nil {
		n.effects = make([]Effect, 0, initialEffectsCapacity)
	}
	n.effects = append(n.effects, e)
}

// send sets the addresses of a message and emits it. A Term of 0 is replaced by the current term.
func (n *Node) send(to ReplicaID, m Message) {
	m.From, m.To = n.cfg.ID, to
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.emit(Send{m})
}

// persistHardState inserts the write before all other effects of the step,
// because no message may be sent before the term and vote on which it depends
// are durable.
func (n *Node) persistHardState() {
	hardState := n.hardState
	n.effects = slices.Insert(n.effects, 0, Effect(Persist{HardState: &hardState}))
}

// resetElectionDeadline restarts the election timeout with a new random length.
func (n *Node) resetElectionDeadline() {
	jitterRange := n.cfg.ElectionTimeoutMax - n.cfg.ElectionTimeoutMin
	n.electionDeadline = n.now + n.cfg.ElectionTimeoutMin + time.Duration(n.rand.Int64N(int64(jitterRange)+1))
}

// setInitialElectionDeadline lets a restarted replica campaign early. If all
// replicas have restarted, there is no leader to wait for; if there is a leader,
// the replicas in contact with it reject the pre-vote.
func (n *Node) setInitialElectionDeadline() {
	minimum := n.cfg.ElectionTimeoutMin / initialTimeoutDivisor
	n.electionDeadline = n.now + minimum + time.Duration(n.rand.Int64N(int64(minimum)+1))
}

// initialTimeoutDivisor divides the minimum election timeout to give the
// shortest time after which a restarted replica may campaign.
const initialTimeoutDivisor = 3

// becomeFollower adopts term, which must be at least the current one, and
// follows leader, which is zero if it is not known.
func (n *Node) becomeFollower(term uint64, leader ReplicaID) {
	if n.role == Leader {
		n.rejectReads()
		n.progress = nil
	}
	if term > n.hardState.Term {
		n.hardState = HardState{Term: term}
	}
	if n.role != Follower || n.leader != leader {
		n.resetElectionDeadline()
	}
	n.role, n.leader, n.votes = Follower, leader, nil
}

// receive checks the addresses and the term of a message and dispatches it. It
// returns the reason to report for a change of role, or "" if the message was
// not dispatched.
func (n *Node) receive(m Message) string {
	if m.To != n.cfg.ID || m.From == n.cfg.ID {
		return ""
	}
	switch {
	case m.Term > n.hardState.Term && n.adoptsTerm(m):
		if m.Kind == MessageVote && n.hasLeaderContact() {
			return ""
		}
		n.becomeFollower(m.Term, ReplicaID{})
	case m.Term < n.hardState.Term:
		n.rejectStaleTerm(m)
		return ""
	}
	n.dispatch(m)
	return "message from " + m.From.Name
}

// adoptsTerm reports whether the replica adopts the term of m if it is higher. It
// does not for pre-vote requests and granted pre-votes, whose term is only
// proposed.
func (n *Node) adoptsTerm(m Message) bool {
	return m.Kind != MessagePreVote && (m.Kind != MessagePreVoteResponse || m.Rejected)
}

// rejectStaleTerm answers a request of an earlier term with the current term, so
// that a stale leader or candidate steps down.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Kind {
	case MessagePreVote:
		n.send(m.From, Message{Kind: MessagePreVoteResponse, Rejected: true})
	case MessageVote:
		n.send(m.From, Message{Kind: MessageVoteResponse, Rejected: true})
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(m.From, Message{Kind: MessageHeartbeatResponse, Rejected: true})
	}
}

// dispatch calls the handler for the kind of a message.
func (n *Node) dispatch(m Message) {
	switch m.Kind {
	case MessagePreVote, MessageVote:
		n.handleVoteRequest(m)
	case MessagePreVoteResponse, MessageVoteResponse:
		n.handleVoteResponse(m)
	case MessageHeartbeat, MessageAppend, MessageSnapshot:
		n.handleLeaderMessage(m)
	case MessageHeartbeatResponse, MessageAppendResponse, MessageSnapshotResponse:
		n.handleMemberResponse(m)
	}
}
