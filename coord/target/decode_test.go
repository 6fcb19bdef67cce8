package target

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestValidate checks that announcements are refused if one of their fields would
// later break an index, overflow a sum or form an invalid address.
func TestValidate(t *testing.T) {
	for _, c := range []struct {
		name string
		edit func(*Announcement)
	}{
		{"no id", func(a *Announcement) { a.ID = "" }},
		{"slash in id", func(a *Announcement) { a.ID = "a/b" }},
		{"long id", func(a *Announcement) { a.ID = strings.Repeat("x", maxNameBytes+1) }},
		{"no incarnation", func(a *Announcement) { a.Incarnation = "" }},
		{"no service", func(a *Announcement) { a.Service = "" }},
		{"kind", func(a *Announcement) { a.Kind = "printer" }},
		{"host name", func(a *Announcement) { a.Address = "localhost:80" }},
		{"fencing", func(a *Announcement) { a.Fencing = "perhaps" }},
		{"no lease", func(a *Announcement) { a.LeaseMS = 0 }},
		{"no sequence", func(a *Announcement) { a.Sequence = 0 }},
		{"models", func(a *Announcement) { a.Models = make([]string, maxModels+1) }},
		{"empty model", func(a *Announcement) { a.Models = []string{""} }},
		{"negative load", func(a *Announcement) { a.Load.Running = -1 }},
		{"huge load", func(a *Announcement) { a.Load.KVUsed = 1 << 60 }},
		{"speed", func(a *Announcement) { a.Load.TokensPerSecond = -1 }},
	} {
		a := announcement("t", "i", 1)
		require.NoError(t, a.Validate())
		c.edit(&a)
		require.ErrorIs(t, a.Validate(), ErrInvalid, c.name)
	}
}

// FuzzAnnouncement guards against messages of a target that make the registry panic
// or that lead to a view with impossible values.
func FuzzAnnouncement(f *testing.F) {
	seed, _ := json.Marshal(announcement("t", "i", 1))
	f.Add(seed, `{"running":1}`)
	f.Add([]byte(`{"id":"t","lease_ms":9223372036854775807,"sequence":18446744073709551615}`), `{"kv_used":-1}`)
	f.Fuzz(func(t *testing.T, data []byte, header string) {
		g := NewRegistry()
		a, err := DecodeAnnouncement(data)
		require.Equal(t, err == nil, g.Announce(0, a) == nil)
		if load, err := DecodeLoad(header); err == nil {
			g.Completed(0, a.ID, 1, &load)
		}
		for _, v := range g.All(MaxLease) {
			require.False(t, v.Usable, "no lease is longer than the bound")
			require.True(t, v.Load.Running >= 0 && v.Load.KVUsed >= 0 && v.ReportAge >= 0)
		}
	})
}

// FuzzCacheReport guards against events that make the cache view panic, grow without
// bound or expect more tokens than were reported.
func FuzzCacheReport(f *testing.F) {
	f.Add([]byte(`{"incarnation":"i","events":[{"sequence":1,"kind":"stored","program":"p","tokens":5},{"sequence":9,"kind":"removed","program":"p"}]}`))
	f.Add([]byte(`{"incarnation":"i","events":[{"sequence":18446744073709551615,"kind":"stored","program":"p","tokens":1},{"sequence":1,"kind":"cleared"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeCacheReport("t", data)
		if err != nil {
			return
		}
		g := NewRegistry()
		require.NoError(t, g.Announce(0, announcement("t", r.Incarnation, 1)))
		require.NoError(t, g.ApplyCacheEvents(0, "t", r.Incarnation, r.Events))
		g.Expire(reorderWindow)
		maxReported := int64(0)
		for _, e := range r.Events {
			maxReported = max(maxReported, e.Tokens)
		}
		for _, e := range r.Events {
			v := g.Candidates(0, "s", "m", e.Program)[0]
			require.True(t, v.CachedTokens >= 0 && v.CachedTokens <= maxReported)
		}
	})
}

// FuzzEngineState guards against a target's state that makes the order manager
// panic.
func FuzzEngineState(f *testing.F) {
	f.Add([]byte(`{"id":"t","incarnation":"i","held":[{"program":"p"}],"orders":[{"id":"o","status":"running"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := DecodeEngineState(data)
		if err != nil {
			return
		}
		m := NewOrderManager()
		m.Step(0, OwnershipGained{"t", 1})
		m.Step(0, Announced{"t", state.Incarnation, "engine", FencingIgnored})
		m.Step(0, ReleaseMemory{"t", "p", "r"})
		const takeoverWait = MaxOrderDeadline + ClockTolerance
		effects := m.Step(takeoverWait, Tick{})
		require.Len(t, effects, 1)
		m.Step(takeoverWait, ReadResult{Target: "t", ReadID: effects[0].(ReadState).ReadID, OK: true, State: state})
		require.Equal(t, ReleasePending, m.ReleaseStatus("t", "p"), "a state does not confirm a release whose order was not sent")
	})
}
