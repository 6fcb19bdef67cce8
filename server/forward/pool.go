package forward

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hemlockvale.dev/coord/dispatch"
)

const (
	// defaultIdleTimeout is the idle timeout of a target that states none. The ledger's leader
	// expects that idle connections are kept for dispatch.IdleConnectionTime.
	defaultIdleTimeout = dispatch.IdleConnectionTime + idleMargin
	// maxIdleTimeout bounds a stated idle timeout, so that an absurd one does not overflow.
	maxIdleTimeout = time.Hour
	// idleMargin is subtracted from the target's idle timeout, so that the target does
	// not close a connection while a request is being sent on it.
	idleMargin = 700 * time.Millisecond
)

// connPool holds idle connections by target. It never retries a request: the
// caller decides whether a request may be sent again.
type connPool struct {
	// opened counts the connections that were established, and reused the requests for which
	// an idle one was used.
	opened, reused atomic.Int64
	// maxIdle returns how many idle connections to a target may be kept.
	maxIdle func(target string) int
	// connect makes a TCP connection to a target.
	connect func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*conn
}

func newConnPool(connect func(ctx context.Context, address string) (net.Conn, error), maxIdle func(target string) int) *connPool {
	if connect == nil {
		connect = connectTCP
	}
	return &connPool{connect: connect, maxIdle: maxIdle, idle: make(map[string][]*conn)}
}

// get returns an idle connection to the target on which a request may be sent, or dials a new
// one.
func (p *connPool) get(ctx context.Context, target, address, requestID string) (*conn, error) {
	for {
		c := p.takeIdle(target)
		if c == nil {
			break
		}
		// A later incarnation of the target may have another address.
		if c.address == address && c.isUsable() && c.usableFor(requestID) {
			p.reused.Add(1)
			return c, nil
		}
		c.Close()
	}
	return p.dial(ctx, address)
}

// dial makes a new connection to a target.
func (p *connPool) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.connect(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	p.opened.Add(1)
	c := newConn(raw)
	c.address = address
	return c, nil
}

// hasIdle reports whether there is an idle connection to a target that it has not closed.
func (p *connPool) hasIdle(target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[target], (*conn).isUsable)
}

// drop closes the idle connections to a target.
func (p *connPool) drop(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[target] {
		c.Close()
	}
	delete(p.idle, target)
}

// takeIdle removes and returns the most recently used idle connection to the
// target, or nil.
func (p *connPool) takeIdle(target string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[target] = list[:len(list)-1]
	return c
}

// takeOlder removes and returns an idle connection to the target's address that was opened before
// a time of the boot clock, or nil. The process that responds on it is the one that served there at
// that time. A connection to another address may lead to an earlier incarnation that still runs.
func (p *connPool) takeOlder(target, address string, before time.Duration, requestID string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	for i, c := range list {
		if c.address == address && c.openedAt < before && c.isUsable() && c.usableFor(requestID) {
			p.idle[target] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// restore puts a connection back that was taken but not used.
func (p *connPool) restore(target string, c *conn) {
	limit := p.maxIdle(target)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[target]) >= limit {
		c.Close()
		return
	}
	p.idle[target] = append(p.idle[target], c)
}

// put returns a connection to the pool after a complete exchange. idle is the
// target's idle timeout, 0 if it stated none, or negative if it keeps none. If there are as
// many idle connections as may be kept, the oldest one is closed, which expires first.
func (p *connPool) put(target string, c *conn, idle time.Duration) {
	if idle == 0 {
		idle = defaultIdleTimeout
	}
	idle = max(min(idle, maxIdleTimeout), 0) - idleMargin
	if idle <= 0 || c.reader.Buffered() > 0 || !c.awaitWritten() {
		c.Close()
		return
	}
	c.idleUntil = time.Now().Add(idle)
	limit := p.maxIdle(target)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := append(p.idle[target], c)
	surplus := max(len(list)-limit, 0)
	for _, oldest := range list[:surplus] {
		oldest.Close()
	}
	p.idle[target] = slices.Delete(list, 0, surplus)
}

// closeExpired closes idle connections that have expired or whose target is no
// longer known.
func (p *connPool) closeExpired(known func(target string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if known(target) && now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		clear(list[len(kept):])
		p.idle[target] = kept
		if len(kept) == 0 {
			delete(p.idle, target)
		}
	}
}
