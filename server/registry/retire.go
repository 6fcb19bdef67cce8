package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/server/rpc"
)

var (
	// ErrUnknownNode reports that no store VM with this id is known.
	ErrUnknownNode = errors.New("no such store VM")
	// ErrTooFewStores reports that too few store VMs would remain.
	ErrTooFewStores = errors.New("too few store VMs would remain")
)

// MethodRemoveVoter is the RPC method that asks the leader of the store group to remove
// the replica of another store VM.
const MethodRemoveVoter = "ledger.remove_voter"

// RemoveVoterRequest is the request of MethodRemoveVoter. Address is the RPC address of
// the VM to remove.
type RemoveVoterRequest struct {
	Address string `json:"address"`
}

// RemoveVoterResponse is the response of MethodRemoveVoter. Removed is set when the VM no
// longer holds a replica.
type RemoveVoterResponse struct {
	Removed bool `json:"removed"`
}

// removeTimeout bounds one request to the store group.
const removeTimeout = time.Second

// Retire starts to move all replicas off a store VM and reports whether that is done.
// If statusOnly is set, it only reports the progress.
func (g *Registry) Retire(ctx context.Context, node string, statusOnly bool) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, address, self := g.options.Quorum.Leader()
	if self {
		return g.retireAsLeader(ctx, RetireRequest{Node: node, StatusOnly: statusOnly})
	}
	if address == "" {
		return false, ErrUnavailable
	}
	var response RetireResponse
	err = g.options.Pool.Call(ctx, address, MethodRetire, RetireRequest{Node: node, StatusOnly: statusOnly}, &response)
	switch rpc.CodeOf(err) {
	case CodeUnknownNode:
		return false, ErrUnknownNode
	case CodeTooFewStores:
		return false, ErrTooFewStores
	}
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return response.Done, nil
}

func (g *Registry) handleRetire(ctx context.Context, params json.RawMessage) (any, error) {
	var r RetireRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, rpc.Errorf("bad_request", "retire: %v", err)
	}
	done, err := g.retireAsLeader(ctx, r)
	switch {
	case errors.Is(err, ErrUnknownNode):
		return nil, rpc.Errorf(CodeUnknownNode, "%s", r.Node)
	case errors.Is(err, ErrTooFewStores):
		return nil, rpc.Errorf(CodeTooFewStores, "%s", r.Node)
	case err != nil:
		return nil, rpc.Errorf(CodeUnavailable, "%v", err)
	}
	return RetireResponse{done}, nil
}

// retireAsLeader executes a retire request on the leader.
func (g *Registry) retireAsLeader(ctx context.Context, r RetireRequest) (bool, error) {
	if err := g.options.Quorum.ReadBarrier(ctx); err != nil {
		return false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	// Two requests at once must not both count the other one's VM as remaining.
	g.retireMu.Lock()
	defer g.retireMu.Unlock()
	var retirements map[string]catalog.Retirement
	g.options.Machine.read(func(s *catalog.State) { retirements = maps.Clone(s.Retirements) })
	if retirement, found := retirements[r.Node]; found {
		return retirement.Done, nil
	}
	if r.StatusOnly {
		return false, ErrUnknownNode
	}
	address, err := checkRetirement(g.liveVMs("store"), retirements, r.Node, 2*g.options.TolerateLosses+1)
	if err != nil {
		return false, err
	}
	return false, g.commit(ctx, catalog.Command{Retire: &catalog.Retirement{Node: r.Node, Address: address}})
}

// checkRetirement returns the address of the store VM that is to be retired. It returns
// ErrTooFewStores if fewer than wanted VMs that are not being retired would remain.
func checkRetirement(stores []VM, retirements map[string]catalog.Retirement, node string, wanted int) (address string, err error) {
	remaining := 0
	for _, vm := range stores {
		_, retiring := retirements[vm.Node]
		switch {
		case vm.Node == node:
			address = vm.RPCAddress
		case !retiring:
			remaining++
		}
	}
	switch {
	case address == "":
		return "", ErrUnknownNode
	case remaining < wanted:
		return "", ErrTooFewStores
	}
	return address, nil
}

// finishRetirements asks the store group to remove the replicas of VMs that are being
// retired, and commits the completed retirements.
func (g *Registry) finishRetirements(ctx context.Context) {
	var pending []catalog.Retirement
	g.options.Machine.read(func(s *catalog.State) {
		for _, r := range s.Retirements {
			if !r.Done {
				pending = append(pending, r)
			}
		}
	})
	for _, r := range pending {
		if g.removeReplica(ctx, r) {
			r.Done = true
			err := g.commit(ctx, catalog.Command{Retire: &r})
			g.options.Log.WithFields(logrus.Fields{"event": "store_retired", "node": r.Node, "error": err}).Info("store VM retired: it holds no replica")
		}
	}
}

// removeReplica asks the store group's leader to remove the replica of a VM, and reports
// whether that is done.
func (g *Registry) removeReplica(ctx context.Context, r catalog.Retirement) bool {
	leader, _ := g.liveStores()
	if leader == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	var response RemoveVoterResponse
	request := RemoveVoterRequest{Address: r.Address}
	if err := g.options.Pool.Call(ctx, leader, MethodRemoveVoter, request, &response); err != nil {
		g.options.Log.WithFields(logrus.Fields{"event": "retire_pending", "node": r.Node, "leader": leader}).WithError(err).Warn("store group did not remove the VM")
		return false
	}
	return response.Removed
}
