package quorum

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDisksFullInTurn guards against replicas that stop because their disks were full, one after
// the other and the leader's first, and against proposals that nobody takes once there is room.
func TestDisksFullInTurn(t *testing.T) {
	const fullTime = time.Second
	c := newCluster(t, "a", "b", "c").startAll()
	c.propose("before")
	for round := range 4 {
		name, full := c.leader()
		if round%2 == 1 {
			name, full = c.follower()
		}
		c.setFlag(c.full, name, true)
		end := time.Now().Add(fullTime)
		for n := 0; time.Now().Before(end); n++ {
			// The proposals to the others cause snapshots, which also need room.
			c.propose(fmt.Sprintf("round %d, command %d", round, n))
		}
		require.NoError(t, full.Failure())
		c.setFlag(c.full, name, false)
		c.eventually("replica with room catches up", func() bool {
			_, leader := c.leader()
			return len(full.state.list()) == len(leader.state.list())
		})
	}
	for _, r := range c.running {
		require.NoError(t, r.Failure())
	}
}

// follower returns a replica that is not the leader.
func (c *cluster) follower() (string, *replica) {
	leader, _ := c.leader()
	for name, r := range c.running {
		if name != leader {
			return name, r
		}
	}
	return "", nil
}

// TestFullDiskRejectsAtOnce guards against requests to a replica whose disk is full that wait for
// their deadline, and against a replica that can't be stopped then.
func TestFullDiskRejectsAtOnce(t *testing.T) {
	c := newCluster(t, "a").startAll()
	c.propose("before")
	_, r := c.leader()
	c.setFlag(c.full, "a", true)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := r.Propose(ctx, []byte("first"))
	require.ErrorIs(t, err, ErrUnknownOutcome)
	_, err = r.Propose(ctx, []byte("second"))
	require.ErrorIs(t, err, ErrNotLeader)
	require.ErrorIs(t, r.ReadBarrier(ctx), ErrNotLeader)
	require.NotEmpty(t, r.Describe().Members)
	require.NoError(t, ctx.Err())
	require.NoError(t, r.Failure())
	c.setFlag(c.full, "a", false)
	c.propose("after")
	c.setFlag(c.full, "a", true)
	_, err = r.Propose(ctx, []byte("last"))
	require.Error(t, err)
	c.stop("a")
}
