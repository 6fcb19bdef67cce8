package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/server/bootclock"
)

// startStoppingEntry starts an entry in a planned stop with the given times left.
func startStoppingEntry(t *testing.T, l *testLedger, unlisted, deadline time.Duration) *httptest.Server {
	t.Helper()
	server := startEntry(t, l, true)
	stop := &Stop{Unlisted: bootclock.Now() + unlisted, Deadline: bootclock.Now() + deadline}
	server.Config.Handler.(*Entry).options.Stop = func() *Stop { return stop }
	return server
}

// TestStoppingEntryRefusesWhatItCannotEnd guards against requests that are taken late in a
// planned stop, sent to a target and cut without an answer at the end of the grace period.
func TestStoppingEntryRefusesWhatItCannotEnd(t *testing.T) {
	const routeTimeout = 2 * time.Second
	for name, c := range map[string]struct {
		path, left         string
		unlisted, deadline time.Duration
		status             int
	}{
		"once, enough time":       {"/once/x", "", time.Minute, routeTimeout + time.Minute, http.StatusOK},
		"once, too little time":   {"/once/x", "", time.Minute, routeTimeout / 2, http.StatusServiceUnavailable},
		"once, short caller":      {"/once/x", "500ms", time.Minute, routeTimeout / 2, http.StatusOK},
		"again, too little time":  {"/again/x", "", time.Minute, routeTimeout / 2, http.StatusOK},
		"again, no longer listed": {"/again/x", "", 0, routeTimeout / 2, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			l := &testLedger{targets: []string{startSlowTarget(t, 0, false, responseText("200 OK", "r", "", "fine"))}}
			server := startStoppingEntry(t, l, c.unlisted, c.deadline)
			request, err := http.NewRequest(http.MethodPost, server.URL+c.path, nil)
			require.NoError(t, err)
			request.Header.Set("Id", "r")
			request.Header.Set("Key", "k")
			request.Header.Set("Left", c.left)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			response.Body.Close()
			assert.Equal(t, c.status, response.StatusCode)
			if c.status == http.StatusServiceUnavailable {
				assert.True(t, response.Close, "the connection ends")
				assert.NotEmpty(t, response.Header.Get("Retry-After"))
				assert.Empty(t, l.admissions, "nothing is sent")
			}
		})
	}
}

// TestEndOfStopIsAnswered guards against callers that get no answer because their request is
// still in progress at the end of a planned stop.
func TestEndOfStopIsAnswered(t *testing.T) {
	const silence = 10 * time.Second
	l := &testLedger{targets: []string{startSlowTarget(t, silence, false, "")}}
	server := startEntry(t, l, true)
	time.AfterFunc(200*time.Millisecond, server.Config.Handler.(*Entry).EndRequests)
	start := time.Now()
	status, _, err := post(t, server, "/patient/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, status, "a target may have run the request")
	assert.Less(t, time.Since(start), time.Second)
}
