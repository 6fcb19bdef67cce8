package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockvale.dev/coord/internal/schedule"
)

// defaultSchedules is the default number of random schedules; the environment variable
// SCHEDULES overrides it. It is low to keep the package's tests short.
const defaultSchedules = 5

// planSimulation simulates a deployment whose VMs hold records and whose assignments
// follow the planner.
type planSimulation struct {
	*fixture
	random       *rand.Rand
	live         map[VMRef]bool
	incarnations int
	promotions   int
	committed    []int           // number of records that the owner has acknowledged, by shard
	held         []map[VMRef]int // number of records on each VM, by shard
	follower     *State
	delayed      []Command // commands of earlier plans that are not applied yet
}

// applyChecked applies a command and checks that an accepted assignment loses no
// committed records.
func (s *planSimulation) applyChecked(c Command) {
	a := c.Assign
	if a == nil {
		a = c.RecreateShard
	}
	var old Assignment
	if a != nil {
		old, _ = s.state.Assignment(a.Shard)
	}
	if s.apply(c).Error != nil || a == nil {
		return
	}
	require.Equal(s.t, old.Version+1, a.Version)
	require.LessOrEqual(s.t, len(a.Replicas), s.state.Deployment().Replicas+1)
	require.Contains(s.t, a.InSync, a.Owner)
	if c.RecreateShard != nil {
		s.committed[a.Shard], s.held[a.Shard] = 0, map[VMRef]int{}
	} else if a.Owner != old.Owner && old.Version > 0 {
		require.Contains(s.t, old.InSync, a.Owner, "the new owner was not in sync")
		require.Equal(s.t, old.Epoch+1, a.Epoch)
		s.promotions++
	}
	for _, r := range a.InSync {
		require.Equal(s.t, s.committed[a.Shard], s.held[a.Shard][r], "shard %d: in-sync VM %v lacks records", a.Shard, r)
	}
}

// plan returns a plan after checking it against the current state.
func (s *planSimulation) plan() []Command {
	commands := Plan(s.state, s.live)
	require.Equal(s.t, commands, Plan(s.state.Clone(), s.live), "the plan depends on more than the state and the live VMs")
	for _, c := range commands {
		if c.RemoveVM != nil {
			vm, _ := s.state.VM(c.RemoveVM.ID)
			require.False(s.t, s.live[vm.VMRef])
		}
		if a := c.Assign; a != nil {
			require.True(s.t, s.live[a.Owner], "the new owner is dead")
			old, assigned := s.state.Assignment(a.Shard)
			eligible := 0
			for _, vm := range s.state.VMs() {
				if s.live[vm.VMRef] && !vm.Draining {
					eligible++
				}
			}
			kept := min(s.countLive(old.InSync), s.state.Deployment().Replicas, eligible)
			require.GreaterOrEqual(s.t, s.countLive(a.InSync), kept, "an in-sync replica was removed before its replacement was in sync")
			if assigned && a.Owner != old.Owner {
				require.Equal(s.t, s.live[old.Owner], a.Previous == old.Owner)
			}
		}
		require.Nil(s.t, c.RecreateShard, "a shard was recreated although RecreateLostShards is not set")
	}
	return commands
}

func (s *planSimulation) countLive(refs []VMRef) int {
	n := 0
	for _, r := range refs {
		if s.live[r] {
			n++
		}
	}
	return n
}

// commitRecord commits a record on a shard if every in-sync VM is live.
func (s *planSimulation) commitRecord(shard int) {
	a, ok := s.state.Assignment(shard)
	if !ok || slices.ContainsFunc(a.InSync, func(r VMRef) bool { return !s.live[r] }) {
		return
	}
	s.committed[shard]++
	for _, r := range a.InSync {
		s.held[shard][r] = s.committed[shard]
	}
}

// syncReplica copies a shard from its owner to one replica and adds that replica to the
// in-sync set.
func (s *planSimulation) syncReplica(shard int) {
	a, ok := s.state.Assignment(shard)
	if !ok || !s.live[a.Owner] {
		return
	}
	i := slices.IndexFunc(a.Replicas, func(r VMRef) bool { return !slices.Contains(a.InSync, r) && s.live[r] })
	if i < 0 {
		return
	}
	s.held[shard][a.Replicas[i]] = s.committed[shard]
	a.InSync = append(slices.Clone(a.InSync), a.Replicas[i])
	a.Version++
	s.applyChecked(Command{Assign: &a})
}

// startVM registers a new incarnation of a VM.
func (s *planSimulation) startVM(i int) {
	s.incarnations++
	vm := testVM(i, fmt.Sprint("run-", s.incarnations))
	if old, ok := s.state.VM(vm.ID); ok {
		s.live[old.VMRef] = false
	}
	s.mustApply(Command{RegisterVM: &vm})
	s.live[vm.VMRef] = true
}

// step performs one random action.
func (s *planSimulation) step(vms int) {
	shard := s.random.IntN(len(s.committed))
	i := s.random.IntN(vms)
	vm, registered := s.state.VM(testVM(i, "").ID)
	switch action := s.random.IntN(1000); {
	case action < 200:
		s.commitRecord(shard)
	case action < 500:
		s.syncReplica(shard)
	case action < 750:
		for _, c := range s.plan() {
			s.applyChecked(c)
		}
	case action < 780:
		s.delayed = append(s.delayed, s.plan()...)
	case action < 810:
		for _, c := range s.delayed {
			s.applyChecked(c)
		}
		s.delayed = nil
	case action < 820:
		s.startVM(i)
	case action < 840 && registered:
		s.live[vm.VMRef] = !s.live[vm.VMRef]
	case action < 880 && registered:
		s.live[vm.VMRef] = true
	case action < 884 && registered:
		s.mustApply(Command{DrainVM: &ObjectRef{ID: vm.ID}})
	case action < 890:
		if c, ok := RecreateLostShard(s.state, s.live, shard); ok {
			s.applyChecked(c)
		}
	case action < 950:
		s.apply(Command{Operation: fmt.Sprint("op-", s.random.IntN(50)), PutOrganisation: &Organisation{ID: fmt.Sprint("o", s.random.IntN(3)), Name: fmt.Sprint(s.random.IntN(3))}})
	default:
		s.syncFollower()
	}
}

// syncFollower updates the follower by changes or by a snapshot and compares it with
// the state.
func (s *planSimulation) syncFollower() {
	changes, ok := s.state.ChangesSince(s.follower.Revision())
	for _, c := range changes {
		s.follower.ApplyChange(c)
	}
	if !ok || s.random.IntN(4) == 0 {
		data, err := s.state.Snapshot()
		require.NoError(s.t, err)
		require.NoError(s.t, s.follower.Restore(data))
	}
	want, _ := s.state.FollowerSnapshot()
	have, _ := s.follower.FollowerSnapshot()
	require.Equal(s.t, string(want), string(have))
}

// TestPlanOnSchedules runs random schedules of failures, restarts, drains and delayed
// plans. It guards against an owner that lacks committed records, the removal of the
// last in-sync replica, a plan that depends on anything but its input, stale plans
// that take effect, and a planner that does not converge once all VMs are healthy.
func TestPlanOnSchedules(t *testing.T) {
	var promotions, lost, total int
	schedule.Check(t, defaultSchedules, func(r *rapid.T, steps int) {
		shards, vms := rapid.IntRange(1, 24).Draw(r, "shards"), rapid.IntRange(1, 9).Draw(r, "vms")
		f := &fixture{t: r, state: New()}
		f.mustApply(Command{Configure: &Deployment{Shards: shards, Replicas: rapid.IntRange(1, 4).Draw(r, "replicas")}})
		s := &planSimulation{
			fixture: f, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0)), live: map[VMRef]bool{},
			committed: make([]int, shards), held: make([]map[VMRef]int, shards), follower: New(),
		}
		for i := range s.held {
			s.held[i] = map[VMRef]int{}
		}
		for range steps {
			before := s.state.Assignments()
			s.step(vms)
			for _, old := range before {
				a, _ := s.state.Assignment(old.Shard)
				require.GreaterOrEqual(r, a.Epoch, old.Epoch)
				require.NotEmpty(r, a.InSync)
			}
		}
		// Draining and unregistered VMs restart and all others become live, so every shard
		// must be repaired unless its in-sync VMs were all replaced.
		for i := range vms {
			if vm, ok := s.state.VM(testVM(i, "").ID); !ok || vm.Draining {
				s.startVM(i)
			} else {
				s.live[vm.VMRef] = true
			}
		}
		s.converge(s.live)
		s.checkHealthy(vms)
		total += shards
		lost += len(LostShards(s.state, s.live))
		promotions += s.promotions
	})
	t.Logf("%d shards, %d lost at the end, %d changes of owner", total, lost, promotions)
}

// checkHealthy requires that every shard that is not lost has all of its replicas in
// sync, spread over the data centres.
func (s *planSimulation) checkHealthy(vms int) {
	lost := LostShards(s.state, s.live)
	desired := min(vms, s.state.Deployment().Replicas)
	for _, a := range s.state.Assignments() {
		if slices.Contains(lost, a.Shard) {
			continue
		}
		require.Len(s.t, a.InSync, desired, "shard %d", a.Shard)
		dataCentres := map[string]bool{}
		for _, r := range a.Replicas {
			vm, _ := s.state.VM(r.ID)
			require.Equal(s.t, vm.VMRef, r)
			dataCentres[vm.DataCentre] = true
		}
		require.Len(s.t, dataCentres, min(desired, 3), "shard %d", a.Shard)
	}
}
