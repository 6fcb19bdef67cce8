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
	// LeaseDuration is the duration of the lease that an announcement requests.
	LeaseDuration = 3 * time.Second
	// DefaultStopGrace is the default minimum time for which a leaving target still
	// accepts requests. Entries may dispatch to it until they learn that it is leaving.
	DefaultStopGrace = 3 * time.Second
	// flushTimeout limits the time to write the last responses. Without the limit, a peer
	// that does not read its response would keep the target running.
	flushTimeout = time.Second
	// stopPollInterval is the time between checks of a leaving target for unfinished
	// requests.
	stopPollInterval = 20 * time.Millisecond
)

// ErrCrashed is returned by Run after a crash.
var ErrCrashed = errors.New("target crashed")

// targetServer is the common part of the engine and the service: the HTTP server, the
// announcements and the graceful stop.
type targetServer struct {
	listener  net.Listener
	router    *mux.Router
	server    *http.Server
	announcer *announcer
	stopGrace time.Duration
	// countUnfinished returns the number of unfinished requests.
	countUnfinished func() int
	inspector       requestInspector
	log             *logrus.Entry

	crashOnce sync.Once
	// crashed is closed by Crash.
	crashed chan struct{}
}

func newTargetServer(address string, stopGrace time.Duration, log *logrus.Entry) (*targetServer, error) {
	if log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		log = logrus.NewEntry(discard)
	}
	if stopGrace <= 0 {
		stopGrace = DefaultStopGrace
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	router := mux.NewRouter()
	return &targetServer{
		listener: l, stopGrace: stopGrace, log: log, crashed: make(chan struct{}), router: router,
		server: &http.Server{Handler: router, ReadHeaderTimeout: LeaseDuration},
	}, nil
}

// Address returns the address that the target listens on, as IP:port.
func (s *targetServer) Address() string { return s.listener.Addr().String() }

// Incarnation returns the identifier of this run of the target.
func (s *targetServer) Incarnation() string { return s.announcer.template.Incarnation }

// AddKey adds a key that GET /v1/seen reports if it appears in any part of a request.
func (s *targetServer) AddKey(secret string) { s.inspector.addKey(secret) }

// InspectionReport returns the report that GET /v1/seen serves.
func (s *targetServer) InspectionReport() InspectionReport { return s.inspector.snapshot() }

// Crash stops the target at once: it closes all connections and announces nothing.
func (s *targetServer) Crash() {
	s.crashOnce.Do(func() {
		close(s.crashed)
		go func() { _ = s.server.Close() }()
	})
}

// serve runs the target until it crashes or has stopped gracefully. The graceful stop
// starts when ctx ends.
func (s *targetServer) serve(ctx context.Context) error {
	s.router.HandleFunc("/v1/seen", s.inspector.handle).Methods(http.MethodGet)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.listener) }()
	go s.announcer.run(background)
	select {
	case <-ctx.Done():
	case <-s.crashed:
		return ErrCrashed
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	}
	s.log.WithFields(logrus.Fields{"event": "target_leaving", "target": s.announcer.template.ID}).Info("target is leaving")
	s.announcer.leave()
	s.inspector.leave(time.Now())
	if !s.drain() {
		return ErrCrashed
	}
	// The response to a request that has ended may not be written to its connection yet.
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := s.server.Shutdown(flushCtx); err != nil {
		return s.server.Close()
	}
	return nil
}

// drain waits until stopGrace has passed and no request is unfinished. It returns false
// if the target crashes in the meantime.
func (s *targetServer) drain() bool {
	graceEnd := time.Now().Add(s.stopGrace)
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.crashed:
			return false
		case now := <-ticker.C:
			if now.After(graceEnd) && s.countUnfinished() == 0 {
				return true
			}
		}
	}
}

// laggedLoad reports the load as it was some time ago.
type laggedLoad struct {
	lag time.Duration
	// current returns the load now.
	current func() target.Load

	mu sync.Mutex
	// samples are ordered by age, oldest first.
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load target.Load
}

// report samples the current load and returns the newest sample that is at least lag
// old, or the oldest sample if all are newer.
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
