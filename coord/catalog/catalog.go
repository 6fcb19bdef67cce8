// Package catalog is the state machine that the control group replicates. It holds
// the configuration in force, the targets that have announced themselves, and the
// initial members of the store group.
//
// Invariants:
//   - The version of the configuration never decreases, and the content of a
//     version never changes.
//   - Of two incarnations at the same address, the later one is kept.
//   - An incarnation of a target that is gone stays gone.
//   - The latest order in the log determines whether a data centre is evacuated.
package catalog

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"

	"hemlockvale.dev/coord/routing"
)

// TargetState is the state that a target announces.
type TargetState string

const (
	// Ready means that the target accepts new requests.
	Ready TargetState = "ready"
	// Draining means that the target only finishes its current requests.
	Draining TargetState = "draining"
	// Gone means that the target has left. Its entry is kept so that delayed
	// announcements are recognised.
	Gone TargetState = "gone"
)

// Target describes one incarnation of a target.
type Target struct {
	// ID and StartedUnixMS identify the incarnation; StartedUnixMS is its start time
	// in Unix milliseconds.
	ID            string `json:"id"`
	StartedUnixMS int64  `json:"born"`
	// Service is the name of the service that the target belongs to, Address its
	// network address, and DataCentre the data centre in which it runs.
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre,omitempty"`
	// Software is the version of the target's software. What two versions generate does not
	// fit together.
	Software string `json:"software,omitempty"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots"`
	// State is the latest announced state.
	State TargetState `json:"state"`
	// Sequence orders the announcements of one incarnation; the highest is the
	// latest.
	Sequence int64 `json:"sequence"`
	// ColdUntilUnixMS is the end of the cold period that the target has stated, and
	// FirstSeenUnixMS the first announcement of the incarnation, in Unix milliseconds of the
	// control VM that received it. Both are 0 unless the service limits its cold targets.
	ColdUntilUnixMS int64 `json:"cold_until_ms,omitempty"`
	FirstSeenUnixMS int64 `json:"first_seen_ms,omitempty"`
}

// Incarnation identifies one run of a target's process.
type Incarnation struct {
	// Target is the id of the target.
	Target string `json:"target"`
	// StartedUnixMS is the start of the process in Unix milliseconds.
	StartedUnixMS int64 `json:"started"`
}

// Incarnation returns the incarnation that the target describes.
func (t Target) Incarnation() Incarnation { return Incarnation{t.ID, t.StartedUnixMS} }

// equalExceptSequence reports whether two announcements differ at most in their
// sequence.
func (t Target) equalExceptSequence(other Target) bool {
	t.Sequence = other.Sequence
	return t == other
}

// Store identifies a VM that holds a replica of the ledger.
type Store struct {
	// Node is the id of the VM.
	Node string `json:"node"`
	// Address is the address at which the VM serves RPCs.
	Address string `json:"address"`
	// Storage identifies the disk of the VM; it is empty if it is not known.
	Storage string `json:"storage,omitempty"`
}

// Command is a change of the state. Exactly one field is set.
type Command struct {
	// PutConfiguration replaces the configuration.
	PutConfiguration *PutConfiguration `json:"put_configuration,omitempty"`
	// PutTarget records an announcement of a target.
	PutTarget *Target `json:"put_target,omitempty"`
	// FormStores sets the initial members of the store group.
	FormStores []Store `json:"form_stores,omitempty"`
	// Retire records the progress of a retirement.
	Retire *Retirement `json:"retire,omitempty"`
	// SeenStores records store VMs that have reported. Earlier releases ignore it.
	SeenStores []Store `json:"seen_stores,omitempty"`
	// Evacuate starts or ends the evacuation of a data centre. The encoded command also has
	// the order as a Retire, for earlier releases; Evacuate takes precedence.
	Evacuate *Evacuation `json:"evacuate,omitempty"`
}

// PutConfiguration is a change that replaces the configuration by one of a higher
// version.
type PutConfiguration struct {
	// Configuration is the decoded form of Document.
	Configuration routing.Configuration `json:"configuration"`
	// Document is the operator's original text, which is returned unchanged when it
	// is read back.
	Document []byte `json:"document"`
}

// State is the replicated state of the catalog. It is not safe for concurrent use.
type State struct {
	// Revision is the log index of the last change.
	Revision uint64 `json:"revision"`
	// Configuration and Document are the configuration in force. Version 0 means
	// that there is none.
	Configuration routing.Configuration `json:"configuration"`
	Document      []byte                `json:"document,omitempty"`
	// ConfigurationRevision is the log index of the last configuration change.
	ConfigurationRevision uint64 `json:"configuration_revision"`
	// Targets holds the known targets by id.
	Targets map[string]Target `json:"targets"`
	// ChangeRevisions holds the log index of the last change of each target, by id.
	// RemovedRevision is the log index at which target entries were last removed;
	// the changes since an earlier index are not known completely.
	ChangeRevisions map[string]uint64 `json:"changed,omitempty"`
	RemovedRevision uint64            `json:"forgotten,omitempty"`
	// Stores holds the initial members of the store group; it is empty until the
	// group is formed.
	Stores []Store `json:"stores,omitempty"`
	// Retirements holds the retirements of store VMs by VM id.
	Retirements map[string]Retirement `json:"retirements,omitempty"`
	// KnownStores holds the store VMs that have reported, by VM id, so that a silent one is not
	// taken for an unknown one after a change of the leader.
	KnownStores map[string]KnownStore `json:"known_stores,omitempty"`
	// Evacuations holds the log index of the order by evacuated data centre.
	// EvacuationRevision is the log index of the last change of this map, or a later one.
	Evacuations        map[string]uint64 `json:"evacuations,omitempty"`
	EvacuationRevision uint64            `json:"evacuation_revision"`
}

// New returns an empty state.
func New() *State {
	return &State{Targets: make(map[string]Target), ChangeRevisions: make(map[string]uint64), Retirements: make(map[string]Retirement), KnownStores: make(map[string]KnownStore), Evacuations: make(map[string]uint64)}
}

// Apply executes a committed command; index is its position in the log.
func (s *State) Apply(index uint64, c Command) {
	switch {
	case c.Evacuate != nil:
		s.applyEvacuation(index, *c.Evacuate)
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
		s.applyRetirement(index, *c.Retire)
	case len(c.SeenStores) > 0:
		s.seenStores(index, c.SeenStores)
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

// WouldChange reports whether an announcement would change the state. An announcement
// that would not needs no log entry.
func (s *State) WouldChange(t Target) bool {
	recorded, ok := s.Targets[t.ID]
	if ok && recorded.StartedUnixMS == t.StartedUnixMS {
		return t.State != recorded.State && t.Sequence >= recorded.Sequence && recorded.State != Gone || !recorded.equalExceptSequence(t) && t.Sequence > recorded.Sequence && recorded.State != Gone
	}
	if ok && recorded.StartedUnixMS > t.StartedUnixMS {
		return false
	}
	return !s.superseded(t)
}

// Withdrawal returns the announcement which records that an incarnation has left, or the latest
// one that is known if startedUnixMS is 0. It returns false if there is nothing to record. The
// state must be current: a copy that is behind may not know the incarnation or a later
// announcement of it.
//
// An incarnation that is not known is recorded as well, because an announcement that it has sent
// before may arrive later.
func (s *State) Withdrawal(id string, startedUnixMS int64) (Target, bool) {
	t, known := s.Targets[id]
	switch {
	case known && (startedUnixMS == 0 || startedUnixMS == t.StartedUnixMS):
	case startedUnixMS == 0 || known && startedUnixMS < t.StartedUnixMS:
		return Target{}, false
	default:
		// No target has this address, so none is taken for the predecessor of this one.
		t = Target{ID: id, StartedUnixMS: startedUnixMS, Address: "/" + id}
	}
	if t.State == Gone {
		return Target{}, false
	}
	// No announcement is later, whichever is being committed now.
	t.State, t.Sequence = Gone, math.MaxInt64
	return t, true
}

// superseded reports whether a later incarnation is known at the same address.
func (s *State) superseded(t Target) bool {
	for _, other := range s.Targets {
		if other.Address == t.Address && other.ID != t.ID && other.StartedUnixMS > t.StartedUnixMS {
			return true
		}
	}
	return false
}

func (s *State) putTarget(index uint64, t Target) {
	t = s.keepFirstSeen(t)
	if !s.WouldChange(t) {
		return
	}
	s.setTarget(index, t)
	s.Revision = index
	for id, other := range s.Targets {
		if other.Address == t.Address && id != t.ID && other.StartedUnixMS < t.StartedUnixMS && other.State != Gone {
			other.State = Gone
			s.setTarget(index, other)
		}
	}
	s.removeOldestGone(index)
}

func (s *State) setTarget(index uint64, t Target) {
	s.Targets[t.ID] = t
	s.ChangeRevisions[t.ID] = index
}

// maxGone bounds the number of remembered targets that have left.
const maxGone = 512

func (s *State) removeOldestGone(index uint64) {
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
		if a.StartedUnixMS != b.StartedUnixMS {
			return cmp.Compare(a.StartedUnixMS, b.StartedUnixMS)
		}
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, t := range gone[:len(gone)-maxGone] {
		delete(s.Targets, t.ID)
		delete(s.ChangeRevisions, t.ID)
	}
	s.RemovedRevision = index
}

// TargetsSince returns the targets that changed after a revision, including those
// that have left since. It returns false if not all of these changes are known.
func (s *State) TargetsSince(revision uint64) ([]Target, bool) {
	if revision == 0 || revision < s.RemovedRevision || revision > s.Revision {
		return nil, false
	}
	var changed []Target
	for id, at := range s.ChangeRevisions {
		if at > revision {
			changed = append(changed, s.Targets[id])
		}
	}
	slices.SortFunc(changed, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return changed, true
}

// Live returns the targets that have not left, ordered by id.
func (s *State) Live() []Target { return Live(s.Targets) }

// Live returns the targets of a map by id that have not left, ordered by id.
func Live(targets map[string]Target) []Target {
	var live []Target
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		if t := targets[id]; t.State != Gone {
			live = append(live, t)
		}
	}
	return live
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) {
	encoded := *s
	encoded.Retirements = s.withCarriers()
	return json.Marshal(encoded)
}

// Restore replaces the state by one that Snapshot encoded.
func (s *State) Restore(data []byte) error {
	restored := New()
	if err := json.Unmarshal(data, restored); err != nil {
		return fmt.Errorf("decode catalog snapshot: %w", err)
	}
	if len(restored.ChangeRevisions) < len(restored.Targets) {
		// Snapshots that an earlier release has written do not record when targets
		// changed.
		restored.ChangeRevisions = make(map[string]uint64, len(restored.Targets))
		for id := range restored.Targets {
			restored.ChangeRevisions[id] = restored.Revision
		}
		restored.RemovedRevision = restored.Revision
	}
	var written struct {
		EvacuationRevision *uint64 `json:"evacuation_revision"`
	}
	if err := json.Unmarshal(data, &written); err != nil {
		return fmt.Errorf("decode catalog snapshot: %w", err)
	}
	restored.takeCarriers(written.EvacuationRevision == nil)
	*s = *restored
	return nil
}
