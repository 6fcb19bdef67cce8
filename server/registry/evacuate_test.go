package registry

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockvale.dev/coord/catalog"
)

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func applyCommand(t require.TestingT, m *machine, index uint64, c catalog.Command) any {
	data, err := encodeCommand(c)
	require.NoError(t, err)
	return m.Apply(index, data)
}

func order(dataCentre string, end bool) catalog.Command {
	return catalog.Command{Evacuate: &catalog.Evacuation{DataCentre: dataCentre, End: end}}
}

// TestFollowersLearnEvacuations guards against a follower that misses the start or the end of an
// evacuation: with whole and partial transfers, from replicas that have restarted, and from
// control VMs of an earlier release, which deliver later revisions without evacuations.
func TestFollowersLearnEvacuations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := []*machine{newMachine(), newMachine()}
		f := NewFollower(FollowerOptions{Log: discardLog()})
		for index := range uint64(rapid.IntRange(1, 60).Draw(t, "commands")) {
			c := drawCommand(t, int64(index+1))
			if rapid.Bool().Draw(t, "is order") {
				c = order(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "data centre"), rapid.Bool().Draw(t, "end"))
			}
			for _, m := range replicas {
				applyCommand(t, m, index+1, c)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				snapshot, err := replicas[0].Snapshot()
				require.NoError(t, err)
				replicas[1] = newMachine()
				require.NoError(t, replicas[1].Restore(snapshot))
			}
			view := f.View()
			m := rapid.SampledFrom(replicas).Draw(t, "from")
			switch rapid.IntRange(0, 3).Draw(t, "fetch") {
			case 0:
				earlier := fetchTransfer(t, m, FetchRequest{view.Revision, view.configurationRevision})
				earlier.Evacuations = nil
				f.adopt(view, earlier, "earlier release")
				assert.Equal(t, view.Evacuations, f.View().Evacuations)
			case 1:
				if f.lacks(m.state.Revision, m.evacuationRevision()) {
					f.adopt(view, fetchTransfer(t, m, FetchRequest{view.Revision, view.configurationRevision}), "control")
				}
				assert.ElementsMatch(t, m.state.Evacuated(), f.View().Evacuations.DataCentres)
				for _, dataCentre := range []string{"a", "b", "c"} {
					_, evacuated := m.state.Evacuations[dataCentre]
					assert.Equal(t, evacuated, f.View().Evacuated(dataCentre))
				}
			}
		}
	})
}

// TestDelayedTransferDoesNotEndAnEvacuation guards against a transfer that was overtaken and
// takes back an order.
func TestDelayedTransferDoesNotEndAnEvacuation(t *testing.T) {
	m := newMachine()
	applyCommand(t, m, 1, catalog.Command{PutTarget: &catalog.Target{ID: "t", Service: "s", Address: "10.0.0.1:80", State: catalog.Ready}})
	before := fetchTransfer(t, m, FetchRequest{})
	applyCommand(t, m, 2, order("a", false))
	f := NewFollower(FollowerOptions{Log: discardLog()})
	f.adopt(f.View(), fetchTransfer(t, m, FetchRequest{}), "control")
	f.adopt(f.View(), before, "control")
	assert.True(t, f.View().Evacuated("a"))
	applyCommand(t, m, 3, order("a", true))
	f.adopt(f.View(), fetchTransfer(t, m, FetchRequest{Revision: 2}), "control")
	assert.False(t, f.View().Evacuated("a"))
}

// TestOrdersWakeWatches guards against an order that VMs learn only when their watches time out.
func TestOrdersWakeWatches(t *testing.T) {
	g := New(Options{Machine: NewMachine(), Log: discardLog()})
	_, changed := g.options.Machine.revision()
	applyCommand(t, g.options.Machine.machine, 4, order("a", false))
	<-changed
	response, err := g.handleWatch(t.Context(), []byte(`{"vm":{"node":"e"},"n":"e","k":18446744073709551615,"w":1}`))
	require.NoError(t, err)
	assert.EqualValues(t, 4, response.(WatchResponse).Evacuations, "those that wait for the timeout compare it as well")
}

// TestListsVMsThatAreBehind guards against an operator who takes an order for known everywhere while an
// entry does not know it, or is of an earlier release.
func TestListsVMsThatAreBehind(t *testing.T) {
	g := New(Options{Machine: NewMachine(), Log: discardLog()})
	watch := func(node, fields string) {
		_, err := g.handleWatch(t.Context(), []byte(fmt.Sprintf(`{"n":%q,"s":1,"k":18446744073709551615,"w":0%s}`, node, fields)))
		require.NoError(t, err)
	}
	applyCommand(t, g.options.Machine.machine, 7, order("a", false))
	for _, node := range []string{"current", "late", "earlier"} {
		watch(node, fmt.Sprintf(`,"vm":{"node":%q,"role":"entry","started":1}`, node))
	}
	watch("store", `,"vm":{"node":"store","role":"store","started":1},"e":6`)
	watch("current", `,"e":7`)
	watch("late", `,"e":6`)
	watch("earlier", ``)
	assert.Equal(t, []string{"earlier", "late", "store"}, g.behind(7))
	watch("late", `,"e":9`)
	assert.Equal(t, []string{"earlier", "store"}, g.behind(7))
	assert.Empty(t, g.behind(0))
	watch("late", `,"vm":{"node":"late","role":"entry","started":2}`)
	assert.Contains(t, g.behind(7), "late", "it has restarted")
}

// TestTooManyEvacuationsAreReported guards against an order that is acknowledged although the
// catalog has no room for it.
func TestTooManyEvacuationsAreReported(t *testing.T) {
	m := newMachine()
	n := uint64(0)
	for ; n < 64; n++ {
		assert.Nil(t, applyCommand(t, m, n+1, order(fmt.Sprint("dc-", n), false)))
	}
	assert.Equal(t, catalog.ErrTooManyEvacuations, applyCommand(t, m, n+1, order("more", false)))
	assert.Nil(t, applyCommand(t, m, n+2, order("dc-7", false)), "a repeated order is acknowledged again")
	assert.Nil(t, applyCommand(t, m, n+3, order("more", true)))
	assert.Nil(t, applyCommand(t, m, n+4, order("dc-7", true)))
	assert.Nil(t, applyCommand(t, m, n+5, order("more", false)))
}

// TestInvalidNameIsNotCommitted guards against a name that is proposed although no data centre
// can have it. The registry has no quorum, so a proposal would panic.
func TestInvalidNameIsNotCommitted(t *testing.T) {
	g := New(Options{Machine: NewMachine(), Log: discardLog()})
	require.ErrorIs(t, g.Evacuate(context.Background(), catalog.Evacuation{DataCentre: "no name"}), catalog.ErrDataCentreName)
}

// TestStoredCatalogKeepsEvacuations guards against a store VM that restarts while control can't
// be reached and grants targets of an evacuated data centre, and against a stored evacuation that
// outlives its end. A file of an earlier release names none.
func TestStoredCatalogKeepsEvacuations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "catalog")
	m := newMachine()
	applyCommand(t, m, 1, catalog.Command{PutTarget: &catalog.Target{ID: "t", Service: "s", Address: "10.0.0.1:80", State: catalog.Ready, DataCentre: "a"}})
	applyCommand(t, m, 2, order("a", false))
	view, err := (&View{}).apply(fetchTransfer(t, m, FetchRequest{}))
	require.NoError(t, err)
	require.NoError(t, view.store(path))
	f := NewFollower(FollowerOptions{Log: discardLog()})
	f.restoreStored(path)
	assert.True(t, f.View().Evacuated("a"))
	applyCommand(t, m, 3, order("a", true))
	f.adopt(f.View(), fetchTransfer(t, m, FetchRequest{}), "control")
	assert.False(t, f.View().Evacuated("a"))

	f = NewFollower(FollowerOptions{Log: discardLog()})
	f.restoreStored(path)
	empty := newMachine()
	applyCommand(t, empty, 2, catalog.Command{PutTarget: &catalog.Target{ID: "t", Service: "s", Address: "10.0.0.1:80", State: catalog.Ready}})
	f.adopt(f.View(), fetchTransfer(t, empty, FetchRequest{}), "control")
	assert.False(t, f.View().Evacuated("a"), "a control group that never had an order")

	withoutOrder := *view
	withoutOrder.Evacuations = Evacuations{}
	require.NoError(t, withoutOrder.store(path))
	f = NewFollower(FollowerOptions{Log: discardLog()})
	f.restoreStored(path)
	assert.Len(t, f.View().Targets, 1)
	assert.False(t, f.View().Evacuated("a"))
}

// TestDescribesEvacuations guards against numbers of targets that count the wrong ones.
func TestDescribesEvacuations(t *testing.T) {
	s := catalog.New()
	for i, target := range []catalog.Target{
		{ID: "a1", DataCentre: "a", State: catalog.Ready}, {ID: "a2", DataCentre: "a", State: catalog.Gone},
		{ID: "b1", DataCentre: "b", State: catalog.Ready}, {ID: "b2", DataCentre: "b", State: catalog.Draining},
	} {
		target.Address = fmt.Sprint("10.0.0.", i, ":80")
		s.Apply(uint64(i+1), catalog.Command{PutTarget: &target})
	}
	s.Apply(9, order("unknown", false))
	s.Apply(10, order("a", false))
	assert.Equal(t, EvacuationsResponse{Evacuations: []EvacuationStatus{{"a", 10, 1}, {"unknown", 9, 0}}, OtherTargets: 1}, describeEvacuations(s))
}
