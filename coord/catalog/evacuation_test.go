package catalog

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func evacuate(s *State, index uint64, dataCentre string, end bool) {
	s.Apply(index, Command{Evacuate: &Evacuation{DataCentre: dataCentre, End: end}})
}

// TestOrderOfTheLogDecides guards against an evacuation that outlives its end, or ends by a
// repeated or delayed order that the log has before it.
func TestOrderOfTheLogDecides(t *testing.T) {
	s := New()
	evacuate(s, 1, "b", true)
	assert.Empty(t, s.Evacuated(), "the end of an evacuation that never started")
	assert.Zero(t, s.Revision)
	evacuate(s, 2, "b", false)
	evacuate(s, 3, "a", false)
	evacuate(s, 4, "b", false)
	assert.Equal(t, []string{"a", "b"}, s.Evacuated())
	assert.EqualValues(t, 3, s.Revision, "a repeated order changes nothing")
	evacuate(s, 5, "b", true)
	evacuate(s, 6, "b", true)
	assert.Equal(t, []string{"a"}, s.Evacuated())
	assert.EqualValues(t, 5, s.EvacuationRevision)
	evacuate(s, 7, "b", false)
	assert.Equal(t, []string{"a", "b"}, s.Evacuated(), "a later order starts it again")
}

// TestEvacuationsAreBounded guards against a catalog that grows with each name that is ordered,
// and against an order that is refused although it is in force already.
func TestEvacuationsAreBounded(t *testing.T) {
	s := New()
	for i := range uint64(maxEvacuations + 10) {
		evacuate(s, i+1, fmt.Sprint("dc-", i), false)
	}
	assert.Len(t, s.Evacuated(), maxEvacuations)
	evacuate(s, 100, "dc-0", true)
	evacuate(s, 101, "another", false)
	assert.Contains(t, s.Evacuated(), "another", "an end makes room")
	evacuate(s, 102, "bad/name", false)
	assert.Len(t, s.Evacuated(), maxEvacuations)
}

// TestDataCentreNames guards against a name that breaks log lines or the paths of calls.
func TestDataCentreNames(t *testing.T) {
	for _, good := range []string{"a", "valley-east", "z_1.B", strings.Repeat("x", 64)} {
		assert.NoError(t, Evacuation{DataCentre: good}.Validate(), good)
	}
	for _, bad := range []string{"", "a b", "a/b", "a\n", "é", strings.Repeat("x", 65)} {
		assert.ErrorIs(t, Evacuation{DataCentre: bad}.Validate(), ErrDataCentreName, bad)
	}
}

// earlierState is the part of the state that replicas of releases before evacuations keep; they
// drop everything else from commands and snapshots.
type earlierState struct {
	Revision    uint64                `json:"revision"`
	Retirements map[string]Retirement `json:"retirements,omitempty"`
}

// earlierCommand is the part of an encoded command that those replicas apply.
type earlierCommand struct {
	Retire *Retirement `json:"retire,omitempty"`
}

// TestSnapshotsOfEarlierReleases guards against a replica that starts from a snapshot without
// evacuations and evacuates something, or can't record an order.
func TestSnapshotsOfEarlierReleases(t *testing.T) {
	s := New()
	require.NoError(t, s.Restore([]byte(`{"revision":9,"configuration":{"version":0},"targets":{},"retirements":{"store-1":{"node":"store-1","address":"a","done":true}}}`)))
	assert.Empty(t, s.Evacuated())
	assert.EqualValues(t, 9, s.EvacuationRevision, "followers replace what they know of an earlier revision")
	assert.Len(t, s.Retirements, 1)
	evacuate(s, 10, "a", false)
	assert.Equal(t, []string{"a"}, s.Evacuated())
	require.NoError(t, New().Restore([]byte(`{}`)))
}

// TestOrdersOutliveEarlierReleases guards against an acknowledged order that is lost in a rolling
// upgrade or rollback, because a replica of an earlier release writes a snapshot that others
// install, or is upgraded and starts from its own one.
func TestOrdersOutliveEarlierReleases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current, earlier := New(), earlierState{Retirements: make(map[string]Retirement)}
		current.Apply(1, Command{Retire: &Retirement{Node: "store-1", Done: true}})
		earlier.Retirements["store-1"] = Retirement{Node: "store-1", Done: true}
		for n := range uint64(rapid.IntRange(1, 30).Draw(t, "orders")) {
			index := n + 2
			e := Evacuation{DataCentre: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "data centre"), End: rapid.Bool().Draw(t, "end")}
			carrier := e.Carrier()
			data, err := json.Marshal(Command{Evacuate: &e, Retire: &carrier})
			require.NoError(t, err)
			var c Command
			require.NoError(t, json.Unmarshal(data, &c))
			current.Apply(index, c)
			var known earlierCommand
			require.NoError(t, json.Unmarshal(data, &known))
			earlier.Retirements[known.Retire.Node] = *known.Retire
			earlier.Revision = index
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				// The earlier replica installs a snapshot of the current one.
				data, err = current.Snapshot()
				require.NoError(t, err)
				earlier = earlierState{Retirements: make(map[string]Retirement)}
				require.NoError(t, json.Unmarshal(data, &earlier))
			case 1:
				// The earlier replica is upgraded.
				data, err = json.Marshal(earlier)
				require.NoError(t, err)
				upgraded := New()
				require.NoError(t, upgraded.Restore(data))
				assert.Equal(t, current.Evacuated(), upgraded.Evacuated())
				assert.GreaterOrEqual(t, upgraded.EvacuationRevision, current.EvacuationRevision)
				assert.Len(t, upgraded.Retirements, 1, "orders are no retirements of store VMs")
				current = upgraded
			case 2:
				data, err = current.Snapshot()
				require.NoError(t, err)
				restored := New()
				require.NoError(t, restored.Restore(data))
				assert.Equal(t, current, restored)
			}
		}
	})
}
