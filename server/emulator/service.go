package emulator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/target"
)

// ServiceOptions configure an emulated plain service. Zero values select defaults.
type ServiceOptions struct {
	// ID is the target's unique name, and Service the service that it belongs to. Both are
	// announced.
	ID, Service string
	// Address is the address to listen on, as IP:port. Port 0 selects a free port.
	Address string
	// DataCentre is the announced data centre.
	DataCentre string
	// Entries are the HTTP addresses of the entries to announce to.
	Entries []string
	// Delay is the time that each request takes.
	Delay time.Duration
	// MaxConcurrent is the announced batch size. The service does not enforce it.
	MaxConcurrent int
	// HangOn makes a request hang until its caller gives up when its body contains this
	// text. An empty text matches nothing.
	HangOn string
	// CrashOn crashes the target when a request body contains this text, after the request
	// has been counted as run. An empty text matches nothing.
	CrashOn string
	// LoadLag is the age of the announced load.
	LoadLag time.Duration
	// StopGrace is the minimum time between the announcement of a graceful stop and the
	// end of Run. It defaults to DefaultStopGrace.
	StopGrace time.Duration
	// Log receives the service's log messages; nil discards them.
	Log *logrus.Entry
}

// Service is an emulated plain service. It responds to requests for any path with an
// Echo of the request. Query parameters select faults: delay_ms, hang=true and status.
type Service struct {
	*targetServer
	options ServiceOptions
	load    *laggedLoad

	// mu guards the fields below.
	mu sync.Mutex
	// runs counts how often each request has run, by "METHOD path body".
	runs map[string]int
	// running is the number of unfinished requests.
	running int
}

// Echo is the service's response to a request. It repeats the request and tells which
// target ran it and how often.
type Echo struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	// Run is how often a request with this method, path and body has run on the target,
	// including this one.
	Run int `json:"run"`
}

// NewService returns a service that listens on its address. Run serves the requests.
func NewService(o ServiceOptions) (*Service, error) {
	if o.MaxConcurrent <= 0 {
		o.MaxConcurrent = defaultMaxBatch
	}
	server, err := newTargetServer(o.Address, o.StopGrace, o.Log)
	if err != nil {
		return nil, err
	}
	s := &Service{targetServer: server, options: o, runs: make(map[string]int)}
	s.load = &laggedLoad{lag: o.LoadLag, current: s.Load}
	server.countUnfinished = s.unfinished
	server.announcer = newAnnouncer(target.Announcement{
		ID: o.ID, Incarnation: uuid.NewString(), Kind: "service", Service: o.Service, Address: s.Address(),
		DataCentre: o.DataCentre, LeaseMS: LeaseDuration.Milliseconds(),
	}, o.Entries, server.log, func(a *target.Announcement) { a.Load = s.load.report(time.Now()) })
	return s, nil
}

// Run serves requests and sends announcements until ctx ends, then stops gracefully. It
// returns ErrCrashed after Crash.
func (s *Service) Run(ctx context.Context) error {
	s.router.HandleFunc("/v1/runs", s.handleRuns).Methods(http.MethodGet)
	s.router.NotFoundHandler = http.HandlerFunc(s.handle)
	return s.serve(ctx)
}

// Load returns the current load.
func (s *Service) Load() target.Load {
	return target.Load{Running: s.unfinished(), MaxBatch: s.options.MaxConcurrent}
}

// Runs returns how often each request has run, by "METHOD path body".
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for request, n := range s.runs {
		runs[request] = n
	}
	return runs
}

// unfinished returns the number of unfinished requests.
func (s *Service) unfinished() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func (s *Service) handleRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Runs())
}

func (s *Service) handle(w http.ResponseWriter, r *http.Request) {
	body, ok := s.inspector.readBody(w, r)
	if !ok {
		return
	}
	run := s.begin(r, body)
	defer s.end()
	text := string(body)
	if s.options.CrashOn != "" && strings.Contains(text, s.options.CrashOn) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	query := r.URL.Query()
	delay := s.options.Delay
	if ms, err := strconv.Atoi(query.Get("delay_ms")); err == nil {
		delay = time.Duration(ms) * time.Millisecond
	}
	hang := query.Get("hang") == "true" || s.options.HangOn != "" && strings.Contains(text, s.options.HangOn)
	if !delayResponse(r.Context(), delay, hang) {
		return
	}
	status, err := strconv.Atoi(query.Get("status"))
	if err != nil {
		status = http.StatusOK
	}
	setLoad(w, s.Load())
	writeJSON(w, status, Echo{
		Service: s.options.Service, Target: s.options.ID, Method: r.Method, Path: r.URL.Path, Body: text, Run: run,
	})
}

// begin counts a run of the request, which is the request's effect, and returns how often
// it has run.
func (s *Service) begin(r *http.Request, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	request := fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body)
	s.runs[request]++
	return s.runs[request]
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// delayResponse waits for d, or for ever if hang is true. It returns false if the caller
// gives up in the meantime.
func delayResponse(ctx context.Context, d time.Duration, hang bool) bool {
	if hang {
		<-ctx.Done()
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
