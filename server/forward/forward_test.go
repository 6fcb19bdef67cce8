package forward

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/coord/routing"
	ledgerhost "hemlockvale.dev/server/ledger"
	"hemlockvale.dev/server/registry"
)

// testWire uses plain header names.
type testWire struct{}

func (testWire) DecodeCall(h http.Header) (Call, error) {
	c := Call{ID: h.Get("Id"), Key: h.Get("Key"), Program: h.Get("Program"), LastEventID: h.Get("Last")}
	if c.Program != "" {
		c.TokenBudget, c.OutputTokens = 1000, 100
	}
	if left := h.Get("Left"); left != "" {
		c.TimeLeft, _ = time.ParseDuration(left)
	}
	return c, nil
}

func (testWire) EncodeCall(h http.Header, g Grant) {
	h.Del("Key")
	h.Set("Expect", g.Target)
	h.Set("Last", g.LastEventID)
}

func (testWire) DecodeReply(_ int, h http.Header) Reply {
	return Reply{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Signed: h.Get("Signature") != ""}
}

// testLedger grants the targets in order and records ends.
type testLedger struct {
	mu      sync.Mutex
	targets []string
	// later refuses what is asked after the last target.
	later dispatch.Refusal
	asked []ledgerhost.AdmitRequest
	ends  []ledgerhost.DoneReport
	// confirm delivers the outcome of a reservation; nil confirms at once.
	confirm chan error
}

func (l *testLedger) Admit(_ context.Context, r ledgerhost.AdmitRequest) (ledgerhost.AdmitResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = append(l.asked, r)
	if len(l.targets) == 0 {
		return ledgerhost.AdmitResponse{Refusal: cmp.Or(l.later, dispatch.Overloaded), RetryAfter: time.Second}, nil
	}
	address := l.targets[0]
	l.targets = l.targets[1:]
	return ledgerhost.AdmitResponse{Target: "t-" + address, Address: address}, nil
}

func (l *testLedger) Confirm(ctx context.Context, _ ledger.Reserve) error {
	if l.confirm == nil {
		return nil
	}
	select {
	case err := <-l.confirm:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *testLedger) Done(e ledgerhost.DoneReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = append(l.ends, e)
}

func (l *testLedger) results() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var r []string
	for _, e := range l.ends {
		r = append(r, string(e.Result))
	}
	return strings.Join(r, ",")
}

// end returns the first reported end; the report may follow the answer.
func (l *testLedger) end(t *testing.T) ledgerhost.DoneReport {
	t.Helper()
	var first ledgerhost.DoneReport
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.ends) == 0 {
			return false
		}
		first = l.ends[0]
		return true
	}, time.Second, time.Millisecond)
	return first
}

// standIn answers each request on a connection with the next of its texts; an
// empty text closes the connection.
type standIn struct {
	address string
	mu      sync.Mutex
	heads   []string
}

func startStandIn(t *testing.T, answers ...string) *standIn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &standIn{address: l.Addr().String()}
	t.Cleanup(func() { l.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, next)
		}
	}()
	return s
}

func (s *standIn) serve(c net.Conn, next chan string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.mu.Lock()
		s.heads = append(s.heads, request.Method+" "+request.RequestURI+" last="+request.Header.Get("Last")+" key="+request.Header.Get("Key"))
		s.mu.Unlock()
		select {
		case text := <-next:
			cut := strings.HasSuffix(text, "<cut>")
			_, _ = io.WriteString(c, strings.TrimSuffix(text, "<cut>"))
			if cut {
				return
			}
		default:
			return
		}
	}
}

func (s *standIn) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.heads...)
}

func answer(status, id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nSignature: s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, extra, len(body), body)
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const streamHead = "HTTP/1.1 200 OK\r\nId: r\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"

func event1(id int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", id, id) }

func testEntry(t *testing.T, l *testLedger, current bool) *httptest.Server {
	t.Helper()
	destination := []routing.Destination{{Service: "plain", Weight: 1}}
	engine := []routing.Destination{{Service: "engine", Weight: 1}}
	table := routing.NewTable(routing.Configuration{
		Version: 1, Services: []routing.Service{{Name: "plain"}, {Name: "engine", Engine: &routing.Engine{Slots: 4, TokensPerEvent: 10}}},
		Routes: []routing.Route{
			{Name: "once", Host: "127.0.0.1", PathPrefix: "/once/", Kind: routing.NonIdempotent, TimeoutMS: 2000, MaxAttempts: 3, Destinations: destination},
			{Name: "again", Host: "127.0.0.1", PathPrefix: "/again/", Kind: routing.Idempotent, TimeoutMS: 2000, MaxAttempts: 3, Destinations: destination},
			{Name: "stream", Host: "127.0.0.1", PathPrefix: "/stream/", Kind: routing.Streaming, TimeoutMS: 2000, MaxAttempts: 1, Resumable: true, Destinations: engine},
		},
		Organisations: []routing.Organisation{{Name: "o", Keys: []string{"k"}}},
	})
	view := &registry.View{Table: table, Targets: []catalog.Target{}}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	e := New(Options{
		View: func() *registry.View { return view }, Current: func() bool { return current }, Age: func() time.Duration { return 0 },
		Ledger: l, Wire: testWire{}, Log: logrus.NewEntry(quiet), Metrics: gometrics.NewRegistry(),
	})
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return server
}

func get(t *testing.T, server *httptest.Server, path string, headers ...string) (int, string, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader("body"))
	require.NoError(t, err)
	request.Header.Set("Id", "r")
	request.Header.Set("Key", "k")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// Guards against a second run of what must run once, and against "not run" for what may have run.
func TestLostAnswers(t *testing.T) {
	good := answer("200 OK", "r", "", "fine")
	cases := []struct {
		name, path string
		first      string
		status     int
		runs       int
		results    string
	}{
		{"a lost answer is not repeated", "/once/x", "<cut>", http.StatusBadGateway, 0, "broken"},
		{"an incomplete answer is not repeated", "/once/x", "HTTP/1.1 200 OK\r\nId: r\r\nSignature: s\r\nContent-Length: 9\r\n\r\nhalf<cut>", http.StatusBadGateway, 0, "broken"},
		{"an idempotent request is repeated", "/again/x", "<cut>", http.StatusOK, 1, "broken,ok"},
		{"a target that is full sends the request on", "/once/x", answer("503 Busy", "r", "Not-Run: 1\r\n", ""), http.StatusOK, 1, "not_run,ok"},
		{"a failure of the target is passed on", "/again/x", answer("500 Oops", "r", "", "oops"), http.StatusInternalServerError, 0, "failed"},
		{"an unsigned success is no answer", "/once/x", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 0\r\n\r\n", http.StatusBadGateway, 0, "broken"},
		{"bytes that are no answer", "/once/x", "garbage\r\n\r\n<cut>", http.StatusBadGateway, 0, "broken"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, second := startStandIn(t, c.first), startStandIn(t, good)
			l := &testLedger{targets: []string{first.address, second.address}}
			status, _, err := get(t, testEntry(t, l, true), c.path)
			require.NoError(t, err)
			assert.Equal(t, c.status, status)
			assert.Len(t, second.requests(), c.runs)
			assert.Equal(t, c.results, l.results())
			assert.Contains(t, first.requests()[0], "key=", "the key stays here")
		})
	}
}

// Guards against a refusal as "not run" of a request that a target may have
// run, when its second attempt is refused.
func TestNoRefusalAfterARun(t *testing.T) {
	for _, refusal := range []dispatch.Refusal{dispatch.OverRate, dispatch.Overloaded, ledgerhost.BudgetExhausted} {
		first := startStandIn(t, "<cut>")
		l := &testLedger{targets: []string{first.address}, later: refusal}
		status, _, err := get(t, testEntry(t, l, true), "/again/x")
		require.NoError(t, err)
		assert.Equal(t, http.StatusBadGateway, status, string(refusal))
	}
}

// Guards against a stream without a signature that is passed on as a success.
func TestUnsignedStreamIsNoAnswer(t *testing.T) {
	unsigned := strings.Replace(streamHead, "Signature: s\r\n", "", 1) + chunk(event1(1)) + "0\r\n\r\n"
	l := &testLedger{targets: []string{startStandIn(t, unsigned).address}}
	status, _, err := get(t, testEntry(t, l, true), "/stream/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, status)
}

// Guards against an answer to another request, or extra bytes, that reach a caller.
func TestForeignAnswersAreDiscarded(t *testing.T) {
	target := startStandIn(t, answer("200 OK", "r", "", "one")+answer("200 OK", "r", "", "extra"), answer("200 OK", "other", "", "foreign")+answer("200 OK", "r", "", "two"))
	l := &testLedger{targets: []string{target.address, target.address}}
	server := testEntry(t, l, true)
	for _, want := range []string{"one", "two"} {
		status, body, err := get(t, server, "/again/x")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, want, body)
	}
}

// Guards against streams with gaps, repeated events or a false end after their target broke off.
func TestBrokenStreamIsResumed(t *testing.T) {
	broken := streamHead + chunk(event1(1)) + chunk(event1(2)) + chunk("id: 3\nda") + "<cut>"
	rest := streamHead + chunk(event1(2)) + chunk(event1(3)) + "0\r\n\r\n"
	target := startStandIn(t, broken, rest)
	l := &testLedger{targets: []string{target.address}}
	status, body, err := get(t, testEntry(t, l, true), "/stream/x", "Program", "p")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, event1(1)+event1(2)+event1(3), body)
	assert.Contains(t, target.requests()[1], "last=2")
	assert.EqualValues(t, 30, l.end(t).Settle.Used, "each event is charged once")
	assert.Equal(t, "ok", l.results())
}

// Guards against a stream that looks complete although it is not.
func TestStreamThatCannotBeResumedLooksBroken(t *testing.T) {
	target := startStandIn(t, streamHead+chunk(event1(1))+"<cut>", "<cut>", "<cut>")
	l := &testLedger{targets: []string{target.address}}
	_, _, err := get(t, testEntry(t, l, true), "/stream/x", "Program", "p")
	assert.Error(t, err)
	assert.EqualValues(t, 10, l.end(t).Settle.Used)
}

// Guards against refusals for good from an entry that may not know the newest configuration.
func TestStaleEntryRefusesNothingForGood(t *testing.T) {
	for current, want := range map[bool]int{true: http.StatusNotFound, false: http.StatusServiceUnavailable} {
		status, _, err := get(t, testEntry(t, &testLedger{}, current), "/none/x")
		require.NoError(t, err)
		assert.Equal(t, want, status)
	}
	for current, want := range map[bool]int{true: http.StatusUnauthorized, false: http.StatusServiceUnavailable} {
		status, _, err := get(t, testEntry(t, &testLedger{}, current), "/once/x", "Key", "unknown")
		require.NoError(t, err)
		assert.Equal(t, want, status)
	}
}

// Guards against a caller that waits after its time is over.
func TestSilentTargetEndsWithTheCallersTime(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	ledger := &testLedger{targets: []string{l.Addr().String()}}
	began := time.Now()
	status, _, err := get(t, testEntry(t, ledger, true), "/once/x", "Left", "200ms")
	require.NoError(t, err)
	assert.Equal(t, http.StatusGatewayTimeout, status)
	assert.Less(t, time.Since(began), 450*time.Millisecond)
	assert.Equal(t, "abandoned", ledger.results())
}

// Guards against tokens that reach a caller before their reservation is
// durable, or although it failed: the budget could then be spent twice.
func TestNoTokenBeforeTheReservation(t *testing.T) {
	whole := streamHead + chunk(event1(1)) + "0\r\n\r\n"
	for name, outcome := range map[string]error{"durable": nil, "failed": ledgerhost.ErrExhausted} {
		t.Run(name, func(t *testing.T) {
			target := startStandIn(t, whole)
			l := &testLedger{targets: []string{target.address}, confirm: make(chan error)}
			server := testEntry(t, l, true)
			began := time.Now()
			time.AfterFunc(150*time.Millisecond, func() { l.confirm <- outcome })
			status, body, err := get(t, server, "/stream/x", "Program", "p")
			assert.GreaterOrEqual(t, time.Since(began), 150*time.Millisecond)
			if outcome == nil {
				require.NoError(t, err)
				assert.Equal(t, event1(1), body)
				return
			}
			assert.Equal(t, http.StatusBadGateway, status, "it has run, so it is not refused")
			assert.Zero(t, l.end(t).Settle.Used)
		})
	}
}
