package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
)

const testToken = "operator-token"

// fakeLog is a replicated log with one voter that can simulate faults.
type fakeLog struct {
	mu          sync.Mutex
	machine     *Machine
	index       uint64
	leader      string // name of the leader, if it is another VM
	leaderSince time.Time
	barrierErr  error
	proposeErr  error
	applyFirst  bool // a proposal is applied before it fails with proposeErr
	voters      []Voter
	clockOffset atomic.Int64 // nanoseconds by which the VM's clock is ahead
}

func (f *fakeLog) Propose(_ context.Context, data []byte) (any, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.proposeErr != nil && !f.applyFirst {
		return nil, f.proposeErr
	}
	f.index++
	return f.machine.Apply(f.index, data), f.proposeErr
}

func (f *fakeLog) ReadBarrier(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.barrierErr
}

func (f *fakeLog) Leader() (string, string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" {
		return f.leader, "127.0.0.1:9", false
	}
	return "c1", "127.0.0.1:9", true
}

func (f *fakeLog) LeaderSince() time.Time { return f.leaderSince }
func (f *fakeLog) Describe() any          { return f.voters }
func (f *fakeLog) AddVoter(_ context.Context, v Voter) error {
	f.voters = append(f.voters, v)
	return nil
}
func (f *fakeLog) RemoveVoter(_ context.Context, _ Voter) error { f.voters = nil; return nil }
func (f *fakeLog) fail(barrier, propose error, applyFirst bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.barrierErr, f.proposeErr, f.applyFirst = barrier, propose, applyFirst
}

// newControl returns the control role of a VM that became the leader an hour ago, its
// fake log, a server with its API, and its log output.
func newControl(t testing.TB) (*Control, *fakeLog, *httptest.Server, *strings.Builder) {
	logText := &strings.Builder{}
	log := logrus.New()
	log.SetOutput(io.MultiWriter(logText, io.Discard))
	f := &fakeLog{machine: NewMachine(), leaderSince: time.Now().Add(-time.Hour)}
	c, err := New(Options{
		Settings: Settings{Name: "c1", Region: "r1", AdminToken: testToken, Shards: 8, HTTPAddresses: map[string]string{}},
		Quorum:   f, State: f.machine, Log: logrus.NewEntry(log),
	})
	require.NoError(t, err)
	s := httptest.NewServer(c.HTTPHandler())
	t.Cleanup(s.Close)
	c.clock = func() time.Time { return time.Now().Add(time.Duration(f.clockOffset.Load())) }
	return c, f, s, logText
}

// apiResponse is an HTTP response of the operators' API.
type apiResponse struct {
	status int
	etag   string
	body   string
	Problem
}

// request sends a request to the operators' API. headers holds alternating names and
// values.
func request(t testing.TB, s *httptest.Server, method, path, body string, headers ...string) apiResponse {
	t.Helper()
	r, err := http.NewRequest(method, s.URL+"/v1/admin"+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.Client().Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	response := apiResponse{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: string(data)}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		require.NoError(t, json.Unmarshal(data, &response.Problem))
	}
	return response
}

func testVM(id, incarnation, dataCentre string) fleet.VM {
	return fleet.VM{
		VMRef: fleet.VMRef{ID: id, Incarnation: incarnation}, Role: fleet.RoleEntry, DataCentre: dataCentre, Region: "r1",
		RPCAddress: "127.0.0.1:1", HTTPAddress: "127.0.0.1:2",
	}
}
