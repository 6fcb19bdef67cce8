package metrics

import (
	"net/http/httptest"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// TestHandler guards against output that Prometheus rejects. Metrics with the same name
// must be in one family and differ in their labels.
func TestHandler(t *testing.T) {
	r := gometrics.NewRegistry()
	gometrics.GetOrRegisterCounter(Name("refusals_total", "code", "rate_limited"), r).Inc(3)
	gometrics.GetOrRegisterCounter(Name("refusals_total", "code", "unknown_key"), r).Inc(1)
	gometrics.GetOrRegisterTimer("latency_seconds", r).Update(time.Second)
	gometrics.GetOrRegisterGauge("shards.owned", r).Update(4)
	w := httptest.NewRecorder()
	Handler(r).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	body := w.Body.String()
	require.Contains(t, body, `hemlockvale_refusals_total{code="rate_limited"} 3`)
	require.Contains(t, body, `hemlockvale_refusals_total{code="unknown_key"} 1`)
	require.Contains(t, body, `hemlockvale_latency_seconds{quantile="0.95"} 1`)
	require.Contains(t, body, "hemlockvale_latency_seconds_count 1")
	require.Contains(t, body, "hemlockvale_shards_owned 4")
}
