package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/registry"
)

// pipeConn is a connection that records whether it was closed.
type pipeConn struct {
	net.Conn
	closed bool
}

func (c *pipeConn) Close() error {
	c.closed = true
	return c.Conn.Close()
}

func newPipeConn(t *testing.T) (*pipeConn, *conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	raw := &pipeConn{Conn: near}
	return raw, newConn(raw)
}

// TestIdleConnectionsAreKeptAsStated guards against connections that are closed long before
// the target closes them, and against requests on one that the target is about to close.
func TestIdleConnectionsAreKeptAsStated(t *testing.T) {
	p := newConnPool(nil, func(string) int { return 1 })
	for stated, want := range map[time.Duration]time.Duration{
		0:                                        dispatch.IdleConnectionTime,
		5 * time.Second:                          5*time.Second - idleMargin,
		30 * time.Second:                         30*time.Second - idleMargin,
		100 * time.Hour:                          maxIdleTimeout - idleMargin,
		idleMargin:                               0,
		-1:                                       0,
		time.Duration(-1 << 63):                  0,
		time.Duration(1<<63 - 1):                 maxIdleTimeout - idleMargin,
		dispatch.IdleConnectionTime + idleMargin: dispatch.IdleConnectionTime,
	} {
		raw, c := newPipeConn(t)
		before := time.Now()
		p.put("t", c, stated)
		if want == 0 {
			assert.True(t, raw.closed, stated)
			continue
		}
		assert.False(t, raw.closed, stated)
		assert.False(t, c.idleUntil.Before(before.Add(want)), stated)
		assert.False(t, c.idleUntil.After(time.Now().Add(want)), stated)
		p.drop("t")
	}
}

// TestOldestSurplusConnectionIsClosed guards against more idle connections than allowed, and
// against keeping those that expire first.
func TestOldestSurplusConnectionIsClosed(t *testing.T) {
	limit := 3
	p := newConnPool(nil, func(string) int { return limit })
	var raws []*pipeConn
	put := func() {
		raw, c := newPipeConn(t)
		raws = append(raws, raw)
		p.put("t", c, 0)
	}
	closed := func() (list []bool) {
		for _, raw := range raws {
			list = append(list, raw.closed)
		}
		return list
	}
	for range 4 {
		put()
	}
	assert.Equal(t, []bool{true, false, false, false}, closed())
	limit = 1
	put()
	assert.Equal(t, []bool{true, true, true, true, false}, closed())
	assert.Len(t, p.idle["t"], 1)
}

// TestIdleConnectionsStayWithinTheLimit guards against idle connections of all entries that
// leave a target no room for the connections of the requests that it holds.
func TestIdleConnectionsStayWithinTheLimit(t *testing.T) {
	entries := 0
	view := &registry.View{Targets: []catalog.Target{{ID: "t", Service: "s", Slots: 12}, {ID: "u", Service: "unlimited", Slots: 12}}}
	e := New(Options{View: func() *registry.View { return view }, Entries: func() int { return entries }, Metrics: gometrics.NewRegistry()})
	assert.Equal(t, dispatch.MaxIdleConnections, e.maxIdle("t"), "no configuration")
	for _, limit := range []int{0, 5, 60, 244, 378} {
		view.Table = routing.NewTable(routing.Configuration{Services: []routing.Service{{Name: "s", MaxConnections: limit}, {Name: "unlimited"}}})
		for entries = range 300 {
			idle := e.maxIdle("t")
			assert.GreaterOrEqual(t, idle, 1)
			assert.LessOrEqual(t, idle, dispatch.MaxIdleConnections)
			if limit >= entries+24 && entries > 0 {
				assert.LessOrEqual(t, entries*idle+24, limit, fmt.Sprint(limit, entries))
			}
			assert.Equal(t, dispatch.MaxIdleConnections, e.maxIdle("u"))
			assert.Equal(t, dispatch.MaxIdleConnections, e.maxIdle("unknown"))
		}
	}
	view.Table = routing.NewTable(routing.Configuration{Services: []routing.Service{{Name: "s", MaxConnections: 244}}})
	entries = 15
	assert.Equal(t, dispatch.MaxIdleConnections, e.maxIdle("t"), "a small deployment keeps all")
	entries = 110
	assert.Equal(t, 2, e.maxIdle("t"))
}

// TestConnectionsAreCounted guards against counters that do not tell new connections from
// reused ones.
func TestConnectionsAreCounted(t *testing.T) {
	target := startFakeTarget(t, responseText("200 OK", "r", "", ""), responseText("200 OK", "r", "", ""), responseText("200 OK", "r", "Connection: close\r\n", ""), responseText("200 OK", "r", "", ""))
	l := &testLedger{targets: []string{target.address, target.address, target.address, target.address}}
	server := startEntry(t, l, true)
	pool := server.Config.Handler.(*Entry).pool
	for n, want := range [][2]int64{{1, 0}, {1, 1}, {1, 2}, {2, 2}} {
		status, _, err := post(t, server, "/again/x")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, status)
		require.Eventually(t, func() bool { return strings.Count(l.results(), "ok") > n }, time.Second, time.Millisecond, "the exchange has ended")
		assert.Equal(t, want, [2]int64{pool.opened.Load(), pool.reused.Load()})
	}
}
