package ledger

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/server/compact"
)

// Preface is sent first on a connection from an entry to a store VM. The connection
// carries compact binary messages instead of JSON, because every request of the
// deployment causes several of them.
const Preface = "HVL4"

// BudgetExhausted is the refusal of a turn that the program's budget does not cover.
const BudgetExhausted dispatch.Refusal = "budget_exhausted"

// UnknownTurn is the refusal of a turn whose previous turn does not exist or belongs to
// another organisation. The ledger is certain of that.
const UnknownTurn dispatch.Refusal = "unknown_turn"

// messageKind is the type of a message. Its values are part of the protocol.
type messageKind byte

const (
	// kindAdmit requests a target; kindAdmitResponse is the response.
	kindAdmit messageKind = iota + 1
	kindAdmitResponse
	// kindConfirm requests the outcome of a reservation again, for example after a
	// change of leader; kindReservationOutcome reports it.
	kindConfirm
	kindReservationOutcome
	// kindDone reports how a request ended.
	kindDone
	// kindPing asks whether the store VM is the leader and admits requests; kindPong
	// confirms that it does. The first ping of a connection carries a hello.
	kindPing
	kindPong
	// kindNotLeader names the leader; the entry then closes the connection.
	kindNotLeader
	// kindKeep records which store VMs hold a turn; kindKeepOutcome is the response.
	kindKeep
	kindKeepOutcome
	// kindTargetRates reports rate limits that targets have stated.
	kindTargetRates
	// kindOrigins repeats the origins of streams to a new leader.
	kindOrigins
	// kindLeaving reports targets that have stated that they leave, and repeats them to a new
	// leader.
	kindLeaving
	// kindLosses reports lost responses, and repeats them to a new leader.
	kindLosses
	// kindLoad tells an entry that the leader is overloaded. Earlier releases ignore it.
	kindLoad
	// kindNewRelease tells a store VM that the entry, which has connected in the form of an
	// earlier release, knows the current one. Earlier releases ignore it; others close the
	// connection.
	kindNewRelease
	// kindCatalogRevision states the revision of the leader's catalog for the grants that
	// follow, before the first one and when it has changed. Earlier releases ignore it.
	kindCatalogRevision
	// kindBreaks reports connections to targets that were refused or broke off, and repeats
	// them to a new leader. Earlier builds ignore it, and the next two.
	kindBreaks
	// kindServing reports incarnations that have survived the breaks which the entry noticed.
	kindServing
	// kindSameProcess announces an admission request with AdmitRequest.SameProcess.
	kindSameProcess
	// kindCold reports targets that have stated that they are cold, and repeats them to a new
	// leader. Earlier releases ignore it.
	kindCold
	// kindSettlements introduces an entry that repeats its settlements until they are
	// acknowledged, and repeats them; kindSettled acknowledges them. Earlier releases ignore both.
	kindSettlements
	kindSettled
	// kindAffinity announces an admission request with dispatch.Request.Affinity. Earlier releases
	// ignore it.
	kindAffinity
)

// AdmitRequest requests a target and starts to reserve the tokens of the turn. The
// response does not wait for the reservation to be written to disk: the turn may
// start, but none of its tokens may reach the caller before the reservation is durable.
type AdmitRequest struct {
	dispatch.Request
	// Attempt is the number of targets that were tried before.
	Attempt int
	// Reserve is the reservation of a turn with a budget; otherwise nil.
	Reserve *ledger.Reserve
	// PreviousTurn is the id of the turn whose history the request continues; empty if
	// there is none.
	PreviousTurn string
}

// AdmitResponse is the outcome of an admission.
type AdmitResponse struct {
	// ID and Attempt are those of the request.
	ID      string
	Attempt int
	// Target is the id of the target that the request is granted to, and Address
	// its network address. Both are empty for a refused request.
	Target  string
	Address string
	// Refusal is the reason why the request does not run; empty if it is granted.
	Refusal dispatch.Refusal
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
	// Waited is how long the request was queued.
	Waited time.Duration
	// Cached is the number of prompt tokens that the target is expected to have
	// cached.
	Cached int64
	// Software is the version of the target's software, and StartedUnixMS the start of its
	// process in Unix milliseconds.
	Software      string
	StartedUnixMS int64
	// Reason explains the choice of the target, for logs.
	Reason string
	// Holders are the storages that hold the record of the previous turn.
	Holders []string
	// RateLimit is the rate limit of the target that the leader knows, in requests per
	// second; nil if it knows none.
	RateLimit *float64
	// CatalogRevision is the revision of the leader's catalog in which the target is listed; 0
	// if the leader states none. It is not part of the message, whose length earlier releases
	// check, but of the catalogRevision message before it.
	CatalogRevision uint64 `msgpack:"-"`
}

// catalogRevision states the revision of the leader's catalog for the grants that follow on
// the connection.
type catalogRevision struct {
	Revision uint64
}

// TargetRate reports what a target's response says about its rate limit.
type TargetRate struct {
	// Target is the id of the target.
	Target string
	// PerSecond is the limit in requests per second for all VMs together; nil if the
	// response states none.
	PerSecond *float64
	// Request is the id of the request; empty if the limit is repeated to a new leader.
	Request string
}

// streamOrigin tells a new leader what began a stream.
type streamOrigin struct {
	// Request is the id of the request that began the stream.
	Request string
	// Target is the id of the target that began it.
	Target string
	Origin dispatch.Origin
	// Left is the time until the deadline of the request.
	Left time.Duration
}

// reservationOutcome reports the outcome of a reservation.
type reservationOutcome struct {
	// ID is the id of the request.
	ID string
	// State is never zero in a message.
	State reservationState
}

// reservationState is the outcome of a reservation; zero while it is pending.
type reservationState int8

const (
	// stateDurable means that the reservation is stored on a quorum of disks.
	stateDurable reservationState = iota + 1
	// stateExhausted means that the budget does not cover the turn.
	stateExhausted
	// stateUnknown means that the reservation was not confirmed and has to be
	// requested again.
	stateUnknown
)

// keepRequest records which store VMs hold a turn.
type keepRequest struct {
	// Number identifies the request on its connection; unansweredKeep if the entry does not wait
	// for the outcome.
	Number uint64
	Keep   history.Keep
}

// unansweredKeep is the number of a keepRequest that needs no response. Earlier releases send
// one, which the entry ignores.
const unansweredKeep = 0

// keepOutcome is the response to a keepRequest.
type keepOutcome struct {
	Number uint64
	State  keepState
}

// keepState is the outcome of a keepRequest.
type keepState int8

const (
	// keepDurable means that the directory on a quorum of disks has the turn.
	keepDurable keepState = iota + 1
	// keepRefused means that a holder is retired, so that others must be used.
	keepRefused
	// keepUnknown means that the change was not confirmed and has to be requested again.
	keepUnknown
)

// DoneReport reports how a request ended at a target.
type DoneReport struct {
	// ID and Target identify the grant. Target is empty for a request that was
	// still queued.
	ID     string
	Target string
	// Result is the way in which the request ended at the target.
	Result dispatch.Result
	// Units is the amount of work that the target did: the tokens of an engine, or
	// 1 for a plain service.
	Units int64
	// Settle is set in the last report about a turn with a budget.
	Settle *ledger.Settle
}

// hello is the payload of the first ping of a connection.
type hello struct {
	// LostLeader is the address of a leader that the entry cannot reach. A store VM that
	// knows no other leader delays its response until it does.
	LostLeader string
}

// welcome is the payload of the response to the first ping of a connection.
type welcome struct {
	// Members are the addresses of the store VMs that hold a replica of the ledger, one of
	// which is the next leader.
	Members []string
}

// notLeader is the response to any message while the store VM does not admit requests.
type notLeader struct {
	// Leader is the address of the leader; empty if unknown.
	Leader string
	// Members are as in welcome.
	Members []string
}

// maxMessageBytes bounds the size of one message.
const maxMessageBytes = 1 << 20

const (
	// maxListBytes bounds the size of a list of items in one message. It leaves room for a last
	// item of the size of a request's header.
	maxListBytes = maxMessageBytes / 2
	// itemBytes is what an item of a list needs at most besides its texts.
	itemBytes = 128
)

// divide divides items into lists that fit into one message each. textBytes returns the size of
// the texts of an item: the ids of requests and programs come from callers and are bounded only by
// the size of a request's header.
func divide[T any](items []T, textBytes func(T) int) [][]T {
	var lists [][]T
	for first, size := 0, 0; first < len(items); size = 0 {
		end := first
		for end < len(items) && size < maxListBytes {
			size += itemBytes + textBytes(items[end])
			end++
		}
		lists = append(lists, items[first:end])
		first = end
	}
	return lists
}

var errMessageTooLarge = errors.New("message is too large")

// encode returns a message: its length as a varint, its kind, and the encoded value.
func encode(k messageKind, value any) ([]byte, error) {
	var payload []byte
	if value != nil {
		var err error
		if payload, err = compact.Marshal(value); err != nil {
			return nil, fmt.Errorf("encode message %d: %w", k, err)
		}
	}
	return frame(k, payload), nil
}

// frame returns a message with an encoded value.
func frame(k messageKind, payload []byte) []byte {
	message := binary.AppendUvarint(make([]byte, 0, len(payload)+binary.MaxVarintLen32+1), uint64(len(payload)+1))
	message = append(message, byte(k))
	return append(message, payload...)
}

// decode reads one message and returns its kind and payload.
func decode(r *bufio.Reader) (messageKind, []byte, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return 0, nil, err
	}
	if size == 0 || size > maxMessageBytes {
		return 0, nil, errMessageTooLarge
	}
	message := make([]byte, size)
	if _, err := io.ReadFull(r, message); err != nil {
		return 0, nil, err
	}
	return messageKind(message[0]), message[1:], nil
}
