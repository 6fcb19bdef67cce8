package forward

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/dispatch"
)

// TestLedgerKnowsWhichStreamGoesOn guards against a stream that is taken up or continued
// like a new one, so that another software version may get it.
func TestLedgerKnowsWhichStreamGoesOn(t *testing.T) {
	first := startFakeTarget(t, streamHeader+chunk(eventText(4))+"<cut>", "<cut>")
	second := startFakeTarget(t, streamHeader+chunk(eventText(5))+"0\r\n\r\n")
	l := &testLedger{targets: []string{first.address, second.address}, refuseResumes: true, software: "v1"}
	status, body, err := post(t, startEntry(t, l, true), "/retried/x", "Last", "3", "Resumes", "began")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, eventText(4)+eventText(5), body)
	require.Len(t, l.admitted(), 3)
	for i, r := range l.admitted() {
		assert.True(t, r.Stream && r.Continues, i)
		assert.Equal(t, "began", r.Resumes, i)
	}
	assert.Nil(t, l.admitted()[0].Origin, "only the ledger knows what began the stream")
	for _, r := range l.admitted()[1:] {
		assert.Equal(t, &dispatch.Origin{Service: "engine", Software: "v1"}, r.Origin)
	}
}

// TestNewStreamsContinueNothing guards against new streams that are bound to a version.
func TestNewStreamsContinueNothing(t *testing.T) {
	target := startFakeTarget(t, streamHeader+chunk(eventText(1))+"0\r\n\r\n", responseText("200 OK", "r", "", "body"))
	l := &testLedger{targets: []string{target.address, target.address}}
	server := startEntry(t, l, true)
	_, _, err := post(t, server, "/stream/x", "Resumes", "ignored without an event")
	require.NoError(t, err)
	_, _, err = post(t, server, "/once/x", "Last", "3")
	require.NoError(t, err)
	require.Len(t, l.admitted(), 2)
	assert.True(t, l.admitted()[0].Stream)
	assert.False(t, l.admitted()[0].Continues)
	assert.False(t, l.admitted()[1].Stream || l.admitted()[1].Continues)
}

// TestRefusedTakeUp guards against a refusal that asks the caller to wait for a software
// version that does not come back.
func TestRefusedTakeUp(t *testing.T) {
	for _, refusal := range []dispatch.Refusal{dispatch.SoftwareGone, dispatch.OriginUnknown} {
		l := &testLedger{finalRefusal: refusal}
		status, body, err := post(t, startEntry(t, l, true), "/stream/x", "Last", "3", "Resumes", "began")
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.Contains(t, body, string(refusal))
	}
}

// TestTakeUpGetsItsService guards against a stream that is taken up at another service of a
// route with several, and against shares that do not follow the weights.
func TestTakeUpGetsItsService(t *testing.T) {
	below := 0
	const streams = 2000
	for i := range streams {
		id := fmt.Sprintf("%016x", i)
		first := (&exchange{call: Call{ID: id}}).serviceShare()
		again := (&exchange{call: Call{ID: "other" + id, LastEventID: "3", Resumes: id}}).serviceShare()
		require.Equal(t, first, again)
		require.True(t, first >= 0 && first < 1)
		if first < 0.1 {
			below++
		}
	}
	assert.InDelta(t, 0.1*streams, below, 0.03*streams)
}
