package raft

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxElectionTime bounds the time until a new leader is elected: two attempts of the longest election timeout and the
// old leader's step-down.
const maxElectionTime = 3 * DefaultElectionTimeoutMax

// TestFaultCases runs one case per fault, with a leader of three voters and with ten
// seeds.
func TestFaultCases(t *testing.T) {
	for name, scenario := range map[string]func(*testing.T, *simulation, *replica, *replica){
		"leader that receives nothing steps down and is replaced": func(t *testing.T, s *simulation, leader, _ *replica) {
			s.isolate(leader.id.Name, true, false)
			require.True(t, s.run(maxElectionTime, func() bool { return s.leader() != nil && s.leader() != leader }))
		},
		"leader that cannot send to any replica is replaced": func(t *testing.T, s *simulation, leader, _ *replica) {
			s.isolate(leader.id.Name, false, true)
			require.True(t, s.run(maxElectionTime, func() bool { return s.leader() != nil && s.leader() != leader }))
		},
		"candidates whose requests were lost are elected before another election timeout": func(t *testing.T, s *simulation, leader, follower *replica) {
			for _, r := range s.replicas[:3] {
				s.isolate(r.id.Name, true, true)
			}
			candidates := func() bool {
				return !slices.ContainsFunc(s.replicas[:3], func(r *replica) bool { return r.node.Role() != PreCandidate })
			}
			require.True(t, s.run(maxElectionTime, candidates))
			// The last requests are still on their way.
			s.run(20*time.Millisecond, never)
			for _, r := range s.replicas[:3] {
				s.isolate(r.id.Name, false, false)
			}
			require.True(t, s.run(DefaultHeartbeatInterval+50*time.Millisecond, func() bool { return s.leader() != nil }))
		},
		"leader without a quorum steps down": func(t *testing.T, s *simulation, leader, _ *replica) {
			s.isolate(leader.id.Name, true, true)
			require.True(t, s.run(DefaultElectionTimeoutMax+DefaultHeartbeatInterval, func() bool { return leader.node.Role() != Leader }))
		},
		"voter that receives nothing from the leader cannot depose it": func(t *testing.T, s *simulation, leader, follower *replica) {
			s.blockedLinks[[2]string{leader.id.Name, follower.id.Name}] = true
			term := leader.node.Term()
			s.run(5*time.Second, func() bool { return leader.node.Term() != term })
			clear(s.blockedLinks)
			s.run(time.Second, never)
			require.Equal(t, term, leader.node.Term())
		},
		"voter that was isolated returns without an election": func(t *testing.T, s *simulation, leader, follower *replica) {
			term := leader.node.Term()
			s.isolate(follower.id.Name, true, true)
			s.run(3*time.Second, never)
			s.isolate(follower.id.Name, false, false)
			s.run(2*time.Second, never)
			require.Equal(t, term, leader.node.Term())
			require.Equal(t, leader.id, follower.node.Status().Leader)
		},
		"leader that was paused completes no read": func(t *testing.T, s *simulation, leader, _ *replica) {
			leader.paused = true
			require.True(t, s.run(maxElectionTime, func() bool { return s.leader() != leader }))
			s.propose(s.leader())
			s.run(time.Second, never)
			token := s.read(leader)
			leader.paused = false
			s.run(time.Second, never)
			require.ErrorIs(t, s.results[token], ErrNotLeader)
		},
		"replica with a lost disk does not vote": func(t *testing.T, s *simulation, leader, follower *replica) {
			s.crashExcept(leader, follower)
			s.diskLost[follower.id] = true
			s.crash(follower)
			wiped := s.create(follower.id.Name)
			require.Empty(t, wiped.node.Step(s.now, Receive{Message{Kind: MessageVote, From: leader.id, To: follower.id, Term: 99, Index: 99, LogTerm: 99}}))
			commit := leader.node.Commit()
			s.propose(leader)
			s.run(5*time.Second, never)
			require.Equal(t, commit, leader.node.Commit())
			require.Nil(t, s.leader())
		},
		"learner becomes a voter only after it has caught up": func(t *testing.T, s *simulation, leader, follower *replica) {
			d := s.create("d")
			s.blockedLinks[[2]string{"d", leader.id.Name}] = true
			s.step(leader, AddMember{Token: 1, Member: Member{ReplicaID: d.id}})
			s.run(2*time.Second, never)
			require.False(t, leader.node.configuration().IsVoter(d.id))
			s.step(leader, RemoveMember{Token: 2, ID: follower.id})
			require.ErrorIs(t, s.results[2], ErrChangePending)
			clear(s.blockedLinks)
			s.crashExcept(leader, d)
			commit := leader.node.Commit()
			s.propose(leader)
			s.run(time.Second, never)
			require.Equal(t, commit, leader.node.Commit())
			for _, r := range s.replicas[:3] {
				if !r.running {
					s.start(r)
				}
			}
			require.True(t, s.run(5*time.Second, func() bool { return d.node.Status().CommittedConfiguration.IsVoter(d.id) }))
		},
		"leader that removes itself steps down once the removal is committed": func(t *testing.T, s *simulation, leader, follower *replica) {
			s.step(leader, RemoveMember{Token: 1, ID: leader.id})
			require.Equal(t, Leader, leader.node.Role())
			require.True(t, s.run(maxElectionTime, func() bool { return s.leader() != nil && s.leader() != leader }))
			term := s.leader().node.Term()
			s.run(3*time.Second, never)
			require.Equal(t, term, s.leader().node.Term())
			require.Equal(t, 2, follower.node.Status().CommittedConfiguration.Voters())
		},
		"only one membership change is in progress": func(t *testing.T, s *simulation, leader, follower *replica) {
			s.step(leader, AddMember{Token: 1, Member: Member{ReplicaID: s.create("d").id}})
			s.step(leader, RemoveMember{Token: 2, ID: follower.id})
			s.step(leader, AddMember{Token: 3, Member: Member{ReplicaID: s.create("e").id}})
			require.NoError(t, s.results[1])
			require.ErrorIs(t, s.results[2], ErrChangePending)
			require.ErrorIs(t, s.results[3], ErrChangePending)
		},
		"removal waits until the previous one is committed": func(t *testing.T, s *simulation, leader, follower *replica) {
			s.step(leader, RemoveMember{Token: 1, ID: follower.id})
			s.step(leader, RemoveMember{Token: 2, ID: leader.id})
			require.NoError(t, s.results[1])
			require.ErrorIs(t, s.results[2], ErrChangePending)
		},
		"new leader accepts no membership change before its first commit": func(t *testing.T, s *simulation, leader, follower *replica) {
			s.crash(leader)
			require.True(t, s.run(maxElectionTime, func() bool { return s.leader() != nil }))
			s.step(s.leader(), RemoveMember{Token: 1, ID: leader.id})
			require.ErrorIs(t, s.results[1], ErrChangePending)
		},
		"removal that would leave no reachable quorum is refused": func(t *testing.T, s *simulation, leader, follower *replica) {
			s.crashExcept(leader, follower)
			s.run(DefaultElectionTimeoutMax, never)
			s.step(leader, RemoveMember{Token: 1, ID: follower.id})
			require.ErrorIs(t, s.results[1], ErrUnsafeChange)
		},
		"member of a cluster accepts no other initial configuration": func(t *testing.T, s *simulation, leader, follower *replica) {
			s.step(follower, Bootstrap{Token: 1, Configuration: voters("a", "b", "c")})
			require.ErrorIs(t, s.results[1], ErrAlreadyFormed)
			s.step(s.create("d"), Bootstrap{Token: 2, Configuration: voters("a", "b", "c")})
			require.ErrorIs(t, s.results[2], ErrInvalidConfiguration)
		},
		"concurrent reads share a round": func(t *testing.T, s *simulation, leader, _ *replica) {
			heartbeats := 0
			s.trace = func(m Message) {
				if m.Kind == MessageHeartbeat {
					heartbeats++
				}
			}
			var lastToken uint64
			for range 50 {
				lastToken = s.read(leader)
			}
			done := func() bool { _, ok := s.results[lastToken]; return ok }
			require.True(t, s.run(50*time.Millisecond, done))
			require.NoError(t, s.results[lastToken])
			// Two rounds with two peers, and one regular heartbeat.
			require.LessOrEqual(t, heartbeats, 6)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				s := newSimulation(t, seed, Config{}, "a", "b", "c", "d", "e")
				s.bootstrap("a", "b", "c")
				require.True(t, s.run(maxElectionTime, func() bool { return s.leader() != nil }))
				leader := s.leader()
				s.run(300*time.Millisecond, never)
				require.Equal(t, leader, s.leader())
				follower := s.replicas[0]
				if follower == leader {
					follower = s.replicas[1]
				}
				scenario(t, s, leader, follower)
			}
		})
	}
}

// never is a condition for run that is never met, so that run uses its whole timeout.
func never() bool { return false }

// crashExcept crashes all replicas but the survivors.
func (s *simulation) crashExcept(survivors ...*replica) {
	for _, r := range s.replicas {
		if !slices.Contains(survivors, r) {
			s.crash(r)
		}
	}
}

// newSimulationWithLogs returns a simulation of the voters a, b and c. Only the
// voters for which logs has an element run; each element lists the terms of the
// entries after the initial snapshot.
func newSimulationWithLogs(t *testing.T, cfg Config, logs ...[]uint64) *simulation {
	s := newSimulation(t, 1, cfg, "a", "b", "c")
	s.bootstrap("a", "b", "c")
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

// TestEarlierTermIsNotCommittedByCounting guards against committing an entry of
// an earlier term because a quorum holds it: a leader of a term in between could
// still overwrite it.
func TestEarlierTermIsNotCommittedByCounting(t *testing.T) {
	s := newSimulationWithLogs(t, Config{MaxBatchEntries: 1}, []uint64{2, 2}, nil)
	done := s.run(5*time.Second, func() bool {
		commit := s.replicas[0].node.Commit()
		require.True(t, commit == 1 || commit >= 4, "commit index %d", commit)
		return commit >= 4
	})
	require.True(t, done)
}

// TestConflictHintSkipsTerms guards against a leader that retries one entry
// earlier per round trip when a long part of the logs conflicts.
func TestConflictHintSkipsTerms(t *testing.T) {
	repeatTerm := func(term uint64) []uint64 {
		terms := make([]uint64, 500)
		for i := range terms {
			terms[i] = term
		}
		return terms
	}
	s := newSimulationWithLogs(t, Config{MaxBatchEntries: 1000}, repeatTerm(3), repeatTerm(2))
	rejections := 0
	s.trace = func(m Message) {
		if m.Kind == MessageAppendResponse && m.Rejected {
			rejections++
		}
	}
	require.True(t, s.run(5*time.Second, func() bool { return s.replicas[1].applied > 500 }))
	require.LessOrEqual(t, rejections, 3)
}

// TestReplicaCampaignsUntilItsRemovalIsCommitted guards against a cluster that
// stays without a leader. This happens if the replica with the longest log stops
// campaigning because its own uncommitted removal is in that log: no other replica
// can win an election, because it needs the vote of that replica and has the shorter
// log.
func TestReplicaCampaignsUntilItsRemovalIsCommitted(t *testing.T) {
	s := newSimulation(t, 1, Config{}, "a", "b")
	s.bootstrap("a", "b")
	a, b := s.replicas[0], s.replicas[1]
	removal := Configuration{Members: []Member{{ReplicaID: a.id}}}
	s.persist(b, Persist{HardState: &HardState{Term: 2}, Entries: []Entry{{Index: 2, Term: 2, Kind: EntryConfiguration, Data: encodeConfiguration(removal)}}})
	s.start(b)
	require.True(t, s.run(5*time.Second, func() bool { return a.node.Role() == Leader }))
	require.Equal(t, removal, a.node.Status().CommittedConfiguration)
}

// TestFollowerResponses checks a follower's responses to single messages of a
// leader or candidate "a". The follower "b" starts in term 2 with the entries 2, 3
// and 4, all of term 2.
func TestFollowerResponses(t *testing.T) {
	configurationEntry := Entry{Index: 5, Term: 2, Kind: EntryConfiguration, Data: []byte(`{"members":[]}`)}
	type response struct {
		// kind is zero if no response is expected.
		kind     MessageKind
		rejected bool
		index    uint64
	}
	for name, c := range map[string]struct {
		messages          []Message
		want              response
		lastIndex, commit uint64
	}{
		"delayed append keeps later entries": {
			[]Message{{Kind: MessageAppend, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}}},
			response{MessageAppendResponse, false, 2}, 4, 1},
		"commit covers only what the append has checked": {
			[]Message{{Kind: MessageAppend, Term: 3, Index: 1, LogTerm: 1, Commit: 3}},
			response{MessageAppendResponse, false, 1}, 4, 1},
		"conflict replaces the suffix": {
			[]Message{{Kind: MessageAppend, Term: 3, Index: 2, LogTerm: 2, Entries: []Entry{{Index: 3, Term: 3}}}},
			response{MessageAppendResponse, false, 3}, 3, 1},
		"configuration is rolled back with its entry": {
			[]Message{
				{Kind: MessageAppend, Term: 2, Index: 4, LogTerm: 2, Entries: []Entry{configurationEntry}},
				{Kind: MessageAppend, Term: 3, Index: 4, LogTerm: 2, Entries: []Entry{{Index: 5, Term: 3}}},
			},
			response{MessageAppendResponse, false, 5}, 5, 1},
		"snapshot keeps acknowledged entries after it": {
			[]Message{{Kind: MessageSnapshot, Term: 2, Chunk: &SnapshotChunk{SnapshotMeta{3, 2, voters("a", "b", "c")}, 0, 40, make([]byte, 40)}}},
			response{MessageAppendResponse, false, 3}, 4, 3},
		"leader of an earlier term receives the current term": {
			[]Message{{Kind: MessageHeartbeat, Term: 1}},
			response{MessageHeartbeatResponse, true, 0}, 4, 1},
		"vote for an equal log":                {[]Message{{Kind: MessageVote, Term: 3, Index: 4, LogTerm: 2}}, response{MessageVoteResponse, false, 0}, 4, 1},
		"no vote for a shorter log":            {[]Message{{Kind: MessageVote, Term: 3, Index: 3, LogTerm: 2}}, response{MessageVoteResponse, true, 0}, 4, 1},
		"no vote for a log of an earlier term": {[]Message{{Kind: MessageVote, Term: 3, Index: 9, LogTerm: 1}}, response{MessageVoteResponse, true, 0}, 4, 1},
		"one vote per term": {
			[]Message{{Kind: MessageVote, From: ReplicaID{"c", "disk2"}, Term: 3, Index: 4, LogTerm: 2}, {Kind: MessageVote, Term: 3, Index: 4, LogTerm: 2}},
			response{MessageVoteResponse, true, 0}, 4, 1},
		"no vote while in contact with the leader": {
			[]Message{{Kind: MessageHeartbeat, From: ReplicaID{"c", "disk2"}, Term: 2}, {Kind: MessageVote, Term: 3, Index: 4, LogTerm: 2}},
			response{}, 4, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulationWithLogs(t, Config{}, nil, []uint64{2, 2, 2})
			a, b := s.replicas[0], s.replicas[1]
			initial := b.node.configuration()
			var got response
			for _, m := range c.messages {
				got = response{}
				s.trace = func(m Message) { got = response{m.Kind, m.Rejected, m.Index} }
				if m.From.IsZero() {
					m.From = a.id
				}
				m.To = b.id
				s.step(b, Receive{m})
			}
			require.Equal(t, c.want, got)
			require.Equal(t, c.lastIndex, b.lastDurableIndex())
			require.Equal(t, c.commit, b.node.Commit())
			require.Equal(t, initial.Voters(), b.node.configuration().Voters())
		})
	}
}

// voters returns a configuration of voters with the given names and the storage
// that the simulation gives to its first replicas.
func voters(names ...string) Configuration {
	var c Configuration
	for i, name := range names {
		c.Members = append(c.Members, Member{ReplicaID: ReplicaID{name, fmt.Sprint("disk", i)}})
	}
	return c
}

// TestCombinePersist guards against a combined write that keeps entries which a
// snapshot in the same batch replaced.
func TestCombinePersist(t *testing.T) {
	first, snapshot, last := Entry{Index: 2}, &Snapshot{}, Entry{Index: 4, Term: 3}
	got, ok := CombinePersist([]Effect{
		Persist{HardState: &HardState{Term: 1}, Entries: []Entry{first}}, Send{},
		Persist{HardState: &HardState{Term: 2}, Snapshot: snapshot, Entries: []Entry{{Index: 4}}}, Persist{Entries: []Entry{last}},
	})
	require.True(t, ok)
	require.Equal(t, Persist{HardState: &HardState{Term: 2}, Entries: []Entry{{Index: 4}, last}, Snapshot: snapshot}, got)
}
