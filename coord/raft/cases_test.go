package raft

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// electionBound is the time for a new leader: two attempts of the longest timeout, and the old leader's step-down.
const electionBound = 3 * DefaultElectionTimeoutMax

// Guards the core against one named fault each, on three voters with a leader.
func TestFaultCases(t *testing.T) {
	for name, script := range map[string]func(*testing.T, *simulation, *replica, *replica){
		"leader that receives nothing steps down and is replaced": func(t *testing.T, s *simulation, lead, _ *replica) {
			s.isolate(lead.id.Name, true, false)
			require.True(t, s.run(electionBound, func() bool { return s.leader() != nil && s.leader() != lead }))
		},
		"leader that reaches nobody is replaced": func(t *testing.T, s *simulation, lead, _ *replica) {
			s.isolate(lead.id.Name, false, true)
			require.True(t, s.run(electionBound, func() bool { return s.leader() != nil && s.leader() != lead }))
		},
		"leader without a quorum steps down": func(t *testing.T, s *simulation, lead, _ *replica) {
			s.isolate(lead.id.Name, true, true)
			require.True(t, s.run(DefaultElectionTimeoutMax+DefaultHeartbeatInterval, func() bool { return lead.node.Role() != Leader }))
		},
		"voter that does not hear the leader cannot depose it": func(t *testing.T, s *simulation, lead, other *replica) {
			s.cut[[2]string{lead.id.Name, other.id.Name}] = true
			term := lead.node.Term()
			s.run(5*time.Second, func() bool { return lead.node.Term() != term })
			clear(s.cut)
			s.run(time.Second, never)
			require.Equal(t, term, lead.node.Term())
		},
		"voter that was isolated returns without an election": func(t *testing.T, s *simulation, lead, other *replica) {
			term := lead.node.Term()
			s.isolate(other.id.Name, true, true)
			s.run(3*time.Second, never)
			s.isolate(other.id.Name, false, false)
			s.run(2*time.Second, never)
			require.Equal(t, term, lead.node.Term())
			require.Equal(t, lead.id, other.node.Status().Leader)
		},
		"leader that was paused answers no read": func(t *testing.T, s *simulation, lead, _ *replica) {
			lead.paused = true
			require.True(t, s.run(electionBound, func() bool { return s.leader() != lead }))
			s.propose(s.leader())
			s.run(time.Second, never)
			token := s.read(lead)
			lead.paused = false
			s.run(time.Second, never)
			require.ErrorIs(t, s.answers[token], ErrNotLeader)
		},
		"replica with a lost disk does not vote": func(t *testing.T, s *simulation, lead, other *replica) {
			s.crashExcept(lead, other)
			s.dead[other.id] = true
			s.crash(other)
			wiped := s.create(other.id.Name)
			require.Empty(t, wiped.node.Step(s.now, Receive{Message{Kind: MessageVote, From: lead.id, To: other.id, Term: 99, Index: 99, LogTerm: 99}}))
			commit := lead.node.Commit()
			s.propose(lead)
			s.run(5*time.Second, never)
			require.Equal(t, commit, lead.node.Commit())
			require.Nil(t, s.leader())
		},
		"learner counts only when it has synced": func(t *testing.T, s *simulation, lead, other *replica) {
			d := s.create("d")
			s.cut[[2]string{"d", lead.id.Name}] = true
			s.step(lead, AddMember{Token: 1, Member: Member{ReplicaID: d.id}})
			s.run(2*time.Second, never)
			require.False(t, lead.node.configuration().IsVoter(d.id))
			s.step(lead, RemoveMember{Token: 2, ID: other.id})
			require.ErrorIs(t, s.answers[2], ErrChangePending)
			clear(s.cut)
			s.crashExcept(lead, d)
			commit := lead.node.Commit()
			s.propose(lead)
			s.run(time.Second, never)
			require.Equal(t, commit, lead.node.Commit())
			for _, r := range s.replicas[:3] {
				if !r.up {
					s.start(r)
				}
			}
			require.True(t, s.run(5*time.Second, func() bool { return d.node.Status().Committed.IsVoter(d.id) }))
		},
		"leader that removes itself steps down after the commit": func(t *testing.T, s *simulation, lead, other *replica) {
			s.step(lead, RemoveMember{Token: 1, ID: lead.id})
			require.Equal(t, Leader, lead.node.Role())
			require.True(t, s.run(electionBound, func() bool { return s.leader() != nil && s.leader() != lead }))
			term := s.leader().node.Term()
			s.run(3*time.Second, never)
			require.Equal(t, term, s.leader().node.Term())
			require.Equal(t, 2, other.node.Status().Committed.Voters())
		},
		"one change at a time": func(t *testing.T, s *simulation, lead, other *replica) {
			s.step(lead, AddMember{Token: 1, Member: Member{ReplicaID: s.create("d").id}})
			s.step(lead, RemoveMember{Token: 2, ID: other.id})
			s.step(lead, AddMember{Token: 3, Member: Member{ReplicaID: s.create("e").id}})
			require.NoError(t, s.answers[1])
			require.ErrorIs(t, s.answers[2], ErrChangePending)
			require.ErrorIs(t, s.answers[3], ErrChangePending)
		},
		"removals follow each other's commit": func(t *testing.T, s *simulation, lead, other *replica) {
			s.step(lead, RemoveMember{Token: 1, ID: other.id})
			s.step(lead, RemoveMember{Token: 2, ID: lead.id})
			require.NoError(t, s.answers[1])
			require.ErrorIs(t, s.answers[2], ErrChangePending)
		},
		"new leader changes nothing before its first commit": func(t *testing.T, s *simulation, lead, other *replica) {
			s.crash(lead)
			require.True(t, s.run(electionBound, func() bool { return s.leader() != nil }))
			s.step(s.leader(), RemoveMember{Token: 1, ID: lead.id})
			require.ErrorIs(t, s.answers[1], ErrChangePending)
		},
		"removal that would leave no reachable quorum is refused": func(t *testing.T, s *simulation, lead, other *replica) {
			s.crashExcept(lead, other)
			s.run(DefaultElectionTimeoutMax, never)
			s.step(lead, RemoveMember{Token: 1, ID: other.id})
			require.ErrorIs(t, s.answers[1], ErrUnsafeChange)
		},
		"member of a cluster accepts no other initial configuration": func(t *testing.T, s *simulation, lead, other *replica) {
			s.step(other, Bootstrap{Token: 1, Configuration: voters("a", "b", "c")})
			require.ErrorIs(t, s.answers[1], ErrAlreadyFormed)
			s.step(s.create("d"), Bootstrap{Token: 2, Configuration: voters("a", "b", "c")})
			require.ErrorIs(t, s.answers[2], ErrInvalidConfiguration)
		},
		"concurrent reads share a round": func(t *testing.T, s *simulation, lead, _ *replica) {
			heartbeats := 0
			s.trace = func(m Message) {
				if m.Kind == MessageHeartbeat {
					heartbeats++
				}
			}
			var last uint64
			for range 50 {
				last = s.read(lead)
			}
			done := func() bool { _, ok := s.answers[last]; return ok }
			require.True(t, s.run(50*time.Millisecond, done))
			require.NoError(t, s.answers[last])
			// Two rounds with two peers, and one regular heartbeat.
			require.LessOrEqual(t, heartbeats, 6)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				s := newSimulation(t, seed, Config{}, "a", "b", "c", "d", "e")
				s.form("a", "b", "c")
				require.True(t, s.run(electionBound, func() bool { return s.leader() != nil }))
				lead := s.leader()
				s.run(300*time.Millisecond, never)
				require.Equal(t, lead, s.leader())
				other := s.replicas[0]
				if other == lead {
					other = s.replicas[1]
				}
				script(t, s, lead, other)
			}
		})
	}
}

// never lets run use the whole time.
func never() bool { return false }

func (s *simulation) crashExcept(survivors ...*replica) {
	for _, r := range s.replicas {
		if !slices.Contains(survivors, r) {
			s.crash(r)
		}
	}
}

// withLogs returns a simulation of the voters a, b and c in which only the first
// ones run, with entries of the given terms behind the initial snapshot.
func withLogs(t *testing.T, cfg Config, logs ...[]uint64) *simulation {
	s := newSimulation(t, 1, cfg, "a", "b", "c")
	s.form("a", "b", "c")
	for i, r := range s.replicas {
		s.crash(r)
		if i >= len(logs) {
			continue
		}
		for j, term := range logs[i] {
			e := Entry{Index: InitialIndex + uint64(j) + 1, Term: term, Data: fmt.Append(nil, j)}
			r.disk.Entries = append(r.disk.Entries, e)
			r.disk.HardState.Term = max(r.disk.HardState.Term, term)
		}
		s.start(r)
	}
	return s
}

// Guards against committing an entry of an earlier term by counting replicas: a
// leader of a term in between could still overwrite it.
func TestEarlierTermIsNotCommittedByCounting(t *testing.T) {
	s := withLogs(t, Config{MaxBatchEntries: 1}, []uint64{2, 2}, nil)
	done := s.run(5*time.Second, func() bool {
		commit := s.replicas[0].node.Commit()
		require.True(t, commit == 1 || commit >= 4, "commit index %d", commit)
		return commit >= 4
	})
	require.True(t, done)
}

// Guards against a back-off of one entry per round trip on a long conflict.
func TestBackOffSkipsTerms(t *testing.T) {
	long := func(term uint64) []uint64 {
		terms := make([]uint64, 500)
		for i := range terms {
			terms[i] = term
		}
		return terms
	}
	s := withLogs(t, Config{MaxBatchEntries: 1000}, long(3), long(2))
	rejections := 0
	s.trace = func(m Message) {
		if m.Kind == MessageAppendResponse && m.Rejected {
			rejections++
		}
	}
	require.True(t, s.run(5*time.Second, func() bool { return s.replicas[1].applied > 500 }))
	require.LessOrEqual(t, rejections, 3)
}

// Guards against a replica that cannot win without the votes of others, and
// without which no other can win, giving up because its own removal is in its log.
func TestReplicaCampaignsUntilItsRemovalIsCommitted(t *testing.T) {
	s := newSimulation(t, 1, Config{}, "a", "b")
	s.form("a", "b")
	a, b := s.replicas[0], s.replicas[1]
	removal := Configuration{Members: []Member{{ReplicaID: a.id}}}
	s.persist(b, Persist{HardState: &HardState{Term: 2}, Entries: []Entry{{Index: 2, Term: 2, Kind: EntryConfiguration, Data: encodeConfiguration(removal)}}})
	s.start(b)
	require.True(t, s.run(5*time.Second, func() bool { return a.node.Role() == Leader }))
	require.Equal(t, removal, a.node.Status().Committed)
}

// Guards a follower's answers to single messages of a leader or candidate "a";
// the follower "b" starts with the entries 2, 3 and 4 of term 2 and the term 2.
func TestFollowerAnswers(t *testing.T) {
	changed := Entry{Index: 5, Term: 2, Kind: EntryConfiguration, Data: []byte(`{"members":[]}`)}
	type answer struct {
		// kind is zero if no answer is expected.
		kind     MessageKind
		rejected bool
		index    uint64
	}
	for name, c := range map[string]struct {
		messages     []Message
		want         answer
		last, commit uint64
	}{
		"delayed append keeps later entries": {
			[]Message{{Kind: MessageAppend, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}}},
			answer{MessageAppendResponse, false, 2}, 4, 1},
		"commit covers only what the append has checked": {
			[]Message{{Kind: MessageAppend, Term: 3, Index: 1, LogTerm: 1, Commit: 3}},
			answer{MessageAppendResponse, false, 1}, 4, 1},
		"conflict replaces the suffix": {
			[]Message{{Kind: MessageAppend, Term: 3, Index: 2, LogTerm: 2, Entries: []Entry{{Index: 3, Term: 3}}}},
			answer{MessageAppendResponse, false, 3}, 3, 1},
		"configuration is rolled back with its entry": {
			[]Message{
				{Kind: MessageAppend, Term: 2, Index: 4, LogTerm: 2, Entries: []Entry{changed}},
				{Kind: MessageAppend, Term: 3, Index: 4, LogTerm: 2, Entries: []Entry{{Index: 5, Term: 3}}},
			},
			answer{MessageAppendResponse, false, 5}, 5, 1},
		"snapshot keeps acknowledged entries behind it": {
			[]Message{{Kind: MessageSnapshot, Term: 2, Chunk: &SnapshotChunk{SnapshotMeta{3, 2, voters("a", "b", "c")}, 0, 40, make([]byte, 40)}}},
			answer{MessageAppendResponse, false, 3}, 4, 3},
		"stale leader is told the term": {
			[]Message{{Kind: MessageHeartbeat, Term: 1}},
			answer{MessageHeartbeatResponse, true, 0}, 4, 1},
		"vote for an equal log":   {[]Message{{Kind: MessageVote, Term: 3, Index: 4, LogTerm: 2}}, answer{MessageVoteResponse, false, 0}, 4, 1},
		"no vote for a short log": {[]Message{{Kind: MessageVote, Term: 3, Index: 3, LogTerm: 2}}, answer{MessageVoteResponse, true, 0}, 4, 1},
		"no vote for an old term": {[]Message{{Kind: MessageVote, Term: 3, Index: 9, LogTerm: 1}}, answer{MessageVoteResponse, true, 0}, 4, 1},
		"one vote per term": {
			[]Message{{Kind: MessageVote, From: ReplicaID{"c", "disk2"}, Term: 3, Index: 4, LogTerm: 2}, {Kind: MessageVote, Term: 3, Index: 4, LogTerm: 2}},
			answer{MessageVoteResponse, true, 0}, 4, 1},
		"no vote while the leader is heard": {
			[]Message{{Kind: MessageHeartbeat, From: ReplicaID{"c", "disk2"}, Term: 2}, {Kind: MessageVote, Term: 3, Index: 4, LogTerm: 2}},
			answer{}, 4, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := withLogs(t, Config{}, nil, []uint64{2, 2, 2})
			a, b := s.replicas[0], s.replicas[1]
			initial := b.node.configuration()
			var got answer
			for _, m := range c.messages {
				got = answer{}
				s.trace = func(m Message) { got = answer{m.Kind, m.Rejected, m.Index} }
				if m.From.IsZero() {
					m.From = a.id
				}
				m.To = b.id
				s.step(b, Receive{m})
			}
			require.Equal(t, c.want, got)
			require.Equal(t, c.last, b.last())
			require.Equal(t, c.commit, b.node.Commit())
			require.Equal(t, initial.Voters(), b.node.configuration().Voters())
		})
	}
}

func voters(names ...string) Configuration {
	var c Configuration
	for i, name := range names {
		c.Members = append(c.Members, Member{ReplicaID: ReplicaID{name, fmt.Sprint("disk", i)}})
	}
	return c
}

// Guards against a combined write that keeps entries which a snapshot replaced.
func TestCombinePersist(t *testing.T) {
	first, snapshot, last := Entry{Index: 2}, &Snapshot{}, Entry{Index: 4, Term: 3}
	got, ok := CombinePersist([]Effect{
		Persist{HardState: &HardState{Term: 1}, Entries: []Entry{first}}, Send{},
		Persist{HardState: &HardState{Term: 2}, Snapshot: snapshot, Entries: []Entry{{Index: 4}}}, Persist{Entries: []Entry{last}},
	})
	require.True(t, ok)
	require.Equal(t, Persist{HardState: &HardState{Term: 2}, Entries: []Entry{{Index: 4}, last}, Snapshot: snapshot}, got)
}
