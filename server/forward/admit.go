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

// admit asks the ledger for a target and answers the caller if there is none.
func (x *exchange) admit() (ledgerhost.AdmitResponse, bool) {
	request := ledgerhost.AdmitRequest{Attempt: x.attempt, Reserve: x.reserve}
	request.ID, request.Service, request.Priority = x.call.ID, x.service.Name, x.route.Priority
	request.Program, request.RoutePriority = x.call.Program, x.route.Priority
	request.Fingerprint = x.fingerprint()
	// Only a turn can begin a program; the ledger's leader knows whether it does.
	request.ContinuesProgram = x.call.Program != "" && x.reserve == nil
	request.TimeLeft, request.DataCentre, request.Exclude = x.left(), x.entry.o.DataCentre, x.excluded
	if x.org != nil {
		request.Organisation = x.org.Name
		request.Limits = dispatch.Limits{Version: x.view.Table.Version(), RatePerSecond: x.org.RatePerSecond, Burst: x.org.Burst}
		if x.org.Priority != nil {
			request.Priority = *x.org.Priority
		}
	}
	if x.call.ProgramTimed {
		request.ProgramTimeLeft = cmp.Or(x.call.ProgramTimeLeft-(bootclock.Now()-x.began), -1)
	}
	if x.service.Engine != nil {
		request.Parts, request.OutputTokens = x.call.Parts, x.call.OutputTokens
	}
	asked := bootclock.Now()
	answer, err := x.entry.o.Ledger.Admit(x.ctx, request)
	x.record.admit += bootclock.Now() - asked
	x.record.waited += answer.Waited
	if err != nil {
		x.leaveQueue()
		x.giveUp()
		return answer, false
	}
	switch {
	case answer.Refusal == "":
		x.confirm()
		return answer, true
	case x.sent || x.started:
		// A target may have run the request, so no refusal would be true.
		x.giveUp()
	case answer.Refusal == dispatch.OverRate:
		x.refuse(http.StatusTooManyRequests, string(answer.Refusal), answer.RetryAfter)
	case answer.Refusal == ledgerhost.BudgetExhausted:
		x.refuse(http.StatusPaymentRequired, string(answer.Refusal), 0)
	default:
		x.refuse(http.StatusServiceUnavailable, string(answer.Refusal), answer.RetryAfter)
	}
	return answer, false
}

// fingerprint identifies the request's content, which stays the same when its caller sends it again.
func (x *exchange) fingerprint() uint64 {
	d := xxhash.New()
	organisation := ""
	if x.org != nil {
		organisation = x.org.Name
	}
	// Writes to a digest never fail.
	_, _ = d.WriteString(organisation + "\n" + x.read.Method + " " + x.read.RequestURI + "\n")
	_, _ = d.Write(x.body)
	return max(d.Sum64(), 1)
}

// confirm begins to wait for the reservation while the target works.
func (x *exchange) confirm() {
	if x.reserve == nil || x.attempt > 0 {
		return
	}
	x.confirmed = make(chan error, 1)
	confirmed, ctx, reserve := x.confirmed, x.ctx, *x.reserve
	go func() { confirmed <- x.entry.o.Ledger.Confirm(ctx, reserve) }()
}

// durable waits until the reservation is durable.
func (x *exchange) durable() error {
	if x.confirmed == nil {
		return nil
	}
	err := <-x.confirmed
	if err == nil {
		x.confirmed = nil
		return nil
	}
	// Later events must not pass either.
	x.confirmed <- err
	return fmt.Errorf("reservation: %w", err)
}

// leaveQueue ends an admission that may still be waiting.
func (x *exchange) leaveQueue() {
	x.entry.o.Ledger.Done(ledgerhost.DoneReport{ID: x.call.ID, Result: dispatch.Abandoned, Settle: ledgerhost.Settlement(x.reserve, x.used())})
}

// used returns the tokens that the caller has received.
func (x *exchange) used() int64 {
	if x.service == nil || x.service.Engine == nil {
		return 0
	}
	return x.events * x.service.Engine.TokensPerEvent
}

// done reports how the request ended at a target; the last report settles the budget.
func (x *exchange) done(target string, result dispatch.Result, last bool) {
	end := ledgerhost.DoneReport{ID: x.call.ID, Target: target, Result: result, Units: 1}
	if x.service.Engine != nil {
		end.Units = x.used()
	}
	if last {
		end.Settle = ledgerhost.Settlement(x.reserve, x.used())
	}
	x.entry.o.Ledger.Done(end)
	x.record.tried = append(x.record.tried, target+":"+string(result))
}
