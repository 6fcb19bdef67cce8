package registry

import (
	"sync"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/routing"
)

// machine is the replicated state machine that holds the catalog. It is safe for
// concurrent use.
type machine struct {
	mu    sync.Mutex
	state *catalog.State
	// changed is closed and replaced when the revision changes.
	changed chan struct{}
	// fetchResponses caches the responses to fetch requests at the current revision.
	fetchResponses map[FetchRequest]FetchResponse
	// previousConfigurations holds configurations that were in force earlier in
	// this process, oldest first.
	previousConfigurations []previousConfiguration
}

// previousConfiguration is a configuration and the revision that put it in force.
type previousConfiguration struct {
	revision      uint64
	configuration routing.Configuration
}

// maxPreviousConfigurations bounds the number of earlier configurations that are kept
// to compute changes.
const maxPreviousConfigurations = 12

func newMachine() *machine {
	return &machine{state: catalog.New(), changed: make(chan struct{}), fetchResponses: make(map[FetchRequest]FetchResponse)}
}

// Apply executes a committed command; index is its position in the log.
func (m *machine) Apply(index uint64, data []byte) any {
	c, err := decodeCommand(data)
	if err != nil {
		// Only this program writes the log, so an entry that cannot be decoded is a bug
		// in it. All replicas skip the same entry, so their states stay equal.
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	oldRevision, oldConfigurationRevision := m.state.Revision, m.state.ConfigurationRevision
	previous := previousConfiguration{oldConfigurationRevision, m.state.Configuration}
	m.state.Apply(index, c)
	if oldConfigurationRevision != 0 && m.state.ConfigurationRevision != oldConfigurationRevision {
		m.previousConfigurations = append(m.previousConfigurations, previous)
		m.previousConfigurations = m.previousConfigurations[max(0, len(m.previousConfigurations)-maxPreviousConfigurations):]
	}
	m.notifyChange(oldRevision)
	if e := c.Evacuate; e != nil && !e.End {
		if _, evacuated := m.state.Evacuations[e.DataCentre]; !evacuated {
			return catalog.ErrTooManyEvacuations
		}
	}
	return nil
}

// fetch returns the transfer for a VM that holds the state in the request. After a
// restart or a change, all VMs send the same request, so responses are cached until the
// next change.
func (m *machine) fetch(r FetchRequest) (FetchResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if response, cached := m.fetchResponses[r]; cached {
		return response, nil
	}
	response, err := encodeTransfer(m.transfer(r))
	if err == nil {
		m.fetchResponses[r] = response
	}
	return response, err
}

// transfer returns the transfer that brings a VM to the current state. The caller holds
// m.mu.
func (m *machine) transfer(r FetchRequest) Transfer {
	s := m.state
	result := Transfer{
		Revision: s.Revision, ConfigurationRevision: s.ConfigurationRevision, Stores: s.Stores,
		Evacuations: &Evacuations{s.EvacuationRevision, s.Evacuated()},
	}
	if result.Targets, result.Partial = s.TargetsSince(r.Revision); !result.Partial {
		result.Targets = s.Live()
	}
	if s.ConfigurationRevision <= r.ConfigurationRevision {
		return result
	}
	for _, p := range m.previousConfigurations {
		if p.revision != r.ConfigurationRevision {
			continue
		}
		if change, ok := routing.Diff(p.configuration, s.Configuration); ok {
			result.Change = &change
			return result
		}
	}
	c := s.Configuration
	result.Configuration = &c
	return result
}

// Snapshot returns the encoded state.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := m.state.Snapshot()
	if err != nil {
		return nil, err
	}
	return compress(data)
}

// Restore replaces the state by one that Snapshot encoded.
func (m *machine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldRevision := m.state.Revision
	data, err := decompress(data)
	if err != nil {
		return err
	}
	if err := m.state.Restore(data); err != nil {
		return err
	}
	m.previousConfigurations = nil
	m.notifyChange(oldRevision)
	return nil
}

// notifyChange wakes the waiting watches if the revision differs from oldRevision. The
// caller holds m.mu.
func (m *machine) notifyChange(oldRevision uint64) {
	if m.state.Revision != oldRevision {
		clear(m.fetchResponses)
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// read calls f with the state, which f must not modify or retain.
func (m *machine) read(f func(s *catalog.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}

// evacuationRevision returns the revision of the last change of the evacuated data centres.
func (m *machine) evacuationRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.EvacuationRevision
}

// revision returns the current revision and a channel that is closed when it changes.
func (m *machine) revision() (uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Revision, m.changed
}
