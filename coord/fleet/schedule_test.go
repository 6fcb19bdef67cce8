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
func (w *planSimulation) applyChecked(c Command) {
	a := c.Assign
	if a == nil {
		a = c.RecreateShard
	}
	var old Assignment
	if a != nil {
		old, _ = w.state.Assignment(a.Shard)
	}
	if w.apply(c).Error != nil || a == nil {
		return
	}
	require.Equal(w.t, old.Version+1, a.Version)
	require.LessOrEqual(w.t, len(a.Replicas), w.state.Deployment().Replicas+1)
	require.Contains(w.t, a.InSync, a.Owner)
	if c.RecreateShard != nil {
		w.committed[a.Shard], w.held[a.Shard] = 0, map[VMRef]int{}
	} else if a.Owner != old.Owner && old.Version > 0 {
		require.Contains(w.t, old.InSync, a.Owner, "the new owner was not in sync")
		require.Equal(w.t, old.Epoch+1, a.Epoch)
		w.promotions++
	}
	for _, r := range a.InSync {
		require.Equal(w.t, w.committed[a.Shard], w.held[a.Shard][r], "shard %d: in-sync VM %v lacks records", a.Shard, r)
	}
}

// plan returns a plan after checking it against the current state.
func (w *planSimulation) plan() []Command {
	commands := Plan(w.state, w.live)
	require.Equal(w.t, commands, Plan(w.state.Clone(), w.live), "the plan depends on more than the state and the live VMs")
	for _, c := range commands {
		if c.RemoveVM != nil {
			vm, _ := w.state.VM(c.RemoveVM.ID)
			require.False(w.t, w.live[vm.VMRef])
		}
		if a := c.Assign; a != nil {
			require.True(w.t, w.live[a.Owner], "the new owner is dead")
			old, assigned := w.state.Assignment(a.Shard)
			eligible := 0
			for _, vm := range w.state.VMs() {
				if w.live[vm.VMRef] && !vm.Draining {
					eligible++
				}
			}
			kept := min(w.countLive(old.InSync), w.state.Deployment().Replicas, eligible)
			require.GreaterOrEqual(w.t, w.countLive(a.InSync), kept, "an in-sync replica was removed before its replacement was in sync")
			if assigned && a.Owner != old.Owner {
				require.Equal(w.t, w.live[old.Owner], a.Previous == old.Owner)
			}
		}
		require.Nil(w.t, c.RecreateShard, "a shard was recreated although RecreateLostShards is not set")
	}
	return commands
}

func (w *planSimulation) countLive(refs []VMRef) int {
	n := 0
	for _, r := range refs {
		if w.live[r] {
			n++
		}
	}
	return n
}

// commitRecord commits a record on a shard, which requires that every in-sync VM is live.
func (w *planSimulation) commitRecord(shard int) {
	a, ok := w.state.Assignment(shard)
	if !ok || slices.ContainsFunc(a.InSync, func(r VMRef) bool { return !w.live[r] }) {
		return
	}
	w.committed[shard]++
	for _, r := range a.InSync {
		w.held[shard][r] = w.committed[shard]
	}
}

// syncReplica copies a shard from its owner to one replica and adds that replica to the
// in-sync set.
func (w *planSimulation) syncReplica(shard int) {
	a, ok := w.state.Assignment(shard)
	if !ok || !w.live[a.Owner] {
		return
	}
	i := slices.IndexFunc(a.Replicas, func(r VMRef) bool { return !slices.Contains(a.InSync, r) && w.live[r] })
	if i < 0 {
		return
	}
	w.held[shard][a.Replicas[i]] = w.committed[shard]
	a.InSync = append(slices.Clone(a.InSync), a.Replicas[i])
	a.Version++
	w.applyChecked(Command{Assign: &a})
}

// startVM registers a new incarnation of a VM.
func (w *planSimulation) startVM(i int) {
	w.incarnations++
	vm := testVM(i, fmt.Sprint("run-", w.incarnations))
	if old, ok := w.state.VM(vm.ID); ok {
		w.live[old.VMRef] = false
	}
	w.mustApply(Command{RegisterVM: &vm})
	w.live[vm.VMRef] = true
}

// step performs one random action.
func (w *planSimulation) step(vms int) {
	shard := w.random.IntN(len(w.committed))
	i := w.random.IntN(vms)
	vm, registered := w.state.VM(testVM(i, "").ID)
	switch action := w.random.IntN(1000); {
	case action < 200:
		w.commitRecord(shard)
	case action < 500:
		w.syncReplica(shard)
	case action < 750:
		for _, c := range w.plan() {
			w.applyChecked(c)
		}
	case action < 780:
		w.delayed = append(w.delayed, w.plan()...)
	case action < 810:
		for _, c := range w.delayed {
			w.applyChecked(c)
		}
		w.delayed = nil
	case action < 820:
		w.startVM(i)
	case action < 840 && registered:
		w.live[vm.VMRef] = !w.live[vm.VMRef]
	case action < 880 && registered:
		w.live[vm.VMRef] = true
	case action < 884 && registered:
		w.mustApply(Command{DrainVM: &ObjectRef{ID: vm.ID}})
	case action < 890:
		if c, ok := RecreateLostShard(w.state, w.live, shard); ok {
			w.applyChecked(c)
		}
	case action < 950:
		w.apply(Command{Operation: fmt.Sprint("op-", w.random.IntN(50)), PutOrganisation: &Organisation{ID: fmt.Sprint("o", w.random.IntN(3)), Name: fmt.Sprint(w.random.IntN(3))}})
	default:
		w.syncFollower()
	}
}

// syncFollower updates the follower by changes or by a snapshot and compares it with
// the state.
func (w *planSimulation) syncFollower() {
	changes, ok := w.state.ChangesSince(w.follower.Revision())
	for _, c := range changes {
		w.follower.ApplyChange(c)
	}
	if !ok || w.random.IntN(4) == 0 {
		data, err := w.state.Snapshot()
		require.NoError(w.t, err)
		require.NoError(w.t, w.follower.Restore(data))
	}
	want, _ := w.state.FollowerSnapshot()
	have, _ := w.follower.FollowerSnapshot()
	require.Equal(w.t, string(want), string(have))
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
		w := &planSimulation{
			fixture: f, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0)), live: map[VMRef]bool{},
			committed: make([]int, shards), held: make([]map[VMRef]int, shards), follower: New(),
		}
		for i := range w.held {
			w.held[i] = map[VMRef]int{}
		}
		for range steps {
			before := w.state.Assignments()
			w.step(vms)
			for _, old := range before {
				a, _ := w.state.Assignment(old.Shard)
				require.GreaterOrEqual(r, a.Epoch, old.Epoch)
				require.NotEmpty(r, a.InSync)
			}
		}
		// Draining and unregistered VMs restart and all others become live, so every shard
		// must be repaired unless its in-sync VMs were all replaced.
		for i := range vms {
			if vm, ok := w.state.VM(testVM(i, "").ID); !ok || vm.Draining {
				w.startVM(i)
			} else {
				w.live[vm.VMRef] = true
			}
		}
		w.converge(w.live)
		w.checkHealthy(vms)
		total += shards
		lost += len(LostShards(w.state, w.live))
		promotions += w.promotions
	})
	t.Logf("%d shards, %d lost at the end, %d changes of owner", total, lost, promotions)
}

// checkHealthy requires that every shard that is not lost has all of its replicas in
// sync, spread over the data centres.
func (w *planSimulation) checkHealthy(vms int) {
	lost := LostShards(w.state, w.live)
	desired := min(vms, w.state.Deployment().Replicas)
	for _, a := range w.state.Assignments() {
		if slices.Contains(lost, a.Shard) {
			continue
		}
		require.Len(w.t, a.InSync, desired, "shard %d", a.Shard)
		dataCentres := map[string]bool{}
		for _, r := range a.Replicas {
			vm, _ := w.state.VM(r.ID)
			require.Equal(w.t, vm.VMRef, r)
			dataCentres[vm.DataCentre] = true
		}
		require.Len(w.t, dataCentres, min(desired, 3), "shard %d", a.Shard)
	}
}
