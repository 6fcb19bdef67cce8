package forward

import (
	"context"
	"net"
	"net/http"
	"time"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/coord/routing"
	ledgerhost "hemlockvale.dev/server/ledger"
	"hemlockvale.dev/server/registry"
	"hemlockvale.dev/server/relay"
)

// exchange is the state of one request in progress.
type exchange struct {
	entry        *Entry
	view         *registry.View
	call         Call
	route        *routing.Route
	organisation *routing.Organisation
	writer       http.ResponseWriter
	request      *http.Request
	body         net.Buffers
	// held are the bytes that are buffered for the request.
	held holdings
	ctx  context.Context
	// startedAt and deadline are times of bootclock.
	startedAt time.Duration
	deadline  time.Duration
	record    record

	service     *routing.Service
	reservation *ledger.Reserve
	// confirmation receives the outcome of the reservation. It is nil if the request has
	// no reservation or if the reservation is known to be durable.
	confirmation        chan error
	confirmationStarted bool
	// attempt is the number of the latest admission.
	attempt         int
	excludedTargets []string
	// offer is the offer with which another entry passed the request on; nil if there is none.
	offer *relay.Offer
	// ignorePaths is set once no other entry takes the request, so that targets are tried
	// that seem to be unreachable.
	ignorePaths bool
	// mayHaveRun is set when a target gets the request and does not report that it did
	// not run it. It is never cleared: a later target knows nothing about an earlier one.
	mayHaveRun bool
	// ranAt is the number of targets of this entry that may have run the request, and counted
	// is set once the current one is among them.
	ranAt   int
	counted bool
	// resumes and refusals are how often the stream broke off at the current target, and how
	// often the target was full when the stream should go on there.
	resumes, refusals int
	// conn is the connection on which the request was sent last, and streamSentAt when that
	// request was sent whose response was relayed last, on the boot clock. older is a connection
	// to its target that was opened before; nil if the stream is not continued on one.
	conn, older  *conn
	streamSentAt time.Duration
	// unanswered is set from the first byte that a target gets of the request until its
	// response is complete, or reports that the request did not run. headReceived is set once
	// the head of the response has arrived. sentAt is when the request was sent, on the boot
	// clock.
	unanswered, headReceived bool
	sentAt                   time.Duration
	// events counts the data events of a stream that were relayed to the caller, and
	// lastEventID is the id of the latest event that has one.
	events      int64
	lastEventID string
	// granted is the latest grant, which arrived at grantedAt.
	granted   ledgerhost.AdmitResponse
	grantedAt time.Time
	// grantedAfter is a time of bootclock before which the latest grant was not made.
	grantedAfter time.Duration
	// origin is what began the stream of which events were relayed; nil if none were.
	origin *dispatch.Origin
	// streamed is set once the whole stream has been relayed.
	streamed bool
	history  turnHistory
	// responseStarted is set once the caller has been sent a target's status and headers.
	responseStarted bool
	// callerStalled is set once the caller's connection is closed because it does not read.
	callerStalled bool
}
