package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/membership"
)

// TestPoll guards against a lease from a VM that is not the leader or cannot confirm
// its leadership, and against a poll after which the follower's configuration differs
// from control's.
func TestPoll(t *testing.T) {
	c, f, _, _ := newControl(t)
	follower := fleet.New()
	poll := PollRequest{VM: testVM("vm-1", "a", "dc-1")}
	pollOnce := func() (*PollResponse, error) {
		poll.Revision = follower.Revision()
		r, err := c.poll(t.Context(), poll)
		if err == nil && r.Snapshot != nil {
			require.NoError(t, follower.Restore(r.Snapshot))
		}
		if err == nil {
			for _, change := range r.Changes {
				follower.ApplyChange(change)
			}
			if r.LeaseMS > 0 {
				require.Equal(t, f.machine.State.Revision(), follower.Revision())
			}
		}
		return r, err
	}
	f.leader = "c2"
	r, err := pollOnce()
	require.NoError(t, err)
	require.Equal(t, PollResponse{Leader: "127.0.0.1:9"}, *r)
	f.leader = ""
	f.fail(ErrNotLeader, nil, false)
	_, err = pollOnce()
	require.ErrorContains(t, err, CodeNoQuorum)
	f.fail(nil, nil, false)
	r, err = pollOnce()
	require.NoError(t, err)
	require.EqualValues(t, 2000, r.LeaseMS)
	_, registered := follower.VM("vm-1")
	require.True(t, registered)
	// Up to fleet.TailLength missed changes are sent as changes, more as a snapshot.
	for _, missed := range []int{700, fleet.TailLength + 1} {
		for range missed {
			_, err := c.propose(t.Context(), fleet.Command{PutOrganisation: &fleet.Organisation{ID: "acme"}})
			require.NoError(t, err)
		}
		r, err = pollOnce()
		require.NoError(t, err)
		require.Equal(t, missed > fleet.TailLength, r.Snapshot != nil)
	}
}

// TestNoLeaseWhileDeclaredDead guards against two owners with a valid lease. A VM whose
// shards are being moved because it counted as dead must get no lease before the move
// is committed.
func TestNoLeaseWhileDeclaredDead(t *testing.T) {
	c, f, _, _ := newControl(t)
	for _, vm := range []fleet.VM{testVM("vm-1", "a", "dc-1"), testVM("vm-2", "a", "dc-2")} {
		_, err := c.poll(t.Context(), PollRequest{VM: vm})
		require.NoError(t, err)
	}
	f.clockOffset.Add(int64(settleDelay))
	c.planOnce(t.Context())
	require.NotEmpty(t, c.state.Assignments())
	_, err := c.poll(t.Context(), PollRequest{VM: testVM("vm-2", "a", "dc-2")})
	require.NoError(t, err)
	f.clockOffset.Add(int64(membership.DeadAfter - settleDelay))
	f.fail(nil, ErrUnknownOutcome, false)
	c.planOnce(t.Context())
	r, err := c.poll(t.Context(), PollRequest{VM: testVM("vm-1", "a", "dc-1")})
	require.NoError(t, err)
	require.Zero(t, r.LeaseMS)
	f.fail(nil, nil, false)
	c.planOnce(t.Context())
	r, err = c.poll(t.Context(), PollRequest{VM: testVM("vm-1", "a", "dc-1")})
	require.NoError(t, err)
	require.NotZero(t, r.LeaseMS)
}

// TestIncarnationsAndNewLeader guards against leases for a process whose successor has
// registered, and against a new leader that counts every VM as dead.
func TestIncarnationsAndNewLeader(t *testing.T) {
	c, f, _, _ := newControl(t)
	poll := func(vm fleet.VM) (*PollResponse, error) { return c.poll(t.Context(), PollRequest{VM: vm}) }
	old, next := testVM("vm-1", "a", "dc-1"), testVM("vm-1", "b", "dc-1")
	for _, vm := range []fleet.VM{old, next} {
		r, err := poll(vm)
		require.NoError(t, err)
		require.NotZero(t, r.LeaseMS)
	}
	f.clockOffset.Add(int64(membership.DeadAfter))
	_, err := poll(old)
	require.ErrorContains(t, err, fleet.CodeVMReplaced)
	require.Empty(t, c.tracker.Live(c.now(), []fleet.VMRef{old.VMRef}), "polls of the replaced process count it as live, so its shards are not moved")
	other := testVM("vm-2", "a", "dc-1")
	other.Region = "r2"
	_, err = poll(other)
	require.ErrorContains(t, err, CodeWrongRegion)
	// A new leadership begins one hour after the last poll.
	f.clockOffset.Add(int64(time.Hour))
	require.Empty(t, c.liveNow())
	f.leaderSince = c.clock()
	c.planOnce(t.Context())
	require.Len(t, c.liveNow(), 1)
	f.clockOffset.Add(int64(membership.DeadAfter))
	c.planOnce(t.Context())
	require.Empty(t, c.liveNow())
}

// TestAssign guards against changes proposed by an owner that are lost, that are based
// on an old version, or that change more than an owner may.
func TestAssign(t *testing.T) {
	c, f, _, _ := newControl(t)
	for _, vm := range []fleet.VM{testVM("vm-1", "a", "dc-1"), testVM("vm-2", "a", "dc-2")} {
		_, err := c.poll(t.Context(), PollRequest{VM: vm})
		require.NoError(t, err)
	}
	f.clockOffset.Add(int64(settleDelay))
	c.planOnce(t.Context())
	have, ok := c.state.Assignment(0)
	require.True(t, ok)
	want := have
	want.Version++
	want.InSync = want.Replicas
	stale, takeover := want, want
	stale.Version--
	takeover.Owner, takeover.Epoch = have.Replicas[1], have.Epoch+1
	assign := func(a fleet.Assignment) error {
		data, err := json.Marshal(a)
		require.NoError(t, err)
		_, err = c.handleAssign(t.Context(), data)
		return err
	}
	require.ErrorContains(t, assign(stale), fleet.CodeStaleVersion)
	require.ErrorContains(t, assign(takeover), fleet.CodeStaleVersion)
	f.leader = "c2"
	require.ErrorContains(t, assign(want), CodeNotLeader)
	f.leader = ""
	f.fail(nil, ErrUnknownOutcome, true)
	require.ErrorContains(t, assign(want), CodeUnknownOutcome)
	f.fail(nil, nil, false)
	require.ErrorContains(t, assign(want), fleet.CodeStaleVersion, "the change took effect although its response was lost")
	have, _ = c.state.Assignment(0)
	require.Len(t, have.InSync, 2)
	handover := have
	handover.Owner, handover.Epoch, handover.Version = have.InSync[1], have.Epoch+1, have.Version+1
	require.NoError(t, assign(handover), "an owner hands its shard to an in-sync replica")
	moved, _ := c.state.Assignment(0)
	require.Equal(t, have.Owner, moved.Previous)
}

// TestOperatorFaults guards against a wrong "executed", a retry that takes effect
// twice, two concurrent writes with the same If-Match that both succeed, and a second
// key from a retried request.
func TestOperatorFaults(t *testing.T) {
	_, f, s, logText := newControl(t)
	require.Equal(t, http.StatusOK, request(t, s, "PUT", "/organisations/acme", `{}`).status)
	for _, c := range []struct {
		name             string
		barrier, propose error
		applied          bool
		executed         string
	}{
		{"no quorum for the barrier", context.DeadlineExceeded, nil, false, executedNo},
		{"leadership lost before the proposal", nil, ErrNotLeader, false, executedNo},
		{"proposal lost", nil, ErrUnknownOutcome, false, executedUnknown},
		{"response lost", nil, ErrUnknownOutcome, true, executedUnknown},
	} {
		before := f.machine.State.Revision()
		f.fail(c.barrier, c.propose, c.applied)
		write := func() apiResponse {
			return request(t, s, "PUT", "/organisations/acme", `{"name":"`+c.name+`"}`, headerOperationID, c.name)
		}
		response := write()
		require.Equal(t, []any{http.StatusServiceUnavailable, CodeNoQuorum, c.executed}, []any{response.status, response.Code, response.Executed}, c.name)
		f.fail(nil, nil, false)
		first := write()
		require.Equal(t, first, write(), "%s: the retry has a different result", c.name)
		organisation, _ := f.machine.State.Organisation("acme")
		require.Equal(t, c.name, organisation.Name)
		require.Equal(t, fmt.Sprint(organisation.Revision), first.etag)
		require.Greater(t, organisation.Revision, before)
	}
	response := request(t, s, "GET", "/organisations/acme", "")
	statuses := make(chan int, 8)
	for i := range cap(statuses) {
		go func() {
			statuses <- request(t, s, "PUT", "/organisations/acme", fmt.Sprintf(`{"name":"operator %d"}`, i), headerIfMatch, response.etag).status
		}()
	}
	successes := 0
	for range cap(statuses) {
		if status := <-statuses; status == http.StatusOK {
			successes++
		} else {
			require.Equal(t, http.StatusPreconditionFailed, status)
		}
	}
	require.Equal(t, 1, successes)
	f.fail(nil, ErrUnknownOutcome, true)
	issue := func() apiResponse {
		return request(t, s, "POST", "/keys", `{"organisation":"acme"}`, headerOperationID, "issue-1")
	}
	require.Equal(t, executedUnknown, issue().Executed)
	f.fail(nil, nil, false)
	require.Equal(t, codeKeyAlreadyIssued, issue().Code)
	require.Len(t, f.machine.State.Keys(), 1)
	var issued issuedKey
	second := request(t, s, "POST", "/keys", `{"organisation":"acme","id":"k2"}`)
	require.NoError(t, json.Unmarshal([]byte(second.body), &issued))
	key, ok := f.machine.State.Authenticate(issued.Secret)
	require.True(t, ok)
	require.Equal(t, "k2", key.ID)
	require.NotContains(t, logText.String(), issued.Secret)
	require.NotContains(t, request(t, s, "GET", "/keys", "").body, key.Hash)
	require.Equal(t, http.StatusOK, request(t, s, "DELETE", "/keys/k2", "").status)
	_, ok = f.machine.State.Authenticate(issued.Secret)
	require.False(t, ok)
}

// TestForward guards against requests that a follower handles itself, forwards in a
// loop, or reports as not executed although the leader may have received them.
func TestForward(t *testing.T) {
	leader, _, leaderHTTP, _ := newControl(t)
	follower, f, s, _ := newControl(t)
	f.leader = "c2"
	require.Equal(t, executedNo, request(t, s, "GET", "/status", "").Executed)
	follower.o.Settings.Name = "c9"
	follower.o.Settings.HTTPAddresses["c2"] = strings.TrimPrefix(leaderHTTP.URL, "http://")
	response := request(t, s, "PUT", "/organisations/acme", `{"name":"A"}`, headerIfMatch, "0", headerOperationID, "op")
	require.Equal(t, http.StatusOK, response.status, response.body)
	require.Equal(t, "1", response.etag)
	response = request(t, s, "PUT", "/organisations/acme", `{"name":"B"}`, headerIfMatch, "0")
	require.Equal(t, fleet.CodeRevisionConflict, response.Code)
	_, ok := leader.state.Organisation("acme")
	require.True(t, ok)
	// The other VM would forward the request back; the loop ends after one step.
	other, otherLog, otherHTTP, _ := newControl(t)
	otherLog.leader = "c9"
	other.o.Settings.HTTPAddresses["c9"] = strings.TrimPrefix(s.URL, "http://")
	follower.o.Settings.HTTPAddresses["c2"] = strings.TrimPrefix(otherHTTP.URL, "http://")
	response = request(t, s, "GET", "/status", "")
	require.Equal(t, []any{CodeNoQuorum, executedNo}, []any{response.Code, response.Executed})
	// A leader that accepts the connection and closes it may have received the request.
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	follower.o.Settings.HTTPAddresses["c2"] = strings.TrimPrefix(aborting.URL, "http://")
	require.Equal(t, executedUnknown, request(t, s, "DELETE", "/organisations/acme", "").Executed)
	aborting.Close()
	require.Equal(t, executedNo, request(t, s, "DELETE", "/organisations/acme", "").Executed)
	// A frozen leader delays a request only until another VM becomes the leader.
	release := make(chan struct{})
	frozen := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		f.mu.Lock()
		f.leader = "c3"
		f.mu.Unlock()
		<-release
	}))
	defer frozen.Close()
	defer close(release)
	follower.o.Settings.HTTPAddresses["c2"] = strings.TrimPrefix(frozen.URL, "http://")
	start := time.Now()
	require.Equal(t, executedUnknown, request(t, s, "DELETE", "/organisations/acme", "").Executed)
	require.Less(t, time.Since(start), forwardTimeout/2)
}

// TestForwardedResponseThatBreaksOff guards against a response of the leader that was broken off
// and that reaches the operator as complete.
func TestForwardedResponseThatBreaksOff(t *testing.T) {
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"organisations": [`)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer leader.Close()
	follower, f, s, _ := newControl(t)
	f.leader = "c2"
	follower.o.Settings.Name = "c9"
	follower.o.Settings.HTTPAddresses["c2"] = strings.TrimPrefix(leader.URL, "http://")
	r, err := http.NewRequest(http.MethodGet, s.URL+"/v1/admin/status", nil)
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+testToken)
	response, err := http.DefaultClient.Do(r)
	if err == nil {
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
	}
	require.Error(t, err)
}
