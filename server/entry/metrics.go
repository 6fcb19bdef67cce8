package entry

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/server/metrics"
)

// callMetrics holds the metrics of calls.
type callMetrics struct {
	registry             gometrics.Registry
	latency              gometrics.Timer
	tokens               gometrics.Counter
	retries              gometrics.Counter
	expectedCachedTokens gometrics.Counter
}

func newCallMetrics(r gometrics.Registry) *callMetrics {
	return &callMetrics{
		registry:             r,
		latency:              gometrics.GetOrRegisterTimer("hemlockvale_call_seconds", r),
		tokens:               gometrics.GetOrRegisterCounter("hemlockvale_tokens_total", r),
		retries:              gometrics.GetOrRegisterCounter("hemlockvale_attempts_retried_total", r),
		expectedCachedTokens: gometrics.GetOrRegisterCounter("hemlockvale_prefix_tokens_expected_total", r),
	}
}

// Stages of a call, as values of the label "stage" of hemlockvale_stage_seconds.
const (
	stageRate   = "rate"
	stageBegin  = "begin"
	stageTarget = "target"
	stageFinish = "finish"
)

// startStageTimer starts the timer of a stage. The returned function records the elapsed
// time.
func (m *callMetrics) startStageTimer(name string) func() {
	start := time.Now()
	timer := gometrics.GetOrRegisterTimer(metrics.Name("hemlockvale_stage_seconds", "stage", name), m.registry)
	return func() { timer.UpdateSince(start) }
}

// recordAnswer counts and logs a call that was answered.
func (m *callMetrics) recordAnswer(c *call) {
	m.latency.Update(time.Since(c.start))
	gometrics.GetOrRegisterCounter(metrics.Name("hemlockvale_calls_total", "result", "answered"), m.registry).Inc(1)
	c.log.WithFields(logrus.Fields{"event": "call_answered", "latency_ms": time.Since(c.start).Milliseconds()}).Info("call answered")
}

// recordRefusal counts and logs a call that ended with a problem.
func (m *callMetrics) recordRefusal(c *call, p *Problem) {
	gometrics.GetOrRegisterCounter(metrics.Name("hemlockvale_refusals_total", "code", p.Code, "executed", string(p.Executed)), m.registry).Inc(1)
	c.log.WithFields(logrus.Fields{"event": "call_refused", "code": p.Code, "executed": p.Executed, "status": p.Status}).Info(p.Detail)
}
