package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/ledger"
)

// startClient starts a client that finds the store VMs at the given addresses. The function is
// called concurrently with the test. A client that searches for a leader at the end of the test
// does so for some seconds more; it then gets no addresses, so that it reads no variables of the test
// and disturbs no store VMs of later ones.
func startClient(t testing.TB, addresses func() []string) *Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	stores := func() []string {
		if ctx.Err() != nil {
			return nil
		}
		return addresses()
	}
	c := NewClient(ClientOptions{Leader: func() string { return "" }, Stores: stores, Log: discardLogger()})
	go c.Run(ctx)
	return c
}

func turnRequest(id string, budget, tokens int64) AdmitRequest {
	r := AdmitRequest{Reserve: &ledger.Reserve{Program: ledger.Program{Organisation: "o", ID: "p"}, Request: id, Budget: budget, Tokens: tokens}}
	r.ID, r.Service, r.TimeLeft = id, "s", 2*time.Second
	return r
}

// awaitLeader waits until the store admits requests. An election takes as long as the disk
// needs for a sync.
func (s *testStore) awaitLeader(t testing.TB) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.host.mu.Lock()
		defer s.host.mu.Unlock()
		return s.host.canAdmit()
	}, 20*time.Second, time.Millisecond)
}
