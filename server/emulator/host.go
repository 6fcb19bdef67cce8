package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/target"
)

const (
	// LeaseDuration is how long an announcement holds.
	LeaseDuration = 3 * time.Second
	// DefaultStopGrace is how long a leaving target still waits for requests:
	// entries may dispatch to it until they have heard that it leaves.
	DefaultStopGrace = 3 * time.Second
	// flushTimeout bounds the time for the last answers to leave; a connection
	// that nobody reads from must not keep the target alive.
	flushTimeout = time.Second
	// stopPollInterval is how often a leaving target looks whether it is idle.
	stopPollInterval = 20 * time.Millisecond
)

// ErrCrashed is returned by Run after an abrupt end.
var ErrCrashed = errors.New("target crashed")

// host is what the engine and the service have in common: a listener, the
// announcements and the graceful stop.
type host struct {
	listener  net.Listener
	router    *mux.Router
	server    *http.Server
	announcer *announcer
	grace     time.Duration
	active    func() int
	seen      keyWatch
	log       *logrus.Entry

	crashOnce sync.Once
	crashed   chan struct{}
}

func newHost(address string, grace time.Duration, log *logrus.Entry) (*host, error) {
	if log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		log = logrus.NewEntry(silent)
	}
	if grace <= 0 {
		grace = DefaultStopGrace
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	router := mux.NewRouter()
	return &host{
		listener: l, grace: grace, log: log, crashed: make(chan struct{}), router: router,
		server: &http.Server{Handler: router, ReadHeaderTimeout: LeaseDuration},
	}, nil
}

// Address returns the address that the target listens on, as IP:port.
func (h *host) Address() string { return h.listener.Addr().String() }

// Incarnation returns the identifier of this run.
func (h *host) Incarnation() string { return h.announcer.first.Incarnation }

// AddKey makes GET /v1/seen report the secret wherever it appears.
func (h *host) AddKey(secret string) { h.seen.addKey(secret) }

// Seen returns what GET /v1/seen answers.
func (h *host) Seen() Seen { return h.seen.snapshot() }

// Crash ends the target abruptly: connections break and nothing is announced.
func (h *host) Crash() {
	h.crashOnce.Do(func() {
		close(h.crashed)
		go func() { _ = h.server.Close() }()
	})
}

// serve runs the target until it has stopped gracefully, which starts when ctx
// ends, or crashed.
func (h *host) serve(ctx context.Context) error {
	h.router.HandleFunc("/v1/seen", h.seen.handle).Methods(http.MethodGet)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	served := make(chan error, 1)
	go func() { served <- h.server.Serve(h.listener) }()
	go h.announcer.run(background)
	select {
	case <-ctx.Done():
	case <-h.crashed:
		return ErrCrashed
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	}
	h.log.WithFields(logrus.Fields{"event": "target_leaving", "target": h.announcer.first.ID}).Info("target leaves")
	h.announcer.leave()
	h.seen.leave(time.Now())
	if !h.drain() {
		return ErrCrashed
	}
	// An answer whose request has ended may still be on its way to the connection.
	flush, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := h.server.Shutdown(flush); err != nil {
		return h.server.Close()
	}
	return nil
}

// drain waits until the grace has passed and no request is left. It reports
// false when the target crashed meanwhile.
func (h *host) drain() bool {
	grace := time.Now().Add(h.grace)
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.crashed:
			return false
		case now := <-ticker.C:
			if now.After(grace) && h.active() == 0 {
				return true
			}
		}
	}
}

// laggedLoad publishes a load value that is as old as the lag.
type laggedLoad struct {
	lag     time.Duration
	current func() target.Load

	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load target.Load
}

// report samples the current load and returns the newest sample that is older than the lag.
func (l *laggedLoad) report(now time.Time) target.Load {
	load := l.current()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, loadSample{now, load})
	for len(l.samples) > 1 && now.Sub(l.samples[1].at) >= l.lag {
		l.samples = l.samples[1:]
	}
	return l.samples[0].load
}
