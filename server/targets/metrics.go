package targets

import gometrics "github.com/rcrowley/go-metrics"

// counters are the adapter's metrics.
type counters struct {
	announcements, late, invalid, unusedEvents, forwardFailures, failures, orders, orderFailures gometrics.Counter
	// releasesPending is the number of programs whose memory is not confirmed as free.
	releasesPending, known, usable gometrics.Gauge
}

func newCounters(r gometrics.Registry) counters {
	if r == nil {
		r = gometrics.NewRegistry()
	}
	counter := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter(name, r) }
	gauge := func(name string) gometrics.Gauge { return gometrics.GetOrRegisterGauge(name, r) }
	return counters{
		announcements: counter("targets_announcements_total"), late: counter("targets_announcements_late_total"),
		invalid: counter("targets_messages_invalid_total"), unusedEvents: counter("targets_cache_events_unused_total"),
		forwardFailures: counter("targets_forward_failures_total"), failures: counter("targets_failures_total"),
		orders: counter("targets_order_attempts_total"), orderFailures: counter("targets_order_attempts_failed_total"),
		releasesPending: gauge("targets_releases_pending"), known: gauge("targets_known"), usable: gauge("targets_usable"),
	}
}
