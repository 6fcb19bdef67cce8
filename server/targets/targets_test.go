package targets

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/placement"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/coord/target"
	"hemlockvale.dev/server/emulator"
)

// noNewWork is the bound after which a leaving target gets nothing new.
const noNewWork = 3 * time.Second

var testProgram = program.Ref{Organisation: "org", ID: "p1"}

// chat runs a request of the test program on the engine.
func chat(t *testing.T, e *emulator.Engine) {
	t.Helper()
	body, err := json.Marshal(emulator.ChatRequest{Model: "m", Messages: []emulator.Message{{Role: "user", Content: strings.Repeat("x", 400)}}})
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Address()+"/v1/chat/completions", bytes.NewReader(body))
	require.NoError(t, err)
	req.Header.Set(emulator.ProgramHeader, CacheKey(testProgram))
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// Guards against entries that never hear of a target, and against views that
// keep one that left, crashed or is drained for longer than a lease.
func TestTargetsComeAndGo(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		bound time.Duration
		end   func(f *fakeFleet, e *emulator.Engine, stop func())
	}{
		{"leaving", noNewWork, func(_ *fakeFleet, _ *emulator.Engine, stop func()) { stop() }},
		// The lease starts when an entry receives the announcement, just after it was sent.
		{"crashed", target.MaxLease + 100*time.Millisecond, func(_ *fakeFleet, e *emulator.Engine, _ func()) { e.Crash() }},
		{"drained", noNewWork, func(f *fakeFleet, _ *emulator.Engine, _ func()) {
			f.change(func() { f.drains = []fleet.TargetDrain{{ID: "e1", Draining: true}} })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, nodes := newFleet(t, 3)
			// The engine announces to one entry; the others depend on forwarding.
			e, stop := startEngine(t, emulator.EngineOptions{ID: "e1"}, nodes[2])
			for _, n := range nodes {
				sees(t, n, 2*time.Second, count(1))
			}
			c.end(f, e, stop)
			for _, n := range nodes {
				sees(t, n, c.bound, count(0))
			}
		})
	}
}

// Guards against cache contents of an earlier run being attributed to a restarted target.
func TestCacheViewFollowsEventsAndRestart(t *testing.T) {
	t.Parallel()
	_, nodes := newFleet(t, 2)
	e, _ := startEngine(t, emulator.EngineOptions{ID: "e1"}, nodes[1])
	sees(t, nodes[0], 2*time.Second, count(1))
	chat(t, e)
	cached := func() int64 {
		cs := nodes[0].Candidates(testService, "m", testProgram)
		if len(cs) == 0 {
			return -1
		}
		return cs[0].CachedTokens
	}
	require.Eventually(t, func() bool { return cached() > 100 }, 2*time.Second, 10*time.Millisecond)
	e.Crash()
	startEngine(t, emulator.EngineOptions{ID: "e1"}, nodes[1])
	require.Eventually(t, func() bool { return cached() == 0 }, 2*time.Second, 10*time.Millisecond)
}

// Guards against unusable messages that are accepted, and usable ones that are refused.
func TestTargetMessages(t *testing.T) {
	t.Parallel()
	_, nodes := newFleet(t, 1)
	good := target.Announcement{ID: "e1", Incarnation: "i", Kind: "engine", Service: testService, Address: "127.0.0.1:9", LeaseMS: 3000, Sequence: 1}
	bad, foreign := good, good
	bad.Address, foreign.Address = "host:9", "10.0.0.1:9"
	nodes[0].options.Networks = []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}
	stranger := httptest.NewRequest(http.MethodPost, "/v1/targets/announce", strings.NewReader("{}"))
	stranger.RemoteAddr = "192.0.2.1:1234"
	refusal := httptest.NewRecorder()
	nodes[0].fromTarget(nodes[0].handleAnnounce)(refusal, stranger)
	require.Equal(t, http.StatusForbidden, refusal.Code)
	for _, c := range []struct {
		path   string
		body   any
		status int
	}{
		{"/v1/targets/announce", good, http.StatusOK},
		{"/v1/targets/announce", good, http.StatusOK}, // a duplicate is answered like the first
		{"/v1/targets/announce", bad, http.StatusBadRequest},
		{"/v1/targets/announce", foreign, http.StatusBadRequest},
		{"/v1/targets/announce", "text", http.StatusBadRequest},
		{"/v1/targets/e1/cache-events", target.CacheReport{Incarnation: "i"}, http.StatusNoContent},
		{"/v1/targets/e1/cache-events", target.CacheReport{}, http.StatusBadRequest},
	} {
		data, err := json.Marshal(c.body)
		require.NoError(t, err)
		resp, err := http.Post("http://"+nodes[0].vm.HTTPAddress+c.path, "application/json", bytes.NewReader(data))
		require.NoError(t, err)
		require.Equal(t, c.status, resp.StatusCode, "%s %s", c.path, data)
		var reply target.AnnounceReply
		if c.status == http.StatusOK {
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&reply))
			require.Equal(t, []string{nodes[0].vm.HTTPAddress}, reply.Watchers)
		}
		require.NoError(t, resp.Body.Close())
	}
}

// Guards against orders that do not reach the target through another entry, and
// outcomes that are reported wrongly.
func TestOrders(t *testing.T) {
	t.Parallel()
	for _, fencing := range []string{target.FencingEnforced, target.FencingIgnored} {
		t.Run(fencing, func(t *testing.T) {
			t.Parallel()
			_, nodes := newFleet(t, 2)
			e, _ := startEngine(t, emulator.EngineOptions{ID: "e1", Fencing: fencing, Models: []string{"m"}}, nodes[0])
			sees(t, nodes[1], 2*time.Second, count(1))
			for _, c := range []struct {
				order target.Order
				err   error
			}{
				{target.Order{Kind: "load_model", Model: "m2"}, nil},
				{target.Order{Kind: "unload_model", Model: "m"}, nil},
				{target.Order{Kind: "load_adapter", Argument: "a"}, nil},
				{target.Order{Kind: "set_version", Argument: "v"}, nil},
				{target.Order{Kind: "set_role", Argument: "prefill"}, nil},
				{target.Order{Kind: "keep", Program: "org/k"}, nil},
				{target.Order{Kind: "export", Program: "org/k"}, nil},
				{target.Order{Kind: "export", Program: "org/absent"}, target.ErrOrderRefused},
				{target.Order{Kind: "dance"}, target.ErrOrderRefused},
				{target.Order{Kind: "keep", Program: "org/k", DeadlineMS: 60_000}, target.ErrDeadline},
			} {
				for _, n := range nodes {
					require.ErrorIs(t, n.Order(t.Context(), "e1", c.order), c.err, "%+v", c.order)
				}
			}
			s := e.State()
			require.Equal(t, []string{"m2"}, s.Models)
			require.Equal(t, []string{"a"}, s.Adapters)
			require.Equal(t, "v prefill", s.Version+" "+s.Role)
			require.True(t, s.Holds("org/k"))
		})
	}
}

// Guards against engine memory that stays allocated to a program that is gone:
// when release orders or their answers are lost, when a keep arrives late, when
// the owner of the orders fails, and when a request stores the prefix again.
func TestReleaseFreesMemory(t *testing.T) {
	t.Parallel()
	const bound = 10 * time.Second
	loseSome := func() func(target.Order) emulator.OrderFault {
		faults := []emulator.OrderFault{emulator.OrderLost, emulator.OrderLost, emulator.OrderUnanswered}
		return func(o target.Order) emulator.OrderFault {
			if o.Kind != "release" || len(faults) == 0 {
				return emulator.OrderIntact
			}
			fault := faults[0]
			faults = faults[1:]
			return fault
		}
	}
	loseFirstOwners := func(o target.Order) emulator.OrderFault {
		if o.Fencing == 1 {
			return emulator.OrderLost
		}
		return emulator.OrderIntact
	}
	slowKeep := func(o target.Order) emulator.OrderFault {
		if o.Kind == "keep" {
			time.Sleep(target.MaxOrderDeadline / 2)
		}
		return emulator.OrderIntact
	}
	always := func(f func(target.Order) emulator.OrderFault) func() func(target.Order) emulator.OrderFault {
		return func() func(target.Order) emulator.OrderFault { return f }
	}
	for _, c := range []struct {
		name  string
		fault func() func(target.Order) emulator.OrderFault
		act   func(t *testing.T, f *fakeFleet, nodes []*node, e *emulator.Engine)
	}{
		{"orders and answers lost", loseSome, nil},
		{"late keep", always(slowKeep), func(t *testing.T, _ *fakeFleet, nodes []*node, _ *emulator.Engine) {
			go func() {
				_ = nodes[0].Order(t.Context(), "e1", target.Order{Kind: "keep", Program: CacheKey(testProgram)})
			}()
			time.Sleep(300 * time.Millisecond)
		}},
		{"owner fails", always(loseFirstOwners), func(_ *testing.T, f *fakeFleet, nodes []*node, _ *emulator.Engine) {
			time.Sleep(time.Second)
			nodes[0].stop()
			f.change(func() { f.epoch, f.owner = 2, nodes[1].vm.VMRef })
		}},
		{"stored again", always(nil), func(t *testing.T, _ *fakeFleet, nodes []*node, e *emulator.Engine) {
			require.Eventually(t, func() bool { return nodes[1].PendingReleases() == 0 }, bound, 10*time.Millisecond)
			chat(t, e)
			require.True(t, e.State().Holds(CacheKey(testProgram)))
		}},
	} {
		for _, fencing := range []string{target.FencingEnforced, target.FencingIgnored} {
			t.Run(c.name+" "+fencing, func(t *testing.T) {
				t.Parallel()
				f, nodes := newFleet(t, 2)
				e, _ := startEngine(t, emulator.EngineOptions{ID: "e1", Fencing: fencing, OrderFault: c.fault()}, nodes...)
				sees(t, nodes[1], 2*time.Second, count(1))
				chat(t, e)
				require.True(t, e.State().Holds(CacheKey(testProgram)))
				start := time.Now()
				nodes[1].Release(testProgram, []string{"e1"})
				if c.act != nil {
					c.act(t, f, nodes, e)
				}
				if c.name == "stored again" {
					start = time.Now()
				}
				require.Eventually(t, func() bool { return !e.State().Holds(CacheKey(testProgram)) }, bound-time.Since(start), 10*time.Millisecond)
				require.Eventually(t, func() bool { return nodes[1].PendingReleases() == 0 }, bound, 10*time.Millisecond)
				require.False(t, e.State().Holds(CacheKey(testProgram)), "confirmed although the program is held")
			})
		}
	}
}

// Guards against a release that is reported as complete although the program
// came back after an earlier one that nobody asked for to the end.
func TestEnsureReleased(t *testing.T) {
	t.Parallel()
	_, nodes := newFleet(t, 2)
	n := nodes[1]
	e, _ := startEngine(t, emulator.EngineOptions{ID: "e1"}, nodes...)
	sees(t, n, 2*time.Second, count(1))
	key := CacheKey(testProgram)
	ensure := func() error { return n.EnsureReleased(testProgram, []string{"e1"}) }
	chat(t, e)
	require.ErrorIs(t, ensure(), ErrReleasePending)
	require.Eventually(t, func() bool { return n.PendingReleases() == 0 }, 10*time.Second, 10*time.Millisecond)
	n.mu.Lock()
	n.asked[key].lastAsked -= askedMemory
	n.mu.Unlock()
	chat(t, e)
	require.ErrorIs(t, ensure(), ErrReleasePending, "too late to be a repetition")
	require.Eventually(t, func() bool { return ensure() == nil }, 10*time.Second, 10*time.Millisecond)
	require.False(t, e.State().Holds(key))
	n.mu.Lock()
	defer n.mu.Unlock()
	require.Empty(t, n.asked)
	require.Empty(t, n.pendingOf)
}

// Guards against an order of a failed or paused owner that takes effect after
// the next owner has begun.
func TestOrdersOfAnEarlierOwner(t *testing.T) {
	t.Parallel()
	for _, fencing := range []string{target.FencingEnforced, target.FencingIgnored} {
		t.Run(fencing, func(t *testing.T) {
			t.Parallel()
			f, nodes := newFleet(t, 2)
			arrived := make(chan struct{}, 8)
			// Orders of epoch 1 are delayed on their way until they have expired.
			fault := func(o target.Order) emulator.OrderFault {
				if o.Argument == "old" {
					arrived <- struct{}{}
					time.Sleep(target.MaxOrderDeadline + 2*target.ClockTolerance)
				}
				return emulator.OrderIntact
			}
			e, _ := startEngine(t, emulator.EngineOptions{ID: "e1", Fencing: fencing, OrderFault: fault}, nodes...)
			sees(t, nodes[0], 2*time.Second, count(1))
			sees(t, nodes[1], 2*time.Second, count(1))
			outcome := make(chan error, 1)
			go func() { outcome <- nodes[0].Order(t.Context(), "e1", target.Order{Kind: "set_role", Argument: "old"}) }()
			<-arrived
			nodes[0].pauseAt(1)
			taken := time.Now()
			f.change(func() { f.epoch, f.owner = 2, nodes[1].vm.VMRef })
			require.NoError(t, nodes[1].Order(t.Context(), "e1", target.Order{Kind: "set_role", Argument: "new"}))
			if fencing == target.FencingIgnored {
				require.GreaterOrEqual(t, time.Since(taken), target.MaxOrderDeadline)
			}
			require.ErrorIs(t, <-outcome, target.ErrOrderUnknown)
			time.Sleep(2*target.ClockTolerance + 200*time.Millisecond)
			require.Equal(t, "new", e.State().Role)
			err := nodes[0].Order(t.Context(), "e1", target.Order{Kind: "set_version", Argument: "old"})
			require.Error(t, err, "the paused owner's order")
			require.Empty(t, e.State().Version)
		})
	}
}

// Guards against leases that grow while an announcement waits for a slow entry.
func TestForwardedAge(t *testing.T) {
	t.Parallel()
	_, nodes := newFleet(t, 2)
	a := target.Announcement{ID: "e1", Incarnation: "i", Kind: "engine", Service: testService, Address: "127.0.0.1:9", LeaseMS: 3000, Sequence: 1}
	nodes[0].mu.Lock()
	nodes[0].outbox.announce(nodes[1].vm, nodes[0].now()-2*time.Second, a)
	nodes[0].mu.Unlock()
	sees(t, nodes[1], time.Second, count(1))
	require.GreaterOrEqual(t, nodes[1].Candidates(testService, "", program.Ref{})[0].ReportAge, 2*time.Second)
	sees(t, nodes[1], 1100*time.Millisecond, count(0))
}

// Guards against orders that a VM still sends, or whose caller still waits, after
// the VM has lost the target's shard.
func TestLostOwnership(t *testing.T) {
	t.Parallel()
	f, nodes := newFleet(t, 2)
	e, _ := startEngine(t, emulator.EngineOptions{ID: "e1", Fencing: target.FencingIgnored}, nodes...)
	sees(t, nodes[0], 2*time.Second, count(1))
	outcome := make(chan error, 1)
	go func() { outcome <- nodes[0].Order(t.Context(), "e1", target.Order{Kind: "set_role", Argument: "x"}) }()
	time.Sleep(2 * tickInterval)
	send := target.SendOrder{Target: "e1", Order: target.Order{ID: "o", Fencing: 1, Kind: "set_role", Argument: "x", DeadlineMS: 1000}, Expires: time.Hour}
	f.change(func() { f.epoch, f.owner = 2, nodes[1].vm.VMRef })
	start := time.Now()
	require.ErrorIs(t, <-outcome, target.ErrNotOwner)
	require.Less(t, time.Since(start), time.Second, "the loss is noticed at the next tick, before the order could be sent")
	answer := nodes[0].sendOrder(t.Context(), effect{send: &send, address: e.Address()})
	require.Equal(t, target.OutcomeNotDelivered, answer.Outcome)
	require.Empty(t, e.State().Role)
}

// Guards against a view that depends on how many targets announce at once.
func TestManyTargets(t *testing.T) {
	t.Parallel()
	_, nodes := newFleet(t, 3)
	for i := range 11 {
		startEngine(t, emulator.EngineOptions{ID: fmt.Sprintf("e%d", i)}, nodes[i%3])
	}
	for _, n := range nodes {
		sees(t, n, 2*time.Second, func(cs []placement.Candidate) bool { return len(cs) == 11 })
	}
}
