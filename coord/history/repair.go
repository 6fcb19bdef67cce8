package history

import (
	"cmp"
	"slices"
)

// Copy asks for one more copy of a record.
type Copy struct {
	Turn Turn
	// From and To are the VMs between which the record is copied.
	From, To Store
}

// RepairPlan is the result of Repair.Plan.
type RepairPlan struct {
	// Copies are at most as many as requested. Turns whose copies have failed least often come
	// first, and among them those with the fewest copies.
	Copies []Copy
	// Missing is the number of turns that have too few copies.
	Missing int
	// Lost is the number of turns of which no present VM holds a copy.
	Lost int
}

// Repair plans the copies that are missing, and remembers which of them failed. Turns whose
// copies fail, because no VM that should hold them does, come last, so that they never delay
// others. It is not safe for concurrent use.
type Repair struct {
	// failures counts the failed copies of turns that still lack copies.
	failures map[Turn]int
}

// Failed records that a planned copy was not made.
func (r *Repair) Failed(t Turn) {
	if r.failures == nil {
		r.failures = make(map[Turn]int)
	}
	r.failures[t]++
}

// Plan returns the copies to make so that each turn has wanted copies on the present VMs that
// are not retiring. Turns whose retention has passed for certain are left out. The result has
// at most limit copies.
func (r *Repair) Plan(d *Directory, unixSeconds int64, present []Store, wanted, limit int) RepairPlan {
	byStorage := make(map[string]Store, len(present))
	lasting := 0
	for _, s := range present {
		s.Retiring = s.Retiring || d.Retired(s.Storage)
		byStorage[s.Storage] = s
		if !s.Retiring {
			lasting++
		}
	}
	incomplete := d.incompleteSets(byStorage, min(wanted, lasting))
	if len(incomplete) == 0 {
		r.failures = nil
		return RepairPlan{}
	}
	plan, candidates := r.candidates(d, unixSeconds, incomplete)
	slices.SortFunc(candidates, func(a, b repairCandidate) int {
		return cmp.Or(cmp.Compare(a.failures, b.failures), cmp.Compare(a.copies, b.copies), cmp.Compare(a.turn.ID, b.turn.ID), cmp.Compare(a.turn.Organisation, b.turn.Organisation))
	})
	for _, c := range candidates[:min(limit, len(candidates))] {
		if to, ok := destination(byStorage, c.turn, c.holders, d.Named(c.turn)); ok {
			// Another holder is asked after a failure.
			from := c.holders[(rendezvousHash(c.turn, to)+uint64(c.failures))%uint64(len(c.holders))]
			plan.Copies = append(plan.Copies, Copy{Turn: c.turn, From: from, To: to})
		}
	}
	return plan
}

// candidates returns the turns that lack copies and can be copied, and a plan that counts all
// that lack copies. It forgets the failures of all others.
func (r *Repair) candidates(d *Directory, unixSeconds int64, incomplete map[*holderSet]availableHolders) (RepairPlan, []repairCandidate) {
	var plan RepairPlan
	var candidates []repairCandidate
	failures := make(map[Turn]int)
	for t, e := range d.turns {
		available, found := incomplete[e.holderSet]
		if !found || !e.needsCopies(unixSeconds) {
			continue
		}
		plan.Missing++
		if len(available.holders) == 0 {
			plan.Lost++
			continue
		}
		n := r.failures[t]
		if n > 0 {
			failures[t] = n
		}
		candidates = append(candidates, repairCandidate{t, available, n})
	}
	r.failures = failures
	return plan, candidates
}

// availableHolders describes the present VMs of a list of holders.
type availableHolders struct {
	holders []Store
	// copies counts the holders that are not retiring.
	copies int
}

// repairCandidate is a turn with too few copies.
type repairCandidate struct {
	turn Turn
	availableHolders
	// failures is the number of copies of the turn that failed.
	failures int
}

// incompleteSets returns the lists of holders of which fewer than wanted have the record, are
// present and not retiring. Lists of which no holder is known to have it are left out: there is
// nothing to copy.
func (d *Directory) incompleteSets(present map[string]Store, wanted int) map[*holderSet]availableHolders {
	incomplete := make(map[*holderSet]availableHolders)
	for _, set := range d.sets {
		if set.stored == 0 {
			continue
		}
		var a availableHolders
		for _, storage := range set.having() {
			if s, ok := present[storage]; ok {
				a.holders = append(a.holders, s)
				if !s.Retiring {
					a.copies++
				}
			}
		}
		if a.copies < wanted {
			incomplete[set] = a
		}
	}
	return incomplete
}

// destination returns the VM that should get one more copy. It prefers one that was named as a
// holder, which may have the record already, and then a data centre that has none.
func destination(present map[string]Store, t Turn, holders []Store, named []string) (Store, bool) {
	var free []Store
	for storage, s := range present {
		if !slices.ContainsFunc(holders, func(h Store) bool { return h.Storage == storage }) {
			free = append(free, s)
		}
	}
	ordered := Candidates(free, t, Preference{Holders: named})
	if len(ordered) == 0 {
		return Store{}, false
	}
	if slices.Contains(named, ordered[0].Storage) {
		return ordered[0], true
	}
	for _, s := range ordered {
		if !slices.ContainsFunc(holders, func(h Store) bool { return h.DataCentre == s.DataCentre }) {
			return s, true
		}
	}
	return ordered[0], true
}
