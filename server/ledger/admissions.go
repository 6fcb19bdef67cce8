package ledger

import (
	"cmp"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/logging"
)

// admission is an admission request and its outcome.
type admission struct {
	request AdmitRequest
	link    *link
	// receivedAt is on the boot clock.
	receivedAt time.Duration
	// inboxTime is how long the request waited for the decider.
	inboxTime time.Duration
	// starts is set for a request that does not belong to a started program.
	starts bool
	// cancelled is set once the caller has disconnected while the request was in the inbox.
	cancelled bool
	// response is nil while the request is queued; it was sent at finishedAt.
	response   *AdmitResponse
	finishedAt time.Duration
	// fairShare explains a refusal because of the organisation's share; otherwise nil.
	fairShare *dispatch.FairShare
	// holders are the storages that hold the record of the previous turn.
	holders []string
}

// admit decides about a request. A request that is repeated over another connection
// gets the outcome of the first one. The caller holds h.mu.
func (h *Host) admit(a *admission) {
	r := &a.request
	if existing := h.admissions[r.ID]; existing != nil && existing.request.Attempt == r.Attempt {
		existing.link = a.link
		h.watchReservation(r.Reserve, a.link)
		if existing.response != nil {
			a.link.sendResponse(existing.response)
		}
		return
	}
	h.admissions[r.ID] = a
	if h.isQuarantined(&r.Request) {
		h.finish(a, quarantinedResponse)
		return
	}
	holders, known := h.previousHolders(r)
	if !known {
		h.finish(a, AdmitResponse{Refusal: UnknownTurn})
		return
	}
	a.holders = holders
	if r.Reserve != nil {
		r.StartsProgram = h.options.Machine.charged(r.Reserve.Program) == 0 && len(h.proposedTokens[r.Reserve.Program]) == 0
		r.ContinuesProgram = !r.StartsProgram
		r.BudgetTurns = float64(r.Reserve.Budget) / float64(max(r.Reserve.Tokens, 1))
		if h.reserve(*r.Reserve, a.link) == nil {
			h.finish(a, h.refuseBudget(*r.Reserve))
			return
		}
		// Another entry may have made the reservation before it passed the request on.
		h.watchReservation(r.Reserve, a.link)
	}
	outcome := h.dispatcher.Admit(bootclock.Now(), r.Request)
	a.fairShare = outcome.FairShare
	if !outcome.Waiting() {
		h.finish(a, h.response(outcome))
	}
}

// finish sends the outcome of an admission to the entry and logs it.
func (h *Host) finish(a *admission, r AdmitResponse) {
	r.ID, r.Attempt, r.Holders = a.request.ID, a.request.Attempt, a.holders
	a.response, a.finishedAt = &r, bootclock.Now()
	if r.Refusal != "" && r.Refusal != dispatch.PathLost && a.request.Attempt == 0 {
		// After an earlier attempt, the entry settles what it has delivered. A request
		// whose path is lost is admitted again for another entry.
		h.releaseReservation(a)
	}
	a.link.sendResponse(&r)
	a.link.reportLoad()
	h.countOutcome(r)
	h.countAffinity(a, &r)
	if a.fairShare != nil {
		h.shareCounters.count(a.fairShare)
	}
	h.options.Log.WithFields(logrus.Fields{"event": "admission", "request": a.request.ID, "inputs": h.describe(a, &r)}).Info("admission decided")
}

// describe returns the inputs and the outcome of a decision for its log line.
func (h *Host) describe(a *admission, r *AdmitResponse) logging.Pairs {
	load := h.dispatcher.Load(a.request.Service)
	pairs := logging.Pairs(nil).
		Int("attempt", int64(a.request.Attempt)).Text("organisation", a.request.Organisation).Text("service", a.request.Service).
		Int("priority", int64(a.request.Priority)).Int("left_ms", a.request.TimeLeft.Milliseconds()).
		Int("running", int64(load.Running)).Int("waiting", int64(load.Waiting)).Int("slots", int64(load.Slots)).
		Int("view", int64(h.options.View().Revision)).Int("inbox_ms", a.inboxTime.Milliseconds()).Int("waited_ms", r.Waited.Milliseconds())
	if r.Target != "" {
		pairs = pairs.Text("target", r.Target).Text("reason", r.Reason).Int("cached", r.Cached)
	} else {
		pairs = pairs.Text("refusal", string(r.Refusal)).Int("retry_after_ms", r.RetryAfter.Milliseconds())
	}
	if a.fairShare != nil {
		pairs = pairs.Text("fair_share", fairShareText(a.fairShare))
	}
	if r.Refusal == Quarantined {
		pairs = pairs.Text("fingerprint", fingerprintText(a.request.Fingerprint))
	}
	if t, ok := h.options.View().Target(r.Target); ok {
		pairs = pairs.Bool("near", t.DataCentre == a.request.DataCentre).Text("software", t.Software)
	}
	if a.request.Affinity != 0 {
		pairs = pairs.Text("affinity", fingerprintText(a.request.Affinity))
	}
	if r.RateLimit != nil {
		pairs = pairs.Float("rate_limit", *r.RateLimit)
	}
	if a.request.Continues {
		pairs = pairs.Text("resumes", a.request.Resumes).Bool("same_target", a.request.Target != "")
	}
	if a.request.Program != "" {
		pairs = pairs.Text("program", a.request.Program).Int("program_left_ms", a.request.ProgramTimeLeft.Milliseconds()).
			Text("standing", h.dispatcher.DeadlineStatus(bootclock.Now(), &a.request.Request))
	}
	if reserve := a.request.Reserve; reserve != nil {
		pairs = pairs.Int("budget", reserve.Budget).Int("reserve", reserve.Tokens).Int("charged", h.options.Machine.charged(reserve.Program))
	}
	return pairs
}

func (h *Host) countOutcome(r AdmitResponse) {
	outcome := cmp.Or(string(r.Refusal), "granted")
	counter := h.outcomeCounters[outcome]
	if counter == nil {
		counter = gometrics.GetOrRegisterCounter("ledger_admissions;outcome="+outcome, h.options.Metrics)
		h.outcomeCounters[outcome] = counter
	}
	counter.Inc(1)
	h.countCold(r)
	h.waitedTimer.Update(r.Waited)
}

func (h *Host) response(o dispatch.Outcome) AdmitResponse {
	r := AdmitResponse{Target: o.Target, Refusal: o.Refusal, RetryAfter: o.RetryAfter, Waited: o.Waited, Cached: o.Cached, Reason: o.Reason}
	if t, ok := h.dispatchView.Target(o.Target); ok {
		r.Address, r.Software, r.StartedUnixMS = t.Address, t.Software, t.StartedUnixMS
		r.CatalogRevision = h.dispatchView.Revision
	}
	if rate, ok := h.dispatcher.TargetRate(o.Target); ok {
		r.RateLimit = &rate
	}
	return r
}

// deliverOutcomes finishes the admissions that wait for the outcomes. The caller holds
// h.mu.
func (h *Host) deliverOutcomes(outcomes []dispatch.Outcome) {
	for _, o := range outcomes {
		a := h.admissions[o.ID]
		// Nothing waits for the grant if the caller has disconnected.
		waits := a != nil && a.response == nil
		// The request may have ended further targets while this one was queued.
		heldBack := waits && o.Target != "" && h.isQuarantined(&a.request.Request)
		switch {
		case heldBack:
			h.finish(a, quarantinedResponse)
		case waits:
			h.finish(a, h.response(o))
		}
		if o.Target != "" && (heldBack || !waits) {
			h.deliverOutcomes(h.grants().Done(bootclock.Now(), o.ID, o.Target, dispatch.Abandoned, 0))
		}
	}
}

// done ends a request that ran at a target, or one whose caller disconnected while it
// was queued. It does not settle the request. The caller holds h.mu.
func (h *Host) done(entry string, r DoneReport) {
	if r.Target != "" {
		switch r.Result {
		case dispatch.Completed, dispatch.Failed:
			h.recordCompletion(r)
		case dispatch.Unreachable, dispatch.NoPath:
			h.options.Log.WithFields(logrus.Fields{"event": "target_unreachable", "request": r.ID, "target": r.Target, "entry": entry, "entry_isolated": r.Result == dispatch.NoPath}).Info("an entry could not connect to a target")
		}
		if r.Result == dispatch.Unreachable {
			h.startCheck(h.detector.Unreachable(bootclock.Now(), r.Target, entry))
		}
		h.deliverOutcomes(h.grants().Done(bootclock.Now(), r.ID, r.Target, r.Result, r.Units))
		return
	}
	if h.inbox.cancel(r.ID) {
		return
	}
	a := h.admissions[r.ID]
	if a == nil {
		return
	}
	if a.response == nil {
		h.dispatcher.Cancel(r.ID)
		h.finish(a, AdmitResponse{Refusal: dispatch.Expired})
	} else if a.response.Target != "" {
		// The request was granted before the report that its caller has disconnected
		// arrived.
		h.deliverOutcomes(h.grants().Done(bootclock.Now(), r.ID, a.response.Target, dispatch.Abandoned, 0))
	}
}
