package fleet

import "slices"

// balance plans a few moves that balance the owned shards and the replicas over
// the VMs and spread the replicas of each shard over data centres. Shards that
// have more replicas than configured, in the current assignment or in this plan,
// count as moves in progress.
func (p *planner) balance() {
	if len(p.eligible) < 2 {
		return
	}
	movesLeft := MaxConcurrentMoves - p.countMoves()
	for shard := 0; shard < len(p.v.assignments) && movesLeft > 0; shard++ {
		if p.isStable(shard) && p.promoteReplica(shard) {
			movesLeft--
		}
	}
	p.countPendingReplicas()
	for _, step := range []func(int) bool{p.spreadDataCentres, p.moveOwner, p.moveReplica} {
		p.minOwned, p.minReplicas = p.computeMinOwned(), p.computeMinReplicas()
		for shard := 0; shard < len(p.v.assignments) && movesLeft > 0; shard++ {
			if p.isStable(shard) && step(shard) {
				movesLeft--
				p.minOwned, p.minReplicas = p.computeMinOwned(), p.computeMinReplicas()
			}
		}
	}
}

// countPendingReplicas counts, for each VM, the replicas that it is copying for a move:
// those of shards that have more replicas than configured.
func (p *planner) countPendingReplicas() {
	for shard := range p.v.assignments {
		a := p.planned(shard)
		if a == nil || len(a.Replicas) <= p.v.deployment.Replicas {
			continue
		}
		for _, r := range a.Replicas {
			if !slices.Contains(a.InSync, r) {
				p.pendingReplicas[r]++
			}
		}
	}
}

// countMoves returns the number of shards that have more replicas than configured.
func (p *planner) countMoves() int {
	n := 0
	for shard := range p.v.assignments {
		if a := p.planned(shard); a != nil && len(a.Replicas) > p.v.deployment.Replicas {
			n++
		}
	}
	return n
}

// isStable reports whether a shard has its desired number of replicas, all of them
// in sync and eligible, and is not changed by this plan.
func (p *planner) isStable(shard int) bool {
	a := p.v.assignments[shard]
	return a != nil && p.next[shard] == nil &&
		len(a.InSync) == len(a.Replicas) &&
		p.countEligible(a.Replicas) == len(a.Replicas) &&
		len(a.Replicas) >= p.desiredReplicas()
}

// promoteReplica makes an in-sync replica the owner if that improves the balance of
// owned shards.
func (p *planner) promoteReplica(shard int) bool {
	old := p.v.assignments[shard]
	a := *cloneAssignment(old)
	p.rebalanceOwner(&a)
	p.planIfChanged(old, a)
	return a.Owner != old.Owner
}

// rebalanceOwner moves the ownership to the eligible in-sync replica that owns
// the fewest shards, if it owns at least two fewer than the owner.
func (p *planner) rebalanceOwner(a *Assignment) {
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

// spreadDataCentres adds a replica in a data centre without one if two replicas of the
// shard share a data centre.
func (p *planner) spreadDataCentres(shard int) bool {
	old := p.v.assignments[shard]
	have := p.countDataCentres(old.Replicas)
	if have >= min(len(old.Replicas), len(p.dataCentres)) {
		return false
	}
	m := p.lowestCostVM(func(m *VM) [3]int {
		return [3]int{p.countInDataCentre(old.Replicas, m.DataCentre), p.replicas[m.VMRef], p.owned[m.VMRef]}
	}, old.Replicas)
	return p.addReplica(old, m)
}

// moveOwner adds a replica on the VM that owns the fewest shards if the owner owns at
// least two more. repair moves the ownership once the replica is in sync.
func (p *planner) moveOwner(shard int) bool {
	old := p.v.assignments[shard]
	if p.owned[old.Owner]-p.minOwned < 2 {
		return false
	}
	m := p.lowestCostVM(func(m *VM) [3]int { return [3]int{p.expectedOwned(m.VMRef), p.replicas[m.VMRef]} }, old.Replicas)
	if m == nil || p.owned[old.Owner]-p.expectedOwned(m.VMRef) < 2 {
		return false
	}
	return p.addReplica(old, m)
}

// expectedOwned returns the number of shards that a VM owns or is copying for a move,
// after which it may own them.
func (p *planner) expectedOwned(r VMRef) int { return p.owned[r] + p.pendingReplicas[r] }

// computeMinOwned returns the lowest number of shards that an eligible VM owns.
func (p *planner) computeMinOwned() int {
	lowest := p.owned[p.eligible[0].VMRef]
	for _, m := range p.eligible {
		lowest = min(lowest, p.owned[m.VMRef])
	}
	return lowest
}

// computeMinReplicas returns the lowest number of replicas on an eligible VM, by data centre.
func (p *planner) computeMinReplicas() map[string]int {
	lowest := make(map[string]int, len(p.dataCentres))
	for _, m := range p.eligible {
		n, known := lowest[m.DataCentre]
		if have := p.replicas[m.VMRef]; !known || have < n {
			lowest[m.DataCentre] = have
		}
	}
	return lowest
}

// moveReplica adds a replica on the VM with the fewest replicas if a replica of the
// shard in the same data centre is on a VM that has at least two more. repair
// removes the surplus replica once the new one is in sync.
func (p *planner) moveReplica(shard int) bool {
	old := p.v.assignments[shard]
	for _, r := range old.Replicas {
		if r == old.Owner {
			continue
		}
		from := p.eligibleByRef[r]
		if p.replicas[r]-p.minReplicas[from.DataCentre] < 2 {
			continue
		}
		m := p.lowestCostVM(func(m *VM) [3]int {
			if m.DataCentre != from.DataCentre {
				return [3]int{1}
			}
			return [3]int{0, p.replicas[m.VMRef]}
		}, old.Replicas)
		if m != nil && m.DataCentre == from.DataCentre && p.replicas[r]-p.replicas[m.VMRef] >= 2 {
			return p.addReplica(old, m)
		}
	}
	return false
}

// addReplica plans one more replica; the owner adds it to the in-sync set when it has caught up.
func (p *planner) addReplica(old *Assignment, m *VM) bool {
	if m == nil || len(old.Replicas) > p.v.deployment.Replicas {
		return false
	}
	a := *cloneAssignment(old)
	a.Replicas = append(a.Replicas, m.VMRef)
	p.pendingReplicas[m.VMRef]++
	p.planIfChanged(old, a)
	return true
}
