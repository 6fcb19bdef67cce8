package registry

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
)

func beatOf(id string, started, sequence int64) catalog.Target {
	return catalog.Target{ID: id, StartedUnixMS: started, Sequence: sequence}
}

// TestLatestHeartbeats guards against a late heartbeat that passes for a later one, and against
// an answer with heartbeats of an earlier incarnation only.
func TestLatestHeartbeats(t *testing.T) {
	var l heartbeatLog
	now := time.Now()
	l.record(now, beatOf("t", 1, 4))
	l.record(now.Add(time.Second), beatOf("t", 1, 6))
	l.record(now.Add(2*time.Second), beatOf("t", 1, 5))
	l.record(now.Add(2*time.Second), beatOf("t", 1, 6))
	i := catalog.Incarnation{Target: "t", StartedUnixMS: 1}
	assert.Equal(t, []Heartbeat{{i, 4, 3000}, {i, 6, 2000}}, l.of(now.Add(3*time.Second), []string{"t", "unknown"}))
	l.record(now.Add(3*time.Second), beatOf("t", 2, 1))
	l.record(now.Add(3*time.Second), beatOf("t", 1, 9))
	assert.Equal(t, []Heartbeat{{i, 6, 2000}, {catalog.Incarnation{Target: "t", StartedUnixMS: 2}, 1, 0}}, l.of(now.Add(3*time.Second), []string{"t"}))
}

// TestHeartbeatsAreBounded guards against memory that grows with the targets that ever sent a
// heartbeat.
func TestHeartbeatsAreBounded(t *testing.T) {
	var l heartbeatLog
	now := time.Now()
	for n := range 2 * maxHeard {
		l.record(now, beatOf(fmt.Sprint(n), 1, 1))
	}
	assert.Len(t, l.byTarget, maxHeard)
	l.record(now.Add(2*heartbeatRetention), beatOf("later", 1, 1))
	assert.Len(t, l.byTarget, 1)
}

// TestHeartbeatsQuestion guards against a question that is not understood or too long.
func TestHeartbeatsQuestion(t *testing.T) {
	g := New(Options{})
	g.heartbeats.record(time.Now(), beatOf("t", 1, 4))
	params, err := json.Marshal(HeartbeatsRequest{Targets: append([]string{"t"}, make([]string, 2*maxAskedTargets)...)})
	require.NoError(t, err)
	answer, err := g.handleHeartbeats(t.Context(), params)
	require.NoError(t, err)
	assert.Len(t, answer.(HeartbeatsResponse).Heartbeats, 1)
	_, err = g.handleHeartbeats(t.Context(), []byte("{"))
	assert.Error(t, err)
}
