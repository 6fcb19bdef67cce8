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
	// crashText is the text in a request that crashes an emulated engine.
	crashText = "crash the engine"
	// addressLifetimeMS is how long callers may keep a list of entries, in milliseconds.
	addressLifetimeMS = 1000
)

// binaryDir is the directory with the binaries that TestMain builds.
var binaryDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hemlockvale-e2e-")
	if err == nil {
		binaryDir = dir
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

// process is one process of a fleet: a VM or an emulated target.
type process struct {
	name        string
	args        []string // name of the binary and its arguments
	httpAddress string
	logFile     string
	cmd         *exec.Cmd
	done        chan error // receives the exit error when cmd has exited
}

func (p *process) start(t testing.TB) {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	require.NoError(t, err)
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(binaryDir, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(t, p.cmd.Start())
	p.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan error) { done <- cmd.Wait() }(p.cmd, p.done)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process with SIGKILL and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop starts a planned stop, waits until the process has exited and returns its exit
// error.
func (p *process) stop(t testing.TB) error {
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		return err
	case <-time.After(stopTimeout):
		t.Fatalf("%s did not stop", p.name)
		return nil
	}
}

// testFleet is a deployment under test whose VMs and targets are separate processes.
type testFleet struct {
	t         testing.TB
	processes map[string]*process
	entries   []string
	admin     *client.Admin
	key       string
}

// startFleet starts 3 control VMs, 3 entries, the given number of engines and a plain
// service.
func startFleet(t testing.TB, engines int) *testFleet {
	return startFleetOfSize(t, fleetSize{entries: 3, shards: 16, engines: engines})
}

// fleetSize holds the numbers of entries, shards and engines of a fleet.
type fleetSize struct{ entries, shards, engines int }

// startFleetOfSize starts a fleet of the given size and waits until it serves calls.
func startFleetOfSize(t testing.TB, size fleetSize) *testFleet {
	dir := t.TempDir()
	f := &testFleet{t: t, processes: make(map[string]*process), admin: &client.Admin{Token: adminToken}}
	members, httpAddresses := map[string]string{}, map[string]string{}
	for i := range 3 {
		addresses := freeAddresses(t, 2)
		name := fmt.Sprintf("control-%d", i+1)
		members[name], httpAddresses[name] = addresses[0], addresses[1]
		f.admin.Addresses = append(f.admin.Addresses, addresses[1])
	}
	for i := range 3 {
		name := fmt.Sprintf("control-%d", i+1)
		f.addVM(dir, vmSettings(dir, "control", i, size.shards, members[name], httpAddresses[name], members, httpAddresses))
	}
	for i := range size.entries {
		addresses := freeAddresses(t, 2)
		f.entries = append(f.entries, addresses[1])
		f.addVM(dir, vmSettings(dir, "entry", i, size.shards, addresses[0], addresses[1], members, httpAddresses))
	}
	for i := range size.engines {
		id := fmt.Sprintf("engine-%d", i+1)
		f.addTarget(dir, "engine", id, "--fencing", []string{"enforced", "ignored"}[i%2], "--crash-on", crashText)
	}
	f.addTarget(dir, "service", "service-1", "--delay", "20ms")
	for _, p := range f.processes {
		p.start(t)
	}
	t.Cleanup(f.cleanup)
	f.configure()
	return f
}

// vmSettings returns the settings of VM i, counted from 0, in the given role.
func vmSettings(dir, role string, i, shards int, rpcAddress, httpAddress string, members, httpAddresses map[string]string) settings.Settings {
	s := settings.Default()
	dataCentres := []string{"dc-a", "dc-b", "dc-c"}
	id := fmt.Sprintf("%s-%d", role, i+1)
	s.VM = settings.VM{ID: id, Role: role, Region: "test", DataCentre: dataCentres[i%len(dataCentres)], RPCAddress: rpcAddress, HTTPAddress: httpAddress}
	s.Deployment.Name, s.Deployment.DataCentres, s.Deployment.Shards = "e2e", dataCentres, shards
	s.Control = settings.Control{Members: members, HTTPAddresses: httpAddresses, DataDir: filepath.Join(dir, id), AdminToken: adminToken}
	s.Entry.AddressLifetimeMS = addressLifetimeMS
	return s
}

// addVM writes the settings file of a VM and adds its process to the fleet.
func (f *testFleet) addVM(dir string, s settings.Settings) {
	file := filepath.Join(dir, s.VM.ID+".json")
	data, err := json.Marshal(s)
	require.NoError(f.t, err)
	require.NoError(f.t, os.WriteFile(file, data, 0o600))
	f.processes[s.VM.ID] = &process{
		name: s.VM.ID, httpAddress: s.VM.HTTPAddress, logFile: filepath.Join(dir, s.VM.ID+".log"),
		args: []string{"hemlockvaled", "run", "--settings", file},
	}
}

// addTarget adds the process of an emulated target of the given kind to the fleet.
func (f *testFleet) addTarget(dir, kind, id string, flags ...string) {
	address := freeAddresses(f.t, 1)[0]
	args := []string{"hemlockctl", "emulate", kind, "--id", id, "--listen", address, "--entries", strings.Join(f.entries, ",")}
	f.processes[id] = &process{name: id, httpAddress: address, logFile: filepath.Join(dir, id+".log"), args: append(args, flags...)}
}

// cleanup kills all processes and, if the test failed, prints the last lines of their
// logs.
func (f *testFleet) cleanup() {
	for _, p := range f.processes {
		p.signal(syscall.SIGKILL)
	}
	if !f.t.Failed() {
		return
	}
	for _, p := range f.processes {
		data, err := os.ReadFile(p.logFile)
		if err != nil {
			continue
		}
		lines := strings.Split(string(data), "\n")
		f.t.Logf("last lines of %s:\n%s", p.name, strings.Join(lines[max(len(lines)-12, 0):], "\n"))
	}
}

// configure applies the configuration, issues a key and waits until all entries serve.
func (f *testFleet) configure() {
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
	f.eventually(startTimeout, f.checkHealth)
}

func (f *testFleet) issueKey(id string) string {
	key, err := f.admin.IssueKey(context.Background(), organisation, id, uuid.NewString())
	require.NoError(f.t, err)
	return key.Secret
}

// checkHealth sends a chat call and 8 non-idempotent calls to each entry. A
// non-idempotent call needs two copies of its shard, so several calls are sent to
// reach several shards.
func (f *testFleet) checkHealth() error {
	var errs []error
	for _, address := range f.entries {
		_, err := f.chat(address, f.key, "healthy? "+uuid.NewString())
		errs = append(errs, err)
		for range 8 {
			_, err = f.sendNonIdempotent(address, uuid.NewString())
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// eventually repeats check until it succeeds and returns how long that took. The test
// fails after the timeout.
func (f *testFleet) eventually(timeout time.Duration, check func() error) time.Duration {
	f.t.Helper()
	start := time.Now()
	for {
		err := check()
		if err == nil {
			return time.Since(start)
		}
		if time.Since(start) > timeout {
			require.NoError(f.t, err, "still failing after %v", timeout)
		}
		time.Sleep(pollInterval)
	}
}

func (f *testFleet) caller(address, key string) *client.Caller {
	return &client.Caller{Address: address, Key: key, HTTP: &http.Client{Timeout: 20 * time.Second}}
}

func (f *testFleet) chat(address, key, text string) (client.Completion, error) {
	chat := client.ChatRequest{Model: model, MaxTokens: 2, Messages: []client.Message{{Role: "user", Content: text}}}
	return f.caller(address, key).Chat(context.Background(), chat, nil)
}

// sendNonIdempotent sends a non-idempotent request with id as its idempotency key and
// body.
func (f *testFleet) sendNonIdempotent(address, id string) ([]byte, error) {
	return f.caller(address, f.key).Service(context.Background(), http.MethodPost, "exchange-app", "/pickups", []byte(id), map[string]string{"Idempotency-Key": id})
}

// runCounts returns how often the plain service ran each request, by the request body.
func (f *testFleet) runCounts() map[string]int {
	resp, err := http.Get("http://" + f.processes["service-1"].httpAddress + "/v1/runs")
	require.NoError(f.t, err)
	defer resp.Body.Close()
	byRequest := make(map[string]int)
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&byRequest))
	byBody := make(map[string]int)
	for request, n := range byRequest {
		byBody[request[strings.LastIndexByte(request, ' ')+1:]] += n
	}
	return byBody
}

// nonIdempotentLoad sends non-idempotent requests until it is stopped. It repeats each
// request with the same idempotency key until the request succeeds, is refused because
// its outcome is unknown, or passes its deadline.
type nonIdempotentLoad struct {
	mu        sync.Mutex
	confirmed []string // ids of the requests that succeeded
	unknown   []string // ids of the requests whose outcome is unknown
	unsettled []error  // last errors of the requests whose deadline has passed
	stop      chan struct{}
	workers   sync.WaitGroup
}

// startNonIdempotentLoad starts a load with the given number of workers.
func (f *testFleet) startNonIdempotentLoad(workers int) *nonIdempotentLoad {
	l := &nonIdempotentLoad{stop: make(chan struct{})}
	for w := range workers {
		l.workers.Add(1)
		go func() {
			defer l.workers.Done()
			for i := w; ; i++ {
				select {
				case <-l.stop:
					return
				case <-time.After(10 * time.Millisecond):
					l.sendUntilSettled(f, i)
				}
			}
		}()
	}
	return l
}

// sendUntilSettled sends one request to the entries in turn, starting with entry i, until
// it succeeds, its outcome is unknown or its deadline has passed.
func (l *nonIdempotentLoad) sendUntilSettled(f *testFleet, i int) {
	id := uuid.NewString()
	deadline := time.Now().Add(15 * time.Second)
	for ; ; i++ {
		_, err := f.sendNonIdempotent(f.entries[i%len(f.entries)], id)
		var problem *client.Problem
		isProblem := errors.As(err, &problem)
		l.mu.Lock()
		switch {
		case err == nil:
			l.confirmed = append(l.confirmed, id)
		case isProblem && problem.Code == "call_outcome_unknown":
			l.unknown = append(l.unknown, id)
		case time.Now().After(deadline):
			l.unsettled = append(l.unsettled, err)
		default:
			l.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		l.mu.Unlock()
		return
	}
}

// finish stops the load and checks that each confirmed request ran exactly once, that
// no other request ran more than once, and that no request is unsettled.
func (l *nonIdempotentLoad) finish(f *testFleet) {
	close(l.stop)
	l.workers.Wait()
	runs := f.runCounts()
	require.NotEmpty(f.t, l.confirmed)
	for _, id := range l.confirmed {
		require.Equal(f.t, 1, runs[id], "request %s", id)
	}
	for id, n := range runs {
		require.LessOrEqual(f.t, n, 1, "request %s", id)
	}
	require.Empty(f.t, l.unsettled)
	f.t.Logf("%d confirmed, %d unknown", len(l.confirmed), len(l.unknown))
}

// lastPort is the port that freeAddresses tried last. Its ports are below the ephemeral
// range, because an outgoing connection could take a port from that range before the
// process binds it.
var lastPort = 20000 + os.Getpid()%10000

// freeAddresses returns n loopback addresses whose ports are free.
func freeAddresses(t testing.TB, n int) []string {
	var addresses []string
	for len(addresses) < n {
		lastPort = 20000 + (lastPort+1)%12000
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lastPort))
		if err != nil {
			continue
		}
		require.NoError(t, l.Close())
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// openStream starts a streamed call and returns the response body after reading the
// first 32 bytes of it.
func (f *testFleet) openStream(address, key string, tokens int) io.ReadCloser {
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
