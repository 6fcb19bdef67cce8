package entry

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/server/metrics"
)

type callMetrics struct {
	registry gometrics.Registry
	latency  gometrics.Timer
	tokens   gometrics.Counter
	retries  gometrics.Counter
	cached   gometrics.Counter
}

func newCallMetrics(r gometrics.Registry) *callMetrics {
	return &callMetrics{
		registry: r,
		latency:  gometrics.GetOrRegisterTimer("hemlockvale_call_seconds", r),
		tokens:   gometrics.GetOrRegisterCounter("hemlockvale_tokens_total", r),
		retries:  gometrics.GetOrRegisterCounter("hemlockvale_attempts_retried_total", r),
		cached:   gometrics.GetOrRegisterCounter("hemlockvale_prefix_tokens_expected_total", r),
	}
}

// Stages of a call whose time is measured.
const (
	stageRate   = "rate"
	stageBegin  = "begin"
	stageTarget = "target"
	stageFinish = "finish"
)

// stage returns a function that notes the time since the call of stage.
func (m *callMetrics) stage(name string) func() {
	start := time.Now()
	timer := gometrics.GetOrRegisterTimer(metrics.Name("hemlockvale_stage_seconds", "stage", name), m.registry)
	return func() { timer.UpdateSince(start) }
}

// answered notes a call that got its answer.
func (m *callMetrics) answered(c *call) {
	m.latency.Update(time.Since(c.start))
	gometrics.GetOrRegisterCounter(metrics.Name("hemlockvale_calls_total", "result", "answered"), m.registry).Inc(1)
	c.log.WithFields(logrus.Fields{"event": "call_answered", "latency_ms": time.Since(c.start).Milliseconds()}).Info("call answered")
}

// refused notes a call that ended in a problem.
func (m *callMetrics) refused(c *call, p *Problem) {
	gometrics.GetOrRegisterCounter(metrics.Name("hemlockvale_refusals_total", "code", p.Code, "executed", string(p.Executed)), m.registry).Inc(1)
	c.log.WithFields(logrus.Fields{"event": "call_refused", "code": p.Code, "executed": p.Executed, "status": p.Status}).Info(p.Detail)
}
