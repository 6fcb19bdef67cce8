package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/routing"
)

// TestLeaderPacesColdTargets guards against a leader that does not apply the cold period of the
// catalog to its grants, or applies it to services that state no rate.
func TestLeaderPacesColdTargets(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.awaitLeader(t)
	now := time.Now().UnixMilli()
	view := *s.view.Load()
	view.Table = routing.NewTable(routing.Configuration{Version: 1, Services: []routing.Service{{Name: "s", ColdStartSeconds: 60, ColdPerSecond: 2}, {Name: "plain"}}})
	view.Targets = []catalog.Target{
		{ID: "a", Service: "s", Address: "10.0.0.1:1", Slots: 50, State: catalog.Ready, FirstSeenUnixMS: now},
		{ID: "b", Service: "plain", Address: "10.0.0.2:1", Slots: 50, State: catalog.Ready, FirstSeenUnixMS: now, ColdUntilUnixMS: now + 60_000},
	}
	s.view.Store(&view)
	s.host.Update(&view)
	c := startClient(t, func() []string { return []string{s.address} })
	granted := func(service string) int {
		count := 0
		for i := range 10 {
			r := plainRequest(fmt.Sprint(service, i), "")
			r.Service, r.TimeLeft = service, 100*time.Millisecond
			response, err := c.Admit(t.Context(), r)
			require.NoError(t, err)
			if response.Target == "" {
				assert.Contains(t, []dispatch.Refusal{dispatch.Expired, dispatch.Overloaded}, response.Refusal)
				continue
			}
			count++
			assert.Equal(t, service == "s", response.Reason == dispatch.ReasonCold, response.Reason)
		}
		return count
	}
	begun := time.Now()
	cold := granted("s")
	assert.LessOrEqual(t, float64(cold), 1+2*time.Since(begun).Seconds())
	assert.Equal(t, 10, granted("plain"))
}
