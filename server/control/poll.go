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

// Codes of refused polls and assignments, in addition to those of package fleet.
const (
	// CodeNoQuorum means that this VM could not confirm that it is the leader.
	CodeNoQuorum = "no_quorum"
	// CodeNotLeader means that another VM is the leader. The error's data holds the
	// leader's address, if known.
	CodeNotLeader = "not_leader"
	// CodeUnknownOutcome means that the change may or may not take effect.
	CodeUnknownOutcome = "unknown_outcome"
	// CodeWrongRegion means that the VM belongs to the quorum of another region.
	CodeWrongRegion = "wrong_region"
)

// PollRequest is the payload of control.poll.
type PollRequest struct {
	// VM describes the polling VM.
	VM fleet.VM `json:"vm"`
	// Revision is the revision of the VM's copy of the configuration.
	Revision uint64 `json:"revision"`
	// Draining requests that the VM's shards be moved to other VMs.
	Draining bool `json:"draining,omitempty"`
	// OwnedTokens is the sum of the organisations' token counters that the VM owns.
	OwnedTokens int64 `json:"owned_tokens,omitempty"`
}

// PollResponse is the response to control.poll.
type PollResponse struct {
	// Leader is the leader's RPC address if the responding VM is not the leader. It is
	// empty if the leader is unknown.
	Leader string `json:"leader,omitempty"`
	// Revision is the revision that the polling VM reaches with the changes or the
	// snapshot.
	Revision uint64 `json:"revision,omitempty"`
	// Snapshot replaces the configuration of a VM for which the changes are no longer
	// available.
	Snapshot json.RawMessage `json:"snapshot,omitempty"`
	// Changes are the changes after the revision of the request.
	Changes []fleet.Change `json:"changes,omitempty"`
	// LeaseMS is the length of the lease in milliseconds, counted from the time at
	// which the VM sent the poll. 0 means that the lease is not renewed.
	LeaseMS int64 `json:"lease_ms,omitempty"`
	// FleetTokens is the sum of OwnedTokens in the last polls of all live VMs.
	FleetTokens int64 `json:"fleet_tokens,omitempty"`
}

// leaderHint is the data of a not_leader error.
type leaderHint struct {
	Leader string `json:"leader"`
}

// cachedSnapshot is the last snapshot that was encoded for followers.
type cachedSnapshot struct {
	revision uint64
	data     []byte
}

// handlePoll handles the RPC method control.poll.
func (c *Control) handlePoll(ctx context.Context, params json.RawMessage) (any, error) {
	var r PollRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, rpc.Errorf(fleet.CodeInvalid, "%v", err)
	}
	return c.poll(ctx, r)
}

// poll handles a poll. It records that the VM is live before it confirms the
// leadership, so the lease ends before any later leader counts the VM as dead.
func (c *Control) poll(ctx context.Context, r PollRequest) (*PollResponse, error) {
	if region := c.o.Settings.Region; region != "" && r.VM.Region != region {
		return nil, rpc.Errorf(CodeWrongRegion, "VM %q is in region %q, this quorum serves %q", r.VM.ID, r.VM.Region, region)
	}
	if !c.isLeader() {
		_, address, _ := c.o.Quorum.Leader()
		return &PollResponse{Leader: address}, nil
	}
	if c.state.Replaced(r.VM.VMRef) {
		// A replaced process gets no lease, and its polls do not count it as live, so
		// that its shards are moved.
		return nil, rpc.Errorf(fleet.CodeVMReplaced, "a later process registered as VM %q", r.VM.ID)
	}
	if !c.recordPoll(r.VM.VMRef) {
		// The VM counted as dead and its shards are being moved. It gets a lease after
		// these changes are applied or refused.
		return &PollResponse{}, nil
	}
	if err := c.confirm(ctx); err != nil {
		return nil, rpc.Errorf(CodeNoQuorum, "leadership not confirmed: %v", err)
	}
	if err := c.updateRegistration(ctx, r); err != nil {
		return nil, err
	}
	response, err := c.configurationSince(r.Revision)
	if err != nil {
		return nil, err
	}
	response.FleetTokens = c.updateFleetTokens(r.VM.VMRef, r.OwnedTokens)
	return response, nil
}

// tokenSum holds the owned token counters of each live VM and their sum. The sum is
// updated incrementally because every poll reads it.
type tokenSum struct {
	owned map[fleet.VMRef]int64
	sum   int64
}

// set stores the owned tokens of a VM.
func (t *tokenSum) set(vm fleet.VMRef, owned int64) {
	t.sum += owned - t.owned[vm]
	t.owned[vm] = owned
}

// retain removes the VMs that are not live.
func (t *tokenSum) retain(live map[fleet.VMRef]bool) {
	for vm, owned := range t.owned {
		if !live[vm] {
			t.sum -= owned
			delete(t.owned, vm)
		}
	}
}

// updateFleetTokens stores the owned tokens of a VM and returns the sum over all VMs.
func (c *Control) updateFleetTokens(vm fleet.VMRef, owned int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens.set(vm, owned)
	return c.tokens.sum
}

// recordPoll records a poll of the VM. It returns false while leases are withheld from
// the VM, because changes that treat it as dead are pending.
func (c *Control) recordPoll(vm fleet.VMRef) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.withheldLeases[vm] {
		return false
	}
	c.tracker.Poll(c.now(), vm)
	return true
}

// updateRegistration registers the polling VM if its registration is missing or differs
// from the poll.
func (c *Control) updateRegistration(ctx context.Context, r PollRequest) error {
	current, known := c.state.VM(r.VM.ID)
	want := r.VM
	want.Revision = current.Revision
	want.Draining = r.Draining || r.VM.Draining
	if current.VMRef == want.VMRef {
		// A drain by an operator lasts until the VM's process ends.
		want.Draining = want.Draining || current.Draining
	}
	if known && current == want {
		return nil
	}
	want.Revision = 0
	result, err := c.propose(ctx, fleet.Command{RegisterVM: &want})
	if err != nil {
		return proposeError(c, err)
	}
	if result.Error != nil {
		return toRPCError(result.Error)
	}
	c.mu.Lock()
	c.settle.recordRegistration(c.now())
	c.mu.Unlock()
	c.o.Log.WithFields(logrus.Fields{
		"event": "vm_registered", "vm_id": want.ID, "incarnation": want.Incarnation, "role": want.Role,
		"data_centre": want.DataCentre, "draining": want.Draining, "revision": result.Revision,
	}).Info("VM registration changed")
	return nil
}

// configurationSince returns a response with a lease and the changes after a revision.
// If these changes are no longer available, the response contains a snapshot.
func (c *Control) configurationSince(revision uint64) (*PollResponse, error) {
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
	if current := c.state.Revision(); revision > current {
		c.o.Log.WithFields(logrus.Fields{"event": "follower_ahead", "follower_revision": revision, "revision": current}).
			Error("a VM has a configuration from another log; it must be restarted")
	}
	snapshot, err := c.followerSnapshot()
	if err != nil {
		return nil, rpc.Errorf("internal", "snapshot: %v", err)
	}
	response.Revision, response.Snapshot = snapshot.revision, snapshot.data
	return response, nil
}

// followerSnapshot returns a snapshot of the current revision. It is encoded once per
// revision, because many VMs need the same snapshot after a restart.
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

// handleAssign handles an assignment that the owner of a shard proposes: a change of
// the in-sync set or a handover.
func (c *Control) handleAssign(ctx context.Context, params json.RawMessage) (any, error) {
	var a fleet.Assignment
	if err := json.Unmarshal(params, &a); err != nil {
		return nil, rpc.Errorf(fleet.CodeInvalid, "%v", err)
	}
	if !c.isLeader() {
		return nil, proposeError(c, ErrNotLeader)
	}
	if err := c.confirm(ctx); err != nil {
		return nil, rpc.Errorf(CodeNoQuorum, "leadership not confirmed: %v", err)
	}
	current, ok := c.state.Assignment(a.Shard)
	if !ok {
		return nil, rpc.Errorf(fleet.CodeNotFound, "shard %d is not assigned", a.Shard)
	}
	if a.Version != current.Version+1 || !slices.Equal(a.Replicas, current.Replicas) || !(isInSyncChange(a, current) || isHandover(a, current)) {
		return nil, rpc.Errorf(fleet.CodeStaleVersion, "shard %d is at epoch %d, version %d", a.Shard, current.Epoch, current.Version)
	}
	a.Previous = current.Previous
	if a.Owner != current.Owner {
		a.Previous = current.Owner
	}
	result, err := c.propose(ctx, fleet.Command{Assign: &a})
	if err != nil {
		return nil, proposeError(c, err)
	}
	if result.Error != nil {
		return nil, toRPCError(result.Error)
	}
	c.o.Log.WithFields(logrus.Fields{
		"event": "in_sync_changed", "shard": a.Shard, "epoch": a.Epoch, "version": a.Version, "in_sync": vmIDs(a.InSync),
	}).Info("the owner changed its in-sync set")
	return a, nil
}

// isInSyncChange reports whether the owner and the epoch stay the same. Then only the
// in-sync set differs, because the caller has compared the replicas.
func isInSyncChange(a, current fleet.Assignment) bool {
	return a.Owner == current.Owner && a.Epoch == current.Epoch
}

// isHandover reports whether the owner hands the shard over to an in-sync VM, as before
// a planned stop. Only the planner makes any other change to an assignment.
func isHandover(a, current fleet.Assignment) bool {
	return a.Epoch == current.Epoch+1 && slices.Contains(current.InSync, a.Owner) && slices.Equal(a.InSync, current.InSync)
}

// proposeError converts the error of a failed proposal into an RPC error.
func proposeError(c *Control, err error) error {
	if !errors.Is(err, ErrNotLeader) {
		return rpc.Errorf(CodeUnknownOutcome, "%v", err)
	}
	_, address, _ := c.o.Quorum.Leader()
	hint, _ := json.Marshal(leaderHint{Leader: address})
	return &rpc.Error{Code: CodeNotLeader, Message: err.Error(), Data: hint}
}

// toRPCError converts the error of a refused command into an RPC error with the same
// code.
func toRPCError(e *fleet.Error) error {
	return &rpc.Error{Code: e.Code, Message: e.Error()}
}

// vmIDs returns the ids of the VMs.
func vmIDs(refs []fleet.VMRef) []string {
	out := make([]string, len(refs))
	for i, r := range refs {
		out[i] = r.ID
	}
	return out
}
