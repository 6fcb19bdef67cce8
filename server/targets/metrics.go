package targets

import gometrics "github.com/rcrowley/go-metrics"

// targetMetrics holds the metrics of this package.
type targetMetrics struct {
	announcements, lateAnnouncements, invalidMessages, unusedCacheEvents, forwardFailures, targetFailures, orderAttempts, orderFailures gometrics.Counter
	// pendingReleases is the number of releases that are not confirmed, counted per
	// program and target.
	pendingReleases, knownTargets, usableTargets gometrics.Gauge
}

func newTargetMetrics(r gometrics.Registry) targetMetrics {
	if r == nil {
		r = gometrics.NewRegistry()
	}
	counter := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter(name, r) }
	gauge := func(name string) gometrics.Gauge { return gometrics.GetOrRegisterGauge(name, r) }
	return targetMetrics{
		announcements: counter("targets_announcements_total"), lateAnnouncements: counter("targets_announcements_late_total"),
		invalidMessages: counter("targets_messages_invalid_total"), unusedCacheEvents: counter("targets_cache_events_unused_total"),
		forwardFailures: counter("targets_forward_failures_total"), targetFailures: counter("targets_failures_total"),
		orderAttempts: counter("targets_order_attempts_total"), orderFailures: counter("targets_order_attempts_failed_total"),
		pendingReleases: gauge("targets_releases_pending"), knownTargets: gauge("targets_known"), usableTargets: gauge("targets_usable"),
	}
}
