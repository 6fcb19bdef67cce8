package ledger

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// maxFailoverDelay is the time within which a request is admitted once a new leader admits
// requests.
const maxFailoverDelay = 250 * time.Millisecond

// scriptedStore is a store VM that answers the first ping of each connection with respond
// and nothing else.
func scriptedStore(t *testing.T, respond func() (messageKind, any)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				r := bufio.NewReader(c)
				if _, err := io.ReadFull(r, make([]byte, len(Preface))); err != nil {
					return
				}
				if _, _, err := decode(r); err != nil {
					return
				}
				k, value := respond()
				if message, err := encode(k, value); err == nil {
					_, _ = c.Write(message)
				}
				// The connection stays open and silent.
				_, _ = io.Copy(io.Discard, r)
			}()
		}
	}()
	return l.Addr().String()
}

// TestSilentLeaderIsReplaced guards against requests that wait long after a new leader
// admits requests, because the entry keeps asking the old leader, which has gone silent
// without closing its connections, or VMs that do not take part.
func TestSilentLeaderIsReplaced(t *testing.T) {
	s := startStore(t, t.TempDir())
	elected := time.Now().Add(silenceTimeout + 300*time.Millisecond)
	var silent, follower string
	follower = scriptedStore(t, func() (messageKind, any) {
		time.Sleep(min(time.Until(elected), maxParkTime))
		if time.Now().Before(elected) {
			return kindNotLeader, &notLeader{Leader: silent, Members: []string{silent, follower}}
		}
		return kindNotLeader, &notLeader{Leader: s.address, Members: []string{silent, follower}}
	})
	answered := false
	silent = scriptedStore(t, func() (messageKind, any) {
		if answered {
			select {}
		}
		answered = true
		return kindPong, &welcome{Members: []string{silent, follower}}
	})
	var stores []string
	for range 33 {
		stores = append(stores, scriptedStore(t, func() (messageKind, any) { return kindNotLeader, &notLeader{} }))
	}
	c := NewClient(ClientOptions{Leader: func() string { return silent }, Stores: func() []string { return stores }, Log: discardLogger()})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	response, err := c.Admit(ctx, turnRequest("a", 100, 10))
	require.NoError(t, err)
	assert.Equal(t, "t", response.Target)
	assert.Less(t, time.Since(elected), maxFailoverDelay)
}

// TestFirstPingWaitsForTheLease guards against entries that poll a store VM which is about
// to become the leader, and against a response that comes too late for them.
func TestFirstPingWaitsForTheLease(t *testing.T) {
	s := startStore(t, t.TempDir())
	for range 20 {
		start := time.Now()
		l, err := dialLink(s.address, currentForm, "", func(*clientLink, error) {})
		assert.Less(t, time.Since(start), silenceTimeout)
		if err == nil {
			assert.Equal(t, []string{s.address}, l.members)
			l.close(nil)
			return
		}
		var n notLeader
		require.ErrorAs(t, err, &n)
		assert.GreaterOrEqual(t, time.Since(start), maxParkTime, "the VM waits for a leader before it denies to be one")
	}
	t.Fatal("no leader")
}
