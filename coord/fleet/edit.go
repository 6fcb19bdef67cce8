package fleet

import (
	"crypto/sha256"
	"maps"
	"slices"
)

// edit describes the effect of a command on one object.
type edit struct {
	// path is the path of the command's field in its JSON form, for errors.
	path string
	// revision returns the object's current revision, or 0 if the object does not exist.
	revision func(v *view) uint64
	// check returns an error if the command is not allowed.
	check func(v *view) *Error
	// apply changes a copy of the view. The copy shares its collections with the
	// published view, so apply replaces them instead of modifying them.
	apply func(v *view, revision uint64)
}

// edit returns the effect of the command. It fails unless exactly one change is set.
func (c Command) edit() (edit, *Error) {
	var found []edit
	add := func(set bool, build func() edit) {
		if set {
			found = append(found, build())
		}
	}
	add(c.PutOrganisation != nil, func() edit { return putOrganisation(*c.PutOrganisation) })
	add(c.RemoveOrganisation != nil, func() edit { return removeOrganisation(*c.RemoveOrganisation) })
	add(c.PutProfile != nil, func() edit { return putProfile(*c.PutProfile) })
	add(c.RemoveProfile != nil, func() edit { return removeProfile(*c.RemoveProfile) })
	add(c.PutService != nil, func() edit { return putService(*c.PutService) })
	add(c.RemoveService != nil, func() edit { return removeService(*c.RemoveService) })
	add(c.IssueKey != nil, func() edit { return issueKey(*c.IssueKey) })
	add(c.WithdrawKey != nil, func() edit { return withdrawKey(*c.WithdrawKey) })
	add(c.RegisterVM != nil, func() edit { return registerVM(*c.RegisterVM) })
	add(c.RemoveVM != nil, func() edit { return removeVM(*c.RemoveVM) })
	add(c.DrainVM != nil, func() edit { return drainVM(*c.DrainVM) })
	add(c.DrainTarget != nil, func() edit { return drainTarget(*c.DrainTarget) })
	add(c.Assign != nil, func() edit { return assign("assign", *c.Assign, false) })
	add(c.Configure != nil, func() edit { return configure(*c.Configure) })
	add(c.RecreateShard != nil, func() edit { return assign("recreate_shard", *c.RecreateShard, true) })
	if len(found) != 1 {
		return edit{}, newError(CodeInvalid, "command", "%d changes in one command, want exactly one", len(found))
	}
	return found[0], nil
}

func putOrganisation(o Organisation) edit {
	return edit{
		path:     "put_organisation",
		revision: func(v *view) uint64 { return revisionOf(v.organisations[o.ID]) },
		check:    func(v *view) *Error { return checkOrganisation(v, o) },
		apply: func(v *view, revision uint64) {
			o.Revision = revision
			v.organisations = with(v.organisations, o.ID, &o)
		},
	}
}

func removeOrganisation(r ObjectRef) edit {
	return edit{
		path:     "remove_organisation",
		revision: func(v *view) uint64 { return revisionOf(v.organisations[r.ID]) },
		check:    func(v *view) *Error { return checkRemoveOrganisation(v, r.ID) },
		apply:    func(v *view, _ uint64) { v.organisations = without(v.organisations, r.ID) },
	}
}

func putProfile(p Profile) edit {
	return edit{
		path:     "put_profile",
		revision: func(v *view) uint64 { return revisionOf(v.profiles[p.Name]) },
		check:    func(v *view) *Error { return checkProfile(v, p) },
		apply: func(v *view, revision uint64) {
			p.Revision = revision
			v.profiles = with(v.profiles, p.Name, &p)
		},
	}
}

func removeProfile(r ObjectRef) edit {
	return edit{
		path:     "remove_profile",
		revision: func(v *view) uint64 { return revisionOf(v.profiles[r.ID]) },
		check:    func(v *view) *Error { return checkRemoveProfile(v, r.ID) },
		apply:    func(v *view, _ uint64) { v.profiles = without(v.profiles, r.ID) },
	}
}

func putService(s Service) edit {
	return edit{
		path:     "put_service",
		revision: func(v *view) uint64 { return revisionOf(v.services[s.Name]) },
		check:    func(v *view) *Error { return checkService(v, s) },
		apply: func(v *view, revision uint64) {
			s.Revision = revision
			v.services = with(v.services, s.Name, &s)
		},
	}
}

func removeService(r ObjectRef) edit {
	return edit{
		path:     "remove_service",
		revision: func(v *view) uint64 { return revisionOf(v.services[r.ID]) },
		check:    func(v *view) *Error { return checkRemoveService(v, r.ID) },
		apply:    func(v *view, _ uint64) { v.services = without(v.services, r.ID) },
	}
}

func issueKey(k Key) edit {
	return edit{
		path:     "issue_key",
		revision: func(v *view) uint64 { return revisionOf(v.keys[k.ID]) },
		check:    func(v *view) *Error { return checkIssueKey(v, k) },
		apply:    func(v *view, revision uint64) { putKey(v, k, revision) },
	}
}

func withdrawKey(r ObjectRef) edit {
	return edit{
		path:     "withdraw_key",
		revision: func(v *view) uint64 { return revisionOf(v.keys[r.ID]) },
		check:    func(v *view) *Error { return checkExists("withdraw_key.id", "key", r.ID, v.keys) },
		apply: func(v *view, revision uint64) {
			if k := v.keys[r.ID]; k != nil {
				withdrawn := *k
				withdrawn.Withdrawn = true
				putKey(v, withdrawn, revision)
			}
		},
	}
}

// putKey stores a key by its id and by its hash.
func putKey(v *view, k Key, revision uint64) {
	k.Revision = revision
	v.keys = with(v.keys, k.ID, &k)
	hash, err := decodeHash(k.Hash)
	if err != nil {
		return
	}
	byHash := maps.Clone(v.keysByHash)
	byHash[hash] = &k
	v.keysByHash = byHash
}

func registerVM(m VM) edit {
	return edit{
		path:     "register_vm",
		revision: func(v *view) uint64 { return revisionOf(v.vms[m.ID]) },
		check:    func(v *view) *Error { return checkVM(v, m) },
		apply: func(v *view, revision uint64) {
			if old := v.vms[m.ID]; old != nil && old.VMRef != m.VMRef {
				v.replaced = append(slices.Clone(v.replaced), old.VMRef)
				if len(v.replaced) > TailLength {
					v.replaced = v.replaced[1:]
				}
			}
			m.Revision = revision
			v.vms = with(v.vms, m.ID, &m)
		},
	}
}

func removeVM(r ObjectRef) edit {
	return edit{
		path:     "remove_vm",
		revision: func(v *view) uint64 { return revisionOf(v.vms[r.ID]) },
		check:    func(v *view) *Error { return checkRemoveVM(v, r) },
		apply:    func(v *view, _ uint64) { v.vms = without(v.vms, r.ID) },
	}
}

func drainVM(r ObjectRef) edit {
	return edit{
		path:     "drain_vm",
		revision: func(v *view) uint64 { return revisionOf(v.vms[r.ID]) },
		check:    func(v *view) *Error { return checkVMRef(v, "drain_vm", r) },
		apply: func(v *view, revision uint64) {
			if m := v.vms[r.ID]; m != nil {
				draining := *m
				draining.Draining, draining.Revision = true, revision
				v.vms = with(v.vms, r.ID, &draining)
			}
		},
	}
}

func drainTarget(t TargetDrain) edit {
	return edit{
		path:     "drain_target",
		revision: func(v *view) uint64 { return revisionOf(v.targetDrains[t.ID]) },
		check:    func(*view) *Error { return checkName("drain_target.id", t.ID) },
		apply: func(v *view, revision uint64) {
			t.Revision = revision
			if t.Draining {
				v.targetDrains = with(v.targetDrains, t.ID, &t)
			} else {
				v.targetDrains = without(v.targetDrains, t.ID)
			}
		},
	}
}

func assign(path string, a Assignment, recreate bool) edit {
	return edit{
		path: path,
		revision: func(v *view) uint64 {
			if a.Shard < 0 || a.Shard >= len(v.assignments) || v.assignments[a.Shard] == nil {
				return 0
			}
			return v.assignments[a.Shard].Version
		},
		check: func(v *view) *Error { return checkAssignment(v, path, a, recreate) },
		apply: func(v *view, _ uint64) {
			if a.Shard < 0 || a.Shard >= len(v.assignments) {
				return
			}
			v.assignments = slices.Clone(v.assignments)
			v.assignments[a.Shard] = &a
		},
	}
}

func configure(d Deployment) edit {
	return edit{
		path:     "configure",
		revision: func(v *view) uint64 { return v.deployment.Revision },
		check:    func(v *view) *Error { return checkDeployment(v, d) },
		apply: func(v *view, revision uint64) {
			d.Revision = revision
			v.deployment = d
			if len(v.assignments) != d.Shards {
				v.assignments = make([]*Assignment, d.Shards)
			}
		},
	}
}

// revisioned is the set of object types that hold the revision of their last change.
type revisioned interface {
	Organisation | Key | Profile | Service | VM | TargetDrain
}

// revisionOf returns the revision of an object, or 0 if p is nil.
func revisionOf[T revisioned](p *T) uint64 {
	if p == nil {
		return 0
	}
	switch o := any(p).(type) {
	case *Organisation:
		return o.Revision
	case *Key:
		return o.Revision
	case *Profile:
		return o.Revision
	case *Service:
		return o.Revision
	case *VM:
		return o.Revision
	case *TargetDrain:
		return o.Revision
	}
	return 0
}

// clone returns a deep copy, so that the state never shares memory with the caller.
func (c Command) clone() Command {
	c.ExpectedRevision = clonePointer(c.ExpectedRevision)
	c.PutOrganisation = clonePointer(c.PutOrganisation)
	c.RemoveOrganisation = clonePointer(c.RemoveOrganisation)
	c.RemoveProfile = clonePointer(c.RemoveProfile)
	c.RemoveService = clonePointer(c.RemoveService)
	c.IssueKey = clonePointer(c.IssueKey)
	c.WithdrawKey = clonePointer(c.WithdrawKey)
	c.RegisterVM = clonePointer(c.RegisterVM)
	c.RemoveVM = clonePointer(c.RemoveVM)
	c.DrainVM = clonePointer(c.DrainVM)
	c.DrainTarget = clonePointer(c.DrainTarget)
	c.Configure = clonePointer(c.Configure)
	if p := clonePointer(c.PutProfile); p != nil {
		p.Models = slices.Clone(p.Models)
		p.ModelAliases = maps.Clone(p.ModelAliases)
		p.Routes = slices.Clone(p.Routes)
		c.PutProfile = p
	}
	if s := clonePointer(c.PutService); s != nil {
		s.Profiles = maps.Clone(s.Profiles)
		s.OpenRoutes = slices.Clone(s.OpenRoutes)
		c.PutService = s
	}
	c.Assign = cloneAssignment(c.Assign)
	c.RecreateShard = cloneAssignment(c.RecreateShard)
	return c
}

func cloneAssignment(a *Assignment) *Assignment {
	c := clonePointer(a)
	if c != nil {
		c.InSync, c.Replicas = slices.Clone(c.InSync), slices.Clone(c.Replicas)
	}
	return c
}

func clonePointer[T any](p *T) *T {
	if p == nil {
		return nil
	}
	c := *p
	return &c
}

// secretHash is the decoded form of Key.Hash.
type secretHash = [sha256.Size]byte
