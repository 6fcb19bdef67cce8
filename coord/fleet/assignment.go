package fleet

import "slices"

// checkAssignment enforces the rules that prevent the loss of committed records:
// a new owner comes from the previous in-sync set, a VM joins the in-sync set
// only after it was a replica, and every change is based on the latest version.
func checkAssignment(v *view, path string, a Assignment, recreate bool) *Error {
	if a.Shard < 0 || a.Shard >= len(v.assignments) {
		return newError(CodeInvalid, path+".shard", "shard %d of %d", a.Shard, len(v.assignments))
	}
	if err := checkReplicaSets(v, path, a); err != nil {
		return err
	}
	old := v.assignments[a.Shard]
	if old == nil && recreate {
		return newError(CodeNotFound, path+".shard", "shard %d was never assigned", a.Shard)
	}
	if old == nil {
		old = &Assignment{Shard: a.Shard}
		recreate = true
	}
	if a.Version != old.Version+1 {
		return newError(CodeStaleVersion, path+".version", "version %d does not follow %d", a.Version, old.Version)
	}
	ownerChanged := recreate || a.Owner != old.Owner
	if want := old.Epoch + epochIncrement(ownerChanged); a.Epoch != want {
		return newError(CodeInvalid, path+".epoch", "epoch %d, want %d", a.Epoch, want)
	}
	for _, m := range a.Replicas {
		if slices.Contains(old.Replicas, m) {
			continue
		}
		// The VMs of existing replicas may have been removed or replaced since; those of new
		// replicas must be registered.
		if vm := v.vms[m.ID]; vm == nil || vm.VMRef != m || vm.Role != RoleEntry {
			return newError(CodeNotFound, path+".replicas", "VM %s/%s is not a registered entry", m.ID, m.Incarnation)
		}
	}
	if recreate {
		return checkInitialInSync(path, a)
	}
	return checkInSync(path, a, old)
}

// epochIncrement returns the amount by which the epoch grows in a change.
func epochIncrement(ownerChanged bool) uint64 {
	if ownerChanged {
		return 1
	}
	return 0
}

// checkInitialInSync requires that the in-sync set of an empty shard is its owner alone.
func checkInitialInSync(path string, a Assignment) *Error {
	if len(a.InSync) != 1 {
		return newError(CodeNotInSync, path+".in_sync", "a new shard starts with its owner only")
	}
	return nil
}

// checkInSync checks the in-sync set of a shard that may hold records.
func checkInSync(path string, a Assignment, old *Assignment) *Error {
	if !slices.Contains(old.InSync, a.Owner) {
		return newError(CodeNotInSync, path+".owner", "VM %s/%s is not in sync", a.Owner.ID, a.Owner.Incarnation)
	}
	for _, m := range a.InSync {
		if !slices.Contains(old.Replicas, m) {
			return newError(CodeNotInSync, path+".in_sync", "VM %s/%s was not a replica", m.ID, m.Incarnation)
		}
		// Only the owner knows that a replica has caught up, so it must remain the owner in that change.
		if !slices.Contains(old.InSync, m) && a.Owner != old.Owner {
			return newError(CodeNotInSync, path+".in_sync", "VM %s/%s joins while the owner changes", m.ID, m.Incarnation)
		}
	}
	return nil
}

// checkReplicaSets enforces that the owner is in InSync, that InSync is a subset of
// Replicas, and that neither list has duplicates.
func checkReplicaSets(v *view, path string, a Assignment) *Error {
	// One replica more than configured is allowed while a replica moves. A set that
	// dates from before the configured number was lowered may shrink step by step.
	limit := v.deployment.Replicas + 1
	if old := v.assignments[a.Shard]; old != nil {
		limit = max(limit, len(old.Replicas))
	}
	if n := len(a.Replicas); n > limit {
		return newError(CodeInvalid, path+".replicas", "%d replicas, at most %d", n, limit)
	}
	if hasDuplicates(a.Replicas) || hasDuplicates(a.InSync) {
		return newError(CodeInvalid, path+".replicas", "a VM is listed twice")
	}
	if !slices.Contains(a.InSync, a.Owner) {
		return newError(CodeInvalid, path+".owner", "the owner is not in the in-sync set")
	}
	for _, m := range a.InSync {
		if !slices.Contains(a.Replicas, m) {
			return newError(CodeInvalid, path+".in_sync", "VM %s/%s is not a replica", m.ID, m.Incarnation)
		}
	}
	return nil
}

func hasDuplicates(refs []VMRef) bool {
	for i, r := range refs {
		if slices.Contains(refs[:i], r) {
			return true
		}
	}
	return false
}
