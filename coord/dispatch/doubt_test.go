package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// started is when the process of each target in these tests started, and startedAgain when
	// it started under its id again.
	started, startedAgain = 1000, 2000
	// beatTime is the time between two heartbeats of a target.
	beatTime = 1200 * time.Millisecond
)

// newDoubtTest returns a dispatcher and its targets, which have the given versions, after the
// first time at which an origin counts as old.
func newDoubtTest(versions ...string) (*Dispatcher, []Target, time.Duration) {
	d := New(0, 1)
	ts := targetsWithSoftware(versions...)
	for i := range ts {
		ts[i].Slots, ts[i].Started = 8, started
	}
	d.SetTargets(0, ts)
	return d, ts, 10 * time.Second
}

// begin grants a stream at a target.
func begin(t *testing.T, d *Dispatcher, now time.Duration, id, target string) {
	t.Helper()
	r := streamRequest(id)
	r.Target, r.TimeLeft = target, 30*time.Second
	require.Equal(t, target, d.Admit(now, r).Target)
}

// takeUpAt returns a request that takes up a stream, if target is set only there.
func takeUpAt(id, resumes, target string) Request {
	r := takeUp(id, resumes)
	r.Target, r.TimeLeft = target, 30*time.Second
	return r
}

// TestNoContinuationAtADoubtedTarget guards against a stream that is continued at a target which
// has started again under its id with another version: its connections broke off and its first
// heartbeat has not arrived.
func TestNoContinuationAtADoubtedTarget(t *testing.T) {
	d, ts, now := newDoubtTest("v1", "v1")
	begin(t, d, 0, "a", "t0")
	begin(t, d, 0, "b", "t1")
	require.True(t, d.Doubt(now, now, "t0", started, "e1"))
	require.False(t, d.Doubt(now, now, "t0", started, "e2"), "the doubt exists")
	assert.Equal(t, []string{"t0"}, d.Doubted())

	assert.Equal(t, "t1", d.Admit(now, takeUpAt("a1", "a", "")).Target, "the stream goes on at a target in no doubt")
	assert.Equal(t, "t1", d.Admit(now, takeUpAt("b1", "b", "")).Target)
	for i := range 3 {
		r := request(fmt.Sprint("new", i))
		r.Target = "t0"
		assert.Equal(t, "t0", d.Admit(now, r).Target, "new requests are granted there")
	}
	require.True(t, d.Admit(now, takeUpAt("a2", "a", "t0")).Waiting(), "it waits while the version is uncertain")
	ts[0].Software, ts[0].Started = "v2", startedAgain
	out := d.SetTargets(now+beatTime, ts)
	require.Len(t, out, 1)
	assert.Equal(t, SoftwareGone, out[0].Refusal)
	assert.Empty(t, d.Doubted())
}

// TestStreamThatBeganInDoubtIsNotContinuedElsewhere guards against a stream that began at a
// target after it had started again with another version, counts as of the earlier version and
// goes on at another target of that.
func TestStreamThatBeganInDoubtIsNotContinuedElsewhere(t *testing.T) {
	for _, granted := range []time.Duration{-grantDelay, 0, 50 * time.Millisecond} {
		for _, inResponse := range []bool{false, true} {
			d, ts, now := newDoubtTest("v1", "v1")
			begin(t, d, 0, "early", "t0")
			if granted < 0 {
				begin(t, d, now+granted, "s", "t0")
			}
			d.Doubt(now, now, "t0", started, "e1")
			if granted >= 0 {
				begin(t, d, now+granted, "s", "t0")
			}
			now += 100 * time.Millisecond
			r := takeUpAt("s1", "s", "")
			if inResponse {
				r = takeUpAt("s", "", "")
				r.Origin = &Origin{"s", "v1"}
			}
			require.True(t, d.Admit(now, r).Waiting())
			assert.Equal(t, "t1", d.Admit(now, takeUpAt("early1", "early", "")).Target, "this one began before")
			ts[0].Software, ts[0].Started = "v2", startedAgain
			out := d.SetTargets(now, ts)
			require.Len(t, out, 1)
			assert.Equal(t, Outcome{ID: r.ID, Refusal: OriginUnknown, Waited: out[0].Waited}, out[0])
		}
	}
}

// TestStatedOriginNeedsItsGrant guards against a stream whose entry names the version that its
// grant stated, although the target turned out to have had another one.
func TestStatedOriginNeedsItsGrant(t *testing.T) {
	d, ts, now := newDoubtTest("v1", "v1")
	begin(t, d, now, "s", "t0")
	ts[0].Software, ts[0].Started = "v2", startedAgain
	d.SetTargets(now, ts)
	r := takeUpAt("s", "", "")
	r.Origin = &Origin{"s", "v1"}
	assert.Equal(t, OriginUnknown, d.Admit(now, r).Refusal)
}

// TestSameProcessContinuesItsStream guards against a stream that breaks off for good when only
// its connection is reset: the entry continues it on a connection that it had opened before.
func TestSameProcessContinuesItsStream(t *testing.T) {
	d, _, now := newDoubtTest("v1", "v1")
	begin(t, d, 0, "s", "t0")
	d.Doubt(now, now, "t0", started, "e1")
	r := takeUpAt("s", "", "t0")
	r.Origin, r.SameProcess = &Origin{"s", "v1"}, true
	assert.Equal(t, "t0", d.Admit(now, r).Target)
	assert.Equal(t, []string{"t0"}, d.Doubted(), "it is evidence only once the target has responded")
	r.SameProcess, r.Target = false, ""
	assert.Equal(t, "t1", d.Admit(now, r).Target, "the stream began before the break")
}

// TestEvidenceEndsADoubt guards against a target that gets no continuations after a reset of
// connections that it has survived, and against the evidence of one VM that hides a break which
// another one noticed.
func TestEvidenceEndsADoubt(t *testing.T) {
	d, _, now := newDoubtTest("v1")
	begin(t, d, 0, "s", "t0")
	d.Doubt(now, now, "t0", started, "e1")
	d.Doubt(now, now, "t0", started, "e2")
	require.True(t, d.Admit(now, takeUpAt("s1", "s", "")).Waiting())
	out, certain := d.Serving(now, "t0", started, "e1")
	assert.Empty(t, out)
	assert.False(t, certain, "another VM has lost a connection")
	_, certain = d.Serving(now, "t0", startedAgain, "e2")
	assert.False(t, certain, "evidence about another incarnation")
	out, certain = d.Serving(now, "t0", started, "e2")
	assert.True(t, certain)
	require.Len(t, out, 1)
	assert.Equal(t, "t0", out[0].Target)
	assert.True(t, d.Doubt(now, now, "t0", started, "e1"), "a further break raises the doubt again")
}

// TestLateHeartbeatEndsNoDoubt guards against a heartbeat that a target sent before it ended, and
// that arrives seconds later, as evidence that it did not end.
func TestLateHeartbeatEndsNoDoubt(t *testing.T) {
	d, ts, now := newDoubtTest("v1")
	begin(t, d, 0, "s", "t0")
	d.Doubt(now, now, "t0", started, "e1")
	require.True(t, d.Admit(now, takeUpAt("s1", "s", "")).Waiting())
	for _, beat := range []struct {
		at       time.Duration
		sequence int64
	}{
		{now - time.Millisecond, 6}, // received before the break
		{now + 2*time.Second, 7},    // may be late
		{now + 2*time.Second, 7},    // reported again
		{now + 2100*time.Millisecond, 5},
	} {
		out, certain := d.Heartbeat(now+3*time.Second, beat.at, "t0", started, beat.sequence)
		assert.Empty(t, out)
		assert.False(t, certain, beat)
	}
	_, certain := d.Heartbeat(now+3*time.Second, now+2500*time.Millisecond, "t0", startedAgain, 9)
	assert.False(t, certain, "the heartbeat of another incarnation")
	ts[0].Software, ts[0].Started = "v2", startedAgain
	out := d.SetTargets(now+3*time.Second, ts)
	require.Len(t, out, 1)
	assert.Equal(t, SoftwareGone, out[0].Refusal)
}

// TestHeartbeatsEndADoubt guards against a target that gets no continuations after its process
// has sent heartbeats, and against a break that is hidden by heartbeats before it.
func TestHeartbeatsEndADoubt(t *testing.T) {
	d, _, now := newDoubtTest("v1")
	begin(t, d, 0, "s", "t0")
	d.Doubt(now, now, "t0", started, "e1")
	d.Heartbeat(now, now+100*time.Millisecond, "t0", started, 7)
	d.Doubt(now, now+200*time.Millisecond, "t0", started, "e1")
	_, certain := d.Heartbeat(now, now+beatTime, "t0", started, 8)
	require.False(t, certain, "sent after the first break, perhaps before the second")
	_, certain = d.Heartbeat(now, now+2*beatTime, "t0", started, 9)
	require.True(t, certain)
	assert.Equal(t, "t0", d.Admit(now, takeUpAt("s1", "s", "")).Target)
	assert.False(t, d.Doubt(now, now+200*time.Millisecond, "t0", started, "e2"), "a late report of the break")
	assert.True(t, d.Doubt(now, now+3*beatTime, "t0", started, "e2"), "a later break")
}

// TestLostHeartbeats guards against a doubt that ends by itself while control does not hear the
// target, and against requests that wait without an end meanwhile.
func TestLostHeartbeats(t *testing.T) {
	d, _, now := newDoubtTest("v1")
	begin(t, d, 0, "s", "t0")
	d.Doubt(now, now, "t0", started, "e1")
	r := takeUpAt("s1", "s", "")
	r.TimeLeft = 10 * time.Second
	require.True(t, d.Admit(now, r).Waiting())
	require.Empty(t, d.Tick(now+9*time.Second))
	out := d.Tick(now + 11*time.Second)
	require.Len(t, out, 1)
	assert.Equal(t, Expired, out[0].Refusal)
	assert.Equal(t, []string{"t0"}, d.Doubted())
	assert.Empty(t, d.ExpireDoubts(now+11*time.Second, 20*time.Second))
	assert.Equal(t, []string{"t0"}, d.Doubted())
	d.ExpireDoubts(now+21*time.Second, 20*time.Second)
	assert.Empty(t, d.Doubted(), "control VMs of earlier builds do not say what they heard")
}

// TestNewLeaderLearnsDoubts guards against a leader that, after a fail-over, continues streams
// at a target whose connections broke off before, or elsewhere if they began after that. Entries
// repeat the origins of their streams, and then the breaks.
func TestNewLeaderLearnsDoubts(t *testing.T) {
	d, ts, now := newDoubtTest("v1", "v1")
	origin := Origin{Service: "s", Software: "v1"}
	d.LearnOrigin(now, "s", "t0", origin, time.Minute)
	d.LearnOrigin(now, "other", "t1", origin, time.Minute)
	require.True(t, d.Doubt(now, now-500*time.Millisecond, "t0", started, "e1"), "the break was before this leader")
	require.True(t, d.Admit(now, takeUpAt("s1", "s", "")).Waiting(), "nobody knows whether it began before the break")
	assert.Equal(t, "t1", d.Admit(now, takeUpAt("other1", "other", "")).Target)
	d.Heartbeat(now, now-300*time.Millisecond, "t0", started, 7)
	out, certain := d.Heartbeat(now, now+900*time.Millisecond, "t0", started, 8)
	assert.True(t, certain, "control has heard the target since")
	require.Len(t, out, 1)
	assert.NotEmpty(t, out[0].Target)

	ts[0].Software, ts[0].Started = "v2", startedAgain
	now += 10 * time.Second
	d.SetTargets(now, ts)
	assert.False(t, d.Doubt(now, now-time.Second, "t0", started, "e2"), "a break of the earlier incarnation, repeated late")
	assert.True(t, d.Doubt(now+time.Second, now+time.Second, "t0", started, "e2"), "a request that was granted before broke off at the later incarnation")
}

// TestDoubtsAreBounded guards against memory that grows with the number of VMs that notice the
// end of a target, and with targets that have left.
func TestDoubtsAreBounded(t *testing.T) {
	d, _, now := newDoubtTest("v1")
	for i := range 2 * maxDoubtReporters {
		d.Doubt(now, now, "t0", started, fmt.Sprint(i))
	}
	assert.Len(t, d.targets["t0"].doubt.reporters, maxDoubtReporters)
	for i := range 2 * maxDoubtReporters {
		_, certain := d.Serving(now, "t0", started, fmt.Sprint(i))
		require.False(t, certain, "not all VMs are known that noticed a break")
	}
	assert.False(t, d.Doubt(now, now, "unknown", started, "e1"))
	d.SetTargets(now, nil)
	assert.Empty(t, d.Doubted())
}

// TestServiceWithoutVersionsHasNoDoubts guards against requests that wait for the certainty about
// a version where targets state none.
func TestServiceWithoutVersionsHasNoDoubts(t *testing.T) {
	d, _, now := newDoubtTest("")
	assert.False(t, d.Doubt(now, now, "t0", started, "e1"))
}

// TestRepeatedHeartbeatEndsNoDoubt guards against a doubt that ends because a control VM that was
// suspended reads a heartbeat and its repetition together, both sent before the break.
func TestRepeatedHeartbeatEndsNoDoubt(t *testing.T) {
	d, ts, now := newDoubtTest("v1")
	d.Doubt(now, now, ts[0].ID, started, "e")
	_, certain := d.Heartbeat(now+100*time.Millisecond, now+100*time.Millisecond, ts[0].ID, started, 1)
	assert.False(t, certain)
	_, certain = d.Heartbeat(now+103*time.Millisecond, now+103*time.Millisecond, ts[0].ID, started, 2)
	assert.False(t, certain)
	_, certain = d.Heartbeat(now+1300*time.Millisecond, now+1300*time.Millisecond, ts[0].ID, started, 3)
	assert.True(t, certain)
}
