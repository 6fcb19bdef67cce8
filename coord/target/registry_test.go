package target

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func announcement(id, incarnation string, sequence uint64) Announcement {
	return Announcement{
		ID: id, Incarnation: incarnation, Sequence: sequence, Kind: "engine", Service: "s", Address: "127.0.0.1:1",
		Models: []string{"m"}, LeaseMS: MaxLease.Milliseconds(), Load: Load{MaxBatch: 8},
	}
}

func leaving(a Announcement) Announcement { a.Leaving = true; return a }

// TestAnnouncementOrder checks that late and duplicated announcements do not replace
// newer ones, and that targets that are leaving, have no lease or have restarted get no
// new work.
func TestAnnouncementOrder(t *testing.T) {
	type arrival struct {
		at, age time.Duration
		a       Announcement
		err     error
	}
	const s = time.Second
	for _, c := range []struct {
		name     string
		arrivals []arrival
		at       time.Duration
		usable   string // incarnation of the candidate at that time, or empty
	}{
		{"fresh", []arrival{{0, 0, announcement("t", "a", 1), nil}}, 3*s - 1, "a"},
		{"lapsed", []arrival{{0, 0, announcement("t", "a", 1), nil}}, 3 * s, ""},
		{"delayed before it arrived", []arrival{{0, s, announcement("t", "a", 1), nil}}, 2 * s, ""},
		{"renewed", []arrival{{0, 0, announcement("t", "a", 1), nil}, {s, 0, announcement("t", "a", 2), nil}}, 4*s - 1, "a"},
		{"duplicate renews nothing", []arrival{{0, 0, announcement("t", "a", 1), nil}, {s, 0, announcement("t", "a", 1), ErrLate}}, 3 * s, ""},
		{"late announcement after leaving", []arrival{{0, 0, leaving(announcement("t", "a", 2)), nil}, {0, 0, announcement("t", "a", 1), ErrLate}}, 0, ""},
		{"restart", []arrival{{0, 0, announcement("t", "a", 9), nil}, {0, 0, announcement("t", "b", 1), nil}}, 0, "b"},
		{"late announcement of the previous incarnation", []arrival{
			{0, 0, announcement("t", "a", 8), nil}, {0, 0, announcement("t", "b", 1), nil}, {0, 0, announcement("t", "a", 9), ErrLate},
		}, 0, "b"},
		{"unknown older incarnation replaced a newer one, which returns after the lease", []arrival{
			{0, 0, announcement("t", "b", 1), nil}, {0, 0, announcement("t", "a", 9), nil},
			{s, 0, announcement("t", "b", 2), ErrLate}, {3 * s, 0, announcement("t", "b", 4), nil},
		}, 3 * s, "b"},
		{"longer lease than permitted", []arrival{{0, 0, Announcement{
			ID: "t", Incarnation: "a", Sequence: 1, Kind: "service", Service: "s", Address: "127.0.0.1:1", LeaseMS: 60_000,
		}, nil}}, 3 * s, ""},
		{"invalid", []arrival{{0, 0, Announcement{ID: "t"}, ErrInvalid}}, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewRegistry()
			for _, a := range c.arrivals {
				require.ErrorIs(t, g.AnnounceAged(a.at, a.age, a.a), a.err)
			}
			var got string
			for _, v := range g.Candidates(c.at, "s", "m", "") {
				got += v.Incarnation
			}
			require.Equal(t, c.usable, got)
			require.Empty(t, g.Candidates(c.at, "s", "absent", ""), "a model that no target has")
		})
	}
}

// TestDrainWithdrawAndMove checks that a target is not a candidate while it is drained,
// after its withdrawal, or for a service that it has left.
func TestDrainWithdrawAndMove(t *testing.T) {
	g := NewRegistry()
	candidates := func(service string) int { return len(g.Candidates(0, service, "", "")) }
	g.Drain("t")
	require.NoError(t, g.Announce(0, announcement("t", "a", 1)))
	require.Zero(t, candidates("s"))
	g.Undrain("t")
	require.Equal(t, 1, candidates("s"))
	moved := announcement("t", "a", 2)
	moved.Service = "other"
	require.NoError(t, g.Announce(0, moved))
	require.Equal(t, 1, candidates("other")-candidates("s"))
	g.Withdraw(0, "t")
	require.Zero(t, candidates("other"))
	require.Equal(t, []string{"t"}, g.Expire(0))
	require.Empty(t, g.Expire(0), "reported once")
	g.Expire(forgetAfter)
	require.Empty(t, g.All(0))
}

// TestCacheConfidence checks that lost events lower the confidence in cache contents,
// and that events that only arrive out of order do not.
func TestCacheConfidence(t *testing.T) {
	stored := func(sequence uint64, program string, tokens int64) CacheEvent {
		return CacheEvent{Sequence: sequence, Kind: "stored", Program: program, Tokens: tokens}
	}
	two := []CacheEvent{stored(1, "p", 1000), stored(2, "q", 500)}
	for _, c := range []struct {
		name   string
		events []CacheEvent
		p      int64
	}{
		{"complete", two, 1000},
		{"removed", append(two[:2:2], CacheEvent{Sequence: 3, Kind: "removed", Program: "p"}), 0},
		{"cleared", append(two[:2:2], CacheEvent{Sequence: 3, Kind: "cleared"}), 0},
		{"repeated", append(two[:2:2], two[0], two[1]), 1000},
		{"last event repeated", append(two[:2:2], two[1]), 1000},
		{"out of order", []CacheEvent{stored(1, "p", 700), stored(3, "p", 1000), stored(2, "p", 800)}, 1000},
		{"gap of two in two programs", append(two[:2:2], stored(5, "q", 600)), 500},
		{"reported again after the gap", append(two[:2:2], stored(5, "q", 600), stored(6, "p", 900)), 900},
		{"gap that leaves too little confidence", append(two[:2:2], stored(500, "q", 600)), 0},
		{"first events out of order", []CacheEvent{stored(2, "q", 500), stored(1, "p", 1000)}, 1000},
		{"started in the middle", []CacheEvent{stored(100_000, "p", 1000)}, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewRegistry()
			require.NoError(t, g.Announce(0, announcement("t", "a", 1)))
			for _, e := range c.events {
				require.NoError(t, g.ApplyCacheEvents(0, "t", "a", []CacheEvent{e}))
			}
			require.NoError(t, g.Announce(time.Second, announcement("t", "a", 2)))
			g.Expire(reorderWindow)
			require.Equal(t, c.p, g.Candidates(reorderWindow, "s", "m", "p")[0].CachedTokens)
			require.ErrorIs(t, g.ApplyCacheEvents(0, "t", "old", c.events), ErrUnknownTarget)
			require.NoError(t, g.Announce(time.Second, announcement("t", "b", 1)))
			require.Zero(t, g.Candidates(time.Second, "s", "m", "p")[0].CachedTokens, "a restarted target has an empty cache")
			require.Empty(t, g.Holders("p"))
		})
	}
}

// TestOutstanding checks that a dispatched request is counted once, until it completes
// or a load report includes it.
func TestOutstanding(t *testing.T) {
	const report = time.Second
	g := NewRegistry()
	sequence := uint64(0)
	for _, c := range []struct {
		at       time.Duration
		act      func(now time.Duration)
		requests int
		tokens   int64
	}{
		{0, func(now time.Duration) { g.Dispatched(now, "t", 10) }, 1, 10},
		{report, nil, 1, 10}, // the report may have been produced before the request arrived
		{report, func(now time.Duration) { g.Dispatched(now, "t", 5) }, 2, 15},
		{2 * report, nil, 1, 5}, // the second report includes the first request
		{2 * report, func(now time.Duration) { g.Completed(now, "t", 5, nil) }, 0, 0},
		{2 * report, func(now time.Duration) { g.Completed(now, "t", 5, nil) }, 0, 0},
		{4 * report, func(now time.Duration) { g.Dispatched(now, "t", 7) }, 1, 7},
		{5 * report, nil, 1, 7},
		{6 * report, nil, 0, 0},
	} {
		if c.act == nil || sequence == 0 {
			sequence++
			require.NoError(t, g.Announce(c.at, announcement("t", "a", sequence)))
		}
		if c.act != nil {
			c.act(c.at)
		}
		v, _ := g.Find(c.at, "t")
		require.Equal(t, c.requests, v.Outstanding, "at %s", c.at)
		require.Equal(t, c.tokens, v.OutstandingTokens, "at %s", c.at)
	}
}

// TestLoadAndSuspectTime checks that an announced load does not replace a recent load
// from a response, and how long failures make a target suspect.
func TestLoadAndSuspectTime(t *testing.T) {
	g := NewRegistry()
	require.NoError(t, g.Announce(0, announcement("t", "a", 1)))
	suspect := func(at time.Duration) bool { v, _ := g.Find(at, "t"); return v.Suspect }
	now := time.Duration(0)
	for _, d := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
		g.Failed(now, "t")
		require.True(t, suspect(now+d-1))
		require.False(t, suspect(now+d))
		now += d
	}
	for range 20 {
		g.Failed(now, "t")
	}
	require.False(t, suspect(now+maxSuspectTime))
	g.Completed(now, "t", 0, nil)
	require.True(t, suspect(now), "a dispatch without a response does not end the suspect state")
	g.Completed(now, "t", 0, &Load{Running: 5})
	require.False(t, suspect(now))
	running := func(at time.Duration) int { v, _ := g.Find(at, "t"); return v.Load.Running }
	require.NoError(t, g.Announce(now+responseLoadValidity-1, announcement("t", "a", 2)))
	require.Equal(t, 5, running(now))
	require.NoError(t, g.Announce(now+responseLoadValidity, announcement("t", "a", 3)))
	require.Zero(t, running(now))
	g.Completed(now, "t", 0, &Load{Running: -1})
	require.Zero(t, running(now), "an invalid load is not used")
}

// TestWatchers checks that all entries choose the same watchers for a target, and that
// at most one watcher changes when an entry joins.
func TestWatchers(t *testing.T) {
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9]{1,6}`), 1, 60, rapid.ID)
	rapid.Check(t, func(rt *rapid.T) {
		entries := names.Draw(rt, "entries")
		id := rapid.String().Draw(rt, "target")
		chosen := Watchers(id, entries, MaxWatchers)
		require.Len(rt, chosen, min(MaxWatchers, len(entries)))
		require.Equal(rt, chosen, Watchers(id, rapid.Permutation(entries).Draw(rt, "order"), MaxWatchers))
		kept := 0
		for _, c := range Watchers(id, append([]string{"joined-entry"}, entries...), MaxWatchers) {
			for _, e := range chosen {
				if e == c {
					kept++
				}
			}
		}
		require.GreaterOrEqual(rt, kept, min(len(entries), MaxWatchers-1))
	})
}

// TestCacheKey checks that two programs never have the same cache key, and that keys are
// valid header values.
func TestCacheKey(t *testing.T) {
	require.Equal(t, "acme/run-1/child", CacheKey("acme", "run-1/child"))
	rapid.Check(t, func(rt *rapid.T) {
		name := rapid.StringOf(rapid.SampledFrom([]rune{'a', '/', '%', '2', 'F', '\n', 'é'}))
		a, b := [2]string{name.Draw(rt, "o1"), name.Draw(rt, "p1")}, [2]string{name.Draw(rt, "o2"), name.Draw(rt, "p2")}
		require.Equal(rt, a == b, CacheKey(a[0], a[1]) == CacheKey(b[0], b[1]))
		for _, c := range []byte(CacheKey(a[0], a[1])) {
			require.True(rt, c > ' ' && c < 0x7f)
		}
	})
}

// TestCacheAge checks that the view's age does not cover changes that the cache events
// cannot show yet. Otherwise the record of a program's last call would be ignored right
// after that call.
func TestCacheAge(t *testing.T) {
	var c cacheView
	require.Equal(t, time.Duration(math.MaxInt64), c.age(time.Second), "no event has arrived")
	c.index = holderIndex{}
	c.add(time.Second, []CacheEvent{{Sequence: 1, Kind: "stored", Program: "o/p", Tokens: 10}})
	require.Equal(t, eventDelay, c.age(time.Second))
	require.Equal(t, eventDelay+time.Second, c.age(2*time.Second))
	c.add(2*time.Second, []CacheEvent{{Sequence: 3, Kind: "removed", Program: "o/p"}})
	require.Equal(t, time.Duration(math.MaxInt64), c.age(2*time.Second), "an event is missing")
}
