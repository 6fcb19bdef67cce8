package targets

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/coord/target"
	"hemlockvale.dev/server/rpc"
)

const (
	// methodRelease asks the owner of the targets' shards to release programs.
	methodRelease = "targets.release"
	// maxReleaseBatch bounds the releases in one RPC to an owner.
	maxReleaseBatch = 1024
	// maxPendingReleases bounds the unconfirmed releases, and thereby their memory.
	maxPendingReleases = 262_144
	// releaseLifetime is how long an unconfirmed release is retried. It is longer than
	// the ten minutes without an announcement after which the registry removes a target.
	releaseLifetime = 15 * time.Minute
)

// releaseKey identifies a release.
type releaseKey struct{ target, program string }

// pendingRelease is a release that the owner of the target's shard has not confirmed.
type pendingRelease struct {
	request string        // see releaseItem.Request
	since   time.Duration // clock of Targets.now
}

// releaseItem is one release in a releaseCall.
type releaseItem struct {
	Target  string `json:"target"`
	Program string `json:"program"`
	// Request is the same in all retries of the release.
	Request string `json:"request"`
}

// releaseCall is the parameter of targets.release.
type releaseCall struct {
	Items []releaseItem `json:"items"`
}

// releaseResult is the result of targets.release. Final[i] reports whether the
// release Items[i] is complete.
type releaseResult struct {
	Final []bool `json:"final"`
}

// requestedReleases holds the releases requested since the last call of
// sendPendingReleases. It has its own lock, because the owner of a program's shard
// may call Release while it holds the lock that Options.OwnedEpoch takes.
type requestedReleases struct {
	mu    sync.Mutex
	items []requestedRelease
}

// requestedRelease is a requested release of a program.
type requestedRelease struct {
	program string
	targets []string
	// recheck makes the owners check the release again even if they have confirmed it.
	recheck bool
}

// add adds a release. It returns false if maxPendingReleases are already waiting.
func (q *requestedReleases) add(i requestedRelease) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= maxPendingReleases {
		return false
	}
	q.items = append(q.items, i)
	return true
}

// take removes and returns all releases.
func (q *requestedReleases) take() []requestedRelease {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

// has reports whether a release of the program is waiting.
func (q *requestedReleases) has(program string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.items, func(i requestedRelease) bool { return i.program == program })
}

// size returns the number of releases.
func (q *requestedReleases) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// Release requests the release of the engine memory of a program that no longer
// exists, on the given targets and on those whose cache events show the program. It
// returns immediately. The release is retried at the owners of the targets' shards
// until each has confirmed it or the incarnation of the target has ended. Release is
// idempotent.
func (t *Targets) Release(ref program.Ref, targets []string) {
	key := CacheKey(ref)
	if !t.requested.add(requestedRelease{program: key, targets: slices.Clone(targets)}) {
		t.log.WithFields(logrus.Fields{"event": "release_not_queued", "program": key}).Error("too many releases are pending")
	}
}

// PendingReleases returns the number of releases that are not confirmed yet.
func (t *Targets) PendingReleases() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pendingReleases) + t.requested.size()
}

// addPendingReleases turns the requested releases into pending ones. The caller holds
// the lock.
func (t *Targets) addPendingReleases() {
	for _, item := range t.requested.take() {
		for _, id := range slices.Concat(item.targets, t.registry.Holders(item.program)) {
			t.addPendingRelease(releaseKey{id, item.program}, item.recheck)
		}
	}
}

// addPendingRelease adds a pending release on one target. The caller holds the lock.
func (t *Targets) addPendingRelease(k releaseKey, recheck bool) {
	r := t.pendingReleases[k]
	switch {
	case r != nil && recheck:
		r.request = newID()
	case r != nil:
	case len(t.pendingReleases) >= maxPendingReleases:
		t.markIncomplete(k.program)
	default:
		t.pendingReleases[k] = &pendingRelease{request: newID(), since: t.now()}
		t.pendingCount[k.program]++
	}
}

// removePendingRelease removes a pending release. The caller holds the lock.
func (t *Targets) removePendingRelease(k releaseKey) {
	delete(t.pendingReleases, k)
	t.pendingCount[k.program]--
	if t.pendingCount[k.program] == 0 {
		delete(t.pendingCount, k.program)
	}
}

// sendPendingReleases sends all pending releases to the owners of the targets' shards.
func (t *Targets) sendPendingReleases(ctx context.Context) {
	t.mu.Lock()
	t.expireEnsured(t.now())
	t.addPendingReleases()
	local, remote := t.groupPendingReleases()
	t.completeReleases(local, t.releaseLocal(local))
	t.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(effectWorkers)
	for owner, items := range remote {
		g.Go(func() error { t.releaseRemote(ctx, owner, items); return nil })
	}
	_ = g.Wait()
}

// groupPendingReleases groups the pending releases by the VM that must execute them
// and removes those that have exceeded releaseLifetime. The caller holds the lock.
func (t *Targets) groupPendingReleases() (local []releaseItem, remote map[fleet.VM][]releaseItem) {
	topo := t.refresh()
	now := t.now()
	remote = make(map[fleet.VM][]releaseItem)
	for k, r := range t.pendingReleases {
		if now-r.since >= releaseLifetime {
			t.log.WithFields(logrus.Fields{"event": "release_abandoned", "target": k.target, "program": k.program}).Error("no owner confirmed the release")
			t.markIncomplete(k.program)
			t.removePendingRelease(k)
			continue
		}
		item := releaseItem{k.target, k.program, r.request}
		if _, ok := t.epochOf(topo, k.target); ok {
			local = append(local, item)
			continue
		}
		owner, ok := t.ownerOf(topo, k.target)
		if ok && owner.VMRef != t.options.Self && len(remote[owner]) < maxReleaseBatch {
			remote[owner] = append(remote[owner], item)
		}
	}
	return local, remote
}

// releaseRemote sends releases to another VM.
func (t *Targets) releaseRemote(ctx context.Context, owner fleet.VM, items []releaseItem) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	var result releaseResult
	err := t.options.Pool.Call(ctx, owner.RPCAddress, methodRelease, releaseCall{items}, &result)
	if err != nil {
		t.log.WithFields(logrus.Fields{"event": "release_not_sent", "owner": owner.ID, "releases": len(items)}).Warn(err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completeReleases(items, result.Final)
}

// completeReleases removes the pending releases that are complete. The caller holds
// the lock.
func (t *Targets) completeReleases(items []releaseItem, final []bool) {
	for i, item := range items[:min(len(items), len(final))] {
		k := releaseKey{item.Target, item.Program}
		if r := t.pendingReleases[k]; final[i] && r != nil && r.request == item.Request {
			t.removePendingRelease(k)
			t.log.WithFields(logrus.Fields{
				"event": "release_confirmed", "target": item.Target, "program": item.Program, "ms": (t.now() - r.since).Milliseconds(),
			}).Info("engine memory released")
		}
	}
}

// handleRelease handles the RPC by which another entry requests releases.
func (t *Targets) handleRelease(_ context.Context, params json.RawMessage) (any, error) {
	var req releaseCall
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, rpc.Errorf("invalid_message", "%v", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return releaseResult{t.releaseLocal(req.Items)}, nil
}

// releaseLocal passes releases to the order manager and returns, for each item,
// whether it is complete. Releases on targets whose shards this VM does not own stay
// incomplete. The caller holds the lock.
func (t *Targets) releaseLocal(items []releaseItem) []bool {
	final := make([]bool, 0, len(items))
	for _, item := range items {
		t.updateOwnership(item.Target)
		t.step(target.ReleaseMemory{Target: item.Target, Program: item.Program, RequestID: item.Request})
		final = append(final, t.orders.ReleaseStatus(item.Target, item.Program).Final())
	}
	return final
}
