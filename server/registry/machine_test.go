package registry

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/routing"
)

// drawCommand generates a command that changes a target or the configuration.
func drawCommand(t *rapid.T, version int64) catalog.Command {
	if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
		c := routing.Configuration{Version: version}
		for i := range rapid.IntRange(1, 5).Draw(t, "routes") {
			c.Routes = append(c.Routes, routing.Route{Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), TimeoutMS: int64(rapid.IntRange(1, 3).Draw(t, "timeout"))})
		}
		return catalog.Command{PutConfiguration: &catalog.PutConfiguration{Configuration: c}}
	}
	states := []catalog.TargetState{catalog.Ready, catalog.Draining, catalog.Gone}
	return catalog.Command{PutTarget: &catalog.Target{
		ID: fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "target")), StartedUnixMS: int64(rapid.IntRange(1, 3).Draw(t, "born")), Sequence: version,
		Service: "s", Address: fmt.Sprint("a", rapid.IntRange(0, 3).Draw(t, "address")), State: rapid.SampledFrom(states).Draw(t, "state"),
	}}
}

// fetchTransfer returns the decoded response to a fetch request.
func fetchTransfer(t require.TestingT, m *machine, r FetchRequest) Transfer {
	response, err := m.fetch(r)
	require.NoError(t, err)
	transfer, err := response.decode()
	require.NoError(t, err)
	return transfer
}

// TestTransfersOfChangesAreComplete guards against a VM that misses a change or keeps
// removed data because the control role sends only the changes. After each transfer, from
// any replica, the view must equal that of a VM that received the complete state.
func TestTransfersOfChangesAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := []*machine{newMachine(), newMachine()}
		view := &View{}
		for index := range uint64(rapid.IntRange(1, 60).Draw(t, "commands")) {
			data, err := encodeCommand(drawCommand(t, int64(index+1)))
			require.NoError(t, err)
			for _, m := range replicas {
				m.Apply(index+1, data)
			}
			if rapid.IntRange(0, 19).Draw(t, "restart") == 0 {
				snapshot, err := replicas[0].Snapshot()
				require.NoError(t, err)
				replicas[1] = newMachine()
				require.NoError(t, replicas[1].Restore(snapshot))
			}
			if rapid.IntRange(0, 2).Draw(t, "fetch") > 0 {
				continue
			}
			m := rapid.SampledFrom(replicas).Draw(t, "from")
			view, err = view.apply(fetchTransfer(t, m, FetchRequest{view.Revision, view.configurationRevision}))
			require.NoError(t, err)
			all, err := (&View{}).apply(fetchTransfer(t, m, FetchRequest{}))
			require.NoError(t, err)
			assert.Equal(t, all.Targets, view.Targets)
			assert.Equal(t, all.configurationRevision, view.configurationRevision)
			if all.Table != nil {
				assert.Equal(t, all.Table.Version(), view.Table.Version())
				assert.ElementsMatch(t, all.Table.Configuration.Routes, view.Table.Configuration.Routes)
			}
		}
	})
}

// TestSmallChangeMakesASmallTransfer guards against sending the complete configuration
// to every VM after each change. A configuration with many routes changes several times
// in quick succession in a large deployment.
func TestSmallChangeMakesASmallTransfer(t *testing.T) {
	m := newMachine()
	apply := func(index uint64, timeout int64) {
		c := routing.Configuration{Version: int64(index)}
		for i := range 400 {
			c.Routes = append(c.Routes, routing.Route{Name: fmt.Sprint("r", i), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), TimeoutMS: 1000})
		}
		c.Routes[7].TimeoutMS = timeout
		data, err := encodeCommand(catalog.Command{PutConfiguration: &catalog.PutConfiguration{Configuration: c}})
		require.NoError(t, err)
		m.Apply(index, data)
	}
	apply(1, 100)
	apply(2, 200)
	all, err := json.Marshal(fetchTransfer(t, m, FetchRequest{}))
	require.NoError(t, err)
	change, err := json.Marshal(fetchTransfer(t, m, FetchRequest{Revision: 1, ConfigurationRevision: 1}))
	require.NoError(t, err)
	assert.Less(t, len(change), len(all)/50)
}

// TestCommandKeepsTheDocument guards against a document that is not read back byte for
// byte, and against a log entry that is as large as the document in it.
func TestCommandKeepsTheDocument(t *testing.T) {
	document := []byte("{\"version\":3, \"routes\":[" + strings.Repeat("{\"host\":\"h.example\",\"path_prefix\":\"/p/\"} ,", 500) + "]}\n\xff")
	for _, d := range [][]byte{nil, []byte("{}"), document} {
		data, err := encodeCommand(catalog.Command{PutConfiguration: &catalog.PutConfiguration{Document: d}})
		require.NoError(t, err)
		c, err := decodeCommand(data)
		require.NoError(t, err)
		assert.Equal(t, string(d), string(c.PutConfiguration.Document))
		assert.Less(t, len(data), 2*maxUncompressedBytes)
	}
	plain, err := json.Marshal(catalog.Command{PutConfiguration: &catalog.PutConfiguration{Document: document}})
	require.NoError(t, err)
	c, err := decodeCommand(plain)
	require.NoError(t, err)
	assert.Equal(t, string(document), string(c.PutConfiguration.Document), "a log entry that an earlier version wrote without compression")
}
