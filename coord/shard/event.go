package shard

import (
	"errors"
	"time"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
)

// ErrNotOwner answers a request that this replica must not serve. The request
// changed nothing here, or its outcome can be found at the next owner.
var ErrNotOwner = errors.New("not the shard's owner")

// View is an immutable extract of the fleet's configuration.
type View struct {
	// Revision is the configuration's revision.
	Revision uint64
	// VMs are the registered VMs by id.
	VMs map[string]fleet.VM
}

// Event is an input of Step.
type Event interface{ event() }

type (
	// Assigned brings an assignment of the shard; old versions are ignored.
	Assigned struct{ Assignment fleet.Assignment }
	// FleetChanged brings a new view of the fleet.
	FleetChanged struct{ View *View }
	// LeaseRenewed brings a new end of the VM's lease.
	LeaseRenewed struct{ Until time.Duration }
	// Tick drives timers; the adapter sends it every TickInterval.
	Tick struct{}

	// BeginRequest asks for a program's turn.
	BeginRequest struct {
		ID   uint64
		Call program.BeginCall
	}
	// AbandonRequest withdraws a BeginRequest whose ticket was never received.
	AbandonRequest struct {
		ID      uint64
		Program program.Ref
		Lineage bool
		Request string
	}
	// FinishRequest settles a call.
	FinishRequest struct {
		ID     uint64
		Finish program.FinishCall
	}
	// EndRequest ends a program and its sub-agents.
	EndRequest struct {
		ID      uint64
		Program program.Ref
	}
	// HistoryRequest reads a program's history.
	HistoryRequest struct {
		ID      uint64
		Program program.Ref
	}
	// CrashRequest records or clears a crash suspect.
	CrashRequest struct {
		ID    uint64
		Crash program.Crash
	}
	// QuarantineRequest asks whether a request is quarantined.
	QuarantineRequest struct {
		ID           uint64
		Organisation string
		Fingerprint  uint64
	}
	// ReleaseDone confirms a Release.
	ReleaseDone struct{ Release program.Release }
	// HandoverRequest moves the ownership to another in-sync replica; with
	// Cancel the owner serves again if it still can.
	HandoverRequest struct{ Cancel bool }

	// AppendReceived is a message from the owner; ReplyAppend answers it.
	AppendReceived struct {
		ID      uint64
		Message Append
	}
	// CopyReceived is a message from the owner; ReplyCopy answers it.
	CopyReceived struct {
		ID      uint64
		Message Copy
	}
	// AppendAnswered brings the answer to SendAppend; Reply is nil if there is none.
	AppendAnswered struct {
		From   fleet.VMRef
		Epoch  uint64
		Number uint64
		Reply  *AppendReply
	}
	// CopyAnswered brings the answer to SendCopy; Reply is nil if there is none.
	CopyAnswered struct {
		From   fleet.VMRef
		Epoch  uint64
		Number uint64
		Reply  *CopyReply
	}
	// Asked says that control answered an Ask. Committed is false for any
	// failure, because it does not prove that the change is not committed later.
	Asked struct {
		Assignment fleet.Assignment
		Committed  bool
	}
)

// Effect is an output of Step.
type Effect interface{ effect() }

type (
	// SendAppend sends a message to a replica.
	SendAppend struct {
		To      fleet.VMRef
		Number  uint64
		Message Append
	}
	// SendCopy sends a part of a copy to a replica.
	SendCopy struct {
		To      fleet.VMRef
		Number  uint64
		Message Copy
	}
	// ReplyAppend answers AppendReceived.
	ReplyAppend struct {
		ID    uint64
		Reply AppendReply
	}
	// ReplyCopy answers CopyReceived.
	ReplyCopy struct {
		ID    uint64
		Reply CopyReply
	}
	// ReplyBegin answers BeginRequest.
	ReplyBegin struct {
		ID     uint64
		Result program.BeginResult
	}
	// Reply answers any other request.
	Reply struct {
		ID          uint64
		Err         error
		History     []byte
		Quarantined bool
	}
	// Ask proposes an assignment to control, which accepts it only if its
	// version directly follows the current one.
	Ask struct{ Assignment fleet.Assignment }
	// ReleaseMemory asks targets for the memory of an ended program; the
	// adapter answers with ReleaseDone.
	ReleaseMemory struct{ Release program.Release }
	// Note reports an event for the log and the metrics.
	Note struct {
		// Name is the event's name.
		Name string
		// Peer is the replica concerned, if any.
		Peer fleet.VMRef
		// Program is the program concerned, if any.
		Program program.Ref
		// Sequence is the call or record concerned, if any.
		Sequence uint64
		// Warning marks events that an operator should see.
		Warning bool
	}
)

func (Assigned) event()          {}
func (FleetChanged) event()      {}
func (LeaseRenewed) event()      {}
func (Tick) event()              {}
func (BeginRequest) event()      {}
func (AbandonRequest) event()    {}
func (FinishRequest) event()     {}
func (EndRequest) event()        {}
func (HistoryRequest) event()    {}
func (CrashRequest) event()      {}
func (QuarantineRequest) event() {}
func (ReleaseDone) event()       {}
func (HandoverRequest) event()   {}
func (AppendReceived) event()    {}
func (CopyReceived) event()      {}
func (AppendAnswered) event()    {}
func (CopyAnswered) event()      {}
func (Asked) event()             {}

func (SendAppend) effect()    {}
func (SendCopy) effect()      {}
func (ReplyAppend) effect()   {}
func (ReplyCopy) effect()     {}
func (ReplyBegin) effect()    {}
func (Reply) effect()         {}
func (Ask) effect()           {}
func (ReleaseMemory) effect() {}
func (Note) effect()          {}
