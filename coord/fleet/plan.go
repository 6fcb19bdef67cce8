package fleet

import (
	"cmp"
	"slices"
)

// MaxConcurrentMoves bounds the number of balancing moves in progress at a time. Each move
// copies a whole shard, so a VM that joins must not trigger all of its moves at once.
const MaxConcurrentMoves = 4

// Plan returns the commands that bring the shard assignments closer to their
// desired state, given the VMs that are live. It is a pure function. Repeatedly
// applying the commands and planning again eventually leads to a state for which it
// returns none.
//
// A dead owner is replaced by an in-sync replica, dead replicas are removed and
// replaced, draining VMs hand over their shards after another VM is in sync,
// and owners and replicas are balanced by a few moves at a time. A shard whose
// in-sync VMs are all dead is not changed unless Deployment.RecreateLostShards
// is set; LostShards lists it. Dead entry VMs that hold no shard are removed.
func Plan(s *State, live map[VMRef]bool) []Command {
	return planView(s.current.Load(), live)
}

func planView(v *view, live map[VMRef]bool) []Command {
	p := newPlanner(v, live)
	for shard := range v.assignments {
		p.repair(shard)
	}
	p.balance()
	return append(p.commands(), p.removals()...)
}

// LostShards returns the shards that cannot be served because all of their
// in-sync VMs, the ones that hold every committed record, are dead.
func LostShards(s *State, live map[VMRef]bool) []int {
	var lost []int
	for _, a := range s.current.Load().assignments {
		if a != nil && !slices.ContainsFunc(a.InSync, func(r VMRef) bool { return live[r] }) {
			lost = append(lost, a.Shard)
		}
	}
	return lost
}

// RecreateLostShard returns the command that replaces a lost shard by an empty one. It
// returns false if the shard is not lost or no VM is eligible to own it.
func RecreateLostShard(s *State, live map[VMRef]bool, shard int) (Command, bool) {
	v := s.current.Load()
	if !slices.Contains(LostShards(s, live), shard) {
		return Command{}, false
	}
	a, ok := newPlanner(v, live).planEmptyShard(shard)
	return Command{RecreateShard: &a}, ok
}

// planner holds the working state of one plan.
type planner struct {
	v             *view
	live          map[VMRef]bool
	eligible      []*VM // entry VMs that are registered, live and not draining, sorted by id
	eligibleByRef map[VMRef]*VM
	dataCentres   map[string]int // eligible VMs by data centre
	next          []*Assignment  // planned assignments by shard; nil: unchanged
	owned         map[VMRef]int  // number of shards that each VM owns after the plan
	replicas      map[VMRef]int  // number of replicas on each VM after the plan
	recreate      map[int]bool

	// Only balance uses the remaining fields.
	pendingReplicas map[VMRef]int  // replicas that each VM is copying for a move
	minOwned        int            // fewest shards that an eligible VM owns
	minReplicas     map[string]int // fewest replicas on an eligible VM, by data centre
}

func newPlanner(v *view, live map[VMRef]bool) *planner {
	p := &planner{
		v:               v,
		live:            live,
		eligibleByRef:   make(map[VMRef]*VM, len(v.vms)),
		dataCentres:     make(map[string]int),
		next:            make([]*Assignment, len(v.assignments)),
		owned:           make(map[VMRef]int),
		replicas:        make(map[VMRef]int),
		recreate:        make(map[int]bool),
		pendingReplicas: make(map[VMRef]int),
	}
	for _, m := range v.vms {
		if m.Role == RoleEntry && !m.Draining && live[m.VMRef] {
			p.eligible = append(p.eligible, m)
			p.eligibleByRef[m.VMRef] = m
			p.dataCentres[m.DataCentre]++
		}
	}
	slices.SortFunc(p.eligible, func(a, b *VM) int { return cmp.Compare(a.ID, b.ID) })
	for _, a := range v.assignments {
		p.addToTotals(a, 1)
	}
	return p
}

// addToTotals adds an assignment to the totals of its VMs, or subtracts it if sign is -1.
func (p *planner) addToTotals(a *Assignment, sign int) {
	if a == nil {
		return
	}
	p.owned[a.Owner] += sign
	for _, r := range a.Replicas {
		p.replicas[r] += sign
	}
}

// setPlanned replaces the planned assignment of a shard.
func (p *planner) setPlanned(a Assignment) {
	old := p.planned(a.Shard)
	p.addToTotals(old, -1)
	p.addToTotals(&a, 1)
	p.next[a.Shard] = &a
}

// planned returns the shard's assignment in the plan so far.
func (p *planner) planned(shard int) *Assignment {
	if p.next[shard] != nil {
		return p.next[shard]
	}
	return p.v.assignments[shard]
}

// commands returns the commands that carry out the planned assignments.
func (p *planner) commands() []Command {
	var out []Command
	for shard, a := range p.next {
		switch {
		case a == nil:
		case p.recreate[shard]:
			out = append(out, Command{RecreateShard: a})
		default:
			out = append(out, Command{Assign: a})
		}
	}
	return out
}

// removals returns commands that remove the dead entry VMs that hold no shard
// either before or after the plan.
func (p *planner) removals() []Command {
	held := make(map[VMRef]bool)
	for shard, a := range p.v.assignments {
		for _, list := range []*Assignment{a, p.next[shard]} {
			if list != nil {
				for _, r := range list.Replicas {
					held[r] = true
				}
			}
		}
	}
	var out []Command
	for _, m := range sortedByKey(p.v.vms) {
		if m.Role == RoleEntry && !p.live[m.VMRef] && !held[m.VMRef] {
			out = append(out, Command{RemoveVM: &ObjectRef{ID: m.ID, Incarnation: m.Incarnation}})
		}
	}
	return out
}

// desiredReplicas returns the configured number of replicas, or the number of eligible
// VMs if that is lower.
func (p *planner) desiredReplicas() int { return min(p.v.deployment.Replicas, len(p.eligible)) }

func (p *planner) isEligible(r VMRef) bool { return p.eligibleByRef[r] != nil }

// planEmptyShard returns an assignment for a shard without records. It returns false
// if no VM is eligible.
func (p *planner) planEmptyShard(shard int) (Assignment, bool) {
	a := Assignment{Shard: shard, Epoch: 1, Version: 1}
	if old := p.v.assignments[shard]; old != nil {
		a.Epoch, a.Version = old.Epoch+1, old.Version+1
	}
	owner := p.lowestCostVM(func(m *VM) [3]int { return [3]int{p.owned[m.VMRef], p.replicas[m.VMRef]} }, nil)
	if owner == nil {
		return a, false
	}
	a.Owner = owner.VMRef
	a.InSync = []VMRef{owner.VMRef}
	a.Replicas = []VMRef{owner.VMRef}
	p.addReplicas(&a)
	return a, true
}

// addReplicas adds replicas until the desired number is on eligible VMs.
func (p *planner) addReplicas(a *Assignment) {
	for p.countEligible(a.Replicas) < p.desiredReplicas() && len(a.Replicas) <= p.v.deployment.Replicas {
		m := p.lowestCostVM(func(m *VM) [3]int {
			return [3]int{p.countInDataCentre(a.Replicas, m.DataCentre), p.replicas[m.VMRef], p.owned[m.VMRef]}
		}, a.Replicas)
		if m == nil {
			return
		}
		a.Replicas = append(a.Replicas, m.VMRef)
	}
}

// lowestCostVM returns the eligible VM with the lowest cost that is not in exclude. Of
// several with equal cost it returns the one with the lowest id.
func (p *planner) lowestCostVM(cost func(*VM) [3]int, exclude []VMRef) *VM {
	var best *VM
	var lowest [3]int
	for _, m := range p.eligible {
		if slices.Contains(exclude, m.VMRef) {
			continue
		}
		c := cost(m)
		if best == nil || slices.Compare(c[:], lowest[:]) < 0 {
			best, lowest = m, c
		}
	}
	return best
}

// countEligible counts the eligible VMs of refs.
func (p *planner) countEligible(refs []VMRef) int {
	n := 0
	for _, r := range refs {
		if p.isEligible(r) {
			n++
		}
	}
	return n
}

// countInDataCentre counts the eligible VMs of refs in a data centre.
func (p *planner) countInDataCentre(refs []VMRef, dataCentre string) int {
	n := 0
	for _, r := range refs {
		if m := p.eligibleByRef[r]; m != nil && m.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// countDataCentres counts the distinct data centres of the eligible VMs of refs.
func (p *planner) countDataCentres(refs []VMRef) int {
	n := 0
	for i, r := range refs {
		if m := p.eligibleByRef[r]; m != nil && p.countInDataCentre(refs[:i], m.DataCentre) == 0 {
			n++
		}
	}
	return n
}

// repair plans the next change that a shard needs after failures, drains and moves.
func (p *planner) repair(shard int) {
	old := p.v.assignments[shard]
	if old == nil {
		if a, ok := p.planEmptyShard(shard); ok {
			p.setPlanned(a)
		}
		return
	}
	a := *cloneAssignment(old)
	a.InSync = slices.DeleteFunc(a.InSync, func(r VMRef) bool { return !p.live[r] })
	if len(a.InSync) == 0 {
		p.planLostShard(shard)
		return
	}
	a.Replicas = slices.DeleteFunc(a.Replicas, func(r VMRef) bool { return !p.live[r] })
	p.chooseOwner(&a)
	p.addReplicas(&a)
	if len(a.InSync) > p.v.deployment.Replicas {
		// The extra replica may be there to take over the ownership (see moveOwner), so
		// the owner must change before removeSurplus can remove that replica.
		p.rebalanceOwner(&a)
	}
	p.removeSurplus(&a)
	p.planIfChanged(old, a)
}

// planLostShard plans an empty replacement of a lost shard if the deployment allows it.
func (p *planner) planLostShard(shard int) {
	if !p.v.deployment.RecreateLostShards {
		return
	}
	if a, ok := p.planEmptyShard(shard); ok {
		p.recreate[shard] = true
		p.setPlanned(a)
	}
}

// planIfChanged plans an assignment, with its next epoch and version, if it differs
// from the current one.
func (p *planner) planIfChanged(old *Assignment, a Assignment) {
	if a.Owner == old.Owner && slices.Equal(a.InSync, old.InSync) && slices.Equal(a.Replicas, old.Replicas) {
		return
	}
	a.Version = old.Version + 1
	if a.Owner != old.Owner {
		a.Epoch = old.Epoch + 1
		a.Previous = VMRef{}
		if p.live[old.Owner] {
			a.Previous = old.Owner
		}
	}
	p.setPlanned(a)
}

// chooseOwner keeps the owner while it is eligible. Otherwise it promotes the
// eligible in-sync replica that owns the fewest shards. Without an eligible one
// it keeps an owner that is live but draining, and otherwise promotes the in-sync
// replica that owns the fewest shards.
func (p *planner) chooseOwner(a *Assignment) {
	if p.isEligible(a.Owner) {
		return
	}
	rank := func(r VMRef) [2]int {
		if p.isEligible(r) {
			return [2]int{0, p.owned[r]}
		}
		if r == a.Owner {
			return [2]int{1, 0}
		}
		return [2]int{2, p.owned[r]}
	}
	a.Owner = slices.MinFunc(a.InSync, func(x, y VMRef) int {
		rx, ry := rank(x), rank(y)
		return cmp.Or(slices.Compare(rx[:], ry[:]), cmp.Compare(x.ID, y.ID))
	})
}

// removeSurplus removes replicas that are no longer needed: those on ineligible VMs
// once enough eligible ones are in sync, and the surplus replica after a move.
func (p *planner) removeSurplus(a *Assignment) {
	if p.countEligible(a.InSync) >= p.desiredReplicas() {
		unneeded := func(r VMRef) bool { return r != a.Owner && !p.isEligible(r) }
		a.InSync = slices.DeleteFunc(a.InSync, unneeded)
		a.Replicas = slices.DeleteFunc(a.Replicas, unneeded)
	}
	for len(a.Replicas) > p.v.deployment.Replicas && p.removeOne(a) {
	}
}

// removeOne removes the replica with the highest removalRank if more replicas than
// configured are in sync. It never removes the owner.
func (p *planner) removeOne(a *Assignment) bool {
	if len(a.InSync) <= p.v.deployment.Replicas {
		return false
	}
	worst := -1
	var highest [3]int
	for i, r := range a.Replicas {
		if r == a.Owner {
			continue
		}
		if c := p.removalRank(a, r); worst < 0 || slices.Compare(c[:], highest[:]) > 0 {
			worst, highest = i, c
		}
	}
	if worst < 0 {
		return false
	}
	r := a.Replicas[worst]
	a.Replicas = slices.Delete(a.Replicas, worst, worst+1)
	a.InSync = slices.DeleteFunc(a.InSync, func(x VMRef) bool { return x == r })
	return true
}

// removalRank ranks replicas for removal, highest first: ineligible VMs, then those
// whose data centre has the most replicas of the shard, then the VM with the most
// replicas.
func (p *planner) removalRank(a *Assignment, r VMRef) [3]int {
	m := p.eligibleByRef[r]
	if m == nil {
		return [3]int{1, 0, 0}
	}
	return [3]int{0, p.countInDataCentre(a.Replicas, m.DataCentre), p.replicas[r]}
}
