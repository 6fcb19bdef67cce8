package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/server/rpc"
)

var (
	// ErrUnknownNode reports that there is no store VM with this id.
	ErrUnknownNode = catalog.ErrUnknownStore
	// ErrTooFewStores reports that too few store VMs would remain.
	ErrTooFewStores = catalog.ErrTooFewStores
)

// MethodRemoveVoter is the RPC method that asks the leader of the store group to remove
// the replica of another store VM.
const MethodRemoveVoter = "ledger.remove_voter"

// RemoveVoterRequest is the request of MethodRemoveVoter. Storage identifies the disk of the VM to
// remove, and Address is its RPC address. Earlier releases send and use the address only.
type RemoveVoterRequest struct {
	Address string `json:"address"`
	Storage string `json:"storage,omitempty"`
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
	reports := g.storeReports()
	var retirement catalog.Retirement
	var err error
	started := false
	g.options.Machine.read(func(s *catalog.State) {
		retirement, err = s.RetirementOf(r.Node, reports)
		if started = err == nil; !started && !r.StatusOnly {
			retirement, err = s.NewRetirement(r.Node, reports, 2*g.options.TolerateLosses+1)
		}
	})
	switch {
	case errors.Is(err, catalog.ErrStoresUncertain):
		return false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case err != nil:
		return false, err
	case started:
		return retirement.Done, nil
	}
	err = g.commit(ctx, catalog.Command{Retire: &retirement})
	g.options.Log.WithFields(logrus.Fields{"event": "retire_started", "node": r.Node, "address": retirement.Address, "storage": retirement.Storage, "error": err}).Info("retirement of a store VM recorded")
	return false, err
}

// storeReports returns what this VM has learned from store VMs.
func (g *Registry) storeReports() catalog.StoreReports {
	g.mu.Lock()
	defer g.mu.Unlock()
	collected := time.Since(g.started)
	reports := catalog.StoreReports{Collected: collected, Complete: collected >= listingDelay}
	timeout := g.reportTimeout()
	for _, report := range g.reports {
		if report.Role == "store" {
			age := time.Since(report.receivedAt)
			reports.Reports = append(reports.Reports, catalog.StoreReport{Store: report.store(), Age: age, Recent: age < timeout})
		}
	}
	return reports
}

// store returns the identity of a store VM.
func (vm VM) store() catalog.Store {
	return catalog.Store{Node: vm.Node, Address: vm.RPCAddress, Storage: vm.Storage}
}

// recordStores commits the store VMs that have reported for the first time, at another address
// or with another disk.
func (g *Registry) recordStores(ctx context.Context) {
	var reporting, unseen []catalog.Store
	for _, vm := range g.liveVMs("store") {
		reporting = append(reporting, vm.store())
	}
	g.options.Machine.read(func(s *catalog.State) { unseen = s.UnseenStores(reporting) })
	if len(unseen) == 0 {
		return
	}
	err := g.commit(ctx, catalog.Command{SeenStores: unseen})
	for _, store := range unseen {
		g.options.Log.WithFields(logrus.Fields{"event": "store_recorded", "node": store.Node, "address": store.Address, "storage": store.Storage, "error": err}).Info("store VM recorded")
	}
}

// finishRetirements asks the store group to remove the replicas of VMs that are being
// retired, and commits the completed retirements.
func (g *Registry) finishRetirements(ctx context.Context) {
	reports := g.storeReports()
	var pending []catalog.Retirement
	g.options.Machine.read(func(s *catalog.State) { pending = s.PendingRetirements(reports) })
	for _, r := range pending {
		if r.Storage == "" {
			// The disk that is to be emptied is not known before the VM has opened it.
			continue
		}
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
	request := RemoveVoterRequest{Address: r.Address, Storage: r.Storage}
	if err := g.options.Pool.Call(ctx, leader, MethodRemoveVoter, request, &response); err != nil {
		g.options.Log.WithFields(logrus.Fields{"event": "retire_pending", "node": r.Node, "leader": leader}).WithError(err).Warn("store group did not remove the VM")
		return false
	}
	return response.Removed
}
