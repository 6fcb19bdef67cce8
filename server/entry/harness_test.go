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

// fixture is an entry over fakes of its neighbours and HTTP targets of the test.
type fixture struct {
	t       *testing.T
	state   *fleet.State
	held    atomic.Bool
	url     string
	entry   *Entry
	targets fakeTargets
	records fakePrograms
	granted atomic.Bool
}

// State implements Configuration.
func (f *fixture) State() (*fleet.State, bool) { return f.state, f.held.Load() }

// FleetTokens implements Configuration.
func (f *fixture) FleetTokens() int64 { return 0 }

// Acquire implements Limiter.
func (f *fixture) Acquire(context.Context, string, string, float64) (limits.Decision, error) {
	return limits.Decision{Granted: f.granted.Load(), RetryAfter: 1500 * time.Millisecond}, nil
}

// RecordUsage implements Limiter.
func (f *fixture) RecordUsage(string, int64) {}

// newFixture starts an entry before one target for each handler.
func newFixture(t *testing.T, handlers ...http.HandlerFunc) *fixture {
	f := &fixture{t: t, state: fleet.New()}
	f.held.Store(true)
	f.granted.Store(true)
	f.records.crashes = make(map[uint64]int)
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
		Settings: s, Self: fleet.VMRef{ID: "e1", Incarnation: "1"}, Configuration: f, Programs: &f.records, Limiter: f,
		Targets: &f.targets, Policy: placement.DefaultPolicy(), Registry: gometrics.NewRegistry(), Log: logrus.NewEntry(log),
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

func (f *fixture) apply(c fleet.Command) {
	result := f.state.Apply(f.state.Revision()+1, c)
	require.Nil(f.t, result.Error)
}

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

// authorized sends a request with the fixture's key.
func (f *fixture) authorized(method, path, body string, headers ...string) *http.Response {
	return f.send(method, path, body, append(headers, "Authorization", "Bearer "+testSecret)...)
}

func (f *fixture) problem(resp *http.Response) Problem {
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

// fakeTargets offers its targets in a fixed order of preference.
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

// fakePrograms records what it is told and grants every turn.
type fakePrograms struct {
	mu       sync.Mutex
	begun    []program.BeginCall
	finished []program.FinishCall
	replay   *program.StoredResponse
	refusal  *program.Refusal
	crashes  map[uint64]int
	limit    int64         // of the tokens of each ticket
	blocked  chan struct{} // if set, Finish waits for its end
}

func (f *fakePrograms) Begin(_ context.Context, c program.BeginCall) (program.BeginResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = append(f.begun, c)
	if f.replay != nil || f.refusal != nil {
		return program.BeginResult{Replay: f.replay, Refusal: f.refusal}, nil
	}
	return program.BeginResult{Ticket: &program.Ticket{Program: c.Program, TokenLimit: f.limit, Sequence: uint64(len(f.begun))}}, nil
}

func (f *fakePrograms) Finish(_ context.Context, c program.FinishCall) error {
	if f.blocked != nil {
		<-f.blocked
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finished = append(f.finished, c)
	return nil
}

func (f *fakePrograms) settled() []program.FinishCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]program.FinishCall(nil), f.finished...)
}

// waitSettled returns the outcomes once there are n: refusals do not wait for them.
func (f *fakePrograms) waitSettled(t *testing.T, n int) []program.FinishCall {
	t.Helper()
	require.Eventually(t, func() bool { return len(f.settled()) >= n }, 2*time.Second, time.Millisecond)
	return f.settled()
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

// streaming returns an engine that sends the parts and, if whole, the end of the stream.
func streaming(whole bool, parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", contentTypeSSE)
		w.Header().Set(headerRequest, r.Header.Get(headerRequest))
		for _, part := range parts {
			fmt.Fprintf(w, ": keep-alive\n\ndata: {\"id\":\"c1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", part)
			w.(http.Flusher).Flush()
		}
		if !whole {
			crash(w, r)
			return
		}
		fmt.Fprint(w, "data: {\"id\":\"c1\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"total_tokens\":9}}\n\ndata: [DONE]\n\n")
	}
}

// crash breaks the connection as a process that dies does.
func crash(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}
