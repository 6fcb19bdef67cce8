package fleet

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// TailLength is the number of recent changes that are kept for followers. A
// follower that lags further behind receives a snapshot. TailLength also bounds the
// numbers of operations, refusals and replaced incarnations that are kept.
const TailLength = 4096

// State holds the configuration of a deployment. Reads take no lock: they load an
// immutable view. Each accepted change publishes a new view and copies only the
// collections that it modifies. Any number of goroutines may read while one applies
// changes. The returned objects share their maps and slices with the view and
// must not be modified.
type State struct {
	current atomic.Pointer[view]

	mu                sync.Mutex // guards the fields below and serialises changes
	tail              []Change   // the last TailLength changes, oldest first
	compactedRevision uint64     // revision of the last change that was removed from the tail
	operations        operationLog
	refusals          operationLog
}

// view is one immutable version of the configuration.
type view struct {
	revision      uint64
	deployment    Deployment
	organisations map[string]*Organisation
	keys          map[string]*Key
	keysByHash    map[[sha256.Size]byte]*Key
	profiles      map[string]*Profile
	services      map[string]*Service
	vms           map[string]*VM
	targetDrains  map[string]*TargetDrain
	assignments   []*Assignment // by shard; nil: not assigned yet
	replaced      []VMRef       // incarnations that a later one has replaced, oldest first
}

// New returns an empty configuration.
func New() *State {
	s := &State{operations: newOperationLog(), refusals: newOperationLog()}
	s.current.Store(&view{keysByHash: map[[sha256.Size]byte]*Key{}})
	return s
}

// Clone returns a copy; later changes to either do not affect the other.
func (s *State) Clone() *State {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &State{
		tail:              slices.Clone(s.tail),
		compactedRevision: s.compactedRevision,
		operations:        s.operations.clone(),
		refusals:          s.refusals.clone(),
	}
	c.current.Store(s.current.Load())
	return c
}

// Revision returns the revision of the last accepted change.
func (s *State) Revision() uint64 { return s.current.Load().revision }

// Deployment returns the settings of the whole deployment.
func (s *State) Deployment() Deployment { return s.current.Load().deployment }

// Shards returns the number of shards, 0 before the deployment is configured.
func (s *State) Shards() int { return s.current.Load().deployment.Shards }

// Authenticate returns the key with the given secret. It returns false if there is
// none, if the key is withdrawn or if its organisation was removed. It looks up
// SHA-256 hashes, so its timing reveals nothing about secrets.
func (s *State) Authenticate(secret string) (Key, bool) {
	v := s.current.Load()
	k := v.keysByHash[sha256.Sum256([]byte(secret))]
	if k == nil || k.Withdrawn || v.organisations[k.Organisation] == nil {
		return Key{}, false
	}
	return *k, true
}

// ResolveProfile returns the profile that a service selects for an organisation.
// It returns the organisation's default profile if the service selects none or is
// empty. Its errors are of type *Error.
func (s *State) ResolveProfile(organisation, service string) (Profile, error) {
	v := s.current.Load()
	org := v.organisations[organisation]
	if org == nil {
		return Profile{}, newError(CodeNotFound, "organisation", "organisation %q does not exist", organisation)
	}
	name := org.Profile
	if service != "" {
		svc := v.services[service]
		if svc == nil {
			return Profile{}, newError(CodeNotFound, "service", "service %q does not exist", service)
		}
		if selected, ok := svc.Profiles[organisation]; ok {
			name = selected
		}
	}
	p := v.profiles[name]
	if p == nil {
		return Profile{}, newError(CodeNotFound, "organisation.profile", "organisation %q has no default profile", organisation)
	}
	return *p, nil
}

// Organisation returns one organisation.
func (s *State) Organisation(id string) (Organisation, bool) {
	return deref(s.current.Load().organisations[id])
}

// Profile returns one profile.
func (s *State) Profile(name string) (Profile, bool) { return deref(s.current.Load().profiles[name]) }

// Service returns one service.
func (s *State) Service(name string) (Service, bool) { return deref(s.current.Load().services[name]) }

// Key returns one key.
func (s *State) Key(id string) (Key, bool) { return deref(s.current.Load().keys[id]) }

// VM returns the registered VM with an id, in its latest incarnation.
func (s *State) VM(id string) (VM, bool) { return deref(s.current.Load().vms[id]) }

// Replaced reports whether a later incarnation of the VM has been registered. Only
// the last TailLength replaced incarnations are known.
func (s *State) Replaced(ref VMRef) bool { return slices.Contains(s.current.Load().replaced, ref) }

// Assignment returns the assignment of one shard.
func (s *State) Assignment(shard int) (Assignment, bool) {
	v := s.current.Load()
	if shard < 0 || shard >= len(v.assignments) {
		return Assignment{}, false
	}
	return deref(v.assignments[shard])
}

// TargetDraining reports whether a target is excluded from new calls.
func (s *State) TargetDraining(id string) bool {
	d := s.current.Load().targetDrains[id]
	return d != nil && d.Draining
}

// Organisations returns all organisations, sorted by id.
func (s *State) Organisations() []Organisation { return sortedByKey(s.current.Load().organisations) }

// Profiles returns all profiles, sorted by name.
func (s *State) Profiles() []Profile { return sortedByKey(s.current.Load().profiles) }

// Services returns all services, sorted by name.
func (s *State) Services() []Service { return sortedByKey(s.current.Load().services) }

// Keys returns all keys, including withdrawn ones, sorted by id.
func (s *State) Keys() []Key { return sortedByKey(s.current.Load().keys) }

// VMs returns all registered VMs, sorted by id.
func (s *State) VMs() []VM { return sortedByKey(s.current.Load().vms) }

// TargetDrains returns the targets that are draining, sorted by id.
func (s *State) TargetDrains() []TargetDrain { return sortedByKey(s.current.Load().targetDrains) }

// Assignments returns the assignments of all assigned shards, sorted by shard.
func (s *State) Assignments() []Assignment {
	v := s.current.Load()
	out := make([]Assignment, 0, len(v.assignments))
	for _, a := range v.assignments {
		if a != nil {
			out = append(out, *a)
		}
	}
	return out
}

// HashSecret returns the SHA-256 of a key's secret in hex, as stored in Key.Hash.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// deref returns the value at p, or false if p is nil.
func deref[T any](p *T) (T, bool) {
	if p == nil {
		var zero T
		return zero, false
	}
	return *p, true
}

// sortedByKey returns the values of m in the order of their keys.
func sortedByKey[T any](m map[string]*T) []T {
	out := make([]T, 0, len(m))
	for _, name := range slices.SortedFunc(maps.Keys(m), cmp.Compare[string]) {
		out = append(out, *m[name])
	}
	return out
}

// with returns a copy of m that maps name to value.
func with[T any](m map[string]*T, name string, value *T) map[string]*T {
	c := maps.Clone(m)
	if c == nil {
		c = make(map[string]*T, 1)
	}
	c[name] = value
	return c
}

// without returns a copy of m without the entry name.
func without[T any](m map[string]*T, name string) map[string]*T {
	c := maps.Clone(m)
	delete(c, name)
	return c
}
