package ledger

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/server/compact"
)

// Preface begins a connection between an entry and a store VM. Every request
// of the deployment crosses it several times, so it carries compact binary
// messages instead of JSON.
const Preface = "HVL1"

// BudgetExhausted is the refusal of a turn that the program's budget does not hold.
const BudgetExhausted dispatch.Refusal = "budget_exhausted"

// kind is the type of a message.
type kind byte

const (
	// kindAdmit asks for a target; kindOutcome answers it.
	kindAdmit kind = iota + 1
	kindOutcome
	// kindConfirm asks for a reservation again after a change of leader;
	// kindDurable reports the outcome of a reservation.
	kindConfirm
	kindDurable
	// kindDone reports how a request ended.
	kindDone
	// kindPing is answered by kindPong while the store VM leads.
	kindPing
	kindPong
	// kindNotLeader names the leader and ends the connection.
	kindNotLeader
)

// AdmitRequest asks for a target and begins to reserve the turn's tokens. The
// answer does not wait for the disks: the turn may start, but none of its
// tokens may reach the caller before the reservation is durable.
type AdmitRequest struct {
	dispatch.Request
	// Attempt counts the targets that were tried for the request.
	Attempt int
	// Reserve is set for turns with a budget.
	Reserve *ledger.Reserve
}

// AdmitResponse is the outcome of an admission.
type AdmitResponse struct {
	// ID and Attempt are the request's.
	ID      string
	Attempt int
	// Target and Address say where the request runs.
	Target  string
	Address string
	// Refusal says that it does not run.
	Refusal dispatch.Refusal
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	// Waited is how long the request was held back.
	Waited time.Duration
	// Cached is how many tokens of the prompt the target is expected to hold.
	Cached int64
	// Reason explains the choice of the target.
	Reason string
}

// durable is the outcome of a reservation.
type durable struct {
	ID string
	// State is one of the constants below.
	State durableState
}

type durableState int8

const (
	// stateDurable means that a quorum of disks holds the reservation.
	stateDurable durableState = iota + 1
	// stateExhausted means that the budget does not hold the turn.
	stateExhausted
	// stateUnknown means that the reservation has to be asked for again.
	stateUnknown
)

// End is how one request ended at one target.
type End struct {
	// ID and Target identify the grant; Target is empty for a request that was still waiting.
	ID     string
	Target string
	// Result is what the target did.
	Result dispatch.Result
	// Units is the work that the target did: tokens of an engine, 1 for a plain service.
	Units int64
	// Settle is set with the last end of a turn with a budget.
	Settle *ledger.Settle
}

// notLeader names the leader, if known.
type notLeader struct {
	Leader string
}

// maxMessage bounds one message in bytes.
const maxMessage = 1 << 20

var errMessageTooLarge = errors.New("message is too large")

// encode appends a message with its length and kind.
func encode(k kind, value any) ([]byte, error) {
	var payload []byte
	if value != nil {
		var err error
		if payload, err = compact.Marshal(value); err != nil {
			return nil, fmt.Errorf("encode message %d: %w", k, err)
		}
	}
	message := binary.AppendUvarint(make([]byte, 0, len(payload)+binary.MaxVarintLen32+1), uint64(len(payload)+1))
	message = append(message, byte(k))
	return append(message, payload...), nil
}

// decode reads one message.
func decode(r *bufio.Reader) (kind, []byte, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return 0, nil, err
	}
	if size == 0 || size > maxMessage {
		return 0, nil, errMessageTooLarge
	}
	message := make([]byte, size)
	if _, err := io.ReadFull(r, message); err != nil {
		return 0, nil, err
	}
	return kind(message[0]), message[1:], nil
}
