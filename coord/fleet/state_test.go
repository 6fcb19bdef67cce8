package fleet

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

func revisionPointer(revision uint64) *uint64 { return &revision }

// TestApply guards against commands that bypass a check, errors without the right code
// and path, and refused commands that change the state. The cases run in order on
// one state.
func TestApply(t *testing.T) {
	f, _ := newFixture(t, 4, 3)
	vm0, vm1, vm2 := testVM(0, "a").VMRef, testVM(1, "a").VMRef, testVM(2, "a").VMRef
	hash := HashSecret("secret")
	org := func(o Organisation) Command { return Command{PutOrganisation: &o} }
	profile := func(p Profile) Command { p.Name, p.Organisation = "p", "acme"; return Command{PutProfile: &p} }
	key := func(k Key) Command { return Command{IssueKey: &k} }
	vm := func(edit func(*VM)) Command { m := testVM(9, "a"); edit(&m); return Command{RegisterVM: &m} }
	assign := func(a Assignment) Command { return Command{Assign: &a} }
	one := []VMRef{vm0}
	two := []VMRef{vm0, vm1}
	for i, c := range []struct {
		command    Command
		code, path string
	}{
		{Command{}, CodeInvalid, "command"},
		{Command{RemoveVM: &ObjectRef{ID: "x"}, DrainVM: &ObjectRef{ID: "x"}}, CodeInvalid, "command"},
		{org(Organisation{ID: "a/b"}), CodeInvalid, "put_organisation.id"},
		{org(Organisation{ID: "b", Profile: "none"}), CodeNotFound, "put_organisation.profile"},
		{org(Organisation{ID: "b", Profile: "acme-default"}), CodeInvalid, "put_organisation.profile"},
		{Command{ExpectedRevision: revisionPointer(0), PutOrganisation: &Organisation{ID: "acme"}}, CodeRevisionConflict, "put_organisation"},
		{Command{ExpectedRevision: revisionPointer(5), PutOrganisation: &Organisation{ID: "new"}}, CodeRevisionConflict, "put_organisation"},
		{Command{ExpectedRevision: revisionPointer(0), PutOrganisation: &Organisation{ID: "other"}}, "", ""},
		{profile(Profile{Limits: Limits{RatePerSecond: math.NaN()}}), CodeInvalid, "put_profile.limits.rate_per_second"},
		{profile(Profile{Limits: Limits{RatePerSecond: 1, Burst: math.Inf(1)}}), CodeInvalid, "put_profile.limits.burst"},
		{profile(Profile{Limits: Limits{RatePerSecond: 1, Burst: -1}}), CodeInvalid, "put_profile.limits.burst"},
		{profile(Profile{Limits: Limits{RatePerSecond: 1, Burst: 0.5}}), CodeInvalid, "put_profile.limits.burst"},
		{profile(Profile{Budget: Budget{MaxTokens: -1}}), CodeInvalid, "put_profile.budget.max_tokens"},
		{profile(Profile{Models: []string{"m"}, ModelAliases: map[string]string{"x": "y"}}), CodeInvalid, `put_profile.model_aliases["x"]`},
		{profile(Profile{Routes: []Route{{Service: "none", PathPrefix: "/"}}}), CodeNotFound, "put_profile.routes[0].service"},
		{profile(Profile{Routes: []Route{{Service: "llm", PathPrefix: "x"}}}), CodeInvalid, "put_profile.routes[0].path_prefix"},
		{profile(Profile{Routes: []Route{{Service: "llm", PathPrefix: "/x", Open: true}}}), CodeInvalid, "put_profile.routes[0].open"},
		{profile(Profile{Resend: Resend{Identify: "magic"}}), CodeInvalid, "put_profile.resend.identify"},
		{profile(Profile{Routes: []Route{{Service: "llm", PathPrefix: "/"}}}), "", ""},
		{Command{PutProfile: &Profile{Name: "p", Organisation: "other"}}, CodeInvalid, "put_profile.organisation"},
		{Command{RemoveProfile: &ObjectRef{ID: "acme-default"}}, CodeInUse, "remove_profile.id"},
		{Command{RemoveOrganisation: &ObjectRef{ID: "acme"}}, CodeInUse, "remove_organisation.id"},
		{Command{RemoveService: &ObjectRef{ID: "llm"}}, CodeInUse, "remove_service.id"},
		{Command{PutService: &Service{Name: "s", Kind: "engine", Profiles: map[string]string{"other": "p"}}}, CodeInvalid, `put_service.profiles["other"]`},
		{key(Key{ID: "k", Organisation: "acme", Hash: strings.ToUpper(hash)}), CodeInvalid, "issue_key.hash"},
		{key(Key{ID: "k", Organisation: "none", Hash: hash}), CodeNotFound, "issue_key.organisation"},
		{key(Key{ID: "k", Organisation: "acme", Hash: hash}), "", ""},
		{key(Key{ID: "k", Organisation: "acme", Hash: HashSecret("2")}), CodeExists, "issue_key.id"},
		{Command{WithdrawKey: &ObjectRef{ID: "k"}}, "", ""},
		{key(Key{ID: "k", Organisation: "acme", Hash: HashSecret("2")}), CodeExists, "issue_key.id"},
		{key(Key{ID: "k2", Organisation: "acme", Hash: hash}), CodeExists, "issue_key.hash"},
		{vm(func(m *VM) { m.RPCAddress = "host:1" }), CodeInvalid, "register_vm.rpc_address"},
		{vm(func(m *VM) { m.Role = "x" }), CodeInvalid, "register_vm.role"},
		{vm(func(m *VM) { m.ID = vm2.ID; m.Incarnation = "b" }), "", ""},
		{vm(func(m *VM) { m.ID = vm2.ID }), CodeVMReplaced, "register_vm.incarnation"},
		{Command{DrainVM: &ObjectRef{ID: vm2.ID, Incarnation: "a"}}, CodeVMReplaced, "drain_vm.incarnation"},
		{Command{Configure: &Deployment{Shards: 5, Replicas: 3}}, CodeInvalid, "configure.shards"},
		{assign(Assignment{Shard: 4, Epoch: 1, Version: 1, Owner: vm0, InSync: one, Replicas: one}), CodeInvalid, "assign.shard"},
		{assign(Assignment{Epoch: 1, Version: 1, Owner: vm2, InSync: []VMRef{vm2}, Replicas: []VMRef{vm2}}), CodeNotFound, "assign.replicas"},
		{assign(Assignment{Epoch: 1, Version: 1, Owner: vm0, InSync: two, Replicas: two}), CodeNotInSync, "assign.in_sync"},
		{assign(Assignment{Epoch: 1, Version: 1, Owner: vm0, InSync: one, Replicas: two}), "", ""},
		{Command{RemoveVM: &ObjectRef{ID: vm1.ID}}, CodeInUse, "remove_vm.id"},
		{assign(Assignment{Epoch: 1, Version: 1, Owner: vm0, InSync: one, Replicas: two}), CodeStaleVersion, "assign.version"},
		{assign(Assignment{Epoch: 2, Version: 2, Owner: vm1, InSync: two, Replicas: two}), CodeNotInSync, "assign.owner"},
		{assign(Assignment{Epoch: 2, Version: 2, Owner: vm0, InSync: two, Replicas: two}), CodeInvalid, "assign.epoch"},
		{assign(Assignment{Epoch: 1, Version: 2, Owner: vm0, InSync: two, Replicas: one}), CodeInvalid, "assign.in_sync"},
		{assign(Assignment{Epoch: 1, Version: 2, Owner: vm0, InSync: two, Replicas: two}), "", ""},
		{assign(Assignment{Epoch: 1, Version: 3, Owner: vm1, InSync: two, Replicas: two}), CodeInvalid, "assign.epoch"},
		{assign(Assignment{Epoch: 2, Version: 4, Owner: vm1, InSync: two, Replicas: two}), CodeStaleVersion, "assign.version"},
		{assign(Assignment{Epoch: 2, Version: 3, Owner: vm1, InSync: []VMRef{vm1}, Replicas: []VMRef{vm1}}), "", ""},
	} {
		before, _ := f.state.Snapshot()
		result := f.apply(c.command)
		if c.code == "" {
			require.Nil(t, result.Error, "case %d: %v", i, result.Error)
			require.Equal(t, f.revision, f.state.Revision())
			continue
		}
		require.NotNil(t, result.Error, "case %d: %+v", i, c.command)
		require.Equal(t, [2]string{c.code, c.path}, [2]string{result.Error.Code, result.Error.Path}, "case %d", i)
		after, _ := f.state.Snapshot()
		require.Equal(t, string(before), string(after), "case %d", i)
	}
	_, ok := f.state.Authenticate("secret")
	require.False(t, ok, "a withdrawn key still authenticates")
}

// TestOperations guards against conflicting concurrent writes that both succeed,
// retries that take effect twice, and an operation id that is forgotten while its
// change is still in the tail.
func TestOperations(t *testing.T) {
	f, _ := newFixture(t, 4, 0)
	have, _ := f.state.Organisation("acme")
	have.Name = "first"
	write := Command{Operation: "op-1", ExpectedRevision: revisionPointer(have.Revision), PutOrganisation: &have}
	first := f.mustApply(write)
	competing := have
	competing.Name = "second"
	conflict := Command{Operation: "op-2", ExpectedRevision: revisionPointer(have.Revision), PutOrganisation: &competing}
	require.Equal(t, CodeRevisionConflict, f.apply(conflict).Error.Code)
	early := Command{Operation: "op-3", RemoveOrganisation: &ObjectRef{ID: "later"}}
	require.Equal(t, CodeNotFound, f.apply(early).Error.Code)
	f.mustApply(Command{PutOrganisation: &Organisation{ID: "later"}})
	require.Equal(t, CodeNotFound, f.apply(early).Error.Code, "the retry of a refused operation has a different result")
	reused := write
	reused.PutOrganisation = &competing
	for i := range TailLength {
		require.Equal(t, first, f.apply(write), "retry after %d changes", i)
		if i%512 == 0 {
			require.Equal(t, CodeOperationReused, f.apply(reused).Error.Code)
			require.Equal(t, CodeRevisionConflict, f.apply(conflict).Error.Code)
			restored := New()
			data, err := f.state.Snapshot()
			require.NoError(t, err)
			require.NoError(t, restored.Restore(data))
			f.state = restored
		}
		if i < TailLength-1 {
			f.mustApply(Command{Operation: fmt.Sprintf("later-%d", i), PutOrganisation: &Organisation{ID: fmt.Sprintf("o%d", i%9)}})
		}
	}
}

// TestFollower guards against followers that differ from the control state after
// changes or a snapshot, that revert to an earlier revision, or whose readers see a
// partly applied change.
func TestFollower(t *testing.T) {
	f, _ := newFixture(t, 4, 3)
	follower := New()
	done := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if p, err := follower.ResolveProfile("acme", "llm"); err == nil && p.Organisation != "acme" {
					panic("torn read")
				}
				follower.EntriesFor("acme", 2)
				Plan(follower, nil)
				follower.Authenticate("secret-3")
			}
		})
	}
	for i := range 900 {
		if i%300 == 1 {
			old, err := f.state.FollowerSnapshot()
			require.NoError(t, err)
			require.NoError(t, follower.Restore(old))
			f.mustApply(Command{IssueKey: &Key{ID: fmt.Sprintf("k%d", i), Organisation: "acme", Hash: HashSecret(fmt.Sprint("secret-", i))}})
			changes, ok := f.state.ChangesSince(follower.Revision())
			require.True(t, ok)
			follower.ApplyChange(changes[0])
			require.ErrorIs(t, follower.Restore(old), ErrOlderSnapshot)
		}
		f.mustApply(Command{PutProfile: &Profile{Name: "acme-default", Organisation: "acme", Limits: Limits{RatePerSecond: float64(i), Burst: 5}}})
	}
	changes, ok := f.state.ChangesSince(follower.Revision())
	require.True(t, ok)
	for range 2 {
		for _, c := range changes {
			data, err := json.Marshal(c)
			require.NoError(t, err)
			var received Change
			require.NoError(t, json.Unmarshal(data, &received))
			follower.ApplyChange(received)
		}
	}
	follower.ApplyChange(changes[0])
	close(done)
	readers.Wait()
	want, _ := f.state.FollowerSnapshot()
	have, _ := follower.FollowerSnapshot()
	require.JSONEq(t, string(want), string(have))
	_, ok = f.state.ChangesSince(f.state.Revision() + 1)
	require.False(t, ok, "a follower ahead of the state gets changes")
}

// TestRouting guards against sub-agents in a different shard than their parent, and
// against entry lists that are unbalanced over data centres, contain draining VMs or
// change more than necessary when a VM is removed.
func TestRouting(t *testing.T) {
	require.Equal(t, ShardOf(64, "acme", "parent"), ShardOf(64, "acme", "parent/child/x"))
	counts := make([]int, 64)
	for i := range 64000 {
		counts[ShardOf(64, "acme", fmt.Sprint(i))]++
	}
	for _, n := range counts {
		require.InDelta(t, 1000, n, 200)
	}
	f, _ := newFixture(t, 4, 12)
	f.mustApply(Command{DrainVM: &ObjectRef{ID: "vm-0000"}})
	before := f.state.EntriesFor("acme", 6)
	dataCentres := map[string]int{}
	for _, vm := range before {
		dataCentres[vm.DataCentre]++
		require.False(t, vm.Draining)
	}
	require.Equal(t, map[string]int{"dc-0": 2, "dc-1": 2, "dc-2": 2}, dataCentres)
	require.Len(t, f.state.EntriesFor("", 50), 11)
	f.mustApply(Command{RemoveVM: &ObjectRef{ID: before[5].ID}})
	kept := 0
	for _, vm := range f.state.EntriesFor("acme", 6) {
		for _, old := range before {
			if vm.ID == old.ID {
				kept++
			}
		}
	}
	require.Equal(t, 5, kept, "entries other than the removed one changed")
}

// FuzzRestore guards against snapshots that cause a panic or are restored only in part.
func FuzzRestore(f *testing.F) {
	fx, _ := newFixture(f, 2, 2)
	data, _ := fx.state.Snapshot()
	f.Add(data)
	f.Add([]byte(`{"format":1,"deployment":{"shards":-1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New()
		if s.Restore(data) != nil {
			require.Zero(t, s.Revision())
			return
		}
		again, err := s.Snapshot()
		require.NoError(t, err)
		require.NoError(t, s.Restore(again))
		Plan(s, nil)
	})
}

// FuzzCommand guards against commands that cause a panic, and against accepted
// commands whose effect a snapshot does not preserve.
func FuzzCommand(f *testing.F) {
	for _, c := range []string{`{"put_organisation":{"id":"b"}}`, `{"assign":{"shard":-1}}`, `{"configure":{"shards":2,"replicas":9}}`, `{"issue_key":{"id":"k"}}`} {
		f.Add([]byte(c))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var c Command
		if json.Unmarshal(data, &c) != nil {
			return
		}
		fx, live := newFixture(t, 2, 2)
		fx.apply(c)
		Plan(fx.state, live)
		snapshot, err := fx.state.Snapshot()
		require.NoError(t, err)
		restored := New()
		require.NoError(t, restored.Restore(snapshot))
		again, err := restored.Snapshot()
		require.NoError(t, err)
		require.Equal(t, string(snapshot), string(again))
	})
}
