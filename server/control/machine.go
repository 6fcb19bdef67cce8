package control

import (
	"encoding/json"

	"hemlockvale.dev/coord/fleet"
)

// Machine is the state machine of control's replicated log.
type Machine struct {
	// State is the configuration.
	State *fleet.State
}

// NewMachine returns a machine over an empty configuration.
func NewMachine() *Machine { return &Machine{State: fleet.New()} }

// Apply carries out the command of one log entry and returns a fleet.Result.
// Fields that this version does not know are ignored, so that a log written by
// a newer version can still be read.
func (m *Machine) Apply(index uint64, data []byte) any {
	var c fleet.Command
	if err := json.Unmarshal(data, &c); err != nil {
		return fleet.Result{Error: &fleet.Error{Code: fleet.CodeInvalid, Field: "command", Message: err.Error()}}
	}
	return m.State.Apply(index, c)
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) { return m.State.Snapshot() }

// Restore replaces the state.
func (m *Machine) Restore(data []byte) error { return m.State.Restore(data) }
