package entry

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/gorilla/mux"

	"hemlockvale.dev/coord/program"
)

// maxEntriesPerResponse is the maximum number of addresses in a response: one in each
// data centre and a spare.
const maxEntriesPerResponse = 4

// EntryList is the response of GET /v1/entries.
type EntryList struct {
	// Entries are the addresses to use, in order of preference.
	Entries []EntryAddress `json:"entries"`
	// LifetimeMS is the time for which the caller may keep the list, in milliseconds.
	LifetimeMS int64 `json:"lifetime_ms"`
}

// EntryAddress is the address of one entry VM.
type EntryAddress struct {
	// Address is the HTTP address of the VM, in the form IP:port.
	Address string `json:"address"`
	// DataCentre is the data centre of the VM.
	DataCentre string `json:"data_centre"`
}

// serveEntries handles GET /v1/entries: it returns the entries that the caller should use.
// All callers of an organisation get the same small, stable set of entries, which keeps the
// organisation's rate limit and cached data close to the entries that use them.
func (e *Entry) serveEntries(w http.ResponseWriter, r *http.Request) {
	c, problem := e.accept(w, r)
	if problem != nil {
		e.refuse(w, c, problem)
		return
	}
	// The entries for a caller without a key are selected by its address.
	hashKey := r.RemoteAddr
	if len(c.secrets) > 0 {
		if problem := c.authenticate(); problem != nil {
			e.refuse(w, c, problem)
			return
		}
		hashKey = c.organisation()
	}
	list := EntryList{Entries: []EntryAddress{}, LifetimeMS: e.Settings.Entry.AddressLifetimeMS}
	for _, vm := range c.fleetState.EntriesFor(hashKey, maxEntriesPerResponse) {
		if e.draining.Load() && vm.VMRef == e.Self {
			continue
		}
		list.Entries = append(list.Entries, EntryAddress{Address: vm.HTTPAddress, DataCentre: vm.DataCentre})
	}
	writeJSON(w, list)
}

// serveEndProgram handles DELETE /v1/programs/{id}: it ends the program, so that its engine
// memory is released at once.
func (e *Entry) serveEndProgram(w http.ResponseWriter, r *http.Request) {
	c, ref, problem := e.acceptProgramRequest(w, r)
	if problem != nil {
		e.refuse(w, c, problem)
		return
	}
	if err := e.Programs.End(r.Context(), ref); err != nil {
		e.refuse(w, c, newProblem("owner_unavailable", ExecutedUnknown, "%v", err))
		return
	}
	c.log.WithField("event", "program_ended").Info("program ended by its caller")
	w.WriteHeader(http.StatusNoContent)
}

// serveHistory handles GET /v1/programs/{id}/history: it returns the program's history,
// one line of JSON per call.
func (e *Entry) serveHistory(w http.ResponseWriter, r *http.Request) {
	c, ref, problem := e.acceptProgramRequest(w, r)
	if problem != nil {
		e.refuse(w, c, problem)
		return
	}
	history, err := e.Programs.History(r.Context(), ref)
	if err != nil {
		e.refuse(w, c, newProblem("owner_unavailable", ExecutedNo, "%v", err))
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(history)
}

// acceptProgramRequest authenticates a request whose path names a program and returns
// the program.
func (e *Entry) acceptProgramRequest(w http.ResponseWriter, r *http.Request) (*call, program.Ref, *Problem) {
	c, problem := e.accept(w, r)
	if problem == nil {
		problem = c.authenticate()
	}
	if problem != nil {
		return c, program.Ref{}, problem
	}
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		return c, program.Ref{}, newProblem("invalid_request", ExecutedNo, "program id: %v", err)
	}
	return c, program.Ref{Organisation: c.organisation(), ID: id}, nil
}

// writeJSON writes v as a JSON response with status 200.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
