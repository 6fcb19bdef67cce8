package registry

import (
	"context"
	"encoding/json"
	"time"

	"hemlockvale.dev/server/rpc"
)

// handleWatch records the report of a VM, and responds when there is a newer revision
// or the watch timeout has passed.
func (g *Registry) handleWatch(ctx context.Context, params json.RawMessage) (any, error) {
	var r WatchRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, rpc.Errorf("bad_request", "watch: %v", err)
	}
	if r.VM != nil {
		g.recordReport(*r.VM)
	} else if !g.refreshReport(r.Node, r.Started) {
		return WatchResponse{Unknown: true}, nil
	}
	g.recordEvacuations(r.Node, r.Started, r.Evacuations)
	timeout := min(time.Duration(r.WaitMS)*time.Millisecond, g.watchTimeout())
	revision := g.awaitRevision(ctx, r.Known, timeout)
	response := WatchResponse{Revision: revision, Evacuations: g.options.Machine.evacuationRevision()}
	if r.Known == heartbeatOnly {
		return response, nil
	}
	members := g.members()
	response.Entries = members.entries
	if members.digest != r.Members {
		response.Members = &members.Members
	}
	return response, nil
}

// members returns the members, their digest and the number of entries. They are needed for each
// watch, so a computed list is reused for membersValidity.
func (g *Registry) members() cachedMembers {
	g.mu.Lock()
	cached := g.cachedMembers
	g.mu.Unlock()
	if time.Since(cached.computedAt) < membersValidity {
		return cached
	}
	members := Members{Control: g.controlAddresses()}
	members.StoreLeader, members.Stores = g.liveStores()
	members.HistoryStores = g.historyStores()
	cached = cachedMembers{members, members.digest(), g.entryCount(), time.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cachedMembers = cached
	return cached
}

// watchTimeout returns the current watch timeout.
func (g *Registry) watchTimeout() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return watchTimeoutFor(len(g.reports))
}

// watchTimeoutFor returns the watch timeout in a deployment with the given number of VMs.
func watchTimeoutFor(vms int) time.Duration {
	return min(max(time.Duration(vms)*watchTimeoutPerVM, minWatchTimeout), MaxWatchTimeout)
}

// awaitRevision waits until there is a later revision than known, or until the timeout, and
// returns the latest one.
func (g *Registry) awaitRevision(ctx context.Context, known uint64, timeout time.Duration) uint64 {
	revision, changed := g.options.Machine.revision()
	if revision > known {
		return revision
	}
	if known == heartbeatOnly {
		changed = nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
		sleep(ctx, g.changeDelay())
	case <-timer.C:
	case <-ctx.Done():
	}
	revision, _ = g.options.Machine.revision()
	return revision
}

// changeDelay returns how long further changes are collected.
func (g *Registry) changeDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return changeDelayFor(len(g.reports))
}

// changeDelayFor returns the time for which changes are collected in a deployment with the
// given number of VMs.
func changeDelayFor(vms int) time.Duration {
	return min(time.Duration(vms)*changeDelayPerVM, maxChangeDelay)
}

// refreshReport renews the report of a VM. It returns false if the report is unknown.
func (g *Registry) refreshReport(node string, started int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	report := g.reports[node]
	if report == nil || report.Started != started {
		return false
	}
	report.receivedAt = time.Now()
	return true
}

func (g *Registry) handleFetch(_ context.Context, params json.RawMessage) (any, error) {
	var r FetchRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, rpc.Errorf("bad_request", "fetch: %v", err)
	}
	return g.options.Machine.fetch(r)
}
