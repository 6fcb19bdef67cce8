package ledger

import (
	"context"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/server/bootclock"
)

const (
	// repeatInterval is the time between two checks for settlements that are due again.
	repeatInterval = 100 * time.Millisecond
	// maxRepeated bounds the settlements that are repeated at a time.
	maxRepeated = 1000
	// droppedLogInterval is the shortest time between two log lines about dropped settlements.
	droppedLogInterval = time.Second
	// flushInterval is the time between two checks of Flush.
	flushInterval = 5 * time.Millisecond
)

// settlementList repeats settlements to the leader. A connection on which it is sent gets
// acknowledgements.
type settlementList struct {
	// Entry identifies the entry. Its later connections replace the earlier ones.
	Entry string
	// Introduces is set in the first list on a connection.
	Introduces bool
	Settles    []ledger.Settle
}

// settledMessage answers settlements.
type settledMessage struct {
	// Applied are the ids of requests whose settlements are applied in the replicated log, and
	// Failed those of requests whose settlements were not committed.
	Applied, Failed []string
}

// settlementTracker holds the settlements of an entry until the ledger acknowledges them. It
// is safe for concurrent use.
type settlementTracker struct {
	log                                      *logrus.Entry
	acknowledged, repeated, dropped, expired gometrics.Counter

	mu          sync.Mutex
	outstanding ledger.Outstanding
	// unlogged is the number of dropped settlements since the last log line, at loggedAt.
	unlogged int
	loggedAt time.Duration
}

func newSettlementTracker(log *logrus.Entry, metrics gometrics.Registry) *settlementTracker {
	if metrics == nil {
		metrics = gometrics.NewRegistry()
	}
	counter := func(outcome string) gometrics.Counter {
		return gometrics.GetOrRegisterCounter("ledger_settlements;outcome="+outcome, metrics)
	}
	t := &settlementTracker{log: log, acknowledged: counter("acknowledged"), repeated: counter("repeated"), dropped: counter("dropped"), expired: counter("expired")}
	_ = metrics.Register("ledger_settlements_outstanding", gometrics.NewFunctionalGauge(func() int64 { return int64(t.len()) }))
	return t
}

// add stores a settlement that is sent again after the given delay.
func (t *settlementTracker) add(s ledger.Settle, delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := bootclock.Now()
	dropped := t.outstanding.Add(now, now+delay, s)
	if dropped == nil {
		return
	}
	t.dropped.Inc(1)
	t.unlogged++
	if now < t.loggedAt+droppedLogInterval {
		return
	}
	// The turn stays charged with its maximum number of tokens.
	t.log.WithFields(logrus.Fields{"event": "settlement_dropped", "request": dropped.Request, "program": dropped.Program.ID, "dropped": t.unlogged, "outstanding": t.outstanding.Len()}).Warn("settlements dropped: too many are not acknowledged")
	t.unlogged, t.loggedAt = 0, now
}

// answered takes an answer of the leader.
func (t *settlementTracker) answered(m settledMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, request := range m.Applied {
		if t.outstanding.Acknowledge(request) {
			t.acknowledged.Inc(1)
		}
	}
	for _, request := range m.Failed {
		t.outstanding.Failed(bootclock.Now(), request)
	}
}

// undelivered makes a settlement due whose done report was not sent.
func (t *settlementTracker) undelivered(r DoneReport) {
	if r.Settle == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outstanding.Failed(bootclock.Now(), r.Settle.Request)
}

// all returns all settlements and the age of the oldest, for a new connection.
func (t *settlementTracker) all() ([]ledger.Settle, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := bootclock.Now()
	all := t.outstanding.All(now)
	t.repeated.Inc(int64(len(all)))
	return all, t.outstanding.Age(now)
}

// due returns the settlements that have to be sent again.
func (t *settlementTracker) due() []ledger.Settle {
	t.mu.Lock()
	defer t.mu.Unlock()
	due := t.outstanding.Due(bootclock.Now(), maxRepeated)
	t.repeated.Inc(int64(len(due)))
	return due
}

// expire removes the settlements that have been repeated for maxReportAge to a leader that
// does not acknowledge any.
func (t *settlementTracker) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expired.Inc(int64(t.outstanding.Expire(bootclock.Now() - maxReportAge)))
}

func (t *settlementTracker) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outstanding.Len()
}

// introduceSettlements sends a new leader the settlements that no leader has acknowledged. The
// caller holds c.mu.
func (c *Client) introduceSettlements(l *clientLink) error {
	l.settlements.Store(c.settlements)
	l.introducedAt = bootclock.Now()
	all, age := c.settlements.all()
	if len(all) > 0 {
		c.options.Log.WithFields(logrus.Fields{"event": "settlements_repeated", "leader": l.address, "settlements": len(all), "oldest_ms": age.Milliseconds()}).Info("settlements repeated over a new connection")
	}
	return c.sendSettlements(l, all, true)
}

// sendSettlements sends settlements in lists that fit into one message each. It sends at least
// one list if it introduces the entry.
func (c *Client) sendSettlements(l *clientLink, settles []ledger.Settle, introduces bool) error {
	lists := divide(settles, settleTextBytes)
	if introduces && len(lists) == 0 {
		lists = append(lists, nil)
	}
	for i, list := range lists {
		if err := l.send(kindSettlements, &settlementList{Entry: c.options.Entry, Introduces: introduces && i == 0, Settles: list}); err != nil {
			return err
		}
	}
	return nil
}

// settleTextBytes returns the size of the texts of a settlement.
func settleTextBytes(s ledger.Settle) int {
	return len(s.Request) + len(s.Program.Organisation) + len(s.Program.ID)
}

// repeatSettlements sends settlements again that were not acknowledged in time, until ctx ends.
func (c *Client) repeatSettlements(ctx context.Context) {
	for ctx.Err() == nil {
		c.repeatDue()
		pause(ctx, repeatInterval)
	}
}

// repeatDue sends the settlements that are due to the leader, or searches for one.
func (c *Client) repeatDue() {
	if c.settlements.len() == 0 {
		return
	}
	c.mu.Lock()
	l := c.link
	c.startReconnect()
	c.mu.Unlock()
	if l == nil {
		return
	}
	due := c.settlements.due()
	if !l.repeated && !l.acknowledges.Load() && bootclock.Now() > l.introducedAt+ledger.SettlementRetryDelay {
		// The leader is of an earlier release, and has ignored the list.
		l.repeated = true
		due, _ = c.settlements.all()
	}
	if len(due) == 0 {
		return
	}
	if err := c.repeat(l, due); err != nil {
		c.connectionFailed(l, err)
	}
}

// repeat sends settlements in the form that the leader understands. One that does not
// acknowledge settlements is of an earlier release, which only reads done reports.
func (c *Client) repeat(l *clientLink, settles []ledger.Settle) error {
	if l.acknowledges.Load() {
		return c.sendSettlements(l, settles, false)
	}
	for _, s := range settles {
		if err := l.send(kindDone, &DoneReport{ID: s.Request, Result: dispatch.Abandoned, Settle: &s}); err != nil {
			return err
		}
	}
	c.settlements.expire()
	return nil
}

// trackRelease stores the settlement of a request that the leader has refused. The leader
// releases the reservation itself; the settlement is repeated if that does not succeed. It is
// stored before the next message is read, which may answer it. The caller holds l.mu.
func (l *clientLink) trackRelease(key admissionKey, response AdmitResponse) {
	r := l.pendingReserves[key]
	tracker := l.settlements.Load()
	if r == nil || tracker == nil || response.Refusal == "" || response.Refusal == dispatch.PathLost || !l.acknowledges.Load() {
		return
	}
	tracker.add(*Settlement(r, 0), ledger.SettlementTimeout)
}

// Flush waits until all settlements are acknowledged or ctx ends.
func (c *Client) Flush(ctx context.Context) {
	for c.settlements.len() > 0 && ctx.Err() == nil {
		pause(ctx, flushInterval)
	}
	if left := c.settlements.len(); left > 0 {
		c.options.Log.WithFields(logrus.Fields{"event": "settlements_left", "settlements": left}).Warn("settlements were not acknowledged before the end of the process")
	}
}
