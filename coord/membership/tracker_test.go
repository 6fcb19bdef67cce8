package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
)

// TestLive guards against a VM that is declared dead while its lease may be valid, and
// against a dead VM that counts as live after a change of leader or a clock step.
func TestLive(t *testing.T) {
	vm := fleet.VMRef{ID: "vm-1", Incarnation: "a"}
	const leaderSince = time.Minute
	for _, c := range []struct {
		name  string
		polls []time.Duration
		now   time.Duration
		live  bool
	}{
		{"new leader, no poll", nil, leaderSince + DeadAfter - 1, true},
		{"no poll in the grace period", nil, leaderSince + DeadAfter, false},
		{"polled just before", []time.Duration{leaderSince + 10*time.Second}, leaderSince + 10*time.Second + DeadAfter - 1, true},
		{"silent", []time.Duration{leaderSince + 10*time.Second}, leaderSince + 10*time.Second + DeadAfter, false},
		{"clock stepped back", []time.Duration{leaderSince + 10*time.Second, leaderSince + time.Second}, leaderSince + 12*time.Second, true},
		{"returned after death", []time.Duration{leaderSince, leaderSince + time.Hour}, leaderSince + time.Hour, true},
	} {
		tracker := NewTracker(leaderSince)
		for _, at := range c.polls {
			tracker.Poll(at, vm)
			tracker.Live(at, nil)
		}
		require.Equal(t, c.live, tracker.Live(c.now, []fleet.VMRef{vm})[vm], c.name)
		restarted := fleet.VMRef{ID: "vm-1", Incarnation: "b"}
		require.Equal(t, c.now < leaderSince+DeadAfter, tracker.Live(c.now, []fleet.VMRef{restarted})[restarted], "%s: another incarnation", c.name)
	}
}
