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

// drawCommand draws a command that changes a target or the configuration.
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

func fetched(t require.TestingT, m *machine, r FetchRequest) Transfer {
	answer, err := m.fetch(r)
	require.NoError(t, err)
	transfer, err := answer.transfer()
	require.NoError(t, err)
	return transfer
}

// Guards against a VM that misses or keeps anything because control sends only
// what changed: after each transfer, from whichever replica, its view is that
// of a VM which received everything.
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
				image, err := replicas[0].Snapshot()
				require.NoError(t, err)
				replicas[1] = newMachine()
				require.NoError(t, replicas[1].Restore(image))
			}
			if rapid.IntRange(0, 2).Draw(t, "fetch") > 0 {
				continue
			}
			m := rapid.SampledFrom(replicas).Draw(t, "from")
			view, err = view.with(fetched(t, m, FetchRequest{view.Revision, view.configurationRevision}))
			require.NoError(t, err)
			all, err := (&View{}).with(fetched(t, m, FetchRequest{}))
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

// Pattern: a configuration of many routes changes in quick succession on a
// large deployment. Guards against sending all of it to every VM each time.
func TestSmallChangeIsASmallMessage(t *testing.T) {
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
	all, err := json.Marshal(fetched(t, m, FetchRequest{}))
	require.NoError(t, err)
	change, err := json.Marshal(fetched(t, m, FetchRequest{Revision: 1, ConfigurationRevision: 1}))
	require.NoError(t, err)
	assert.Less(t, len(change), len(all)/50)
}

// Guards against a document that is not read back byte for byte, and against a
// log entry that is as large as the document that it carries.
func TestCommandKeepsTheDocument(t *testing.T) {
	document := []byte("{\"version\":3, \"routes\":[" + strings.Repeat("{\"host\":\"h.example\",\"path_prefix\":\"/p/\"} ,", 500) + "]}\n\xff")
	for _, d := range [][]byte{nil, []byte("{}"), document} {
		data, err := encodeCommand(catalog.Command{PutConfiguration: &catalog.PutConfiguration{Document: d}})
		require.NoError(t, err)
		c, err := decodeCommand(data)
		require.NoError(t, err)
		assert.Equal(t, string(d), string(c.PutConfiguration.Document))
		assert.Less(t, len(data), 2*plainCommand)
	}
	plain, err := json.Marshal(catalog.Command{PutConfiguration: &catalog.PutConfiguration{Document: document}})
	require.NoError(t, err)
	c, err := decodeCommand(plain)
	require.NoError(t, err)
	assert.Equal(t, string(document), string(c.PutConfiguration.Document), "an entry of an earlier version")
}
