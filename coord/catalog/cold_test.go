package catalog

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/routing"
)

// nowMS is the time of these tests in Unix milliseconds.
const nowMS = 1_700_000_000_000

func announce(s *State, index uint64, at int64, t Target, left time.Duration) (changed bool) {
	recorded, known := s.Targets[t.ID]
	t = t.StampCold(at, left, true, recorded, known)
	changed = s.WouldChange(t)
	putTarget(s, index, t)
	return changed
}

// TestColdPeriodIsRelativeToTheReceipt guards against a cold period that is too short because the
// clock of the target is wrong.
func TestColdPeriodIsRelativeToTheReceipt(t *testing.T) {
	service := &routing.Service{ColdStartSeconds: 10, ColdPerSecond: 4}
	for _, born := range []int64{0, 1, nowMS - 3_600_000, nowMS, nowMS + 3_600_000} {
		s := New()
		announce(s, 1, nowMS, target("a", born, 1, Ready), 0)
		a := s.Targets["a"]
		assert.Equal(t, 10*time.Second+coldMargin, a.ColdLeft(service, nowMS), "born %d", born)
		assert.Equal(t, 3*time.Second+coldMargin, a.ColdLeft(service, nowMS+7000))
		assert.Zero(t, a.ColdLeft(service, nowMS+11000))
		assert.Zero(t, a.ColdLeft(&routing.Service{ColdStartSeconds: 10}, nowMS), "a service without a rate of cold targets")
		assert.Zero(t, a.ColdLeft(nil, nowMS))
	}
}

// TestLongestColdPeriodApplies guards against a target that states to be cold for longer than after
// a start, or to be cold again, and gets requests like a warm one. What it states is bounded.
func TestLongestColdPeriodApplies(t *testing.T) {
	service := &routing.Service{ColdStartSeconds: 10, ColdPerSecond: 4}
	s := New()
	announce(s, 1, nowMS, target("a", nowMS, 1, Ready), 3*time.Second)
	left := func(at int64) time.Duration { return s.Targets["a"].ColdLeft(service, at) }
	assert.Equal(t, 10*time.Second+coldMargin, left(nowMS), "the start applies")
	announce(s, 2, nowMS+1000, target("a", nowMS, 2, Ready), 30*time.Second)
	assert.Equal(t, 30*time.Second+coldMargin, left(nowMS+1000))
	announce(s, 3, nowMS+2000, target("a", nowMS, 3, Ready), 0)
	assert.Equal(t, 8*time.Second+coldMargin, left(nowMS+2000), "the latest statement replaces the earlier one, but not the start")
	announce(s, 4, nowMS+60_000, target("a", nowMS, 4, Ready), 5*time.Second)
	assert.Equal(t, 5*time.Second+coldMargin, left(nowMS+60_000), "cold again")
	announce(s, 5, nowMS+61_000, target("a", nowMS, 5, Ready), 1000*time.Hour)
	assert.Equal(t, MaxCold+coldMargin, left(nowMS+61_000))
	announce(s, 6, nowMS+70_000, target("a", nowMS+1, 1, Ready), 0)
	assert.Equal(t, 10*time.Second+coldMargin, left(nowMS+70_000), "a later incarnation is cold after its own start")
	distorted := s.Targets["a"]
	distorted.ColdUntilUnixMS = 1 << 60
	assert.Equal(t, MaxCold+coldMargin, distorted.ColdLeft(service, nowMS))
}

// TestHeartbeatsOfColdTargetsAreNoChanges guards against a log entry for each heartbeat of each
// cold target: the stated end differs by the time that heartbeats take to arrive.
func TestHeartbeatsOfColdTargetsAreNoChanges(t *testing.T) {
	s := New()
	require.True(t, announce(s, 1, nowMS, target("a", nowMS, 1, Ready), 20*time.Second))
	for n := int64(1); n < 30; n++ {
		sent, delay := n*1200, n*37%250
		left := max(0, 20*time.Second-time.Duration(sent)*time.Millisecond)
		assert.False(t, announce(s, uint64(n+1), nowMS+sent+delay, target("a", nowMS, n+1, Ready), left), "heartbeat %d", n)
	}
	assert.True(t, announce(s, 99, nowMS+60_000, target("a", nowMS, 99, Ready), time.Second), "cold again")
}

// TestFirstAnnouncementIsKept guards against a target that becomes cold again because one of its
// heartbeats reached a control VM that did not know it yet.
func TestFirstAnnouncementIsKept(t *testing.T) {
	s := New()
	announce(s, 1, nowMS, target("a", nowMS, 1, Ready), 0)
	behind := target("a", nowMS, 2, Ready).StampCold(nowMS+5000, 0, true, Target{}, false)
	putTarget(s, 2, behind)
	assert.EqualValues(t, nowMS, s.Targets["a"].FirstSeenUnixMS)
}

// TestColdFieldsOfEarlierReleases guards against a target of an earlier snapshot that counts as
// cold forever or never, and against other fields in the records of services without cold targets.
func TestColdFieldsOfEarlierReleases(t *testing.T) {
	service := &routing.Service{ColdStartSeconds: 10, ColdPerSecond: 4}
	earlier := target("a", nowMS-4000, 1, Ready)
	assert.Equal(t, 6*time.Second+coldMargin, earlier.ColdLeft(service, nowMS))
	ahead := target("a", nowMS+3_600_000, 1, Ready)
	assert.Equal(t, 10*time.Second+coldMargin, ahead.ColdLeft(service, nowMS))
	data, err := json.Marshal(earlier.StampCold(nowMS, 0, false, Target{}, false))
	require.NoError(t, err)
	assert.NotContains(t, string(data), "cold")
	assert.NotContains(t, string(data), "first_seen")
}
