package voters

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"hemlockvale.dev/coord/raft"
)

var (
	seeds     = flag.Int("voters.seeds", 300, "number of schedules of each kind")
	firstSeed = flag.Uint64("voters.first", 1, "seed of the first schedule")
)

const (
	// successorDelay is the time after which a VM that is gone for good has a successor, and
	// lossTime how long the loss counts after the start of the successor.
	successorDelay = time.Second
	lossTime       = 4 * time.Second
	// recoveryTime is the time in which a group that has lost one disk more serves again.
	recoveryTime = 12 * time.Second
)

// between returns a random duration, a multiple of simStep.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64((high-low)/simStep)))*simStep
}

// disturbance is something that happens to a VM between two losses.
type disturbance struct {
	at, until time.Duration
	vm        *simVM
	freeze    bool
}

// disturb plans restarts and suspensions of voters that end within a time. They come one after
// the other, in any order, each of any voter but the one that is gone.
func (s *simulation) disturb(gone *simVM, end time.Duration) []disturbance {
	var plan []disturbance
	for at := s.now + between(s.rand, 200*time.Millisecond, time.Second); len(plan) < 2; {
		d := disturbance{at: at, freeze: s.rand.IntN(2) == 0, until: at + between(s.rand, 200*time.Millisecond, 900*time.Millisecond)}
		if d.until > end {
			break
		}
		if voters := s.voters(); len(voters) > 0 {
			d.vm = voters[s.rand.IntN(len(voters))]
		}
		if d.vm != nil && d.vm != gone {
			plan = append(plan, d)
			at = d.until + between(s.rand, 50*time.Millisecond, 600*time.Millisecond)
		}
	}
	return plan
}

// playSecondLoss lets a voter go for good, disturbs its group, and takes the disk of another one after
// the first loss has stopped counting. The group must have a quorum again.
func playSecondLoss(t *testing.T, seed uint64, policy Policy, spare, retirement bool) {
	s := newSimulation(t, seed, policy)
	s.form("a", "b", "c")
	s.run(3 * time.Second)
	if spare {
		s.add("spare")
	}
	s.run(6 * time.Second)
	voters := s.voters()
	if len(voters) != 3 && policy.MaxVoters == 3 {
		s.fail("%d voters at the start", len(voters))
	}
	begin := s.now
	gone := voters[s.rand.IntN(len(voters))]
	plan := s.disturb(gone, begin+successorDelay+2*time.Second)
	s.note("%s is gone for good", gone.ReplicaID)
	s.stop(gone)
	retireAt := begin + between(s.rand, 300*time.Millisecond, 3*time.Second)
	started := false
	for s.now < begin+successorDelay+lossTime+200*time.Millisecond {
		s.run(s.now + simStep)
		if !started && s.now >= begin+successorDelay {
			started = true
			s.add("successor")
		}
		if retirement && s.now >= retireAt {
			if v := s.leader(); v != nil {
				retirement, s.leaving, s.retired[v.Storage] = false, v, true
				s.note("the retirement of %s starts", v.ReplicaID)
			}
		}
		for _, d := range plan {
			switch {
			case d.vm.removed:
			case s.now == d.at && d.freeze:
				s.note("%s is suspended", d.vm.ReplicaID)
				d.vm.frozen = true
			case s.now == d.at:
				s.stop(d.vm)
			case s.now == d.until && d.freeze:
				d.vm.frozen = false
			case s.now == d.until:
				s.start(d.vm)
			}
		}
	}
	voters = s.voters()
	victim := voters[s.rand.IntN(len(voters))]
	s.note("%s loses its disk", victim.ReplicaID)
	s.stop(victim)
	s.run(s.now + time.Second)
	s.wipe(victim)
	if !s.commits(recoveryTime) {
		s.fail("the group has lost its quorum")
	}
}

// TestSecondLossAfterTheFirstStoppedCounting guards against a group that loses its quorum for good
// because it still has a dead voter when another one loses its disk: leaders change, restart and are
// retired between the two losses, and each one starts to wait anew.
func TestSecondLossAfterTheFirstStoppedCounting(t *testing.T) {
	stores, controls := Policy{MinVoters: 3, MaxVoters: 3}, Policy{MinVoters: 3}
	cases := []struct {
		name              string
		policy            Policy
		spare, retirement bool
	}{
		{"store VMs", stores, false, false},
		{"store VMs and a spare", stores, true, false},
		{"store VMs, a spare and a retirement", stores, true, true},
		{"control VMs", controls, false, false},
		{"four control VMs", controls, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for i := range uint64(*seeds) {
				playSecondLoss(t, *firstSeed+i, c.policy, c.spare, c.retirement)
			}
		})
	}
}

func member(name string, silence time.Duration) Member {
	return Member{Member: raft.Member{ReplicaID: raft.ReplicaID{Name: name, Storage: "disk of " + name}}, Silence: silence, Heard: true}
}

func (m Member) unheard() Member { m.Heard = false; return m }
func (m Member) learner() Member { m.Learner = true; return m }
func (m Member) newDisk() Member { m.Storage = "new " + m.Storage; return m }

// TestRemoval guards against a dead voter that stays although the group would be safer without it,
// so that the next loss costs the quorum, and against a removal that leaves too few voters or of a VM that
// restarts.
func TestRemoval(t *testing.T) {
	const recent, second = 10 * time.Millisecond, time.Second
	a, b, c, d, e := member("a", time.Hour), member("b", recent), member("c", recent), member("d", recent), member("e", recent)
	cases := []struct {
		name    string
		members []Member
		want    raft.ReplicaID
	}{
		{"no voter is silent", []Member{a, b, c, d}, raft.ReplicaID{}},
		{"a dead voter is removed", []Member{a, member("b", 9*second), c, d, e}, b.ReplicaID},
		{"a restarting voter is kept", []Member{a, member("b", 2*second), c, d, e}, raft.ReplicaID{}},
		{"a dead voter is kept if too few voters would remain", []Member{a, member("b", 9*second), c}, raft.ReplicaID{}},
		{"other dead voters do not remain", []Member{a, member("b", 9*second), member("c", 8*second), d, member("e", 2*second)}, raft.ReplicaID{}},
		{"a silent voter is removed once a standby has taken its place", []Member{a, member("b", 2*second), c, d}, b.ReplicaID},
		{"a slow voter is kept", []Member{a, member("b", 900*time.Millisecond), c, d}, raft.ReplicaID{}},
		{"a new leader removes a voter that it has never heard", []Member{a, member("b", 700*time.Millisecond).unheard(), c, d}, b.ReplicaID},
		{"a new leader awaits the first responses", []Member{a, member("b", 500*time.Millisecond).unheard(), c, d}, raft.ReplicaID{}},
		{"voters that the leader has not heard do not remain", []Member{a, member("b", 700*time.Millisecond).unheard(), c, member("d", recent).unheard()}, raft.ReplicaID{}},
		{"of two silent voters, the one that is silent for longer is removed", []Member{a, member("b", 2*second), member("c", 5*second), d, e, member("f", recent)}, c.ReplicaID},
		{"a voter is removed after a replica with the same name and a new disk has replaced it", []Member{a, member("b", 2*second), c, b.newDisk()}, b.ReplicaID},
		{"a dead learner is removed, so that it does not block other changes", []Member{a, b, c, member("d", 5*second).learner()}, d.ReplicaID},
		{"a learner that is copying is kept", []Member{a, b, c, member("d", 2*second).learner()}, raft.ReplicaID{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := Policy{MinVoters: 3, MaxVoters: 5, DeadAfter: DefaultDeadAfter}
			change, _ := p.Next(Group{Self: a.ReplicaID, Members: tc.members})
			assert.Equal(t, tc.want, change.Remove)
		})
	}
}

// TestLeaving guards against a retirement that leaves the group without the voters that it
// needs: dead ones, learners, those not yet heard, and others that leave do not count.
func TestLeaving(t *testing.T) {
	const recent = 10 * time.Millisecond
	a, b, c, d, e := member("a", 0), member("b", recent), member("c", recent), member("d", recent), member("e", recent)
	gone := member("c", 2*time.Second)
	cases := []struct {
		name    string
		members []Member
		leaving Member
		retired []Member
		want    bool
	}{
		{"enough remain", []Member{a, b, c, d}, b, nil, true},
		{"enough remain without the leader", []Member{a, b, c, d}, a, nil, true},
		{"a dead voter does not remain", []Member{a, b, gone, d}, a, nil, false},
		{"a dead voter makes the majority larger", []Member{a, b, gone, d, e}, a, nil, false},
		{"a learner does not remain", []Member{a, b, c, d.learner()}, a, nil, false},
		{"a voter that the new leader has not heard does not remain", []Member{a, b, c.unheard(), d}, a, nil, false},
		{"another one that leaves does not remain", []Member{a, b, c, d}, a, []Member{a, d}, false},
		{"two leave after each other", []Member{a, b, c, d, e}, a, []Member{a, e}, true},
		{"a dead voter leaves", []Member{a, b, gone, d}, gone, nil, true},
		{"a learner leaves", []Member{a, b, gone, d.learner()}, d, nil, true},
		{"one that is no member has left", []Member{a, b, gone}, e, nil, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := Policy{MinVoters: 3, MaxVoters: 3, DeadAfter: DefaultDeadAfter, Retired: func(storage string) bool {
				for _, m := range tc.retired {
					if m.Storage == storage {
						return true
					}
				}
				return false
			}}
			g := Group{Self: a.ReplicaID, Members: tc.members}
			assert.Equal(t, tc.want, p.MayLeave(g, tc.leaving.ReplicaID))
			g.ChangePending = true
			assert.False(t, p.MayLeave(g, tc.leaving.ReplicaID), "the members may be others when the leader changes")
		})
	}
}

// TestStandby guards against a lost voter whose place stays free, against one that is added beside a
// voter that restarts, and against a retired replica that comes back.
func TestStandby(t *testing.T) {
	const recent = 10 * time.Millisecond
	a, b, c, e := member("a", 0), member("b", recent), member("c", recent), member("e", recent)
	cases := []struct {
		name    string
		members []Member
		standby Member
		want    bool
	}{
		{"all voters respond", []Member{a, b, c}, e, false},
		{"a voter restarts", []Member{a, b, member("c", time.Second)}, e, false},
		{"a voter is silent", []Member{a, b, member("c", 2*time.Second)}, e, true},
		{"a new leader has not heard a voter", []Member{a, b, member("c", 700*time.Millisecond).unheard()}, e, true},
		{"a new leader awaits the first responses", []Member{a, b, member("c", 300*time.Millisecond).unheard()}, e, false},
		{"the leader hears no quorum", []Member{a, member("b", 2*time.Second), member("c", 2*time.Second)}, e, false},
		{"a VM comes back with an empty disk", []Member{a, b, c}, c.newDisk(), true},
		{"a learner is copying", []Member{a, b, member("c", 2*time.Second), member("d", recent).learner()}, e, false},
		{"it is retired", []Member{a, b, member("c", 2*time.Second)}, member("retired", 0), false},
		{"a member is retired", []Member{a, b, member("retired", recent)}, e, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := Policy{MinVoters: 3, MaxVoters: 3, DeadAfter: DefaultDeadAfter, Retired: func(storage string) bool { return storage == "disk of retired" }}
			_, wanted := p.Next(Group{Self: a.ReplicaID, Members: tc.members, Standbys: []raft.Member{tc.standby.Member}})
			assert.Equal(t, tc.want, wanted)
		})
	}
}
