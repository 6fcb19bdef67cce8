package fleet

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// snapshotFormat is the version of the snapshot encoding. It changes when code of an
// earlier version can no longer read the snapshot.
const snapshotFormat = 1

// ErrOlderSnapshot means that a snapshot's revision is below the current one, so
// restoring it would revert accepted changes.
var ErrOlderSnapshot = errors.New("snapshot is older than the state")

// document is the encoded form of a State.
type document struct {
	Format            int            `json:"format"`
	Revision          uint64         `json:"revision"`
	CompactedRevision uint64         `json:"floor"`
	Deployment        Deployment     `json:"deployment"`
	Organisations     []Organisation `json:"organisations"`
	Keys              []Key          `json:"keys"`
	Profiles          []Profile      `json:"profiles"`
	Services          []Service      `json:"services"`
	VMs               []VM           `json:"vms"`
	TargetDrains      []TargetDrain  `json:"target_drains"`
	Assignments       []Assignment   `json:"assignments"`
	Replaced          []VMRef        `json:"retired"`
	Tail              []Change       `json:"tail,omitempty"`
	Operations        []operation    `json:"operations,omitempty"`
	Refusals          []operation    `json:"refusals,omitempty"`
}

// Snapshot encodes the whole state, including the tail of recent changes and the
// operation ids. Equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.document()
	d.CompactedRevision, d.Tail = s.compactedRevision, s.tail
	d.Operations, d.Refusals = s.operations.order, s.refusals.order
	return json.Marshal(d)
}

// FollowerSnapshot encodes the state without the tail of recent changes and the
// operation ids, which only the control VMs need.
func (s *State) FollowerSnapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.document()
	d.CompactedRevision = d.Revision
	return json.Marshal(d)
}

// document returns the encoded form without the tail and the operation ids.
func (s *State) document() document {
	v := s.current.Load()
	return document{
		Format:        snapshotFormat,
		Revision:      v.revision,
		Deployment:    v.deployment,
		Organisations: sortedByKey(v.organisations),
		Keys:          sortedByKey(v.keys),
		Profiles:      sortedByKey(v.profiles),
		Services:      sortedByKey(v.services),
		VMs:           sortedByKey(v.vms),
		TargetDrains:  sortedByKey(v.targetDrains),
		Assignments:   s.Assignments(),
		Replaced:      v.replaced,
	}
}

// Restore replaces the state by a snapshot. It returns ErrOlderSnapshot if the
// snapshot's revision is below the current one. On any error the state is unchanged.
func (s *State) Restore(data []byte) error {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if d.Format != snapshotFormat {
		return fmt.Errorf("snapshot has format %d, but this version reads format %d", d.Format, snapshotFormat)
	}
	v, err := d.view()
	if err != nil {
		return fmt.Errorf("snapshot at revision %d: %w", d.Revision, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.Revision < s.current.Load().revision {
		return fmt.Errorf("%w: the snapshot is at revision %d, the state at %d", ErrOlderSnapshot, d.Revision, s.current.Load().revision)
	}
	s.compactedRevision, s.tail = d.CompactedRevision, d.Tail
	s.operations, s.refusals = newOperationLog(), newOperationLog()
	for _, o := range d.Operations {
		s.operations.add(o)
	}
	for _, o := range d.Refusals {
		s.refusals.add(o)
	}
	s.current.Store(v)
	return nil
}

// view returns the decoded view with its indexes.
func (d *document) view() (*view, error) {
	if d.Deployment.Shards < 0 || d.Deployment.Shards > MaxShards {
		return nil, fmt.Errorf("%d shards are out of range", d.Deployment.Shards)
	}
	v := &view{
		revision:      d.Revision,
		deployment:    d.Deployment,
		organisations: index(d.Organisations, func(o *Organisation) string { return o.ID }),
		keys:          index(d.Keys, func(k *Key) string { return k.ID }),
		keysByHash:    make(map[[sha256.Size]byte]*Key, len(d.Keys)),
		profiles:      index(d.Profiles, func(p *Profile) string { return p.Name }),
		services:      index(d.Services, func(s *Service) string { return s.Name }),
		vms:           index(d.VMs, func(m *VM) string { return m.ID }),
		targetDrains:  index(d.TargetDrains, func(t *TargetDrain) string { return t.ID }),
		assignments:   make([]*Assignment, d.Deployment.Shards),
		replaced:      slices.Clip(d.Replaced),
	}
	for _, k := range v.keys {
		hash, err := decodeHash(k.Hash)
		if err != nil {
			return nil, fmt.Errorf("key %q: %w", k.ID, err)
		}
		v.keysByHash[hash] = k
	}
	for i := range d.Assignments {
		a := &d.Assignments[i]
		if a.Shard < 0 || a.Shard >= len(v.assignments) {
			return nil, fmt.Errorf("assignment of shard %d is out of range: the deployment has %d shards", a.Shard, len(v.assignments))
		}
		v.assignments[a.Shard] = a
	}
	return v, nil
}

// index returns the elements of list by name.
func index[T any](list []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[name(&list[i])] = &list[i]
	}
	return m
}
