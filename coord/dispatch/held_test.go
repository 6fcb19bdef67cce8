package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestHeldDispatcherGrantsNothing guards against a dispatcher that grants waiting requests
// although its owner may not decide, and against requests that are lost meanwhile.
func TestHeldDispatcherGrantsNothing(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(1, 1))
	for i := range 2 {
		require.NotEmpty(t, d.Admit(0, request(fmt.Sprint(i))).Target)
	}
	require.True(t, d.Admit(0, request("waits")).Waiting())
	short := request("expires")
	short.TimeLeft = 100 * time.Millisecond
	require.True(t, d.Admit(0, short).Waiting())
	d.SetHeld(true)
	assert.Empty(t, d.Done(time.Millisecond, "0", "t0", Completed, 1))
	assert.Empty(t, d.SetTargets(time.Millisecond, targets(2, 1)))
	out := d.Tick(100 * time.Millisecond)
	require.Len(t, out, 1)
	assert.Equal(t, Expired, out[0].Refusal)
	d.SetHeld(false)
	out = d.Tick(101 * time.Millisecond)
	require.Len(t, out, 1)
	assert.Equal(t, "waits", out[0].ID)
	assert.NotEmpty(t, out[0].Target)
}

// TestWaitingRequestsKeepTheirOrder guards against an index of the queue that disagrees with
// the order of ranks when requests leave from its middle.
func TestWaitingRequestsKeepTheirOrder(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(1, 1))
	var granted []string
	for i := range 2 {
		granted = append(granted, d.Admit(0, request(fmt.Sprint(i))).ID)
	}
	for i := range 30 {
		r := request(fmt.Sprint("w", i))
		r.Priority = i % 3
		require.True(t, d.Admit(0, r).Waiting())
	}
	for i := 0; i < 30; i += 4 {
		d.Cancel(fmt.Sprint("w", i))
	}
	var order []int
	for len(granted) > 0 {
		out := d.Done(time.Millisecond, granted[0], "t0", Completed, 1)
		granted = granted[1:]
		for _, o := range out {
			var n int
			_, err := fmt.Sscanf(o.ID, "w%d", &n)
			require.NoError(t, err)
			order = append(order, n)
			granted = append(granted, o.ID)
		}
	}
	var want []int
	for priority := range 3 {
		for i := priority; i < 30; i += 3 {
			if i%4 != 0 {
				want = append(want, i)
			}
		}
	}
	assert.Equal(t, want, order)
	assert.Empty(t, d.waiting)
	assert.Zero(t, d.queue("s").unpinned)
	assert.Empty(t, d.queue("s").expiries)
}
