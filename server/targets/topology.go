package targets

import (
	"slices"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/target"
)

// roleEntry is the role of the VMs that watch targets.
const roleEntry = "entry"

// topology caches what follows from the configuration. The adapter's mutex guards it.
type topology struct {
	revision uint64
	view     FleetView
	shards   int
	vms      map[string]fleet.VM
	entries  []string
	watchers map[string][]fleet.VM
}

// refresh rebuilds the cache when the configuration has changed and applies
// the drains to the registry.
func (t *Targets) refresh() *topology {
	view := t.options.State()
	if view == nil {
		return &t.topology
	}
	if t.topology.view != nil && t.topology.revision == view.Revision() {
		t.topology.view = view
		return &t.topology
	}
	// The revision is read first: a change in between causes one more rebuild.
	t.topology = topology{revision: view.Revision(), view: view, shards: view.Shards(), vms: make(map[string]fleet.VM), watchers: make(map[string][]fleet.VM)}
	for _, vm := range view.VMs() {
		t.topology.vms[vm.ID] = vm
		if vm.Role == roleEntry {
			t.topology.entries = append(t.topology.entries, vm.ID)
		}
	}
	t.applyDrains(view.TargetDrains())
	return &t.topology
}

func (t *Targets) applyDrains(drains []fleet.TargetDrain) {
	wanted := make(map[string]bool)
	for _, d := range drains {
		if d.Draining {
			wanted[d.ID] = true
		}
	}
	for _, id := range t.registry.Drained() {
		if !wanted[id] {
			t.registry.Undrain(id)
			t.log.WithFields(logrus.Fields{"event": "target_undrained", "target": id}).Info("target may get work again")
		}
		delete(wanted, id)
	}
	for id := range wanted {
		t.registry.Drain(id)
		t.log.WithFields(logrus.Fields{"event": "target_drained", "target": id}).Info("target gets no new work")
	}
}

// watchersOf returns the entries that watch a target, by rank.
func (p *topology) watchersOf(id string) []fleet.VM {
	if cached, ok := p.watchers[id]; ok {
		return cached
	}
	if len(p.watchers) >= maxCachedWatchers {
		clear(p.watchers)
	}
	var vms []fleet.VM
	for _, entry := range target.Watchers(id, p.entries, target.MaxWatchers) {
		vms = append(vms, p.vms[entry])
	}
	p.watchers[id] = vms
	return vms
}

// maxCachedWatchers bounds the memory of the cache.
const maxCachedWatchers = 16_384

// shardOf returns the shard that orders to a target belong to.
func (t *Targets) shardOf(p *topology, id string) (int, bool) {
	if p.view == nil || p.shards <= 0 {
		return 0, false
	}
	return t.options.ShardOf(p.shards, "", id), true
}

// ownerOf returns the VM that gives orders to a target.
func (t *Targets) ownerOf(p *topology, id string) (fleet.VM, bool) {
	shard, ok := t.shardOf(p, id)
	if !ok {
		return fleet.VM{}, false
	}
	a, ok := p.view.Assignment(shard)
	if !ok {
		return fleet.VM{}, false
	}
	vm, ok := p.vms[a.Owner.ID]
	return vm, ok && vm.VMRef == a.Owner
}

// recipientsOf returns the VMs that need a target's announcements: its watchers
// and the owner of its orders.
func (t *Targets) recipientsOf(p *topology, id string) []fleet.VM {
	vms := p.watchersOf(id)
	owner, ok := t.ownerOf(p, id)
	if !ok || slices.ContainsFunc(vms, func(vm fleet.VM) bool { return vm.ID == owner.ID }) {
		return vms
	}
	return append(slices.Clone(vms), owner)
}

// epochOf returns the epoch under which this VM may give orders to a target now.
func (t *Targets) epochOf(p *topology, id string) (uint64, bool) {
	shard, ok := t.shardOf(p, id)
	if !ok {
		return 0, false
	}
	return t.options.Owns(shard)
}
