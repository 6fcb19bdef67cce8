package forward

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	ledgerhost "hemlockvale.dev/server/ledger"
	"hemlockvale.dev/server/registry"
)

// TestMayReceive guards against a request that is sent to a target which has left or is
// draining according to the entry's catalog, because the leader has an older one, and against
// targets that get no requests because the entry's catalog is older than the leader's.
func TestMayReceive(t *testing.T) {
	view := &registry.View{Revision: 10, Targets: []catalog.Target{
		{ID: "draining", StartedUnixMS: 5, State: catalog.Draining},
		{ID: "ready", StartedUnixMS: 5, State: catalog.Ready},
	}}
	for name, c := range map[string]struct {
		target   string
		started  int64
		revision uint64
		want     bool
	}{
		"ready":                                    {"ready", 5, 10, true},
		"ready, older leader":                      {"ready", 5, 9, true},
		"draining":                                 {"draining", 5, 10, false},
		"draining, older leader":                   {"draining", 5, 9, false},
		"draining, leader of an earlier release":   {"draining", 5, 0, false},
		"draining, leader without starts":          {"draining", 0, 0, false},
		"ready again, newer leader":                {"draining", 5, 11, true},
		"gone":                                     {"gone", 5, 10, false},
		"gone, older leader":                       {"gone", 5, 9, false},
		"unknown, newer leader":                    {"new", 5, 11, true},
		"unknown, leader of an earlier release":    {"new", 5, 0, true},
		"earlier incarnation":                      {"ready", 4, 9, false},
		"earlier incarnation, earlier release":     {"ready", 4, 0, false},
		"earlier incarnation of a draining one":    {"draining", 4, 9, false},
		"later incarnation, newer leader":          {"draining", 6, 11, true},
		"later incarnation, earlier release":       {"draining", 6, 0, true},
		"unknown start, leader of earlier release": {"ready", 0, 0, true},
	} {
		grant := ledgerhost.AdmitResponse{Target: c.target, StartedUnixMS: c.started, CatalogRevision: c.revision}
		assert.Equal(t, c.want, mayReceive(view, grant), name)
	}
}

// TestOwnCatalogIsChecked guards against a request at a target that has left according to the
// entry's own catalog, while the leader grants from an older one.
func TestOwnCatalogIsChecked(t *testing.T) {
	for name, states := range map[string][]catalog.TargetState{"gone": nil, "draining": {catalog.Draining}} {
		t.Run(name, func(t *testing.T) {
			leaving := startFakeTarget(t, responseText("200 OK", "r", "", "late"))
			other := startFakeTarget(t, responseText("200 OK", "r", "", "other"))
			l := &testLedger{targets: []string{leaving.address, other.address}, revision: 1}
			server, view := startEntryWithView(t, l)
			targets := []catalog.Target{{ID: "t-" + other.address, State: catalog.Ready}}
			for _, s := range states {
				targets = append(targets, catalog.Target{ID: "t-" + leaving.address, State: s})
			}
			view.set(2, targets...)
			status, body, err := post(t, server, "/once/x")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, "other", body)
			assert.Empty(t, leaving.requests())
			assert.Equal(t, "leaving,ok", l.results(), "the grant is given back at once")
			assert.Empty(t, l.leaving, "only the target itself can state for good that it leaves")

			l.setTargets(leaving.address)
			status, _, err = post(t, server, "/once/x")
			require.NoError(t, err)
			assert.Equal(t, http.StatusServiceUnavailable, status, "refused as not run")
			assert.Empty(t, leaving.requests())
		})
	}
}

// TestDeclinedTargetIsNotAskedForAgain guards against a request that costs the leader six
// placements because all targets of the service have left: the leader grants a target that the
// request excludes only if it knows no other one.
func TestDeclinedTargetIsNotAskedForAgain(t *testing.T) {
	l := &testLedger{revision: 1, targets: []string{"a", "b", "a", "b", "a", "b"}}
	server, view := startEntryWithView(t, l)
	view.set(2)
	status, _, err := post(t, server, "/once/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, status, "refused as not run")
	assert.Equal(t, "leaving,leaving,leaving", l.results(), "each grant is given back")
}

// TestCatalogIsCheckedBeforeEachSend guards against a stream that is continued at a target which
// has left while the request was in progress, because the request keeps the view of its start.
func TestCatalogIsCheckedBeforeEachSend(t *testing.T) {
	leaving := startFakeTarget(t, streamHeader+chunk(eventText(1))+"<cut>", streamHeader+chunk(eventText(2))+"0\r\n\r\n")
	other := startFakeTarget(t, streamHeader+chunk(eventText(2))+"0\r\n\r\n")
	l := &testLedger{targets: []string{leaving.address, other.address}, revision: 1}
	server, view := startEntryWithView(t, l)
	ready := func(f *fakeTarget) catalog.Target { return catalog.Target{ID: "t-" + f.address, State: catalog.Ready} }
	view.set(1, ready(leaving), ready(other))
	l.onResume = func() { view.set(2, ready(other)) }
	_, body, err := post(t, server, "/retried/x")
	require.NoError(t, err)
	assert.Equal(t, eventText(1)+eventText(2), body)
	assert.Len(t, leaving.requests(), 1)
	assert.Len(t, other.requests(), 1)
}

// TestCatalogIsCheckedAfterConnecting guards against a request at a target that leaves while the
// connection to it is opened, which may take as long as the target has to drain.
func TestCatalogIsCheckedAfterConnecting(t *testing.T) {
	leaving := startFakeTarget(t, responseText("200 OK", "r", "", "late"))
	other := startFakeTarget(t, responseText("200 OK", "r", "", "other"))
	l := &testLedger{targets: []string{leaving.address, other.address}, revision: 1}
	server, view := startEntryWithView(t, l)
	ready := func(f *fakeTarget) catalog.Target { return catalog.Target{ID: "t-" + f.address, State: catalog.Ready} }
	view.set(1, ready(leaving), ready(other))
	view.onConnect = func(address string) {
		if address == leaving.address {
			view.set(2, ready(other))
		}
	}
	status, body, err := post(t, server, "/once/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "other", body)
	assert.Empty(t, leaving.requests())
	assert.Equal(t, "leaving,ok", l.results())
}

// TestIdleConnectionOfAnEarlierIncarnationIsNotUsed guards against a request that reaches the
// former process of a target, which has been replaced under its id at another address and still
// finishes its requests.
func TestIdleConnectionOfAnEarlierIncarnationIsNotUsed(t *testing.T) {
	former, later := startFakeTarget(t), startFakeTarget(t)
	pool := newConnPool(nil, func(string) int { return 4 })
	c, err := pool.get(t.Context(), "t", former.address, "r")
	require.NoError(t, err)
	pool.put("t", c, 0)
	c, err = pool.get(t.Context(), "t", later.address, "r")
	require.NoError(t, err)
	defer c.Close()
	assert.Equal(t, later.address, c.RemoteAddr().String())
	pool.put("t", c, 0)
	again, err := pool.get(t.Context(), "t", later.address, "r")
	require.NoError(t, err)
	assert.Same(t, c, again, "connections to the later one are kept")
}
