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
	// assignMethod is answered by control.
	assignMethod = "control.assign"
	// assignTimeout bounds one proposal to control; the core repeats it.
	assignTimeout = time.Second
	// assignWorkers is the number of proposals under way: after the loss of a VM
	// all its shards propose at once.
	assignWorkers = 4
	// releaseWorkers is the number of releases under way.
	releaseWorkers = 8
	// releaseRetryInterval is the time between two attempts to release memory.
	releaseRetryInterval = time.Second
	// releaseTimeout bounds one attempt.
	releaseTimeout = 2 * time.Second
)

// assignTask is a proposal to control.
type assignTask struct {
	r          *runner
	assignment fleet.Assignment
}

// ask queues a proposal; the core repeats one that is dropped.
func (h *Host) ask(r *runner, a fleet.Assignment) {
	select {
	case h.assigns <- assignTask{r, a}:
	default:
		h.metrics.dropped.Inc(1)
	}
}

func (h *Host) runAssigns(ctx context.Context) {
	workers := make(chan struct{}, assignWorkers)
	for {
		select {
		case t := <-h.assigns:
			workers <- struct{}{}
			go func() {
				defer func() { <-workers }()
				h.assign(ctx, t)
			}()
		case <-ctx.Done():
			return
		}
	}
}

func (h *Host) assign(ctx context.Context, t assignTask) {
	ctx, cancel := context.WithTimeout(ctx, assignTimeout)
	defer cancel()
	err := h.o.Control.Call(ctx, assignMethod, t.assignment, nil)
	log := h.o.Log.WithFields(map[string]any{
		"event": "shard_assign", "shard": t.assignment.Shard, "epoch": t.assignment.Epoch, "version": t.assignment.Version,
		"owner": t.assignment.Owner.ID, "in_sync": names(t.assignment.InSync),
	})
	if err != nil {
		log.WithError(err).Warn("control did not commit the assignment")
	} else {
		log.Info("control committed the assignment")
	}
	t.r.post(input{event: shard.ProposalAnswered{Assignment: t.assignment, Committed: err == nil}})
}

func names(refs []fleet.VMRef) string {
	ids := make([]string, 0, len(refs))
	for _, ref := range refs {
		ids = append(ids, ref.ID)
	}
	return strings.Join(ids, ",")
}

// releaseTask is a release of engine memory.
type releaseTask struct {
	r       *runner
	release program.Release
}

// runReleases carries out releases until ctx ends. Several workers share the
// queue, so that a target that does not answer delays only some of the others.
func (h *Host) runReleases(ctx context.Context) {
	var workers sync.WaitGroup
	for range releaseWorkers {
		workers.Go(func() { h.workReleases(ctx) })
	}
	h.repeatReleases(ctx)
	workers.Wait()
}

func (h *Host) workReleases(ctx context.Context) {
	for {
		select {
		case t := <-h.releases:
			if h.release(ctx, t) {
				continue
			}
			select {
			case h.retries <- t:
			case <-ctx.Done():
			}
		case <-ctx.Done():
			return
		}
	}
}

// repeatReleases puts failed releases back into the queue after a while. It
// never stops to receive, so that the workers cannot wait for it in turn.
func (h *Host) repeatReleases(ctx context.Context) {
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
		case t := <-h.retries:
			failed = append(failed, t)
		case <-ticker.C:
			due, failed = append(due, failed...), nil
		case <-ctx.Done():
			return
		}
	}
}

// release carries out one release. It returns false if it must be repeated here;
// a shard that moved on is repeated by its new owner.
func (h *Host) release(ctx context.Context, t releaseTask) bool {
	if t.r.owned.Load() == 0 {
		return true
	}
	log := h.o.Log.WithFields(map[string]any{
		"event": "program_release", "organisation": t.release.Program.Organisation, "program": t.release.Program.ID,
		"targets": strings.Join(t.release.Targets, ","),
	})
	switch {
	case h.o.Release != nil:
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		if err := h.o.Release(ctx, t.release.Program, t.release.Targets); err != nil {
			log.WithError(err).Debug("engine memory not released yet, will be repeated")
			return false
		}
	case h.o.OnRelease != nil:
		h.o.OnRelease(t.release.Program, t.release.Targets)
	}
	log.Info("engine memory released")
	h.metrics.released.Inc(1)
	t.r.post(input{event: shard.ReleaseDone{Release: t.release}})
	return true
}

// fallbackShardOf hashes the organisation and the root program. It serves tests
// of this package; a deployment sets Options.ShardOf to fleet.ShardOf, so that
// all parts agree.
func fallbackShardOf(shards int, organisation, id string) int {
	if shards <= 0 {
		return 0
	}
	root, _, _ := strings.Cut(id, "/")
	return int(xxhash.Sum64String(organisation+"\x00"+root) % uint64(shards))
}

// hostMetrics are the host's instruments.
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

// noted counts an event by name.
func (m *hostMetrics) noted(name string) {
	metrics.GetOrRegisterCounter("shards.events."+name, m.registry).Inc(1)
}

// began counts the result of a begun call.
func (m *hostMetrics) began(r program.BeginResult) {
	switch {
	case r.Ticket != nil:
		metrics.GetOrRegisterCounter("shards.calls.started", m.registry).Inc(1)
	case r.Replay != nil:
		metrics.GetOrRegisterCounter("shards.calls.replayed", m.registry).Inc(1)
	case r.Refusal != nil:
		metrics.GetOrRegisterCounter("shards.calls.refused."+r.Refusal.Code, m.registry).Inc(1)
	}
}
