package fleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// fixture applies commands to a state with increasing revisions.
type fixture struct {
	t        require.TestingT
	state    *State
	revision uint64
}

// apply applies a command at the next revision.
func (f *fixture) apply(c Command) Result {
	f.revision++
	return f.state.Apply(f.revision, c)
}

// mustApply applies a command and fails the test if it is refused.
func (f *fixture) mustApply(c Command) Result {
	res := f.apply(c)
	require.Nil(f.t, res.Error, "%+v", res.Error)
	return res
}

func testVM(i int, incarnation string) VM {
	return VM{
		VMRef: VMRef{ID: fmt.Sprintf("vm-%04d", i), Incarnation: incarnation}, Role: RoleEntry,
		DataCentre: fmt.Sprintf("dc-%d", i%3), Region: "r1",
		RPCAddress: "127.0.0.1:7000", HTTPAddress: "127.0.0.1:8000",
	}
}

// newFixture returns a deployment with n live VMs and one organisation, and the set of
// live VMs.
func newFixture(t require.TestingT, shards, n int) (*fixture, map[VMRef]bool) {
	f := &fixture{t: t, state: New()}
	f.mustApply(Command{Configure: &Deployment{Shards: shards, Replicas: 3}})
	live := make(map[VMRef]bool)
	for i := range n {
		vm := testVM(i, "a")
		f.mustApply(Command{RegisterVM: &vm})
		live[vm.VMRef] = true
	}
	f.mustApply(Command{PutOrganisation: &Organisation{ID: "acme"}})
	f.mustApply(Command{PutProfile: &Profile{Name: "acme-default", Organisation: "acme", Limits: Limits{RatePerSecond: 10, Burst: 20}}})
	f.mustApply(Command{PutOrganisation: &Organisation{ID: "acme", Profile: "acme-default"}})
	f.mustApply(Command{PutService: &Service{Name: "llm", Kind: "engine", Profiles: map[string]string{"acme": "acme-default"}}})
	return f, live
}

// catchUp adds one replica to the in-sync set, as the owner does once the replica has
// caught up. It returns false if all replicas are in sync.
func (f *fixture) catchUp(a Assignment) bool {
	i := slices.IndexFunc(a.Replicas, func(r VMRef) bool { return !slices.Contains(a.InSync, r) })
	if i < 0 {
		return false
	}
	a.InSync = append(slices.Clone(a.InSync), a.Replicas[i])
	a.Version++
	f.mustApply(Command{Assign: &a})
	return true
}

// converge applies plans until a plan is empty and returns the number of rounds.
func (f *fixture) converge(live map[VMRef]bool) int {
	for round := range 2000 {
		commands := Plan(f.state, live)
		for _, c := range commands {
			f.mustApply(c)
		}
		changed := len(commands) > 0
		for _, a := range f.state.Assignments() {
			changed = f.catchUp(a) || changed
		}
		if !changed {
			return round
		}
	}
	require.Fail(f.t, "the planner did not converge")
	return 0
}

// TestPlanConverges guards against a planner that oscillates and against unbalanced
// owners and replicas after VMs join, fail and drain.
func TestPlanConverges(t *testing.T) {
	f, live := newFixture(t, 64, 20)
	t.Logf("initial: %d rounds", f.converge(live))
	for i := 20; i < 24; i++ {
		vm := testVM(i, "a")
		f.mustApply(Command{RegisterVM: &vm})
		live[vm.VMRef] = true
	}
	require.LessOrEqual(t, len(Plan(f.state, live)), MaxConcurrentMoves, "a joining VM triggers too many moves at once")
	t.Logf("join: %d rounds", f.converge(live))
	for i := 3; i < 5; i++ {
		live[testVM(i, "a").VMRef] = false
	}
	t.Logf("failure: %d rounds", f.converge(live))
	f.mustApply(Command{DrainVM: &ObjectRef{ID: "vm-0007"}})
	f.mustApply(Command{DrainVM: &ObjectRef{ID: "vm-0008"}})
	t.Logf("drain: %d rounds", f.converge(live))
	require.Len(t, f.state.VMs(), 22)
	owned, replicas := map[string]int{}, map[string]int{}
	for _, a := range f.state.Assignments() {
		owned[a.Owner.ID]++
		require.Len(t, a.InSync, 3)
		dataCentres := map[string]bool{}
		for _, r := range a.Replicas {
			vm, _ := f.state.VM(r.ID)
			dataCentres[vm.DataCentre] = true
			replicas[r.ID]++
		}
		require.Len(t, dataCentres, 3)
	}
	require.Zero(t, replicas["vm-0007"]+replicas["vm-0008"])
	for _, vm := range f.state.VMs() {
		if !vm.Draining {
			require.InDelta(t, 64.0/20, owned[vm.ID], 1, vm.ID)
			require.InDelta(t, 64.0*3/20, replicas[vm.ID], 3, vm.ID)
		}
	}
}
