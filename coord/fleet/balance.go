package fleet

import "slices"

// balance plans a few moves that even out owners, data centres and copies.
// Shards that the plan has changed already, or that are still copying, count as
// moves under way.
func (p *planner) balance() {
	if len(p.eligible) < 2 {
		return
	}
	budget := MaxMoves - p.movesUnderWay()
	for shard := 0; shard < len(p.v.assignments) && budget > 0; shard++ {
		if p.settled(shard) && p.promote(shard) {
			budget--
		}
	}
	p.countArriving()
	for _, step := range []func(int) bool{p.spread, p.moveOwner, p.moveCopy} {
		p.lowestOwned, p.lowestCopies = p.fewestOwned(), p.fewestCopies()
		for shard := 0; shard < len(p.v.assignments) && budget > 0; shard++ {
			if p.settled(shard) && step(shard) {
				budget--
				p.lowestOwned, p.lowestCopies = p.fewestOwned(), p.fewestCopies()
			}
		}
	}
}

// countArriving counts the copies that are under way in excess of the configured number.
func (p *planner) countArriving() {
	for shard := range p.v.assignments {
		a := p.planned(shard)
		if a == nil || len(a.Replicas) <= p.v.deployment.Replicas {
			continue
		}
		for _, r := range a.Replicas {
			if !slices.Contains(a.InSync, r) {
				p.arriving[r]++
			}
		}
	}
}

// movesUnderWay counts the shards that hold a copy more than configured.
func (p *planner) movesUnderWay() int {
	n := 0
	for shard := range p.v.assignments {
		if a := p.planned(shard); a != nil && len(a.Replicas) > p.v.deployment.Replicas {
			n++
		}
	}
	return n
}

// settled reports whether a shard has its wanted copies, all of them in sync
// and eligible, and is not changed by this plan.
func (p *planner) settled(shard int) bool {
	a := p.v.assignments[shard]
	return a != nil && p.next[shard] == nil &&
		len(a.InSync) == len(a.Replicas) &&
		p.countEligible(a.Replicas) == len(a.Replicas) &&
		len(a.Replicas) >= p.wanted()
}

// promote makes an in-sync replica the owner if that evens out the owners.
func (p *planner) promote(shard int) bool {
	old := p.v.assignments[shard]
	a := *cloneAssignment(old)
	p.relieveOwner(&a)
	p.change(old, a)
	return a.Owner != old.Owner
}

// relieveOwner moves the ownership to the eligible in-sync replica that owns
// the fewest shards, if it owns at least two fewer than the owner.
func (p *planner) relieveOwner(a *Assignment) {
	best := a.Owner
	for _, r := range a.InSync {
		if p.isEligible(r) && p.owned[r] < p.owned[best] {
			best = r
		}
	}
	if p.owned[a.Owner]-p.owned[best] >= 2 {
		a.Owner = best
	}
}

// spread adds a copy in a data centre that has none where copies share one.
func (p *planner) spread(shard int) bool {
	old := p.v.assignments[shard]
	have := p.distinctCentres(old.Replicas)
	if have >= min(len(old.Replicas), len(p.centres)) {
		return false
	}
	m := p.pick(func(m *VM) [3]int {
		return [3]int{p.inCentre(old.Replicas, m.DataCentre), p.copies[m.VMRef], p.owned[m.VMRef]}
	}, old.Replicas)
	return p.addCopy(old, m)
}

// moveOwner adds a copy on the VM that owns the fewest shards where the
// difference is at least two; repair moves the ownership once it is in sync.
func (p *planner) moveOwner(shard int) bool {
	old := p.v.assignments[shard]
	if p.owned[old.Owner]-p.lowestOwned < 2 {
		return false
	}
	m := p.pick(func(m *VM) [3]int { return [3]int{p.expected(m.VMRef), p.copies[m.VMRef]} }, old.Replicas)
	if m == nil || p.owned[old.Owner]-p.expected(m.VMRef) < 2 {
		return false
	}
	return p.addCopy(old, m)
}

// expected counts the shards that a VM owns or is copying in order to own them.
func (p *planner) expected(r VMRef) int { return p.owned[r] + p.arriving[r] }

// fewestOwned is the lowest number of shards that an eligible VM owns.
func (p *planner) fewestOwned() int {
	lowest := p.owned[p.eligible[0].VMRef]
	for _, m := range p.eligible {
		lowest = min(lowest, p.owned[m.VMRef])
	}
	return lowest
}

// fewestCopies is the lowest number of copies that an eligible VM holds, by data centre.
func (p *planner) fewestCopies() map[string]int {
	lowest := make(map[string]int, len(p.centres))
	for _, m := range p.eligible {
		n, known := lowest[m.DataCentre]
		if have := p.copies[m.VMRef]; !known || have < n {
			lowest[m.DataCentre] = have
		}
	}
	return lowest
}

// moveCopy adds a copy on the VM with the fewest copies if a copy in the same
// data centre is on a VM with at least two more.
func (p *planner) moveCopy(shard int) bool {
	old := p.v.assignments[shard]
	for _, r := range old.Replicas {
		if r == old.Owner {
			continue
		}
		from := p.byRef[r]
		if p.copies[r]-p.lowestCopies[from.DataCentre] < 2 {
			continue
		}
		m := p.pick(func(m *VM) [3]int {
			if m.DataCentre != from.DataCentre {
				return [3]int{1}
			}
			return [3]int{0, p.copies[m.VMRef]}
		}, old.Replicas)
		if m != nil && m.DataCentre == from.DataCentre && p.copies[r]-p.copies[m.VMRef] >= 2 {
			return p.addCopy(old, m)
		}
	}
	return false
}

// addCopy plans one more replica; the owner adds it to the in-sync set when it has caught up.
func (p *planner) addCopy(old *Assignment, m *VM) bool {
	if m == nil || len(old.Replicas) > p.v.deployment.Replicas {
		return false
	}
	a := *cloneAssignment(old)
	a.Replicas = append(a.Replicas, m.VMRef)
	p.arriving[m.VMRef]++
	p.change(old, a)
	return true
}
