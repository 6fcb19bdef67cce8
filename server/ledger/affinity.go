package ledger

import (
	gometrics "github.com/rcrowley/go-metrics"

	"hemlockvale.dev/coord/dispatch"
)

// affinity announces the affinity of the next admission request. It is a message of its own,
// because earlier releases check the length of the request.
type affinity struct {
	// ID and Attempt are those of the request.
	ID      string
	Attempt int
	// Key is dispatch.Request.Affinity.
	Key uint64
}

// of returns the announced key of a request, or 0 if another request was announced.
func (a *affinity) of(r *AdmitRequest) uint64 {
	if a.ID != r.ID || a.Attempt != r.Attempt {
		return 0
	}
	return a.Key
}

// countAffinity counts the grants of requests with an affinity key by the choice that the target was
// for the key. The caller holds h.mu.
func (h *Host) countAffinity(a *admission, r *AdmitResponse) {
	if a.request.Affinity == 0 || r.Target == "" {
		return
	}
	choice := "none"
	switch r.Reason {
	case dispatch.ReasonAffinity:
		choice = "first"
	case dispatch.ReasonAffinityNext:
		choice = "next"
	}
	gometrics.GetOrRegisterCounter("ledger_affinity_grants;choice="+choice, h.options.Metrics).Inc(1)
}
