package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/membership"
)

// Guards against a lease from a VM that does not lead or cannot confirm it, and
// against a poll that leaves the follower with another configuration.
func TestPoll(t *testing.T) {
	c, f, _, _ := newControl(t)
	follower := fleet.New()
	poll := PollRequest{VM: testVM("vm-1", "a", "dc-1")}
	pollOnce := func() (*PollResponse, error) {
		poll.Revision = follower.Revision()
		r, err := c.poll(t.Context(), poll)
		if err == nil && r.Snapshot != nil {
			require.NoError(t, follower.Restore(r.Snapshot))
		}
		if err == nil {
			for _, change := range r.Changes {
				follower.ApplyChange(change)
			}
			if r.LeaseMS > 0 {
				require.Equal(t, f.machine.State.Revision(), follower.Revision())
			}
		}
		return r, err
	}
	f.follower = "c2"
	r, err := pollOnce()
	require.NoError(t, err)
	require.Equal(t, PollResponse{Leader: "127.0.0.1:9"}, *r)
	f.follower = ""
	f.fail(ErrNotLeader, nil, false)
	_, err = pollOnce()
	require.ErrorContains(t, err, CodeNoQuorum)
	f.fail(nil, nil, false)
	r, err = pollOnce()
	require.NoError(t, err)
	require.EqualValues(t, 2000, r.LeaseMS)
	_, registered := follower.VM("vm-1")
	require.True(t, registered)
	// Hundreds of missed changes arrive as changes, thousands as a snapshot.
	for _, missed := range []int{700, fleet.TailLength + 1} {
		for range missed {
			_, err := c.propose(t.Context(), fleet.Command{PutOrganisation: &fleet.Organisation{ID: "acme"}})
			require.NoError(t, err)
		}
		r, err = pollOnce()
		require.NoError(t, err)
		require.Equal(t, missed > fleet.TailLength, r.Snapshot != nil)
	}
}

// Guards against two owners with a valid lease: a VM whose shards are being
// moved because it counted as dead gets no lease before the move is committed.
func TestNoLeaseWhileDeclaredDead(t *testing.T) {
	c, f, _, _ := newControl(t)
	for _, vm := range []fleet.VM{testVM("vm-1", "a", "dc-1"), testVM("vm-2", "a", "dc-2")} {
		_, err := c.poll(t.Context(), PollRequest{VM: vm})
		require.NoError(t, err)
	}
	f.ahead.Add(int64(settleTime))
	c.planOnce(t.Context())
	require.NotEmpty(t, c.state.Assignments())
	_, err := c.poll(t.Context(), PollRequest{VM: testVM("vm-2", "a", "dc-2")})
	require.NoError(t, err)
	f.ahead.Add(int64(membership.DeadAfter - settleTime))
	f.fail(nil, ErrUnknownOutcome, false)
	c.planOnce(t.Context())
	r, err := c.poll(t.Context(), PollRequest{VM: testVM("vm-1", "a", "dc-1")})
	require.NoError(t, err)
	require.Zero(t, r.LeaseMS)
	f.fail(nil, nil, false)
	c.planOnce(t.Context())
	r, err = c.poll(t.Context(), PollRequest{VM: testVM("vm-1", "a", "dc-1")})
	require.NoError(t, err)
	require.NotZero(t, r.LeaseMS)
}
