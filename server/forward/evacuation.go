package forward

import (
	"errors"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/server/bootclock"
	ledgerhost "hemlockvale.dev/server/ledger"
	"hemlockvale.dev/server/registry"
)

// errEvacuated reports that a request was not sent because the data centre of its target is
// evacuated.
var errEvacuated = errors.New("data centre of the target is evacuated")

// evacuatedTarget reports whether a view lists a target in an evacuated data centre. A target
// that the view doesn't list is not: the grant may be based on a later catalog.
func evacuatedTarget(view *registry.View, id string) bool {
	if len(view.Evacuations.DataCentres) == 0 {
		return false
	}
	t, listed := view.Target(id)
	return listed && view.Evacuated(t.DataCentre)
}

// holdBack checks, immediately before a request is sent, whether the latest view allows it. The
// grant may be older than an order, or the leader may not know the order. It returns an empty result
// if the request may be sent.
func (x *exchange) holdBack(grant ledgerhost.AdmitResponse) (dispatch.Result, error) {
	view := x.entry.options.View()
	result, err := dispatch.Result(""), error(nil)
	switch {
	case evacuatedTarget(view, grant.Target):
		result, err = dispatch.NotSentEvacuated, errEvacuated
		x.entry.pool.drop(grant.Target)
		x.excludedTargets = excludeEvacuated(x.excludedTargets, view, x.service.Name)
	case coldTarget(view, grant.Target, time.Now()) && bootclock.Now() > x.grantedAfter+dispatch.MaxColdGrantAge:
		result, err = dispatch.NotSentLate, errLateGrant
	default:
		return "", nil
	}
	gometrics.GetOrRegisterCounter("forward_not_sent;reason="+string(result), x.entry.options.Metrics).Inc(1)
	return result, err
}

// maxExcluded bounds the targets that one request excludes because of evacuations. The list is
// part of the admission request and is searched for each candidate.
const maxExcluded = 128

// excludeEvacuated adds the targets of a service in evacuated data centres to a list of excluded
// ones. A leader that doesn't know the order would otherwise grant them one after the other until
// the request has used up its placements.
func excludeEvacuated(excluded []string, view *registry.View, service string) []string {
	known := make(map[string]bool, len(excluded))
	for _, id := range excluded {
		known[id] = true
	}
	for _, t := range view.Targets {
		if len(excluded) >= maxExcluded {
			break
		}
		if t.Service == service && t.State == catalog.Ready && !known[t.ID] && view.Evacuated(t.DataCentre) {
			excluded = append(excluded, t.ID)
		}
	}
	return excluded
}

const (
	// maxSendCounters bounds the data centres whose requests are counted apart.
	maxSendCounters = 64
	// otherDataCentre is the label of requests to further or unknown data centres.
	otherDataCentre = "other"
)

// sendCounters counts the requests that were sent by data centre of their target. An operator
// sees there that nothing is sent to an evacuated one.
type sendCounters struct {
	mu           sync.Mutex
	byDataCentre map[string]gometrics.Counter
}

// count counts a request to a data centre.
func (s *sendCounters) count(dataCentre string, metrics gometrics.Registry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counter := s.byDataCentre[dataCentre]
	if counter == nil {
		if dataCentre == "" || len(s.byDataCentre) >= maxSendCounters {
			dataCentre = otherDataCentre
		}
		counter = gometrics.GetOrRegisterCounter("forward_sends;data_centre="+dataCentre, metrics)
		if len(s.byDataCentre) < maxSendCounters {
			if s.byDataCentre == nil {
				s.byDataCentre = make(map[string]gometrics.Counter)
			}
			s.byDataCentre[dataCentre] = counter
		}
	}
	counter.Inc(1)
}

// countSend counts a request that is sent to the granted target.
func (x *exchange) countSend(grant ledgerhost.AdmitResponse) {
	// An unlisted target has no data centre, so it counts as another one.
	t, _ := x.entry.options.View().Target(grant.Target)
	x.entry.sends.count(t.DataCentre, x.entry.options.Metrics)
}
