package shardhost

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/coord/shard"
	"hemlockvale.dev/server/rpc"
)

// ErrUnavailable reports that no owner answered until the context ended. The
// outcome of a change is unknown.
var ErrUnavailable = errors.New("shard unavailable")

const (
	// minRetry and maxRetry bound the time between two attempts; a new
	// configuration ends the wait early.
	minRetry = 10 * time.Millisecond
	maxRetry = 200 * time.Millisecond
	// abandonTimeout bounds the attempts to withdraw a request. The call's
	// timeout settles one that could not be withdrawn.
	abandonTimeout = 10 * time.Second
	// handoverPoll is the time between two looks at the shards that remain.
	handoverPoll = 20 * time.Millisecond
	// handoverAttempt bounds the time for which a shard waits for its next
	// owner without serving; control plans every 200 ms and is polled every 500 ms.
	handoverAttempt = 1500 * time.Millisecond
	// handoverPause is how long a shard that could not move serves before the next attempt.
	handoverPause = 500 * time.Millisecond
)

// Begin asks the owner of the program for the program's turn. It repeats the
// request until ctx ends: nothing runs without a ticket, and the request keeps
// its identity. If no owner answered, the result is a refusal with the code
// shard_unavailable, executed no.
func (h *Host) Begin(ctx context.Context, c program.BeginCall) (program.BeginResult, error) {
	started := time.Now()
	if c.Request == "" {
		c.Request = uuid.NewString()
	}
	if c.Runner == (fleet.VMRef{}) {
		c.Runner = h.o.Self
	}
	if c.Runner == h.o.Self {
		c.Revision = h.registeredRevision()
	}
	resp, err := h.do(ctx, c.Program, &request{Begin: &c})
	h.metrics.begin.UpdateSince(started)
	if err == nil && resp.Begin != nil {
		return *resp.Begin, nil
	}
	h.withdraw(c)
	if err == nil || errors.Is(err, ErrUnavailable) {
		return program.Refuse(program.CodeShardUnavailable, "no owner of the program's shard answered in time"), nil
	}
	return program.BeginResult{}, err
}

// registeredRevision returns a revision at which this VM is registered: an
// owner whose configuration is older must not conclude that the VM is gone.
func (h *Host) registeredRevision() uint64 {
	v := h.view.Load()
	if _, ok := v.address(h.o.Self); ok {
		return v.fleet.Revision
	}
	// The VM is not registered as far as it knows, so no view proves its absence
	// unless it is later than everything that this VM has seen.
	return v.fleet.Revision + 1
}

// withdraw tells the owner in the background that a request was given up.
func (h *Host) withdraw(c program.BeginCall) {
	started := h.abandons.TryGo(func() error {
		ctx, cancel := context.WithTimeout(h.ctx, abandonTimeout)
		defer cancel()
		if _, err := h.do(ctx, c.Program, &request{Abandon: &c}); err != nil {
			h.o.Log.WithError(err).WithFields(map[string]any{
				"event": "call_not_withdrawn", "organisation": c.Program.Organisation, "program": c.Program.ID,
			}).Warn("call stays reserved until its timeout")
		}
		return nil
	})
	if !started {
		h.metrics.dropped.Inc(1)
	}
}

// Finish settles a call at the current owner of its shard. It may be repeated.
func (h *Host) Finish(ctx context.Context, f program.FinishCall) error {
	defer h.metrics.finish.UpdateSince(time.Now())
	_, err := h.do(ctx, f.Ticket.Program, &request{Finish: &f})
	return err
}

// End ends a program with its sub-agents, or all programs of a lineage.
func (h *Host) End(ctx context.Context, ref program.Ref) error {
	_, err := h.do(ctx, ref, &request{End: &ref})
	return err
}

// History returns the program's history, or nothing for an unknown program.
func (h *Host) History(ctx context.Context, ref program.Ref) ([]byte, error) {
	resp, err := h.do(ctx, ref, &request{History: &ref})
	if err != nil {
		return nil, err
	}
	return resp.History, nil
}

// ReportCrash records that a target failed while it ran a request.
func (h *Host) ReportCrash(ctx context.Context, organisation string, fingerprint uint64, target string) error {
	return h.crash(ctx, program.Crash{Organisation: organisation, Fingerprint: fingerprint, Target: target})
}

// ClearQuarantine forgets the crashes that a request is suspected of.
func (h *Host) ClearQuarantine(ctx context.Context, organisation string, fingerprint uint64) error {
	return h.crash(ctx, program.Crash{Organisation: organisation, Fingerprint: fingerprint, Clear: true})
}

func (h *Host) crash(ctx context.Context, c program.Crash) error {
	_, err := h.do(ctx, program.Ref{Organisation: c.Organisation}, &request{Crash: &c})
	return err
}

// Quarantined says whether a request must be refused because it crashed two targets.
func (h *Host) Quarantined(ctx context.Context, organisation string, fingerprint uint64) (bool, error) {
	q := &request{Quarantine: &program.Crash{Organisation: organisation, Fingerprint: fingerprint}}
	resp, err := h.do(ctx, program.Ref{Organisation: organisation}, q)
	if err != nil {
		return false, err
	}
	return resp.Quarantined, nil
}

// do sends a request to the owner of the program's shard until one answers or ctx ends.
func (h *Host) do(ctx context.Context, ref program.Ref, q *request) (*response, error) {
	pause := minRetry
	for {
		view := h.view.Load()
		q.Shard = h.o.ShardOf(view.shards, ref.Organisation, ref.ID)
		resp, err := h.attempt(ctx, view, q)
		if !retryable(err) {
			return resp, err
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: shard %d: %w", ErrUnavailable, q.Shard, err)
		case <-view.changed:
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRetry)
	}
}

// retryable says whether another attempt can succeed.
func retryable(err error) bool {
	return errors.Is(err, shard.ErrNotOwner) || errors.Is(err, rpc.ErrUnreachable) || errors.Is(err, rpc.ErrConnectionLost) ||
		errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// attempt sends a request to the owner once. It gives up when the owner changes.
func (h *Host) attempt(ctx context.Context, view *hostView, q *request) (*response, error) {
	a, ok := view.assignments[q.Shard]
	if !ok {
		return nil, shard.ErrNotOwner
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if a.Owner == h.o.Self {
		return h.execute(ctx, q)
	}
	address, ok := view.address(a.Owner)
	if !ok {
		return nil, rpc.ErrUnreachable
	}
	go h.cancelOnMove(ctx, cancel, a)
	var resp response
	if err := h.send(ctx, address, q.method(), q, &resp); err != nil {
		return nil, decodeError(err)
	}
	return &resp, nil
}

// cancelOnMove ends an attempt when the shard has another owner.
func (h *Host) cancelOnMove(ctx context.Context, cancel context.CancelFunc, a fleet.Assignment) {
	for {
		view := h.view.Load()
		if view.assignments[a.Shard].Epoch != a.Epoch {
			cancel()
			return
		}
		select {
		case <-view.changed:
		case <-ctx.Done():
			return
		}
	}
}

// Handover moves all owned shards to other in-sync replicas before a planned
// stop. It returns an error if shards remain when ctx ends; they serve again.
func (h *Host) Handover(ctx context.Context) error {
	started := time.Now()
	ticker := time.NewTicker(handoverPoll)
	defer ticker.Stop()
	for {
		owned := h.ownedRunners()
		if len(owned) == 0 {
			return nil
		}
		waiting := time.Since(started)%(handoverAttempt+handoverPause) < handoverAttempt
		for _, r := range owned {
			r.post(input{event: shard.HandoverRequest{Cancel: !waiting || ctx.Err() != nil}})
		}
		if ctx.Err() != nil {
			return fmt.Errorf("handover: %d shards remain: %w", len(owned), ctx.Err())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (h *Host) ownedRunners() []*runner {
	var owned []*runner
	for _, r := range h.allRunners() {
		if r.owned.Load() != 0 {
			owned = append(owned, r)
		}
	}
	return owned
}
