package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestFewerNewConnections guards against entries that spread their few requests over all
// targets, so that their idle connections expire unused, and against a preference that makes
// the load of equal targets uneven: the busiest one may get 1.4 times the mean.
func TestFewerNewConnections(t *testing.T) {
	for _, l := range []connectionLoad{lightLoad(36, 1), lightLoad(36, 3), lightLoad(36, 6), lightLoad(68, 1), lightLoad(68, 3), lightLoad(12, 2)} {
		for seed := range uint64(3) {
			before := l
			before.anonymous = true
			old, now := before.run(seed), l.run(seed)
			t.Logf("%d targets, %v requests a second for each entry: new connections for %.3f of the requests, before %.3f; busiest target %.2f, before %.2f", l.targets, l.perEntry, now.openedShare(), old.openedShare(), now.busiest(l.targets), old.busiest(l.targets))
			assert.Less(t, now.openedShare(), 0.7*old.openedShare())
			assert.Less(t, now.busiest(l.targets), 1.4)
			assert.LessOrEqual(t, now.waited, old.waited, "no request waits for a connection")
		}
	}
}

// TestHeavyEntryDoesNotOverloadItsTargets guards against targets that get most of the load
// because one entry that sends a large share of it keeps to its connections.
func TestHeavyEntryDoesNotOverloadItsTargets(t *testing.T) {
	for _, share := range []float64{0.2, 0.6, 0.95} {
		l := lightLoad(36, 2)
		l.heavyShare = share
		r := l.run(1)
		t.Logf("one entry sends %.2f of all requests: busiest target %.2f", share, r.busiest(l.targets))
		assert.Less(t, r.busiest(l.targets), 1.4)
	}
}

// TestLostTargetsDoNotConcentrateTheLoad guards against a load that becomes uneven when a
// third of the targets leaves and others join.
func TestLostTargetsDoNotConcentrateTheLoad(t *testing.T) {
	l := lightLoad(36, 3)
	all := targets(36, 6)
	l.replace = func(now time.Duration) []Target {
		if now > 10*time.Second && now < 20*time.Second {
			return all[:24]
		}
		return all
	}
	r := l.run(1)
	most, least := 0, r.requests
	for _, target := range all[:24] {
		most, least = max(most, r.perTarget[target.ID]), min(least, r.perTarget[target.ID])
	}
	assert.Less(t, float64(most), 1.4*float64(least))
	most, least = 0, r.requests
	for _, target := range all[24:] {
		most, least = max(most, r.perTarget[target.ID]), min(least, r.perTarget[target.ID])
	}
	assert.Less(t, float64(most), 1.4*float64(least))
	assert.Less(t, r.openedShare(), 0.5)
}

// TestConnectionLimit guards against more connections to a target, from all entries together,
// than it accepts, while other targets have room.
func TestConnectionLimit(t *testing.T) {
	l := connectionLoad{targets: 4, slots: 24, entries: 100, perEntry: 2, serviceTime: 20 * time.Millisecond, duration: 20 * time.Second}
	unlimited := l.run(1)
	l.maxConnections = 60
	r := l.run(1)
	t.Logf("connections to one target: %d, without a limit %d", r.maxConnections, unlimited.maxConnections)
	assert.Greater(t, unlimited.maxConnections, l.maxConnections, "the limit is below what the load needs without it")
	assert.LessOrEqual(t, r.maxConnections, l.maxConnections)
	assert.Zero(t, r.waited)
}

// entryRequest returns a request of an entry.
func entryRequest(id, entry string) Request {
	r := request(id)
	r.Entry = entry
	return r
}

// serve runs a request at a given target and ends it with a result.
func serve(t *testing.T, d *Dispatcher, now time.Duration, entry, targetID string, result Result) {
	t.Helper()
	r := entryRequest("serve "+entry+targetID+fmt.Sprint(now), entry)
	r.Target = targetID
	require.Equal(t, targetID, d.Admit(now, r).Target)
	d.Done(now, r.ID, targetID, result, 1)
}

// TestGrantPrefersAnIdleConnection guards against a new connection although the entry has an
// idle one to a target that is as good, and against a preference for another entry's.
func TestGrantPrefersAnIdleConnection(t *testing.T) {
	for seed := range uint64(50) {
		d := New(0, seed)
		d.SetTargets(0, targets(40, 6))
		serve(t, d, 0, "b", "t9", Completed)
		serve(t, d, loadLimitValidity/2, "a", "t7", Completed)
		now := loadLimitValidity - 1
		assert.Equal(t, "t7", d.Admit(now, entryRequest("first", "a")).Target)
		second := d.Admit(now, entryRequest("second", "a"))
		assert.NotEqual(t, "t7", second.Target, "the connection is in use")
	}
}

// TestConnectionIsWorthLittle guards against requests that run at a busier target because of
// a connection.
func TestConnectionIsWorthLittle(t *testing.T) {
	for seed := range uint64(50) {
		d := New(0, seed)
		d.SetTargets(0, targets(2, 6))
		serve(t, d, 0, "a", "t0", Completed)
		busy := entryRequest("busy", "b")
		busy.Target = "t0"
		d.Admit(0, busy)
		assert.Equal(t, "t1", d.Admit(0, entryRequest("r", "a")).Target)
	}
}

// TestForgottenConnections guards against a preference for connections that an entry does not
// have any more.
func TestForgottenConnections(t *testing.T) {
	open := func(d *Dispatcher, now time.Duration) bool {
		p := d.connections.preference(now, &Request{Entry: "a", Service: "s"}, d.targetsByService["s"])
		column := d.targets["t0"].column
		return column < len(p.latest) && now < p.latest[column]
	}
	for _, result := range []Result{Failed, Broken, Unreachable, NoPath, WrongTarget, Leaving} {
		d := New(0, 1)
		d.SetTargets(0, targets(2, 6))
		for _, id := range []string{"x", "y", "z"} {
			r := entryRequest(id, "a")
			r.Target = "t0"
			d.Admit(0, r)
		}
		d.Done(0, "x", "t0", Completed, 1)
		d.Done(0, "y", "t0", Completed, 1)
		require.True(t, open(d, 0))
		d.Done(0, "z", "t0", result, 1)
		assert.False(t, open(d, 0), result)
		assert.Zero(t, d.targets["t0"].idle)
	}
	d := New(0, 1)
	d.SetTargets(0, targets(2, 6))
	serve(t, d, 0, "a", "t0", Completed)
	assert.True(t, open(d, IdleConnectionTime-1))
	assert.False(t, open(d, IdleConnectionTime), "expired")
	serve(t, d, time.Second, "a", "t0", Abandoned)
	assert.False(t, open(d, time.Second), "the entry closes the connection of a request that it abandons")
	serve(t, d, time.Second, "a", "t0", Completed)
	d.SetTargets(time.Second, targets(2, 6)[1:])
	d.SetTargets(time.Second, targets(2, 6))
	assert.False(t, open(d, time.Second), "the target is a new one")
}

// TestGrantOutlivesItsTarget guards against a connection that is attributed to a target which
// has taken the place of the one that has left.
func TestGrantOutlivesItsTarget(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(1, 6))
	r := entryRequest("r", "a")
	d.Admit(0, r)
	other := []Target{{ID: "other", Service: "s", DataCentre: "a", Slots: 6}}
	d.SetTargets(0, other)
	d.Done(0, "r", "t0", Completed, 1)
	assert.Empty(t, d.connections.entries)
	assert.Zero(t, d.targets["other"].idle)
}

// TestConnectionsAreBounded guards against memory that grows with the entries and targets of
// the past.
func TestConnectionsAreBounded(t *testing.T) {
	d := New(0, 1)
	now := time.Duration(0)
	for n := range 3 * maxKnownEntries {
		now += time.Millisecond
		list := targets(4, 50)
		list[3].ID = fmt.Sprint("new ", n)
		d.SetTargets(now, list)
		serve(t, d, now, fmt.Sprint("entry ", n), "t0", Completed)
		require.LessOrEqual(t, len(d.connections.entries), maxKnownEntries)
		require.LessOrEqual(t, len(d.connections.columns), 6)
	}
	d.Tick(now + 2*IdleConnectionTime)
	assert.Empty(t, d.connections.entries)
	assert.Zero(t, d.targets["t0"].idle)
}

// TestRecentLoadStaysFinite guards against recent loads that overflow or are compared with a
// limit of another scale after days.
func TestRecentLoadStaysFinite(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(2, 6))
	for n := range 100 {
		now := time.Duration(n) * time.Hour
		limit := d.connections.loadLimit(now, "s", d.targetsByService["s"])
		assert.Less(t, limit, float64(maxLoadWeight))
		serve(t, d, now, "a", "t0", Completed)
		serve(t, d, now, "a", "t1", Completed)
		for _, target := range d.targets {
			assert.LessOrEqual(t, target.recentLoad, float64(maxLoadWeight))
			assert.LessOrEqual(t, target.recentLoad, limit)
			assert.Less(t, limit, 3*target.recentLoad)
		}
	}
}

// TestIdleCountsMatch guards against counts of idle connections that drift from the known
// connections, so that a target seems to be at its limit for good.
func TestIdleCountsMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(0, 1)
		d.SetTargets(0, targets(3, 4))
		now := time.Duration(0)
		granted := map[string]string{}
		note := func(outcomes ...Outcome) {
			for _, o := range outcomes {
				if o.Target != "" {
					granted[o.ID] = o.Target
				}
			}
		}
		for n := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "gap")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				note(d.Admit(now, entryRequest(fmt.Sprint(n), rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "entry"))))
			case 2, 3:
				for _, id := range slices.Sorted(maps.Keys(granted)) {
					result := rapid.SampledFrom([]Result{Completed, Completed, NotRun, Broken, Abandoned}).Draw(t, "result")
					target := granted[id]
					delete(granted, id)
					note(d.Done(now, id, target, result, 1)...)
					break
				}
			case 4:
				note(d.Tick(now)...)
			case 5:
				first := rapid.IntRange(0, 2).Draw(t, "first")
				note(d.SetTargets(now, targets(4, 4)[first:])...)
			}
			for _, target := range d.targets {
				idle := 0
				for _, e := range d.connections.entries {
					if target.column < len(e.byTarget) {
						idle += int(e.byTarget[target.column].count)
						assert.Equal(t, e.byTarget[target.column].last(), e.latest[target.column])
					}
				}
				assert.Equal(t, idle, target.idle)
				assert.Same(t, target, d.connections.columns[target.column])
			}
		}
	})
}
