package node

import (
	"golang.org/x/sys/unix"

	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/inbound"
	"hemlockvale.dev/server/settings"
)

// connectionPercent has the connections that each address may have, as percentages of the
// descriptors of the process. The rest is left for connections to targets, of which an entry needs
// as many as it has requests, to other VMs and for files: 42 % on an entry, 12 % on a control VM and
// 22 % on a store VM. The addresses do not share their parts, so that callers can't make the
// readiness check fail, nor keep other VMs out.
var connectionPercent = map[string]int{
	"callers.address":           40,
	"callers.ready_address":     3,
	"control.address":           35,
	"control.directory_address": 30,
	"vm.history_address":        40,
	"vm.metrics_address":        3,
}

// rpcPercent is connectionPercent of the RPC address for each role. All entries are connected to the
// store VM that leads; an entry accepts the requests that others pass on.
var rpcPercent = map[string]int{settings.RoleEntry: 12, settings.RoleControl: 20, settings.RoleStore: 35}

// reservesBodies has the addresses whose handlers have no quota of their own for the bodies that
// they read.
var reservesBodies = map[string]bool{"control.address": true}

// newGuard returns the guard of a process.
func newGuard(p *process) *inbound.Guard {
	// The runtime has raised the limit as far as it is allowed to. An error leaves it at 0, for
	// which the guard assumes a low one.
	var descriptors unix.Rlimit
	_ = unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors)
	vm := p.Settings.VM
	if stated := uint64(vm.MaxDescriptors); stated > 0 && (stated < descriptors.Cur || descriptors.Cur == 0) {
		descriptors.Cur = stated
	}
	return inbound.New(inbound.Options{
		Descriptors: descriptors.Cur, MemoryLimit: vm.MemoryMB << 20, MemoryQuota: memoryQuota(vm),
		Limits: func() routing.Limits {
			if limits := p.limits.Load(); limits != nil {
				return (*limits)()
			}
			return routing.Limits{}
		},
		Log: p.Log, Metrics: p.metrics,
	})
}
