package forward

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/routing"
	ledgerhost "hemlockvale.dev/server/ledger"
	"hemlockvale.dev/server/registry"
)

// TestLateGrantAtAColdTargetIsNotUsed guards against a request that reaches a cold target long after
// its grant, together with those that the leader has granted meanwhile. At a warm target the grant is
// used.
func TestLateGrantAtAColdTargetIsNotUsed(t *testing.T) {
	target := startFakeTarget(t, responseText("200 OK", "r", "", "warm"), responseText("200 OK", "r", "", "cold"))
	l := &testLedger{targets: []string{target.address}}
	var cold atomic.Bool
	server := startEntryWithLatest(t, l, true, newTestHistories(), func(v registry.View) *registry.View {
		c := v.Table.Configuration
		c.Services = []routing.Service{{Name: "plain", ColdPerSecond: 1, ColdStartSeconds: 1}, c.Services[1]}
		v.Table = routing.NewTable(c)
		v.Targets = []catalog.Target{{ID: "t-" + target.address, Service: "plain", Address: target.address, State: catalog.Ready, FirstSeenUnixMS: 1}}
		if cold.Load() {
			v.Targets[0].ColdUntilUnixMS = time.Now().Add(time.Minute).UnixMilli()
		}
		return &v
	})
	late := func(n int) {
		if n%2 == 1 {
			time.Sleep(dispatch.MaxColdGrantAge + 10*time.Millisecond)
		}
	}
	l.onAdmit = late
	status, body, err := post(t, server, "/once/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "warm", body)

	cold.Store(true)
	l.onAdmit = func(n int) { late(n + 1) }
	l.setTargets(target.address, target.address)
	status, body, err = post(t, server, "/once/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status, "granted again")
	assert.Equal(t, "cold", body)
	assert.Contains(t, l.results(), "late_grant,ok")
	assert.Len(t, target.requests(), 2)
	assert.Empty(t, l.admitted()[2].Exclude, "the target is as good as before")
}

// TestColdStatementIsReported guards against a leader that learns only from the next heartbeat that
// a target is cold, and against statements that are not signed by the target.
func TestColdStatementIsReported(t *testing.T) {
	unsigned := "HTTP/1.1 500 Oops\r\nId: r\r\nCold: 9s\r\nContent-Length: 0\r\n\r\n"
	target := startFakeTarget(t, unsigned, responseText("200 OK", "r", "Cold: 7s\r\n", "fine"))
	l := &testLedger{targets: []string{target.address, target.address}, started: 5}
	server := startEntryWithLatest(t, l, true, newTestHistories(), func(v registry.View) *registry.View {
		c := v.Table.Configuration
		c.Services = []routing.Service{{Name: "plain", ColdPerSecond: 1}, c.Services[1]}
		v.Table = routing.NewTable(c)
		return &v
	})
	for range 2 {
		_, _, err := post(t, server, "/once/x")
		require.NoError(t, err)
	}
	assert.Equal(t, []ledgerhost.ColdStatement{{Incarnation: catalog.Incarnation{Target: "t-" + target.address, StartedUnixMS: 5}, Left: 7 * time.Second}}, l.cold)

	withoutRate := startFakeTarget(t, responseText("200 OK", "r", "Cold: 7s\r\n", "fine"))
	l = &testLedger{targets: []string{withoutRate.address}}
	_, _, err := post(t, startEntry(t, l, true), "/once/x")
	require.NoError(t, err)
	assert.Empty(t, l.cold, "the service states no rate of cold targets")
}
