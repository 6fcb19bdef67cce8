package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/rpc"
)

func queuedAdmission(id string, starts bool) *admission {
	a := &admission{starts: starts, receivedAt: bootclock.Now()}
	a.request.ID = id
	return a
}

// TestInboxPrefersStartedPrograms guards against programs that lose their work to new ones
// while the leader is behind, and against new ones that are never decided.
func TestInboxPrefersStartedPrograms(t *testing.T) {
	b := newInbox()
	for i := range 12 {
		require.True(t, b.add(queuedAdmission(fmt.Sprint("starts ", i), true)))
		require.True(t, b.add(queuedAdmission(fmt.Sprint("started ", i), false)))
	}
	starting := 0
	for range 12 {
		if b.take().starts {
			starting++
		}
	}
	assert.Equal(t, 12/startShare, starting)
	for range 12 {
		require.NotNil(t, b.take())
	}
	assert.Nil(t, b.take())
}

// TestInboxIsBounded guards against a queue that grows without limit, and against requests
// that are queued twice because their entry repeats them.
func TestInboxIsBounded(t *testing.T) {
	b := newInbox()
	for i := range inboxSize {
		require.True(t, b.add(queuedAdmission(fmt.Sprint(i), true)))
	}
	assert.False(t, b.add(queuedAdmission("one more", true)))
	repeated := queuedAdmission("0", true)
	repeated.link = &link{}
	assert.True(t, b.add(repeated))
	assert.Equal(t, inboxSize, b.len())
	first := b.take()
	assert.Equal(t, "0", first.request.ID)
	assert.Same(t, repeated.link, first.link, "the latest connection gets the response")
	assert.True(t, b.cancel("1"))
	assert.True(t, b.take().cancelled)
	assert.False(t, b.cancel("1"))
}

// TestLeaderStatesItsLoad guards against entries that go on sending to an overloaded leader,
// and against entries that go on refusing when it keeps up again.
func TestLeaderStatesItsLoad(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.awaitLeader(t)
	c := startClient(t, func() []string { return []string{s.address} })
	_, err := c.Admit(t.Context(), turnRequest("first", 1000, 10))
	require.NoError(t, err)
	l := c.connect(t.Context())
	s.host.mu.Lock()
	s.host.refusedShare = 1
	l2 := s.host.admissions["first"].link
	l2.reportLoad()
	s.host.mu.Unlock()
	next := turnRequest("next", 1000, 10)
	next.Program = "new"
	require.Eventually(t, func() bool { return l.load.refuses(&next) }, time.Second, time.Millisecond)
	response, err := c.Admit(t.Context(), next)
	require.NoError(t, err)
	assert.Equal(t, "overloaded", string(response.Refusal))
	assert.GreaterOrEqual(t, response.RetryAfter, overloadRetryAfter)
	started := next
	started.ContinuesProgram = true
	assert.False(t, l.load.refuses(&started), "started programs go on")
	require.Eventually(t, func() bool { return !l.load.refuses(&next) }, 2*loadReportRetention, 10*time.Millisecond)
}

// TestEntriesMeetTheNextLeadership guards against an entry that does not tell a new leadership
// what it knows, because the same VM leads again and the entry has no request for it.
func TestEntriesMeetTheNextLeadership(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.awaitLeader(t)
	c := startClient(t, func() []string { return []string{s.address} })
	r := turnRequest("stream", 1000, 10)
	r.Stream, r.TimeLeft = true, 20*time.Second
	_, err := c.Admit(t.Context(), r)
	require.NoError(t, err)
	s.host.mu.Lock()
	s.host.startLeadership(s.quorum.LeaderSince(), bootclock.Now()+leaseDuration)
	s.host.mu.Unlock()
	again := turnRequest("again", 1000, 10)
	again.Stream, again.Continues, again.Resumes = true, true, "stream"
	other := startClient(t, func() []string { return []string{s.address} })
	n := 0
	require.Eventually(t, func() bool {
		n++
		again.ID = fmt.Sprint("again ", n)
		again.Reserve = nil
		response, err := other.Admit(t.Context(), again)
		return err == nil && response.Refusal == ""
	}, 500*time.Millisecond, 20*time.Millisecond)
}

// TestIdleConnectionIsKept guards against idle entries that lose their connection every few
// seconds, and then load the leader with new ones.
func TestIdleConnectionIsKept(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.awaitLeader(t)
	c := startClient(t, func() []string { return []string{s.address} })
	_, err := c.Admit(t.Context(), turnRequest("first", 1000, 10))
	require.NoError(t, err)
	l := c.connect(t.Context())
	time.Sleep(rpc.SilenceTimeout + idlePingInterval)
	assert.NoError(t, l.closeReason())
	assert.Same(t, l, c.connect(t.Context()))
}
