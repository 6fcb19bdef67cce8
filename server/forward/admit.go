package forward

import (
	"cmp"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/server/bootclock"
	ledgerhost "hemlockvale.dev/server/ledger"
)

// admit requests a target from the ledger. It returns false, after responding to
// the caller, if the ledger grants none.
func (x *exchange) admit() (ledgerhost.AdmitResponse, bool) {
	request := ledgerhost.AdmitRequest{Attempt: x.attempt, Reserve: x.reserve}
	request.ID, request.Service, request.Priority = x.call.ID, x.service.Name, x.route.Priority
	request.Program, request.RoutePriority = x.call.Program, x.route.Priority
	request.Fingerprint = x.fingerprint()
	// Only a request with a reservation can begin a program; the ledger's leader
	// determines whether it does.
	request.ContinuesProgram = x.call.Program != "" && x.reserve == nil
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
	askedAt := bootclock.Now()
	response, err := x.entry.options.Ledger.Admit(x.ctx, request)
	x.record.admitTime += bootclock.Now() - askedAt
	x.record.queueTime += response.Waited
	if err != nil {
		x.abandonAdmission()
		x.failRequest()
		return response, false
	}
	switch {
	case response.Refusal == "":
		x.startConfirmation()
		return response, true
	case x.mayHaveRun || x.responseStarted:
		// A target may have run the request, and a refusal would deny that.
		x.failRequest()
	case response.Refusal == dispatch.OverRate:
		x.refuse(http.StatusTooManyRequests, string(response.Refusal), response.RetryAfter)
	case response.Refusal == ledgerhost.BudgetExhausted:
		x.refuse(http.StatusPaymentRequired, string(response.Refusal), 0)
	default:
		x.refuse(http.StatusServiceUnavailable, string(response.Refusal), response.RetryAfter)
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
	_, _ = d.Write(x.body)
	return max(d.Sum64(), 1)
}

// startConfirmation waits for the reservation to become durable in a goroutine,
// so that the target can begin to work in the meantime.
func (x *exchange) startConfirmation() {
	if x.reserve == nil || x.attempt > 0 {
		return
	}
	x.confirmation = make(chan error, 1)
	confirmation, ctx, reserve := x.confirmation, x.ctx, *x.reserve
	go func() { confirmation <- x.entry.options.Ledger.Confirm(ctx, reserve) }()
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

// abandonAdmission withdraws an admission that may still wait in the ledger's queue.
func (x *exchange) abandonAdmission() {
	x.entry.options.Ledger.Done(ledgerhost.DoneReport{ID: x.call.ID, Result: dispatch.Abandoned, Settle: ledgerhost.Settlement(x.reserve, x.deliveredTokens())})
}

// deliveredTokens returns the number of tokens that the caller has received.
func (x *exchange) deliveredTokens() int64 {
	if x.service == nil || x.service.Engine == nil {
		return 0
	}
	return x.events * x.service.Engine.TokensPerEvent
}

// reportEnd reports to the ledger how the request ended at a target. The final
// report settles the program's token budget.
func (x *exchange) reportEnd(target string, result dispatch.Result, final bool) {
	end := ledgerhost.DoneReport{ID: x.call.ID, Target: target, Result: result, Units: 1}
	if x.service.Engine != nil {
		end.Units = x.deliveredTokens()
	}
	if final {
		end.Settle = ledgerhost.Settlement(x.reserve, x.deliveredTokens())
	}
	x.entry.options.Ledger.Done(end)
	x.record.outcomes = append(x.record.outcomes, target+":"+string(result))
}
