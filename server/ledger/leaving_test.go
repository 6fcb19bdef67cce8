package ledger

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
)

// TestLeavingTargetsGetNoGrants guards against grants at a target that has told an entry that
// it leaves, by this leader and by the next one, and against a later incarnation that gets
// none.
func TestLeavingTargetsGetNoGrants(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.awaitLeader(t)
	var address atomic.Value
	address.Store(s.address)
	c := startClient(t, func() []string { return []string{address.Load().(string)} })
	leaving := catalog.Incarnation{Target: "t"}
	_, err := c.Admit(t.Context(), crashingRequest("first"))
	require.NoError(t, err)
	c.ReportLeaving(leaving)
	response, err := c.Admit(t.Context(), crashingRequest("second"))
	require.NoError(t, err)
	assert.Equal(t, dispatch.NoTarget, response.Refusal)

	s.stop()
	time.Sleep(leaseDuration)
	s = startStore(t, t.TempDir())
	s.awaitLeader(t)
	address.Store(s.address)
	response, err = c.Admit(t.Context(), crashingRequest("third"))
	require.NoError(t, err)
	assert.Equal(t, dispatch.NoTarget, response.Refusal, "the new leader learns it before the first request")

	view := *s.view.Load()
	view.Targets = []catalog.Target{view.Targets[0]}
	view.Targets[0].StartedUnixMS = 1
	s.view.Store(&view)
	s.host.Update(&view)
	response, err = c.Admit(t.Context(), crashingRequest("fourth"))
	require.NoError(t, err)
	assert.Equal(t, "t", response.Target)
}

// TestLeavingTargetsOutliveTheLeader guards against a new leader that grants a leaving target
// to an entry which has not heard of it, before the entry that has reports it.
func TestLeavingTargetsOutliveTheLeader(t *testing.T) {
	dir := t.TempDir()
	s := startStore(t, dir)
	s.awaitLeader(t)
	firstAddress := s.address
	first := startClient(t, func() []string { return []string{firstAddress} })
	_, err := first.Admit(t.Context(), crashingRequest("first"))
	require.NoError(t, err)
	first.ReportLeaving(catalog.Incarnation{Target: "t"})
	require.Eventually(t, func() bool { l := s.host.options.Machine.leavingTargets(); return len(l.List()) == 1 }, 5*time.Second, time.Millisecond)
	s.stop()
	time.Sleep(leaseDuration)

	s = startStore(t, dir)
	s.awaitLeader(t)
	address := s.address
	other := startClient(t, func() []string { return []string{address} })
	response, err := other.Admit(t.Context(), crashingRequest("second"))
	require.NoError(t, err)
	assert.Equal(t, dispatch.NoTarget, response.Refusal)
}
