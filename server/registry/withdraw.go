package registry

import (
	"context"
	"encoding/json"
	"fmt"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/server/rpc"
)

// Withdraw records that an incarnation of a target has left, or the latest one if startedUnixMS is
// 0. It has no effect if a later incarnation of the target is known.
//
// The leader decides after a quorum has confirmed its leadership: the copy of this VM may not
// have the target yet, or an earlier state of it, and a target that gets an acknowledgement does
// not call again.
func (g *Registry) Withdraw(ctx context.Context, id string, startedUnixMS int64) error {
	if g.hasLeft(id, startedUnixMS) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	request := WithdrawRequest{id, startedUnixMS}
	_, address, self := g.options.Quorum.Leader()
	if self {
		return g.withdrawAsLeader(ctx, request)
	}
	if address == "" {
		return ErrUnavailable
	}
	err := g.options.Pool.Call(ctx, address, MethodWithdraw, request, nil)
	switch {
	case err == nil:
		return nil
	case rpc.CodeOf(err) == rpc.CodeMethodNotFound:
		return g.withdrawByCopy(ctx, request)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// hasLeft reports whether the copy of this VM shows that an incarnation has left. It does not
// come back, so the copy may be behind.
func (g *Registry) hasLeft(id string, startedUnixMS int64) bool {
	left := false
	g.options.Machine.read(func(s *catalog.State) {
		t, known := s.Targets[id]
		left = known && startedUnixMS != 0 && (startedUnixMS < t.StartedUnixMS || startedUnixMS == t.StartedUnixMS && t.State == catalog.Gone)
	})
	return left
}

// withdrawAsLeader executes a request on the leader.
func (g *Registry) withdrawAsLeader(ctx context.Context, r WithdrawRequest) error {
	if err := g.options.Quorum.ReadBarrier(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return g.commitWithdrawal(ctx, r)
}

// withdrawByCopy executes a request by the copy of this VM, for a leader of an earlier release. If
// the copy does not show which incarnation is meant, another control VM may know.
func (g *Registry) withdrawByCopy(ctx context.Context, r WithdrawRequest) error {
	known := false
	g.options.Machine.read(func(s *catalog.State) { _, known = s.Targets[r.ID] })
	if !known && r.StartedUnixMS == 0 {
		return ErrUnavailable
	}
	return g.commitWithdrawal(ctx, r)
}

// commitWithdrawal commits what the copy of this VM shows to be necessary. A target that could not
// have announced itself needs nothing.
func (g *Registry) commitWithdrawal(ctx context.Context, r WithdrawRequest) error {
	var target catalog.Target
	needed := false
	g.options.Machine.read(func(s *catalog.State) { target, needed = s.Withdrawal(r.ID, r.StartedUnixMS) })
	if !needed || !target.Incarnation().Valid() {
		return nil
	}
	return g.commit(ctx, catalog.Command{PutTarget: &target})
}

func (g *Registry) handleWithdraw(ctx context.Context, params json.RawMessage) (any, error) {
	var r WithdrawRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, rpc.Errorf("bad_request", "withdraw: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := g.withdrawAsLeader(ctx, r); err != nil {
		return nil, rpc.Errorf(CodeUnavailable, "%v", err)
	}
	return struct{}{}, nil
}
