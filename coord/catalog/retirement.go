package catalog

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"
)

var (
	// ErrUnknownStore reports that there is no store VM with a name.
	ErrUnknownStore = errors.New("no such store VM")
	// ErrTooFewStores reports that too few store VMs would remain.
	ErrTooFewStores = errors.New("too few store VMs would remain")
	// ErrStoresUncertain reports that the store VMs have not been known for long enough to tell
	// an unknown one from a silent one, or a lost one from one that is suspended.
	ErrStoresUncertain = errors.New("not all store VMs are known or reporting")
)

const (
	// maxKnownStores bounds the store VMs that are remembered.
	maxKnownStores = 4096
	// lostAfter is the time without a report after which a store VM counts as lost. It exceeds a
	// suspension of a few seconds.
	lostAfter = 5 * time.Second
)

// Retirement is the progress of moving all replicas off a store VM.
type Retirement struct {
	// Node is the id of the VM and Address its RPC address.
	Node    string `json:"node"`
	Address string `json:"address"`
	// Storage identifies the disk of the VM. It is empty until the VM has reported it, and in the
	// records of earlier releases.
	Storage string `json:"storage,omitempty"`
	// Done is set when the VM holds no replicas any more.
	Done bool `json:"done"`
}

// KnownStore is a store VM that has reported, and the log index at which that was recorded.
type KnownStore struct {
	Store
	Index uint64 `json:"index"`
}

// StoreReport is the latest report of a store VM.
type StoreReport struct {
	Store
	// Age is the time since the report. Recent is set if the VM is in contact.
	Age    time.Duration
	Recent bool
}

// StoreReports is what a control VM has learned from store VMs since its process started.
type StoreReports struct {
	// Reports are the latest reports, one for each name.
	Reports []StoreReport
	// Collected is the time for which reports have been collected. Complete is set if each
	// VM that is in contact has reported meanwhile.
	Collected time.Duration
	Complete  bool
}

func (r StoreReports) find(node string) (StoreReport, bool) {
	i := slices.IndexFunc(r.Reports, func(report StoreReport) bool { return report.Node == node })
	if i < 0 {
		return StoreReport{}, false
	}
	return r.Reports[i], true
}

// seenStores records the store VMs that have reported. The entry of a VM is removed when
// another one reports its address. It does not change what followers of the catalog hold.
func (s *State) seenStores(index uint64, stores []Store) {
	for _, store := range stores {
		maps.DeleteFunc(s.KnownStores, func(node string, known KnownStore) bool {
			return node != store.Node && known.Address == store.Address
		})
		s.KnownStores[store.Node] = KnownStore{store, index}
	}
	for len(s.KnownStores) > maxKnownStores {
		oldest := slices.MinFunc(slices.Collect(maps.Values(s.KnownStores)), func(a, b KnownStore) int {
			return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Node, b.Node))
		})
		delete(s.KnownStores, oldest.Node)
	}
}

// UnseenStores returns the stores of a list that are not recorded as they are. Stores without a
// storage are left out: they have not opened their disk yet.
func (s *State) UnseenStores(stores []Store) []Store {
	var unseen []Store
	for _, store := range stores {
		if store.Storage != "" && s.KnownStores[store.Node].Store != store {
			unseen = append(unseen, store)
		}
	}
	return unseen
}

// applyRetirement records the progress of a retirement.
func (s *State) applyRetirement(index uint64, r Retirement) {
	s.Retirements[r.Node] = r
	s.Revision = index
}

// concerns reports whether a retirement is about a VM. One that is in progress is about the VM
// that has its name, also after it has lost its disk. One that is done is about the VM that had the
// name and the disk then, because the name may be given to another VM.
func (r Retirement) concerns(store Store) bool {
	switch {
	case r.Node != store.Node:
		return false
	case !r.Done || store == Store{Node: r.Node}:
		return true
	case r.Storage == "" || store.Storage == "":
		return r.Address == store.Address
	}
	return r.Storage == store.Storage
}

// Retiring reports whether a store VM is being retired or has been.
func (s *State) Retiring(store Store) bool {
	r, found := s.Retirements[store.Node]
	return found && r.concerns(store)
}

// holder returns what is known of the VM that has a name now; only the name is set if nothing is.
func (s *State) holder(node string, reports StoreReports) Store {
	known := s.KnownStores[node].Store
	report, reported := reports.find(node)
	switch {
	case reported && (report.Storage != "" || known.Address != report.Address):
		return report.Store
	case known.Node == "":
		return Store{Node: node}
	}
	return known
}

// RetirementOf returns the retirement of the VM that has a name now. It returns ErrUnknownStore if
// there is none, and ErrStoresUncertain if the VM that has the name may not be known.
func (s *State) RetirementOf(node string, reports StoreReports) (Retirement, error) {
	r, found := s.Retirements[node]
	switch {
	case found && r.concerns(s.holder(node, reports)):
		return r, nil
	case !reports.Complete:
		return Retirement{}, ErrStoresUncertain
	}
	return Retirement{}, ErrUnknownStore
}

// NewRetirement returns the retirement to record for the VM that has a name now. It returns
// ErrTooFewStores if fewer than wanted VMs that are not being retired would remain,
// ErrUnknownStore if no VM has the name, and ErrStoresUncertain if neither is certain: a VM that is
// silent may be suspended, and a control VM that has just started does not know those that are.
func (s *State) NewRetirement(node string, reports StoreReports, wanted int) (Retirement, error) {
	holder := s.holder(node, reports)
	if holder.Address == "" {
		if !reports.Complete {
			return Retirement{}, ErrStoresUncertain
		}
		return Retirement{}, ErrUnknownStore
	}
	reporting, possible := s.remaining(node, reports)
	switch {
	case reporting >= wanted:
		return Retirement{Node: node, Address: holder.Address, Storage: holder.Storage}, nil
	case possible >= wanted || !reports.Complete:
		return Retirement{}, ErrStoresUncertain
	}
	return Retirement{}, ErrTooFewStores
}

// remaining counts the store VMs besides one that are not being retired: those that are
// reporting, and all that are not known to be lost.
func (s *State) remaining(node string, reports StoreReports) (reporting, possible int) {
	for _, r := range reports.Reports {
		if r.Node == node || s.Retiring(r.Store) {
			continue
		}
		if r.Recent {
			reporting++
		}
		if r.Recent || r.Age < lostAfter {
			possible++
		}
	}
	if reports.Collected >= lostAfter {
		return reporting, possible
	}
	for _, known := range s.KnownStores {
		if _, reported := reports.find(known.Node); !reported && known.Node != node && !s.Retiring(known.Store) {
			possible++
		}
	}
	return reporting, possible
}

// PendingRetirements returns the retirements that are not done, with the current address and
// storage of their VMs, ordered by name.
func (s *State) PendingRetirements(reports StoreReports) []Retirement {
	var pending []Retirement
	for _, node := range slices.Sorted(maps.Keys(s.Retirements)) {
		r := s.Retirements[node]
		if r.Done {
			continue
		}
		if holder := s.holder(node, reports); holder.Address != "" {
			r.Address, r.Storage = holder.Address, cmp.Or(holder.Storage, r.Storage)
		}
		pending = append(pending, r)
	}
	return pending
}
