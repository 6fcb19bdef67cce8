package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/server/client"
	"hemlockvale.dev/server/settings"
)

const (
	organisation = "pantry"
	model        = "pickup-chat"
	adminToken   = "end-to-end-admin-token"
	startTimeout = 30 * time.Second
	stopTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	poison       = "poisonous request"
	lifetimeMS   = 1000
)

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hemlockvale-e2e-")
	if err == nil {
		binaries = dir
		build := exec.Command("go", "build", "-o", dir+"/", "hemlockvale.dev/cmd/hemlockvaled", "hemlockvale.dev/cmd/hemlockctl")
		build.Stderr = os.Stderr
		err = build.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := m.Run()
	os.RemoveAll(dir)
	os.Exit(status)
}

// process is one running program of a fleet.
type process struct {
	name string
	args []string
	http string
	log  string
	cmd  *exec.Cmd
	done chan error
}

func (p *process) start(t testing.TB) {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	require.NoError(t, err)
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(t, p.cmd.Start())
	p.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan error) { done <- cmd.Wait() }(p.cmd, p.done)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process without warning.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop asks for a planned stop and returns the exit error.
func (p *process) stop(t testing.TB) error {
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		return err
	case <-time.After(stopTimeout):
		t.Fatalf("%s does not stop", p.name)
		return nil
	}
}

// fleetUnderTest is a deployment of separate processes.
type fleetUnderTest struct {
	t         testing.TB
	processes map[string]*process
	entries   []string
	admin     *client.Admin
	key       string
}

// startFleet starts 3 control VMs, 3 entries, the engines and a plain service.
func startFleet(t testing.TB, engines int) *fleetUnderTest {
	return startFleetOf(t, fleetSize{entries: 3, shards: 16, engines: engines})
}

// fleetSize is the number of entries, shards and engines of a fleet.
type fleetSize struct{ entries, shards, engines int }

func startFleetOf(t testing.TB, size fleetSize) *fleetUnderTest {
	dir := t.TempDir()
	f := &fleetUnderTest{t: t, processes: make(map[string]*process), admin: &client.Admin{Token: adminToken}}
	members, https := map[string]string{}, map[string]string{}
	for i := range 3 {
		addresses := freeAddresses(t, 2)
		name := fmt.Sprintf("control-%d", i+1)
		members[name], https[name] = addresses[0], addresses[1]
		f.admin.Addresses = append(f.admin.Addresses, addresses[1])
	}
	for i := range 3 {
		name := fmt.Sprintf("control-%d", i+1)
		f.add(dir, vmSettings(dir, "control", i, size.shards, members[name], https[name], members, https))
	}
	for i := range size.entries {
		addresses := freeAddresses(t, 2)
		f.entries = append(f.entries, addresses[1])
		f.add(dir, vmSettings(dir, "entry", i, size.shards, addresses[0], addresses[1], members, https))
	}
	for i := range size.engines {
		id := fmt.Sprintf("engine-%d", i+1)
		f.addTarget(dir, "engine", id, "--fencing", []string{"enforced", "ignored"}[i%2], "--crash-on", poison)
	}
	f.addTarget(dir, "service", "service-1", "--delay", "20ms")
	for _, p := range f.processes {
		p.start(t)
	}
	t.Cleanup(f.cleanup)
	f.configure()
	return f
}

func vmSettings(dir, role string, i, shards int, rpc, http string, members, https map[string]string) settings.Settings {
	s := settings.Default()
	centres := []string{"dc-a", "dc-b", "dc-c"}
	id := fmt.Sprintf("%s-%d", role, i+1)
	s.VM = settings.VM{ID: id, Role: role, Region: "test", DataCentre: centres[i%len(centres)], RPCAddress: rpc, HTTPAddress: http}
	s.Deployment.Name, s.Deployment.DataCentres, s.Deployment.Shards = "e2e", centres, shards
	s.Control = settings.Control{Members: members, HTTPAddresses: https, DataDir: filepath.Join(dir, id), AdminToken: adminToken}
	s.Entry.AddressLifetimeMS = lifetimeMS
	return s
}

func (f *fleetUnderTest) add(dir string, s settings.Settings) {
	file := filepath.Join(dir, s.VM.ID+".json")
	data, err := json.Marshal(s)
	require.NoError(f.t, err)
	require.NoError(f.t, os.WriteFile(file, data, 0o600))
	f.processes[s.VM.ID] = &process{
		name: s.VM.ID, http: s.VM.HTTPAddress, log: filepath.Join(dir, s.VM.ID+".log"),
		args: []string{"hemlockvaled", "run", "--settings", file},
	}
}

func (f *fleetUnderTest) addTarget(dir, kind, id string, flags ...string) {
	address := freeAddresses(f.t, 1)[0]
	args := []string{"hemlockctl", "emulate", kind, "--id", id, "--listen", address, "--entries", strings.Join(f.entries, ",")}
	f.processes[id] = &process{name: id, http: address, log: filepath.Join(dir, id+".log"), args: append(args, flags...)}
}

func (f *fleetUnderTest) cleanup() {
	for _, p := range f.processes {
		p.signal(syscall.SIGKILL)
	}
	if !f.t.Failed() {
		return
	}
	for _, p := range f.processes {
		data, err := os.ReadFile(p.log)
		if err != nil {
			continue
		}
		lines := strings.Split(string(data), "\n")
		f.t.Logf("last lines of %s:\n%s", p.name, strings.Join(lines[max(len(lines)-12, 0):], "\n"))
	}
}

func (f *fleetUnderTest) configure() {
	configuration := client.Configuration{
		Services: []fleet.Service{{Name: "agent-llm", Kind: "engine"}, {Name: "exchange-app", Kind: "service"}},
		Profiles: []fleet.Profile{{
			Name: "default", Organisation: organisation, Limits: fleet.Limits{RatePerSecond: 500, Burst: 500}, Models: []string{model},
			Routes: []fleet.Route{{Service: "exchange-app", Method: "POST", PathPrefix: "/pickups", NonIdempotent: true}},
			Resend: fleet.Resend{WindowMS: 60_000, Identify: "body"}, CallTimeoutMS: 60_000,
		}},
		Organisations: []fleet.Organisation{{ID: organisation, Profile: "default"}},
	}
	f.eventually(startTimeout, func() error { return f.admin.Apply(context.Background(), configuration) })
	f.key = f.issueKey("main")
	f.eventually(startTimeout, f.healthy)
}

func (f *fleetUnderTest) issueKey(id string) string {
	key, err := f.admin.IssueKey(context.Background(), organisation, id, uuid.NewString())
	require.NoError(f.t, err)
	return key.Secret
}

// healthy makes a chat call and a commitment through each entry. Commitments
// need two copies of their shard, so several are made.
func (f *fleetUnderTest) healthy() error {
	var errs []error
	for _, address := range f.entries {
		_, err := f.chat(address, f.key, "healthy? "+uuid.NewString())
		errs = append(errs, err)
		for range 8 {
			_, err = f.commit(address, uuid.NewString())
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func (f *fleetUnderTest) eventually(limit time.Duration, check func() error) time.Duration {
	f.t.Helper()
	start := time.Now()
	for {
		err := check()
		if err == nil {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			require.NoError(f.t, err, "still failing after %v", limit)
		}
		time.Sleep(pollInterval)
	}
}

func (f *fleetUnderTest) caller(address, key string) *client.Caller {
	return &client.Caller{Address: address, Key: key, HTTP: &http.Client{Timeout: 20 * time.Second}}
}

func (f *fleetUnderTest) chat(address, key, text string) (client.Completion, error) {
	chat := client.ChatRequest{Model: model, MaxTokens: 2, Messages: []client.Message{{Role: "user", Content: text}}}
	return f.caller(address, key).Chat(context.Background(), chat, nil)
}

// commit sends a request that may not be repeated.
func (f *fleetUnderTest) commit(address, id string) ([]byte, error) {
	return f.caller(address, f.key).Service(context.Background(), http.MethodPost, "exchange-app", "/pickups", []byte(id), map[string]string{"Idempotency-Key": id})
}

// runs returns how often each commitment ran, by its body.
func (f *fleetUnderTest) runs() map[string]int {
	resp, err := http.Get("http://" + f.processes["service-1"].http + "/v1/runs")
	require.NoError(f.t, err)
	defer resp.Body.Close()
	raw := make(map[string]int)
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&raw))
	byBody := make(map[string]int)
	for request, n := range raw {
		byBody[request[strings.LastIndexByte(request, ' ')+1:]] += n
	}
	return byBody
}

// commitments sends commitments until stopped, each one again under its key
// until its outcome is known or the system says that it is not.
type commitments struct {
	mu        sync.Mutex
	confirmed []string
	unknown   []string
	lost      []error
	stop      chan struct{}
	done      sync.WaitGroup
}

func (f *fleetUnderTest) startCommitments(workers int) *commitments {
	c := &commitments{stop: make(chan struct{})}
	for w := range workers {
		c.done.Add(1)
		go func() {
			defer c.done.Done()
			for i := w; ; i++ {
				select {
				case <-c.stop:
					return
				case <-time.After(10 * time.Millisecond):
					c.settle(f, i)
				}
			}
		}()
	}
	return c
}

func (c *commitments) settle(f *fleetUnderTest, i int) {
	id := uuid.NewString()
	deadline := time.Now().Add(15 * time.Second)
	for ; ; i++ {
		_, err := f.commit(f.entries[i%len(f.entries)], id)
		var problem *client.Problem
		isProblem := errors.As(err, &problem)
		c.mu.Lock()
		switch {
		case err == nil:
			c.confirmed = append(c.confirmed, id)
		case isProblem && problem.Code == "call_outcome_unknown":
			c.unknown = append(c.unknown, id)
		case time.Now().After(deadline):
			c.lost = append(c.lost, err)
		default:
			c.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.mu.Unlock()
		return
	}
}

// finish stops the senders and checks that each confirmed commitment ran once
// and that no other ran twice.
func (c *commitments) finish(f *fleetUnderTest) {
	close(c.stop)
	c.done.Wait()
	runs := f.runs()
	require.NotEmpty(f.t, c.confirmed)
	for _, id := range c.confirmed {
		require.Equal(f.t, 1, runs[id], "commitment %s", id)
	}
	for id, n := range runs {
		require.LessOrEqual(f.t, n, 1, "commitment %s", id)
	}
	require.Empty(f.t, c.lost)
	f.t.Logf("%d confirmed, %d unknown", len(c.confirmed), len(c.unknown))
}

// nextPort walks through ports below the ephemeral range: a port from that range
// can be taken by an outgoing connection before the process binds it.
var nextPort = 20000 + os.Getpid()%10000

func freeAddresses(t testing.TB, n int) []string {
	var addresses []string
	for len(addresses) < n {
		nextPort = 20000 + (nextPort+1)%12000
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		require.NoError(t, l.Close())
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// openStream starts a long streamed call and returns its body after the first part.
func (f *fleetUnderTest) openStream(address, key string, tokens int) io.ReadCloser {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, uuid.NewString())
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusOK, resp.StatusCode)
	_, err = io.ReadFull(resp.Body, make([]byte, 32))
	require.NoError(f.t, err)
	return resp.Body
}
