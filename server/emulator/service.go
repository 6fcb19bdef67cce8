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

// ServiceOptions describe one emulated plain service.
type ServiceOptions struct {
	// ID and Service are announced.
	ID, Service string
	// Address is the address to listen on, as IP:port; port 0 takes a free one.
	Address string
	// DataCentre is announced.
	DataCentre string
	// Entries are the HTTP addresses to announce to.
	Entries []string
	// Delay is the time that each request takes.
	Delay time.Duration
	// MaxConcurrent is announced as the batch size.
	MaxConcurrent int
	// HangOn makes a request that contains this text run until its caller gives up.
	HangOn string
	// CrashOn ends the target abruptly when a request contains this text, after
	// the request has been counted as run.
	CrashOn string
	// LoadLag is the age of the announced load.
	LoadLag time.Duration
	// StopGrace is the shortest time between the announcement of a graceful stop and its end.
	StopGrace time.Duration
	// Log receives the service's events; nil discards them.
	Log *logrus.Entry
}

// Service answers every path with a description of the request. Query
// parameters select faults: delay_ms, hang=true and status.
type Service struct {
	*host
	options ServiceOptions
	load    *laggedLoad

	mu      sync.Mutex
	runs    map[string]int
	running int
}

// Echo is the service's answer to a request.
type Echo struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	// Run is how often this method, path and body has run on this target.
	Run int `json:"run"`
}

// NewService returns a service that already listens; Run makes it answer.
func NewService(o ServiceOptions) (*Service, error) {
	if o.MaxConcurrent <= 0 {
		o.MaxConcurrent = defaultMaxBatch
	}
	h, err := newHost(o.Address, o.StopGrace, o.Log)
	if err != nil {
		return nil, err
	}
	s := &Service{host: h, options: o, runs: make(map[string]int)}
	s.load = &laggedLoad{lag: o.LoadLag, current: s.Load}
	h.active = s.unfinished
	h.announcer = newAnnouncer(target.Announcement{
		ID: o.ID, Incarnation: uuid.NewString(), Kind: "service", Service: o.Service, Address: s.Address(),
		DataCentre: o.DataCentre, LeaseMS: LeaseDuration.Milliseconds(),
	}, o.Entries, h.log, func(a *target.Announcement) { a.Load = s.load.report(time.Now()) })
	return s, nil
}

// Run answers and announces until ctx ends, then stops gracefully. It returns
// ErrCrashed after Crash.
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

func (s *Service) unfinished() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func (s *Service) handleRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Runs())
}

func (s *Service) handle(w http.ResponseWriter, r *http.Request) {
	body, ok := s.seen.read(w, r)
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
	if !pause(r.Context(), delay, hang) {
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

// begin counts the request as run: from here on it has had its effect.
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

// pause waits for d, or for the caller to give up; it reports false in the latter case.
func pause(ctx context.Context, d time.Duration, hang bool) bool {
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
