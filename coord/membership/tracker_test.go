package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
)

// Guards against a VM that is declared dead while its lease may be valid, and
// against a dead VM that counts as live after a change of leader or a clock step.
func TestLive(t *testing.T) {
	vm := fleet.VMRef{ID: "vm-1", Incarnation: "a"}
	const since = time.Minute
	for _, c := range []struct {
		name  string
		polls []time.Duration
		now   time.Duration
		live  bool
	}{
		{"new leader, no poll", nil, since + DeadAfter - 1, true},
		{"no poll in the grace time", nil, since + DeadAfter, false},
		{"polled just before", []time.Duration{since + 10*time.Second}, since + 10*time.Second + DeadAfter - 1, true},
		{"silent", []time.Duration{since + 10*time.Second}, since + 10*time.Second + DeadAfter, false},
		{"clock stepped back", []time.Duration{since + 10*time.Second, since + time.Second}, since + 12*time.Second, true},
		{"returned after death", []time.Duration{since, since + time.Hour}, since + time.Hour, true},
	} {
		tracker := NewTracker(since)
		for _, at := range c.polls {
			tracker.Poll(at, vm)
			tracker.Live(at, nil)
		}
		require.Equal(t, c.live, tracker.Live(c.now, []fleet.VMRef{vm})[vm], c.name)
		restarted := fleet.VMRef{ID: "vm-1", Incarnation: "b"}
		require.Equal(t, c.now < since+DeadAfter, tracker.Live(c.now, []fleet.VMRef{restarted})[restarted], "%s: another incarnation", c.name)
	}
}
