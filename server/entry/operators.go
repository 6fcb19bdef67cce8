package entry

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"hemlockvale.dev/coord/target"
)

// TargetStatus is the status of one target in this VM's view.
type TargetStatus struct {
	// ID, Kind, Service, Address, DataCentre, Role and Fencing are as announced by the
	// target.
	ID         string `json:"id"`
	Kind       string `json:"kind"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role,omitempty"`
	Fencing    string `json:"fencing,omitempty"`
	// Load is the newest load report. ReportAgeMS is its age in milliseconds.
	Load        target.Load `json:"load"`
	ReportAgeMS int64       `json:"report_age_ms"`
	// Outstanding is the number of requests that this VM has dispatched and that no report
	// includes yet.
	Outstanding int `json:"outstanding"`
	// Usable is set if the target gets new requests. Leaving and Drained give the reason
	// why it does not.
	Usable  bool `json:"usable"`
	Leaving bool `json:"leaving"`
	Drained bool `json:"drained"`
	// Suspect is set if the target failed recently. Placement then selects it last.
	Suspect bool `json:"suspect"`
}

// operatorHandler returns an HTTP handler that requires the admin token and calls serve.
// A problem that serve returns becomes the response.
func (e *Entry) operatorHandler(serve func(http.ResponseWriter, *http.Request, *call) *Problem) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, problem := e.accept(w, r)
		if problem == nil {
			problem = e.authorizeOperator(c)
		}
		if problem == nil {
			problem = serve(w, r, c)
		}
		if problem != nil {
			e.refuse(w, c, problem)
		}
	}
}

// authorizeOperator refuses a request without the admin token.
func (e *Entry) authorizeOperator(c *call) *Problem {
	token := e.Settings.Control.AdminToken
	if token == "" {
		return newProblem("not_found", ExecutedNo, "control.admin_token is not set on this entry")
	}
	if len(c.secrets) == 0 || subtle.ConstantTimeCompare([]byte(c.secrets[0]), []byte(token)) != 1 {
		return newProblem("unknown_key", ExecutedNo, "the admin token is not valid")
	}
	return nil
}

// serveTargets handles GET /v1/targets: it returns the status of all known targets.
func (e *Entry) serveTargets(w http.ResponseWriter, _ *http.Request, _ *call) *Problem {
	list := []TargetStatus{}
	for _, v := range e.Targets.Views() {
		list = append(list, TargetStatus{
			ID: v.ID, Kind: v.Kind, Service: v.Service, Address: v.Address, DataCentre: v.DataCentre, Role: v.Role, Fencing: v.Fencing,
			Load: v.Load, ReportAgeMS: v.ReportAge.Milliseconds(), Outstanding: v.Outstanding,
			Usable: v.Usable, Leaving: v.Leaving, Drained: v.Drained, Suspect: v.Suspect,
		})
	}
	writeJSON(w, map[string][]TargetStatus{"targets": list})
	return nil
}

// serveOrder handles POST /v1/targets/{id}/orders: it sends an order to a target through
// the owner of the target's shard.
func (e *Entry) serveOrder(w http.ResponseWriter, r *http.Request, c *call) *Problem {
	if problem := e.readBody(w, r, c); problem != nil {
		return problem
	}
	var order target.Order
	if err := json.Unmarshal(c.body, &order); err != nil {
		return newProblem("invalid_json", ExecutedNo, "%v", err)
	}
	if order.ID == "" {
		order.ID = uuid.NewString()
	}
	id := mux.Vars(r)["id"]
	if err := e.Targets.Order(r.Context(), id, order); err != nil {
		return newProblem("order_failed", ExecutedUnknown, "order %s to %s: %v", order.ID, id, err)
	}
	writeJSON(w, map[string]string{"order": order.ID})
	return nil
}

// serveClearQuarantine handles DELETE /v1/quarantine/{organisation}/{fingerprint}: it
// allows a request that crashed targets to run again.
func (e *Entry) serveClearQuarantine(w http.ResponseWriter, r *http.Request, _ *call) *Problem {
	fingerprint, err := strconv.ParseUint(mux.Vars(r)["fingerprint"], 16, 64)
	if err != nil {
		return newProblem("invalid_request", ExecutedNo, "fingerprint: want up to 16 hexadecimal digits")
	}
	if err := e.Programs.ClearQuarantine(r.Context(), mux.Vars(r)["organisation"], fingerprint); err != nil {
		return newProblem("owner_unavailable", ExecutedUnknown, "%v", err)
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}
