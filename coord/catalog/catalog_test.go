package catalog

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/routing"
)

func target(id string, startedUnixMS, sequence int64, state TargetState) Target {
	return Target{ID: id, StartedUnixMS: startedUnixMS, Service: "s", Address: "10.0.0.1:80", Slots: 4, State: state, Sequence: sequence}
}

func putTarget(s *State, index uint64, t Target) { s.Apply(index, Command{PutTarget: &t}) }

// TestDelayedAnnouncements guards against a delayed announcement that makes a target
// ready again after it has started to drain or has left.
func TestDelayedAnnouncements(t *testing.T) {
	s := New()
	putTarget(s, 1, target("a", 10, 5, Ready))
	putTarget(s, 2, target("a", 10, 9, Draining))
	assert.False(t, s.WouldChange(target("a", 10, 8, Ready)))
	putTarget(s, 3, target("a", 10, 10, Gone))
	assert.False(t, s.WouldChange(target("a", 10, 11, Ready)))
	assert.True(t, s.WouldChange(target("a", 20, 1, Ready)), "a later incarnation with the same id is a new target")
	putTarget(s, 4, target("a", 20, 1, Ready))
	assert.False(t, s.WouldChange(target("a", 10, 99, Draining)), "announcements of an earlier incarnation are ignored")
}

// TestLaterIncarnationTakesTheAddress guards against requests to a target whose
// address has been taken over by a later incarnation.
func TestLaterIncarnationTakesTheAddress(t *testing.T) {
	s := New()
	putTarget(s, 1, target("a", 10, 5, Ready))
	putTarget(s, 2, target("b", 20, 1, Ready))
	require.Len(t, s.Live(), 1)
	assert.Equal(t, "b", s.Live()[0].ID)
	assert.False(t, s.WouldChange(target("c", 15, 1, Ready)), "a late announcement of an incarnation that started before the one at the address is ignored")
}

// TestWithdrawal guards against a target that stays listed after its deregistration: because it
// was not known, because a later announcement of it was being committed, or because one that it
// sent before arrives afterwards. Other targets and later incarnations stay.
func TestWithdrawal(t *testing.T) {
	s := New()
	putTarget(s, 1, target("a", 10, 5, Ready))
	withdraw := func(id string, startedUnixMS int64, meanwhile ...Target) bool {
		left, needed := s.Withdrawal(id, startedUnixMS)
		for _, m := range meanwhile {
			putTarget(s, s.Revision+1, m)
		}
		if needed {
			putTarget(s, s.Revision+1, left)
		}
		return needed
	}
	assert.False(t, withdraw("a", 9), "a later incarnation is known")
	assert.Len(t, s.Live(), 1)
	other := Target{ID: "b", StartedUnixMS: 20, Service: "s", Address: "10.0.0.1:81", State: Ready}
	putTarget(s, 2, other)
	for _, id := range []string{"y", "x"} {
		assert.True(t, withdraw(id, 30+int64(len(s.Targets))))
		assert.False(t, s.WouldChange(Target{ID: id, StartedUnixMS: 30, Service: "s", Address: "10.0.0.1:82", State: Ready, Sequence: 9}), "a delayed announcement")
		assert.False(t, withdraw(id, 30))
	}
	assert.True(t, withdraw("w", 1), "one that started before others that were not known either")
	assert.Equal(t, Gone, s.Targets["w"].State)
	assert.False(t, withdraw("v", 0), "no incarnation is known")
	assert.Len(t, s.Live(), 2)
	faster := target("a", 10, 8, Ready)
	faster.Slots++
	assert.True(t, withdraw("a", 0, faster))
	assert.Equal(t, []Target{other}, s.Live())
	assert.False(t, s.WouldChange(target("a", 10, 9, Ready)))
	assert.True(t, withdraw("b", 21), "a later incarnation that is not known yet")
	assert.Empty(t, s.Live())
}

// TestHighestVersionWins guards against a configuration of a lower or equal version
// that replaces the one in force.
func TestHighestVersionWins(t *testing.T) {
	s := New()
	apply := func(index uint64, version int64, document string) {
		s.Apply(index, Command{PutConfiguration: &PutConfiguration{Configuration: routing.Configuration{Version: version}, Document: []byte(document)}})
	}
	apply(1, 7, "seven")
	apply(2, 7, "other content")
	apply(3, 3, "three")
	assert.Equal(t, "seven", string(s.Document))
	assert.EqualValues(t, 1, s.Revision)
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(data))
	assert.Equal(t, s, restored)
}

// TestRemovesOldestGoneTargets guards against an unbounded number of remembered
// targets that have left.
func TestRemovesOldestGoneTargets(t *testing.T) {
	s := New()
	for i := range int64(maxGone + 50) {
		putTarget(s, uint64(i+1), target("t", i+1, 1, Gone))
		putTarget(s, uint64(i+1), Target{ID: string(rune('a'+i%26)) + string(rune('0'+i/26)), StartedUnixMS: i + 1, Address: "x", Service: "s", State: Gone})
	}
	assert.LessOrEqual(t, len(s.Targets), maxGone+1)
}
