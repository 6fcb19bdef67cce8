package forward

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/bootclock"
	ledgerhost "hemlockvale.dev/server/ledger"
)

// newAdmitRequest describes the request to the ledger.
func (x *exchange) newAdmitRequest() ledgerhost.AdmitRequest {
	request := ledgerhost.AdmitRequest{Attempt: x.attempt, Reserve: x.reservation, PreviousTurn: x.previousTurn()}
	request.ID, request.Service, request.Priority = x.call.ID, x.service.Name, x.route.Priority
	request.Program, request.RoutePriority = x.call.Program, x.route.Priority
	request.Fingerprint = x.fingerprint()
	// Only a request with a reservation can start a program, and only the ledger's
	// leader can tell whether it does.
	request.ContinuesProgram = x.call.Program != "" && x.reservation == nil
	request.TimeLeft, request.DataCentre, request.Exclude = x.timeLeft(), x.entry.options.DataCentre, x.excludedTargets
	if x.organisation != nil {
		request.Organisation = x.organisation.Name
		request.Limits = dispatch.Limits{Version: x.view.Table.Version(), RatePerSecond: x.organisation.RatePerSecond, Burst: x.organisation.Burst}
		if x.organisation.Priority != nil {
			request.Priority = *x.organisation.Priority
		}
	}
	if x.call.ProgramTimed {
		request.ProgramTimeLeft = cmp.Or(x.call.ProgramTimeLeft-(bootclock.Now()-x.startedAt), -1)
	}
	if x.service.Engine != nil {
		request.Parts, request.OutputTokens = x.call.Parts, x.call.OutputTokens
	}
	if x.route.Sticky && len(request.Parts) == 0 {
		request.Affinity = affinityOf(x.call.AffinityKey)
	}
	if !x.ignorePaths {
		request.Unreachable = x.entry.paths.unreachable(x.service.Name)
	}
	x.describeStream(&request)
	return request
}

// describeStream tells the ledger which stream the request begins or continues.
func (x *exchange) describeStream(request *ledgerhost.AdmitRequest) {
	request.Stream = x.route.Kind == routing.Streaming
	request.Continues = request.Stream && (x.origin != nil || x.call.LastEventID != "")
	if request.Continues {
		request.Origin, request.Resumes = x.origin, x.call.Resumes
	}
}

// askLedger sends an admission request and measures how long the ledger takes.
func (x *exchange) askLedger(ctx context.Context, request ledgerhost.AdmitRequest) (ledgerhost.AdmitResponse, error) {
	askedAt := bootclock.Now()
	response, err := x.entry.options.Ledger.Admit(ctx, request)
	x.grantedAt, x.grantedAfter = time.Now(), askedAt+response.Waited
	x.record.admitTime += bootclock.Now() - askedAt
	x.record.queueTime += response.Waited
	return response, err
}

// admit requests a target from the ledger. If other entries reach the targets, but this one
// doesn't, it passes the request on. It returns false, after responding to the caller, if
// the ledger grants no target.
func (x *exchange) admit() (ledgerhost.AdmitResponse, bool) {
	response, err := x.askLedger(x.ctx, x.newAdmitRequest())
	if err == nil && response.Refusal == dispatch.PathLost {
		x.attempt++
		if x.relay() {
			return response, false
		}
		x.ignorePaths = true
		response, err = x.askLedger(x.ctx, x.newAdmitRequest())
	}
	if err != nil {
		x.settle()
		x.failRequest()
		return response, false
	}
	if response.Refusal == "" {
		x.startConfirmation()
		return response, true
	}
	if x.attempt > 0 && x.reservation != nil {
		// The ledger releases the reservation only of a request that reached no target.
		x.settle()
	}
	switch {
	case x.mayHaveRun || x.responseStarted:
		// A target may have run the request, and a refusal would deny that.
		x.failRequest()
	case response.Refusal == dispatch.OverRate:
		x.respondError(http.StatusTooManyRequests, string(response.Refusal), response.RetryAfter)
	case response.Refusal == ledgerhost.UnknownTurn:
		x.refusePermanently(http.StatusNotFound, string(response.Refusal))
	case response.Refusal == ledgerhost.BudgetExhausted:
		x.respondError(http.StatusPaymentRequired, string(response.Refusal), 0)
	default:
		x.respondError(http.StatusServiceUnavailable, string(response.Refusal), response.RetryAfter)
	}
	return response, false
}

// fingerprint hashes the organisation, method, URI and body of the request. A
// request that its caller sends again has the same fingerprint.
func (x *exchange) fingerprint() uint64 {
	d := xxhash.New()
	organisation := ""
	if x.organisation != nil {
		organisation = x.organisation.Name
	}
	// Writes to an xxhash digest never fail.
	_, _ = d.WriteString(organisation + "\n" + x.request.Method + " " + x.request.RequestURI + "\n")
	for _, part := range x.body {
		_, _ = d.Write(part)
	}
	return max(d.Sum64(), 1)
}

// startConfirmation waits for the reservation to become durable in a goroutine,
// so that the target can start to run the request in the meantime.
func (x *exchange) startConfirmation() {
	if x.reservation == nil || x.confirmationStarted {
		return
	}
	x.confirmationStarted = true
	x.confirmation = make(chan error, 1)
	confirmation, ctx, reservation := x.confirmation, x.ctx, *x.reservation
	go func() { confirmation <- x.entry.options.Ledger.Confirm(ctx, reservation) }()
}

// awaitReservation blocks until the reservation is durable. It returns an error
// if the reservation failed.
func (x *exchange) awaitReservation() error {
	if x.confirmation == nil {
		return nil
	}
	err := <-x.confirmation
	if err == nil {
		x.confirmation = nil
		return nil
	}
	// The error is put back, so that later events are held back as well.
	x.confirmation <- err
	return fmt.Errorf("reservation: %w", err)
}

// settle sends the ledger the final settlement of a request that ends while it is at no
// target. It also withdraws a request that may still be in the ledger's queue.
func (x *exchange) settle() {
	x.entry.options.Ledger.Done(ledgerhost.DoneReport{ID: x.call.ID, Result: dispatch.Abandoned, Settle: ledgerhost.Settlement(x.reservation, x.deliveredTokens())})
}

// deliveredTokens returns the number of tokens that the caller has received.
func (x *exchange) deliveredTokens() int64 {
	if x.service == nil || x.service.Engine == nil {
		return 0
	}
	return x.events * x.service.Engine.TokensPerEvent
}

// reportedResult returns the result for the ledger. What fails at a VM that has lost its
// links does not count against the target.
func (x *exchange) reportedResult(r dispatch.Result) dispatch.Result {
	if r != dispatch.Unreachable && r != dispatch.Broken || !x.entry.paths.isolated() {
		return r
	}
	if r == dispatch.Unreachable {
		return dispatch.NoPath
	}
	return dispatch.Abandoned
}

// reportDone sends the ledger a done report about the request at one target. The
// final report also settles the reservation.
func (x *exchange) reportDone(target string, result dispatch.Result, final bool) {
	report := ledgerhost.DoneReport{ID: x.call.ID, Target: target, Result: x.reportedResult(result), Units: 1}
	if x.service.Engine != nil {
		report.Units = x.deliveredTokens()
	}
	if final {
		report.Settle = ledgerhost.Settlement(x.reservation, x.deliveredTokens())
	}
	x.entry.options.Ledger.Done(report)
	x.record.outcomes = append(x.record.outcomes, outcome{target, result})
}
