package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"hemlockvale.dev/bench/engine"
)

// Guards the bench against a bucket that admits more than rate x time + burst,
// or an audit that does not notice it.
func TestBucketIsExact(t *testing.T) {
	cases := []struct {
		name           string
		auditedBurst   float64
		interval       time.Duration
		admitted, over int
	}{
		{"above the rate", 5, 10 * time.Millisecond, 15, 0},
		{"within the rate", 5, 200 * time.Millisecond, 100, 0},
		{"the audit notices a wrong bucket", 4, 10 * time.Millisecond, 15, 11},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := NewBucket(10, 5)
			admitted := 0
			for i := range 101 {
				ok, wait := b.Take(time.Duration(i) * c.interval)
				if ok {
					admitted++
				} else {
					assert.Positive(t, wait)
				}
			}
			assert.InDelta(t, c.admitted, admitted, 1)
			replay := &Bucket{Rate: 10, Burst: c.auditedBurst}
			for i := range admitted {
				replay.audit(time.Duration(max(0, i-4)) * 100 * time.Millisecond)
			}
			assert.InDelta(t, c.over, replay.Over, 1)
		})
	}
}

// Guards the view against old reports, lost leases and doubly counted requests.
func TestEntryView(t *testing.T) {
	e := New([]string{"a", "b"}, engine.Load{MaxBatch: 4})
	e.Announce(time.Second, 0, 900*time.Millisecond, engine.Load{Running: 3, MaxBatch: 4})
	e.Observe(0, 500*time.Millisecond, engine.Load{Running: 1})
	e.Dispatched(0, 1100*time.Millisecond, 50)
	e.CacheEvents(0, 900*time.Millisecond, []engine.CacheEvent{{Program: 7, Tokens: 30}, {Program: 8, Tokens: 9}, {Program: 8}})
	e.Failed(time.Second, 0)

	seen := e.Candidates(2*time.Second, 7)[0]
	assert.Equal(t, 3, seen.Running)
	assert.Equal(t, 1, seen.Outstanding)
	assert.EqualValues(t, 50, seen.OutstandingTokens)
	assert.EqualValues(t, 30, seen.CachedTokens)
	assert.Equal(t, 1100*time.Millisecond, seen.ReportAge)
	assert.True(t, seen.Suspect)
	assert.Zero(t, e.Candidates(2*time.Second, 8)[0].CachedTokens)

	e.Announce(3500*time.Millisecond, 0, 3400*time.Millisecond, engine.Load{Running: 4, MaxBatch: 4})
	seen = e.Candidates(3500*time.Millisecond, 7)[0]
	assert.Zero(t, seen.Outstanding)
	assert.Equal(t, "a", seen.ID)
	assert.Len(t, e.Candidates(3500*time.Millisecond, 7), 1, "the lease of b has expired")
	assert.Empty(t, e.Candidates(time.Minute, 7))
}
