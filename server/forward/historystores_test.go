package forward

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/history"
)

// TestTurnWaitsForHistoryStores guards against a turn that runs at a target although too few store
// VMs are known to keep it, so that its caller can't get the end of the response.
func TestTurnWaitsForHistoryStores(t *testing.T) {
	l := &testLedger{}
	options := testOptions(l, true, newTestHistories(), &testView{})
	options.HistoryStores = func() []history.Store { return []history.Store{{Storage: "a", Address: "a:1"}} }
	status, body, err := post(t, startServer(t, New(options)), "/chat/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Contains(t, body, "history_unavailable")
	l.mu.Lock()
	defer l.mu.Unlock()
	assert.Empty(t, l.admissions, "the ledger was asked")
}
