package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/raft"
)

// initialConfiguration returns the configuration with which the running replicas form a cluster.
func (c *cluster) initialConfiguration() raft.Configuration {
	var initial raft.Configuration
	for _, name := range []string{"a", "b", "c"} {
		initial.Members = append(initial.Members, raft.Member{ReplicaID: c.running[name].id, Address: c.peers[name]})
	}
	return initial
}

// TestInterruptedFormation guards against a cluster that never forms because the replica that
// forms it ends when only one of the others has stored the initial configuration. The cluster
// exists from then on, so the replica does not form one again.
func TestInterruptedFormation(t *testing.T) {
	t.Parallel()
	for _, stored := range []string{"b", "c"} {
		c := newCluster(t, "a", "b", "c")
		c.isolate("a", true)
		c.startAll()
		require.NoError(t, c.running[stored].bootstrap(t.Context(), c.initialConfiguration()))
		c.stop("a")
		c.isolate("a", false)
		c.start("a")
		c.propose("first")
		c.requireConverged([]string{"first"})
	}
}

// TestJoiningReplicaAcceptsAnInitialConfiguration guards against a cluster that never forms
// because an initial voter has lost its disk during the first start and joins since then, and
// against one that takes part in a configuration that names its lost disk or in a second one.
func TestJoiningReplicaAcceptsAnInitialConfiguration(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b", "c")
	c.joining = map[string]bool{"b": true}
	c.isolate("a", true)
	c.startAll()
	joining, lost := c.running["b"], c.initialConfiguration()
	lost.Members[1].Storage = "lost"
	accept := func(configuration raft.Configuration) error {
		return joining.transport.call(t.Context(), c.peers["b"], methodBootstrap, bootstrapRequest{configuration}, nil)
	}
	require.Error(t, accept(lost))
	require.False(t, joining.Formed())
	c.isolate("a", false)
	c.propose("first")
	c.requireConverged([]string{"first"})
	require.Error(t, accept(c.initialConfiguration()), "it belongs to a cluster")
}
