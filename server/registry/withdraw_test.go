package registry

import (
	"context"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/server/quorum"
	"hemlockvale.dev/server/rpc"
)

// testControl is a control VM of a group.
type testControl struct {
	*Registry
	quorum *quorum.Quorum
	// applied holds the replicated catalog. The registry reads another one if the VM is behind.
	applied *Machine
	// group holds all control VMs.
	group []*testControl
}

// startControls starts a group of control VMs and returns the leader and another one, which is
// behind: it has applied nothing yet. withdrawals is set if the leader has MethodWithdraw, which
// earlier releases lack.
func startControls(t *testing.T, withdrawals bool) (leader, behind *testControl) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(t.Output())
	names := []string{"a", "b", "c"}
	listeners, peers := make(map[string]net.Listener), make(map[string]string)
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners[name], peers[name] = l, l.Addr().String()
	}
	var all []*testControl
	dir := t.TempDir()
	for _, name := range names {
		pool, server := rpc.NewPool(time.Second), rpc.NewServer(logrus.NewEntry(log))
		c := &testControl{applied: NewMachine()}
		var err error
		c.quorum, err = quorum.Start(quorum.Options{
			Name: name, DataDir: filepath.Join(dir, name), RPCAddress: peers[name], Peers: peers, StateMachine: c.applied,
			Dial: func(_ context.Context, address string) (rpc.Caller, error) { return pool.CallerFor(address), nil },
		})
		require.NoError(t, err)
		c.Registry = New(Options{Quorum: c.quorum, Machine: c.applied, Pool: pool, Log: logrus.NewEntry(log)})
		c.quorum.Register(server)
		server.Handle(MethodPropose, c.handlePropose)
		if withdrawals {
			server.Handle(MethodWithdraw, c.handleWithdraw)
		}
		go func() { _ = server.Serve(listeners[name]) }()
		t.Cleanup(func() {
			assert.NoError(t, server.Close())
			assert.NoError(t, c.quorum.Close())
			assert.NoError(t, pool.Close())
		})
		all = append(all, c)
	}
	require.Eventually(t, func() bool {
		for _, c := range all {
			if c.quorum.ReadBarrier(t.Context()) == nil {
				leader = c
			}
		}
		return leader != nil
	}, 20*time.Second, 10*time.Millisecond)
	for _, c := range all {
		c.group = all
		if c != leader {
			behind = c
		}
	}
	require.Eventually(t, func() bool { _, address, _ := behind.quorum.Leader(); return address != "" }, 20*time.Second, 10*time.Millisecond)
	behind.Registry = New(Options{Quorum: behind.quorum, Machine: NewMachine(), Pool: behind.options.Pool, Log: logrus.NewEntry(log)})
	return leader, behind
}

// live returns the ids of the targets that the control VM lists.
func (c *testControl) live() []string {
	ids := []string{}
	c.applied.read(func(s *catalog.State) {
		for _, t := range s.Live() {
			ids = append(ids, t.ID)
		}
	})
	return ids
}

func announcement(id string, startedUnixMS, sequence int64) catalog.Target {
	return catalog.Target{ID: id, StartedUnixMS: startedUnixMS, Service: "s", Address: "10.0.0.1:" + id, Slots: 4, State: catalog.Ready, Sequence: sequence}
}

// TestWithdrawalAtAControlVMThatIsBehind guards against a deregistration that is acknowledged
// without effect, because the control VM that gets it does not know the target yet, or an
// earlier state of it, so that requests are still granted there.
func TestWithdrawalAtAControlVMThatIsBehind(t *testing.T) {
	leader, behind := startControls(t, true)
	ctx := t.Context()
	for _, id := range []string{"81", "82", "83"} {
		require.NoError(t, leader.Announce(ctx, announcement(id, 10, 7), 0))
	}
	require.Equal(t, []string{"81", "82", "83"}, leader.live())
	require.NoError(t, behind.Withdraw(ctx, "81", 10))
	assert.Equal(t, []string{"82", "83"}, leader.live(), "the target is not known to this VM")
	require.NoError(t, behind.Withdraw(ctx, "82", 0))
	assert.Equal(t, []string{"83"}, leader.live(), "the call does not name the incarnation")

	earlier := announcement("83", 9, 3)
	data, err := encodeCommand(catalog.Command{PutTarget: &earlier})
	require.NoError(t, err)
	behind.options.Machine.Apply(1, data)
	require.NoError(t, behind.Withdraw(ctx, "83", 0))
	assert.Empty(t, leader.live(), "this VM knows an earlier incarnation")

	require.NoError(t, behind.Withdraw(ctx, "84", 10))
	require.NoError(t, leader.Announce(ctx, announcement("84", 10, 1), 0))
	assert.Empty(t, leader.live(), "an announcement that arrives after the deregistration")
	require.NoError(t, leader.Announce(ctx, announcement("84", 11, 1), 0))
	require.NoError(t, behind.Withdraw(ctx, "84", 10))
	assert.Equal(t, []string{"84"}, leader.live(), "a later incarnation stays")
}

// TestWithdrawalAtALeaderOfAnEarlierRelease guards against an acknowledgement without effect, or
// a deregistration that fails, while control VMs of both releases run side by side.
func TestWithdrawalAtALeaderOfAnEarlierRelease(t *testing.T) {
	leader, behind := startControls(t, false)
	ctx := t.Context()
	for _, id := range []string{"81", "82"} {
		require.NoError(t, leader.Announce(ctx, announcement(id, 10, 7), 0))
	}
	require.NoError(t, behind.Withdraw(ctx, "81", 10))
	assert.Equal(t, []string{"82"}, leader.live())
	require.ErrorIs(t, behind.Withdraw(ctx, "82", 0), ErrUnavailable, "another control VM knows the incarnation")
	require.NoError(t, leader.Withdraw(ctx, "82", 0))
	assert.Empty(t, leader.live())
}

// TestWithdrawalWithoutAQuorum guards against a control VM that acknowledges a deregistration
// while it can't reach a quorum. One that took effect before is acknowledged again.
func TestWithdrawalWithoutAQuorum(t *testing.T) {
	leader, behind := startControls(t, true)
	gone := announcement("81", 10, 7)
	gone.State = catalog.Gone
	data, err := encodeCommand(catalog.Command{PutTarget: &gone})
	require.NoError(t, err)
	behind.options.Machine.Apply(1, data)
	for _, c := range leader.group {
		if c != behind {
			require.NoError(t, c.quorum.Close())
		}
	}
	for _, started := range []int64{0, 10, 11} {
		require.ErrorIs(t, behind.Withdraw(t.Context(), "82", started), ErrUnavailable, "%d", started)
	}
	require.ErrorIs(t, behind.Withdraw(t.Context(), "81", 0), ErrUnavailable, "there may be a later incarnation")
	require.NoError(t, behind.Withdraw(t.Context(), "81", 10))
}
