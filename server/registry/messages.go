package registry

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/coord/routing"
)

// These are the RPC methods of a control VM.
const (
	// MethodWatch waits for a newer revision of the catalog. It is also the
	// caller's heartbeat.
	MethodWatch = "registry.watch"
	// MethodFetch returns the changes since a revision.
	MethodFetch = "registry.fetch"
	// MethodPropose asks the leader to commit a command.
	MethodPropose = "registry.propose"
	// MethodDocument reads the configuration document from the leader after a quorum
	// has confirmed its leadership.
	MethodDocument = "registry.document"
	// MethodEntries returns entries that can reach targets.
	MethodEntries = "registry.entries"
	// MethodHeartbeats returns the latest heartbeats of targets.
	MethodHeartbeats = "registry.heartbeats"
	// MethodRetire asks the leader to move all replicas off a store VM.
	MethodRetire = "registry.retire"
	// MethodWithdraw asks the leader to record that a target has left.
	MethodWithdraw = "registry.withdraw"
	// MethodEvacuations returns the evacuated data centres from the leader after a quorum has
	// confirmed its leadership.
	MethodEvacuations = "registry.evacuations"
)

// These are the error codes of the methods.
const (
	// CodeUnavailable means that no quorum confirmed the request. It may be retried
	// at any control VM.
	CodeUnavailable = "unavailable"
	// CodeUnknownNode means that no store VM with this id is known.
	CodeUnknownNode = "unknown_node"
	// CodeTooFewStores means that too few store VMs would remain.
	CodeTooFewStores = "too_few_stores"
	// CodeTooManyEvacuations means that no further evacuated data centre can be recorded.
	CodeTooManyEvacuations = "too_many_evacuations"
)

// VM is the report of an entry or store VM about itself.
type VM struct {
	// Node is the id of the VM.
	Node string `json:"node"`
	// Role is "entry" or "store".
	Role string `json:"role"`
	// DataCentre is the data centre in which the VM runs.
	DataCentre string `json:"data_centre"`
	// RPCAddress is the address at which the VM serves RPCs.
	RPCAddress string `json:"rpc_address"`
	// CallerAddress is the address at which an entry serves callers.
	CallerAddress string `json:"caller_address,omitempty"`
	// Draining is set when the VM should get no new callers.
	Draining bool `json:"draining,omitempty"`
	// Isolated is set while an entry can't reach any target.
	Isolated bool `json:"isolated,omitempty"`
	// Started is the start time of the process in Unix nanoseconds. It identifies
	// the incarnation.
	Started int64 `json:"started"`
	// StoreLeader is the RPC address of the ledger's leader, as far as a store VM
	// knows it; otherwise empty.
	StoreLeader string `json:"store_leader,omitempty"`
	// Storage identifies the disk of a store VM, and HistoryAddress is the address at
	// which it serves histories; both are empty until it does.
	Storage        string `json:"storage,omitempty"`
	HistoryAddress string `json:"history_address,omitempty"`
}

// WatchRequest reports a VM and waits for a newer revision. Watches are frequent, so
// the request and the response leave out data that the other side has.
type WatchRequest struct {
	// VM is the full report; nil if the control VM has it.
	VM *VM `json:"vm,omitempty"`
	// Node and Started identify the report.
	Node    string `json:"n"`
	Started int64  `json:"s"`
	// Known is the revision of the catalog that the sender holds, or heartbeatOnly.
	Known uint64 `json:"k"`
	// WaitMS bounds the wait in milliseconds.
	WaitMS int64 `json:"w,omitempty"`
	// Members is the digest of the members that the sender holds.
	Members uint64 `json:"m,omitempty"`
	// Evacuations is the revision of the evacuated data centres that the sender holds.
	Evacuations uint64 `json:"e,omitempty"`
}

// heartbeatOnly is the value of WatchRequest.Known of a VM that gets changes and members
// from other control VMs. The response follows at the timeout and names the revision only.
const heartbeatOnly = math.MaxUint64

// WatchResponse is the response to a WatchRequest.
type WatchResponse struct {
	// Revision is the latest revision that the control VM holds.
	Revision uint64 `json:"r"`
	// Unknown is set if the control VM does not have the report. The sender then
	// sends the full report.
	Unknown bool `json:"u,omitempty"`
	// Members is nil if the digest in the request is up to date.
	Members *Members `json:"m,omitempty"`
	// Evacuations is the revision of the evacuated data centres that the control VM holds.
	Evacuations uint64 `json:"e,omitempty"`
	// Entries is the number of entries that reported recently; 0 if not stated.
	Entries int `json:"n,omitempty"`
}

// Members lists the control and store VMs that one control VM knows.
type Members struct {
	// Control holds the RPC addresses of all control VMs.
	Control []string `json:"c"`
	// Stores holds the RPC addresses of the store VMs that reported recently.
	Stores []string `json:"s,omitempty"`
	// StoreLeader is the RPC address of the ledger's leader; empty if unknown.
	StoreLeader string `json:"l,omitempty"`
	// HistoryStores holds the store VMs that serve histories and reported recently.
	HistoryStores []history.Store `json:"h,omitempty"`
}

// digest returns a hash of the content.
func (m Members) digest() uint64 {
	d := xxhash.New()
	for _, list := range [][]string{m.Control, m.Stores, {m.StoreLeader}} {
		for _, address := range list {
			// Writes to an xxhash digest never fail.
			_, _ = d.WriteString(address + " ")
		}
		_, _ = d.WriteString("/")
	}
	for _, s := range m.HistoryStores {
		_, _ = fmt.Fprintf(d, "%v ", s)
	}
	return d.Sum64()
}

// ProposeRequest asks the leader to commit a command.
type ProposeRequest struct {
	// Command is a catalog command, encoded as in the log.
	Command []byte `json:"command"`
}

// FetchRequest requests the changes of the catalog.
type FetchRequest struct {
	// Revision is the revision of the state that the sender holds; 0 for none.
	Revision uint64 `json:"revision,omitempty"`
	// ConfigurationRevision is the revision of the configuration that the sender
	// holds; 0 for none.
	ConfigurationRevision uint64 `json:"configuration_revision,omitempty"`
}

// FetchResponse carries a Transfer as compressed JSON.
type FetchResponse struct {
	// Packed is the encoded Transfer.
	Packed []byte `json:"packed"`
}

// Transfer holds the data that bring a VM to the state of the control VM that sent it.
type Transfer struct {
	// Revision and ConfigurationRevision are those of the sender's state.
	Revision              uint64 `json:"revision"`
	ConfigurationRevision uint64 `json:"configuration_revision"`
	// Configuration is set if the receiver needs the complete configuration, Change
	// if it needs only the changes. Neither is set if the receiver holds the latest
	// configuration or if there is none.
	Configuration *routing.Configuration `json:"configuration,omitempty"`
	Change        *routing.Change        `json:"change,omitempty"`
	// Targets holds all targets that have not left. If Partial is set, it holds the
	// targets that changed after the receiver's revision, including those that have
	// left.
	Targets []catalog.Target `json:"targets,omitempty"`
	Partial bool             `json:"partial,omitempty"`
	// Stores holds the initial members of the store group.
	Stores []catalog.Store `json:"stores"`
	// Evacuations holds the evacuated data centres; nil if the sender is of an earlier
	// release, which doesn't know them.
	Evacuations *Evacuations `json:"evacuations,omitempty"`
}

// Evacuations is the set of evacuated data centres.
type Evacuations struct {
	// Revision is the revision of the last change of the set, or a later one.
	Revision uint64 `json:"revision"`
	// DataCentres holds the names in order.
	DataCentres []string `json:"data_centres"`
}

// encodeTransfer returns the response that carries a transfer.
func encodeTransfer(t Transfer) (FetchResponse, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return FetchResponse{}, err
	}
	compressed, err := compress(data)
	return FetchResponse{compressed}, err
}

// decode returns the transfer in the response.
func (r FetchResponse) decode() (Transfer, error) {
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

// RetireRequest starts the retirement of the store VM Node. If StatusOnly is set, it only
// requests the progress.
type RetireRequest struct {
	Node       string `json:"node"`
	StatusOnly bool   `json:"state,omitempty"`
}

// RetireResponse is the progress of a retirement. Done is set when the VM no longer
// holds any replica.
type RetireResponse struct {
	Done bool `json:"done"`
}

// WithdrawRequest records that an incarnation of a target has left; StartedUnixMS is 0 for the
// latest one.
type WithdrawRequest struct {
	ID            string `json:"id"`
	StartedUnixMS int64  `json:"started,omitempty"`
}

// EntriesRequest asks for entries that can reach targets.
type EntriesRequest struct {
	// Node is the id of the VM that asks, which is left out, and DataCentre is its data
	// centre.
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
}

// EntriesResponse holds RPC addresses of entries in random order.
type EntriesResponse struct {
	Addresses []string `json:"addresses"`
}

// DocumentResponse holds the document of the latest configuration, as the operator sent
// it.
type DocumentResponse struct {
	Document []byte `json:"document"`
}
