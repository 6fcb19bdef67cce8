package ledger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/quarantine"
	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/compact"
	"hemlockvale.dev/server/registry"
)

// doubted is the target of startStore.
var doubted = catalog.Incarnation{Target: "t"}

// streamFor returns a request for a stream that begins, or that continues the given one.
func streamFor(id, resumes string) AdmitRequest {
	r := AdmitRequest{}
	r.ID, r.Service, r.TimeLeft, r.Stream = id, "s", 10*time.Second, true
	r.Continues, r.Resumes = resumes != "", resumes
	return r
}

// beginStream admits a stream and ends it at its target. It waits until the time of its grant is
// certainly before any break that is reported later.
func beginStream(t *testing.T, c *Client, id string) {
	t.Helper()
	require.Equal(t, "t", decisionOf(t, c, streamFor(id, "")).Target)
	c.Done(DoneReport{ID: id, Target: "t", Result: dispatch.Abandoned})
}

// brief returns the request with so little time left that it expires soon if it has to wait.
func brief(r AdmitRequest) AdmitRequest {
	r.TimeLeft = 200 * time.Millisecond
	return r
}

// decisionOf requests an admission until the leader decides. On a busy machine its lease may
// lapse for a while.
func decisionOf(t *testing.T, c *Client, r AdmitRequest) AdmitResponse {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for {
		response, err := c.Admit(ctx, r)
		if err == nil {
			return response
		}
		require.NoError(t, ctx.Err(), err)
	}
}

// outcomeOf admits a request and returns its target or refusal.
func outcomeOf(t *testing.T, c *Client, r AdmitRequest) string {
	t.Helper()
	response := decisionOf(t, c, r)
	if response.Target != "" {
		c.Done(DoneReport{ID: r.ID, Target: response.Target, Result: dispatch.Abandoned})
		return response.Target
	}
	return string(response.Refusal)
}

// TestBreaksHoldBackContinuations guards against a stream that is continued at a target whose
// connection to another entry broke off or was refused, and against the break that a leader
// forgets when evidence ends it.
func TestBreaksHoldBackContinuations(t *testing.T) {
	for _, refused := range []bool{false, true} {
		s := startStore(t, t.TempDir())
		s.awaitLeader(t)
		addresses := func() []string { return []string{s.address} }
		c, other := startClient(t, addresses), startClient(t, addresses)
		beginStream(t, c, "first")
		require.Equal(t, "t", outcomeOf(t, other, streamFor("before", "first")))
		grantedAt := bootclock.Now()
		if refused {
			c.ReportBreak(doubted, grantedAt)
		} else {
			loss := lossOf(1, "127.0.0.1:1")
			loss.Incarnation = doubted
			c.ReportLoss(loss)
		}
		assert.True(t, c.InDoubt(doubted))
		// The admission follows the report on the same connection.
		require.Equal(t, string(dispatch.Expired), outcomeOf(t, c, brief(streamFor("again", "first"))))
		require.Equal(t, string(dispatch.Expired), outcomeOf(t, other, brief(streamFor("other", "first"))))
		require.Equal(t, "t", outcomeOf(t, c, streamFor("new", "")), "a stream that begins")
		same := streamFor("first", "")
		same.Attempt, same.Target, same.Continues, same.SameProcess = 1, "t", true, true
		same.Origin = &dispatch.Origin{Service: "s", Software: "v1"}
		require.Equal(t, "t", outcomeOf(t, c, same), "on an older connection")
		same.Attempt, same.SameProcess = 2, false
		require.Equal(t, string(dispatch.Expired), outcomeOf(t, c, brief(same)), "one announcement is for one request")

		c.ReportServing(doubted, bootclock.Now(), bootclock.Now())
		assert.True(t, c.InDoubt(doubted), "the connection is not older than the break")
		c.ReportServing(doubted, 0, grantedAt-time.Nanosecond)
		assert.True(t, c.InDoubt(doubted), "the response came before the break")
		c.ReportServing(doubted, 0, bootclock.Now())
		assert.False(t, c.InDoubt(doubted))
		require.Equal(t, "t", outcomeOf(t, c, streamFor("after", "first")))
		require.Equal(t, "t", outcomeOf(t, other, streamFor("other after", "first")))
	}
}

// TestNewLeaderHearsOfBreaks guards against a leader that, after a fail-over, continues streams
// at a target whose connections broke off before, or holds them back although they were settled.
func TestNewLeaderHearsOfBreaks(t *testing.T) {
	for _, settled := range []bool{false, true} {
		s := startStore(t, t.TempDir())
		s.awaitLeader(t)
		var address atomic.Value
		address.Store(s.address)
		c := startClient(t, func() []string { return []string{address.Load().(string)} })
		decisionOf(t, c, streamFor("first", ""))
		loss := lossOf(1, "127.0.0.1:1")
		loss.Incarnation = doubted
		c.ReportLoss(loss)
		if settled {
			c.ReportServing(doubted, 0, bootclock.Now())
		}
		s.stop()
		time.Sleep(leaseDuration)
		s = startStore(t, t.TempDir())
		s.awaitLeader(t)
		address.Store(s.address)
		require.Equal(t, "t", outcomeOf(t, c, streamFor("new", "")))
		if settled {
			assert.Equal(t, "t", outcomeOf(t, c, streamFor("again", "first")))
		} else {
			assert.Equal(t, string(dispatch.Expired), outcomeOf(t, c, brief(streamFor("again", "first"))))
		}
	}
}

// heardByControl is what control VMs say about the heartbeats of the target.
type heardByControl struct {
	mu sync.Mutex
	// receivedAt are the times of the heartbeats with the numbers from 1, on the boot clock.
	receivedAt []time.Duration
	answer     registry.HeartbeatsAnswer
}

func (h *heardByControl) heartbeats(context.Context, []string) ([]registry.Heartbeat, registry.HeartbeatsAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []registry.Heartbeat
	for i, at := range h.receivedAt {
		// Control VMs answer in any order.
		list = append([]registry.Heartbeat{{Incarnation: doubted, Sequence: int64(i + 1), AgeMS: (bootclock.Now() - at).Milliseconds()}}, list...)
	}
	return list, h.answer
}

// receive records a heartbeat that control receives now.
func (h *heardByControl) receive() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.receivedAt = append(h.receivedAt, bootclock.Now())
}

// TestHeartbeatsOfControlEndDoubts guards against a doubt that lasts although control has heard
// the target, and against one that ends because control does not answer.
func TestHeartbeatsOfControlEndDoubts(t *testing.T) {
	s := openStore(t, t.TempDir())
	control := &heardByControl{answer: registry.HeartbeatsAnswered}
	s.host.options.Heartbeats = control.heartbeats
	go s.host.Run(s.ctx)
	s.awaitLeader(t)
	c := startClient(t, func() []string { return []string{s.address} })
	beginStream(t, c, "first")
	control.receive()
	time.Sleep(10 * time.Millisecond)
	c.ReportBreak(doubted, bootclock.Now())
	take := func(id string, left time.Duration) string {
		r := streamFor(id, "first")
		r.TimeLeft = left
		return outcomeOf(t, c, r)
	}
	require.Equal(t, string(dispatch.Expired), take("a", 2*heartbeatPollInterval), "a heartbeat before the break")
	control.receive()
	require.Equal(t, string(dispatch.Expired), take("b", 2*heartbeatPollInterval), "the first after the break may be late")
	control.receive()
	require.Equal(t, "t", take("c", 5*time.Second))

	c.ReportBreak(doubted, bootclock.Now())
	control.mu.Lock()
	control.receivedAt, control.answer = nil, registry.HeartbeatsUnanswered
	control.mu.Unlock()
	require.Equal(t, string(dispatch.Expired), take("d", maxAgeUnheard+2*heartbeatPollInterval), "control is lost")
}

// TestDoubtsEndWithoutControlThatCanTell guards against a doubt that lasts as long as all control
// VMs are of an earlier release.
func TestDoubtsEndWithoutControlThatCanTell(t *testing.T) {
	s := openStore(t, t.TempDir())
	s.host.options.Heartbeats = (&heardByControl{answer: registry.HeartbeatsUnknown}).heartbeats
	go s.host.Run(s.ctx)
	s.awaitLeader(t)
	c := startClient(t, func() []string { return []string{s.address} })
	beginStream(t, c, "first")
	c.ReportBreak(doubted, bootclock.Now())
	require.Equal(t, string(dispatch.Expired), outcomeOf(t, c, brief(streamFor("a", "first"))))
	require.Equal(t, "t", outcomeOf(t, c, streamFor("b", "first")))
}

// TestReportsOfLaterBuildsAreIgnored guards against a connection that ends when a store VM of
// this release gets a message of a kind that it does not know, as those of earlier releases get the
// reports about breaks, and against a change of the messages that those know.
func TestReportsOfLaterBuildsAreIgnored(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.awaitLeader(t)
	failed := make(chan error, 1)
	l, err := dialLink(s.address, currentForm, "", func(_ *clientLink, err error) { failed <- err })
	require.NoError(t, err)
	defer l.close(nil)
	require.NoError(t, l.send(messageKind(99), &processBreak{Incarnation: doubted}))
	r := streamFor("a", "")
	response, err := l.admit(t.Context(), r)
	require.NoError(t, err)
	assert.Equal(t, "t", response.Target)

	r.SameProcess = true
	with, err := compact.Marshal(&r)
	require.NoError(t, err)
	r.SameProcess = false
	without, err := compact.Marshal(&r)
	require.NoError(t, err)
	assert.Equal(t, without, with)
}

// TestBreaksAreBounded guards against memory that grows with the incarnations which an entry has
// lost connections to, and against a report for each refused connection to a target that is down.
func TestBreaksAreBounded(t *testing.T) {
	var k knownBreaks
	now := time.Hour
	for i := range 2 * maxKnownBreaks {
		assert.True(t, k.add(catalog.Incarnation{Target: fmt.Sprint(i)}, now, now))
	}
	assert.Len(t, k.byIncarnation, maxKnownBreaks)
	assert.EqualValues(t, maxKnownBreaks, k.open.Load())
	first := catalog.Incarnation{Target: "0"}
	assert.False(t, k.add(first, now, now+refusalInterval/2))
	assert.True(t, k.add(first, now, now+2*refusalInterval))
	open, serving := k.reports(now + 2*refusalInterval + breakRetention)
	assert.Equal(t, []processBreak{{first, breakRetention}}, open)
	assert.Empty(t, serving)
	assert.EqualValues(t, 1, k.open.Load())
}

// TestUnfinishedResponsesRaiseNoDoubt guards against targets that get no continuations because
// callers left or targets were slow: their connections were closed by the entry.
func TestUnfinishedResponsesRaiseNoDoubt(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.awaitLeader(t)
	c := startClient(t, func() []string { return []string{s.address} })
	beginStream(t, c, "first")
	for _, kind := range []quarantine.LossKind{quarantine.Unfinished, quarantine.Silence} {
		loss := lossOf(1, "127.0.0.1:1")
		loss.Incarnation, loss.Kind = doubted, kind
		c.ReportLoss(loss)
	}
	assert.False(t, c.InDoubt(doubted))
	assert.Equal(t, "t", outcomeOf(t, c, streamFor("again", "first")))
}

// TestFrequentRefusalsAreReported guards against a leader that ends a doubt by heartbeats of an
// ended process, because refused connections that follow each other quickly are not reported again.
func TestFrequentRefusalsAreReported(t *testing.T) {
	var k knownBreaks
	reports := 0
	for at := time.Hour; at < time.Hour+10*refusalInterval; at += refusalInterval / 2 {
		if k.add(doubted, at, at) {
			reports++
		}
	}
	assert.Equal(t, 10, reports)
}
