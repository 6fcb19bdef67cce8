package ledger

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/bootclock"
)

// setCold sets the cold period of a target of a service, which may be nil.
// The longer of what the catalog and what responses state applies. The caller holds h.mu.
func (h *Host) setCold(target *dispatch.Target, t catalog.Target, s *routing.Service) {
	if s == nil || s.ColdPerSecond <= 0 {
		return
	}
	now := bootclock.Now()
	left := max(t.ColdLeft(s, time.Now().UnixMilli()), h.coldStatements.left(now, t.Incarnation()))
	if left > 0 {
		target.ColdUntil, target.ColdPerSecond = now+left, s.ColdPerSecond
	}
}

// logCold logs which targets have become cold, and which are not any more. The caller holds h.mu.
func (h *Host) logCold(targets []dispatch.Target) {
	cold := make(map[string]bool)
	for _, t := range targets {
		if t.ColdPerSecond > 0 {
			cold[t.ID] = true
		}
		if cold[t.ID] == h.cold[t.ID] {
			continue
		}
		fields := logrus.Fields{"event": "target_cold", "target": t.ID, "cold": cold[t.ID]}
		if cold[t.ID] {
			fields["left_ms"], fields["per_s"] = (t.ColdUntil - bootclock.Now()).Milliseconds(), t.ColdPerSecond
		}
		h.options.Log.WithFields(fields).Info("cold period of a target changed")
	}
	h.cold = cold
}

// countCold counts a grant at a cold target.
func (h *Host) countCold(r AdmitResponse) {
	if r.Reason == dispatch.ReasonCold {
		gometrics.GetOrRegisterCounter("ledger_cold_grants", h.options.Metrics).Inc(1)
	}
}
