package fleet

import "slices"

// checkAssignment enforces the rules that keep committed records: an owner is
// promoted only from the previous in-sync set, a VM joins the in-sync set only
// after it was a replica, and every change is based on the latest version.
func checkAssignment(v *view, place string, a Assignment, recreate bool) *Error {
	if a.Shard < 0 || a.Shard >= len(v.assignments) {
		return refuse(CodeInvalid, place+".shard", "shard %d of %d", a.Shard, len(v.assignments))
	}
	if err := checkMembers(v, place, a); err != nil {
		return err
	}
	old := v.assignments[a.Shard]
	if old == nil && recreate {
		return refuse(CodeNotFound, place+".shard", "shard %d was never assigned", a.Shard)
	}
	if old == nil {
		old = &Assignment{Shard: a.Shard}
		recreate = true
	}
	if a.Version != old.Version+1 {
		return refuse(CodeStaleVersion, place+".version", "version %d does not follow %d", a.Version, old.Version)
	}
	ownerChanged := recreate || a.Owner != old.Owner
	if want := old.Epoch + epochStep(ownerChanged); a.Epoch != want {
		return refuse(CodeInvalid, place+".epoch", "epoch %d, want %d", a.Epoch, want)
	}
	for _, m := range a.Replicas {
		if slices.Contains(old.Replicas, m) {
			continue
		}
		// Members of long standing may be gone meanwhile; new ones must exist.
		if vm := v.vms[m.ID]; vm == nil || vm.VMRef != m || vm.Role != RoleEntry {
			return refuse(CodeNotFound, place+".replicas", "VM %s/%s is not a registered entry", m.ID, m.Incarnation)
		}
	}
	if recreate {
		return checkFirstHolder(place, a)
	}
	return checkInSync(place, a, old)
}

func epochStep(ownerChanged bool) uint64 {
	if ownerChanged {
		return 1
	}
	return 0
}

// checkFirstHolder allows an empty shard only its owner as in-sync member.
func checkFirstHolder(place string, a Assignment) *Error {
	if len(a.InSync) != 1 {
		return refuse(CodeNotInSync, place+".in_sync", "a new shard starts with its owner only")
	}
	return nil
}

func checkInSync(place string, a Assignment, old *Assignment) *Error {
	if !slices.Contains(old.InSync, a.Owner) {
		return refuse(CodeNotInSync, place+".owner", "VM %s/%s is not in sync", a.Owner.ID, a.Owner.Incarnation)
	}
	for _, m := range a.InSync {
		if !slices.Contains(old.Replicas, m) {
			return refuse(CodeNotInSync, place+".in_sync", "VM %s/%s was not a replica", m.ID, m.Incarnation)
		}
		// Only the owner knows that a replica has caught up, and it stays the owner in that change.
		if !slices.Contains(old.InSync, m) && a.Owner != old.Owner {
			return refuse(CodeNotInSync, place+".in_sync", "VM %s/%s joins while the owner changes", m.ID, m.Incarnation)
		}
	}
	return nil
}

// checkMembers enforces owner in InSync, InSync within Replicas, and no repetition.
func checkMembers(v *view, place string, a Assignment) *Error {
	// One copy more than configured is allowed while a replica moves, and a set
	// from before the number was lowered may shrink step by step.
	most := v.deployment.Replicas + 1
	if old := v.assignments[a.Shard]; old != nil {
		most = max(most, len(old.Replicas))
	}
	if n := len(a.Replicas); n > most {
		return refuse(CodeInvalid, place+".replicas", "%d replicas, at most %d", n, most)
	}
	if repeated(a.Replicas) || repeated(a.InSync) {
		return refuse(CodeInvalid, place+".replicas", "a VM is listed twice")
	}
	if !slices.Contains(a.InSync, a.Owner) {
		return refuse(CodeInvalid, place+".owner", "the owner is not in the in-sync set")
	}
	for _, m := range a.InSync {
		if !slices.Contains(a.Replicas, m) {
			return refuse(CodeInvalid, place+".in_sync", "VM %s/%s is not a replica", m.ID, m.Incarnation)
		}
	}
	return nil
}

func repeated(refs []VMRef) bool {
	for i, r := range refs {
		if slices.Contains(refs[:i], r) {
			return true
		}
	}
	return false
}
