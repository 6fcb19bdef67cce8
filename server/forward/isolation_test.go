package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/bootclock"
	ledgerhost "hemlockvale.dev/server/ledger"
	"hemlockvale.dev/server/registry"
	"hemlockvale.dev/server/relay"
	"hemlockvale.dev/server/rpc"
)

const (
	// reactionTime is the time after which callers of an isolated entry must be served.
	reactionTime = 3 * time.Second
	// firstTries is the number of requests that are counted then, and minServed the share of
	// them that must be served.
	firstTries = 60
	minServed  = 2.0 / 3
	// isolationCallers is the number of callers that send requests concurrently.
	isolationCallers = 6
)

// cutMode is the way in which a VM has lost its links to targets.
type cutMode int32

const (
	// notCut means that the links are sound.
	notCut cutMode = iota
	// silentCut means that nothing arrives any more.
	silentCut
	// resetCut means that connections are reset and new ones are refused.
	resetCut
	// refusingCut means that connections live on while new ones are refused.
	refusingCut
)

// network makes the connections of one VM to targets.
type network struct {
	mode atomic.Int32
	// ended is closed and replaced when the mode changes.
	mu    sync.Mutex
	ended chan struct{}
	conns map[*cutConn]struct{}
}

func newNetwork() *network {
	return &network{ended: make(chan struct{}), conns: make(map[*cutConn]struct{})}
}

// set changes the mode.
func (n *network) set(m cutMode) {
	n.mode.Store(int32(m))
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.ended)
	n.ended = make(chan struct{})
	if m == resetCut {
		for c := range n.conns {
			c.Close()
		}
	}
}

// connect implements Options.Connect.
func (n *network) connect(ctx context.Context, address string) (net.Conn, error) {
	switch cutMode(n.mode.Load()) {
	case silentCut:
		timer := time.NewTimer(dialTimeout)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
		}
	case resetCut, refusingCut:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	raw, err := connectTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &cutConn{TCPConn: raw.(*net.TCPConn), network: n, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
	return c, nil
}

// cutConn is a connection that falls silent when its network is cut. Bytes that were sent
// meanwhile are lost.
type cutConn struct {
	*net.TCPConn
	network *network
	closed  chan struct{}
	once    sync.Once
}

func (c *cutConn) silent() bool { return cutMode(c.network.mode.Load()) == silentCut }

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.silent() && !errors.Is(err, net.ErrClosed) {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.silent() {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// sharedLedger grants the requests of several entries with a dispatcher.
type sharedLedger struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	addresses  map[string]string
	waiting    map[string]chan dispatch.Outcome
	losses     int
}

func newSharedLedger(targets []catalog.Target) *sharedLedger {
	l := &sharedLedger{dispatcher: dispatch.New(bootclock.Now(), 1), addresses: make(map[string]string), waiting: make(map[string]chan dispatch.Outcome)}
	var list []dispatch.Target
	for _, t := range targets {
		l.addresses[t.ID] = t.Address
		list = append(list, dispatch.Target{ID: t.ID, Service: t.Service, Slots: t.Slots})
	}
	l.dispatcher.SetTargets(bootclock.Now(), list)
	return l
}

func (l *sharedLedger) Admit(ctx context.Context, r ledgerhost.AdmitRequest) (ledgerhost.AdmitResponse, error) {
	l.mu.Lock()
	o := l.dispatcher.Admit(bootclock.Now(), r.Request)
	granted := make(chan dispatch.Outcome, 1)
	l.waiting[r.ID] = granted
	l.mu.Unlock()
	if o.Waiting() {
		select {
		case o = <-granted:
		case <-ctx.Done():
			return ledgerhost.AdmitResponse{}, ctx.Err()
		}
	}
	return ledgerhost.AdmitResponse{ID: r.ID, Target: o.Target, Address: l.addresses[o.Target], Refusal: o.Refusal, RetryAfter: o.RetryAfter}, nil
}

func (l *sharedLedger) Done(r ledgerhost.DoneReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Target == "" {
		l.dispatcher.Cancel(r.ID)
		return
	}
	for _, o := range l.dispatcher.Done(bootclock.Now(), r.ID, r.Target, r.Result, r.Units) {
		l.waiting[o.ID] <- o
	}
}

func (l *sharedLedger) ReportLoss(ledgerhost.LossReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losses++
}

// lostResponses returns the number of losses that were reported so far.
func (l *sharedLedger) lostResponses() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.losses
}

func (l *sharedLedger) ReportLeaving(catalog.Incarnation)             {}
func (l *sharedLedger) Confirm(context.Context, ledger.Reserve) error { return nil }
func (l *sharedLedger) ObserveRate(ledgerhost.RateObservation)        {}
func (l *sharedLedger) Keep(context.Context, history.Keep) error      { return nil }

// countingTarget answers requests and counts how often it ran each.
type countingTarget struct {
	mu    *sync.Mutex
	runs  map[string]int
	delay time.Duration
	// left counts the requests that were cancelled while they ran.
	left *atomic.Int64
	// brokenStreams is set while streams end inside their second event.
	brokenStreams *atomic.Bool
}

func (g countingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	g.mu.Lock()
	g.runs[r.Header.Get("Id")]++
	g.mu.Unlock()
	select {
	case <-time.After(g.delay):
	case <-r.Context().Done():
		g.left.Add(1)
		return
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signature", "s")
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		for n := 1; n <= 3; n++ {
			if g.brokenStreams.Load() && n == 2 {
				fmt.Fprint(w, "id: 2\nda")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			fmt.Fprint(w, eventText(n))
			_ = http.NewResponseController(w).Flush()
		}
		return
	}
	fmt.Fprint(w, "fine")
}

// site is a deployment of entries in one process, with a network for each.
type site struct {
	networks []*network
	servers  []*httptest.Server
	entries  []*Entry
	isolated []atomic.Bool
	targets  countingTarget
	ledger   *sharedLedger

	mu     sync.Mutex
	relays []net.Conn
}

// cutRelays closes the connections between entries.
func (s *site) cutRelays() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.relays {
		c.Close()
	}
}

func startSite(t *testing.T, entries int, delay time.Duration) *site {
	t.Helper()
	return startSiteWith(t, entries, 3, delay)
}

// startSiteWith is startSite with a number of targets for each of the two services.
func startSiteWith(t *testing.T, entries, targetsPerService int, delay time.Duration) *site {
	t.Helper()
	s := &site{targets: countingTarget{mu: &sync.Mutex{}, runs: make(map[string]int), delay: delay, left: &atomic.Int64{}, brokenStreams: &atomic.Bool{}}, isolated: make([]atomic.Bool, entries)}
	var targets []catalog.Target
	for n := range 2 * targetsPerService {
		server := httptest.NewServer(s.targets)
		t.Cleanup(server.Close)
		service := map[bool]string{true: "plain", false: "engine"}[n < targetsPerService]
		targets = append(targets, catalog.Target{ID: fmt.Sprint("t", n), Service: service, Address: server.Listener.Addr().String(), Slots: 8, State: catalog.Ready})
	}
	s.ledger = newSharedLedger(targets)
	plain, engine := []routing.Destination{{Service: "plain", Weight: 1}}, []routing.Destination{{Service: "engine", Weight: 1}}
	table := routing.NewTable(routing.Configuration{
		Version: 1, Services: []routing.Service{{Name: "plain"}, {Name: "engine", Engine: &routing.Engine{Slots: 8, TokensPerEvent: 10}}},
		Routes: []routing.Route{
			{Name: "once", Host: "127.0.0.1", PathPrefix: "/once/", Kind: routing.NonIdempotent, TimeoutMS: 2000, MaxAttempts: 1, Public: true, Destinations: plain},
			{Name: "again", Host: "127.0.0.1", PathPrefix: "/again/", Kind: routing.Idempotent, TimeoutMS: 2000, MaxAttempts: 2, Public: true, Destinations: plain},
			{Name: "stream", Host: "127.0.0.1", PathPrefix: "/stream/", Kind: routing.Streaming, TimeoutMS: 2000, MaxAttempts: 1, Resumable: true, Public: true, Destinations: engine},
		},
	})
	view := &registry.View{Revision: 1, Table: table, Targets: targets}
	log := logrus.New()
	log.SetOutput(io.Discard)
	addresses := make([]string, entries)
	for n := range entries {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addresses[n] = listener.Addr().String()
		network := newNetwork()
		e := New(Options{
			View: func() *registry.View { return view }, Current: func() bool { return true }, Age: func() time.Duration { return 0 },
			Ledger: s.ledger, Histories: newTestHistories(), HeaderCodec: testCodec{}, Address: addresses[n], Connect: network.connect,
			OnIsolation: func(lost bool) { s.isolated[n].Store(lost) },
			Peers: func(context.Context) ([]string, error) {
				var sound []string
				for other := range entries {
					if other != n && !s.isolated[other].Load() {
						sound = append(sound, addresses[other])
					}
				}
				return sound, nil
			},
			Log: logrus.NewEntry(log), Metrics: gometrics.NewRegistry(),
		})
		relays := relay.NewServer(e, e.AcceptRelay, logrus.NewEntry(log))
		server := rpc.NewServer(logrus.NewEntry(log))
		server.HandleConn(relay.Preface, func(c net.Conn, r *bufio.Reader) {
			s.mu.Lock()
			s.relays = append(s.relays, c)
			s.mu.Unlock()
			relays.HandleConn(c, r)
		})
		go func() { _ = server.Serve(listener) }()
		go func() { _ = relays.Serve() }()
		callers := httptest.NewServer(e)
		t.Cleanup(func() {
			callers.Close()
			server.Close()
			_ = relays.Stop(context.Background())
		})
		s.networks, s.entries, s.servers = append(s.networks, network), append(s.entries, e), append(s.servers, callers)
	}
	return s
}

// send sends one request of a kind to an entry and reports whether it was served whole.
func (s *site) send(t *testing.T, entry int, kind, id string) (status int, served bool) {
	t.Helper()
	status, body, err := post(t, s.servers[entry], "/"+kind+"/x", "Id", id, "Left", "1500ms")
	want := map[bool]string{true: eventText(1) + eventText(2) + eventText(3), false: "fine"}[kind == "stream"]
	return status, err == nil && status == http.StatusOK && body == want
}

// requestKinds are the kinds of requests in these tests.
var requestKinds = []string{"once", "again", "stream"}

// serveMany sends requests to an entry from several callers and returns the number served.
// It checks that none ran twice, and that what was refused did not run.
func (s *site) serveMany(t *testing.T, entry, n int, name string) int {
	t.Helper()
	var served atomic.Int64
	var wg sync.WaitGroup
	for k := range isolationCallers {
		wg.Go(func() {
			for i := k; i < n; i += isolationCallers {
				id := fmt.Sprint(name, i)
				kind := requestKinds[i%len(requestKinds)]
				status, ok := s.send(t, entry, kind, id)
				if ok {
					served.Add(1)
				}
				s.checkRuns(t, id, kind, status)
			}
		})
	}
	wg.Wait()
	return int(served.Load())
}

func (s *site) checkRuns(t *testing.T, id, kind string, status int) {
	t.Helper()
	s.targets.mu.Lock()
	defer s.targets.mu.Unlock()
	if kind == "once" {
		assert.LessOrEqual(t, s.targets.runs[id], 1, "request %s", id)
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		assert.Zero(t, s.targets.runs[id], "request %s was refused as not run", id)
	}
}

// TestCallersOfAnIsolatedEntryAreServed guards against callers whose requests fail because
// their entry has lost its links to all targets, and against an entry that goes on without
// its links when they are back.
func TestCallersOfAnIsolatedEntryAreServed(t *testing.T) {
	for name, mode := range map[string]cutMode{"silent": silentCut, "reset": resetCut, "refusing": refusingCut} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 4, 5*time.Millisecond)
			require.Equal(t, firstTries, s.serveMany(t, 0, firstTries, "before "))
			s.networks[0].set(mode)
			s.networks[1].set(mode)
			cutAt := time.Now()
			for time.Since(cutAt) < reactionTime {
				s.serveMany(t, 0, isolationCallers, fmt.Sprint("early ", time.Now().UnixNano(), " "))
			}
			served := s.serveMany(t, 0, firstTries, "late ")
			t.Logf("served %d of %d", served, firstTries)
			assert.Greater(t, float64(served), minServed*firstTries)
			assert.Equal(t, firstTries, s.serveMany(t, 2, firstTries, "others "), "callers of sound entries")
			if mode != refusingCut {
				assert.True(t, s.isolated[0].Load(), "others are told")
			}
			s.networks[0].set(notCut)
			require.Eventually(t, func() bool { return !s.isolated[0].Load() && !s.entries[0].paths.isolated() }, 5*time.Second, 10*time.Millisecond)
			before := s.entries[0].offers.Load()
			assert.Equal(t, firstTries, s.serveMany(t, 0, firstTries, "after "))
			assert.Equal(t, before, s.entries[0].offers.Load(), "requests are not relayed any more")
		})
	}
}

// TestFirstRequestAfterACut guards against an entry without traffic whose first callers
// after a cut wait until their time is over.
func TestFirstRequestAfterACut(t *testing.T) {
	s := startSite(t, 2, 0)
	s.networks[0].set(silentCut)
	for i, kind := range []string{"again", "stream", "once", "once"} {
		start := time.Now()
		_, served := s.send(t, 0, kind, fmt.Sprint("first ", i))
		assert.True(t, served, kind)
		assert.Less(t, time.Since(start), 1500*time.Millisecond)
	}
}

// TestIsolatedEntriesDoNotRelayInCircles guards against requests that isolated entries pass
// to each other, and against refusals that come late or are untrue.
func TestIsolatedEntriesDoNotRelayInCircles(t *testing.T) {
	s := startSite(t, 3, 0)
	for n := range s.networks {
		s.networks[n].set(resetCut)
		s.serveMany(t, n, 2*isolationCallers, fmt.Sprint("early ", n, " "))
	}
	start := time.Now()
	assert.Zero(t, s.serveMany(t, 0, isolationCallers, "late "))
	assert.Less(t, time.Since(start), time.Second, "refused at once")
	for n := range s.networks {
		assert.True(t, s.entries[n].paths.isolated())
		assert.ErrorIs(t, s.entries[n].AcceptRelay(relay.Offer{}), errNoLinks)
	}
}

// TestRequestOfAnEntryThatCannotConnectIsPassedOn guards against a request that is refused after
// its entry could connect to none of the granted targets, because responses on kept
// connections hide that the entry has no way to the others.
func TestRequestOfAnEntryThatCannotConnectIsPassedOn(t *testing.T) {
	s := startSiteWith(t, 2, 2*maxPlacements, 0)
	s.networks[0].set(refusingCut)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			s.entries[0].paths.heard("t0")
			time.Sleep(time.Millisecond)
		}
	}()
	for i, kind := range requestKinds {
		_, served := s.send(t, 0, kind, fmt.Sprint("first ", i))
		assert.True(t, served, kind)
	}
}

// TestLostRelayIsNotRepeated guards against a request that runs twice, or is refused as not
// run, because the entry that took it is lost.
func TestLostRelayIsNotRepeated(t *testing.T) {
	s := startSite(t, 2, 300*time.Millisecond)
	s.networks[0].set(resetCut)
	for _, kind := range requestKinds {
		id := "lost " + kind
		time.AfterFunc(150*time.Millisecond, s.cutRelays)
		status, served := s.send(t, 0, kind, id)
		assert.False(t, served, kind)
		assert.NotEqual(t, http.StatusServiceUnavailable, status, kind)
		s.targets.mu.Lock()
		assert.Equal(t, 1, s.targets.runs[id], kind)
		s.targets.mu.Unlock()
	}
}

// TestCallerLeavesARelayedRequest guards against targets that go on to work for a caller
// that has left the entry which relayed its request.
func TestCallerLeavesARelayedRequest(t *testing.T) {
	s := startSite(t, 2, 5*time.Second)
	s.networks[0].set(resetCut)
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.servers[0].URL+"/again/x", strings.NewReader("body"))
	require.NoError(t, err)
	request.Header.Set("Id", "left")
	go func() {
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	}()
	require.Eventually(t, func() bool {
		s.targets.mu.Lock()
		defer s.targets.mu.Unlock()
		return s.targets.runs["left"] > 0
	}, 2*time.Second, time.Millisecond)
	cancel()
	require.Eventually(t, func() bool { return s.targets.left.Load() > 0 }, 500*time.Millisecond, time.Millisecond)
}

// TestOlderEntryDeclines guards against a request that is decided by a configuration older
// than that of the entry which the caller asked.
func TestOlderEntryDeclines(t *testing.T) {
	s := startSite(t, 1, 0)
	assert.NoError(t, s.entries[0].AcceptRelay(relay.Offer{Version: 1}))
	assert.ErrorIs(t, s.entries[0].AcceptRelay(relay.Offer{Version: 2}), errNotReady)
}

// TestSlowTargetsAreNoCut guards against connections that are opened to targets which only
// take their time, and against requests that are given up there.
func TestSlowTargetsAreNoCut(t *testing.T) {
	s := startSite(t, 2, 1200*time.Millisecond)
	assert.Equal(t, isolationCallers, s.serveMany(t, 0, isolationCallers, "slow "))
	assert.LessOrEqual(t, s.entries[0].pool.opened.Load(), int64(3*isolationCallers))
	assert.Zero(t, s.entries[0].offers.Load())
	assert.Zero(t, s.ledger.lostResponses())
}
