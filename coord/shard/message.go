package shard

import (
	"time"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
)

// Record is one entry of a shard's log.
type Record struct {
	// Index is the record's place in the log.
	Index uint64 `json:"index"`
	// Epoch is the epoch of the owner that wrote the record.
	Epoch uint64 `json:"epoch"`
	// Time is the shard time of the record.
	Time time.Duration `json:"time"`
	// Change is the record's content.
	Change program.Change `json:"change"`
}

// size approximates the record's size in a message.
func (r *Record) size() int {
	n := recordOverhead
	if s := r.Change.Settle; s != nil {
		n += len(s.HistoryDelta)
		if s.Response != nil {
			n += len(s.Response.Body)
		}
	}
	return n
}

// Header identifies the ownership under which a message was sent.
type Header struct {
	// Shard is the shard's number.
	Shard int `json:"shard"`
	// From is the owner.
	From fleet.VMRef `json:"from"`
	// To is the replica; another incarnation of the same VM refuses the message.
	To fleet.VMRef `json:"to"`
	// Epoch is the owner's epoch.
	Epoch uint64 `json:"epoch"`
	// Version is the version of the owner's assignment.
	Version uint64 `json:"version"`
	// Time is the owner's shard time.
	Time time.Duration `json:"time"`
}

// Append carries records from the owner to a replica; without records it is a heartbeat.
type Append struct {
	Header
	// Previous and PreviousEpoch name the record before the first one.
	Previous      uint64 `json:"previous"`
	PreviousEpoch uint64 `json:"previous_epoch"`
	// Commit is the last record that all in-sync replicas hold.
	Commit uint64 `json:"commit"`
	// Records follow Previous without a gap.
	Records []Record `json:"records,omitempty"`
}

// Status is a replica's answer to a message.
type Status string

const (
	// OK means that the replica holds the log up to Last.
	OK Status = "ok"
	// Stale means that the replica knows a later epoch.
	Stale Status = "stale_epoch"
	// Gap means that the record before the first one is missing; Last is the place to continue from.
	Gap Status = "gap"
	// NeedCopy means that the replica holds no usable state.
	NeedCopy Status = "need_copy"
	// WrongVM means that the message was addressed to another incarnation.
	WrongVM Status = "wrong_vm"
)

// AppendReply answers Append.
type AppendReply struct {
	Status Status `json:"status"`
	// Epoch is the latest epoch that the replica knows.
	Epoch uint64 `json:"epoch"`
	// Last is the last record that the replica is known to share with the owner.
	Last uint64 `json:"last,omitempty"`
}

// Copy carries a part of a full copy. The parts may contain effects of records
// after Start; each program skips those when the log is replayed from Start.
type Copy struct {
	Header
	// ID distinguishes the copies that one owner sends.
	ID uint64 `json:"id"`
	// Part counts from 0.
	Part int `json:"part"`
	// Start and StartEpoch name the record after which the log must be replayed.
	Start      uint64 `json:"start"`
	StartEpoch uint64 `json:"start_epoch"`
	// Images are copied programs.
	Images []program.Image `json:"images,omitempty"`
	// Suspects are the crash suspects, in the final part.
	Suspects []program.SuspectImage `json:"suspects,omitempty"`
	// Final marks the last part.
	Final bool `json:"final,omitempty"`
	// End is the last record whose effects the copy may contain, in the final part.
	End uint64 `json:"end,omitempty"`
}

// CopyReply answers Copy.
type CopyReply struct {
	// Status is OK, Stale, WrongVM, or NeedCopy when the copy has to start again.
	Status Status `json:"status"`
	// Epoch is the latest epoch that the replica knows.
	Epoch uint64 `json:"epoch"`
	// ID and Part repeat those of the message.
	ID   uint64 `json:"id"`
	Part int    `json:"part"`
}

const (
	// recordOverhead is the approximate size of a record besides its body.
	recordOverhead = 300
	// maxAppendBytes bounds the records of one message.
	maxAppendBytes = 1 << 20
	// copyPartBytes is the approximate size at which a part of a copy is sent.
	copyPartBytes = 256 << 10
)
