package ledger

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

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
	// dialRetryDelay is the delay after a search that did not find the leader.
	dialRetryDelay = 30 * time.Millisecond
	// maxDials bounds the connection attempts of one search.
	maxDials = 6
	// memberSearches is the number of searches after which one also asks store VMs that
	// are not known as members of the ledger's group.
	memberSearches = 4
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
	// Log receives the client's events.
	Log *logrus.Entry
}

// Client sends admission requests and done reports from an entry to the ledger's
// leader. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	reports chan queuedReport

	mu   sync.Mutex
	link *clientLink
	// searchDone is closed when the current search for the leader ends; nil if there is
	// none.
	searchDone chan struct{}
	// lostLeader is the address of the leader whose connection failed last, and successor
	// that of the leader that it named; both are empty while there is a connection.
	lostLeader, successor string
	// members are the store VMs that last were known to hold a replica of the ledger.
	members []string
	// searches counts the searches; offset makes entries ask different store VMs.
	searches, offset int
	// unavailableSince is the time of the first failure since a store VM last decided
	// about a request; zero if there was none.
	unavailableSince time.Time
}

// queuedReport is a done report with the time at which it was queued.
type queuedReport struct {
	DoneReport
	queuedAt time.Time
}

// NewClient returns a client. Run must be called to send its done reports.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, reports: make(chan queuedReport, reportQueueSize), offset: rand.IntN(math.MaxInt16)}
}

// Admit requests a target for r and retries until a store VM decides about it. It
// returns ErrUnavailable if ctx ends or no leader is found in time.
func (c *Client) Admit(ctx context.Context, r AdmitRequest) (AdmitResponse, error) {
	start := time.Now()
	timeLimit := r.TimeLeft
	for {
		searchCtx, cancel := context.WithTimeout(ctx, c.leaderWait(timeLimit)-time.Since(start))
		l := c.connect(searchCtx)
		cancel()
		if l == nil {
			return AdmitResponse{}, fmt.Errorf("%w: %w", ErrUnavailable, context.DeadlineExceeded)
		}
		r.TimeLeft = timeLimit - time.Since(start)
		response, err := l.admit(ctx, r)
		if err == nil {
			c.markAvailable(l)
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
	for {
		l := c.connect(ctx)
		if l == nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
		state, err := l.confirm(ctx, r)
		switch {
		case err == nil && state == stateDurable:
			return nil
		case err == nil && state == stateExhausted:
			return ErrExhausted
		case ctx.Err() != nil:
			return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		case err != nil:
			c.connectionFailed(l, err)
		default:
			pause(ctx, unconfirmedDelay)
		}
	}
}

// Keep returns nil once the directory on a quorum of disks has the holders of a turn. It
// returns ErrUnavailable if ctx ends first, and ErrHolderRetired if other holders must be
// used.
func (c *Client) Keep(ctx context.Context, k history.Keep) error {
	for {
		l := c.connect(ctx)
		if l == nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
		state, err := l.keep(ctx, k)
		switch {
		case err == nil && state == keepDurable:
			return nil
		case err == nil && state == keepRefused:
			return ErrHolderRetired
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

// connect returns the connection to the leader, or nil if ctx ends first. Concurrent
// callers wait for the same search.
func (c *Client) connect(ctx context.Context) *clientLink {
	for ctx.Err() == nil {
		c.mu.Lock()
		if c.link != nil {
			l := c.link
			c.mu.Unlock()
			return l
		}
		searchDone := c.searchDone
		if searchDone == nil {
			c.searchDone = make(chan struct{})
			go c.search(c.candidates())
			searchDone = c.searchDone
		}
		c.mu.Unlock()
		select {
		case <-searchDone:
		case <-ctx.Done():
		}
	}
	return nil
}

// candidates returns the addresses of the store VMs to try at once: the leader as far as
// it is known, which a new connection may still reach, and in turn one of the others, of
// which the members of the ledger's group come first. The caller holds c.mu.
func (c *Client) candidates() []string {
	c.searches++
	others := c.members
	if len(others) == 0 || c.searches%memberSearches == 0 {
		others = c.options.Stores()
	}
	var addresses []string
	for _, leader := range []string{c.successor, c.lostLeader, c.options.Leader()} {
		if leader != "" && !slices.Contains(addresses, leader) {
			addresses = append(addresses, leader)
		}
	}
	others = slices.DeleteFunc(slices.Clone(others), func(s string) bool { return slices.Contains(addresses, s) })
	if len(others) > 0 {
		addresses = append(addresses, others[(c.searches+c.offset)%len(others)])
	}
	return addresses
}

// search looks for the leader, first at the given addresses and then where the responses
// point, and uses the first connection to it.
func (c *Client) search(addresses []string) {
	c.mu.Lock()
	lostLeader := c.lostLeader
	c.mu.Unlock()
	results := make(chan dialResult, maxDials)
	tried := make(map[string]bool)
	pending := 0
	dial := func(address string) {
		if address == "" || tried[address] || len(tried) == maxDials {
			return
		}
		tried[address] = true
		pending++
		go func() {
			l, err := dialLink(address, lostLeader, c.connectionFailed)
			results <- dialResult{address, l, err}
		}()
	}
	for _, address := range addresses {
		dial(address)
	}
	var found *clientLink
	for pending > 0 && found == nil {
		r := <-results
		pending--
		found = r.link
		if r.err != nil {
			dial(c.noteDialError(r.address, r.err))
		}
	}
	// The connections that come later are not needed.
	go closeLinks(results, pending)
	if found == nil {
		time.Sleep(dialRetryDelay)
	}
	c.endSearch(found)
}

// dialResult is the result of one connection attempt.
type dialResult struct {
	address string
	link    *clientLink
	err     error
}

// closeLinks closes the connections of the next n results.
func closeLinks(results <-chan dialResult, n int) {
	for range n {
		if r := <-results; r.link != nil {
			r.link.close(nil)
		}
	}
}

// noteDialError records a failed connection attempt and returns the address of the leader
// that the store VM named, or "".
func (c *Client) noteDialError(address string, err error) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markUnavailable(address, err)
	var n notLeader
	if !errors.As(err, &n) {
		return ""
	}
	if len(n.Members) > 0 {
		c.members = n.Members
	}
	return n.Leader
}

// endSearch wakes the callers that wait for a search, which may have found the leader.
func (c *Client) endSearch(found *clientLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.searchDone)
	c.searchDone = nil
	if found == nil {
		return
	}
	c.link, c.lostLeader, c.successor = found, "", ""
	if len(found.members) > 0 {
		c.members = found.members
	}
}

// markAvailable records that a store VM admits requests, and logs the end of an outage.
func (c *Client) markAvailable(l *clientLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
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

// Done queues a done report. It never blocks.
func (c *Client) Done(r DoneReport) {
	select {
	case c.reports <- queuedReport{r, time.Now()}:
	default:
		// The leader drops the grant when it expires, and a turn stays charged with its
		// maximum number of tokens.
		c.options.Log.WithFields(logrus.Fields{"event": "done_dropped", "request": r.ID}).Warn("done report dropped: the queue is full")
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

// Run sends the queued done reports until ctx ends. A report that was being sent when
// the connection failed can be lost: the grant then expires, and a turn stays charged
// with its maximum number of tokens.
func (c *Client) Run(ctx context.Context) {
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
		if l == nil {
			c.options.Log.WithFields(logrus.Fields{"event": "done_lost", "request": r.ID}).Warn("done report was not delivered")
			return
		}
		err := l.send(kindDone, &r.DoneReport)
		if err == nil {
			return
		}
		c.connectionFailed(l, err)
	}
}
