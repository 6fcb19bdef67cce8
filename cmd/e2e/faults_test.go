// Package e2e tests deployments of separate processes. It covers only what needs separate
// processes: kills, pauses and planned stops. Everything else is tested in the packages
// that implement it.
package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/target"
	"hemlockvale.dev/server/client"
)

const (
	// enforcementBound limits the time until all entries enforce a configuration change
	// or a withdrawn key, and until an entry without contact to control refuses calls.
	enforcementBound = 3 * time.Second
	// takeoverBound limits the time until another VM has taken over a shard.
	takeoverBound = 5 * time.Second
)

// TestOwnerFaults guards against non-idempotent requests that run twice or are lost,
// against a program history that is lost, and against a slow takeover of shards. The owner
// of some shards is killed, is paused past its lease, or recovers from a kill before a
// second owner is killed.
func TestOwnerFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(f *testFleet)
	}{
		{"killed", func(f *testFleet) {
			f.processes["entry-2"].kill()
			f.expectServing(f.entries[0], f.entries[2])
		}},
		{"paused past its lease", func(f *testFleet) {
			f.processes["entry-2"].signal(syscall.SIGSTOP)
			time.Sleep(takeoverBound)
			f.processes["entry-2"].signal(syscall.SIGCONT)
			f.expectServing(f.entries...)
		}},
		{"second owner killed after recovery of the first", func(f *testFleet) {
			f.processes["entry-2"].kill()
			f.processes["entry-2"].start(f.t)
			f.expectServing(f.entries...)
			f.processes["entry-3"].kill()
			f.expectServing(f.entries[0], f.entries[1])
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t, 1)
			programID := f.beginProgram("program-1")
			load := f.startNonIdempotentLoad(4)
			time.Sleep(time.Second)
			c.fault(f)
			time.Sleep(500 * time.Millisecond)
			load.finish(f)
			f.expectHistory(programID)
		})
	}
}

// expectServing waits until the entries serve chat calls and non-idempotent calls again.
// The time limit allows for the takeover of the shards and one poll.
func (f *testFleet) expectServing(entries ...string) {
	f.t.Helper()
	took := f.eventually(takeoverBound+time.Second, func() error {
		var errs []error
		for _, address := range entries {
			for range 8 {
				_, err := f.sendNonIdempotent(address, uuid.NewString())
				errs = append(errs, err)
			}
			_, err := f.chat(address, f.key, uuid.NewString())
			errs = append(errs, err)
		}
		return errors.Join(errs...)
	})
	f.t.Logf("serving again after %v", took)
}

// beginProgram makes the first call of the program with the given id, and returns the id.
func (f *testFleet) beginProgram(id string) string {
	chat := client.ChatRequest{Model: model, MaxTokens: 2, ProgramID: id, Messages: []client.Message{{Role: "user", Content: "remember me"}}}
	_, err := f.caller(f.entries[0], f.key).Chat(context.Background(), chat, nil)
	require.NoError(f.t, err)
	return id
}

// expectHistory checks that the history of a program contains its first call once.
func (f *testFleet) expectHistory(id string) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+f.entries[0]+"/v1/programs/"+id+"/history", nil)
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+f.key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	history, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	require.Equal(f.t, 1, strings.Count(string(history), "remember me"), "%s", history)
}

// TestConfigurationInForce guards against a withdrawn key that keeps working, and against
// an entry that does not enforce a change within the bound, even if the entry was
// restarted in the meantime.
func TestConfigurationInForce(t *testing.T) {
	f := startFleetOfSize(t, fleetSize{entries: 20, shards: 64, engines: 1})
	withdrawnKey := f.issueKey("doomed")
	// Entries poll independently of each other, so each entry that the test uses must accept
	// the key, within the bound, before the key is withdrawn.
	for _, entry := range f.entries[1:3] {
		f.eventually(enforcementBound, func() error { _, err := f.chat(entry, withdrawnKey, uuid.NewString()); return err })
	}
	stream := f.openStream(f.entries[1], withdrawnKey, 4000)
	defer stream.Close()
	f.processes["entry-1"].kill()
	require.NoError(t, f.admin.Do(context.Background(), client.Request{Method: http.MethodDelete, Path: "/v1/admin/keys/doomed", Operation: uuid.NewString()}, nil))
	withdrawnAt := time.Now()
	f.processes["entry-1"].start(t)
	rest, err := io.ReadAll(stream)
	require.NoError(t, err)
	require.Contains(t, string(rest), "key_withdrawn")
	require.Less(t, time.Since(withdrawnAt), enforcementBound)
	for _, address := range f.entries[1:] {
		f.eventually(max(enforcementBound-time.Since(withdrawnAt), 0), func() error { return checkProblem(f.chat(address, withdrawnKey, "x"))("unknown_key", "no") })
	}
	t.Logf("refused by 19 entries after %v", time.Since(withdrawnAt))
	f.eventually(startTimeout, func() error { return checkProblem(f.chat(f.entries[0], withdrawnKey, "x"))("unknown_key", "no") })
	f.eventually(takeoverBound, func() error { return f.putAlias("everywhere") })
	changedAt := time.Now()
	f.expectAlias("everywhere")
	require.Less(t, time.Since(changedAt), enforcementBound)
	t.Logf("enforced by 20 entries after %v", time.Since(changedAt))
}

// checkProblem takes the results of a chat call and returns a function that checks that
// the call failed with the given problem code and value of executed.
func checkProblem(_ client.Completion, err error) func(code, executed string) error {
	return func(code, executed string) error {
		var problem *client.Problem
		if errors.As(err, &problem) && problem.Code == code && problem.Executed == executed {
			return nil
		}
		return fmt.Errorf("want %s, executed %s; got %w", code, executed, errorOrCompletion(err))
	}
}

// errorOrCompletion returns err or, if err is nil, an error which says that the call got a
// completion.
func errorOrCompletion(err error) error {
	if err == nil {
		return errors.New("a completion")
	}
	return err
}

// TestControlFaults guards against a paused control leader that blocks or reverts
// changes, against entries that keep serving without contact to control, and against
// changes that are lost when all control VMs are killed.
func TestControlFaults(t *testing.T) {
	f := startFleet(t, 1)
	leader := f.controlLeader()
	f.processes[leader].signal(syscall.SIGSTOP)
	f.eventually(takeoverBound, func() error { return f.putAlias("first") })
	f.processes[leader].signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	f.expectAlias("first")

	for i := range 3 {
		f.processes[fmt.Sprintf("control-%d", i+1)].signal(syscall.SIGSTOP)
	}
	for _, address := range f.entries {
		f.eventually(enforcementBound, func() error { return checkProblem(f.chat(address, f.key, "x"))("configuration_stale", "no") })
	}
	for i := range 3 {
		f.processes[fmt.Sprintf("control-%d", i+1)].signal(syscall.SIGCONT)
	}
	f.expectServing(f.entries...)

	for i := range 3 {
		f.processes[fmt.Sprintf("control-%d", i+1)].kill()
	}
	for i := range 3 {
		f.processes[fmt.Sprintf("control-%d", i+1)].start(t)
	}
	f.eventually(takeoverBound, f.checkHealth)
	f.expectAlias("first")
	f.eventually(takeoverBound, func() error { return f.putAlias("second") })
	f.expectAlias("second")
}

// putAlias replaces the model aliases of the profile by the given alias of the model.
func (f *testFleet) putAlias(alias string) error {
	ctx, cancel := context.WithTimeout(context.Background(), takeoverBound)
	defer cancel()
	var profile fleet.Profile
	if err := f.admin.Do(ctx, client.Request{Method: http.MethodGet, Path: "/v1/admin/profiles/default"}, &profile); err != nil {
		return err
	}
	profile.ModelAliases = map[string]string{alias: model}
	return f.admin.Put(ctx, "profiles", "default", profile)
}

// expectAlias checks that every entry accepts the alias within enforcementBound.
func (f *testFleet) expectAlias(alias string) {
	f.t.Helper()
	chat := client.ChatRequest{Model: alias, MaxTokens: 1, Messages: []client.Message{{Role: "user", Content: "x"}}}
	for _, address := range f.entries {
		f.eventually(enforcementBound, func() error {
			_, err := f.caller(address, f.key).Chat(context.Background(), chat, nil)
			return err
		})
	}
}

// controlLeader returns the name of the control VM that leads the quorum.
func (f *testFleet) controlLeader() string {
	var description struct {
		Leader struct {
			Name string `json:"name"`
		} `json:"leader"`
	}
	f.eventually(takeoverBound, func() error {
		return f.admin.Do(context.Background(), client.Request{Method: http.MethodGet, Path: "/v1/admin/quorum"}, &description)
	})
	require.Contains(f.t, f.processes, description.Leader.Name)
	return description.Leader.Name
}

// TestPlannedStop guards against a planned stop that interrupts a request, and against an
// entry that refuses callers although the lifetime of the list of entries that they got
// from GET /v1/entries has not expired.
func TestPlannedStop(t *testing.T) {
	f := startFleet(t, 2)
	stream := f.openStream(f.entries[1], f.key, 800)
	defer stream.Close()
	load := f.startNonIdempotentLoad(2)
	listed, err := f.caller(f.entries[0], f.key).Entries(context.Background())
	require.NoError(t, err)
	listedAt := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- f.processes["entry-2"].stop(t) }()
	for time.Since(listedAt) < time.Duration(listed.LifetimeMS)*time.Millisecond {
		for _, entry := range listed.Entries {
			_, err := f.chat(entry.Address, f.key, uuid.NewString())
			require.NoError(t, err)
		}
	}
	f.eventually(enforcementBound, func() error {
		list, err := f.caller(f.entries[0], f.key).Entries(context.Background())
		for _, entry := range list.Entries {
			if entry.Address == f.entries[1] {
				return errors.New("the draining VM is still listed")
			}
		}
		return err
	})
	rest, err := io.ReadAll(stream)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"), "the stream was interrupted")
	require.NoError(t, <-stopped)
	load.finish(f)

	leader := f.controlLeader()
	require.NoError(t, f.processes[leader].stop(t))
	f.eventually(takeoverBound, func() error { return f.putAlias("after the stop") })
}

// TestLeavingTarget guards against a leaving target that gets new work, and against a
// graceful stop that ends with an error.
func TestLeavingTarget(t *testing.T) {
	f := startFleet(t, 2)
	first, err := f.chat(f.entries[0], f.key, "who serves?")
	require.NoError(t, err)
	require.NotEmpty(t, first.Target)
	leaving := f.processes["engine-1"]
	stopped := make(chan error, 1)
	go func() { stopped <- leaving.stop(t) }()
	time.Sleep(3 * time.Second)
	for range 10 {
		for _, address := range f.entries {
			completion, err := f.chat(address, f.key, uuid.NewString())
			require.NoError(t, err)
			require.NotEqual(t, "engine-1", completion.Target)
		}
	}
	require.NoError(t, <-stopped)
}

// TestCrashingRequest guards against a request that crashes one target after the other.
// It must be quarantined after two crashes, and the other engines must keep serving.
func TestCrashingRequest(t *testing.T) {
	f := startFleet(t, 4)
	text := crashText + " " + uuid.NewString()
	for _, address := range f.entries {
		_, err := f.chat(address, f.key, text)
		require.Error(t, err)
	}
	f.eventually(time.Second, func() error { return checkProblem(f.chat(f.entries[1], f.key, text))("request_quarantined", "no") })
	alive := 0
	for i := range 4 {
		select {
		case <-f.processes[fmt.Sprintf("engine-%d", i+1)].done:
		default:
			alive++
		}
	}
	require.Equal(t, 2, alive, "engines that are still alive")
	f.expectServing(f.entries...)
}

// releaseBound limits the time until the engines have released the memory of a program
// that has ended or expired.
const releaseBound = 10 * time.Second

// TestEngineMemoryIsReleased guards against engine memory that is not released when a
// program ends or exceeds the idle timeout, also if the owner of its shard is killed
// before the release.
func TestEngineMemoryIsReleased(t *testing.T) {
	f := startFleet(t, 2)
	f.setIdleTimeout(4 * time.Second)
	for i := range 6 {
		f.beginProgram(fmt.Sprintf("ended-%d", i))
		f.beginProgram(fmt.Sprintf("idle-%d", i))
	}
	require.Error(t, f.checkReleased("ended"))
	require.Error(t, f.checkReleased("idle"))
	for i := range 6 {
		f.endProgram(fmt.Sprintf("ended-%d", i))
	}
	f.processes["entry-3"].kill()
	f.eventually(releaseBound, func() error { return f.checkReleased("ended") })
	// The idle timeout of 4 s starts at the last call, and a takeover may delay the release.
	f.eventually(4*time.Second+takeoverBound+releaseBound, func() error { return f.checkReleased("idle") })
}

// setIdleTimeout sets the idle timeout of programs and waits one second for the entries to
// apply it.
func (f *testFleet) setIdleTimeout(d time.Duration) {
	var profile fleet.Profile
	require.NoError(f.t, f.admin.Do(context.Background(), client.Request{Method: http.MethodGet, Path: "/v1/admin/profiles/default"}, &profile))
	profile.IdleTimeoutMS = d.Milliseconds()
	require.NoError(f.t, f.admin.Put(context.Background(), "profiles", "default", profile))
	time.Sleep(time.Second)
}

func (f *testFleet) endProgram(id string) {
	req, err := http.NewRequest(http.MethodDelete, "http://"+f.entries[0]+"/v1/programs/"+id, nil)
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+f.key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	require.Equal(f.t, http.StatusNoContent, resp.StatusCode)
}

// heldPrograms returns the programs for which the first two engines hold memory, as
// organisation/id.
func (f *testFleet) heldPrograms() []string {
	var programs []string
	for i := range 2 {
		resp, err := http.Get("http://" + f.processes[fmt.Sprintf("engine-%d", i+1)].httpAddress + "/v1/orders")
		require.NoError(f.t, err)
		var state target.EngineState
		require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&state))
		resp.Body.Close()
		for _, held := range state.Held {
			programs = append(programs, held.Program)
		}
	}
	return programs
}

// checkReleased returns an error if an engine holds memory for a program whose id has the
// given prefix.
func (f *testFleet) checkReleased(prefix string) error {
	for _, held := range f.heldPrograms() {
		if strings.HasPrefix(held, organisation+"/"+prefix) {
			return fmt.Errorf("%s is still held", held)
		}
	}
	return nil
}

// TestRateAcrossTheFleet guards against a higher rate than configured, and against a second
// burst, when callers use all entries and the owner of the organisation's token bucket is
// killed.
func TestRateAcrossTheFleet(t *testing.T) {
	const rate, burst, seconds = 20, 30, 8
	f := startFleet(t, 1)
	var profile fleet.Profile
	require.NoError(t, f.admin.Do(context.Background(), client.Request{Method: http.MethodGet, Path: "/v1/admin/profiles/default"}, &profile))
	profile.Limits = fleet.Limits{RatePerSecond: rate, Burst: burst}
	require.NoError(t, f.admin.Put(context.Background(), "profiles", "default", profile))
	time.Sleep(enforcementBound)
	start := time.Now()
	var admitted, refused atomic.Int64
	var workers sync.WaitGroup
	for w := range 9 {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for time.Since(start) < seconds*time.Second {
				_, err := f.sendNonIdempotent(f.entries[w%3], uuid.NewString())
				var problem *client.Problem
				switch {
				case err == nil:
					admitted.Add(1)
				case errors.As(err, &problem) && problem.Code == "rate_limited":
					refused.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	f.processes["entry-1"].kill()
	time.Sleep(takeoverBound)
	f.processes["entry-1"].start(t)
	workers.Wait()
	elapsed := time.Since(start).Seconds()
	t.Logf("%d admitted, %d refused in %.1f s", admitted.Load(), refused.Load(), elapsed)
	require.LessOrEqual(t, float64(admitted.Load()), rate*elapsed+burst)
	require.Positive(t, refused.Load())
	require.Positive(t, admitted.Load())
}
