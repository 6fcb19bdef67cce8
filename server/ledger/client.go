package ledger

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/coord/ledger"
)

const (
	// electionWait bounds the wait of a request for a leader. An election takes less
	// than a second.
	electionWait = 1200 * time.Millisecond
	// unavailableWait bounds the wait of a request for a leader once no store VM has
	// admitted requests for longer than electionWait.
	unavailableWait = 150 * time.Millisecond
	// reportQueueSize bounds the number of queued done reports.
	reportQueueSize = 8192
	// maxReportAge is the time during which sending a done report is retried.
	maxReportAge = 10 * time.Second
	// unconfirmedDelay is the delay before a change is requested again that the leader
	// could not commit.
	unconfirmedDelay = 20 * time.Millisecond
)

var (
	// ErrUnavailable reports that no store VM admitted or confirmed the request in
	// time.
	ErrUnavailable = errors.New("no store VM admits requests")
	// ErrExhausted reports that the reservation of a turn was lost, and that the
	// program's budget no longer covers it.
	ErrExhausted = errors.New("the program's budget is exhausted")
	// ErrHolderRetired reports that a VM which should hold a history is being retired.
	ErrHolderRetired = errors.New("a holder of the history is being retired")
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Leader returns the RPC address of the leader that the control role last
	// reported. It may be empty or out of date.
	Leader func() string
	// Stores returns the RPC addresses of all known store VMs.
	Stores func() []string
	// Entry identifies this entry among those of the deployment; empty means a random name.
	Entry string
	// Log receives the client's events.
	Log *logrus.Entry
	// Metrics receives the counters of settlements; nil means that they are not published.
	Metrics gometrics.Registry
}

// Client sends admission requests and done reports from an entry to the ledger's
// leader. It is safe for concurrent use.
type Client struct {
	options     ClientOptions
	reports     chan queuedReport
	settlements *settlementTracker

	mu   sync.Mutex
	link *clientLink
	// searchDone is closed when the current search for the leader ends; nil if there is
	// none.
	searchDone chan struct{}
	// reconnecting is set while reconnect runs.
	reconnecting bool
	// lostLeader is the address of the leader whose connection failed last, and successor
	// that of the leader that it named; both are empty while there is a connection.
	lostLeader, successor string
	// members are the store VMs that last were known to hold a replica of the ledger.
	members []string
	// rates are the rate limits of targets that the leader must know.
	rates knownRates
	// origins are those of the streams of this entry.
	origins knownOrigins
	// losses are the latest responses that this entry lost.
	losses knownLosses
	// breaks are those of connections of this entry to targets.
	breaks knownBreaks
	// leaving are the targets that have stated to this entry that they leave.
	leaving ledger.LeavingTargets
	// cold are the targets that have stated to this entry that they are cold.
	cold coldStatements
	// earlier holds the store VMs that are tried in the form of an earlier release next.
	earlier map[string]bool
	// searches counts the searches; offset makes entries ask different store VMs.
	searches, offset int
	// failedSearches is the number of searches since the leader was last found.
	failedSearches int
	// unavailableSince is the time of the first failure since a store VM last decided
	// about a request; zero if there was none.
	unavailableSince time.Time
}

// queuedReport is a done report, or the report of a stored turn, with the time at which it was
// queued.
type queuedReport struct {
	DoneReport
	// stored is set in the report of a stored turn.
	stored   *history.Keep
	queuedAt time.Time
}

// NewClient returns a client. Run must be called to send its done reports.
func NewClient(options ClientOptions) *Client {
	if options.Entry == "" {
		options.Entry = uuid.NewString()
	}
	return &Client{options: options, settlements: newSettlementTracker(options.Log, options.Metrics), reports: make(chan queuedReport, reportQueueSize), rates: make(knownRates), cold: make(coldStatements), earlier: make(map[string]bool), origins: knownOrigins{byRequest: make(map[string]originUntil)}, offset: rand.IntN(math.MaxInt16)}
}

// Admit requests a target for r and retries until a store VM decides about it. It
// returns ErrUnavailable if ctx ends or no leader is found in time.
func (c *Client) Admit(ctx context.Context, r AdmitRequest) (AdmitResponse, error) {
	start := time.Now()
	timeLimit := r.TimeLeft
	for sent := false; ; sent = true {
		searchCtx, cancel := context.WithTimeout(ctx, c.leaderWait(timeLimit)-time.Since(start))
		l := c.connect(searchCtx)
		cancel()
		if l == nil {
			return AdmitResponse{}, fmt.Errorf("%w: %w", ErrUnavailable, context.DeadlineExceeded)
		}
		if l.load.refuses(&r) {
			if sent && r.Reserve != nil {
				// The leader that the request was sent to before may have reserved its tokens.
				c.settlements.add(*Settlement(r.Reserve, 0), 0)
			}
			return refusedByEntry(&r), nil
		}
		r.TimeLeft = timeLimit - time.Since(start)
		response, err := l.admit(ctx, r)
		if err == nil {
			c.recordResponse(l, r, response)
			return response, nil
		}
		if ctx.Err() != nil {
			return response, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
		c.connectionFailed(l, err)
	}
}

// Confirm returns nil once the reservation of a turn is durable. It returns
// ErrUnavailable if ctx ends first, and ErrExhausted if the budget does not cover the
// turn.
func (c *Client) Confirm(ctx context.Context, r ledger.Reserve) error {
	return c.untilCommitted(ctx, func(l *clientLink) (bool, error) {
		state, err := l.confirm(ctx, r)
		if err == nil && state == stateExhausted {
			err = ErrExhausted
		}
		return state == stateDurable, err
	})
}

// Keep returns nil once the directory on a quorum of disks has the holders of a turn. It
// returns ErrUnavailable if ctx ends first, and ErrHolderRetired if other holders must be
// used.
func (c *Client) Keep(ctx context.Context, k history.Keep) error {
	return c.untilCommitted(ctx, func(l *clientLink) (bool, error) {
		state, err := l.keep(ctx, k)
		if err == nil && state == keepRefused {
			err = ErrHolderRetired
		}
		return state == keepDurable, err
	})
}

// untilCommitted requests a change from the leader until it is committed or refused. It
// returns ErrUnavailable if ctx ends first.
func (c *Client) untilCommitted(ctx context.Context, request func(*clientLink) (committed bool, err error)) error {
	for {
		l := c.connect(ctx)
		if l == nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
		committed, err := request(l)
		switch {
		case err == nil && committed:
			return nil
		case errors.Is(err, ErrExhausted), errors.Is(err, ErrHolderRetired):
			return err
		case ctx.Err() != nil:
			return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		case err != nil:
			c.connectionFailed(l, err)
		default:
			pause(ctx, unconfirmedDelay)
		}
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// leaderWait returns how long a request may wait for a leader. If no store VM has
// admitted requests for longer than an election takes, the wait is short, so that the
// caller gets an error early.
func (c *Client) leaderWait(timeLeft time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unavailableSince.IsZero() && time.Since(c.unavailableSince) > electionWait {
		return min(timeLeft, unavailableWait)
	}
	return min(timeLeft, electionWait)
}

// recordResponse records what a later leader must know of a granted request, and that a
// store VM admits requests.
func (c *Client) recordResponse(l *clientLink, r AdmitRequest, response AdmitResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.RateLimit != nil {
		c.rates.confirm(response.Target, *response.RateLimit)
	}
	c.origins.record(r, response)
	c.markAvailable(l)
}

// markAvailable logs the end of an outage. The caller holds c.mu.
func (c *Client) markAvailable(l *clientLink) {
	if c.unavailableSince.IsZero() {
		return
	}
	c.options.Log.WithFields(logrus.Fields{"event": "ledger_contact", "lost": false, "leader": l.address, "lost_ms": time.Since(c.unavailableSince).Milliseconds()}).Info("a store VM admits requests again")
	c.unavailableSince = time.Time{}
}

// connectionFailed closes a failed connection, so that the next request makes a new one.
func (c *Client) connectionFailed(l *clientLink, err error) {
	l.close(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != l {
		return
	}
	c.link, c.lostLeader = nil, l.address
	var n notLeader
	if errors.As(err, &n) {
		c.successor = n.Leader
	}
	c.markUnavailable(l.address, err)
	c.startReconnect()
}

// markUnavailable records and logs the first of several successive failures. The
// caller holds c.mu.
func (c *Client) markUnavailable(address string, err error) {
	if !c.unavailableSince.IsZero() {
		return
	}
	c.unavailableSince = time.Now()
	c.options.Log.WithFields(logrus.Fields{"event": "ledger_contact", "lost": true, "asked": address, "error": err}).Warn("store VM does not admit requests")
}

// Done queues a done report. It never blocks. The settlement in the report is repeated until a
// leader has acknowledged it.
func (c *Client) Done(r DoneReport) {
	if r.Settle != nil {
		c.settlements.add(*r.Settle, ledger.SettlementTimeout)
	}
	select {
	case c.reports <- queuedReport{DoneReport: r, queuedAt: time.Now()}:
	default:
		// The leader drops the grant when it expires.
		c.settlements.undelivered(r)
		c.options.Log.WithFields(logrus.Fields{"event": "done_dropped", "request": r.ID}).Warn("done report dropped: the queue is full")
	}
}

// Stored queues the report that the holders have the record of a turn. It never blocks. The leader
// asks the holders itself if the report is lost.
func (c *Client) Stored(t history.Turn, holders []string) {
	stored := &history.Keep{Turn: t, Holders: holders, Copied: true}
	select {
	case c.reports <- queuedReport{stored: stored, queuedAt: time.Now()}:
	default:
		c.options.Log.WithFields(logrus.Fields{"event": "stored_dropped", "turn": t.String()}).Warn("report of a stored turn dropped: the queue is full")
	}
}

// Settlement returns the change that replaces a reservation by the number of tokens
// that were used, or nil without a reservation.
func Settlement(r *ledger.Reserve, used int64) *ledger.Settle {
	if r == nil {
		return nil
	}
	return &ledger.Settle{Program: r.Program, Request: r.Request, Used: used}
}

// Run sends the queued reports until ctx ends, and repeats settlements until they are
// acknowledged. A report that was being sent when the connection failed can be lost; the grant
// then expires.
func (c *Client) Run(ctx context.Context) {
	go c.repeatSettlements(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-c.reports:
			c.sendReport(ctx, r)
		}
	}
}

func (c *Client) sendReport(ctx context.Context, r queuedReport) {
	ctx, cancel := context.WithDeadline(ctx, r.queuedAt.Add(maxReportAge))
	defer cancel()
	for {
		l := c.connect(ctx)
		if l == nil && r.stored != nil {
			c.options.Log.WithFields(logrus.Fields{"event": "stored_lost", "turn": r.stored.Turn.String()}).Warn("report of a stored turn was not delivered")
			return
		}
		if l == nil {
			c.settlements.undelivered(r.DoneReport)
			c.options.Log.WithFields(logrus.Fields{"event": "done_lost", "request": r.ID}).Warn("done report was not delivered")
			return
		}
		err := r.sendOn(l)
		if err == nil {
			return
		}
		c.connectionFailed(l, err)
	}
}

func (r *queuedReport) sendOn(l *clientLink) error {
	if r.stored != nil {
		return l.send(kindKeep, &keepRequest{Number: unansweredKeep, Keep: *r.stored})
	}
	return l.send(kindDone, &r.DoneReport)
}
