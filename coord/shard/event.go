package shard

import (
	"errors"
	"time"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
)

// ErrNotOwner is the error for a request that this replica must not serve. Either
// the request changed nothing, or the next owner knows its outcome.
var ErrNotOwner = errors.New("not the shard's owner")

// View is the immutable part of the fleet's configuration that a replica uses.
type View struct {
	// Revision is the configuration's revision; 0 means that none is known yet.
	Revision uint64
	// VMs are the registered VMs by id.
	VMs map[string]fleet.VM
}

// Event is an input of Replica.Step. The ID of a request or message is returned in its
// reply.
type Event interface{ event() }

type (
	// Assigned delivers an assignment of the shard. Old versions are ignored.
	Assigned struct{ Assignment fleet.Assignment }
	// FleetChanged delivers a new view of the fleet.
	FleetChanged struct{ View *View }
	// LeaseRenewed extends the VM's lease until the given time on the clock that
	// Step is called with.
	LeaseRenewed struct{ Until time.Duration }
	// Tick drives timers. The adapter sends it every TickInterval.
	Tick struct{}

	// BeginRequest asks to start a call. A program runs one call at a time, so the
	// call may have to wait.
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
	// ReleaseDone reports that a release requested by ReleaseMemory is complete.
	ReleaseDone struct{ Release program.Release }
	// HandoverRequest starts to move the ownership to another in-sync replica. With
	// Cancel it ends an unfinished handover: the owner serves requests again if it
	// still owns the shard.
	HandoverRequest struct{ Cancel bool }

	// AppendReceived delivers an Append message from the owner. ReplyAppend answers it.
	AppendReceived struct {
		ID      uint64
		Message Append
	}
	// CopyReceived delivers a Copy message from the owner. ReplyCopy answers it.
	CopyReceived struct {
		ID      uint64
		Message Copy
	}
	// AppendDone reports the end of a SendAppend. Reply is nil if no reply arrived.
	AppendDone struct {
		From   fleet.VMRef
		Epoch  uint64
		Number uint64
		Reply  *AppendReply
	}
	// CopyDone reports the end of a SendCopy. Reply is nil if no reply arrived.
	CopyDone struct {
		From   fleet.VMRef
		Epoch  uint64
		Number uint64
		Reply  *CopyReply
	}
	// ProposalDone reports the end of a ProposeAssignment. Committed is false
	// for any failure; control may still commit the proposed assignment after a
	// failure.
	ProposalDone struct {
		Assignment fleet.Assignment
		Committed  bool
	}
)

// Effect is an output of Replica.Step.
type Effect interface{ effect() }

type (
	// SendAppend sends an Append message to a replica. Number identifies the message
	// in AppendDone.
	SendAppend struct {
		To      fleet.VMRef
		Number  uint64
		Message Append
	}
	// SendCopy sends one part of a full copy to a replica. Number identifies the
	// message in CopyDone.
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
		History     []byte // the program's history, for HistoryRequest
		Quarantined bool   // the request is quarantined, for QuarantineRequest
	}
	// ProposeAssignment proposes an assignment to control, which accepts it only if
	// its version is the current version plus one. ProposalDone reports the result.
	ProposeAssignment struct{ Assignment fleet.Assignment }
	// ReleaseMemory asks targets to release the memory of an ended program. The
	// adapter reports the end of the release with ReleaseDone.
	ReleaseMemory struct{ Release program.Release }
	// LogEvent logs an event and counts it in the metrics.
	LogEvent struct {
		// Name is the event's name.
		Name string
		// Peer is the replica concerned, if any.
		Peer fleet.VMRef
		// Program is the program concerned, if any.
		Program program.Ref
		// Sequence is the sequence number of the call or the index of the record
		// concerned, if any.
		Sequence uint64
		// Warning selects the warning level; otherwise the event is informational.
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
func (AppendDone) event()        {}
func (CopyDone) event()          {}
func (ProposalDone) event()      {}

func (SendAppend) effect()        {}
func (SendCopy) effect()          {}
func (ReplyAppend) effect()       {}
func (ReplyCopy) effect()         {}
func (ReplyBegin) effect()        {}
func (Reply) effect()             {}
func (ProposeAssignment) effect() {}
func (ReleaseMemory) effect()     {}
func (LogEvent) effect()          {}
