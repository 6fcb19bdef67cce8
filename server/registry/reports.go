package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/history"
)

// maxEnded bounds the earlier incarnations of a VM that are remembered.
const maxEnded = 8

// recordReport stores the report of a VM. A report of an earlier incarnation is
// ignored. An incarnation that has reported that it is draining stays draining.
func (g *Registry) recordReport(vm VM) {
	g.mu.Lock()
	defer g.mu.Unlock()
	previous := g.reports[vm.Node]
	if previous != nil && g.isEarlier(vm.Started, previous) {
		return
	}
	if previous == nil || previous.Started != vm.Started || previous.Draining != vm.Draining || previous.Isolated != vm.Isolated || previous.RPCAddress != vm.RPCAddress {
		g.options.Log.WithFields(logrus.Fields{"event": "vm_seen", "node": vm.Node, "vm_role": vm.Role, "address": vm.RPCAddress, "draining": vm.Draining, "isolated": vm.Isolated, "started": vm.Started}).Info("VM reported")
	}
	if previous != nil && previous.Started == vm.Started && previous.Draining {
		vm.Draining = true
	}
	if vm.Role == "store" && g.firstStoreReport.IsZero() {
		g.firstStoreReport = time.Now()
	}
	report := &vmReport{VM: vm, receivedAt: time.Now()}
	if previous != nil {
		report.ended = previous.ended
		if previous.Started != vm.Started {
			report.ended = append(slices.Clone(previous.ended), previous.Started)
			report.ended = report.ended[max(0, len(report.ended)-maxEnded):]
		}
	}
	g.reports[vm.Node] = report
}

// isEarlier reports whether an incarnation is earlier than the one that reported last. The start
// times are times of day, and the clock may have been set back between the two, so that the order
// of the starts and that of the first reports are evidence only while the latest incarnation
// reports. If it is silent, the one that reports is the one that runs. The caller holds g.mu.
func (g *Registry) isEarlier(started int64, latest *vmReport) bool {
	if time.Since(latest.receivedAt) >= g.reportTimeout() {
		return false
	}
	return started < latest.Started || slices.Contains(latest.ended, started)
}

// reportTimeout returns the time without a report after which a VM is no longer listed. The
// caller holds g.mu.
func (g *Registry) reportTimeout() time.Duration {
	return missedWatches*watchTimeoutFor(len(g.reports)) + reportMargin
}

// liveVMs returns the VMs with a role that reported recently, ordered by id.
func (g *Registry) liveVMs(role string) []VM {
	g.mu.Lock()
	defer g.mu.Unlock()
	timeout := g.reportTimeout()
	var vms []VM
	for _, node := range slices.Sorted(maps.Keys(g.reports)) {
		report := g.reports[node]
		if report.Role == role && time.Since(report.receivedAt) < timeout {
			vms = append(vms, report.VM)
		}
	}
	return vms
}

// liveStores returns the address that most store VMs report as the ledger's leader, and
// the addresses of the store VMs. It only considers VMs that reported recently.
func (g *Registry) liveStores() (leader string, addresses []string) {
	reportedLeaders := make(map[string]int)
	for _, vm := range g.liveVMs("store") {
		addresses = append(addresses, vm.RPCAddress)
		if vm.StoreLeader != "" {
			reportedLeaders[vm.StoreLeader]++
		}
	}
	for _, address := range slices.Sorted(maps.Keys(reportedLeaders)) {
		if leader == "" || reportedLeaders[address] > reportedLeaders[leader] {
			leader = address
		}
	}
	return leader, addresses
}

// historyStores returns the store VMs that serve histories and reported recently.
func (g *Registry) historyStores() []history.Store {
	var stores []history.Store
	vms := g.liveVMs("store")
	g.options.Machine.read(func(s *catalog.State) {
		for _, vm := range vms {
			if vm.Storage != "" {
				stores = append(stores, history.Store{Storage: vm.Storage, Address: vm.HistoryAddress, RPCAddress: vm.RPCAddress, DataCentre: vm.DataCentre, Retiring: s.Retiring(vm.store())})
			}
		}
	})
	return stores
}

// controlAddresses returns the addresses of the quorum's members and of the seeds.
func (g *Registry) controlAddresses() []string {
	members := g.options.Quorum.Addresses()
	for _, seed := range g.options.Seeds() {
		if !slices.Contains(members, seed) {
			members = append(members, seed)
		}
	}
	return members
}
