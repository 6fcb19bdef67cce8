package forward

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/dispatch"
	ledgerhost "hemlockvale.dev/server/ledger"
)

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
