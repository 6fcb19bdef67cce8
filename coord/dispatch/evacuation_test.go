package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// evacuated returns n targets, the first of which are evacuated.
func evacuated(n, first int) []Target {
	ts := targets(n, 1)
	for i := range first {
		ts[i].Draining, ts[i].Evacuated = true, true
	}
	return ts
}

// TestWaitingRequestsOfEvacuatedTargets guards against requests that wait for a target of an
// evacuated data centre, and against a refusal that does not tell why there is no target.
func TestWaitingRequestsOfEvacuatedTargets(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, evacuated(1, 0))
	for _, id := range []string{"running", "at the target"} {
		require.Equal(t, "t0", d.Admit(0, request(id)).Target)
	}
	require.True(t, d.Admit(0, request("waits")).Waiting())
	out := d.SetTargets(0, evacuated(2, 1))
	require.Len(t, out, 1)
	assert.Equal(t, "t1", out[0].Target)
	require.Equal(t, "t1", d.Admit(0, request("second")).Target)
	require.True(t, d.Admit(0, request("waits again")).Waiting())
	out = d.SetTargets(time.Millisecond, evacuated(2, 2))
	require.Len(t, out, 1)
	assert.Equal(t, Evacuated, out[0].Refusal)
	assert.Positive(t, out[0].RetryAfter)
	assert.Equal(t, Evacuated, d.Admit(time.Millisecond, request("new")).Refusal)
	assert.Empty(t, d.Done(time.Millisecond, "running", "t0", Completed, 1), "running requests end normally")
	d.SetTargets(2*time.Millisecond, evacuated(2, 0))
	assert.Equal(t, "t0", d.Admit(2*time.Millisecond, request("after the end")).Target)
}
