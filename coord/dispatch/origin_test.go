package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// targetsWithSoftware returns targets with one slot each and the given software versions.
func targetsWithSoftware(versions ...string) []Target {
	ts := targets(len(versions), 1)
	for i, v := range versions {
		ts[i].Software = v
	}
	return ts
}

// streamRequest returns a request for a stream that begins.
func streamRequest(id string) Request {
	r := request(id)
	r.Stream = true
	return r
}

// takeUp returns a request that takes up the stream of an earlier one.
func takeUp(id, resumes string) Request {
	r := streamRequest(id)
	r.Continues, r.Resumes = true, resumes
	return r
}

// TestTakenUpStreamsKeepTheirSoftware guards against a stream that goes on at another
// software version than the one that began it.
func TestTakenUpStreamsKeepTheirSoftware(t *testing.T) {
	software := map[string]string{"t0": "v1", "t1": "v2", "t2": "v1", "t3": "v2"}
	for seed := range uint64(50) {
		d := New(0, seed)
		d.SetTargets(0, targetsWithSoftware("v1", "v2", "v1", "v2"))
		first := d.Admit(0, streamRequest("first")).Target
		d.Done(0, "first", first, Broken, 1)
		again := d.Admit(0, takeUp("again", "first")).Target
		require.Equal(t, software[first], software[again])
		d.Done(0, "again", again, Broken, 1)
		third := d.Admit(0, takeUp("third", "again")).Target
		require.Equal(t, software[first], software[third])
	}
}

// TestTakenUpStreamWaitsForItsSoftware guards against a stream that goes to a free target
// of another version because those of its own are busy.
func TestTakenUpStreamWaitsForItsSoftware(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targetsWithSoftware("v1", "v2"))
	origin := Origin{Service: "s", Software: "v1"}
	d.LearnOrigin(0, "first", "gone", origin, time.Second)
	for i := range 2 {
		r := streamRequest(fmt.Sprint(i))
		r.Target = "t0"
		require.Equal(t, "t0", d.Admit(0, r).Target)
	}
	require.True(t, d.Admit(0, takeUp("again", "first")).Waiting())
	assert.Equal(t, "t1", d.Admit(0, streamRequest("new")).Target, "a new stream does not wait for v1")
	out := d.Done(0, "0", "t0", Completed, 1)
	require.Len(t, out, 1)
	assert.Equal(t, "again", out[0].ID)
	assert.Equal(t, "t0", out[0].Target)
}

// TestStreamWithoutItsSoftwareIsRefused guards against a stream that goes on, or waits in
// vain, when no target can continue it or nobody knows which ones can.
func TestStreamWithoutItsSoftwareIsRefused(t *testing.T) {
	d := New(0, 1)
	ts := targetsWithSoftware("v1", "v2")
	d.SetTargets(0, ts)
	assert.Equal(t, Outcome{ID: "again", Refusal: OriginUnknown}, d.Admit(0, takeUp("again", "unknown")))
	assert.Equal(t, OriginUnknown, d.Admit(0, takeUp("again", "")).Refusal, "the caller does not name the first request")

	d.LearnOrigin(0, "first", "gone", Origin{Service: "s", Software: "v1"}, time.Second)
	d.LearnOrigin(0, "first", "gone", Origin{Service: "s", Software: "v2"}, time.Second)
	other := takeUp("again", "first")
	other.Service = "other"
	assert.Equal(t, SoftwareGone, d.Admit(0, other).Refusal, "another service")
	require.Equal(t, "t0", d.Admit(0, takeUp("a", "first")).Target, "what is known does not change")
	require.Equal(t, "t0", d.Admit(0, takeUp("b", "first")).Target)
	require.True(t, d.Admit(0, takeUp("c", "first")).Waiting())
	ts[0].Draining = true
	out := d.SetTargets(0, ts)
	require.Len(t, out, 1)
	assert.Equal(t, Outcome{ID: "c", Refusal: SoftwareGone}, out[0], "the wait ends with its last target")
	assert.Equal(t, SoftwareGone, d.Admit(0, takeUp("d", "first")).Refusal)
}

// TestServiceWithoutVersions guards against refused streams where targets state no version.
func TestServiceWithoutVersions(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(2, 1))
	assert.NotEmpty(t, d.Admit(0, takeUp("again", "unknown")).Target)
}

// TestOriginsExpire guards against origins that are dropped while their stream may be taken
// up, or never.
func TestOriginsExpire(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targetsWithSoftware("v1", "v2"))
	r := streamRequest("first")
	require.NotEmpty(t, d.Admit(0, r).Target)
	d.Tick(r.TimeLeft + originRetention)
	assert.NotEmpty(t, d.Admit(0, takeUp("again", "first")).Target)
	d.Tick(r.TimeLeft + originRetention + originSweepInterval)
	assert.Equal(t, OriginUnknown, d.Admit(0, takeUp("late", "first")).Refusal)
}

// TestSoftwareChangesUnderAnID guards against a stream that is taken up at the version that
// its target had before it restarted under the same id.
func TestSoftwareChangesUnderAnID(t *testing.T) {
	d := New(0, 1)
	ts := targetsWithSoftware("v1", "v1")
	d.SetTargets(0, ts)
	first := streamRequest("first")
	first.Target = "t0"
	require.Equal(t, "t0", d.Admit(0, first).Target)
	second := streamRequest("second")
	second.Target = "t1"
	require.Equal(t, "t1", d.Admit(0, second).Target)
	ts[0].Software = "v2"
	d.SetTargets(0, ts)
	assert.Equal(t, OriginUnknown, d.Admit(0, takeUp("a", "first")).Refusal)
	assert.Equal(t, "t1", d.Admit(0, takeUp("b", "second")).Target)
	d.LearnOrigin(0, "third", "t0", Origin{Service: "s", Software: "v1"}, time.Second)
	assert.Equal(t, OriginUnknown, d.Admit(0, takeUp("c", "third")).Refusal)
}
