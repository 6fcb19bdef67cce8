package fleet

import (
	"cmp"
	"slices"
)

// MaxMoves bounds the moves for the sake of balance that are under way at a
// time. Each copies a whole shard, so a VM that joins must not trigger them all at once.
const MaxMoves = 4

// Plan returns the commands that bring the shard assignments closer to their
// goal, given the VMs that are live. It is a pure function; applied repeatedly
// it reaches a state in which it returns nothing.
//
// A dead owner is replaced by an in-sync replica, dead replicas are dropped and
// replaced, draining VMs hand over their shards after another VM is in sync,
// and owners and copies are balanced by a few moves at a time. A shard whose
// in-sync VMs are all dead is left alone, unless Deployment.RecreateLostShards
// is set: LostShards lists it. Dead VMs that hold no shard are removed.
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

// LostShards returns the shards that cannot be served because every VM that
// holds all of their records is dead.
func LostShards(s *State, live map[VMRef]bool) []int {
	var lost []int
	for _, a := range s.current.Load().assignments {
		if a != nil && !slices.ContainsFunc(a.InSync, func(r VMRef) bool { return live[r] }) {
			lost = append(lost, a.Shard)
		}
	}
	return lost
}

// Recreate returns the command that replaces a lost shard by an empty one. It
// returns false if the shard is not lost or no VM can take it.
func Recreate(s *State, live map[VMRef]bool, shard int) (Command, bool) {
	v := s.current.Load()
	if !slices.Contains(LostShards(s, live), shard) {
		return Command{}, false
	}
	a, ok := newPlanner(v, live).create(shard)
	return Command{RecreateShard: &a}, ok
}

// planner is the working state of one plan.
type planner struct {
	v        *view
	live     map[VMRef]bool
	eligible []*VM // live, registered, not draining entries by id
	byRef    map[VMRef]*VM
	centres  map[string]int // eligible VMs by data centre
	next     []*Assignment  // planned assignments; nil: unchanged
	owned    map[VMRef]int  // shards owned, after the plan
	copies   map[VMRef]int  // copies held, after the plan
	recreate map[int]bool

	// The remaining fields serve balance.
	arriving     map[VMRef]int  // copies under way in excess of the configured number
	lowestOwned  int            // fewest shards that an eligible VM owns
	lowestCopies map[string]int // fewest copies on an eligible VM, by data centre
}

func newPlanner(v *view, live map[VMRef]bool) *planner {
	p := &planner{
		v:        v,
		live:     live,
		byRef:    make(map[VMRef]*VM, len(v.vms)),
		centres:  make(map[string]int),
		next:     make([]*Assignment, len(v.assignments)),
		owned:    make(map[VMRef]int),
		copies:   make(map[VMRef]int),
		recreate: make(map[int]bool),
		arriving: make(map[VMRef]int),
	}
	for _, m := range v.vms {
		if m.Role == RoleEntry && !m.Draining && live[m.VMRef] {
			p.eligible = append(p.eligible, m)
			p.byRef[m.VMRef] = m
			p.centres[m.DataCentre]++
		}
	}
	slices.SortFunc(p.eligible, func(a, b *VM) int { return cmp.Compare(a.ID, b.ID) })
	for _, a := range v.assignments {
		p.count(a, 1)
	}
	return p
}

// count adds an assignment to the VMs' totals, or takes it out.
func (p *planner) count(a *Assignment, sign int) {
	if a == nil {
		return
	}
	p.owned[a.Owner] += sign
	for _, r := range a.Replicas {
		p.copies[r] += sign
	}
}

// set plans a changed assignment of a shard.
func (p *planner) set(a Assignment) {
	old := p.planned(a.Shard)
	p.count(old, -1)
	p.count(&a, 1)
	p.next[a.Shard] = &a
}

// planned returns the shard's assignment after the plan so far.
func (p *planner) planned(shard int) *Assignment {
	if p.next[shard] != nil {
		return p.next[shard]
	}
	return p.v.assignments[shard]
}

// commands turns the planned assignments into commands with the next version.
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

// removals returns the removal of dead entry VMs that hold no shard, neither
// before nor after the plan.
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
	for _, m := range sorted(p.v.vms) {
		if m.Role == RoleEntry && !p.live[m.VMRef] && !held[m.VMRef] {
			out = append(out, Command{RemoveVM: &Ref{ID: m.ID, Incarnation: m.Incarnation}})
		}
	}
	return out
}

// wanted is the number of copies that the eligible VMs allow.
func (p *planner) wanted() int { return min(p.v.deployment.Replicas, len(p.eligible)) }

func (p *planner) isEligible(r VMRef) bool { return p.byRef[r] != nil }

// create plans a shard without records.
func (p *planner) create(shard int) (Assignment, bool) {
	a := Assignment{Shard: shard, Epoch: 1, Version: 1}
	if old := p.v.assignments[shard]; old != nil {
		a.Epoch, a.Version = old.Epoch+1, old.Version+1
	}
	owner := p.pick(func(m *VM) [3]int { return [3]int{p.owned[m.VMRef], p.copies[m.VMRef]} }, nil)
	if owner == nil {
		return a, false
	}
	a.Owner = owner.VMRef
	a.InSync = []VMRef{owner.VMRef}
	a.Replicas = []VMRef{owner.VMRef}
	p.fill(&a)
	return a, true
}

// fill adds replicas up to the wanted number of eligible ones.
func (p *planner) fill(a *Assignment) {
	for p.countEligible(a.Replicas) < p.wanted() && len(a.Replicas) <= p.v.deployment.Replicas {
		m := p.pick(func(m *VM) [3]int {
			return [3]int{p.inCentre(a.Replicas, m.DataCentre), p.copies[m.VMRef], p.owned[m.VMRef]}
		}, a.Replicas)
		if m == nil {
			return
		}
		a.Replicas = append(a.Replicas, m.VMRef)
	}
}

// pick returns the eligible VM with the lowest cost that is not excluded; ties go to the lowest id.
func (p *planner) pick(cost func(*VM) [3]int, exclude []VMRef) *VM {
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

func (p *planner) countEligible(refs []VMRef) int {
	n := 0
	for _, r := range refs {
		if p.isEligible(r) {
			n++
		}
	}
	return n
}

// inCentre counts the eligible members in a data centre.
func (p *planner) inCentre(refs []VMRef, centre string) int {
	n := 0
	for _, r := range refs {
		if m := p.byRef[r]; m != nil && m.DataCentre == centre {
			n++
		}
	}
	return n
}

// distinctCentres counts the data centres of the eligible members.
func (p *planner) distinctCentres(refs []VMRef) int {
	n := 0
	for i, r := range refs {
		if m := p.byRef[r]; m != nil && p.inCentre(refs[:i], m.DataCentre) == 0 {
			n++
		}
	}
	return n
}

// repair plans what a shard needs after failures, drains and moves.
func (p *planner) repair(shard int) {
	old := p.v.assignments[shard]
	if old == nil {
		if a, ok := p.create(shard); ok {
			p.set(a)
		}
		return
	}
	a := *cloneAssignment(old)
	a.InSync = slices.DeleteFunc(a.InSync, func(r VMRef) bool { return !p.live[r] })
	if len(a.InSync) == 0 {
		p.replaceLost(shard)
		return
	}
	a.Replicas = slices.DeleteFunc(a.Replicas, func(r VMRef) bool { return !p.live[r] })
	p.chooseOwner(&a)
	p.fill(&a)
	if len(a.InSync) > p.v.deployment.Replicas {
		// The copy was made to relieve the owner; this must precede the removal of a copy.
		p.relieveOwner(&a)
	}
	p.dropSurplus(&a)
	p.change(old, a)
}

// replaceLost plans an empty shard where the deployment allows it.
func (p *planner) replaceLost(shard int) {
	if !p.v.deployment.RecreateLostShards {
		return
	}
	if a, ok := p.create(shard); ok {
		p.recreate[shard] = true
		p.set(a)
	}
}

// change plans an assignment if it differs from the current one, with its epoch and version.
func (p *planner) change(old *Assignment, a Assignment) {
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
	p.set(a)
}

// chooseOwner keeps the owner while it is eligible. Otherwise it promotes the
// in-sync replica that owns the fewest shards, an eligible one where possible;
// a live but draining owner is kept until an eligible one is in sync.
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

// dropSurplus removes copies that are no longer needed: those of VMs that are
// not eligible once enough eligible ones are in sync, and one too many after a move.
func (p *planner) dropSurplus(a *Assignment) {
	if p.countEligible(a.InSync) >= p.wanted() {
		unneeded := func(r VMRef) bool { return r != a.Owner && !p.isEligible(r) }
		a.InSync = slices.DeleteFunc(a.InSync, unneeded)
		a.Replicas = slices.DeleteFunc(a.Replicas, unneeded)
	}
	for len(a.Replicas) > p.v.deployment.Replicas && p.dropOne(a) {
	}
}

// dropOne removes the least valuable copy that is not needed to keep the
// configured number of in-sync copies.
func (p *planner) dropOne(a *Assignment) bool {
	if len(a.InSync) <= p.v.deployment.Replicas {
		return false
	}
	worst := -1
	var highest [3]int
	for i, r := range a.Replicas {
		if r == a.Owner {
			continue
		}
		if c := p.dropValue(a, r); worst < 0 || slices.Compare(c[:], highest[:]) > 0 {
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

// dropValue ranks copies for removal: ineligible VMs first, then the ones that
// share a data centre, then the VM with the most copies.
func (p *planner) dropValue(a *Assignment, r VMRef) [3]int {
	m := p.byRef[r]
	if m == nil {
		return [3]int{1, 0, 0}
	}
	return [3]int{0, p.inCentre(a.Replicas, m.DataCentre), p.copies[r]}
}
