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
	"strconv"
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
	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/coord/routing"
	ledgerhost "hemlockvale.dev/server/ledger"
	"hemlockvale.dev/server/registry"
)

// testCodec is a HeaderCodec with short header names.
type testCodec struct{}

func (testCodec) DecodeCall(h http.Header) (Call, error) {
	c := Call{ID: h.Get("Id"), Key: h.Get("Key"), Program: h.Get("Program"), LastEventID: h.Get("Last"), PreviousTurn: h.Get("Previous"), Resumes: h.Get("Resumes")}
	if c.Program != "" {
		c.TokenBudget, c.OutputTokens = 1000, 100
	}
	if left := h.Get("Left"); left != "" {
		c.TimeLeft, _ = time.ParseDuration(left)
	}
	return c, nil
}

func (testCodec) EncodeCall(h http.Header, c TargetCall) {
	h.Del("Key")
	h.Set("Expected-Target", c.Target)
	h.Set("Last", c.LastEventID)
}

func (testCodec) DecodeResponse(_ int, h http.Header) ResponseInfo {
	info := ResponseInfo{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Signed: h.Get("Signature") != ""}
	info.Leaving = info.Signed && h.Get("Leaving") != ""
	if text := h.Get("Limit"); text != "" {
		limit, err := strconv.ParseFloat(text, 64)
		info.RateLimit, info.Err = &limit, err
	}
	return info
}

// testLedger grants its targets in order and records the done reports.
type testLedger struct {
	mu      sync.Mutex
	targets []string
	// finalRefusal is the refusal of requests once all targets are granted; empty means
	// Overloaded.
	finalRefusal dispatch.Refusal
	admissions   []ledgerhost.AdmitRequest
	reports      []ledgerhost.DoneReport
	// confirmation delivers the outcome of a reservation; if nil, reservations are
	// confirmed at once.
	confirmation chan error
	// keeps holds the recorded turns; Keep returns keepErr.
	keeps   []history.Keep
	keepErr error
	// holders are granted as the holders of the previous turn.
	holders []string
	// rateLimit is the rate limit that grants state, and rates are the reported ones.
	rateLimit *float64
	rates     []ledgerhost.TargetRate
	// losses are the reported lost responses.
	losses []ledgerhost.LossReport
	// leaving are the targets that were reported as leaving.
	leaving []catalog.Incarnation
	// started is the start time of all granted targets.
	started int64
	// software is the software version of all granted targets.
	software string
	// refuseResumes is set if streams may not be resumed at their target.
	refuseResumes bool
}

func (l *testLedger) ObserveRate(o ledgerhost.RateObservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Changed() {
		l.rates = append(l.rates, o.TargetRate)
	}
}

func (l *testLedger) ReportLeaving(i catalog.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = append(l.leaving, i)
}

func (l *testLedger) ReportLoss(r ledgerhost.LossReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losses = append(l.losses, r)
}

func (l *testLedger) Admit(_ context.Context, r ledgerhost.AdmitRequest) (ledgerhost.AdmitResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admissions = append(l.admissions, r)
	if r.Target != "" {
		if l.refuseResumes {
			return ledgerhost.AdmitResponse{Refusal: dispatch.NoTarget}, nil
		}
		return ledgerhost.AdmitResponse{Target: r.Target, Address: strings.TrimPrefix(r.Target, "t-"), Holders: l.holders}, nil
	}
	if len(l.targets) == 0 {
		return ledgerhost.AdmitResponse{Refusal: cmp.Or(l.finalRefusal, dispatch.Overloaded), RetryAfter: time.Second}, nil
	}
	address := l.targets[0]
	l.targets = l.targets[1:]
	return ledgerhost.AdmitResponse{Target: "t-" + address, Address: address, Holders: l.holders, RateLimit: l.rateLimit, Software: l.software, StartedUnixMS: l.started}, nil
}

func (l *testLedger) Confirm(ctx context.Context, _ ledger.Reserve) error {
	if l.confirmation == nil {
		return nil
	}
	select {
	case err := <-l.confirmation:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *testLedger) Keep(_ context.Context, k history.Keep) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keeps = append(l.keeps, k)
	return l.keepErr
}

func (l *testLedger) Done(r ledgerhost.DoneReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = append(l.reports, r)
}

// admitted returns the admission requests so far.
func (l *testLedger) admitted() []ledgerhost.AdmitRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ledgerhost.AdmitRequest(nil), l.admissions...)
}

// results returns the reported results in order, joined by commas.
func (l *testLedger) results() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for _, r := range l.reports {
		list = append(list, string(r.Result))
	}
	return strings.Join(list, ",")
}

// firstReport returns the first done report. It waits up to a second, because the report
// may follow the response to the caller.
func (l *testLedger) firstReport(t *testing.T) ledgerhost.DoneReport {
	t.Helper()
	var first ledgerhost.DoneReport
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.reports) == 0 {
			return false
		}
		first = l.reports[0]
		return true
	}, time.Second, time.Millisecond)
	return first
}

// fakeTarget responds to each request with the next of its texts. It closes the connection
// after a text that ends in "<cut>", or if no text is left.
type fakeTarget struct {
	address      string
	mu           sync.Mutex
	requestLines []string
}

func startFakeTarget(t *testing.T, responses ...string) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeTarget{address: l.Addr().String()}
	t.Cleanup(func() { l.Close() })
	next := make(chan string, len(responses))
	for _, text := range responses {
		next <- text
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c, next)
		}
	}()
	return f
}

func (f *fakeTarget) serve(c net.Conn, next chan string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		f.mu.Lock()
		f.requestLines = append(f.requestLines, request.Method+" "+request.RequestURI+" last="+request.Header.Get("Last")+" key="+request.Header.Get("Key"))
		f.mu.Unlock()
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

func (f *fakeTarget) requests() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.requestLines...)
}

// responseText returns a signed response. extra holds further header lines, each with
// its line ending.
func responseText(status, id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nSignature: s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, extra, len(body), body)
}

// chunk returns text as one chunk of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// streamHeader is the header of a signed streaming response.
const streamHeader = "HTTP/1.1 200 OK\r\nId: r\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"

// eventText returns an event with the given id.
func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", id, id) }

// startEntry starts an entry with a route of each kind. current is the value of its
// Options.Current.
func startEntry(t *testing.T, l *testLedger, current bool) *httptest.Server {
	t.Helper()
	return startEntryWith(t, l, current, newTestHistories())
}

// startHistoryEntry starts an entry that reads and writes the given histories.
func startHistoryEntry(t *testing.T, l *testLedger, h *testHistories) *httptest.Server {
	t.Helper()
	return startEntryWith(t, l, true, h)
}

func startEntryWith(t *testing.T, l *testLedger, current bool, h *testHistories) *httptest.Server {
	t.Helper()
	destination := []routing.Destination{{Service: "plain", Weight: 1}}
	engine := []routing.Destination{{Service: "engine", Weight: 1}}
	table := routing.NewTable(routing.Configuration{
		Version: 1, Services: []routing.Service{{Name: "plain"}, {Name: "engine", Engine: &routing.Engine{Slots: 4, TokensPerEvent: 10}}},
		Routes: []routing.Route{
			{Name: "once", Host: "127.0.0.1", PathPrefix: "/once/", Kind: routing.NonIdempotent, TimeoutMS: 2000, MaxAttempts: 3, Destinations: destination},
			{Name: "again", Host: "127.0.0.1", PathPrefix: "/again/", Kind: routing.Idempotent, TimeoutMS: 2000, MaxAttempts: 3, Destinations: destination},
			{Name: "stream", Host: "127.0.0.1", PathPrefix: "/stream/", Kind: routing.Streaming, TimeoutMS: 2000, MaxAttempts: 1, Resumable: true, Destinations: engine},
			{Name: "patient", Host: "127.0.0.1", PathPrefix: "/patient/", Kind: routing.NonIdempotent, TimeoutMS: 20000, MaxAttempts: 3, Destinations: destination},
			{Name: "patient_stream", Host: "127.0.0.1", PathPrefix: "/patient-stream/", Kind: routing.Streaming, TimeoutMS: 20000, MaxAttempts: 1, Resumable: true, Destinations: engine},
			{Name: "retried", Host: "127.0.0.1", PathPrefix: "/retried/", Kind: routing.Streaming, TimeoutMS: 2000, MaxAttempts: 2, Resumable: true, Destinations: engine},
			{Name: "resumable_chat", Host: "127.0.0.1", PathPrefix: "/resumable-chat/", Kind: routing.Streaming, TimeoutMS: 2000, MaxAttempts: 1, Resumable: true, RetentionSeconds: 60, KeepsHistory: true, Destinations: engine},
			{Name: "chat", Host: "127.0.0.1", PathPrefix: "/chat/", Kind: routing.Streaming, TimeoutMS: 2000, MaxAttempts: 1, RetentionSeconds: 60, KeepsHistory: true, Destinations: engine},
		},
		Organisations: []routing.Organisation{{Name: "o", Keys: []string{"k"}}},
	})
	view := &registry.View{Table: table, Targets: []catalog.Target{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := New(Options{
		View: func() *registry.View { return view }, Current: func() bool { return current }, Age: func() time.Duration { return 0 },
		Ledger: l, Histories: h, HistoryCopies: 2, HeaderCodec: testCodec{},
		HistoryStores: func() []history.Store {
			return []history.Store{{Storage: "a", Address: "a:1", DataCentre: "x"}, {Storage: "b", Address: "b:1", DataCentre: "y"}, {Storage: "c", Address: "c:1", DataCentre: "z"}}
		}, Log: logrus.NewEntry(log), Metrics: gometrics.NewRegistry(),
	})
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return server
}

// post sends a request with the id r and the key k, which headers may override, and
// returns the status and the body of the response.
func post(t *testing.T, server *httptest.Server, path string, headers ...string) (int, string, error) {
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

// TestLostAnswers guards against a second run of a request that is not idempotent, and
// against a "not run" status for a request that a target may have run, when the first
// target's response is lost, incomplete or invalid.
func TestLostAnswers(t *testing.T) {
	good := responseText("200 OK", "r", "", "fine")
	cases := []struct {
		name, path string
		first      string
		status     int
		runs       int
		results    string
	}{
		{"a non-idempotent request is not repeated after a lost response", "/once/x", "<cut>", http.StatusBadGateway, 0, "broken"},
		{"a non-idempotent request is not repeated after an incomplete response", "/once/x", "HTTP/1.1 200 OK\r\nId: r\r\nSignature: s\r\nContent-Length: 9\r\n\r\nhalf<cut>", http.StatusBadGateway, 0, "broken"},
		{"an idempotent request is repeated", "/again/x", "<cut>", http.StatusOK, 1, "broken,ok"},
		{"a request that a full target did not run is sent to another target", "/once/x", responseText("503 Busy", "r", "Not-Run: 1\r\n", ""), http.StatusOK, 1, "not_run,ok"},
		{"an error status of the target is relayed", "/again/x", responseText("500 Oops", "r", "", "oops"), http.StatusInternalServerError, 0, "failed"},
		{"an unsigned success is not relayed", "/once/x", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 0\r\n\r\n", http.StatusBadGateway, 0, "broken"},
		{"bytes that are not an HTTP response are not relayed", "/once/x", "garbage\r\n\r\n<cut>", http.StatusBadGateway, 0, "broken"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, second := startFakeTarget(t, c.first), startFakeTarget(t, good)
			l := &testLedger{targets: []string{first.address, second.address}}
			status, _, err := post(t, startEntry(t, l, true), c.path)
			require.NoError(t, err)
			assert.Equal(t, c.status, status)
			assert.Len(t, second.requests(), c.runs)
			assert.Equal(t, c.results, l.results())
			assert.Contains(t, first.requests()[0], "key=", "the key is not forwarded to the target")
		})
	}
}

// TestNoRefusalAfterARun guards against a "not run" status for a request that its first
// target may have run and whose second admission is refused.
func TestNoRefusalAfterARun(t *testing.T) {
	for _, refusal := range []dispatch.Refusal{dispatch.OverRate, dispatch.Overloaded, ledgerhost.BudgetExhausted} {
		first := startFakeTarget(t, "<cut>")
		l := &testLedger{targets: []string{first.address}, finalRefusal: refusal}
		status, _, err := post(t, startEntry(t, l, true), "/again/x")
		require.NoError(t, err)
		assert.Equal(t, http.StatusBadGateway, status, string(refusal))
	}
}

// TestNotRunAtASecondTargetDeniesNoRun guards against a "not run" status for a request
// that its first target may have run, because a second target says that it did not.
func TestNotRunAtASecondTargetDeniesNoRun(t *testing.T) {
	notRun := responseText("503 Busy", "r", "Not-Run: 1\r\n", "")
	for _, refusal := range []dispatch.Refusal{dispatch.OverRate, dispatch.Overloaded, ledgerhost.BudgetExhausted} {
		first, second := startFakeTarget(t, "<cut>"), startFakeTarget(t, notRun)
		l := &testLedger{targets: []string{first.address, second.address}, finalRefusal: refusal}
		status, _, err := post(t, startEntry(t, l, true), "/again/x")
		require.NoError(t, err)
		assert.Equal(t, http.StatusBadGateway, status, string(refusal))
		assert.Equal(t, "broken,not_run", l.results())
	}
}

// TestUnsignedStreamIsNotRelayed guards against a stream without a signature that is
// relayed as a success.
func TestUnsignedStreamIsNotRelayed(t *testing.T) {
	unsigned := strings.Replace(streamHeader, "Signature: s\r\n", "", 1) + chunk(eventText(1)) + "0\r\n\r\n"
	l := &testLedger{targets: []string{startFakeTarget(t, unsigned).address}}
	status, _, err := post(t, startEntry(t, l, true), "/stream/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, status)
}

// TestForeignAnswersAreDiscarded guards against a caller that gets a response to another
// request, or bytes that follow a complete response on a reused connection.
func TestForeignAnswersAreDiscarded(t *testing.T) {
	target := startFakeTarget(t, responseText("200 OK", "r", "", "one")+responseText("200 OK", "r", "", "extra"), responseText("200 OK", "other", "", "foreign")+responseText("200 OK", "r", "", "two"))
	l := &testLedger{targets: []string{target.address, target.address}}
	server := startEntry(t, l, true)
	for _, want := range []string{"one", "two"} {
		status, body, err := post(t, server, "/again/x")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, want, body)
	}
}

// TestBrokenStreamIsResumed guards against lost events, repeated events and a premature
// end of a stream whose target closes the connection inside of an event.
func TestBrokenStreamIsResumed(t *testing.T) {
	broken := streamHeader + chunk(eventText(1)) + chunk(eventText(2)) + chunk("id: 3\nda") + "<cut>"
	rest := streamHeader + chunk(eventText(2)) + chunk(eventText(3)) + "0\r\n\r\n"
	target := startFakeTarget(t, broken, rest)
	l := &testLedger{targets: []string{target.address}}
	status, body, err := post(t, startEntry(t, l, true), "/stream/x", "Program", "p")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, eventText(1)+eventText(2)+eventText(3), body)
	assert.Contains(t, target.requests()[1], "last=2")
	assert.EqualValues(t, 30, l.firstReport(t).Settle.Used, "each event is charged once")
	assert.Equal(t, "ok", l.results())
}

// TestStreamThatCannotBeResumedLooksBroken guards against an incomplete stream that
// looks complete to its caller.
func TestStreamThatCannotBeResumedLooksBroken(t *testing.T) {
	target := startFakeTarget(t, streamHeader+chunk(eventText(1))+"<cut>", "<cut>", "<cut>")
	l := &testLedger{targets: []string{target.address}}
	_, _, err := post(t, startEntry(t, l, true), "/stream/x", "Program", "p")
	assert.Error(t, err)
	assert.EqualValues(t, 10, l.firstReport(t).Settle.Used)
}

// TestStaleEntryRefusesNothingForGood guards against permanent refusals (401, 404) by an
// entry that may not have the latest configuration.
func TestStaleEntryRefusesNothingForGood(t *testing.T) {
	for current, want := range map[bool]int{true: http.StatusNotFound, false: http.StatusServiceUnavailable} {
		status, _, err := post(t, startEntry(t, &testLedger{}, current), "/none/x")
		require.NoError(t, err)
		assert.Equal(t, want, status)
	}
	for current, want := range map[bool]int{true: http.StatusUnauthorized, false: http.StatusServiceUnavailable} {
		status, _, err := post(t, startEntry(t, &testLedger{}, current), "/once/x", "Key", "unknown")
		require.NoError(t, err)
		assert.Equal(t, want, status)
	}
}

// TestSilentTargetEndsWithTheCallersTime guards against a caller that waits beyond its
// own time limit for a target that accepts the connection and never responds.
func TestSilentTargetEndsWithTheCallersTime(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	ledger := &testLedger{targets: []string{l.Addr().String()}}
	start := time.Now()
	status, _, err := post(t, startEntry(t, ledger, true), "/once/x", "Left", "200ms")
	require.NoError(t, err)
	assert.Equal(t, http.StatusGatewayTimeout, status)
	assert.Less(t, time.Since(start), 450*time.Millisecond)
	assert.Equal(t, "abandoned", ledger.results())
}

// TestNoTokenBeforeTheReservation guards against tokens that reach a caller before their
// reservation is durable, or although it failed: the budget could then be spent twice.
func TestNoTokenBeforeTheReservation(t *testing.T) {
	whole := streamHeader + chunk(eventText(1)) + "0\r\n\r\n"
	for name, outcome := range map[string]error{"durable": nil, "failed": ledgerhost.ErrExhausted} {
		t.Run(name, func(t *testing.T) {
			target := startFakeTarget(t, whole)
			l := &testLedger{targets: []string{target.address}, confirmation: make(chan error)}
			server := startEntry(t, l, true)
			start := time.Now()
			time.AfterFunc(150*time.Millisecond, func() { l.confirmation <- outcome })
			status, body, err := post(t, server, "/stream/x", "Program", "p")
			assert.GreaterOrEqual(t, time.Since(start), 150*time.Millisecond)
			if outcome == nil {
				require.NoError(t, err)
				assert.Equal(t, eventText(1), body)
				return
			}
			assert.Equal(t, http.StatusBadGateway, status, "the target has run the request, so it is not refused")
			assert.Zero(t, l.firstReport(t).Settle.Used)
		})
	}
}

// TestRequestBetweenTwoTargetsIsSettled guards against a budget that stays charged with the
// most that a turn could generate, or that is not charged for what was delivered, because
// the request ended when its first target had failed and no other took it.
func TestRequestBetweenTwoTargetsIsSettled(t *testing.T) {
	notRun := responseText("503 Busy", "r", "Not-Run: 1\r\n", "")
	broken := streamHeader + chunk(eventText(1)) + "<cut>"
	for name, c := range map[string]struct {
		responses []string
		targets   int
		used      int64
	}{
		"refused after a target that did not run it":         {[]string{notRun}, 1, 0},
		"refused after a part was delivered":                 {[]string{broken, "<cut>", "<cut>"}, 1, 10},
		"as many targets as allowed did not run the request": {[]string{notRun, notRun, notRun, notRun, notRun, notRun}, maxPlacements, 0},
	} {
		t.Run(name, func(t *testing.T) {
			target := startFakeTarget(t, c.responses...)
			l := &testLedger{}
			for range c.targets {
				l.targets = append(l.targets, target.address)
			}
			_, _, _ = post(t, startEntry(t, l, true), "/retried/x", "Program", "p")
			var settlements []int64
			require.Eventually(t, func() bool {
				l.mu.Lock()
				defer l.mu.Unlock()
				settlements = nil
				for _, r := range l.reports {
					if r.Settle != nil {
						settlements = append(settlements, r.Settle.Used)
					}
				}
				return len(settlements) > 0
			}, time.Second, time.Millisecond)
			assert.Equal(t, []int64{c.used}, settlements)
		})
	}
}
