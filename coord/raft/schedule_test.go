package raft

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/internal/schedule"
)

// defaultSchedules is the number of schedules per run. It keeps the package's tests short; SCHEDULES overrides it.
const defaultSchedules = 20

// TestRandomSchedules checks the protocol's invariants under random combinations
// of message loss, duplication and reordering, partitions, crashes, pauses, lost
// disks and membership changes. SEED, STEPS and SCHEDULES select the schedules;
// the first seed defaults to the current time.
func TestRandomSchedules(t *testing.T) {
	o := schedule.OptionsFromEnv(t, schedule.MinimumSteps, defaultSchedules)
	totals := map[string]int{}
	for i := range o.Count {
		for name, n := range runSchedule(t, o.Seed+i, o.Steps) {
			totals[name] += n
		}
	}
	t.Logf("covered: %v", totals)
	for _, name := range []string{"commits", "elections", "reads", "configurations", "snapshots taken", "snapshots installed", "crashes", "disks lost", "cuts", "pauses"} {
		require.Positive(t, totals[name], name)
	}
}

// runSchedule runs one schedule and returns how often each kind of event occurred.
func runSchedule(t *testing.T, seed uint64, steps int) map[string]int {
	cfg := Config{CompactAfter: 30, RetainEntries: 8, MaxBatchEntries: 1 + int(seed%5), SnapshotChunkBytes: 16}
	s := newSimulation(t, seed, cfg, "a", "b", "c", "d", "e")
	s.bootstrap(s.names[:3+2*s.rand.IntN(2)]...)
	for range steps {
		s.performRandomAction()
	}
	s.checkRecovery()
	return s.counts
}

// performRandomAction injects or ends a fault, sends a request or advances the time.
func (s *simulation) performRandomAction() {
	r := s.replicas[s.rand.IntN(len(s.replicas))]
	active := r.running && !r.paused
	leader := s.leader()
	if leader != nil && s.rand.IntN(3) > 0 {
		r, active = leader, !leader.paused
	}
	switch n := s.rand.IntN(200); {
	case n < 30 && active:
		s.propose(r)
	case n >= 30 && n < 45 && active:
		s.read(r)
	case n == 45 && active:
		s.counts["crashes"]++
		s.stepCrash(r, s.rand.IntN(6), append(r.inbox, Tick{})...)
		s.crash(r)
	case n >= 46 && n < 52:
		s.restartRandomReplica()
	case n == 52:
		s.counts["cuts"]++
		s.blockRandomLinks()
	case n >= 53 && n < 55:
		clear(s.blockedLinks)
	case n == 55 && active:
		s.counts["pauses"]++
		r.paused = true
	case n >= 56 && n < 60:
		s.resumeRandomReplica()
	case n == 60:
		s.loseDisk(r)
	case n >= 61 && n < 66 && active && r == leader:
		s.changeMembership(leader, s.rand.IntN(8) == 0)
	case n == 66:
		s.loss, s.duplication, s.delay = s.rand.Float64()*0.2, s.rand.Float64()*0.2, s.rand.Float64()*0.2
	case n == 67:
		s.loss, s.duplication, s.delay = 0, 0, 0
	case n == 68:
		s.advance(time.Duration(s.rand.IntN(700)) * time.Millisecond)
	default:
		s.advance(time.Duration(1+s.rand.IntN(20)) * time.Millisecond)
	}
}

// restartRandomReplica picks a replica and starts it if it has crashed and still has its disk.
func (s *simulation) restartRandomReplica() {
	r := s.replicas[s.rand.IntN(len(s.replicas))]
	if !r.running && !s.diskLost[r.id] {
		s.start(r)
	}
}

// resumeRandomReplica picks a replica and ends its pause, if any.
func (s *simulation) resumeRandomReplica() { s.replicas[s.rand.IntN(len(s.replicas))].paused = false }

// blockRandomLinks blocks one direction between two replicas, or isolates one
// replica from all others in one or both directions.
func (s *simulation) blockRandomLinks() {
	a, b := s.names[s.rand.IntN(len(s.names))], s.names[s.rand.IntN(len(s.names))]
	switch s.rand.IntN(3) {
	case 0:
		s.blockedLinks[[2]string{a, b}] = true
	case 1:
		s.isolate(a, true, true)
	default:
		inbound := s.rand.IntN(2) == 0
		s.isolate(a, inbound, !inbound)
	}
}

// isolate blocks or unblocks each direction between a replica and all others.
func (s *simulation) isolate(name string, inbound, outbound bool) {
	for _, other := range s.names {
		s.blockedLinks[[2]string{other, name}] = inbound
		s.blockedLinks[[2]string{name, other}] = outbound
	}
}

// loseDisk replaces a replica by one with an empty disk. It does nothing if some
// configuration would permanently lose its quorum, from which no protocol can recover.
func (s *simulation) loseDisk(r *replica) {
	if s.diskLost[r.id] {
		return
	}
	s.diskLost[r.id] = true
	for _, other := range s.replicas {
		for _, indexed := range other.node.configurations {
			promoted := Configuration{Members: slices.Clone(indexed.Members)}
			for i := range promoted.Members {
				promoted.Members[i].Learner = false
			}
			if !s.keepsQuorum(indexed.Configuration) || !s.keepsQuorum(promoted) {
				delete(s.diskLost, r.id)
				return
			}
		}
	}
	s.counts["disks lost"]++
	s.crash(r)
	s.create(r.id.Name)
}

// keepsQuorum reports whether a quorum of c's voters still has its disks.
func (s *simulation) keepsQuorum(c Configuration) bool {
	surviving := 0
	for _, m := range c.Members {
		if !m.Learner && !s.diskLost[m.ReplicaID] {
			surviving++
		}
	}
	return surviving >= c.Quorum()
}

// changeMembership makes one membership change as an operator would: it removes a
// member whose disk is lost, or adds a replica that is not a member. If removeVoter is
// set, it adds no replica and may remove a random member instead.
func (s *simulation) changeMembership(leader *replica, removeVoter bool) {
	c := leader.node.configuration()
	s.lastToken++
	for _, m := range c.Members {
		replaced := slices.ContainsFunc(c.Members, func(o Member) bool { return o.Name == m.Name && !o.Learner && !s.diskLost[o.ReplicaID] })
		if s.diskLost[m.ReplicaID] && (m.Learner || replaced) {
			s.step(leader, RemoveMember{Token: s.lastToken, ID: m.ReplicaID})
			return
		}
	}
	for _, r := range s.replicas {
		if _, member := c.Find(r.id); !member && !s.diskLost[r.id] && !removeVoter {
			s.step(leader, AddMember{Token: s.lastToken, Member: Member{ReplicaID: r.id}})
			return
		}
	}
	m := c.Members[s.rand.IntN(len(c.Members))]
	if rest := c.without(m.ReplicaID); removeVoter && rest.Voters() > 2 && s.keepsQuorum(rest) {
		s.step(leader, RemoveMember{Token: s.lastToken, ID: m.ReplicaID})
	}
}

// checkRecovery ends all faults and requires that the cluster commits a command
// and that every member converges.
func (s *simulation) checkRecovery() {
	clear(s.blockedLinks)
	s.loss, s.duplication, s.delay = 0, 0, 0
	for _, r := range s.replicas {
		r.paused = false
		if !r.running && !s.diskLost[r.id] {
			s.start(r)
		}
	}
	var token uint64
	committed := func() bool {
		leader := s.leader()
		if leader != nil && token == 0 {
			s.changeMembership(leader, false)
			token = s.propose(leader)
		}
		if token != 0 && (leader == nil || s.results[token] != nil) {
			token = 0
		}
		return token != 0 && leader.node.Commit() == leader.node.log.lastIndex() && leader.node.Commit() >= s.maxCommitted
	}
	if !s.run(20*time.Second, committed) {
		s.fail("no progress after the faults ended: %s", s.describe())
	}
	if !s.run(20*time.Second, s.converged) {
		s.fail("members do not converge: %s", s.describe())
	}
}

// converged reports whether every member with its disk has applied the same entries as the leader.
func (s *simulation) converged() bool {
	leader := s.leader()
	if leader == nil {
		return false
	}
	c := leader.node.configuration()
	for _, r := range s.replicas {
		if _, member := c.Find(r.id); member && !s.diskLost[r.id] && (r.applied != leader.applied || r.hash != leader.hash) {
			return false
		}
	}
	return true
}
