package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
)

// leavingHeader is the header with which the targets of these tests state that they leave.
const leavingHeader = "Leaving: 1\r\n"

// TestLeavingTargetGetsNothingMore guards against an entry that sends requests to a target
// which has stated to it that it leaves, because the leader does not know that yet.
func TestLeavingTargetGetsNothingMore(t *testing.T) {
	for name, first := range map[string]string{
		"response": responseText("200 OK", "r", leavingHeader, "fine"),
		"failure":  responseText("500 Oops", "r", leavingHeader, "oops"),
		"refusal":  responseText("503 Busy", "r", "Not-Run: 1\r\n"+leavingHeader, ""),
	} {
		t.Run(name, func(t *testing.T) {
			leaving := startFakeTarget(t, first, responseText("200 OK", "r", "", "late"))
			other := startFakeTarget(t, responseText("200 OK", "r", "", "other"), responseText("200 OK", "r", "", "other"))
			l := &testLedger{targets: []string{leaving.address}}
			server := startEntry(t, l, true)
			_, _, err := post(t, server, "/once/x")
			require.NoError(t, err)
			l.setTargets(leaving.address, other.address)
			status, body, err := post(t, server, "/once/x")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, "other", body)
			assert.Len(t, leaving.requests(), 1)
			assert.Contains(t, l.results(), "leaving,ok", "the grant is given back at once")
			assert.Equal(t, []catalog.Incarnation{{Target: "t-" + leaving.address}}, l.leaving, "reported once")
			l.setTargets(leaving.address)
			status, _, err = post(t, server, "/once/x")
			require.NoError(t, err)
			assert.Equal(t, http.StatusServiceUnavailable, status, "refused as not run")
			assert.Len(t, leaving.requests(), 1)
		})
	}
}

// TestStreamIsNotResumedAtALeavingTarget guards against a resume at a target that stated in
// the head of the stream that it leaves.
func TestStreamIsNotResumedAtALeavingTarget(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: r\r\nSignature: s\r\n" + leavingHeader + "Transfer-Encoding: chunked\r\n\r\n"
	leaving := startFakeTarget(t, head+chunk(eventText(1))+"<cut>", streamHeader+chunk(eventText(2))+"0\r\n\r\n")
	other := startFakeTarget(t, streamHeader+chunk(eventText(2))+"0\r\n\r\n")
	l := &testLedger{targets: []string{leaving.address, other.address}}
	_, body, err := post(t, startEntry(t, l, true), "/retried/x")
	require.NoError(t, err)
	assert.Equal(t, eventText(1)+eventText(2), body)
	assert.Len(t, leaving.requests(), 1)
	assert.Len(t, other.requests(), 1)
}

// TestOnlyTheTargetItselfLeaves guards against a target that is avoided because of a response
// without its signature, and against a later incarnation that is taken for an earlier one.
func TestOnlyTheTargetItselfLeaves(t *testing.T) {
	unsigned := "HTTP/1.1 500 Oops\r\nId: r\r\n" + leavingHeader + "Content-Length: 0\r\n\r\n"
	target := startFakeTarget(t, unsigned, responseText("200 OK", "r", leavingHeader, "fine"), responseText("200 OK", "r", "", "again"))
	l := &testLedger{targets: []string{target.address, target.address, target.address}}
	server := startEntry(t, l, true)
	for range 2 {
		_, _, err := post(t, server, "/once/x")
		require.NoError(t, err)
	}
	assert.Len(t, target.requests(), 2)
	assert.Len(t, l.leaving, 1)
	l.started = 1
	l.setTargets(target.address)
	status, _, err := post(t, server, "/once/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status, "a later incarnation at the address")
}

// TestLeavingTargetsAreForgotten guards against memory that grows with each target that has
// left, and against a target that is forgotten while it is listed.
func TestLeavingTargetsAreForgotten(t *testing.T) {
	l := leavingTargets{}
	gone, listed := catalog.Incarnation{Target: "a"}, catalog.Incarnation{Target: "b"}
	l.add(gone)
	l.add(listed)
	isListed := func(i catalog.Incarnation) bool { return i == listed }
	l.expire(isListed)
	assert.True(t, l.has(gone), "a leader that is behind may grant it")
	for i := range l.since {
		l.since[i] = time.Now().Add(-2 * leavingRetention)
	}
	l.expire(isListed)
	assert.False(t, l.has(gone))
	assert.True(t, l.has(listed))
}
