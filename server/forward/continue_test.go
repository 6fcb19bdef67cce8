package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/server/bootclock"
	ledgerhost "hemlockvale.dev/server/ledger"
)

// gatedTarget is a target whose connections are numbered from 0. It tells which connection got
// which request, and calls respond for each.
type gatedTarget struct {
	address string
	mu      sync.Mutex
	got     []int
}

func startGatedTarget(t *testing.T, respond func(c net.Conn, connection, request int)) *gatedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	g := &gatedTarget{address: l.Addr().String()}
	go func() {
		for number := 0; ; number++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					g.mu.Lock()
					g.got = append(g.got, number)
					index := len(g.got) - 1
					g.mu.Unlock()
					respond(c, number, index)
				}
			}()
		}
	}()
	return g
}

// connections returns which connection got each request.
func (g *gatedTarget) connections() []int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]int(nil), g.got...)
}

// TestStreamGoesOnOnAnOlderConnection guards against a stream that waits for its target's
// heartbeats after a reset of its connection, although the entry has an idle connection to the
// process that it opened before the stream began.
func TestStreamGoesOnOnAnOlderConnection(t *testing.T) {
	held, release := make(chan struct{}), make(chan struct{})
	target := startGatedTarget(t, func(c net.Conn, connection, request int) {
		switch request {
		case 0:
			// The first stream holds connection 0 until the second one has its own.
			close(held)
			<-release
			_, _ = io.WriteString(c, streamHeader+chunk(eventText(1))+"0\r\n\r\n")
		case 1:
			close(release)
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(c, streamHeader+chunk(eventText(1)))
			c.Close()
		default:
			_, _ = io.WriteString(c, streamHeader+chunk(eventText(2))+"0\r\n\r\n")
		}
	})
	l := &testLedger{targets: []string{target.address, target.address}, software: "v1"}
	server := startEntry(t, l, true)
	first := make(chan error, 1)
	go func() {
		_, _, err := post(t, server, "/stream/x")
		first <- err
	}()
	<-held
	status, body, err := post(t, server, "/stream/x")
	require.NoError(t, err)
	require.NoError(t, <-first)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, eventText(1)+eventText(2), body)
	assert.Equal(t, []int{0, 1, 0}, target.connections(), "the stream goes on on the older connection")
	again := l.admitted()[2]
	assert.True(t, again.SameProcess)
	assert.Equal(t, &dispatch.Origin{Service: "engine", Software: "v1"}, again.Origin)
	l.mu.Lock()
	defer l.mu.Unlock()
	evidence := l.serving[len(l.serving)-1]
	assert.Less(t, evidence.openedAt, evidence.aliveAt)
	assert.Less(t, evidence.openedAt, l.serving[0].aliveAt, "the connection is older than the broken request")
}

// TestOlderConnectionsAreThoseOfTheSameTarget guards against a stream that is taken for one of the
// process at the second target, although that has not responded to it.
func TestOlderConnectionsAreThoseOfTheSameTarget(t *testing.T) {
	both := make(chan struct{}, 2)
	release := make(chan struct{})
	second := startGatedTarget(t, func(c net.Conn, _, request int) {
		if request >= 2 {
			c.Close()
			return
		}
		both <- struct{}{}
		<-release
		_, _ = io.WriteString(c, streamHeader+chunk(eventText(1))+"0\r\n\r\n")
	})
	first := startFakeTarget(t, streamHeader+chunk(eventText(1))+"<cut>", "<cut>", "<cut>")
	l := &testLedger{targets: []string{second.address, second.address, first.address, second.address}, software: "v1"}
	server := startEntry(t, l, true)
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { _, _, _ = post(t, server, "/retried/x") })
	}
	<-both
	<-both
	close(release)
	wg.Wait()
	_, _, err := post(t, server, "/retried/x")
	assert.Error(t, err)
	again := 0
	for _, r := range l.admitted() {
		if r.Target == "t-"+second.address {
			again++
			assert.False(t, r.SameProcess)
		}
	}
	assert.Equal(t, 2, again)
}

// TestNewerConnectionsProveNothing guards against a stream that is continued on a connection
// which was opened after it began, perhaps to a later process under the same id, as if that were
// certainly the same one.
func TestNewerConnectionsProveNothing(t *testing.T) {
	pool := newConnPool(nil, func(string) int { return 4 })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	began := bootclock.Now()
	c, err := pool.dial(t.Context(), l.Addr().String())
	require.NoError(t, err)
	pool.put("t", c, 0)
	assert.Nil(t, pool.takeOlder("t", l.Addr().String(), began, "r"))
	assert.Same(t, c, pool.takeOlder("t", l.Addr().String(), bootclock.Now(), "r"))
	pool.restore("t", c)
	peer, err := l.Accept()
	require.NoError(t, err)
	peer.Close()
	require.Eventually(t, func() bool { return !c.isIdle() }, time.Second, time.Millisecond)
	assert.Nil(t, pool.takeOlder("t", l.Addr().String(), bootclock.Now(), "r"), "the target has closed it")
}

// TestOlderConnectionsLeadToTheSameAddress guards against a stream that is continued by an earlier
// incarnation of its target, to which an idle connection is open: a process that was suspended
// runs again while its successor serves at another address.
func TestOlderConnectionsLeadToTheSameAddress(t *testing.T) {
	pool := newConnPool(nil, func(string) int { return 4 })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := pool.dial(t.Context(), l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	pool.put("t", c, 0)
	assert.Nil(t, pool.takeOlder("t", "127.0.0.1:1", bootclock.Now(), "r"))
	assert.Same(t, c, pool.takeOlder("t", l.Addr().String(), bootclock.Now(), "r"))
}

// TestStreamIsNotSentOnANewConnectionInstead guards against a continuation that was granted for
// an older connection and goes to a new one, because the target closes the older one meanwhile.
func TestStreamIsNotSentOnANewConnectionInstead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	pool := newConnPool(nil, func(string) int { return 4 })
	c, err := pool.dial(t.Context(), l.Addr().String())
	require.NoError(t, err)
	pool.put("t", c, 0)
	x := &exchange{entry: &Entry{pool: pool}, older: pool.takeOlder("t", l.Addr().String(), bootclock.Now(), "r")}
	peer, err := l.Accept()
	require.NoError(t, err)
	peer.Close()
	require.Eventually(t, func() bool { return !c.isIdle() }, time.Second, time.Millisecond)
	_, err = x.connection(x.granted)
	assert.ErrorIs(t, err, errOlderClosed)
	assert.Nil(t, x.older)
}

// TestPlacementElsewhereIsNotWithdrawn guards against a stream that fails although another target
// may continue it: the report that withdraws the wait for the first target names only the request,
// and reaches the ledger after the next admission.
func TestPlacementElsewhereIsNotWithdrawn(t *testing.T) {
	broken := startFakeTarget(t, streamHeader+chunk(eventText(1))+"<cut>")
	other := startFakeTarget(t, streamHeader+chunk(eventText(2))+"0\r\n\r\n")
	l := &testLedger{targets: []string{broken.address, other.address}, software: "v1", holdResumes: true}
	_, body, err := post(t, startEntry(t, l, true), "/retried/x")
	require.NoError(t, err)
	assert.Equal(t, eventText(1)+eventText(2), body)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.reports {
		assert.NotEmpty(t, r.Target, "%+v", r)
	}
}

// TestWaitForTheTargetIsWithdrawn guards against a grant that nobody uses, because a stream that no
// other target may run has given up its wait.
func TestWaitForTheTargetIsWithdrawn(t *testing.T) {
	broken := startFakeTarget(t, streamHeader+chunk(eventText(1))+"<cut>")
	l := &testLedger{targets: []string{broken.address}, software: "v1", holdResumes: true}
	_, _, err := post(t, startEntry(t, l, true), "/stream/x")
	assert.Error(t, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	require.NotEmpty(t, l.reports)
	assert.Empty(t, l.reports[0].Target)
	assert.Equal(t, dispatch.Abandoned, l.reports[0].Result)
}

// TestBreaksAreReported guards against a leader that does not hear of the end of a target's
// process: its connection broke off, or a new one was refused.
func TestBreaksAreReported(t *testing.T) {
	broken := startFakeTarget(t, streamHeader+chunk(eventText(1))+"<cut>")
	l := &testLedger{targets: []string{"127.0.0.1:1", broken.address}, software: "v1", refuseResumes: true, started: 7}
	_, _, err := post(t, startEntry(t, l, true), "/stream/x")
	assert.Error(t, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Len(t, l.breaks, 1)
	assert.Equal(t, "t-127.0.0.1:1", l.breaks[0].Target)
	assert.EqualValues(t, 7, l.breaks[0].StartedUnixMS)
	require.Len(t, l.losses, 1, "a broken connection is reported as a lost response")
}

// TestOtherStreamsShowThatTheProcessServes guards against a doubt that lasts although other
// streams of the target, on connections opened before the break, go on.
func TestOtherStreamsShowThatTheProcessServes(t *testing.T) {
	next := make(chan struct{})
	target := startGatedTarget(t, func(c net.Conn, _, _ int) {
		_, _ = io.WriteString(c, streamHeader+chunk(eventText(1)))
		<-next
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, chunk(eventText(2))+"0\r\n\r\n")
	})
	l := &testLedger{targets: []string{target.address}, software: "v1", losses: make([]ledgerhost.LossReport, 1)}
	server := startEntry(t, l, true)
	time.AfterFunc(50*time.Millisecond, func() { close(next) })
	_, _, err := post(t, server, "/stream/x")
	require.NoError(t, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.serving[len(l.serving)-1]
	assert.Greater(t, last.aliveAt, last.openedAt-inFlightTime)
	assert.GreaterOrEqual(t, len(l.serving), 2, "the head of the response, and the event that arrived while a connection was in doubt")
}
