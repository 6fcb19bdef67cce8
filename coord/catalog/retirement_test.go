package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func storeVM(node string) Store {
	return Store{Node: node, Address: "address-" + node, Storage: "storage-" + node}
}

// reporting returns the reports of VMs that are in contact with a control VM that knows all.
func reporting(nodes ...string) StoreReports {
	r := StoreReports{Collected: time.Hour, Complete: true}
	for _, node := range nodes {
		r.Reports = append(r.Reports, StoreReport{Store: storeVM(node), Recent: true})
	}
	return r
}

// silent returns the reports with that of one VM made older.
func (r StoreReports) silent(node string, age time.Duration) StoreReports {
	for i := range r.Reports {
		if r.Reports[i].Node == node {
			r.Reports[i].Age, r.Reports[i].Recent = age, false
		}
	}
	return r
}

// retire records a retirement as done or in progress.
func (s *State) retire(r Retirement, done bool) {
	r.Done = done
	s.Apply(1, Command{Retire: &r})
}

// TestRetirementsCountEachOther guards against several retirements that together leave
// fewer store VMs than the tolerated losses need.
func TestRetirementsCountEachOther(t *testing.T) {
	s, reports := New(), reporting("a", "b", "c", "d", "e")
	for _, node := range []string{"a", "b"} {
		r, err := s.NewRetirement(node, reports, 3)
		require.NoError(t, err)
		assert.Equal(t, Retirement{Node: node, Address: "address-" + node, Storage: "storage-" + node}, r)
		s.retire(r, node == "a")
	}
	_, err := s.NewRetirement("c", reports, 3)
	require.ErrorIs(t, err, ErrTooFewStores)
	_, err = s.NewRetirement("x", reports, 3)
	require.ErrorIs(t, err, ErrUnknownStore)
}

// TestSilentStoreIsNotUnknown guards against the retirement of a suspended VM that is refused
// because no such VM is known, also right after a restart of the control VM that leads.
func TestSilentStoreIsNotUnknown(t *testing.T) {
	recorded := New()
	recorded.Apply(1, Command{SeenStores: []Store{storeVM("a")}})
	restarted := StoreReports{Collected: time.Second}
	cases := map[string]struct {
		state   *State
		reports StoreReports
		want    error
	}{
		"it reported to this control VM":           {New(), reporting("a", "b", "c", "d").silent("a", 2*time.Second), nil},
		"it has been silent for a day":             {New(), reporting("a", "b", "c", "d").silent("a", 24*time.Hour), nil},
		"it reported to earlier leaders":           {recorded, reporting("b", "c", "d"), nil},
		"it may have reported to earlier leaders":  {New(), restarted, ErrStoresUncertain},
		"nobody has ever known it":                 {New(), reporting("b", "c", "d"), ErrUnknownStore},
		"it is recorded, the others not yet known": {recorded, restarted, ErrStoresUncertain},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, err := c.state.NewRetirement("a", c.reports, 3)
			require.ErrorIs(t, err, c.want)
			if c.want == nil {
				assert.Equal(t, "storage-a", r.Storage)
			}
			_, err = c.state.RetirementOf("a", c.reports)
			assert.Error(t, err, "it is not being retired")
		})
	}
}

// TestSuspendedStoresAreNotLost guards against a retirement that is refused for good because
// another VM is suspended, and against one that counts a VM which is gone as remaining.
func TestSuspendedStoresAreNotLost(t *testing.T) {
	s := New()
	all := func() StoreReports { return reporting("a", "b", "c", "d") }
	_, err := s.NewRetirement("a", all(), 3)
	require.NoError(t, err)
	_, err = s.NewRetirement("a", all().silent("b", 3*time.Second), 3)
	require.ErrorIs(t, err, ErrStoresUncertain)
	_, err = s.NewRetirement("a", all().silent("b", time.Minute), 3)
	require.ErrorIs(t, err, ErrTooFewStores)
	s.Apply(1, Command{SeenStores: []Store{storeVM("b")}})
	others := reporting("a", "c", "d")
	_, err = s.NewRetirement("a", others, 3)
	require.ErrorIs(t, err, ErrTooFewStores, "b has not reported for long")
	others.Collected = 2 * time.Second
	_, err = s.NewRetirement("a", others, 3)
	require.ErrorIs(t, err, ErrStoresUncertain, "b may be suspended")
}

// TestRetirementIsOfTheVMThatHasTheName guards against a VM that counts as retired because an
// earlier one of the same name was.
func TestRetirementIsOfTheVMThatHasTheName(t *testing.T) {
	s, reports := New(), reporting("a", "b", "c", "d")
	r, err := s.NewRetirement("a", reports, 3)
	require.NoError(t, err)
	s.retire(r, true)
	assert.True(t, s.Retiring(storeVM("a")))
	again, err := s.RetirementOf("a", reports)
	require.NoError(t, err)
	assert.True(t, again.Done)

	successor := Store{Node: "a", Address: "address-2", Storage: "storage-2"}
	reports.Reports[0].Store = successor
	assert.False(t, s.Retiring(successor))
	_, err = s.RetirementOf("a", reports)
	require.ErrorIs(t, err, ErrUnknownStore)
	r, err = s.NewRetirement("a", reports, 3)
	require.NoError(t, err)
	assert.Equal(t, Retirement{Node: "a", Address: "address-2", Storage: "storage-2"}, r)
	for _, node := range []string{"b", "c", "d"} {
		_, err = s.NewRetirement(node, reports, 3)
		assert.NoError(t, err, "the VM that has the name now remains")
	}
}

// TestRetirementFollowsTheDisk guards against a retirement that is done when the disk that its VM
// had at the start is empty, although the VM has got another one meanwhile.
func TestRetirementFollowsTheDisk(t *testing.T) {
	s, reports := New(), reporting("a", "b", "c", "d")
	r, err := s.NewRetirement("a", reports, 3)
	require.NoError(t, err)
	s.retire(r, false)
	reports.Reports[0].Storage = ""
	require.Equal(t, []Retirement{r}, s.PendingRetirements(reports), "the VM has not opened its disk again")
	reports.Reports[0].Storage = "storage-2"
	r.Storage = "storage-2"
	require.Equal(t, []Retirement{r}, s.PendingRetirements(reports))
	assert.True(t, s.Retiring(reports.Reports[0].Store))
	s.retire(r, true)
	assert.Empty(t, s.PendingRetirements(reports))
	assert.True(t, s.Retiring(reports.Reports[0].Store))
}

// TestKnownStoresAreBounded guards against a catalog that grows with each VM that ever was, and
// against one that is changed by each report.
func TestKnownStoresAreBounded(t *testing.T) {
	s := New()
	for i := range maxKnownStores + 10 {
		s.Apply(uint64(i+1), Command{SeenStores: []Store{storeVM(fmt.Sprint(i))}})
	}
	require.Len(t, s.KnownStores, maxKnownStores)
	assert.NotContains(t, s.KnownStores, "9")
	assert.Empty(t, s.UnseenStores([]Store{storeVM("10"), {Node: "without storage"}}))
	assert.Zero(t, s.Revision, "followers need no transfer")
	moved := Store{Node: "new", Address: "address-10", Storage: "storage-new"}
	require.Equal(t, []Store{moved}, s.UnseenStores([]Store{moved}))
	s.Apply(9999, Command{SeenStores: []Store{moved}})
	assert.NotContains(t, s.KnownStores, "10", "another VM has its address")
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(data))
	assert.Equal(t, s.KnownStores, restored.KnownStores)
}
