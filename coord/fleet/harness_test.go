package fleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// fixture applies commands with growing revisions.
type fixture struct {
	t require.TestingT
	s *State
	r uint64
}

func (f *fixture) try(c Command) Result {
	f.r++
	return f.s.Apply(f.r, c)
}

func (f *fixture) must(c Command) Result {
	res := f.try(c)
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

// newFixture returns a deployment with n live VMs and one organisation.
func newFixture(t require.TestingT, shards, n int) (*fixture, map[VMRef]bool) {
	f := &fixture{t: t, s: New()}
	f.must(Command{Configure: &Deployment{Shards: shards, Replicas: 3}})
	live := make(map[VMRef]bool)
	for i := range n {
		vm := testVM(i, "a")
		f.must(Command{RegisterVM: &vm})
		live[vm.VMRef] = true
	}
	f.must(Command{PutOrganisation: &Organisation{ID: "acme"}})
	f.must(Command{PutProfile: &Profile{Name: "acme-default", Organisation: "acme", Limits: Limits{RatePerSecond: 10, Burst: 20}}})
	f.must(Command{PutOrganisation: &Organisation{ID: "acme", Profile: "acme-default"}})
	f.must(Command{PutService: &Service{Name: "llm", Kind: "engine", Profiles: map[string]string{"acme": "acme-default"}}})
	return f, live
}

// catchUp stands for an owner that adds its replicas to the in-sync set.
func (f *fixture) catchUp(a Assignment) bool {
	i := slices.IndexFunc(a.Replicas, func(r VMRef) bool { return !slices.Contains(a.InSync, r) })
	if i < 0 {
		return false
	}
	a.InSync = append(slices.Clone(a.InSync), a.Replicas[i])
	a.Version++
	f.must(Command{Assign: &a})
	return true
}

// converge plans until nothing is left to do and returns the number of rounds.
func (f *fixture) converge(live map[VMRef]bool) int {
	for round := range 2000 {
		commands := Plan(f.s, live)
		for _, c := range commands {
			f.must(c)
		}
		busy := len(commands) > 0
		for _, a := range f.s.Assignments() {
			busy = f.catchUp(a) || busy
		}
		if !busy {
			return round
		}
	}
	require.Fail(f.t, "the planner does not come to rest")
	return 0
}

// Guards against oscillation and against uneven owners and copies after VMs join, die and drain.
func TestPlanConverges(t *testing.T) {
	f, live := newFixture(t, 64, 20)
	t.Logf("initial: %d rounds", f.converge(live))
	for i := 20; i < 24; i++ {
		vm := testVM(i, "a")
		f.must(Command{RegisterVM: &vm})
		live[vm.VMRef] = true
	}
	require.LessOrEqual(t, len(Plan(f.s, live)), MaxMoves, "a joining VM moves too much at once")
	t.Logf("join: %d rounds", f.converge(live))
	for i := 3; i < 5; i++ {
		live[testVM(i, "a").VMRef] = false
	}
	t.Logf("death: %d rounds", f.converge(live))
	f.must(Command{DrainVM: &Ref{ID: "vm-0007"}})
	f.must(Command{DrainVM: &Ref{ID: "vm-0008"}})
	t.Logf("drain: %d rounds", f.converge(live))
	require.Len(t, f.s.VMs(), 22)
	owned, copies := map[string]int{}, map[string]int{}
	for _, a := range f.s.Assignments() {
		owned[a.Owner.ID]++
		require.Len(t, a.InSync, 3)
		centres := map[string]bool{}
		for _, r := range a.Replicas {
			vm, _ := f.s.VM(r.ID)
			centres[vm.DataCentre] = true
			copies[r.ID]++
		}
		require.Len(t, centres, 3)
	}
	require.Zero(t, copies["vm-0007"]+copies["vm-0008"])
	for _, vm := range f.s.VMs() {
		if !vm.Draining {
			require.InDelta(t, 64.0/20, owned[vm.ID], 1, vm.ID)
			require.InDelta(t, 64.0*3/20, copies[vm.ID], 3, vm.ID)
		}
	}
}
