package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/placement"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/coord/target"
	"hemlockvale.dev/server/limits"
	"hemlockvale.dev/server/settings"
)

const testSecret = "hv-secret-0123456789"

// fixture is an Entry with fake dependencies and HTTP targets that the test provides. It
// implements Configuration and Limiter.
type fixture struct {
	t           *testing.T
	state       *fleet.State
	leaseValid  atomic.Bool
	url         string
	entry       *Entry
	targets     fakeTargets
	programs    fakePrograms
	rateGranted atomic.Bool
}

// State returns the test's configuration, and whether leaseValid is set.
func (f *fixture) State() (*fleet.State, bool) { return f.state, f.leaseValid.Load() }

// FleetTokens returns 0.
func (f *fixture) FleetTokens() int64 { return 0 }

// Acquire grants the request if rateGranted is set.
func (f *fixture) Acquire(context.Context, string, string, float64) (limits.Decision, error) {
	return limits.Decision{Granted: f.rateGranted.Load(), RetryAfter: 1500 * time.Millisecond}, nil
}

// RecordUsage does nothing.
func (f *fixture) RecordUsage(string, int64) {}

// newFixture starts an Entry with one target per handler. The targets are preferred in the
// given order.
func newFixture(t *testing.T, handlers ...http.HandlerFunc) *fixture {
	f := &fixture{t: t, state: fleet.New()}
	f.leaseValid.Store(true)
	f.rateGranted.Store(true)
	f.programs.crashes = make(map[uint64]int)
	f.targets.failed = make(map[string]int)
	hash := sha256.Sum256([]byte(testSecret))
	for _, c := range []fleet.Command{
		{PutOrganisation: &fleet.Organisation{ID: "pantry"}},
		{PutProfile: &fleet.Profile{Name: "default", Organisation: "pantry", Models: []string{"m1"}, ModelAliases: map[string]string{"small": "m1"},
			Resend: fleet.Resend{WindowMS: 1000, Identify: "body"}, CallTimeoutMS: 5000}},
		{PutOrganisation: &fleet.Organisation{ID: "pantry", Profile: "default"}},
		{PutService: &fleet.Service{Name: "llm", Kind: "engine"}},
		{PutService: &fleet.Service{Name: "app", Kind: "service", OpenRoutes: []fleet.Route{{Method: "GET", PathPrefix: "/status"}, {Method: "POST", PathPrefix: "/feedback", NonIdempotent: true}}}},
		{IssueKey: &fleet.Key{ID: "k1", Organisation: "pantry", Hash: hex.EncodeToString(hash[:])}},
	} {
		f.apply(c)
	}
	for i, h := range handlers {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		f.targets.list = append(f.targets.list, fakeTarget{fmt.Sprintf("t%d", i+1), strings.TrimPrefix(server.URL, "http://")})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := settings.Default()
	s.Entry.MaxBodyBytes = 4096
	f.entry = New(Options{
		Settings: s, Self: fleet.VMRef{ID: "e1", Incarnation: "1"}, Configuration: f, Programs: &f.programs, Limiter: f,
		Targets: &f.targets, Policy: placement.DefaultPolicy(), Metrics: gometrics.NewRegistry(), Log: logrus.NewEntry(log),
	})
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	f.entry.Mount(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	f.url = server.URL
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go f.entry.Run(ctx)
	return f
}

// apply applies a command to the configuration.
func (f *fixture) apply(c fleet.Command) {
	result := f.state.Apply(f.state.Revision()+1, c)
	require.Nil(f.t, result.Error)
}

// send sends a request to the entry. headers alternates between names and values.
func (f *fixture) send(method, path, body string, headers ...string) *http.Response {
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	require.NoError(f.t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// sendAuthorized sends a request with a key of the organisation "pantry".
func (f *fixture) sendAuthorized(method, path, body string, headers ...string) *http.Response {
	return f.send(method, path, body, append(headers, "Authorization", "Bearer "+testSecret)...)
}

// decodeProblem decodes the response as a problem.
func (f *fixture) decodeProblem(resp *http.Response) Problem {
	var p Problem
	require.Equal(f.t, "application/problem+json", resp.Header.Get("Content-Type"))
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&p))
	return p
}

func readAll(t *testing.T, r io.Reader) string {
	data, err := io.ReadAll(r)
	require.NoError(t, err)
	return string(data)
}

type fakeTarget struct{ id, address string }

// fakeTargets implements Targets. Its candidates have increasing load, so that placement
// prefers them in the order of the list.
type fakeTargets struct {
	mu     sync.Mutex
	list   []fakeTarget
	failed map[string]int
}

func (f *fakeTargets) Candidates(string, string, program.Ref) []placement.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []placement.Candidate
	for i, t := range f.list {
		out = append(out, placement.Candidate{ID: t.id, MaxBatch: 8, Running: 3 * i, KVCapacity: 1 << 20, TokensPerSecond: 1000})
	}
	return out
}

func (f *fakeTargets) Address(id string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.list {
		if t.id == id {
			return t.address, true
		}
	}
	return "", false
}

func (f *fakeTargets) Views() []target.View                              { return nil }
func (f *fakeTargets) Order(context.Context, string, target.Order) error { return nil }
func (f *fakeTargets) Dispatched(string, int64)                          {}
func (f *fakeTargets) Completed(string, int64, *target.Load)             {}
func (f *fakeTargets) Failed(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed[id]++
}

// fakePrograms implements Programs. It records all calls and gives each one a ticket,
// unless replay or refusal is set.
type fakePrograms struct {
	mu            sync.Mutex
	beginCalls    []program.BeginCall
	finishCalls   []program.FinishCall
	replay        *program.StoredResponse
	refusal       *program.Refusal
	crashes       map[uint64]int
	tokenLimit    int64         // TokenLimit of each ticket
	finishBlocked chan struct{} // if set, Finish blocks until it is closed
}

func (f *fakePrograms) Begin(_ context.Context, c program.BeginCall) (program.BeginResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beginCalls = append(f.beginCalls, c)
	if f.replay != nil || f.refusal != nil {
		return program.BeginResult{Replay: f.replay, Refusal: f.refusal}, nil
	}
	return program.BeginResult{Ticket: &program.Ticket{Program: c.Program, TokenLimit: f.tokenLimit, Sequence: uint64(len(f.beginCalls))}}, nil
}

func (f *fakePrograms) Finish(_ context.Context, c program.FinishCall) error {
	if f.finishBlocked != nil {
		<-f.finishBlocked
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishCalls = append(f.finishCalls, c)
	return nil
}

// finishedCalls returns a copy of the calls of Finish.
func (f *fakePrograms) finishedCalls() []program.FinishCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]program.FinishCall(nil), f.finishCalls...)
}

// waitFinished waits until Finish was called n times and returns the calls. Tests need it
// because the entry sends a refusal before its outcome is recorded.
func (f *fakePrograms) waitFinished(t *testing.T, n int) []program.FinishCall {
	t.Helper()
	require.Eventually(t, func() bool { return len(f.finishedCalls()) >= n }, 2*time.Second, time.Millisecond)
	return f.finishedCalls()
}

func (f *fakePrograms) End(context.Context, program.Ref) error               { return nil }
func (f *fakePrograms) History(context.Context, program.Ref) ([]byte, error) { return nil, nil }
func (f *fakePrograms) Quarantined(_ context.Context, _ string, fingerprint uint64) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[fingerprint] >= 2, nil
}

func (f *fakePrograms) ReportCrash(_ context.Context, _ string, fingerprint uint64, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes[fingerprint]++
	return nil
}

func (f *fakePrograms) ClearQuarantine(context.Context, string, uint64) error { return nil }

// streamingEngine returns the handler of an engine that streams the parts. If complete is
// set, it then ends the stream regularly; otherwise it breaks the connection.
func streamingEngine(complete bool, parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", contentTypeSSE)
		w.Header().Set(headerRequest, r.Header.Get(headerRequest))
		for _, part := range parts {
			fmt.Fprintf(w, ": keep-alive\n\ndata: {\"id\":\"c1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", part)
			w.(http.Flusher).Flush()
		}
		if !complete {
			breakConnection(w, r)
			return
		}
		fmt.Fprint(w, "data: {\"id\":\"c1\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"total_tokens\":9}}\n\ndata: [DONE]\n\n")
	}
}

// breakConnection closes the connection before the response ends, as the crash of a
// process does.
func breakConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}
