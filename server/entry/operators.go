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

// TargetStatus is one target as this VM sees it.
type TargetStatus struct {
	// ID, Kind, Service, Address, DataCentre, Role and Fencing were announced.
	ID         string `json:"id"`
	Kind       string `json:"kind"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role,omitempty"`
	Fencing    string `json:"fencing,omitempty"`
	// Load is the newest report, ReportAgeMS its age in milliseconds.
	Load        target.Load `json:"load"`
	ReportAgeMS int64       `json:"report_age_ms"`
	// Outstanding is the number of requests that this VM has dispatched and no report counts yet.
	Outstanding int `json:"outstanding"`
	// Usable targets get new work; Leaving and Drained say why one does not.
	Usable  bool `json:"usable"`
	Leaving bool `json:"leaving"`
	Drained bool `json:"drained"`
	// Suspect targets failed lately and are used last.
	Suspect bool `json:"suspect"`
}

// operator wraps a handler that only operators may call.
func (e *Entry) operator(serve func(http.ResponseWriter, *http.Request, *call) *Problem) http.HandlerFunc {
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

// serveOrder gives a target an order through the owner of its shard.
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

// serveClearQuarantine lets a request run again that took targets down.
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
