package targets

import (
	"slices"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/target"
)

// roleEntry is the role of the VMs that watch targets.
const roleEntry = "entry"

// topology is a cache of values derived from the configuration. Targets.mu guards it.
type topology struct {
	revision uint64
	view     FleetView
	shards   int
	vms      map[string]fleet.VM
	entries  []string
	watchers map[string][]fleet.VM
}

// refresh rebuilds the topology and applies the drains to the registry if the
// configuration has changed. The caller holds the lock.
func (t *Targets) refresh() *topology {
	view := t.options.State()
	if view == nil {
		return &t.topology
	}
	if t.topology.view != nil && t.topology.revision == view.Revision() {
		t.topology.view = view
		return &t.topology
	}
	// The revision is read first, so that a concurrent change causes another rebuild.
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

// applyDrains makes the drained targets of the registry equal to the configured ones.
func (t *Targets) applyDrains(drains []fleet.TargetDrain) {
	draining := make(map[string]bool)
	for _, d := range drains {
		if d.Draining {
			draining[d.ID] = true
		}
	}
	for _, id := range t.registry.Drained() {
		if !draining[id] {
			t.registry.Undrain(id)
			t.log.WithFields(logrus.Fields{"event": "target_undrained", "target": id}).Info("target may get work again")
		}
		delete(draining, id)
	}
	for id := range draining {
		t.registry.Drain(id)
		t.log.WithFields(logrus.Fields{"event": "target_drained", "target": id}).Info("target is draining and gets no new work")
	}
}

// watchersOf returns the entries that watch a target, highest rank first.
func (topo *topology) watchersOf(id string) []fleet.VM {
	if cached, ok := topo.watchers[id]; ok {
		return cached
	}
	if len(topo.watchers) >= maxCachedWatchers {
		clear(topo.watchers)
	}
	var vms []fleet.VM
	for _, entry := range target.Watchers(id, topo.entries, target.MaxWatchers) {
		vms = append(vms, topo.vms[entry])
	}
	topo.watchers[id] = vms
	return vms
}

// maxCachedWatchers bounds the targets whose watchers are cached.
const maxCachedWatchers = 16_384

// shardOf returns the shard that the orders to a target belong to. It returns false
// until the deployment is configured.
func (t *Targets) shardOf(topo *topology, id string) (int, bool) {
	if topo.view == nil || topo.shards <= 0 {
		return 0, false
	}
	return t.options.ShardOf(topo.shards, "", id), true
}

// ownerOf returns the VM that owns the target's shard and therefore sends its orders.
func (t *Targets) ownerOf(topo *topology, id string) (fleet.VM, bool) {
	shard, ok := t.shardOf(topo, id)
	if !ok {
		return fleet.VM{}, false
	}
	a, ok := topo.view.Assignment(shard)
	if !ok {
		return fleet.VM{}, false
	}
	vm, ok := topo.vms[a.Owner.ID]
	return vm, ok && vm.VMRef == a.Owner
}

// recipientsOf returns the VMs that receive a target's announcements: its watchers
// and the owner of its shard.
func (t *Targets) recipientsOf(topo *topology, id string) []fleet.VM {
	vms := topo.watchersOf(id)
	owner, ok := t.ownerOf(topo, id)
	if !ok || slices.ContainsFunc(vms, func(vm fleet.VM) bool { return vm.ID == owner.ID }) {
		return vms
	}
	return append(slices.Clone(vms), owner)
}

// epochOf returns the epoch under which this VM may currently send orders to a target.
func (t *Targets) epochOf(topo *topology, id string) (uint64, bool) {
	shard, ok := t.shardOf(topo, id)
	if !ok {
		return 0, false
	}
	return t.options.OwnedEpoch(shard)
}
