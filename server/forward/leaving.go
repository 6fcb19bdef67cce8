package forward

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
	ledgerhost "hemlockvale.dev/server/ledger"
)

// leavingTargets holds the targets that have stated to this VM that they leave. They get no
// new request from it, whatever it is granted.
type leavingTargets struct {
	mu    sync.Mutex
	since map[catalog.Incarnation]time.Time
}

// add stores an incarnation and reports whether it is new.
func (l *leavingTargets) add(i catalog.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.since[i]; known {
		return false
	}
	if l.since == nil {
		l.since = make(map[catalog.Incarnation]time.Time)
	}
	l.since[i] = time.Now()
	return true
}

// has reports whether an incarnation has stated that it leaves.
func (l *leavingTargets) has(i catalog.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.since[i]
	return known
}

// leavingRetention is how long a leaving target is remembered that the catalog does not list
// any more. A leader that is behind may still grant it.
const leavingRetention = time.Minute

// expire forgets the targets that have left.
func (l *leavingTargets) expire(listed func(catalog.Incarnation) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, since := range l.since {
		if !listed(i) && time.Since(since) > leavingRetention {
			delete(l.since, i)
		}
	}
}

// incarnationOf returns the incarnation of the target that is granted.
func incarnationOf(grant ledgerhost.AdmitResponse) catalog.Incarnation {
	return catalog.Incarnation{Target: grant.Target, StartedUnixMS: grant.StartedUnixMS}
}

// observeLeaving records that a target leaves, if its response says so. Idle connections to it
// are closed.
func (x *exchange) observeLeaving(i catalog.Incarnation, leaving bool) {
	if !leaving || !x.entry.leaving.add(i) {
		return
	}
	x.entry.options.Log.WithFields(logrus.Fields{
		"event": "target_leaving", "target": i.Target, "request": x.call.ID, "age_ms": time.Now().UnixMilli() - i.StartedUnixMS,
	}).Info("target states that it leaves")
	gometrics.GetOrRegisterCounter("forward_targets_leaving", x.entry.options.Metrics).Inc(1)
	x.entry.pool.drop(i.Target)
	x.entry.options.Ledger.ReportLeaving(i)
}

// headerRelayLeaving names the incarnation of a leaving target in the response to another
// entry, which passes the target's statement on to its caller.
const headerRelayLeaving = "Hemlockvale-Leaving"

// stateLeaving adds the incarnation of a leaving target to the response to another entry.
func (x *exchange) stateLeaving(h http.Header) {
	h.Del(headerRelayLeaving)
	if i := incarnationOf(x.granted); x.offer != nil && x.entry.leaving.has(i) {
		h.Set(headerRelayLeaving, strconv.FormatInt(i.StartedUnixMS, 10)+" "+i.Target)
	}
}

// takeLeaving removes and records the incarnation that another entry has added.
func (x *exchange) takeLeaving(h http.Header) {
	started, target, found := strings.Cut(h.Get(headerRelayLeaving), " ")
	h.Del(headerRelayLeaving)
	if !found {
		return
	}
	unixMS, err := strconv.ParseInt(started, 10, 64)
	if err != nil {
		x.entry.options.Log.WithField("event", "relay_header_invalid").WithError(err).Warn("a header of another entry cannot be decoded")
		return
	}
	x.observeLeaving(catalog.Incarnation{Target: target, StartedUnixMS: unixMS}, true)
}
