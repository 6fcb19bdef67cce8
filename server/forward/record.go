package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/server/bootclock"
)

// record collects what the request's log line says.
type record struct {
	status  int
	reason  string
	waited  time.Duration
	admit   time.Duration
	first   time.Duration
	tried   []string
	aborted bool
	// err is the last failure at a target.
	err error
}

// finish writes the request's log line and breaks off an incomplete answer.
func (x *exchange) finish() {
	took := bootclock.Now() - x.began
	x.log(took)
	x.count(took)
	if x.record.aborted {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) log(took time.Duration) {
	fields := logrus.Fields{
		"event": "request", "request": x.call.ID, "status": x.record.status, "reason": x.record.reason, "took_ms": ms(took),
		"revision": x.view.Revision, "control_age_ms": x.entry.o.Age().Milliseconds(),
	}
	if x.view.Table != nil {
		fields["version"] = x.view.Table.Version()
	}
	if x.route != nil {
		fields["route"], fields["left_ms"] = x.route.Name, x.left().Milliseconds()
	}
	if x.org != nil {
		fields["organisation"] = x.org.Name
	}
	if x.call.Program != "" {
		fields["program"] = x.call.Program
	}
	if len(x.record.tried) > 0 {
		fields["targets"], fields["admit_ms"], fields["queued_ms"] = strings.Join(x.record.tried, ","), ms(x.record.admit), ms(x.record.waited)
		fields["first_ms"] = ms(x.record.first)
	}
	if x.events > 0 || x.started {
		fields["events"] = x.events
	}
	if x.record.err != nil {
		fields["error"] = x.record.err.Error()
	}
	if err := x.read.Context().Err(); err != nil {
		fields["caller"] = "left"
	}
	x.entry.o.Log.WithFields(fields).Info("request ended")
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (x *exchange) count(took time.Duration) {
	route := "none"
	if x.route != nil {
		route = x.route.Name
	}
	outcome := strconv.Itoa(x.record.status)
	if x.record.aborted {
		outcome = "aborted"
	}
	registry := x.entry.o.Metrics
	gometrics.GetOrRegisterCounter("forward_requests;route="+route+";outcome="+outcome, registry).Inc(1)
	gometrics.GetOrRegisterTimer("forward_latency;route="+route, registry).Update(took)
}
