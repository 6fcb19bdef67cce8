package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// grantsWithin offers a request every 5 ms, each of which runs for 20 ms, and returns the
// number of grants of each target from one time to another.
func grantsWithin(d *Dispatcher, from, to time.Duration) map[string]int {
	grants := make(map[string]int)
	n := 0
	for now := from; now < to; now += 5 * time.Millisecond {
		n++
		r := request(fmt.Sprint(from, "-", n))
		r.TimeLeft = 100 * time.Millisecond
		outcomes := append(d.Tick(now), d.Admit(now, r))
		for len(outcomes) > 0 {
			o := outcomes[0]
			outcomes = outcomes[1:]
			if o.Target != "" {
				grants[o.Target]++
				outcomes = append(outcomes, d.Done(now+20*time.Millisecond, o.ID, o.Target, Completed, 1)...)
			}
		}
	}
	return grants
}

// TestTargetRateBindsGrants guards against a target that gets more requests than the rate
// limit that it states, and against a limit that also holds back other targets.
func TestTargetRateBindsGrants(t *testing.T) {
	for _, limit := range []float64{0, 0.2, 4, 11.6} {
		d := New(0, 1)
		d.SetTargets(0, targets(2, 2))
		assert.True(t, d.LimitTarget(0, "t0", limit))
		assert.False(t, d.LimitTarget(0, "t0", limit), "nothing has changed")
		grants := grantsWithin(d, time.Second, 11*time.Second)
		rate := max(limit, minTargetRate)
		assert.LessOrEqual(t, float64(grants["t0"]), rate*10+max(1, rate*targetBurst.Seconds()), "limit %v", limit)
		assert.GreaterOrEqual(t, float64(grants["t0"]), 0.8*rate*10, "limit %v", limit)
		assert.Greater(t, grants["t1"], 1000, "the other target has no limit")
	}
}

// TestLimitEndsWithALaterGrant guards against a limit that is lifted by a response from
// before it was stated, and against one that never ends.
func TestLimitEndsWithALaterGrant(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(1, 4))
	require.Equal(t, "t0", d.Admit(0, request("before")).Target)
	d.LimitTarget(time.Second, "t0", 2)
	_, ended := d.UnlimitTarget(time.Second, "t0", "before")
	assert.False(t, ended)
	require.True(t, d.Admit(time.Second, request("later")).Waiting())
	out := d.Tick(1600 * time.Millisecond)
	require.Len(t, out, 1)
	require.Equal(t, "t0", out[0].Target)
	require.True(t, d.Admit(1600*time.Millisecond, request("waits")).Waiting())
	out, ended = d.UnlimitTarget(1700*time.Millisecond, "t0", "later")
	assert.True(t, ended)
	require.Len(t, out, 1, "the waiting request is granted at once")
	assert.Equal(t, "waits", out[0].ID)
	_, limited := d.TargetRate("t0")
	assert.False(t, limited)
}

// TestRateOfATargetNotYetKnown guards against a new leader that learns of a limit before it
// learns of the target, and grants without it.
func TestRateOfATargetNotYetKnown(t *testing.T) {
	d := New(0, 1)
	d.LimitTarget(0, "t0", 1)
	d.SetTargets(0, targets(1, 4))
	assert.True(t, d.Admit(0, request("a")).Waiting())
	d.SetTargets(targetRateRetention, nil)
	_, limited := d.TargetRate("t0")
	assert.True(t, limited)
	d.SetTargets(targetRateRetention+1, nil)
	_, limited = d.TargetRate("t0")
	assert.False(t, limited, "the target is gone for good")
}

// TestLimitedServiceRefusesAtOnce guards against requests that wait in vain because the
// rate measured before the limits is used to estimate their wait.
func TestLimitedServiceRefusesAtOnce(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(2, 2))
	grantsWithin(d, 0, 2*time.Second)
	d.LimitTarget(2*time.Second, "t0", 2)
	d.LimitTarget(2*time.Second, "t1", 2)
	var refused []Refusal
	for i := range 10 {
		if o := d.Admit(2*time.Second, request(fmt.Sprint("x", i))); o.Refusal != "" {
			refused = append(refused, o.Refusal)
		}
	}
	assert.Len(t, refused, 5, "four requests can be served within a second, and the estimate counts only those ahead")
	assert.NotContains(t, refused, Expired)
}

// TestPinnedRequests guards against a stream that continues at another target than the one
// that began it, that waits for a target which is leaving, or that holds up the queue.
func TestPinnedRequests(t *testing.T) {
	d := New(0, 1)
	ts := targets(2, 1)
	d.SetTargets(0, ts)
	d.LimitTarget(0, "t0", 1)
	pinned := request("pinned")
	pinned.Target = "t0"
	require.True(t, d.Admit(0, pinned).Waiting(), "its target has no rate left")
	for i := range 2 {
		assert.Equal(t, "t1", d.Admit(0, request(fmt.Sprint(i))).Target)
	}
	require.True(t, d.Admit(0, request("waits")).Waiting())
	out := d.Done(0, "0", "t1", Completed, 1)
	require.Len(t, out, 1, "the pinned request does not block the queue")
	assert.Equal(t, "waits", out[0].ID)
	ts[0].Draining = true
	out = d.SetTargets(0, ts)
	require.Len(t, out, 1)
	assert.Equal(t, Outcome{ID: "pinned", Refusal: NoTarget, RetryAfter: out[0].RetryAfter}, out[0])
	assert.Equal(t, NoTarget, d.Admit(0, pinned).Refusal)
}
