// Package history decides where the histories of programs are stored. A turn that was
// answered completely is kept as one immutable record that holds the inputs and outputs
// of the turn and of all turns before it. A record is stored on several store VMs; the
// Directory, which is replicated, knows which.
//
// Invariants:
//   - A turn whose end a caller has received is in the directory until its retention
//     has passed, and at least one VM that the directory names holds its record.
//   - A turn is found only under the organisation that ran it.
//   - The directory never names a VM that has been retired.
package history

// Turn identifies a turn within its organisation.
type Turn struct {
	// Organisation is the owner of the turn; organisations do not share turns.
	Organisation string `json:"o,omitempty"`
	// ID is the id of the request that ran the turn.
	ID string `json:"i"`
}

// String returns the organisation and the id, separated by a slash.
func (t Turn) String() string { return t.Organisation + "/" + t.ID }

// Store is a store VM that can hold records.
type Store struct {
	// Storage identifies the disk of the VM. A VM that has lost its disk has a new one.
	Storage string `json:"storage"`
	// Address is the IP:port that serves the records.
	Address string `json:"address"`
	// RPCAddress is the IP:port at which the VM serves RPCs; it identifies the VM.
	RPCAddress string `json:"rpc_address"`
	// DataCentre is the data centre in which the VM runs.
	DataCentre string `json:"data_centre"`
	// Retiring is set for a VM that is being emptied. It gets no new records.
	Retiring bool `json:"retiring,omitempty"`
}
