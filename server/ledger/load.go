package ledger

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/overload"
	"hemlockvale.dev/server/bootclock"
)

const (
	// loadReportInterval is the shortest time between two load reports to one entry.
	loadReportInterval = 40 * time.Millisecond
	// loadReportRetention is the time in which an entry's refusals fall to none if the leader
	// states no further load.
	loadReportRetention = time.Second
	// overloadRetryAfter is the least retry delay of requests that an entry refuses for an
	// overloaded leader. The jitter at most doubles it.
	overloadRetryAfter = 500 * time.Millisecond
)

// loadReport tells an entry which requests to refuse for the leader.
type loadReport struct {
	// RefusedShare is the share of programs whose requests are refused, from 0 to 1.
	RefusedShare float64
}

// updateLoad measures how far the decider is behind. The caller holds h.mu.
func (h *Host) updateLoad() {
	before := h.refusedShare
	delay := h.inbox.delay(bootclock.Now())
	if !h.canAdmit() {
		h.overload.Pause(delay)
		return
	}
	h.refusedShare = h.overload.Update(delay)
	if (before == 0) != (h.refusedShare == 0) {
		h.options.Log.WithFields(logrus.Fields{"event": "ledger_overload", "refused_share": h.refusedShare, "queued": h.inbox.len()}).Info("the leader is overloaded or keeps up again")
	}
}

// reportLoad tells the entry which requests to refuse, again at each interval while there are
// any. The caller holds h.mu.
func (l *link) reportLoad() {
	share := l.host.refusedShare
	now := bootclock.Now()
	if share == 0 && l.statedShare == 0 || now < l.statedAt+loadReportInterval {
		return
	}
	l.statedShare, l.statedAt = share, now
	l.send(kindLoad, &loadReport{RefusedShare: share})
}

// leaderLoad is what an entry knows of the load of the leader. It is safe for concurrent use.
type leaderLoad struct {
	mu       sync.Mutex
	share    float64
	statedAt time.Time
}

func (l *leaderLoad) set(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share, l.statedAt = share, time.Now()
}

// refusedShare returns the share of programs whose requests are refused now.
func (l *leaderLoad) refusedShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.share == 0 {
		return 0
	}
	age := time.Since(l.statedAt)
	return l.share * max(0, 1-age.Seconds()/loadReportRetention.Seconds())
}

// refuses reports whether a request is refused for an overloaded leader. What is known to
// belong to a program that has started is not.
func (l *leaderLoad) refuses(r *AdmitRequest) bool {
	if r.Attempt > 0 || r.ContinuesProgram || r.Continues || r.PreviousTurn != "" {
		return false
	}
	share := l.refusedShare()
	if share == 0 {
		return false
	}
	key := r.Program
	if key == "" {
		key = r.ID
	}
	return overload.Refuses(share, key)
}

// refusedByEntry returns the response to a request that the entry refuses itself.
func refusedByEntry(r *AdmitRequest) AdmitResponse {
	return AdmitResponse{ID: r.ID, Attempt: r.Attempt, Refusal: dispatch.Overloaded, RetryAfter: overloadRetryAfter + rand.N(overloadRetryAfter)}
}
