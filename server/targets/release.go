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
	methodRelease = "targets.release"
	// maxReleaseBatch bounds the releases in one call to an owner.
	maxReleaseBatch = 1024
	// maxPendingReleases bounds the memory of unconfirmed releases.
	maxPendingReleases = 262_144
	// releaseLifetime is how long an unconfirmed release is repeated. A target
	// that has not been announced for ten minutes is forgotten before that.
	releaseLifetime = 15 * time.Minute
)

type releaseKey struct{ target, program string }

// pendingRelease is a release that its owner has not confirmed.
type pendingRelease struct {
	request string
	since   time.Duration
}

// releaseItem is one release in a call.
type releaseItem struct {
	Target  string `json:"target"`
	Program string `json:"program"`
	// Request identifies the release across its repetitions.
	Request string `json:"request"`
}

// releaseCall is the parameter of targets.release.
type releaseCall struct {
	Items []releaseItem `json:"items"`
}

// releaseResult says, item by item, which releases are complete.
type releaseResult struct {
	Final []bool `json:"final"`
}

// releaseInbox holds the releases that Release was called for until the next
// round. It has its own lock: the owner of a program's shard may call Release
// under the same lock that Options.Owns takes.
type releaseInbox struct {
	mu    sync.Mutex
	items []inboxItem
}

type inboxItem struct {
	program string
	ids     []string
	// renew makes the owners check again what they may already have confirmed.
	renew bool
}

func (b *releaseInbox) add(i inboxItem) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.items) >= maxPendingReleases {
		return false
	}
	b.items = append(b.items, i)
	return true
}

func (b *releaseInbox) take() []inboxItem {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = nil
	return items
}

// has reports whether a release of the program waits.
func (b *releaseInbox) has(program string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.items, func(i inboxItem) bool { return i.program == program })
}

func (b *releaseInbox) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.items)
}

// Release frees the engine memory of a program that no longer exists, on the
// given targets and on those whose cache events show the program. It returns at
// once; the release is repeated to the owners of the targets' orders until each
// has confirmed it or the target's run has ended. The caller may repeat it.
func (t *Targets) Release(ref program.Ref, ids []string) {
	key := CacheKey(ref)
	if !t.inbox.add(inboxItem{program: key, ids: slices.Clone(ids)}) {
		t.log.WithFields(logrus.Fields{"event": "release_not_queued", "program": key}).Error("too many releases are pending")
	}
}

// PendingReleases returns how many releases are not confirmed yet.
func (t *Targets) PendingReleases() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.releases) + t.inbox.size()
}

// admitReleases turns the inbox into pending releases. The caller holds the lock.
func (t *Targets) admitReleases() {
	for _, item := range t.inbox.take() {
		for _, id := range slices.Concat(item.ids, t.registry.Holders(item.program)) {
			t.admitRelease(releaseKey{id, item.program}, item.renew)
		}
	}
}

func (t *Targets) admitRelease(k releaseKey, renew bool) {
	r := t.releases[k]
	switch {
	case r != nil && renew:
		r.request = newID()
	case r != nil:
	case len(t.releases) >= maxPendingReleases:
		t.giveUp(k.program)
	default:
		t.releases[k] = &pendingRelease{request: newID(), since: t.now()}
		t.pendingOf[k.program]++
	}
}

// dropRelease removes a pending release. The caller holds the lock.
func (t *Targets) dropRelease(k releaseKey) {
	delete(t.releases, k)
	t.pendingOf[k.program]--
	if t.pendingOf[k.program] == 0 {
		delete(t.pendingOf, k.program)
	}
}

// repeatReleases sends all pending releases to their owners.
func (t *Targets) repeatReleases(ctx context.Context) {
	t.mu.Lock()
	t.forgetAsked(t.now())
	t.admitReleases()
	here, away := t.groupReleases()
	t.settle(here, t.releaseHere(here))
	t.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(effectWorkers)
	for owner, items := range away {
		g.Go(func() error { t.releaseAt(ctx, owner, items); return nil })
	}
	_ = g.Wait()
}

// groupReleases sorts the pending releases by the VM that must carry them out.
func (t *Targets) groupReleases() (here []releaseItem, away map[fleet.VM][]releaseItem) {
	p := t.refresh()
	now := t.now()
	away = make(map[fleet.VM][]releaseItem)
	for k, r := range t.releases {
		if now-r.since >= releaseLifetime {
			t.log.WithFields(logrus.Fields{"event": "release_abandoned", "target": k.target, "program": k.program}).Error("no owner confirmed the release")
			t.giveUp(k.program)
			t.dropRelease(k)
			continue
		}
		item := releaseItem{k.target, k.program, r.request}
		if _, ok := t.epochOf(p, k.target); ok {
			here = append(here, item)
			continue
		}
		owner, ok := t.ownerOf(p, k.target)
		if ok && owner.VMRef != t.options.Self && len(away[owner]) < maxReleaseBatch {
			away[owner] = append(away[owner], item)
		}
	}
	return here, away
}

// releaseAt repeats releases to another owner.
func (t *Targets) releaseAt(ctx context.Context, owner fleet.VM, items []releaseItem) {
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
	t.settle(items, result.Final)
}

// settle forgets the releases that are complete. The caller holds the lock.
func (t *Targets) settle(items []releaseItem, final []bool) {
	for i, item := range items[:min(len(items), len(final))] {
		k := releaseKey{item.Target, item.Program}
		if r := t.releases[k]; final[i] && r != nil && r.request == item.Request {
			t.dropRelease(k)
			t.log.WithFields(logrus.Fields{
				"event": "release_confirmed", "target": item.Target, "program": item.Program, "ms": (t.now() - r.since).Milliseconds(),
			}).Info("engine memory is free")
		}
	}
}

// handleRelease carries out releases on behalf of another entry.
func (t *Targets) handleRelease(_ context.Context, params json.RawMessage) (any, error) {
	var call releaseCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, rpc.Errorf("invalid_message", "%v", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return releaseResult{t.releaseHere(call.Items)}, nil
}

// releaseHere gives releases to the order manager and returns which are complete. Those
// of targets that this VM does not own stay incomplete. The caller holds the lock.
func (t *Targets) releaseHere(items []releaseItem) []bool {
	final := make([]bool, 0, len(items))
	for _, item := range items {
		t.own(item.Target)
		t.step(target.ReleaseMemory{Target: item.Target, Program: item.Program, RequestID: item.Request})
		final = append(final, t.book.ReleaseStatus(item.Target, item.Program).Final())
	}
	return final
}
