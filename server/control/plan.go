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

// parallelProposals bounds the planner's changes in flight; the log batches them.
const parallelProposals = 16

// settling delays the first assignment of a new deployment.
type settling struct {
	first, last time.Duration
	any         bool
}

func (s *settling) registered(now time.Duration) {
	if !s.any {
		s.first, s.any = now, true
	}
	s.last = now
}

// done reports whether the VMs that start together have registered. After a
// change of leader the registrations are old and there is nothing to wait for.
func (s *settling) done(now time.Duration) bool {
	return !s.any || now-s.last >= settleTime || now-s.first >= maxSettleTime
}

// idlePlan is the last input for which there was nothing to plan. At 2,500 VMs
// and 4,096 shards a plan takes some 25 ms, so it is not repeated for the same input.
type idlePlan struct {
	revision uint64
	live     map[fleet.VMRef]bool
}

// planOnce plans and carries out one round of changes.
func (c *Control) planOnce(ctx context.Context) {
	if !c.leads() {
		return
	}
	if err := c.confirm(ctx); err != nil {
		c.o.Log.WithField("event", "plan_skipped").WithError(err).Warn("leadership not confirmed")
		return
	}
	if c.state.Shards() == 0 && !c.configure(ctx) {
		return
	}
	live, commands := c.judge()
	c.reportLost(live)
	if len(commands) == 0 {
		c.releaseWithheld()
		return
	}
	if c.carryOut(ctx, commands) {
		c.releaseWithheld()
	}
}

// configure creates the deployment.
func (c *Control) configure(ctx context.Context) bool {
	var absent uint64
	result, err := c.propose(ctx, fleet.Command{ExpectedRevision: &absent, Configure: &fleet.Deployment{
		Shards:             c.o.Settings.Shards,
		Replicas:           c.o.Settings.Replicas,
		RecreateLostShards: c.o.Settings.RecreateLostShards,
	}})
	log := c.o.Log.WithFields(logrus.Fields{"event": "deployment_configured", "shards": c.o.Settings.Shards, "replicas": c.o.Settings.Replicas})
	if err != nil {
		log.WithError(err).Warn("deployment not configured yet")
		return false
	}
	if result.Error != nil {
		log.WithError(result.Error).Error("deployment refused")
		return false
	}
	log.Info("new deployment")
	return true
}

// judge decides which VMs are live and plans accordingly. The dead VMs of a
// plan that changes anything get no lease until its changes are known to be
// in the configuration or to be refused: a poll in between would otherwise
// renew the lease of an owner whose successor is about to start.
func (c *Control) judge() (map[fleet.VMRef]bool, []fleet.Command) {
	refs := c.knownRefs()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	live := c.tracker.Live(now, refs)
	c.tokens.retain(live)
	for ref := range c.withheld {
		delete(live, ref)
	}
	if len(c.state.Assignments()) == 0 && !c.settle.done(now) {
		return live, nil
	}
	revision := c.state.Revision()
	if revision == c.idle.revision && maps.Equal(live, c.idle.live) {
		return live, nil
	}
	commands := fleet.Plan(c.state, live)
	if len(commands) == 0 {
		c.idle = idlePlan{revision: revision, live: live}
		return live, nil
	}
	c.withholdLeases(refs, live)
	return live, commands
}

// withholdLeases withholds leases from the VMs that are not live. The caller holds the mutex.
func (c *Control) withholdLeases(refs []fleet.VMRef, live map[fleet.VMRef]bool) {
	if c.withheld == nil {
		c.withheld = make(map[fleet.VMRef]bool)
	}
	for _, ref := range refs {
		if !live[ref] {
			c.withheld[ref] = true
		}
	}
}

// releaseWithheld lets the VMs get leases again, unless an operator's recreation of a
// shard is still under way.
func (c *Control) releaseWithheld() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recreating == 0 {
		c.withheld = nil
	}
}

// judgeShard plans the recreation of a lost shard and withholds leases from the dead VMs;
// the caller calls recreated when the outcome is known.
func (c *Control) judgeShard(shard int) (fleet.Command, bool) {
	refs := c.knownRefs()
	c.mu.Lock()
	defer c.mu.Unlock()
	live := c.tracker.Live(c.now(), refs)
	command, ok := fleet.RecreateLostShard(c.state, live, shard)
	if ok {
		c.withholdLeases(refs, live)
		c.recreating++
	}
	return command, ok
}

// recreated ends what judgeShard began; the next planning round lets the VMs get leases again.
func (c *Control) recreated() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recreating--
}

// knownRefs lists the registered VMs and the members of assignments, which may
// be earlier incarnations whose lease is still valid.
func (c *Control) knownRefs() []fleet.VMRef {
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

// carryOut proposes the planned changes. It returns false if the outcome of
// any of them is unknown.
func (c *Control) carryOut(ctx context.Context, commands []fleet.Command) bool {
	var unknown atomic.Bool
	var group errgroup.Group
	group.SetLimit(parallelProposals)
	for _, command := range commands {
		group.Go(func() error {
			result, err := c.propose(ctx, command)
			c.logPlanned(command, result, err)
			if err != nil {
				unknown.Store(true)
			}
			return nil
		})
	}
	// The functions return no errors.
	_ = group.Wait()
	return !unknown.Load()
}

// logPlanned writes one line for each planned change.
func (c *Control) logPlanned(command fleet.Command, result fleet.Result, err error) {
	fields := logrus.Fields{"event": "planned", "revision": result.Revision}
	a := command.Assign
	if a == nil {
		a = command.RecreateShard
	}
	if a != nil {
		fields["event"] = "shard_assigned"
		fields["shard"], fields["epoch"], fields["version"] = a.Shard, a.Epoch, a.Version
		fields["owner"], fields["in_sync"], fields["replicas"] = a.Owner.ID, ids(a.InSync), ids(a.Replicas)
	}
	if r := command.RemoveVM; r != nil {
		fields["event"] = "vm_removed"
		fields["vm_id"], fields["incarnation"] = r.ID, r.Incarnation
	}
	log := c.o.Log.WithFields(fields)
	switch {
	case err != nil:
		log.WithError(err).Warn("planned change has an unknown outcome")
	case result.Error != nil:
		// Another change came first; the next round plans anew.
		log.WithError(result.Error).Info("planned change refused")
	case command.RecreateShard != nil:
		log.Error("lost shard replaced by an empty one: its programs are gone")
	default:
		log.Info("planned change applied")
	}
}

// reportLost logs the shards that nobody can serve, whenever they change.
func (c *Control) reportLost(live map[fleet.VMRef]bool) {
	lost := fleet.LostShards(c.state, live)
	c.mu.Lock()
	changed := !slices.Equal(lost, c.lost)
	c.lost = lost
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
