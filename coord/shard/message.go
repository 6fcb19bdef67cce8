package shard

import (
	"time"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
)

// Record is an entry of a shard's log.
type Record struct {
	// Index is the record's position in the log.
	Index uint64 `json:"index"`
	// Epoch is the epoch of the owner that wrote the record.
	Epoch uint64 `json:"epoch"`
	// Time is the shard time of the record.
	Time time.Duration `json:"time"`
	// Change is the state change that the record applies to the program table.
	Change program.Change `json:"change"`
}

// size returns the record's approximate encoded size in bytes.
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

// Header identifies the sender and recipient of a message, and the ownership under
// which it was sent.
type Header struct {
	// Shard is the shard's number.
	Shard int `json:"shard"`
	// From is the owner.
	From fleet.VMRef `json:"from"`
	// To is the replica. Another incarnation of the same VM refuses the message.
	To fleet.VMRef `json:"to"`
	// Epoch is the owner's epoch.
	Epoch uint64 `json:"epoch"`
	// Version is the version of the owner's assignment.
	Version uint64 `json:"version"`
	// Time is the owner's shard time.
	Time time.Duration `json:"time"`
}

// Append carries records from the owner to a replica. Without records it is a
// heartbeat.
type Append struct {
	Header
	// Previous and PreviousEpoch identify the record before the first one.
	Previous      uint64 `json:"previous"`
	PreviousEpoch uint64 `json:"previous_epoch"`
	// Commit is the index of the last record that all in-sync replicas hold.
	Commit uint64 `json:"commit"`
	// Records follow Previous without gaps in their indexes.
	Records []Record `json:"records,omitempty"`
}

// Status is the result that a replica returns for a message.
type Status string

const (
	// OK means that the replica holds the log up to Last.
	OK Status = "ok"
	// Stale means that the replica knows a later epoch, or owns the shard itself.
	Stale Status = "stale_epoch"
	// Gap means that the record before the first one is missing or differs. The owner
	// continues after Last.
	Gap Status = "gap"
	// NeedCopy means that the replica needs a full copy, because it holds no complete
	// state or its state conflicts with the owner's log.
	NeedCopy Status = "need_copy"
	// WrongVM means that the message was addressed to another incarnation.
	WrongVM Status = "wrong_vm"
)

// AppendReply answers Append.
type AppendReply struct {
	Status Status `json:"status"`
	// Epoch is the latest epoch that the replica knows.
	Epoch uint64 `json:"epoch"`
	// Last is the index of the last record shared with the owner if Status is OK, and
	// the index after which the owner should continue if Status is Gap.
	Last uint64 `json:"last,omitempty"`
}

// Copy carries one part of a full copy. The parts may contain effects of records
// after Start. When the log is replayed from Start, each program skips the records
// that it already contains.
type Copy struct {
	Header
	// ID distinguishes the copies that one owner sends.
	ID uint64 `json:"id"`
	// Part is the number of the part, from 0.
	Part int `json:"part"`
	// Start and StartEpoch identify the record after which the log must be replayed.
	Start      uint64 `json:"start"`
	StartEpoch uint64 `json:"start_epoch"`
	// Images are the programs in this part.
	Images []program.Image `json:"images,omitempty"`
	// Suspects are the crash suspects. They are set in the final part only.
	Suspects []program.SuspectImage `json:"suspects,omitempty"`
	// Final marks the last part.
	Final bool `json:"final,omitempty"`
	// End is the index of the last record whose effects the copy may contain. It is set
	// in the final part only.
	End uint64 `json:"end,omitempty"`
}

// CopyReply answers Copy.
type CopyReply struct {
	// Status is OK, Stale, WrongVM, or NeedCopy if the copy has to start again.
	Status Status `json:"status"`
	// Epoch is the latest epoch that the replica knows.
	Epoch uint64 `json:"epoch"`
	// ID and Part are those of the message.
	ID   uint64 `json:"id"`
	Part int    `json:"part"`
}

const (
	// recordOverhead is the approximate size of a record in bytes, without its history
	// and response body.
	recordOverhead = 300
	// maxAppendBytes limits the total record size of one message.
	maxAppendBytes = 1 << 20
	// copyPartBytes is the approximate size of one part of a copy.
	copyPartBytes = 256 << 10
)
