package control

import (
	"encoding/json"

	"hemlockvale.dev/coord/fleet"
)

// Machine is the state machine of the control VMs' replicated log.
type Machine struct {
	// State is the configuration of the deployment.
	State *fleet.State
}

// NewMachine returns a state machine with an empty configuration.
func NewMachine() *Machine { return &Machine{State: fleet.New()} }

// Apply applies the command of a log entry and returns a fleet.Result. Unknown fields
// are ignored, so that a log written by a newer version can be read.
func (m *Machine) Apply(index uint64, data []byte) any {
	var c fleet.Command
	if err := json.Unmarshal(data, &c); err != nil {
		return fleet.Result{Error: &fleet.Error{Code: fleet.CodeInvalid, Path: "command", Message: err.Error()}}
	}
	return m.State.Apply(index, c)
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) { return m.State.Snapshot() }

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(data []byte) error { return m.State.Restore(data) }
