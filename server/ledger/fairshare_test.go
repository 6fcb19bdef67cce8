package ledger

import (
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"

	"hemlockvale.dev/coord/dispatch"
)

// TestFairShareRefusalsAreExplained guards against refused programs of an organisation above its
// share whose log line doesn't say so, and against refusals with free slots that aren't counted.
func TestFairShareRefusalsAreExplained(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.awaitLeader(t)
	s.host.mu.Lock()
	defer s.host.mu.Unlock()
	a := &admission{request: AdmitRequest{Request: dispatch.Request{ID: "r", Service: "s", Organisation: "o"}}}
	refused := &AdmitResponse{Refusal: dispatch.Overloaded, RetryAfter: time.Second}
	assert.NotContains(t, s.host.describe(a, refused).String(), "fair_share")
	a.fairShare = &dispatch.FairShare{Usage: 40, Level: 12.5, Capacity: 72, Horizon: time.Second, FreeSlots: true}
	assert.Contains(t, s.host.describe(a, refused).String(), `fair_share="usage=40.0 level=12.5 capacity=72.0 horizon_ms=1000 free_slots=true"`)
	s.host.shareCounters.count(a.fairShare)
	s.host.shareCounters.count(&dispatch.FairShare{})
	for name, want := range map[string]int64{"ledger_fair_share_refusals;free_slots=true": 1, "ledger_fair_share_refusals;free_slots=false": 1} {
		assert.Equal(t, want, gometrics.GetOrRegisterCounter(name, s.host.options.Metrics).Count(), name)
	}
}
