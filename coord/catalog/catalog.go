// Package catalog is the state machine that control replicates: the
// configuration in force, the targets that announced themselves, and the
// members of the store group.
//
// Invariants:
//   - the version of the configuration never decreases, and a version's
//     content never changes;
//   - of two incarnations at one address, the later one is kept;
//   - a target that is gone stays gone for its incarnation.
package catalog

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"hemlockvale.dev/coord/routing"
)

// TargetState is what a target says about itself.
type TargetState string

const (
	// Ready targets take new work.
	Ready TargetState = "ready"
	// Draining targets finish what they have.
	Draining TargetState = "draining"
	// Gone targets have left; the entry remains so that delayed announcements are recognised.
	Gone TargetState = "gone"
)

// Target is one incarnation of a target.
type Target struct {
	// ID and Born (Unix milliseconds) identify the incarnation.
	ID   string `json:"id"`
	Born int64  `json:"born"`
	// Service, Address and DataCentre say what it serves and where.
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre,omitempty"`
	// Slots is how many requests run at once.
	Slots int `json:"slots"`
	// State is the newest state.
	State TargetState `json:"state"`
	// Sequence orders the announcements of one incarnation.
	Sequence int64 `json:"sequence"`
}

// sameFacts says whether two announcements differ in nothing but their sequence.
func (t Target) sameFacts(o Target) bool {
	t.Sequence = o.Sequence
	return t == o
}

// Store is a VM that holds a replica of the ledger.
type Store struct {
	// Node is the VM's id.
	Node string `json:"node"`
	// Address is where it answers RPCs.
	Address string `json:"address"`
}

// Command is one change; exactly one field is set.
type Command struct {
	PutConfiguration *PutConfiguration `json:"put_configuration,omitempty"`
	PutTarget        *Target           `json:"put_target,omitempty"`
	FormStores       []Store           `json:"form_stores,omitempty"`
	Retire           *Retirement       `json:"retire,omitempty"`
}

// PutConfiguration replaces the configuration by a higher version.
type PutConfiguration struct {
	// Configuration is the decoded document.
	Configuration routing.Configuration `json:"configuration"`
	// Document is the operator's text, returned unchanged when it is read back.
	Document []byte `json:"document"`
}

// Retirement is the progress of emptying a store VM.
type Retirement struct {
	// Node and Address identify the VM.
	Node    string `json:"node"`
	Address string `json:"address"`
	// Done is set once the VM holds no replica.
	Done bool `json:"done"`
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	// Revision is the log index of the last change.
	Revision uint64 `json:"revision"`
	// Configuration and Document are the configuration in force; a version of 0 means none.
	Configuration routing.Configuration `json:"configuration"`
	Document      []byte                `json:"document,omitempty"`
	// ConfigurationRevision is the log index of the configuration.
	ConfigurationRevision uint64 `json:"configuration_revision"`
	// Targets are by id.
	Targets map[string]Target `json:"targets"`
	// Changed is the log index of each target's last change, by id. Forgotten is
	// that of the last change after which a target was removed; changes since an
	// earlier index are not known completely.
	Changed   map[string]uint64 `json:"changed,omitempty"`
	Forgotten uint64            `json:"forgotten,omitempty"`
	// Stores are the initial members of the store group; empty before it is formed.
	Stores []Store `json:"stores,omitempty"`
	// Retirements are by the VM's id.
	Retirements map[string]Retirement `json:"retirements,omitempty"`
}

// New returns the empty state.
func New() *State {
	return &State{Targets: make(map[string]Target), Changed: make(map[string]uint64), Retirements: make(map[string]Retirement)}
}

// Apply executes a committed command; index is its position in the log.
func (s *State) Apply(index uint64, c Command) {
	switch {
	case c.PutConfiguration != nil:
		s.putConfiguration(index, c.PutConfiguration)
	case c.PutTarget != nil:
		s.putTarget(index, *c.PutTarget)
	case len(c.FormStores) > 0:
		if len(s.Stores) == 0 {
			s.Stores = slices.Clone(c.FormStores)
			s.Revision = index
		}
	case c.Retire != nil:
		s.Retirements[c.Retire.Node] = *c.Retire
		s.Revision = index
	}
}

func (s *State) putConfiguration(index uint64, p *PutConfiguration) {
	if p.Configuration.Version <= s.Configuration.Version {
		return
	}
	s.Configuration = p.Configuration
	s.Document = p.Document
	s.ConfigurationRevision = index
	s.Revision = index
}

// Changes says whether an announcement would change the state. A target whose
// newest state is already recorded needs no log entry.
func (s *State) Changes(t Target) bool {
	known, ok := s.Targets[t.ID]
	if ok && known.Born == t.Born {
		return t.State != known.State && t.Sequence >= known.Sequence && known.State != Gone || !known.sameFacts(t) && t.Sequence > known.Sequence && known.State != Gone
	}
	if ok && known.Born > t.Born {
		return false
	}
	return !s.superseded(t)
}

// superseded says whether a later incarnation is known at the same address.
func (s *State) superseded(t Target) bool {
	for _, o := range s.Targets {
		if o.Address == t.Address && o.ID != t.ID && o.Born > t.Born {
			return true
		}
	}
	return false
}

func (s *State) putTarget(index uint64, t Target) {
	if !s.Changes(t) {
		return
	}
	s.setTarget(index, t)
	s.Revision = index
	for id, o := range s.Targets {
		if o.Address == t.Address && id != t.ID && o.Born < t.Born && o.State != Gone {
			o.State = Gone
			s.setTarget(index, o)
		}
	}
	s.forgetOldest(index)
}

func (s *State) setTarget(index uint64, t Target) {
	s.Targets[t.ID] = t
	s.Changed[t.ID] = index
}

// maxGone bounds the remembered targets that have left.
const maxGone = 512

func (s *State) forgetOldest(index uint64) {
	var gone []Target
	for _, t := range s.Targets {
		if t.State == Gone {
			gone = append(gone, t)
		}
	}
	if len(gone) <= maxGone {
		return
	}
	slices.SortFunc(gone, func(a, b Target) int {
		if a.Born != b.Born {
			return int(a.Born - b.Born)
		}
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, t := range gone[:len(gone)-maxGone] {
		delete(s.Targets, t.ID)
		delete(s.Changed, t.ID)
	}
	s.Forgotten = index
}

// TargetsSince returns the targets that changed after a revision, also those
// that have left since, or false if it does not know all of them.
func (s *State) TargetsSince(revision uint64) ([]Target, bool) {
	if revision == 0 || revision < s.Forgotten || revision > s.Revision {
		return nil, false
	}
	var changed []Target
	for id, at := range s.Changed {
		if at > revision {
			changed = append(changed, s.Targets[id])
		}
	}
	slices.SortFunc(changed, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return changed, true
}

// Live returns the targets that have not left, ordered by id.
func (s *State) Live() []Target { return Live(s.Targets) }

// Live returns those of the targets, by id, that have not left, ordered by id.
func Live(targets map[string]Target) []Target {
	var live []Target
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		if t := targets[id]; t.State != Gone {
			live = append(live, t)
		}
	}
	return live
}

// Snapshot returns the complete state.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore replaces the state by one that Snapshot returned.
func (s *State) Restore(data []byte) error {
	restored := New()
	if err := json.Unmarshal(data, restored); err != nil {
		return fmt.Errorf("catalog snapshot: %w", err)
	}
	if len(restored.Changed) < len(restored.Targets) {
		// A snapshot of an earlier version does not say when targets changed.
		restored.Changed = make(map[string]uint64, len(restored.Targets))
		for id := range restored.Targets {
			restored.Changed[id] = restored.Revision
		}
		restored.Forgotten = restored.Revision
	}
	*s = *restored
	return nil
}
