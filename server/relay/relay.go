// Package relay passes the requests of callers from an entry that can't reach any target to
// one that can. The connections carry HTTP after a short exchange, in which the other entry
// accepts the request or declines it: a request that was not accepted has not been sent.
//
// Each connection carries one request. An entry never relays a request that was relayed to
// it.
package relay

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"hemlockvale.dev/server/compact"
)

// Preface is sent first on a connection from an entry to another one.
const Preface = "HVR1"

const (
	// dialTimeout bounds a connection attempt to another entry, and offerTimeout the exchange
	// before the request.
	dialTimeout  = 200 * time.Millisecond
	offerTimeout = 300 * time.Millisecond
	// maxOfferBytes bounds the encoded size of an offer.
	maxOfferBytes = 1 << 10
)

// These are the responses to an offer.
const (
	accepted byte = 'y'
	declined byte = 'n'
)

var (
	// ErrDeclined means that the other entry does not take the request.
	ErrDeclined = errors.New("entry declined the request")
	// errOfferTooLarge is returned for an offer that exceeds maxOfferBytes.
	errOfferTooLarge = errors.New("offer is too large")
)

// Offer describes a request to the entry that should take it.
type Offer struct {
	// Request is the id of the request, and From the address of the offering VM, for logs.
	Request, From string
	// Version is the version of the configuration that the offering entry has applied.
	Version int64
	// Elapsed is the time since the offering entry has received the request.
	Elapsed time.Duration
	// Attempt is the number of admissions before, and Runs the number of targets that may
	// have run the request.
	Attempt, Runs int
}

// Dial offers a request to the entry at an RPC address. It returns a connection on which the
// request can be sent once, ErrDeclined, or another error if the entry can't be reached.
func Dial(ctx context.Context, address string, o Offer) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	if err := offer(conn, o); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", address, err), conn.Close())
	}
	return conn, nil
}

// offer sends an offer and waits for the response.
func offer(conn net.Conn, o Offer) error {
	payload, err := compact.Marshal(&o)
	if err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(offerTimeout)); err != nil {
		return err
	}
	message := binary.AppendUvarint([]byte(Preface), uint64(len(payload)))
	if _, err := conn.Write(append(message, payload...)); err != nil {
		return err
	}
	var response [1]byte
	if _, err := io.ReadFull(conn, response[:]); err != nil {
		return err
	}
	if response[0] != accepted {
		return ErrDeclined
	}
	return conn.SetDeadline(time.Time{})
}

// readOffer reads an offer.
func readOffer(r *bufio.Reader) (Offer, error) {
	var o Offer
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return o, err
	}
	if size > maxOfferBytes {
		return o, errOfferTooLarge
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return o, err
	}
	return o, compact.Unmarshal(payload, &o)
}
