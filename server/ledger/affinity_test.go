package ledger

import (
	"fmt"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/server/compact"
)

// keyedRequest returns a request for an object.
func keyedRequest(id string, key uint64) AdmitRequest {
	var r AdmitRequest
	r.ID, r.Service, r.TimeLeft, r.Affinity = id, "s", 2*time.Second, key
	return r
}

// TestLeaderPlacesByAffinity guards against a key that the leader does not get, also over a
// connection in the earlier form, that it applies to another request, or that it does not count. The
// load is one request at a time at five targets.
func TestLeaderPlacesByAffinity(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.awaitLeader(t)
	view := *s.view.Load()
	view.Targets = nil
	for i := range 5 {
		view.Targets = append(view.Targets, catalog.Target{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i+1), Slots: 6, State: catalog.Ready})
	}
	s.view.Store(&view)
	s.host.Update(&view)
	c := startClient(t, func() []string { return []string{s.address} })
	keyed := decisionOf(t, c, keyedRequest("first", 7))
	require.Equal(t, dispatch.ReasonAffinity, keyed.Reason)
	// Done does not wait, and a target that still runs a request may be over its bound.
	end := func(id, target string) {
		c.Done(DoneReport{ID: id, Target: target, Result: dispatch.Completed, Units: 1})
		require.Eventually(t, func() bool {
			s.host.mu.Lock()
			defer s.host.mu.Unlock()
			return s.host.dispatcher.Load("s").Running == 0
		}, 10*time.Second, time.Millisecond)
	}
	end("first", keyed.Target)
	for _, id := range []string{"a", "b", "c"} {
		again := decisionOf(t, c, keyedRequest(id, 7))
		assert.Equal(t, keyed.Target, again.Target)
		end(id, again.Target)
	}
	plain := decisionOf(t, c, keyedRequest("plain", 0))
	assert.NotContains(t, plain.Reason, "affinity", "one announcement is for one request")
	counter := gometrics.GetOrRegisterCounter("ledger_affinity_grants;choice=first", s.host.options.Metrics)
	assert.Equal(t, int64(4), counter.Count())
}

// TestAffinityIsNotPartOfTheRequest guards against a request that VMs of earlier releases refuse
// because it has another number of fields.
func TestAffinityIsNotPartOfTheRequest(t *testing.T) {
	without, with := turnRequest("a", 100, 60), turnRequest("a", 100, 60)
	with.Affinity = 7
	for _, form := range []linkForm{currentForm, earlierForm} {
		a, err := form.encode(kindAdmit, &without)
		require.NoError(t, err)
		b, err := form.encode(kindAdmit, &with)
		require.NoError(t, err)
		assert.Equal(t, a, b)
	}
	announced := affinity{ID: "a", Attempt: 1, Key: 1<<64 - 1}
	payload, err := compact.Marshal(&announced)
	require.NoError(t, err)
	var decoded affinity
	require.NoError(t, compact.Unmarshal(payload, &decoded))
	assert.Equal(t, announced, decoded)
	with.Attempt = 1
	assert.Equal(t, announced.Key, decoded.of(&with))
	with.Attempt = 2
	assert.Zero(t, decoded.of(&with), "another attempt")
	assert.Zero(t, (&affinity{}).of(&with), "not announced, as by an entry of an earlier release")
}
