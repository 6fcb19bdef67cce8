package control

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"hemlockvale.dev/coord/fleet"
)

// maxParallelProposals limits the number of planned changes that are proposed
// concurrently. The log batches them.
const maxParallelProposals = 16

// settleWindow delays the first assignment of a new deployment until its VMs have
// registered.
type settleWindow struct {
	firstRegistration, lastRegistration time.Duration
	started                             bool // a VM has registered during this leadership
}

// recordRegistration opens or extends the window.
func (s *settleWindow) recordRegistration(now time.Duration) {
	if !s.started {
		s.firstRegistration, s.started = now, true
	}
	s.lastRegistration = now
}

// closed reports whether all VMs that start together are assumed to have registered.
// A new leader that has seen no registration does not wait, because the VMs registered
// with an earlier leader.
func (s *settleWindow) closed(now time.Duration) bool {
	return !s.started || now-s.lastRegistration >= settleDelay || now-s.firstRegistration >= maxSettleDelay
}

// planInput identifies the input of a plan. A plan for 2,500 VMs and 4,096 shards
// takes about 25 ms, so it is not repeated for an input whose plan was empty.
type planInput struct {
	revision uint64
	live     map[fleet.VMRef]bool
}

// planOnce plans one round of changes and proposes them if this VM is the leader.
func (c *Control) planOnce(ctx context.Context) {
	if !c.isLeader() {
		return
	}
	if err := c.confirm(ctx); err != nil {
		c.o.Log.WithField("event", "plan_skipped").WithError(err).Warn("leadership not confirmed")
		return
	}
	if c.state.Shards() == 0 && !c.createDeployment(ctx) {
		return
	}
	live, commands := c.planChanges()
	c.logLostShards(live)
	if len(commands) == 0 {
		c.resumeLeases()
		return
	}
	if c.proposeAll(ctx, commands) {
		c.resumeLeases()
	}
}

// createDeployment creates the deployment and reports whether it was created.
func (c *Control) createDeployment(ctx context.Context) bool {
	var absentRevision uint64
	result, err := c.propose(ctx, fleet.Command{ExpectedRevision: &absentRevision, Configure: &fleet.Deployment{
		Shards:             c.o.Settings.Shards,
		Replicas:           c.o.Settings.Replicas,
		RecreateLostShards: c.o.Settings.RecreateLostShards,
	}})
	log := c.o.Log.WithFields(logrus.Fields{"event": "deployment_configured", "shards": c.o.Settings.Shards, "replicas": c.o.Settings.Replicas})
	if err != nil {
		log.WithError(err).Warn("deployment not created yet")
		return false
	}
	if result.Error != nil {
		log.WithError(result.Error).Error("creation of the deployment refused")
		return false
	}
	log.Info("deployment created")
	return true
}

// planChanges determines which VMs are live and returns them with the planned changes.
// If there are any changes, the dead VMs get no lease until each change is known to be
// applied or refused. Otherwise a poll in between would renew the lease of an owner
// whose successor is about to start.
func (c *Control) planChanges() (map[fleet.VMRef]bool, []fleet.Command) {
	refs := c.knownVMs()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	live := c.tracker.Live(now, refs)
	c.tokens.retain(live)
	for ref := range c.withheldLeases {
		delete(live, ref)
	}
	if len(c.state.Assignments()) == 0 && !c.settle.closed(now) {
		return live, nil
	}
	revision := c.state.Revision()
	if revision == c.emptyPlanInput.revision && maps.Equal(live, c.emptyPlanInput.live) {
		return live, nil
	}
	commands := fleet.Plan(c.state, live)
	if len(commands) == 0 {
		c.emptyPlanInput = planInput{revision: revision, live: live}
		return live, nil
	}
	c.withholdLeases(refs, live)
	return live, commands
}

// withholdLeases prevents the VMs that are not live from getting leases. The caller
// holds c.mu.
func (c *Control) withholdLeases(refs []fleet.VMRef, live map[fleet.VMRef]bool) {
	if c.withheldLeases == nil {
		c.withheldLeases = make(map[fleet.VMRef]bool)
	}
	for _, ref := range refs {
		if !live[ref] {
			c.withheldLeases[ref] = true
		}
	}
}

// resumeLeases lets all VMs get leases again, unless an operator's recreation of a
// shard is pending.
func (c *Control) resumeLeases() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingRecreations == 0 {
		c.withheldLeases = nil
	}
}

// beginRecreation plans the recreation of a lost shard and withholds leases from the
// dead VMs. It returns false if the shard is not lost or no live entry VM can take it.
// If it returns true, the caller calls endRecreation after its proposal has ended.
func (c *Control) beginRecreation(shard int) (fleet.Command, bool) {
	refs := c.knownVMs()
	c.mu.Lock()
	defer c.mu.Unlock()
	live := c.tracker.Live(c.now(), refs)
	command, ok := fleet.RecreateLostShard(c.state, live, shard)
	if ok {
		c.withholdLeases(refs, live)
		c.pendingRecreations++
	}
	return command, ok
}

// endRecreation ends a recreation. Leases stay withheld until the next planning round in
// which the outcome of every change is known.
func (c *Control) endRecreation() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingRecreations--
}

// knownVMs returns the registered VMs and the replicas of all assignments. The latter
// may be earlier incarnations whose lease is still valid.
func (c *Control) knownVMs() []fleet.VMRef {
	seen := make(map[fleet.VMRef]bool)
	for _, vm := range c.state.VMs() {
		seen[vm.VMRef] = true
	}
	for _, a := range c.state.Assignments() {
		for _, r := range a.Replicas {
			seen[r] = true
		}
	}
	refs := make([]fleet.VMRef, 0, len(seen))
	for r := range seen {
		refs = append(refs, r)
	}
	return refs
}

// proposeAll proposes the planned changes. It returns false if the outcome of any of
// them is unknown.
func (c *Control) proposeAll(ctx context.Context, commands []fleet.Command) bool {
	var unknown atomic.Bool
	var group errgroup.Group
	group.SetLimit(maxParallelProposals)
	for _, command := range commands {
		group.Go(func() error {
			result, err := c.propose(ctx, command)
			c.logPlannedChange(command, result, err)
			if err != nil {
				unknown.Store(true)
			}
			return nil
		})
	}
	// The goroutines return no errors.
	_ = group.Wait()
	return !unknown.Load()
}

// logPlannedChange logs the outcome of a planned change.
func (c *Control) logPlannedChange(command fleet.Command, result fleet.Result, err error) {
	fields := logrus.Fields{"event": "planned", "revision": result.Revision}
	a := command.Assign
	if a == nil {
		a = command.RecreateShard
	}
	if a != nil {
		fields["event"] = "shard_assigned"
		fields["shard"], fields["epoch"], fields["version"] = a.Shard, a.Epoch, a.Version
		fields["owner"], fields["in_sync"], fields["replicas"] = a.Owner.ID, vmIDs(a.InSync), vmIDs(a.Replicas)
	}
	if r := command.RemoveVM; r != nil {
		fields["event"] = "vm_removed"
		fields["vm_id"], fields["incarnation"] = r.ID, r.Incarnation
	}
	log := c.o.Log.WithFields(fields)
	switch {
	case err != nil:
		log.WithError(err).Warn("outcome of the planned change is unknown")
	case result.Error != nil:
		// A concurrent change made the plan outdated; the next round plans again.
		log.WithError(result.Error).Info("planned change refused")
	case command.RecreateShard != nil:
		log.Error("lost shard replaced by an empty one; its programs are permanently lost")
	default:
		log.Info("planned change applied")
	}
}

// logLostShards logs the shards without a live in-sync VM when their list changes.
func (c *Control) logLostShards(live map[fleet.VMRef]bool) {
	lost := fleet.LostShards(c.state, live)
	c.mu.Lock()
	changed := !slices.Equal(lost, c.lostShards)
	c.lostShards = lost
	c.mu.Unlock()
	if !changed {
		return
	}
	log := c.o.Log.WithFields(logrus.Fields{"event": "shards_lost", "count": len(lost), "shards": lost})
	if len(lost) == 0 {
		log.Info("every shard has a live in-sync VM again")
		return
	}
	log.Error("every in-sync VM of these shards is dead; their requests are refused until one returns or an operator recreates them")
}
