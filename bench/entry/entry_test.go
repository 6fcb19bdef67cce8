package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"hemlockvale.dev/bench/engine"
)

// TestBucketIsExact guards against a bucket that admits more than rate x time + burst,
// and against an audit that does not notice it.
func TestBucketIsExact(t *testing.T) {
	cases := []struct {
		name                string
		auditBurst          float64
		interval            time.Duration
		admitted, overLimit int
	}{
		{"above the rate", 5, 10 * time.Millisecond, 15, 0},
		{"within the rate", 5, 200 * time.Millisecond, 100, 0},
		{"the audit detects calls above the burst", 4, 10 * time.Millisecond, 15, 11},
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
			audited := &Bucket{Rate: 10, Burst: c.auditBurst}
			for i := range admitted {
				audited.audit(time.Duration(max(0, i-4)) * 100 * time.Millisecond)
			}
			assert.InDelta(t, c.overLimit, audited.AdmittedOverLimit, 1)
		})
	}
}

// TestEntryTracksTargets guards against the use of outdated load reports or of targets
// with expired leases, and against counting a request twice.
func TestEntryTracksTargets(t *testing.T) {
	e := New([]string{"a", "b"}, engine.Load{MaxBatch: 4})
	e.ApplyAnnouncement(time.Second, 0, 900*time.Millisecond, engine.Load{Running: 3, MaxBatch: 4})
	e.ApplyLoad(0, 500*time.Millisecond, engine.Load{Running: 1})
	e.RecordDispatch(0, 1100*time.Millisecond, 50)
	e.ApplyCacheEvents(0, 900*time.Millisecond, []engine.CacheEvent{{Program: 7, Tokens: 30}, {Program: 8, Tokens: 9}, {Program: 8}})
	e.MarkSuspect(time.Second, 0)

	candidate := e.Candidates(2*time.Second, 7)[0]
	assert.Equal(t, 3, candidate.Running)
	assert.Equal(t, 1, candidate.Outstanding)
	assert.EqualValues(t, 50, candidate.OutstandingTokens)
	assert.EqualValues(t, 30, candidate.CachedTokens)
	assert.Equal(t, 1100*time.Millisecond, candidate.ReportAge)
	assert.True(t, candidate.Suspect)
	assert.Zero(t, e.Candidates(2*time.Second, 8)[0].CachedTokens)

	e.ApplyAnnouncement(3500*time.Millisecond, 0, 3400*time.Millisecond, engine.Load{Running: 4, MaxBatch: 4})
	candidate = e.Candidates(3500*time.Millisecond, 7)[0]
	assert.Zero(t, candidate.Outstanding)
	assert.Equal(t, "a", candidate.ID)
	assert.Len(t, e.Candidates(3500*time.Millisecond, 7), 1, "the lease of b has expired")
	assert.Empty(t, e.Candidates(time.Minute, 7))
}
