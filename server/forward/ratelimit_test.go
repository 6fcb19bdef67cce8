package forward

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	ledgerhost "hemlockvale.dev/server/ledger"
)

// reportedRates returns the rates that were reported so far.
func (l *testLedger) reportedRates() []ledgerhost.TargetRate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ledgerhost.TargetRate(nil), l.rates...)
}

// TestRateLimitIsReportedBeforeTheStreamEnds guards against a rate limit that the leader
// learns only at the end of a long stream.
func TestRateLimitIsReportedBeforeTheStreamEnds(t *testing.T) {
	target := startFakeTarget(t, "HTTP/1.1 200 OK\r\nId: r\r\nSignature: s\r\nLimit: 7.5\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(eventText(1)))
	l := &testLedger{targets: []string{target.address}}
	server := startEntry(t, l, true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/stream/x", nil)
	require.NoError(t, err)
	request.Header.Set("Id", "r")
	request.Header.Set("Key", "k")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	require.NoError(t, err)
	rates := l.reportedRates()
	require.Len(t, rates, 1)
	assert.Equal(t, "t-"+target.address, rates[0].Target)
	assert.Equal(t, 7.5, *rates[0].PerSecond)
	assert.Equal(t, "r", rates[0].Request)
}

// TestOnlyChangedRatesAreReported guards against a report for each response of a target
// whose limit the leader knows, and against a limit that is not lifted.
func TestOnlyChangedRatesAreReported(t *testing.T) {
	limit := 7.5
	for name, c := range map[string]struct {
		known  *float64
		header string
		want   int
		// unsigned is set if the response does not carry the target's signature.
		unsigned bool
	}{
		"known":    {known: &limit, header: "Limit: 7.5\r\n"},
		"changed":  {known: &limit, header: "Limit: 7\r\n", want: 1},
		"lifted":   {known: &limit, want: 1},
		"unsigned": {known: &limit, unsigned: true},
		"none":     {},
	} {
		text := responseText("200 OK", "r", c.header, "body")
		if c.unsigned {
			text = strings.Replace(text, "Signature: s\r\n", "", 1)
		}
		target := startFakeTarget(t, text)
		l := &testLedger{targets: []string{target.address}, rateLimit: c.known}
		_, _, err := post(t, startEntry(t, l, true), "/once/x")
		require.NoError(t, err)
		assert.Len(t, l.reportedRates(), c.want, name)
	}
}

// TestResumeNeedsAGrant guards against a broken stream that is sent to its target again
// although the target has reached its rate limit or is leaving.
func TestResumeNeedsAGrant(t *testing.T) {
	target := startFakeTarget(t, streamHeader+chunk(eventText(1))+"<cut>", streamHeader+chunk(eventText(2))+"0\r\n\r\n")
	l := &testLedger{targets: []string{target.address}, refuseResumes: true}
	_, _, err := post(t, startEntry(t, l, true), "/stream/x")
	assert.Error(t, err, "the stream breaks off")
	assert.Len(t, target.requests(), 1)
	require.Len(t, l.admitted(), 2)
	assert.Equal(t, "t-"+target.address, l.admitted()[1].Target)
}
