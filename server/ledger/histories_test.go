package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/server/compact"
	"hemlockvale.dev/server/registry"
)

func historyStore(storage string) history.Store {
	return history.Store{Storage: storage, Address: "history-" + storage, RPCAddress: "rpc-" + storage, DataCentre: storage}
}

func keepOf(id string, holders ...string) history.Keep {
	return history.Keep{Turn: history.Turn{Organisation: "o", ID: id}, Holders: holders, RetentionSeconds: 60}
}

// storedOf is the report of an entry that a turn has been stored.
func storedOf(id string, holders ...string) history.Keep {
	k := keepOf(id, holders...)
	k.Copied = true
	return k
}

// continuation returns the request of a turn that continues another one.
func continuation(organisation, id, previous string) AdmitRequest {
	r := AdmitRequest{PreviousTurn: previous}
	r.ID, r.Service, r.Organisation, r.TimeLeft = id, "s", organisation, 2*time.Second
	return r
}

// TestContinuedTurns guards against a turn that is refused although the turn before was
// kept, also after a restart, against one that continues a turn which does not exist or
// belongs to another organisation, and against one that is charged although it is refused.
func TestContinuedTurns(t *testing.T) {
	dir := t.TempDir()
	s := startStore(t, dir)
	// The client searches for the leader in the background while the address changes.
	var address atomic.Value
	address.Store(s.address)
	c := startClient(t, func() []string { return []string{address.Load().(string)} })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, c.Keep(ctx, keepOf("first", "a", "b")))
	for range 2 {
		response, err := c.Admit(ctx, continuation("o", "second", "first"))
		require.NoError(t, err)
		assert.Equal(t, "t", response.Target)
		assert.Equal(t, []string{"a", "b"}, response.Holders)
		c.Done(DoneReport{ID: "second", Target: "t", Result: "ok"})
		for _, unknown := range []AdmitRequest{continuation("p", "third", "first"), continuation("o", "fourth", "never"), continuation("", "fifth", "o/first")} {
			unknown.Reserve = &ledger.Reserve{Program: ledger.Program{Organisation: "o", ID: "p"}, Request: unknown.ID, Budget: 10, Tokens: 10}
			response, err := c.Admit(ctx, unknown)
			require.NoError(t, err)
			assert.Equal(t, UnknownTurn, response.Refusal)
			assert.Empty(t, response.Holders)
		}
		assert.Zero(t, s.host.options.Machine.charged(ledger.Program{Organisation: "o", ID: "p"}))
		s.stop()
		s = startStore(t, dir)
		address.Store(s.address)
	}
}

// retire orders that a VM be emptied and reports whether it is.
func (s *testStore) retire(t *testing.T, ctx context.Context, storage string) bool {
	params, err := json.Marshal(map[string]string{"address": historyStore(storage).RPCAddress, "storage": storage})
	require.NoError(t, err)
	response, err := s.host.handleRemoveVoter(ctx, params)
	if err != nil {
		// The quorum of one VM has no membership policy, so it removes no voter. The
		// histories have been checked by then.
		require.ErrorContains(t, err, "not the leader")
		return true
	}
	return response.(registry.RemoveVoterResponse).Removed
}

// TestRetirementMovesHistories guards against a store VM that is reported as empty while a
// history has too few copies on other VMs, and against new histories on it.
func TestRetirementMovesHistories(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.setStores(historyStore("a"), historyStore("b"))
	c := startClient(t, func() []string { return []string{s.address} })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, c.Keep(ctx, keepOf("x", "a", "b")))
	require.NoError(t, c.Keep(ctx, storedOf("x", "a", "b")))
	retire := func() bool { return s.retire(t, ctx, "a") }
	for range 3 {
		require.False(t, retire(), "no other VM can take a copy")
	}
	require.ErrorIs(t, c.Keep(ctx, keepOf("y", "a", "b")), ErrHolderRetired)
	s.setStores(historyStore("a"), historyStore("b"), historyStore("c"))
	require.Eventually(t, retire, 5*time.Second, 20*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.NotEmpty(t, s.copied)
	assert.Contains(t, []string{"o/x history-a history-c", "o/x history-b history-c"}, s.copied[0])
}

// TestLostDiskIsReplaced guards against histories that stay with too few copies after a VM
// has lost its disk, and against copies that are made because a VM restarts.
func TestLostDiskIsReplaced(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.setStores(historyStore("a"), historyStore("b"), historyStore("c"))
	c := startClient(t, func() []string { return []string{s.address} })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, c.Keep(ctx, keepOf("x", "a", "b")))
	require.NoError(t, c.Keep(ctx, storedOf("x", "a", "b")))
	time.Sleep(2 * copyInterval)
	s.setStores(historyStore("a"), historyStore("c"))
	time.Sleep(absenceLimit / 2)
	s.setStores(historyStore("a"), historyStore("b"), historyStore("c"))
	time.Sleep(2 * copyInterval)
	s.mu.Lock()
	assert.Empty(t, s.copied, "the VM was absent for a short time")
	s.mu.Unlock()
	s.setStores(historyStore("a"), historyStore("c"))
	start := time.Now()
	holders := func() []string {
		response, err := c.Admit(ctx, continuation("o", time.Now().String(), "x"))
		require.NoError(t, err)
		c.Done(DoneReport{ID: response.ID, Target: response.Target, Result: "ok"})
		return response.Holders
	}
	require.Eventually(t, func() bool { return len(holders()) == 3 }, 2*absenceLimit, 50*time.Millisecond)
	assert.GreaterOrEqual(t, time.Since(start), absenceLimit-2*copyInterval)

	emptied := historyStore("a2")
	emptied.RPCAddress = historyStore("a").RPCAddress
	s.setStores(emptied, historyStore("c"))
	start = time.Now()
	require.Eventually(t, func() bool { return slices.Contains(holders(), "a2") }, absenceLimit, 20*time.Millisecond)
	assert.Less(t, time.Since(start), absenceLimit/2, "a VM that reports another disk has lost the former one")
}

// startRecordStores starts a leader for store VMs whose records the test knows, and an entry.
func startRecordStores(t *testing.T, storages ...string) (*testStore, *Client, context.Context) {
	t.Helper()
	s := startStore(t, t.TempDir())
	s.records = make(map[string]map[history.Turn]bool)
	var stores []history.Store
	for _, storage := range storages {
		stores = append(stores, historyStore(storage))
	}
	s.setStores(stores...)
	c := startClient(t, func() []string { return []string{s.address} })
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	return s, c, ctx
}

// TestNamedHolderIsNoCopy guards against a turn that is lost because a VM that was to hold it, and
// was down while it was stored, counts as its holder: when another VM is retired, and when one
// loses its disk.
func TestNamedHolderIsNoCopy(t *testing.T) {
	s, c, ctx := startRecordStores(t, "a", "b", "c", "d")
	// "retired" and "wiped" were to be stored by a and b. b was down, and c took its place.
	for _, id := range []string{"retired", "wiped"} {
		s.store(id, "a", "c")
		require.NoError(t, c.Keep(ctx, keepOf(id, "a", "b")))
		require.NoError(t, c.Keep(ctx, keepOf(id, "a", "c")))
	}
	require.Eventually(t, func() bool { return s.retire(t, ctx, "a") }, 10*time.Second, 20*time.Millisecond)
	assert.Contains(t, s.sealed, historyStore("a").Address, "a record could still be stored on the VM")
	lasting := func(id string) int {
		n := 0
		for _, storage := range []string{"b", "c", "d"} {
			if s.holds(id, storage) {
				n++
			}
		}
		return n
	}
	assert.Equal(t, 2, lasting("retired"), "copies on other VMs when the VM counts as empty")
	s.setStores(historyStore("b"), historyStore("d"))
	s.mu.Lock()
	delete(s.records, historyStore("c").Address)
	s.mu.Unlock()
	require.Eventually(t, func() bool { return lasting("wiped") == 2 }, 2*absenceLimit, 20*time.Millisecond)
}

// TestSilentStoreIsNotEmpty guards against a VM that counts as empty because it does not report
// while it is being retired: it is suspended, and the only one with a second copy.
func TestSilentStoreIsNotEmpty(t *testing.T) {
	s, c, ctx := startRecordStores(t, "a", "b")
	s.store("whole", "a", "b")
	require.NoError(t, c.Keep(ctx, keepOf("whole", "a", "b")))
	require.NoError(t, c.Keep(ctx, storedOf("whole", "a", "b")))
	s.setStores(historyStore("b"))
	require.False(t, s.retire(t, ctx, "a"), "b alone holds it")
	s.setStores(historyStore("b"), historyStore("c"))
	require.Eventually(t, func() bool { return s.retire(t, ctx, "a") }, 10*time.Second, 20*time.Millisecond)
	assert.True(t, s.holds("whole", "c"))

	// The entry has not reported yet who stored "reported later".
	s.setStores(historyStore("b"), historyStore("c"), historyStore("d"))
	require.NoError(t, c.Keep(ctx, keepOf("reported later", "b")))
	s.store("reported later", "b")
	s.setStores(historyStore("c"), historyStore("d"))
	require.False(t, s.retire(t, ctx, "b"), "b can't be asked whether it has the record")
	s.setStores(historyStore("b"), historyStore("c"), historyStore("d"))
	require.Eventually(t, func() bool { return s.retire(t, ctx, "b") }, 10*time.Second, 20*time.Millisecond)
	assert.True(t, s.holds("reported later", "c") && s.holds("reported later", "d"))
}

// TestLostReportOfStoredTurn guards against a turn that gets no further copies because the
// report of its entry, which ended or belongs to an earlier release, did not arrive.
func TestLostReportOfStoredTurn(t *testing.T) {
	s, c, ctx := startRecordStores(t, "a", "b", "c")
	require.NoError(t, c.Keep(ctx, keepOf("x", "a", "b")))
	s.store("x", "a", "b")
	s.setStores(historyStore("a"), historyStore("c"))
	require.Eventually(t, func() bool { return s.holds("x", "c") }, firstQuestionDelay+2*absenceLimit, 20*time.Millisecond)
	require.False(t, s.retire(t, ctx, "a"), "c alone would hold it")
	s.setStores(historyStore("a"), historyStore("c"), historyStore("d"))
	require.Eventually(t, func() bool { return s.retire(t, ctx, "a") }, 10*time.Second, 20*time.Millisecond)
	assert.True(t, s.holds("x", "d"))
}

// TestReportOfStoredTurnIsNotAwaited guards against holders that stay unconfirmed although their
// entry has reported that they have the record.
func TestReportOfStoredTurnIsNotAwaited(t *testing.T) {
	s := startStore(t, t.TempDir())
	c := startClient(t, func() []string { return []string{s.address} })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, c.Keep(ctx, keepOf("x", "a", "b")))
	c.Stored(history.Turn{Organisation: "o", ID: "x"}, []string{"a", "b"})
	named := func() (n int) {
		s.host.options.Machine.readTurns(func(turns *history.Directory, _ int64) {
			n = len(turns.Named(history.Turn{Organisation: "o", ID: "x"}))
		})
		return n
	}
	require.Eventually(t, func() bool { return named() == 0 }, 5*time.Second, time.Millisecond)
}

// TestTurnsWithoutRecordDoNotDelayCopies guards against a kept turn that stays with one copy,
// because turns that no VM holds are planned before it in every round: their callers have left.
func TestTurnsWithoutRecordDoNotDelayCopies(t *testing.T) {
	const leftTurns = 2 * maxCopiesPlanned
	s, c, ctx := startRecordStores(t, "a", "b", "c")
	var wg sync.WaitGroup
	for i := range leftTurns {
		wg.Go(func() { assert.NoError(t, c.Keep(ctx, keepOf(fmt.Sprintf("left-%04d", i), "a", "b"))) })
	}
	wg.Wait()
	s.store("whole", "a", "b")
	require.NoError(t, c.Keep(ctx, keepOf("whole", "a", "b")))
	require.NoError(t, c.Keep(ctx, storedOf("whole", "a", "b")))
	s.setStores(historyStore("a"), historyStore("c"))
	require.Eventually(t, func() bool { return s.holds("whole", "c") }, absenceLimit+10*time.Second, 50*time.Millisecond)
}

// TestTurnIsLocated guards against a wrong answer to an operator who looks for a turn.
func TestTurnIsLocated(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.setStores(historyStore("a"))
	c := startClient(t, func() []string { return []string{s.address} })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, c.Keep(ctx, keepOf("x", "a", "b")))
	require.NoError(t, c.Keep(ctx, storedOf("x", "a")))
	for id, want := range map[string]TurnResponse{"x": {Known: true, Holders: []history.Store{historyStore("a")}, Absent: []string{"b"}, Unconfirmed: []string{"b"}}, "z": {}} {
		params, err := json.Marshal(history.Turn{Organisation: "o", ID: id})
		require.NoError(t, err)
		response, err := s.host.handleTurn(ctx, params)
		require.NoError(t, err)
		assert.Equal(t, want, response)
	}
}

// TestCommandOfAnEarlierRelease guards against a log whose entries are skipped after an
// upgrade, so that budgets are forgotten.
func TestCommandOfAnEarlierRelease(t *testing.T) {
	data, err := compact.Marshal(firstCommand{UnixSeconds: 5, Reserves: []ledger.Reserve{*turnRequest("a", 100, 60).Reserve}})
	require.NoError(t, err)
	m := NewMachine()
	assert.Equal(t, ledger.Result{Reserved: []bool{true}, Kept: []bool{}}, m.Apply(1, data))
	assert.EqualValues(t, 60, m.charged(ledger.Program{Organisation: "o", ID: "p"}))
	data, err = compact.Marshal(historyCommand{UnixSeconds: 6, Reserves: []ledger.Reserve{*turnRequest("b", 100, 30).Reserve}})
	require.NoError(t, err)
	assert.Equal(t, ledger.Result{Reserved: []bool{true}, Kept: []bool{}}, m.Apply(2, data))
	_, isError := m.Apply(3, []byte("garbage")).(error)
	assert.True(t, isError)
}
