package registry

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/server/rpc"
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

// TestControlVMsThatCannotTell guards against control VMs of earlier releases, which do not know the
// question, that pass for ones without heartbeats, or for ones that can't be reached.
func TestControlVMsThatCannotTell(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := rpc.NewPool(time.Second)
	defer pool.Close()
	start := func(register func(*rpc.Server)) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := rpc.NewServer(logrus.NewEntry(log))
		register(server)
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { server.Close() })
		return listener.Addr().String()
	}
	g := New(Options{})
	g.heartbeats.record(time.Now(), beatOf("t", 1, 4))
	earlier, current := start(func(*rpc.Server) {}), start(g.Register)
	for _, c := range []struct {
		controlVMs []string
		answer     HeartbeatsAnswer
		heartbeats int
	}{
		{nil, HeartbeatsUnanswered, 0},
		{[]string{"127.0.0.1:1"}, HeartbeatsUnanswered, 0},
		{[]string{earlier, "127.0.0.1:1"}, HeartbeatsUnknown, 0},
		{[]string{earlier, current}, HeartbeatsAnswered, 1},
	} {
		f := NewFollower(FollowerOptions{Pool: pool})
		for _, address := range c.controlVMs {
			f.setReachable(address, true)
		}
		heartbeats, answer := f.Heartbeats(t.Context(), []string{"t"})
		assert.Equal(t, c.answer, answer)
		assert.Len(t, heartbeats, c.heartbeats)
	}
}
