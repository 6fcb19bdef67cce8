package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/server/rpc"
)

// Evacuate commits an order that starts or ends the evacuation of a data centre. An order that
// changes nothing is committed as well, because this VM's copy may be older than an order that
// was acknowledged elsewhere. It returns catalog.ErrDataCentreName, catalog.ErrTooManyEvacuations
// or ErrUnavailable.
func (g *Registry) Evacuate(ctx context.Context, e catalog.Evacuation) error {
	err := e.Validate()
	if err == nil {
		err = g.commit(ctx, catalog.Command{Evacuate: &e})
	}
	outcome := evacuationOutcome(e, err)
	gometrics.GetOrRegisterCounter("registry_evacuations;outcome="+outcome, g.options.Metrics).Inc(1)
	g.options.Log.WithFields(logrus.Fields{"event": "evacuation_ordered", "data_centre": e.DataCentre, "end": e.End, "outcome": outcome}).WithError(err).Info("order about a data centre handled")
	return err
}

// evacuationOutcome names the outcome of an order for logs and metrics.
func evacuationOutcome(e catalog.Evacuation, err error) string {
	switch {
	case errors.Is(err, catalog.ErrDataCentreName):
		return "invalid"
	case errors.Is(err, catalog.ErrTooManyEvacuations):
		return "too_many"
	case err != nil:
		return "unavailable"
	case e.End:
		return "ended"
	}
	return "started"
}

// EvacuationsResponse is the response of MethodEvacuations.
type EvacuationsResponse struct {
	// Evacuations are the evacuated data centres, ordered by name.
	Evacuations []EvacuationStatus `json:"evacuations"`
	// OtherTargets is the number of targets of other data centres that accept requests.
	OtherTargets int `json:"other_targets"`
	// Behind holds entries and store VMs that reported recently to the leader, but not that they
	// know the latest order; there may be more than maxBehind.
	Behind []string `json:"behind"`
}

// maxBehind bounds the VMs that a response names.
const maxBehind = 64

// recordEvacuations records which revision of the evacuated data centres a VM holds. A late watch
// of an earlier incarnation says nothing about the present one.
func (g *Registry) recordEvacuations(node string, started int64, revision uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if report := g.reports[node]; report != nil && report.Started == started {
		report.evacuations = max(report.evacuations, revision)
	}
}

// behind returns the VMs that reported recently, but not that they hold a revision of the evacuated
// data centres.
func (g *Registry) behind(revision uint64) []string {
	vms := slices.Concat(g.liveVMs("entry"), g.liveVMs("store"))
	g.mu.Lock()
	defer g.mu.Unlock()
	nodes := []string{}
	for _, vm := range vms {
		if len(nodes) < maxBehind && g.reports[vm.Node].evacuations < revision {
			nodes = append(nodes, vm.Node)
		}
	}
	return nodes
}

// EvacuationStatus describes an evacuated data centre.
type EvacuationStatus struct {
	// DataCentre is the name of the data centre, and Revision the log index of the order.
	DataCentre string `json:"data_centre"`
	Revision   uint64 `json:"revision"`
	// Targets is the number of targets there that have not left.
	Targets int `json:"targets"`
}

// handleEvacuations returns the evacuated data centres, if this VM is the leader.
func (g *Registry) handleEvacuations(ctx context.Context, _ json.RawMessage) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := g.options.Quorum.ReadBarrier(ctx); err != nil {
		return nil, rpc.Errorf(CodeUnavailable, "%v", fmt.Errorf("not the leader of the control VMs: %w", err))
	}
	var response EvacuationsResponse
	revision := uint64(0)
	g.options.Machine.read(func(s *catalog.State) { response, revision = describeEvacuations(s), s.EvacuationRevision })
	response.Behind = g.behind(revision)
	return response, nil
}

// describeEvacuations returns the evacuated data centres of a state with the numbers of targets.
func describeEvacuations(s *catalog.State) EvacuationsResponse {
	response := EvacuationsResponse{Evacuations: make([]EvacuationStatus, 0, len(s.Evacuations))}
	targets := make(map[string]int)
	for _, t := range s.Targets {
		if t.State == catalog.Gone {
			continue
		}
		targets[t.DataCentre]++
		if _, evacuated := s.Evacuations[t.DataCentre]; !evacuated && t.State == catalog.Ready {
			response.OtherTargets++
		}
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(s.Evacuations)) {
		response.Evacuations = append(response.Evacuations, EvacuationStatus{dataCentre, s.Evacuations[dataCentre], targets[dataCentre]})
	}
	return response
}
