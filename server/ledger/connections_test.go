package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/dispatch"
)

// TestGrantsKeepToIdleConnections guards against a leader that does not know which entry its
// grants go to, so that the next request of an entry opens a connection to another target of
// seven equal ones.
func TestGrantsKeepToIdleConnections(t *testing.T) {
	for range 3 {
		s := startStore(t, t.TempDir())
		s.awaitLeader(t)
		s.setTargets("u", "v", "w", "x", "y", "z")
		c := startClient(t, func() []string { return []string{s.address} })
		var granted []string
		for n := range 2 {
			r := AdmitRequest{}
			r.ID, r.Service, r.TimeLeft = fmt.Sprint("r", n), "s", 2*time.Second
			response, err := c.Admit(t.Context(), r)
			require.NoError(t, err)
			require.NotEmpty(t, response.Target)
			granted = append(granted, response.Target)
			c.Done(DoneReport{ID: r.ID, Target: response.Target, Result: dispatch.Completed, Units: 1})
			require.Eventually(t, func() bool {
				s.host.mu.Lock()
				defer s.host.mu.Unlock()
				return s.host.dispatcher.Load("s").Running == 0
			}, time.Second, time.Millisecond)
		}
		assert.Equal(t, granted[0], granted[1])
		s.stop()
	}
}
