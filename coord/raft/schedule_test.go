package raft

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/internal/schedule"
)

// defaultSchedules keeps the package's tests short; SCHEDULES overrides it.
const defaultSchedules = 20

// Guards the protocol against combinations of loss, duplication, reordering,
// partitions, crashes, pauses, lost disks and membership changes. SEED, STEPS
// and SCHEDULES choose the schedules; the first seed is the time by default.
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

func runSchedule(t *testing.T, seed uint64, steps int) map[string]int {
	cfg := Config{CompactAfter: 30, RetainEntries: 8, MaxBatchEntries: 1 + int(seed%5), SnapshotChunkBytes: 16}
	s := newSimulation(t, seed, cfg, "a", "b", "c", "d", "e")
	s.form(s.names[:3+2*s.rand.IntN(2)]...)
	for range steps {
		s.randomAction()
	}
	s.recover()
	return s.counts
}

// randomAction changes the environment, sends a request or lets time pass.
func (s *simulation) randomAction() {
	r := s.replicas[s.rand.IntN(len(s.replicas))]
	awake := r.up && !r.paused
	lead := s.leader()
	if lead != nil && s.rand.IntN(3) > 0 {
		r, awake = lead, !lead.paused
	}
	switch n := s.rand.IntN(200); {
	case n < 30 && awake:
		s.propose(r)
	case n >= 30 && n < 45 && awake:
		s.read(r)
	case n == 45 && awake:
		s.counts["crashes"]++
		s.stepCrash(r, s.rand.IntN(6), append(r.inbox, Tick{})...)
		s.crash(r)
	case n >= 46 && n < 52:
		s.restartAny()
	case n == 52:
		s.counts["cuts"]++
		s.cutRandomly()
	case n >= 53 && n < 55:
		clear(s.cut)
	case n == 55 && awake:
		s.counts["pauses"]++
		r.paused = true
	case n >= 56 && n < 60:
		s.resumeAny()
	case n == 60:
		s.loseDisk(r)
	case n >= 61 && n < 66 && awake && r == lead:
		s.operate(lead, s.rand.IntN(8) == 0)
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

func (s *simulation) restartAny() {
	r := s.replicas[s.rand.IntN(len(s.replicas))]
	if !r.up && !s.dead[r.id] {
		s.start(r)
	}
}

func (s *simulation) resumeAny() { s.replicas[s.rand.IntN(len(s.replicas))].paused = false }

// cutRandomly cuts one direction between two names, or a name from all others.
func (s *simulation) cutRandomly() {
	a, b := s.names[s.rand.IntN(len(s.names))], s.names[s.rand.IntN(len(s.names))]
	switch s.rand.IntN(3) {
	case 0:
		s.cut[[2]string{a, b}] = true
	case 1:
		s.isolate(a, true, true)
	default:
		inbound := s.rand.IntN(2) == 0
		s.isolate(a, inbound, !inbound)
	}
}

func (s *simulation) isolate(name string, inbound, outbound bool) {
	for _, other := range s.names {
		s.cut[[2]string{other, name}] = inbound
		s.cut[[2]string{name, other}] = outbound
	}
}

// loseDisk replaces a replica by one with an empty disk, unless a quorum of some
// configuration would be lost for good, which no protocol repairs.
func (s *simulation) loseDisk(r *replica) {
	if s.dead[r.id] {
		return
	}
	s.dead[r.id] = true
	for _, other := range s.replicas {
		for _, at := range other.node.configurations {
			promoted := Configuration{Members: slices.Clone(at.Members)}
			for i := range promoted.Members {
				promoted.Members[i].Learner = false
			}
			if !s.survives(at.Configuration) || !s.survives(promoted) {
				delete(s.dead, r.id)
				return
			}
		}
	}
	s.counts["disks lost"]++
	s.crash(r)
	s.create(r.id.Name)
}

func (s *simulation) survives(c Configuration) bool {
	intact := 0
	for _, m := range c.Members {
		if !m.Learner && !s.dead[m.ReplicaID] {
			intact++
		}
	}
	return intact >= c.Quorum()
}

// operate acts like an operator: adds replicas that are no members, removes
// those whose disk is lost and, if asked, a healthy voter.
func (s *simulation) operate(lead *replica, shrink bool) {
	c := lead.node.configuration()
	s.token++
	for _, m := range c.Members {
		replaced := slices.ContainsFunc(c.Members, func(o Member) bool { return o.Name == m.Name && !o.Learner && !s.dead[o.ReplicaID] })
		if s.dead[m.ReplicaID] && (m.Learner || replaced) {
			s.step(lead, RemoveMember{Token: s.token, ID: m.ReplicaID})
			return
		}
	}
	for _, r := range s.replicas {
		if _, member := c.Find(r.id); !member && !s.dead[r.id] && !shrink {
			s.step(lead, AddMember{Token: s.token, Member: Member{ReplicaID: r.id}})
			return
		}
	}
	m := c.Members[s.rand.IntN(len(c.Members))]
	if rest := c.without(m.ReplicaID); shrink && rest.Voters() > 2 && s.survives(rest) {
		s.step(lead, RemoveMember{Token: s.token, ID: m.ReplicaID})
	}
}

// recover ends all faults and requires that the cluster accepts a command and
// that every member converges.
func (s *simulation) recover() {
	clear(s.cut)
	s.loss, s.duplication, s.delay = 0, 0, 0
	for _, r := range s.replicas {
		r.paused = false
		if !r.up && !s.dead[r.id] {
			s.start(r)
		}
	}
	var token uint64
	committed := func() bool {
		lead := s.leader()
		if lead != nil && token == 0 {
			s.operate(lead, false)
			token = s.propose(lead)
		}
		if token != 0 && (lead == nil || s.answers[token] != nil) {
			token = 0
		}
		return token != 0 && lead.node.Commit() == lead.node.log.lastIndex() && lead.node.Commit() >= s.maximum
	}
	if !s.run(20*time.Second, committed) {
		s.fail("no progress after the faults ended: %s", s.describe())
	}
	if !s.run(20*time.Second, s.converged) {
		s.fail("members do not converge: %s", s.describe())
	}
}

func (s *simulation) converged() bool {
	lead := s.leader()
	if lead == nil {
		return false
	}
	c := lead.node.configuration()
	for _, r := range s.replicas {
		if _, member := c.Find(r.id); member && !s.dead[r.id] && (r.applied != lead.applied || r.hash != lead.hash) {
			return false
		}
	}
	return true
}
