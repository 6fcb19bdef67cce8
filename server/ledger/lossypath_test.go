package ledger

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lossyPath is a network path to a store VM that can lose messages without closing connections.
type lossyPath struct {
	address string

	mu sync.Mutex
	// target is the address of the store VM.
	target string
	// paths are the connections, each with whether it has been cut.
	paths []*atomic.Bool
	// passes reports whether a message of an entry gets through; nil if all do.
	passes func(k messageKind, payload []byte) bool
}

func newLossyPath(t *testing.T, target string) *lossyPath {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	p := &lossyPath{address: listener.Addr().String(), target: target}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go p.serve(c)
		}
	}()
	return p
}

// addresses returns the address of the path, as that of the only store VM.
func (p *lossyPath) addresses() []string { return []string{p.address} }

// cut makes all connections lose what is sent on them from now on, as a VM that is suspended.
func (p *lossyPath) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cut := range p.paths {
		cut.Store(true)
	}
}

// leadTo makes later connections lead to another store VM.
func (p *lossyPath) leadTo(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// filter loses the messages of entries that passes refuses.
func (p *lossyPath) filter(passes func(k messageKind, payload []byte) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passes = passes
}

func (p *lossyPath) serve(entry net.Conn) {
	defer entry.Close()
	cut := new(atomic.Bool)
	p.mu.Lock()
	target := p.target
	p.paths = append(p.paths, cut)
	p.mu.Unlock()
	store, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer store.Close()
	r := bufio.NewReader(entry)
	if _, err := io.CopyN(store, r, int64(len(Preface))); err != nil {
		return
	}
	go func() {
		defer entry.Close()
		copyMessages(entry, bufio.NewReader(store), func(messageKind, []byte) bool { return !cut.Load() })
		for cut.Load() {
			// The connection stays open and silent.
			if _, err := entry.Write(nil); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	copyMessages(store, r, func(k messageKind, payload []byte) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return !cut.Load() && (p.passes == nil || p.passes(k, payload))
	})
}

// copyMessages passes on the messages that passes accepts.
func copyMessages(to io.Writer, from *bufio.Reader, passes func(k messageKind, payload []byte) bool) {
	for {
		k, payload, err := decode(from)
		if err != nil {
			return
		}
		if !passes(k, payload) {
			continue
		}
		if _, err := to.Write(frame(k, payload)); err != nil {
			return
		}
	}
}
