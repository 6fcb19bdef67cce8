package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/memquota"
	ledgerhost "hemlockvale.dev/server/ledger"
)

const (
	// testQuota is the quota of an entry with 120 MB.
	testQuota = 36 << 20
	// testStallTimeout is the stall timeout of the tests.
	testStallTimeout = 300 * time.Millisecond
	// endTime is the time within which the bytes of an ended request are released. It is long,
	// because it passes only if a test fails.
	endTime = 20 * time.Second
)

// byIDLedger grants the target whose name is the beginning of the request's id.
type byIDLedger struct {
	testLedger
	addresses map[string]string
}

func (l *byIDLedger) Admit(_ context.Context, r ledgerhost.AdmitRequest) (ledgerhost.AdmitResponse, error) {
	name, _, _ := strings.Cut(r.ID, "-")
	return ledgerhost.AdmitResponse{Target: name, Address: l.addresses[name]}, nil
}

// startMemoryEntry starts an entry with testQuota.
func startMemoryEntry(t *testing.T, l Ledger) (*Entry, *httptest.Server) {
	t.Helper()
	options := testOptions(l, true, newTestHistories(), &testView{})
	options.MemoryQuota, options.StallTimeout = testQuota, testStallTimeout
	e := New(options)
	return e, startServer(t, e)
}

// requireNothingHeld waits until the entry holds no bytes.
func requireNothingHeld(t *testing.T, e *Entry) {
	t.Helper()
	require.Eventually(t, func() bool { return e.memory.read((*memquota.Quota).Total) == 0 }, endTime, time.Millisecond)
	assert.Zero(t, e.memory.read(func(q *memquota.Quota) int64 { return int64(q.Owners() + q.Waiting()) }))
}

// startEchoTarget starts a target that responds with a short body.
func startEchoTarget(t *testing.T) string {
	t.Helper()
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		fmt.Fprint(w, "read ", n)
	}))
	t.Cleanup(target.Close)
	return strings.TrimPrefix(target.URL, "http://")
}

// startHoldingTarget starts a target that sends the given bytes of a body without length in
// response to each request, and then nothing until release is closed.
func startHoldingTarget(t *testing.T, bytes int, release <-chan struct{}) string {
	t.Helper()
	body := make([]byte, bytes)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		_, _ = w.Write(body)
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	t.Cleanup(target.Close)
	return strings.TrimPrefix(target.URL, "http://")
}

// TestEndlessTargetBesideOthers guards against a target whose responses without end fill the
// memory of the entry, which ends the requests at all targets when the process is killed. Each
// response stops below the limit of one response and stays in memory.
func TestEndlessTargetBesideOthers(t *testing.T) {
	const endless, perResponse, ordinary = 24, 7 << 20, 50
	release := make(chan struct{})
	l := &byIDLedger{addresses: map[string]string{"endless": startHoldingTarget(t, perResponse, release), "sound": startEchoTarget(t)}}
	e, server := startMemoryEntry(t, l)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	statuses := make(chan int, endless)
	for n := range endless {
		wg.Go(func() {
			status, _, _ := post(t, server, "/patient/x", "Id", fmt.Sprintf("endless-%d", n))
			statuses <- status
		})
	}
	// The target's share holds at most two of the responses, so that the others end.
	for range endless - 2 {
		assert.Equal(t, http.StatusBadGateway, <-statuses)
	}
	for n := range ordinary {
		status, body, err := post(t, server, "/once/x", "Id", fmt.Sprintf("sound-%d", n))
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, "read 4", body)
	}
	close(release)
	wg.Wait()
	runtime.ReadMemStats(&after)
	peak := e.memory.read((*memquota.Quota).Peak)
	assert.Less(t, peak, int64(testQuota))
	assert.Greater(t, peak, int64(perResponse/2), "the responses are counted")
	// The heap may grow to twice what is held before it is collected.
	assert.Less(t, int64(after.Sys)-int64(before.Sys), int64(3*testQuota))
	assert.Contains(t, l.results(), "broken", "it counts against the target")
	requireNothingHeld(t, e)
}

// TestLackOfMemory guards against a status that denies that a target may have run a request, or
// that holds a target to account for the memory that others use.
func TestLackOfMemory(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	l := &byIDLedger{addresses: map[string]string{"holding": startHoldingTarget(t, 2<<20, release), "sound": startEchoTarget(t)}}
	e, server := startMemoryEntry(t, l)
	// exhaust holds all that holdings of at least the given size can hold.
	exhaust := func(c memquota.Class, first, least int64) func() {
		// A request releases its bytes after its response.
		require.Eventually(t, func() bool { return e.Active() == 0 }, endTime, time.Millisecond)
		e.memory.mu.Lock()
		defer e.memory.mu.Unlock()
		var all []*memquota.Holding
		for n := first; n >= least; n /= 2 {
			h := &memquota.Holding{Class: c}
			for e.memory.quota.Grow(h, n) == memquota.Granted {
				all = append(all, h)
				h = &memquota.Holding{Class: c}
			}
		}
		return func() { e.memory.releaseAll(all...) }
	}
	free := exhaust(memquota.ResponseBodies, 128<<10, 128<<10)
	status, _, err := post(t, server, "/once/x", "Id", "holding-1")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, status)
	assert.Equal(t, "abandoned", l.results())
	status, _, err = post(t, server, "/once/x", "Id", "sound-1")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status, "ordinary responses have a reserve")
	freeMore := exhaust(memquota.RequestBodies, 64<<10, 1)
	status, body, err := post(t, server, "/once/x", "Id", "sound-2")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Equal(t, reasonMemory+"\n", body)
	freeMore()
	free()
	status, _, err = post(t, server, "/once/x", "Id", "sound-3")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	requireNothingHeld(t, e)
	counter := gometrics.GetOrRegisterCounter("forward_memory_rejected;class=request_bodies;reason=exhausted", e.options.Metrics)
	assert.EqualValues(t, 1, counter.Count())
}

// TestLongestBodyIsServed guards against a quota that refuses a body within the limits of the
// configuration at an idle entry.
func TestLongestBodyIsServed(t *testing.T) {
	const longest = 4 << 20
	e, server := startMemoryEntry(t, &byIDLedger{addresses: map[string]string{"sound": startEchoTarget(t)}})
	for name, body := range map[string]io.Reader{
		"stated length": strings.NewReader(strings.Repeat("x", longest)),
		"chunks":        io.MultiReader(strings.NewReader(strings.Repeat("x", longest))),
	} {
		request, err := http.NewRequest(http.MethodPost, server.URL+"/once/x", body)
		require.NoError(t, err)
		request.Header.Set("Id", "sound-1")
		request.Header.Set("Key", "k")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		content, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Body.Close()
		assert.Equal(t, fmt.Sprint("read ", longest), string(content), name)
	}
	requireNothingHeld(t, e)
}

// TestStalledCaller guards against a caller that stops reading: the bytes that are buffered for
// it, and the slot at its target, must be free after the stall timeout. The target must not be
// read faster than the caller reads.
func TestStalledCaller(t *testing.T) {
	// maxUnread is the size of all buffers between the target and the caller: twice 128 KiB for
	// each connection, as the kernel doubles them, the send buffer of the target, and that of the
	// caller.
	const maxUnread = 16 << 20
	for name, c := range map[string]struct{ path, head, repeat string }{
		"stream": {"/patient-stream/x", "HTTP/1.1 200 OK\r\nId: r\r\nSignature: s\r\n\r\n", "data: " + strings.Repeat("x", 1000) + "\n\n"},
		"body":   {"/patient/x", fmt.Sprintf("HTTP/1.1 200 OK\r\nId: r\r\nSignature: s\r\nContent-Length: %d\r\n\r\n", 8<<20), strings.Repeat("x", 1024)},
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := startEndlessTarget(t, c.head, c.repeat)
			l := &testLedger{targets: []string{address}}
			e, server := startMemoryEntry(t, l)
			conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r\r\nKey: k\r\n\r\n", c.path)
			require.NoError(t, err)
			<-closed
			l.firstReport(t)
			requireNothingHeld(t, e)
			counter := gometrics.GetOrRegisterCounter("forward_connections_closed;peer=caller;reason=caller_stalled", e.options.Metrics)
			require.Eventually(t, func() bool { return counter.Count() == 1 }, endTime, time.Millisecond)
			n, err := io.Copy(io.Discard, conn)
			assert.Error(t, err, "the caller sees an incomplete response")
			assert.Less(t, n, int64(maxUnread))
		})
	}
}

// TestNothingIsHeldAfterwards guards against bytes that stay reserved after a request that ends
// in an unusual way, until the entry rejects everything.
func TestNothingIsHeldAfterwards(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	cases := map[string]struct {
		path    string
		headers []string
		answers []string
	}{
		"complete":         {"/once/x", nil, []string{responseText("200 OK", "r", "", long)}},
		"long head":        {"/once/x", nil, []string{responseText("200 OK", "r", "X: "+long[:30<<10]+"\r\n", "y")}},
		"not run":          {"/once/x", nil, []string{responseText("503 Busy", "r", "Not-Run: 1\r\n", long)}},
		"body cut off":     {"/again/x", nil, []string{"HTTP/1.1 200 OK\r\nId: r\r\nSignature: s\r\nContent-Length: 900000\r\n\r\n" + long + "<cut>"}},
		"head cut off":     {"/once/x", nil, []string{"HTTP/1.1 200 OK\r\nX: " + long[:20<<10] + "<cut>"}},
		"stream":           {"/stream/x", nil, []string{streamHeader + chunk(eventText(1)) + chunk("data: "+long+"\n\n") + "0\r\n\r\n"}},
		"stream cut off":   {"/stream/x", nil, []string{streamHeader + chunk(eventText(1)) + chunk("data: "+long) + "<cut>"}},
		"turn":             {"/chat/x", nil, []string{streamHeader + chunk("id: 1\ndata: "+long+"\n\n") + "0\r\n\r\n"}},
		"turn without one": {"/chat/x", []string{"Previous", "unknown"}, []string{streamHeader}},
		"deadline":         {"/once/x", []string{"Left", "50ms"}, []string{"HTTP/1.1 200 OK\r\nId: r\r\nSignature: s\r\nContent-Length: 900000\r\n\r\n" + long}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			target := startFakeTarget(t, c.answers...)
			e, server := startMemoryEntry(t, &testLedger{targets: []string{target.address, target.address}})
			_, _, _ = post(t, server, c.path, c.headers...)
			requireNothingHeld(t, e)
			assert.Positive(t, e.memory.read((*memquota.Quota).Peak))
		})
	}
	t.Run("caller that leaves", func(t *testing.T) {
		e, server := startMemoryEntry(t, &testLedger{})
		conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		require.NoError(t, err)
		_, err = io.WriteString(conn, "POST /patient/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r\r\nKey: k\r\nContent-Length: 900000\r\n\r\n"+long)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return e.memory.read((*memquota.Quota).Peak) > 64<<10 }, endTime, time.Millisecond)
		conn.Close()
		requireNothingHeld(t, e)
	})
	t.Run("panic", func(t *testing.T) {
		e, server := startMemoryEntry(t, panickingLedger{})
		_, _, err := post(t, server, "/once/x")
		assert.Error(t, err)
		requireNothingHeld(t, e)
	})
}

// panickingLedger panics when it is asked to admit a request.
type panickingLedger struct{ Ledger }

func (panickingLedger) Admit(context.Context, ledgerhost.AdmitRequest) (ledgerhost.AdmitResponse, error) {
	panic(http.ErrAbortHandler)
}

// TestLargeEventsAreReserved guards against events that are read without a reservation.
func TestLargeEventsAreReserved(t *testing.T) {
	held := 0
	reserve := func(n int) error {
		held += n
		return nil
	}
	_, err := readEvent(bufio.NewReader(strings.NewReader(eventText(1))), reserve)
	require.NoError(t, err)
	assert.Zero(t, held, "events of usual size need none")
	const text = 500 << 10
	_, err = readEvent(bufio.NewReader(strings.NewReader("data: "+strings.Repeat("x", text)+"\n\n")), reserve)
	require.NoError(t, err)
	assert.GreaterOrEqual(t, held, 2*text-2*smallEventBytes)
}
