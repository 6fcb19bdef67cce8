package entry

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/gorilla/mux"

	"hemlockvale.dev/coord/program"
)

// entriesPerAnswer is how many addresses a caller gets: one in each data
// centre and a spare.
const entriesPerAnswer = 4

// EntryList is the answer of GET /v1/entries.
type EntryList struct {
	// Entries are the addresses to use, in order of preference.
	Entries []EntryAddress `json:"entries"`
	// LifetimeMS is how long the answer may be kept, in milliseconds.
	LifetimeMS int64 `json:"lifetime_ms"`
}

// EntryAddress is one entry VM.
type EntryAddress struct {
	// Address is the VM's HTTP address.
	Address string `json:"address"`
	// DataCentre is where the VM runs.
	DataCentre string `json:"data_centre"`
}

// serveEntries tells a caller which entries to use. An organisation's callers
// get a small stable set, which keeps its rate owner and caches close.
func (e *Entry) serveEntries(w http.ResponseWriter, r *http.Request) {
	c, problem := e.accept(w, r)
	if problem != nil {
		e.refuse(w, c, problem)
		return
	}
	// Without a valid key the answer is spread by the caller's address.
	spread := r.RemoteAddr
	if len(c.secrets) > 0 {
		if problem := c.authenticate(); problem != nil {
			e.refuse(w, c, problem)
			return
		}
		spread = c.organisation()
	}
	list := EntryList{Entries: []EntryAddress{}, LifetimeMS: e.Settings.Entry.AddressLifetimeMS}
	for _, vm := range c.state.EntriesFor(spread, entriesPerAnswer) {
		if e.draining.Load() && vm.VMRef == e.Self {
			continue
		}
		list.Entries = append(list.Entries, EntryAddress{Address: vm.HTTPAddress, DataCentre: vm.DataCentre})
	}
	writeJSON(w, list)
}

// serveEndProgram ends a program, so that engines release its memory at once.
func (e *Entry) serveEndProgram(w http.ResponseWriter, r *http.Request) {
	c, ref, problem := e.acceptProgram(w, r)
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

// serveHistory returns a program's history, one JSON line for each turn.
func (e *Entry) serveHistory(w http.ResponseWriter, r *http.Request) {
	c, ref, problem := e.acceptProgram(w, r)
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
	// A failed write means that the caller is gone.
	_, _ = w.Write(history)
}

func (e *Entry) acceptProgram(w http.ResponseWriter, r *http.Request) (*call, program.Ref, *Problem) {
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

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	// A failed write means that the caller is gone.
	_ = json.NewEncoder(w).Encode(v)
}
