// Package inbound bounds what the callers of a process can take of its descriptors, memory and
// goroutines, with the same code for each address that serves HTTP:
//   - the open connections of each address, in all and for each caller address;
//   - the time until the head of a request is complete, and without a byte of its body;
//   - the bytes and fields of a head, before net/http allocates them, and their sum over all heads;
//   - the bytes of bodies that a handler holds at once, where the handler has no quota of its own.
//
// Connections are closed when their peer stops reading; package progress does that. net/http reads
// the next request of a connection only after the response to the one before it is written.
package inbound

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"hemlockvale.dev/coord/connquota"
	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/metrics"
	"hemlockvale.dev/server/progress"
)

const (
	// minConnections is the lowest limit of connections of an address.
	minConnections = 8
	// defaultDescriptors is assumed if the limit of descriptors is not known.
	defaultDescriptors = 1024
	// defaultHeaderBytes is the limit of the header fields if the configuration states none.
	defaultHeaderBytes = 16384
	// headRoomBytes is left for the request line, which max_header_bytes does not count, and for
	// the bytes of the body that are read together with the head.
	headRoomBytes = 16 << 10
	// minFieldBytes is the size of the shortest field: a letter, a colon, a space and the end of
	// the line.
	minFieldBytes = 5
	// fieldCost is what net/http allocates for a field in addition to its bytes.
	fieldCost = 128
	// freeHeadBytes and freeHeadFields are the size up to which a head is not counted towards the
	// sum of all heads. The number of connections bounds such heads.
	freeHeadBytes, freeHeadFields = 4 << 10, 64
	// headsFraction is the part of the memory of the process that heads may hold, minHeads its
	// lowest value and defaultHeads that of a process without a limit.
	headsFraction = 0.08
	minHeads      = 4 << 20
	defaultHeads  = 16 << 20
	// minHeadTimeout and minIdleTimeout are the bounds if the configuration states lower ones or
	// none. Callers send heads within 3 s and keep idle connections for 12 s.
	minHeadTimeout = 5 * time.Second
	minIdleTimeout = 20 * time.Second
	// headTimeoutRoom and idleTimeoutRoom are added to the times of the configuration.
	headTimeoutRoom = 2 * time.Second
	idleTimeoutRoom = 5 * time.Second
	// stallTimeout is the time within which a byte of a body, or of a response at the caller, must
	// make progress.
	stallTimeout = 5 * time.Second
	// bodyTimeout bounds the time of a body at handlers that set no deadline of their own, and
	// discardTimeout that of a body that a handler has not read.
	bodyTimeout    = 30 * time.Second
	discardTimeout = time.Second
	// freeBodyBytes are the bytes of a body that are not reserved, and bodyStepBytes the step in
	// which the others are. bodyCopies is how often a body is held while it is handled.
	freeBodyBytes = 16 << 10
	bodyStepBytes = 64 << 10
	bodyCopies    = 2
	// reservationWait bounds the wait for memory for a step.
	reservationWait = 250 * time.Millisecond
	// logInterval is the time between two log lines.
	logInterval = time.Second

	// serverIdleTimeout and serverHeadTimeout are the timeouts of the http.Server. conn recognises
	// deadlines that are set from them, which no request has, and replaces them by those of the
	// current configuration.
	serverIdleTimeout = 50 * 365 * 24 * time.Hour
	serverHeadTimeout = 3 * serverIdleTimeout
)

// ErrMemory is returned for a body that there is no memory for.
var ErrMemory = errors.New("no memory for the body of the request")

// Options holds the limits and the dependencies of a Guard.
type Options struct {
	// Descriptors is the limit of descriptors of the process; 0 if it is not known.
	Descriptors uint64
	// MemoryLimit is the memory of the process in bytes; 0 for no limit. MemoryQuota is the part
	// that bodies may hold at handlers without a quota of their own.
	MemoryLimit, MemoryQuota int64
	// Limits returns the limits of the configuration; nil if the process has none.
	Limits func() routing.Limits
	// Log receives sampled lines about refused and closed connections; Metrics counts them.
	Log     *logrus.Entry
	Metrics gometrics.Registry
}

// Guard bounds the use of the addresses of a process. It is safe for concurrent use.
type Guard struct {
	options Options
	// heads are the bytes that heads hold.
	heads, maxHeads atomic.Int64
	// bodies and messages are two halves of the memory quota, so that callers can't use up what
	// the messages of other VMs need.
	bodies, messages *semaphore.Weighted

	mu       sync.Mutex
	loggedAt time.Time
	unlogged int
}

// New returns a Guard.
func New(o Options) *Guard {
	if o.Limits == nil {
		o.Limits = func() routing.Limits { return routing.Limits{} }
	}
	if o.Descriptors == 0 {
		o.Descriptors = defaultDescriptors
	}
	g := &Guard{options: o, bodies: semaphore.NewWeighted(o.MemoryQuota / 2), messages: semaphore.NewWeighted(o.MemoryQuota / 2)}
	g.maxHeads.Store(defaultHeads)
	if o.MemoryLimit > 0 {
		g.maxHeads.Store(max(minHeads, int64(float64(o.MemoryLimit)*headsFraction)))
	}
	gometrics.NewRegisteredFunctionalGauge("inbound_head_bytes", o.Metrics, g.heads.Load)
	return g
}

// Listener bounds the connections of an address for other VMs to a percentage of the descriptors.
// name is the name of the address in logs and metrics. The VMs have no shares.
func (g *Guard) Listener(name string, percent int, l net.Listener) net.Listener {
	limit := max(minConnections, int(g.options.Descriptors)*percent/100)
	bounded := &listener{Listener: l, guard: g, name: name, quota: connquota.New(limit)}
	gometrics.NewRegisteredFunctionalGauge(metrics.Name("inbound_connections", "address", name), g.options.Metrics, func() int64 {
		bounded.mu.Lock()
		defer bounded.mu.Unlock()
		return int64(bounded.quota.Connections())
	})
	return bounded
}

// HTTPListener is Listener for callers of a server that Configure has prepared. Connections whose
// peer does not read are closed, unless closesStalled states that l closes them itself.
func (g *Guard) HTTPListener(name string, percent int, l net.Listener, closesStalled bool) net.Listener {
	if !closesStalled {
		l = &progress.Listener{Listener: l, Timeout: stallTimeout, OnStall: func() { g.note(name, "", "caller_stalled") }}
	}
	bounded := g.Listener(name, percent, l).(*listener)
	bounded.http = true
	return bounded
}

// Configure prepares a server whose listener is an HTTPListener. With reserveBodies, the bodies
// that its handler reads are reserved. It must be called before the server serves, and replaces
// its handler, timeouts and ConnContext.
func (g *Guard) Configure(s *http.Server, reserveBodies bool) {
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		b := c.beginRequest(r)
		defer c.endRequest(b)
		if b != nil {
			b.reserves = reserveBodies
			r.Body = b
		}
		next.ServeHTTP(w, r)
	})
	s.ReadHeaderTimeout, s.IdleTimeout = serverHeadTimeout, serverIdleTimeout
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// headerBytes returns the limit of the header fields.
func (g *Guard) headerBytes() int64 {
	if limit := g.options.Limits().MaxHeaderBytes; limit > 0 {
		return limit
	}
	return defaultHeaderBytes
}

// headTimeout returns the time within which a head must arrive after its first byte.
func (g *Guard) headTimeout() time.Duration {
	stated := time.Duration(g.options.Limits().HeaderTimeoutMS) * time.Millisecond
	return max(minHeadTimeout, stated+headTimeoutRoom)
}

// idleTimeout returns the time for which a connection without a request stays open.
func (g *Guard) idleTimeout() time.Duration {
	stated := time.Duration(g.options.Limits().IdleTimeoutMS) * time.Millisecond
	return max(minIdleTimeout, stated+idleTimeoutRoom)
}

// reserveHead adds bytes to what heads hold, unless there is no memory for them.
func (g *Guard) reserveHead(n int64) bool {
	if g.heads.Add(n) <= g.maxHeads.Load() {
		return true
	}
	g.heads.Add(-n)
	return false
}

// ReservePeer reserves memory for a message of another VM, in a process without a quota. A
// message that exceeds its half of the quota takes all of it, because a snapshot may be that long.
func (g *Guard) ReservePeer(ctx context.Context, n int) (release func(), err error) {
	weight := min(int64(n), g.options.MemoryQuota/2)
	if err := acquire(ctx, g.messages, weight); err != nil {
		return nil, err
	}
	return func() { g.messages.Release(weight) }, nil
}

// acquire reserves a part of the memory quota. It waits up to reservationWait.
func acquire(ctx context.Context, s *semaphore.Weighted, n int64) error {
	if s.TryAcquire(n) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reservationWait)
	defer cancel()
	if s.Acquire(ctx, n) != nil {
		return ErrMemory
	}
	return nil
}

// note counts a connection or request that is refused or closed, and writes a log line for the
// first one in logInterval.
func (g *Guard) note(address, caller, reason string) {
	gometrics.GetOrRegisterCounter(metrics.Name("inbound_refused", "address", address, "reason", reason), g.options.Metrics).Inc(1)
	g.mu.Lock()
	g.unlogged++
	unlogged, isDue := g.unlogged, time.Since(g.loggedAt) >= logInterval
	if isDue {
		g.loggedAt, g.unlogged = time.Now(), 0
	}
	g.mu.Unlock()
	if isDue {
		g.options.Log.WithFields(logrus.Fields{"event": "inbound_refused", "address": address, "reason": reason, "caller": caller, "refusals": unlogged}).Warn("connection refused or closed")
	}
}

// listener accepts the connections of one address up to its limit.
type listener struct {
	net.Listener
	guard *Guard
	name  string
	http  bool

	mu    sync.Mutex
	quota *connquota.Quota
}

// Accept returns the next connection within the limits. Others are closed; their requests have not
// been read.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		owner := c.RemoteAddr().String()
		if l.http {
			owner = hostOf(c.RemoteAddr())
		}
		l.mu.Lock()
		reason := l.quota.Open(owner)
		l.mu.Unlock()
		if reason == connquota.Granted {
			accepted := &conn{Conn: c, listener: l, owner: owner, fresh: true, inHead: true}
			if !l.http {
				return &plainConn{Conn: c, close: accepted.closed}, nil
			}
			if err := accepted.SetReadDeadline(time.Now().Add(serverIdleTimeout)); err != nil {
				accepted.Close()
				continue
			}
			return accepted, nil
		}
		l.guard.note(l.name, owner, string(reason))
		if l.http {
			refuse(c, http.StatusServiceUnavailable)
		}
		c.Close()
	}
}

// refuse tells a caller that its request has not run. The response is lost if the caller still sends
// when the connection is closed.
func refuse(c net.Conn, status int) {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	// A failed write means that the caller has disconnected, or does not read.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
}

// hostOf returns the IP address of a peer.
func hostOf(a net.Addr) string {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return a.String()
}

// plainConn is a connection that is counted only.
type plainConn struct {
	net.Conn
	once  sync.Once
	close func()
}

// Close closes the connection.
func (c *plainConn) Close() error {
	c.once.Do(c.close)
	return c.Conn.Close()
}
