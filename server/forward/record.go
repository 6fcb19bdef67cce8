package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/integrity"
)

// record collects the data of the request's log line.
type record struct {
	status int
	// reason explains an error response of this entry or an incomplete response; empty
	// for other responses.
	reason string
	// queueTime is the time in the ledger's queue, as part of admitTime.
	queueTime time.Duration
	// admitTime is the total time of the calls to the ledger for admission.
	admitTime time.Duration
	// timeToHeader is the time until the response header was sent to the caller.
	timeToHeader time.Duration
	// outcomes lists the results at targets in order.
	outcomes []outcome
	// relayedTo is the address of the entry that took the request; empty if none did.
	relayedTo string
	// sends counts the requests that were sent to targets; a broken stream that is resumed
	// is sent once more to the same target.
	sends int
	// rateLimit is the rate limit that the last response stated; nil if it stated none.
	rateLimit *float64
	// framing is that of the last response that was relayed or dropped, and eventStream is set if
	// it stated that it is an event stream.
	framing     integrity.Framing
	eventStream bool
	// aborted is set if finish must close the caller's connection.
	aborted bool
	// targetErr is the latest error at a target.
	targetErr error
}

// outcome is the result of the request at one target.
type outcome struct {
	target string
	result dispatch.Result
}

// outcomesText returns the outcomes as TARGET:RESULT, joined by commas.
func (r *record) outcomesText() string {
	texts := make([]string, len(r.outcomes))
	for i, o := range r.outcomes {
		texts[i] = o.target + ":" + string(o.result)
	}
	return strings.Join(texts, ",")
}

// observeFraming records how the end of a response shows.
func (x *exchange) observeFraming(r *http.Response) {
	x.record.framing, x.record.eventStream = integrity.FramingOf(r), integrity.IsEventStream(r)
	gometrics.GetOrRegisterCounter("forward_responses;framing="+string(x.record.framing), x.entry.options.Metrics).Inc(1)
}

// finish writes the request's log line and updates the metrics. If the response is
// incomplete, it ends it as such, which panics.
func (x *exchange) finish() {
	elapsed := bootclock.Now() - x.startedAt
	x.writeLog(elapsed)
	x.updateMetrics(elapsed)
	if x.record.aborted {
		x.endIncomplete()
	}
}

// writeLog writes the request's log line.
func (x *exchange) writeLog(elapsed time.Duration) {
	fields := logrus.Fields{
		"event": "request", "request": x.call.ID, "status": x.record.status, "reason": x.record.reason, "took_ms": milliseconds(elapsed),
		"revision": x.view.Revision, "control_age_ms": x.entry.options.Age().Milliseconds(),
	}
	if x.view.Table != nil {
		fields["version"] = x.view.Table.Version()
	}
	if x.route != nil {
		fields["route"], fields["left_ms"] = x.route.Name, x.timeLeft().Milliseconds()
	}
	if x.organisation != nil {
		fields["organisation"] = x.organisation.Name
	}
	if x.call.Program != "" {
		fields["program"] = x.call.Program
	}
	if x.call.LastEventID != "" {
		fields["last_event"], fields["resumes"] = x.call.LastEventID, x.call.Resumes
	}
	if len(x.record.outcomes) > 0 {
		fields["targets"], fields["admit_ms"], fields["queued_ms"] = x.record.outcomesText(), milliseconds(x.record.admitTime), milliseconds(x.record.queueTime)
		fields["first_ms"], fields["sends"] = milliseconds(x.record.timeToHeader), x.record.sends
	}
	if x.record.relayedTo != "" {
		fields["relayed_to"] = x.record.relayedTo
	}
	if x.offer != nil {
		fields["relayed_from"] = x.offer.From
	}
	if x.record.framing != "" {
		fields["framing"], fields["event_stream"] = x.record.framing, x.record.eventStream
	}
	if !x.request.ProtoAtLeast(1, 1) {
		// Such a caller sees the end of most responses by the end of its connection.
		fields["caller_http"] = x.request.Proto
	}
	if x.record.rateLimit != nil {
		fields["rate_limit"] = *x.record.rateLimit
	}
	if x.events > 0 || x.responseStarted {
		fields["events"] = x.events
	}
	if x.record.targetErr != nil {
		fields["error"] = x.record.targetErr.Error()
	}
	if err := x.request.Context().Err(); err != nil {
		fields["caller"] = "left"
	}
	x.entry.options.Log.WithFields(fields).Info("request ended")
}

// milliseconds returns d in milliseconds, with a resolution of one microsecond.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// updateMetrics counts the request and records its latency.
func (x *exchange) updateMetrics(elapsed time.Duration) {
	route := "none"
	if x.route != nil {
		route = x.route.Name
	}
	outcome := strconv.Itoa(x.record.status)
	if x.record.aborted {
		outcome = "aborted"
	}
	registry := x.entry.options.Metrics
	gometrics.GetOrRegisterCounter("forward_requests;route="+route+";outcome="+outcome, registry).Inc(1)
	gometrics.GetOrRegisterTimer("forward_latency;route="+route, registry).Update(elapsed)
}
