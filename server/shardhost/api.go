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

// ErrUnavailable reports that no owner of the shard answered before the context
// ended. It is unknown whether a requested change was made.
var ErrUnavailable = errors.New("shard unavailable")

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff between two
	// attempts. A new configuration triggers the next attempt at once.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
	// abandonTimeout bounds the attempts to abandon a request. If they all fail,
	// the call is settled when its own timeout expires.
	abandonTimeout = 10 * time.Second
	// handoverPollInterval is the interval at which Handover checks which shards
	// this VM still owns.
	handoverPollInterval = 20 * time.Millisecond
	// handoverAttemptTimeout bounds how long a shard waits for its next owner
	// without serving requests. Control plans every 200 ms and is polled every 500 ms.
	handoverAttemptTimeout = 1500 * time.Millisecond
	// handoverRetryDelay is how long a shard that could not move serves requests
	// before the next attempt.
	handoverRetryDelay = 500 * time.Millisecond
)

// Begin asks the owner of the program's shard to start a call of the program. It
// retries until ctx ends, which is safe because all attempts carry the same
// request id and nothing is executed without a ticket. If no owner answers, the
// result is a refusal with the code shard_unavailable and executed "no".
func (h *Host) Begin(ctx context.Context, c program.BeginCall) (program.BeginResult, error) {
	started := time.Now()
	if c.Request == "" {
		c.Request = uuid.NewString()
	}
	if c.Runner == (fleet.VMRef{}) {
		c.Runner = h.options.Self
	}
	if c.Runner == h.options.Self {
		c.Revision = h.registeredRevision()
	}
	resp, err := h.callOwner(ctx, c.Program, &request{Begin: &c})
	h.metrics.begin.UpdateSince(started)
	if err == nil && resp.Begin != nil {
		return *resp.Begin, nil
	}
	h.abandonInBackground(c)
	if err == nil || errors.Is(err, ErrUnavailable) {
		return program.Refuse(program.CodeShardUnavailable, "no owner of the program's shard answered in time"), nil
	}
	return program.BeginResult{}, err
}

// registeredRevision returns a configuration revision at which this VM is
// registered, so that an owner with an older configuration does not treat the VM
// as removed.
func (h *Host) registeredRevision() uint64 {
	v := h.view.Load()
	if _, ok := v.address(h.options.Self); ok {
		return v.fleet.Revision
	}
	// The registration is not in the local configuration yet. Only a later revision
	// than the local one can prove that this VM was removed.
	return v.fleet.Revision + 1
}

// abandonInBackground tells the owner that the sender no longer waits for the
// request. It drops the message if maxConcurrentAbandons calls are already running.
func (h *Host) abandonInBackground(c program.BeginCall) {
	started := h.abandonGroup.TryGo(func() error {
		ctx, cancel := context.WithTimeout(h.ctx, abandonTimeout)
		defer cancel()
		if _, err := h.callOwner(ctx, c.Program, &request{Abandon: &c}); err != nil {
			h.options.Log.WithError(err).WithFields(map[string]any{
				"event": "call_not_withdrawn", "organisation": c.Program.Organisation, "program": c.Program.ID,
			}).Warn("could not abandon the call; it stays reserved until its timeout")
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
	_, err := h.callOwner(ctx, f.Ticket.Program, &request{Finish: &f})
	return err
}

// End ends a program and its sub-agents, or all programs of a lineage.
func (h *Host) End(ctx context.Context, ref program.Ref) error {
	_, err := h.callOwner(ctx, ref, &request{End: &ref})
	return err
}

// History returns the program's history, which is empty for an unknown program.
func (h *Host) History(ctx context.Context, ref program.Ref) ([]byte, error) {
	resp, err := h.callOwner(ctx, ref, &request{History: &ref})
	if err != nil {
		return nil, err
	}
	return resp.History, nil
}

// ReportCrash records that a target failed while it executed the request with the
// given fingerprint.
func (h *Host) ReportCrash(ctx context.Context, organisation string, fingerprint uint64, target string) error {
	return h.recordCrash(ctx, program.Crash{Organisation: organisation, Fingerprint: fingerprint, Target: target})
}

// ClearQuarantine deletes the crashes recorded for the request with the given
// fingerprint.
func (h *Host) ClearQuarantine(ctx context.Context, organisation string, fingerprint uint64) error {
	return h.recordCrash(ctx, program.Crash{Organisation: organisation, Fingerprint: fingerprint, Clear: true})
}

func (h *Host) recordCrash(ctx context.Context, c program.Crash) error {
	_, err := h.callOwner(ctx, program.Ref{Organisation: c.Organisation}, &request{Crash: &c})
	return err
}

// Quarantined reports whether the request with the given fingerprint must be
// refused because two targets crashed while they executed it.
func (h *Host) Quarantined(ctx context.Context, organisation string, fingerprint uint64) (bool, error) {
	req := &request{Quarantine: &program.Crash{Organisation: organisation, Fingerprint: fingerprint}}
	resp, err := h.callOwner(ctx, program.Ref{Organisation: organisation}, req)
	if err != nil {
		return false, err
	}
	return resp.Quarantined, nil
}

// callOwner sends a request to the owner of the program's shard. It retries until
// an owner answers or ctx ends.
func (h *Host) callOwner(ctx context.Context, ref program.Ref, req *request) (*response, error) {
	delay := minRetryDelay
	for {
		view := h.view.Load()
		req.Shard = h.options.ShardOf(view.shards, ref.Organisation, ref.ID)
		resp, err := h.callOwnerOnce(ctx, view, req)
		if !retryable(err) {
			return resp, err
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: shard %d: %w", ErrUnavailable, req.Shard, err)
		case <-view.changed:
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// retryable reports whether another attempt can succeed.
func retryable(err error) bool {
	return errors.Is(err, shard.ErrNotOwner) || errors.Is(err, rpc.ErrUnreachable) || errors.Is(err, rpc.ErrConnectionLost) ||
		errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// callOwnerOnce makes one attempt to send a request to the owner. It cancels the
// attempt when the shard changes its owner.
func (h *Host) callOwnerOnce(ctx context.Context, view *hostView, req *request) (*response, error) {
	a, ok := view.assignments[req.Shard]
	if !ok {
		return nil, shard.ErrNotOwner
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if a.Owner == h.options.Self {
		return h.executeLocal(ctx, req)
	}
	address, ok := view.address(a.Owner)
	if !ok {
		return nil, rpc.ErrUnreachable
	}
	go h.cancelOnOwnerChange(ctx, cancel, a)
	var resp response
	if err := h.send(ctx, address, req.method(), req, &resp); err != nil {
		return nil, decodeError(err)
	}
	return &resp, nil
}

// cancelOnOwnerChange cancels an attempt when the epoch of its shard changes.
func (h *Host) cancelOnOwnerChange(ctx context.Context, cancel context.CancelFunc, a fleet.Assignment) {
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
// stop. It returns an error if this VM still owns shards when ctx ends; these
// shards serve requests again.
func (h *Host) Handover(ctx context.Context) error {
	started := time.Now()
	ticker := time.NewTicker(handoverPollInterval)
	defer ticker.Stop()
	for {
		owned := h.ownedRunners()
		if len(owned) == 0 {
			return nil
		}
		handingOver := time.Since(started)%(handoverAttemptTimeout+handoverRetryDelay) < handoverAttemptTimeout
		for _, r := range owned {
			r.post(input{event: shard.HandoverRequest{Cancel: !handingOver || ctx.Err() != nil}})
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

// ownedRunners returns the runners of the shards that this VM owns.
func (h *Host) ownedRunners() []*runner {
	var owned []*runner
	for _, r := range h.allRunners() {
		if r.ownedEpoch.Load() != 0 {
			owned = append(owned, r)
		}
	}
	return owned
}
