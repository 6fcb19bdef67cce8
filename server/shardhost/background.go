package shardhost

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/coord/shard"
)

const (
	// methodAssign is the RPC method of control that commits an assignment.
	methodAssign = "control.assign"
	// proposalTimeout bounds one proposal to control; the replica repeats it.
	proposalTimeout = time.Second
	// proposalWorkers bounds the concurrent proposals. After the loss of a VM, all
	// shards that it had replicas of propose new assignments at once.
	proposalWorkers = 4
	// releaseWorkers is the number of concurrent releases.
	releaseWorkers = 8
	// releaseRetryInterval is the interval at which failed releases are retried.
	releaseRetryInterval = time.Second
	// releaseTimeout bounds one attempt to release engine memory.
	releaseTimeout = 2 * time.Second
)

// proposal is an assignment that the shard's owner asks control to commit.
type proposal struct {
	r          *runner
	assignment fleet.Assignment
}

// queueProposal queues a proposal, or drops it if the queue is full. The replica
// repeats a dropped proposal.
func (h *Host) queueProposal(r *runner, a fleet.Assignment) {
	select {
	case h.proposals <- proposal{r, a}:
	default:
		h.metrics.dropped.Inc(1)
	}
}

// runProposals sends queued proposals to control until ctx ends.
func (h *Host) runProposals(ctx context.Context) {
	workers := make(chan struct{}, proposalWorkers)
	for {
		select {
		case p := <-h.proposals:
			workers <- struct{}{}
			go func() {
				defer func() { <-workers }()
				h.propose(ctx, p)
			}()
		case <-ctx.Done():
			return
		}
	}
}

// propose sends one proposal to control and reports the result to the shard.
func (h *Host) propose(ctx context.Context, p proposal) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	err := h.options.Control.Call(ctx, methodAssign, p.assignment, nil)
	log := h.options.Log.WithFields(map[string]any{
		"event": "shard_assign", "shard": p.assignment.Shard, "epoch": p.assignment.Epoch, "version": p.assignment.Version,
		"owner": p.assignment.Owner.ID, "in_sync": joinIDs(p.assignment.InSync),
	})
	if err != nil {
		log.WithError(err).Warn("control did not commit the assignment")
	} else {
		log.Info("control committed the assignment")
	}
	p.r.post(input{event: shard.ProposalDone{Assignment: p.assignment, Committed: err == nil}})
}

// joinIDs returns the ids of the VMs, separated by commas.
func joinIDs(refs []fleet.VMRef) string {
	ids := make([]string, 0, len(refs))
	for _, ref := range refs {
		ids = append(ids, ref.ID)
	}
	return strings.Join(ids, ",")
}

// releaseTask is a release of engine memory that a shard has requested.
type releaseTask struct {
	r       *runner
	release program.Release
}

// runReleases executes releases until ctx ends. Several workers share the queue,
// so that an unresponsive target does not block the releases on other targets.
func (h *Host) runReleases(ctx context.Context) {
	var workers sync.WaitGroup
	for range releaseWorkers {
		workers.Go(func() { h.runReleaseWorker(ctx) })
	}
	h.retryReleases(ctx)
	workers.Wait()
}

// runReleaseWorker executes queued releases and passes failed ones to retryReleases.
func (h *Host) runReleaseWorker(ctx context.Context) {
	for {
		select {
		case t := <-h.releases:
			if h.release(ctx, t) {
				continue
			}
			select {
			case h.failedReleases <- t:
			case <-ctx.Done():
			}
		case <-ctx.Done():
			return
		}
	}
}

// retryReleases puts failed releases back into the queue every
// releaseRetryInterval. It receives failed releases even while the queue is full;
// otherwise it and the workers could block each other.
func (h *Host) retryReleases(ctx context.Context) {
	var failed, due []releaseTask
	ticker := time.NewTicker(releaseRetryInterval)
	defer ticker.Stop()
	for {
		var queue chan releaseTask
		var next releaseTask
		if len(due) > 0 {
			queue, next = h.releases, due[0]
		}
		select {
		case queue <- next:
			due = due[1:]
		case t := <-h.failedReleases:
			failed = append(failed, t)
		case <-ticker.C:
			due, failed = append(due, failed...), nil
		case <-ctx.Done():
			return
		}
	}
}

// release makes one attempt to release a program's engine memory. It returns false
// if this VM must retry; if the shard has moved, its new owner repeats the release.
func (h *Host) release(ctx context.Context, t releaseTask) bool {
	if t.r.ownedEpoch.Load() == 0 {
		return true
	}
	log := h.options.Log.WithFields(map[string]any{
		"event": "program_release", "organisation": t.release.Program.Organisation, "program": t.release.Program.ID,
		"targets": strings.Join(t.release.Targets, ","),
	})
	switch {
	case h.options.Release != nil:
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		if err := h.options.Release(ctx, t.release.Program, t.release.Targets); err != nil {
			log.WithError(err).Debug("engine memory not released yet; will retry")
			return false
		}
	case h.options.OnRelease != nil:
		h.options.OnRelease(t.release.Program, t.release.Targets)
	}
	log.Info("engine memory released")
	h.metrics.released.Inc(1)
	t.r.post(input{event: shard.ReleaseDone{Release: t.release}})
	return true
}

// fallbackShardOf hashes the organisation and the root program. It is for the tests
// of this package; a deployment sets Options.ShardOf to fleet.ShardOf, so that all
// components map a program to the same shard.
func fallbackShardOf(shards int, organisation, id string) int {
	if shards <= 0 {
		return 0
	}
	root, _, _ := strings.Cut(id, "/")
	return int(xxhash.Sum64String(organisation+"\x00"+root) % uint64(shards))
}

// hostMetrics holds the host's metrics.
type hostMetrics struct {
	registry metrics.Registry
	owned    metrics.Counter
	dropped  metrics.Counter
	released metrics.Counter
	begin    metrics.Timer
	finish   metrics.Timer
}

func newHostMetrics(r metrics.Registry) hostMetrics {
	return hostMetrics{
		registry: r,
		owned:    metrics.GetOrRegisterCounter("shards.owned", r),
		dropped:  metrics.GetOrRegisterCounter("shards.messages_dropped", r),
		released: metrics.GetOrRegisterCounter("shards.releases", r),
		begin:    metrics.GetOrRegisterTimer("shards.begin", r),
		finish:   metrics.GetOrRegisterTimer("shards.finish", r),
	}
}

// countEvent counts a shard's event by name.
func (m *hostMetrics) countEvent(name string) {
	metrics.GetOrRegisterCounter("shards.events."+name, m.registry).Inc(1)
}

// countBegin counts the result of a begin request.
func (m *hostMetrics) countBegin(r program.BeginResult) {
	switch {
	case r.Ticket != nil:
		metrics.GetOrRegisterCounter("shards.calls.started", m.registry).Inc(1)
	case r.Replay != nil:
		metrics.GetOrRegisterCounter("shards.calls.replayed", m.registry).Inc(1)
	case r.Refusal != nil:
		metrics.GetOrRegisterCounter("shards.calls.refused."+r.Refusal.Code, m.registry).Inc(1)
	}
}
