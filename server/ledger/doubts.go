package ledger

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/quarantine"
	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/registry"
)

const (
	// breakRetention is how long an entry remembers a break of its connections to an
	// incarnation, and maxKnownBreaks bounds the incarnations.
	breakRetention = 5 * time.Minute
	maxKnownBreaks = 1000
	// refusalInterval is the shortest time between two reports of an entry that an incarnation
	// refuses connections.
	refusalInterval = 200 * time.Millisecond
	// heartbeatPollInterval is the time between two questions to control about the heartbeats of
	// targets in doubt. Targets send one in about 1.2 s.
	heartbeatPollInterval = 300 * time.Millisecond
	// maxAgeUnheard is how long a doubt lasts if all control VMs are of earlier releases, which do
	// not say what they heard: three heartbeats and their delay.
	maxAgeUnheard = 5 * time.Second
)

// processBreak tells the leader that a connection to an incarnation was refused or broke off.
type processBreak struct {
	catalog.Incarnation
	// Age is the time since the break.
	Age time.Duration
}

// sameProcess announces the next admission request as one that continues its stream on a
// connection that the entry had opened before the stream began.
type sameProcess struct {
	// ID and Attempt are those of the request.
	ID      string
	Attempt int
}

// knownBreak describes the breaks of an entry's connections to one incarnation. Its times are
// on the boot clock.
type knownBreak struct {
	// reportedAt is when the leader was last told.
	reportedAt time.Duration
	// since is when the first of the requests was granted that met the breaks, and last the
	// time of the latest break. A connection that was opened before since and serves after
	// last shows that the process is the same.
	since, last time.Duration
	// settled is set once the leader was told that the process is the same.
	settled bool
}

// knownBreaks holds the breaks of an entry's connections. It is not safe for concurrent use,
// except for open.
type knownBreaks struct {
	byIncarnation map[catalog.Incarnation]*knownBreak
	// open is the number of incarnations whose breaks are not settled.
	open atomic.Int64
}

// add records a break that a request met which was granted at the time since. It reports whether
// the leader has to be told: not if it was told of an earlier one, no longer ago than refusalInterval,
// that is not settled.
func (k *knownBreaks) add(i catalog.Incarnation, since, now time.Duration) bool {
	known := k.byIncarnation[i]
	if known == nil {
		k.expire(now)
		if len(k.byIncarnation) >= maxKnownBreaks {
			return true
		}
		if k.byIncarnation == nil {
			k.byIncarnation = make(map[catalog.Incarnation]*knownBreak)
		}
		known = &knownBreak{settled: true}
		k.byIncarnation[i] = known
	}
	fresh := known.settled || now >= known.reportedAt+refusalInterval
	if fresh {
		known.reportedAt = now
	}
	if known.settled {
		known.settled, known.since = false, since
		k.open.Add(1)
	}
	known.since, known.last = min(known.since, since), now
	return fresh
}

func (k *knownBreaks) expire(now time.Duration) {
	maps.DeleteFunc(k.byIncarnation, func(_ catalog.Incarnation, b *knownBreak) bool {
		expired := now > b.last+breakRetention
		if expired && !b.settled {
			k.open.Add(-1)
		}
		return expired
	})
}

// shownSame reports whether a connection shows that the process has survived the breaks. A
// request that was sent at the time sentAt, or later, was answered on it.
func (k *knownBreaks) shownSame(i catalog.Incarnation, openedAt, sentAt time.Duration) *knownBreak {
	if b := k.byIncarnation[i]; b != nil && !b.settled && openedAt < b.since && sentAt > b.last {
		return b
	}
	return nil
}

// reports returns what a new leader must hear: the breaks that are not settled, and the
// incarnations that have survived all of theirs.
func (k *knownBreaks) reports(now time.Duration) (open []processBreak, serving []catalog.Incarnation) {
	k.expire(now)
	for i, b := range k.byIncarnation {
		if b.settled {
			serving = append(serving, i)
		} else {
			open = append(open, processBreak{i, now - b.last})
		}
	}
	return open, serving
}

// ReportBreak tells the leader that a connection to an incarnation was refused or broke off
// while it served a request that was granted at the time grantedAt of the boot clock. ReportLoss
// implies it for a connection that broke off.
func (c *Client) ReportBreak(i catalog.Incarnation, grantedAt time.Duration) {
	c.mu.Lock()
	fresh := c.breaks.add(i, grantedAt, bootclock.Now())
	l := c.link
	c.startReconnect()
	c.mu.Unlock()
	if !fresh || l == nil {
		return
	}
	if err := l.send(kindBreaks, []processBreak{{Incarnation: i}}); err != nil {
		c.connectionFailed(l, err)
	}
}

// InDoubt reports whether a connection of this entry to an incarnation broke off or was refused
// and nothing has shown since that the process is the same.
func (c *Client) InDoubt(i catalog.Incarnation) bool {
	if c.breaks.open.Load() == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.breaks.byIncarnation[i]
	return b != nil && !b.settled
}

// ReportServing tells the leader that an incarnation serves on a connection that was opened at
// the time openedAt and got a request, or sent data, at the time aliveAt or later, if that
// settles breaks which this entry has reported. Both times are on the boot clock.
func (c *Client) ReportServing(i catalog.Incarnation, openedAt, aliveAt time.Duration) {
	if c.breaks.open.Load() == 0 {
		return
	}
	if l, err := c.sendServing(i, openedAt, aliveAt); err != nil {
		c.connectionFailed(l, err)
	}
}

// sendServing sends the report while it holds c.mu, so that it does not follow the report of a
// later break.
func (c *Client) sendServing(i catalog.Incarnation, openedAt, aliveAt time.Duration) (*clientLink, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.breaks.shownSame(i, openedAt, aliveAt)
	if b == nil || c.link == nil {
		return nil, nil
	}
	if err := c.link.send(kindServing, []catalog.Incarnation{i}); err != nil {
		return c.link, err
	}
	b.settled = true
	c.breaks.open.Add(-1)
	return c.link, nil
}

// reporter identifies the connection in reports about breaks: evidence settles what was
// reported before on the same connection.
func (l *link) reporter() string { return l.conn.RemoteAddr().String() }

// doubtLosses handles the lost responses among which connections broke off. Entries of earlier
// releases report only these. The caller holds h.mu.
func (h *Host) doubtLosses(reporter string, losses []LossReport) {
	for _, l := range losses {
		if l.Kind == quarantine.Disconnected {
			h.doubt(reporter, processBreak{l.Incarnation, l.Age})
		}
	}
}

// recordBreaks handles what an entry reports about connections. The caller holds h.mu.
func (h *Host) recordBreaks(reporter string, breaks []processBreak) {
	for _, b := range breaks {
		h.doubt(reporter, b)
	}
}

func (h *Host) doubt(reporter string, b processBreak) {
	now := bootclock.Now()
	if h.dispatcher.Doubt(now, now-b.Age, b.Target, b.StartedUnixMS, reporter) {
		h.logDoubt(b.Target, "began")
	}
}

// recordServing handles the evidence of an entry that processes have survived the breaks of its
// connections. The caller holds h.mu.
func (h *Host) recordServing(reporter string, serving []catalog.Incarnation) {
	for _, i := range serving {
		outcomes, certain := h.grants().Serving(bootclock.Now(), i.Target, i.StartedUnixMS, reporter)
		if certain {
			h.logDoubt(i.Target, "same_process")
		}
		h.deliverOutcomes(outcomes)
	}
}

// logDoubt logs and counts the begin or the end of a doubt about the software of a target. Each
// follows the report of a lost response or of an entry's connection, which are logged as well.
func (h *Host) logDoubt(target, outcome string) {
	gometrics.GetOrRegisterCounter("ledger_software_doubts;outcome="+outcome, h.options.Metrics).Inc(1)
	h.options.Log.WithFields(logrus.Fields{"event": "target_doubt", "target": target, "outcome": outcome}).Info("certainty about the software of a target changed")
}

// pollHeartbeats asks control which heartbeats it has received from the targets in doubt.
func (h *Host) pollHeartbeats(ctx context.Context) {
	h.mu.Lock()
	var doubted []string
	dispatcher := h.dispatcher
	if dispatcher != nil && h.leads() && h.options.Heartbeats != nil {
		doubted = dispatcher.Doubted()
	}
	h.mu.Unlock()
	if len(doubted) == 0 {
		return
	}
	askedAt := bootclock.Now()
	heartbeats, answered := h.options.Heartbeats(ctx, doubted)
	slices.SortFunc(heartbeats, func(a, b registry.Heartbeat) int { return int(b.AgeMS - a.AgeMS) })
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dispatcher != dispatcher {
		return
	}
	for _, b := range heartbeats {
		// The age was measured later, so that this is not after the receipt.
		at := askedAt - time.Duration(b.AgeMS+1)*time.Millisecond
		outcomes, certain := h.grants().Heartbeat(bootclock.Now(), at, b.Target, b.StartedUnixMS, b.Sequence)
		if certain {
			h.logDoubt(b.Target, "heartbeats")
		}
		h.deliverOutcomes(outcomes)
	}
	if answered == registry.HeartbeatsUnknown {
		h.expireDoubts(dispatcher)
	}
}

// expireDoubts ends old doubts, because no control VM can. The caller holds h.mu.
func (h *Host) expireDoubts(d *dispatch.Dispatcher) {
	before := d.Doubted()
	h.deliverOutcomes(h.grants().ExpireDoubts(bootclock.Now(), maxAgeUnheard))
	after := d.Doubted()
	for _, id := range before {
		if !slices.Contains(after, id) {
			h.logDoubt(id, "expired")
		}
	}
}
