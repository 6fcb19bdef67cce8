package ledger

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/routing"
)

// TestColdStatementsPaceGrants guards against grants at the full rate at a target that has told an
// entry that it is cold, by this leader and by the next one, and against a later incarnation that
// counts as cold because of it.
func TestColdStatementsPaceGrants(t *testing.T) {
	start := func() *testStore {
		s := startStore(t, t.TempDir())
		view := *s.view.Load()
		view.Table = routing.NewTable(routing.Configuration{Version: 1, Services: []routing.Service{{Name: "s", ColdPerSecond: 0.1}}})
		view.Targets = []catalog.Target{{ID: "t", StartedUnixMS: 1, Service: "s", Address: "10.0.0.1:1", Slots: 9, State: catalog.Ready}}
		s.view.Store(&view)
		s.awaitLeader(t)
		s.host.Update(&view)
		return s
	}
	s := start()
	var address atomic.Value
	address.Store(s.address)
	c := startClient(t, func() []string { return []string{address.Load().(string)} })
	number := 0
	admit := func() AdmitResponse {
		number++
		r := plainRequest(fmt.Sprint(number), "")
		r.TimeLeft = 150 * time.Millisecond
		response, err := c.Admit(t.Context(), r)
		require.NoError(t, err)
		return response
	}
	require.Equal(t, "t", admit().Target)
	c.ReportCold(ColdStatement{catalog.Incarnation{Target: "t", StartedUnixMS: 1}, time.Minute})
	assert.Contains(t, []dispatch.Refusal{dispatch.Expired, dispatch.Overloaded}, admit().Refusal)

	s.stop()
	time.Sleep(leaseDuration)
	s = start()
	address.Store(s.address)
	require.Eventually(t, func() bool { return admit().Refusal != dispatch.NoTarget }, 5*time.Second, time.Millisecond)
	assert.Contains(t, []dispatch.Refusal{dispatch.Expired, dispatch.Overloaded}, admit().Refusal, "the new leader learns it before the first request")

	view := *s.view.Load()
	view.Targets = []catalog.Target{view.Targets[0]}
	view.Targets[0].StartedUnixMS = 2
	s.view.Store(&view)
	s.host.Update(&view)
	assert.Equal(t, "t", admit().Target)
}

// TestColdStatementsAreBounded guards against memory that grows with the targets that have been
// cold, and against a report for each response of a cold target.
func TestColdStatementsAreBounded(t *testing.T) {
	c := make(coldStatements)
	statement := func(n int, left time.Duration) ColdStatement {
		return ColdStatement{catalog.Incarnation{Target: fmt.Sprint(n)}, left}
	}
	for n := range 2 * maxColdStatements {
		c.record(0, statement(n, time.Second))
	}
	assert.Len(t, c, maxColdStatements)
	assert.True(t, c.record(2*time.Second, statement(-1, time.Minute)), "ended periods make room")
	assert.Len(t, c, 1)
	assert.False(t, c.record(4*time.Second, statement(-1, 58*time.Second+200*time.Millisecond)))
	assert.True(t, c.record(4*time.Second, statement(-1, 3*time.Minute)))
	c.record(0, statement(-2, 1000*time.Hour))
	assert.LessOrEqual(t, c.left(0, statement(-2, 0).Incarnation), catalog.MaxCold)
}
