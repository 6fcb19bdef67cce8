package registry

import (
	"sync"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/routing"
)

// machine adapts the catalog to the log and lets other goroutines read it.
type machine struct {
	mu    sync.Mutex
	state *catalog.State
	// changed is closed when the revision increases.
	changed chan struct{}
	// packed are the answers to fetches at the present revision.
	packed map[FetchRequest]FetchResponse
	// former are configurations that were in force since this process started, oldest first.
	former []formerConfiguration
}

// formerConfiguration is a configuration and the revision that put it in force.
type formerConfiguration struct {
	revision      uint64
	configuration routing.Configuration
}

// maxFormer bounds the configurations that are kept to tell what changed since.
const maxFormer = 12

func newMachine() *machine {
	return &machine{state: catalog.New(), changed: make(chan struct{}), packed: make(map[FetchRequest]FetchResponse)}
}

// Apply executes a committed command.
func (m *machine) Apply(index uint64, data []byte) any {
	c, err := decodeCommand(data)
	if err != nil {
		// Only this program writes the log, so this is a fault of its own; all replicas skip it alike.
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before, configuration := m.state.Revision, m.state.ConfigurationRevision
	former := formerConfiguration{configuration, m.state.Configuration}
	m.state.Apply(index, c)
	if configuration != 0 && m.state.ConfigurationRevision != configuration {
		m.former = append(m.former, former)
		m.former = m.former[max(0, len(m.former)-maxFormer):]
	}
	m.wake(before)
	return nil
}

// fetch returns what a VM needs that holds the requested state. After a restart
// or a change all VMs ask for the same, so answers are kept until the next change.
func (m *machine) fetch(r FetchRequest) (FetchResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if answer, known := m.packed[r]; known {
		return answer, nil
	}
	answer, err := packTransfer(m.transfer(r))
	if err == nil {
		m.packed[r] = answer
	}
	return answer, err
}

// transfer is what brings a VM to the present state; m.mu is held.
func (m *machine) transfer(r FetchRequest) Transfer {
	s := m.state
	answer := Transfer{Revision: s.Revision, ConfigurationRevision: s.ConfigurationRevision, Stores: s.Stores}
	if answer.Targets, answer.Partial = s.TargetsSince(r.Revision); !answer.Partial {
		answer.Targets = s.Live()
	}
	if s.ConfigurationRevision <= r.ConfigurationRevision {
		return answer
	}
	for _, f := range m.former {
		if f.revision != r.ConfigurationRevision {
			continue
		}
		if change, ok := routing.Diff(f.configuration, s.Configuration); ok {
			answer.Change = &change
			return answer
		}
	}
	c := s.Configuration
	answer.Configuration = &c
	return answer
}

// Snapshot returns the complete state.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := m.state.Snapshot()
	if err != nil {
		return nil, err
	}
	return compress(data)
}

// Restore replaces the state.
func (m *machine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.state.Revision
	data, err := decompress(data)
	if err != nil {
		return err
	}
	if err := m.state.Restore(data); err != nil {
		return err
	}
	m.former = nil
	m.wake(before)
	return nil
}

func (m *machine) wake(before uint64) {
	if m.state.Revision != before {
		clear(m.packed)
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// read calls f with the state; f must not keep or change it.
func (m *machine) read(f func(s *catalog.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}

// revision returns the newest revision and a channel that is closed when it increases.
func (m *machine) revision() (uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Revision, m.changed
}
