package control

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/membership"
	"hemlockvale.dev/server/rpc"
)

// Codes of refused polls and assignments, besides those of package fleet.
const (
	// CodeNoQuorum: this VM could not confirm its leadership.
	CodeNoQuorum = "no_quorum"
	// CodeNotLeader: another VM leads; the error's data holds its address.
	CodeNotLeader = "not_leader"
	// CodeUnknownOutcome: the change may or may not take effect.
	CodeUnknownOutcome = "unknown_outcome"
	// CodeWrongRegion: the VM belongs to another region's quorum.
	CodeWrongRegion = "wrong_region"
)

// PollRequest is the payload of control.poll.
type PollRequest struct {
	// VM describes the polling VM.
	VM fleet.VM `json:"vm"`
	// Revision is the VM's configuration.
	Revision uint64 `json:"revision"`
	// Draining asks to move the VM's shards away.
	Draining bool `json:"draining,omitempty"`
	// OwnedTokens is the sum of the token counters that the VM owns.
	OwnedTokens int64 `json:"owned_tokens,omitempty"`
}

// PollResponse is the answer to control.poll. Without a LeaseMS it renews no lease.
type PollResponse struct {
	// Leader is the leader's RPC address, when the answering VM does not lead; it may be unknown.
	Leader string `json:"leader,omitempty"`
	// Revision is the revision after the changes or the snapshot.
	Revision uint64 `json:"revision,omitempty"`
	// Snapshot replaces the configuration of a VM that is too far behind.
	Snapshot json.RawMessage `json:"snapshot,omitempty"`
	// Changes follow the request's revision.
	Changes []fleet.Change `json:"changes,omitempty"`
	// LeaseMS is the lease, in milliseconds from when the poll was sent.
	LeaseMS int64 `json:"lease_ms,omitempty"`
	// FleetTokens is the sum of OwnedTokens over all live VMs, from their last polls.
	FleetTokens int64 `json:"fleet_tokens,omitempty"`
}

// leaderHint is the data of a not_leader error.
type leaderHint struct {
	Leader string `json:"leader"`
}

// cachedSnapshot is the last snapshot that was sent to followers.
type cachedSnapshot struct {
	revision uint64
	data     []byte
}

func (c *Control) handlePoll(ctx context.Context, data json.RawMessage) (any, error) {
	var r PollRequest
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, rpc.Errorf(fleet.CodeInvalid, "%v", err)
	}
	return c.poll(ctx, r)
}

// poll answers one poll. The VM counts as live from here on; the leadership is
// confirmed afterwards, so the lease that it gets ends before any later leader
// counts the VM as dead.
func (c *Control) poll(ctx context.Context, r PollRequest) (*PollResponse, error) {
	if region := c.o.Settings.Region; region != "" && r.VM.Region != region {
		return nil, rpc.Errorf(CodeWrongRegion, "VM %q is in region %q, this quorum serves %q", r.VM.ID, r.VM.Region, region)
	}
	if !c.leads() {
		_, address, _ := c.o.Quorum.Leader()
		return &PollResponse{Leader: address}, nil
	}
	if c.state.Replaced(r.VM.VMRef) {
		// Its polls must not keep its former shards with it: it gets no lease.
		return nil, rpc.Errorf(fleet.CodeVMReplaced, "a later process registered as VM %q", r.VM.ID)
	}
	if !c.observe(r.VM.VMRef) {
		// Its shards are being moved because it counted as dead. It gets a lease
		// after that change is in the configuration.
		return &PollResponse{}, nil
	}
	if err := c.confirm(ctx); err != nil {
		return nil, rpc.Errorf(CodeNoQuorum, "leadership not confirmed: %v", err)
	}
	if err := c.registerPolled(ctx, r); err != nil {
		return nil, err
	}
	answer, err := c.answer(r.Revision)
	if err != nil {
		return nil, err
	}
	answer.FleetTokens = c.fleetTokens(r.VM.VMRef, r.OwnedTokens)
	return answer, nil
}

// tokenSum adds up what the live VMs own. It is kept as a running sum, because
// every poll reads it.
type tokenSum struct {
	owned map[fleet.VMRef]int64
	sum   int64
}

func (t *tokenSum) set(vm fleet.VMRef, owned int64) {
	t.sum += owned - t.owned[vm]
	t.owned[vm] = owned
}

// retain drops the VMs that are not live.
func (t *tokenSum) retain(live map[fleet.VMRef]bool) {
	for vm, owned := range t.owned {
		if !live[vm] {
			t.sum -= owned
			delete(t.owned, vm)
		}
	}
}

// fleetTokens notes a VM's sum and returns that of all live VMs.
func (c *Control) fleetTokens(vm fleet.VMRef, owned int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens.set(vm, owned)
	return c.tokens.sum
}

// observe records a poll. It returns false while changes that treat the VM as
// dead are under way.
func (c *Control) observe(vm fleet.VMRef) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.withheld[vm] {
		return false
	}
	c.tracker.Poll(c.now(), vm)
	return true
}

// registerPolled brings the registration up to date with the poll.
func (c *Control) registerPolled(ctx context.Context, r PollRequest) error {
	have, known := c.state.VM(r.VM.ID)
	want := r.VM
	want.Revision = have.Revision
	want.Draining = r.Draining || r.VM.Draining
	if have.VMRef == want.VMRef {
		// An operator's drain holds until the process ends.
		want.Draining = want.Draining || have.Draining
	}
	if known && have == want {
		return nil
	}
	want.Revision = 0
	result, err := c.propose(ctx, fleet.Command{RegisterVM: &want})
	if err != nil {
		return proposeError(c, err)
	}
	if result.Error != nil {
		return refusal(result.Error)
	}
	c.mu.Lock()
	c.settle.registered(c.now())
	c.mu.Unlock()
	c.o.Log.WithFields(logrus.Fields{
		"event": "vm_registered", "vm_id": want.ID, "incarnation": want.Incarnation, "role": want.Role,
		"data_centre": want.DataCentre, "draining": want.Draining, "revision": result.Revision,
	}).Info("registration changed")
	return nil
}

// answer returns what a follower at a revision lacks.
func (c *Control) answer(revision uint64) (*PollResponse, error) {
	response := &PollResponse{LeaseMS: membership.LeaseDuration.Milliseconds()}
	changes, ok := c.state.ChangesSince(revision)
	if ok {
		response.Changes = changes
		response.Revision = revision
		if n := len(changes); n > 0 {
			response.Revision = changes[n-1].Revision
		}
		return response, nil
	}
	if have := c.state.Revision(); revision > have {
		c.o.Log.WithFields(logrus.Fields{"event": "follower_ahead", "follower_revision": revision, "revision": have}).
			Error("a VM has a configuration from another log; it must be restarted")
	}
	snapshot, err := c.followerSnapshot()
	if err != nil {
		return nil, rpc.Errorf("internal", "snapshot: %v", err)
	}
	response.Revision, response.Snapshot = snapshot.revision, snapshot.data
	return response, nil
}

// followerSnapshot returns a current snapshot. Many VMs need the same one after
// a restart, so it is encoded once per revision.
func (c *Control) followerSnapshot() (cachedSnapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clone := c.state.Clone()
	if c.snapshot.data != nil && c.snapshot.revision == clone.Revision() {
		return c.snapshot, nil
	}
	data, err := clone.FollowerSnapshot()
	if err != nil {
		return cachedSnapshot{}, err
	}
	c.snapshot = cachedSnapshot{revision: clone.Revision(), data: data}
	return c.snapshot, nil
}

func (c *Control) handleAssign(ctx context.Context, data json.RawMessage) (any, error) {
	var a fleet.Assignment
	if err := json.Unmarshal(data, &a); err != nil {
		return nil, rpc.Errorf(fleet.CodeInvalid, "%v", err)
	}
	if !c.leads() {
		return nil, proposeError(c, ErrNotLeader)
	}
	if err := c.confirm(ctx); err != nil {
		return nil, rpc.Errorf(CodeNoQuorum, "leadership not confirmed: %v", err)
	}
	have, ok := c.state.Assignment(a.Shard)
	if !ok {
		return nil, rpc.Errorf(fleet.CodeNotFound, "shard %d is not assigned", a.Shard)
	}
	if a.Version != have.Version+1 || !slices.Equal(a.Replicas, have.Replicas) || !(changesInSync(a, have) || handsOver(a, have)) {
		return nil, rpc.Errorf(fleet.CodeStaleVersion, "shard %d is at epoch %d, version %d", a.Shard, have.Epoch, have.Version)
	}
	a.Previous = have.Previous
	if a.Owner != have.Owner {
		a.Previous = have.Owner
	}
	result, err := c.propose(ctx, fleet.Command{Assign: &a})
	if err != nil {
		return nil, proposeError(c, err)
	}
	if result.Error != nil {
		return nil, refusal(result.Error)
	}
	c.o.Log.WithFields(logrus.Fields{
		"event": "in_sync_changed", "shard": a.Shard, "epoch": a.Epoch, "version": a.Version, "in_sync": ids(a.InSync),
	}).Info("the owner changed its in-sync set")
	return a, nil
}

// changesInSync says that the owner stays; then only the in-sync set may differ.
func changesInSync(a, have fleet.Assignment) bool {
	return a.Owner == have.Owner && a.Epoch == have.Epoch
}

// handsOver says that the owner passes the shard to a VM that holds all of it,
// as before a planned stop. The rest of an assignment is the planner's.
func handsOver(a, have fleet.Assignment) bool {
	return a.Epoch == have.Epoch+1 && slices.Contains(have.InSync, a.Owner) && slices.Equal(a.InSync, have.InSync)
}

// proposeError turns a failed proposal into a typed error.
func proposeError(c *Control, err error) error {
	if !errors.Is(err, ErrNotLeader) {
		return rpc.Errorf(CodeUnknownOutcome, "%v", err)
	}
	_, address, _ := c.o.Quorum.Leader()
	hint, _ := json.Marshal(leaderHint{Leader: address})
	return &rpc.Error{Code: CodeNotLeader, Message: err.Error(), Data: hint}
}

// refusal turns a refused command into a typed error that keeps its code.
func refusal(e *fleet.Error) error {
	return &rpc.Error{Code: e.Code, Message: e.Error()}
}

func ids(refs []fleet.VMRef) []string {
	out := make([]string, len(refs))
	for i, r := range refs {
		out[i] = r.ID
	}
	return out
}
