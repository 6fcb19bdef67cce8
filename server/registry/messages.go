package registry

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/routing"
)

// RPC methods of a control VM.
const (
	// MethodWatch waits for a newer revision and reports the caller as alive.
	MethodWatch = "registry.watch"
	// MethodFetch returns what changed since a revision.
	MethodFetch = "registry.fetch"
	// MethodPropose lets the leader commit a command.
	MethodPropose = "registry.propose"
	// MethodDocument reads the configuration with a confirmed leadership.
	MethodDocument = "registry.document"
	// MethodRetire asks the leader to empty a store VM.
	MethodRetire = "registry.retire"
)

// Error codes of the methods.
const (
	// CodeUnavailable means that no quorum confirmed the request; it may be repeated anywhere.
	CodeUnavailable = "unavailable"
	// CodeUnknownNode means that no such store VM is known.
	CodeUnknownNode = "unknown_node"
	// CodeTooFew means that too few store VMs would remain.
	CodeTooFew = "too_few_stores"
)

// VM describes a process to control.
type VM struct {
	// Node is the VM's id.
	Node string `json:"node"`
	// Role is "entry" or "store".
	Role string `json:"role"`
	// DataCentre is where it runs.
	DataCentre string `json:"data_centre"`
	// RPCAddress is where other VMs reach it.
	RPCAddress string `json:"rpc_address"`
	// CallerAddress is where callers reach an entry.
	CallerAddress string `json:"caller_address,omitempty"`
	// Draining is set once the VM should get no new callers.
	Draining bool `json:"draining,omitempty"`
	// Started tells incarnations of a process apart.
	Started int64 `json:"started"`
	// StoreLeader is the ledger's leader as a store VM knows it.
	StoreLeader string `json:"store_leader,omitempty"`
}

// WatchRequest reports a VM and waits for news. Watches are frequent, so both
// messages leave out what the other side has.
type WatchRequest struct {
	// VM is the full report; it is left out if the asked control VM has it.
	VM *VM `json:"vm,omitempty"`
	// Node and Started name the report.
	Node    string `json:"n"`
	Started int64  `json:"s"`
	// Known is the revision that the caller holds.
	Known uint64 `json:"k"`
	// WaitMS bounds the wait.
	WaitMS int64 `json:"w,omitempty"`
	// Members is the digest of the members that the caller holds.
	Members uint64 `json:"m,omitempty"`
}

// WatchResponse names the newest revision on the answering VM.
type WatchResponse struct {
	Revision uint64 `json:"r"`
	// Unknown asks for the full report.
	Unknown bool `json:"u,omitempty"`
	// Members is left out if the caller's digest is up to date.
	Members *Members `json:"m,omitempty"`
}

// Members are the control and store VMs as one control VM knows them.
type Members struct {
	// Control are the RPC addresses of all control VMs.
	Control []string `json:"c"`
	// Stores are the RPC addresses of the store VMs that reported lately.
	Stores []string `json:"s,omitempty"`
	// StoreLeader is the ledger's leader, if known.
	StoreLeader string `json:"l,omitempty"`
}

// digest identifies the content.
func (m Members) digest() uint64 {
	d := xxhash.New()
	for _, list := range [][]string{m.Control, m.Stores, {m.StoreLeader}} {
		for _, address := range list {
			// Writes to a digest never fail.
			_, _ = d.WriteString(address + " ")
		}
		_, _ = d.WriteString("/")
	}
	return d.Sum64()
}

// ProposeRequest asks the leader to commit a command.
type ProposeRequest struct {
	// Command is encoded as in the log.
	Command []byte `json:"command"`
}

// FetchRequest asks for what changed.
type FetchRequest struct {
	// Revision is the state that the caller holds; 0 for none.
	Revision uint64 `json:"revision,omitempty"`
	// ConfigurationRevision is the configuration that the caller holds.
	ConfigurationRevision uint64 `json:"configuration_revision,omitempty"`
}

// FetchResponse carries a Transfer as compressed JSON.
type FetchResponse struct {
	Packed []byte `json:"packed"`
}

// Transfer brings a VM to the state of the one that made it.
type Transfer struct {
	Revision              uint64 `json:"revision"`
	ConfigurationRevision uint64 `json:"configuration_revision"`
	// Configuration is set if the caller needs all of it, Change if it needs
	// only what changed; neither if it holds the newest one, or if there is none.
	Configuration *routing.Configuration `json:"configuration,omitempty"`
	Change        *routing.Change        `json:"change,omitempty"`
	// Targets are those that changed after the caller's revision, also those
	// that have left, if Partial is set; otherwise all that have not left.
	Targets []catalog.Target `json:"targets,omitempty"`
	Partial bool             `json:"partial,omitempty"`
	Stores  []catalog.Store  `json:"stores"`
}

func packTransfer(t Transfer) (FetchResponse, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return FetchResponse{}, err
	}
	packed, err := compress(data)
	return FetchResponse{packed}, err
}

// transfer unpacks the answer.
func (r FetchResponse) transfer() (Transfer, error) {
	var t Transfer
	data, err := decompress(r.Packed)
	if err == nil {
		err = json.Unmarshal(data, &t)
	}
	if err != nil {
		return t, fmt.Errorf("transfer: %w", err)
	}
	return t, nil
}

// RetireRequest names a store VM; State only asks how far its retirement is.
type RetireRequest struct {
	Node  string `json:"node"`
	State bool   `json:"state,omitempty"`
}

// RetireResponse is the progress of a retirement.
type RetireResponse struct {
	Done bool `json:"done"`
}

// DocumentResponse is the newest configuration as the operator sent it.
type DocumentResponse struct {
	Document []byte `json:"document"`
}
