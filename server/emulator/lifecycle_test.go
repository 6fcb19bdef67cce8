package emulator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/target"
)

// fakeEntry records the announcements and cache events that a target sends.
type fakeEntry struct {
	mu            sync.Mutex
	announcements []target.Announcement
	events        []target.CacheEvent
}

func newFakeEntry(t *testing.T) (*fakeEntry, string) {
	t.Helper()
	f := &fakeEntry{}
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return f, s.Listener.Addr().String()
}

// ServeHTTP accepts announcements and cache reports.
func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		target.Announcement
		Events []target.CacheEvent `json:"events"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, body.Events...)
	if r.URL.Path == "/v1/targets/announce" {
		f.announcements = append(f.announcements, body.Announcement)
	}
	writeJSON(w, http.StatusOK, target.AnnounceReply{})
}

func (f *fakeEntry) received() ([]target.Announcement, []target.CacheEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]target.Announcement(nil), f.announcements...), append([]target.CacheEvent(nil), f.events...)
}

// TestGracefulStop guards against a graceful stop that interrupts a request or is not
// announced, and against announcements that an entry would refuse.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	f, address := newFakeEntry(t)
	e, stop := startEngine(t, EngineOptions{Service: "s", Entries: []string{address}, DecodeInterval: flushTimeout * 2 / 5})
	r := newChatRequest("x")
	response := make(chan string, 1)
	go func() {
		_, body := send(http.MethodPost, e.Address(), chatPath, "p", "1", r)
		response <- body
	}()
	require.Eventually(t, func() bool { return e.Load().Running == 1 }, time.Second, time.Millisecond)
	// An engine that stops before it has announced itself starts with the announcement that it leaves.
	require.Eventually(t, func() bool { announcements, _ := f.received(); return len(announcements) >= 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, stop())
	require.Contains(t, <-response, Completion(r))
	announcements, _ := f.received()
	require.GreaterOrEqual(t, len(announcements), 2)
	for _, a := range announcements {
		require.NoError(t, a.Validate())
		require.Equal(t, a.Sequence > 1, a.Leaving, "announcement %d", a.Sequence)
	}
}

// TestLagAndGaps guards against load reports without a lag and cache events without
// gaps. They would hide the faults of a scheduler that relies on current load reports or
// on complete events.
func TestLagAndGaps(t *testing.T) {
	t.Parallel()
	f, address := newFakeEntry(t)
	e, _ := startEngine(t, EngineOptions{Service: "s", Entries: []string{address}, LoadLag: time.Minute, CacheEventLoss: 0.5, Seed: 7})
	for _, program := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		send(http.MethodPost, e.Address(), chatPath, program, "", newChatRequest("x"))
	}
	lastSequence := func() uint64 {
		_, events := f.received()
		if len(events) == 0 {
			return 0
		}
		return events[len(events)-1].Sequence
	}
	require.Eventually(t, func() bool { return lastSequence() > 0 }, time.Second, time.Millisecond)
	_, events := f.received()
	require.Less(t, uint64(len(events)), lastSequence(), "some events are lost")
	require.Positive(t, e.Load().KVUsed)
	require.Eventually(t, func() bool { announcements, _ := f.received(); return len(announcements) >= 2 }, 2*time.Second, 10*time.Millisecond)
	announcements, _ := f.received()
	require.Zero(t, announcements[1].Load.KVUsed, "the announced load is older than the requests")
}

// TestCrash guards against crashes that look like a graceful stop.
func TestCrash(t *testing.T) {
	e, stop := startEngine(t, EngineOptions{CrashOn: "poison", DecodeInterval: time.Second})
	s, err := NewService(ServiceOptions{ID: "s", Address: "127.0.0.1:0", CrashOn: "poison"})
	require.NoError(t, err)
	stopService := start(t, s)
	concurrentStatus := make(chan int, 1)
	go func() {
		status, _ := send(http.MethodPost, e.Address(), chatPath, "p", "1", newChatRequest("x"))
		concurrentStatus <- status
	}()
	require.Eventually(t, func() bool { return e.Load().Running == 1 }, time.Second, time.Millisecond)
	for _, c := range []struct {
		address, path string
		stop          func() error
	}{{e.Address(), chatPath, stop}, {s.Address(), "/pay", stopService}} {
		status, _ := send(http.MethodPost, c.address, c.path, "p", "2", newChatRequest("poison"))
		require.Zero(t, status)
		require.ErrorIs(t, c.stop(), ErrCrashed)
		status, _ = send(http.MethodPost, c.address, c.path, "p", "3", newChatRequest("x"))
		require.Zero(t, status, "the target must not listen after the crash")
	}
	require.Zero(t, <-concurrentStatus)
	require.Len(t, s.Runs(), 1, "the request must have run before the crash")
}

// TestOrderContract guards against orders that take effect despite a stale fencing
// number or a passed deadline, or that take effect twice.
func TestOrderContract(t *testing.T) {
	engines := make(map[string]*Engine)
	for _, fencing := range []string{target.FencingEnforced, target.FencingIgnored} {
		engines[fencing], _ = startEngine(t, EngineOptions{Fencing: fencing, Models: []string{"m"}, OrderDelay: 5 * time.Millisecond})
	}
	order := func(id string, fencing uint64, kind string) target.Order {
		return target.Order{ID: id, Fencing: fencing, Kind: kind, Argument: id, Program: "p", DeadlineMS: 1000}
	}
	expired := order("4", 9, "set_role")
	expired.ExpiresUnixMS = time.Now().Add(-time.Second).UnixMilli()
	shortDeadline := order("5", 9, "set_role")
	shortDeadline.DeadlineMS = 1
	for _, c := range []struct {
		order             target.Order
		enforced, ignored int
	}{
		{order("1", 5, "set_role"), 200, 200},
		{order("2", 4, "set_version"), 412, 200},
		{order("3", 6, "keep"), 200, 200},
		{expired, 504, 504},
		{expired, 504, 504}, // an order with the same ID has the same outcome
		{shortDeadline, 504, 504},
		{order("6", 9, "dance"), 422, 422},
		{order("1", 9, "unload_model"), 200, 200}, // an order with a known ID has no effect
		{order("", 9, "keep"), 422, 422},
		{order("7", 9, "release"), 200, 200},
	} {
		for fencing, want := range map[string]int{target.FencingEnforced: c.enforced, target.FencingIgnored: c.ignored} {
			status, body := send(http.MethodPost, engines[fencing].Address(), "/v1/orders", "", "", c.order)
			require.Equal(t, want, status, "%s %+v: %s", fencing, c.order, body)
		}
	}
	for fencing, e := range engines {
		s := e.State()
		require.Equal(t, "1", s.Role)
		require.Empty(t, s.Held)
		require.Equal(t, uint64(9), s.HighestFencing)
		require.Equal(t, map[string]string{target.FencingIgnored: "2"}[fencing], s.Version)
	}
}

// TestExportAndImport guards against a successful import of a prefix that the other
// engine does not hold.
func TestExportAndImport(t *testing.T) {
	from, _ := startEngine(t, EngineOptions{})
	to, _ := startEngine(t, EngineOptions{})
	r := newChatRequest("a question that is long enough to be cached")
	send(http.MethodPost, from.Address(), chatPath, "org/p/child", "", r)
	for i, c := range []struct {
		program string
		status  int
	}{{"org/p/child", 200}, {"org/absent", 422}} {
		o := target.Order{ID: string(rune('a' + i)), Kind: "import", Program: c.program, Argument: from.Address(), DeadlineMS: 1000}
		status, body := send(http.MethodPost, to.Address(), "/v1/orders", "", "", o)
		require.Equal(t, c.status, status, body)
		require.Equal(t, c.status == 200, to.State().Holds(c.program))
	}
	_, body := send(http.MethodPost, to.Address(), chatPath, "org/p/child", "", r)
	var response ChatResponse
	require.NoError(t, json.Unmarshal([]byte(body), &response))
	require.Equal(t, response.Usage.PromptTokens, response.Usage.CachedTokens)
}

// TestService guards against runs that are not counted, and against faults that a request
// selects but that do not happen.
func TestService(t *testing.T) {
	s, err := NewService(ServiceOptions{ID: "s", Address: "127.0.0.1:0", HangOn: "hang"})
	require.NoError(t, err)
	start(t, s)
	for _, c := range []struct {
		path, body string
		status     int
	}{{"/pay", "1", 200}, {"/pay", "1", 200}, {"/pay?delay_ms=30", "2", 200}, {"/pay?status=503", "3", 503}} {
		began := time.Now()
		status, body := send(http.MethodPost, s.Address(), c.path, "", "", c.body)
		require.Equal(t, c.status, status, body)
		require.Equal(t, c.body == "2", time.Since(began) >= 30*time.Millisecond)
	}
	require.Equal(t, map[string]int{`POST /pay "1"`: 2, `POST /pay "2"`: 1, `POST /pay "3"`: 1}, s.Runs())
	client := http.Client{Timeout: 50 * time.Millisecond}
	_, err = client.Post("http://"+s.Address()+"/pay?hang=true", "text/plain", nil)
	require.Error(t, err)
	require.Eventually(t, func() bool { return s.Load().Running == 0 }, time.Second, time.Millisecond)
}
