package rpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Pool keeps at most one connection to each address. It dials when a call finds no usable
// connection.
type Pool struct {
	reservation
	dialTimeout time.Duration
	traffic     Traffic

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

// NewPool returns an empty pool. dialTimeout bounds each connection attempt.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{dialTimeout: dialTimeout, peers: make(map[string]*peer)}
}

// Traffic returns the byte counters of the pool's connections.
func (p *Pool) Traffic() *Traffic { return &p.traffic }

// CallerFor returns a Caller that sends its calls to address.
func (p *Pool) CallerFor(address string) Caller { return caller{p, address} }

// Call sends a request to address, waits for the response and decodes it into result.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	pe, err := p.peer(address)
	if err != nil {
		return err
	}
	conn, err := pe.acquire(ctx, p.dialTimeout)
	if err != nil {
		return err
	}
	defer pe.release()
	waiter, err := conn.DispatchCall(ctx, method, params)
	if err == nil {
		err = waiter.Wait(ctx, result)
	} else if !errors.Is(err, jsonrpc2.ErrClosed) {
		return fmt.Errorf("%s: %w: %w", address, ErrConnectionLost, err)
	}
	if errors.Is(err, jsonrpc2.ErrClosed) {
		// The library fails the calls of a lost connection before it announces the
		// disconnection, so without discard the next call could get this connection.
		pe.discard(conn)
		return fmt.Errorf("%s: %w", address, ErrConnectionLost)
	}
	return decodeError(err)
}

// Reset closes the connection to an address, so that the next call dials again. Calls in
// progress fail with an unknown outcome.
func (p *Pool) Reset(address string) {
	p.mu.Lock()
	pe := p.peers[address]
	p.mu.Unlock()
	if pe == nil {
		return
	}
	pe.mu.Lock()
	conn := pe.conn
	pe.conn = nil
	pe.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// Close closes all connections. Later calls fail with ErrUnreachable.
func (p *Pool) Close() error {
	p.mu.Lock()
	peers := p.peers
	p.peers, p.closed = make(map[string]*peer), true
	p.mu.Unlock()
	var errs []error
	for _, peer := range peers {
		errs = append(errs, peer.close())
	}
	return errors.Join(errs...)
}

// peer returns the peer of an address and creates it if needed.
func (p *Pool) peer(address string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fmt.Errorf("%s: %w: pool closed", address, ErrUnreachable)
	}
	pe := p.peers[address]
	if pe == nil {
		pe = &peer{address: address, traffic: &p.traffic, reserved: &p.reservation}
		p.peers[address] = pe
	}
	return pe, nil
}

// caller sends calls to one address of a pool.
type caller struct {
	pool    *Pool
	address string
}

// Call sends a request to the caller's address and waits for the response.
func (c caller) Call(ctx context.Context, method string, params, result any) error {
	return c.pool.Call(ctx, c.address, method, params, result)
}

// peer is an address with its current connection, if any.
type peer struct {
	address  string
	traffic  *Traffic
	reserved *reservation

	mu   sync.Mutex
	conn *jsonrpc2.Conn
	// dialling is closed when the connection attempt in progress ends; it is nil if there
	// is none.
	dialling    chan struct{}
	calls       int       // calls in progress
	lastCallEnd time.Time // end of the last call
}

// acquire returns a live connection and counts a call on it. If there is no connection,
// one goroutine dials, for at most timeout; the others wait for the result until their
// own contexts end.
func (p *peer) acquire(ctx context.Context, timeout time.Duration) (*jsonrpc2.Conn, error) {
	for {
		conn, dialling := p.tryAcquire()
		if conn != nil {
			return conn, nil
		}
		if dialling == nil {
			return p.dial(ctx, timeout)
		}
		select {
		case <-dialling:
		case <-ctx.Done():
			return nil, fmt.Errorf("%s: %w: %w", p.address, ErrUnreachable, ctx.Err())
		}
	}
}

// tryAcquire returns the live connection and counts a call on it. Without a connection it
// returns a channel that is closed when the connection attempt in progress ends, or nil
// if the caller must dial.
func (p *peer) tryAcquire() (*jsonrpc2.Conn, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		select {
		case <-p.conn.DisconnectNotify():
			p.conn = nil
		default:
			p.calls++
			return p.conn, nil
		}
	}
	if p.dialling != nil {
		return nil, p.dialling
	}
	p.dialling = make(chan struct{})
	return nil, nil
}

// dial connects to the address and wakes the goroutines that wait for the connection.
func (p *peer) dial(ctx context.Context, timeout time.Duration) (*jsonrpc2.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	c, err := dialer.DialContext(ctx, "tcp", p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dialling)
	p.dialling = nil
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", p.address, ErrUnreachable, err)
	}
	s := newStream(c, p.traffic, p.reserved)
	p.conn = jsonrpc2.NewConn(context.Background(), s, rejectHandler{}, jsonrpc2.SetLogger(discardLogger{}))
	go p.heartbeat(p.conn, s)
	p.calls++
	return p.conn, nil
}

// discard makes sure that no later call uses conn, which has been closed.
func (p *peer) discard(conn *jsonrpc2.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn {
		p.conn = nil
	}
}

// release records the end of a call that was counted by acquire.
func (p *peer) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls--
	p.lastCallEnd = time.Now()
}

// hasCalls reports whether a call is in progress.
func (p *peer) hasCalls() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls > 0
}

// closeIdle closes conn if no call has used it for IdleTimeout and reports whether it did.
func (p *peer) closeIdle(conn *jsonrpc2.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls > 0 || time.Since(p.lastCallEnd) < IdleTimeout {
		return false
	}
	if p.conn == conn {
		p.conn = nil
	}
	_ = conn.Close()
	return true
}

func (p *peer) close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return nil
	}
	return ignoreClosed(p.conn.Close())
}

// heartbeat sends pings while calls are in progress and no responses arrive, so that data
// flows in both directions. When the responses to pings stop, the read deadline of the
// stream closes the connection. heartbeat also closes an idle connection.
func (p *peer) heartbeat(conn *jsonrpc2.Conn, s *stream) {
	ticker := time.NewTicker(PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-conn.DisconnectNotify():
			return
		case <-ticker.C:
			if p.closeIdle(conn) {
				return
			}
			if !p.hasCalls() || s.sinceRead() < quietTime {
				continue
			}
			// The response only renews the read deadline; its content is not used.
			ctx, cancel := context.WithTimeout(context.Background(), SilenceTimeout)
			waiter, err := conn.DispatchCall(ctx, pingMethod, nil)
			if err == nil {
				go func() { defer cancel(); _ = waiter.Wait(ctx, nil) }()
				continue
			}
			cancel()
			_ = conn.Close()
			return
		}
	}
}

// rejectHandler rejects requests from the server. Only the client of a connection makes
// calls.
type rejectHandler struct{}

// Handle responds to every request with the code for an unknown method.
func (rejectHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: methodNotFoundCode, Message: "client connection answers no requests"})
	}
}
