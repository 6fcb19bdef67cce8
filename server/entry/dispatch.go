package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/placement"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/coord/retry"
	"hemlockvale.dev/coord/target"
)

// attempt is the result of sending a call to one target. streamed is set if the caller
// has received a part of the answer; load is the target's load report, if there is one.
type attempt struct {
	result   retry.Result
	streamed bool
	err      error
	load     *target.Load
}

// sendFunc sends a call with a priority to the target at address and waits for the result.
type sendFunc func(ctx context.Context, targetID, address string, priority int) attempt

// dispatch describes how a call is placed and sent to targets.
type dispatch struct {
	model        string
	promptTokens int64
	send         sendFunc
	// onPlaced is called with each decision before the call is sent.
	onPlaced func(d placement.Decision)
}

// dispatchResult describes how a dispatch ended: the outcome of the call, and the target
// whose attempt decided it, if any. problem is nil if a target responded.
type dispatchResult struct {
	target  string
	problem *Problem
	outcome program.Outcome
}

// execute places the call and sends it to one target after another until retry.Next allows
// no further attempt, a check fails or no target is left.
func (e *Entry) execute(ctx context.Context, c *call, d dispatch) dispatchResult {
	state := retry.Attempt{NonIdempotent: c.nonIdempotent}
	tried := make(map[string]bool)
	var lastAttempt attempt
	for {
		if problem := e.checkBeforeDispatch(ctx, c, state); problem != nil {
			return failedResult("", problem)
		}
		decision := e.place(c, d, tried)
		if decision.Action == placement.Refuse {
			return failedResult("", placementProblem(decision, state, lastAttempt))
		}
		address, found := e.Targets.Address(decision.Target)
		tried[decision.Target] = true
		if !found {
			continue
		}
		d.onPlaced(decision)
		lastAttempt = e.sendAttempt(ctx, c, d, decision, address)
		state.Result = lastAttempt.result
		state.Streamed = state.Streamed || lastAttempt.streamed
		state.Number++
		if lastAttempt.result == retry.Crashed {
			state.Crashes++
			e.reportCrash(c, decision.Target)
		}
		switch retry.Next(state) {
		case retry.ReturnAnswer:
			return dispatchResult{target: decision.Target, outcome: program.Completed}
		case retry.RefuseNotRun:
			return failedResult(decision.Target, newProblem("target_unreachable", ExecutedNo, "%v", lastAttempt.err).withRetryAfter(time.Second))
		case retry.FailUnknown:
			return failedResult(decision.Target, failureProblem(ctx, lastAttempt))
		}
		state.EarlierMayHaveRun = state.EarlierMayHaveRun || (lastAttempt.result != retry.NotSent && lastAttempt.result != retry.Rejected)
		e.metrics.retries.Inc(1)
	}
}

// failedResult returns the result of a dispatch that ended with a problem. The outcome
// is NotRun only if the call certainly did not run.
func failedResult(targetID string, p *Problem) dispatchResult {
	result := dispatchResult{target: targetID, problem: p, outcome: program.Unknown}
	if p.Executed == ExecutedNo {
		result.outcome = program.NotRun
	}
	return result
}

// checkBeforeDispatch returns a problem if the call must not be sent to a target: it was
// cancelled, the VM's lease has lapsed, or the request is quarantined.
func (e *Entry) checkBeforeDispatch(ctx context.Context, c *call, state retry.Attempt) *Problem {
	executed := executedSoFar(state)
	if ctx.Err() != nil {
		return cancellationProblem(ctx, executed)
	}
	if _, leaseValid := e.Configuration.State(); !leaseValid {
		return newProblem("configuration_stale", executed, "the lease from control lapsed").withRetryAfter(time.Second)
	}
	if c.ticket != nil && state.Number == 0 {
		return nil // beginCall has checked the quarantine
	}
	return e.checkQuarantine(ctx, c, executed)
}

// executedSoFar reports whether an earlier attempt may have run the call.
func executedSoFar(state retry.Attempt) Executed {
	if state.EarlierMayHaveRun {
		return ExecutedUnknown
	}
	return ExecutedNo
}

// place selects a target for the call among those not in tried and logs the decision.
func (e *Entry) place(c *call, d dispatch, tried map[string]bool) placement.Decision {
	ref := e.programRef(c)
	candidates := withoutTried(e.Targets.Candidates(c.service.Name, d.model, ref), tried)
	request := placement.Request{
		Organisation:            c.organisation(),
		Program:                 ref.ID,
		PromptTokens:            d.promptTokens,
		OrganisationTokens:      c.organisationTokens,
		OrganisationShare:       e.organisationShare(c),
		OrganisationEntitlement: e.entitlements.share(c.fleetState, c.organisation()),
		Priority:                c.profile.Priority,
		Weights:                 placement.Weights(c.profile.Policy),
	}
	if c.ticket != nil {
		request.AttainedTokens = c.ticket.AttainedTokens
		request.LastTarget = c.ticket.LastCall.Target
		request.LastTargetTokens = c.ticket.LastCall.Tokens
		request.SinceLastCall = c.ticket.SinceLastCall
	}
	decision := placement.Place(e.Policy, request, candidates, e.placementSeed.Add(1))
	fields := logrus.Fields{
		"event": "placement", "service": c.service.Name, "model": d.model, "target": decision.Target,
		"reason": decision.Reason, "candidates": decision.Candidates, "cached_tokens": decision.CachedTokens,
		"priority": decision.Priority, "attained_tokens": request.AttainedTokens,
	}
	for _, candidate := range candidates {
		if candidate.ID == decision.Target {
			fields["queue"] = candidate.Waiting + candidate.Outstanding
			fields["report_age_ms"] = candidate.ReportAge.Milliseconds()
		}
	}
	c.log.WithFields(fields).Info("placement decided")
	return decision
}

// organisationShare returns the organisation's share of all recently used tokens. The
// counters of the fleet and of the organisation are read at different times. The total is
// therefore raised to the organisation's counter if it is smaller, because the share would
// exceed 1 otherwise.
func (e *Entry) organisationShare(c *call) float64 {
	total := max(e.Configuration.FleetTokens(), c.organisationTokens)
	if total == 0 {
		return 0
	}
	return float64(c.organisationTokens) / float64(total)
}

// programRef returns the program of the call. The id is empty if the call has no record.
func (e *Entry) programRef(c *call) program.Ref {
	if c.ticket == nil {
		return program.Ref{Organisation: c.organisation()}
	}
	return c.ticket.Program
}

// withoutTried returns the candidates that are not in tried.
func withoutTried(candidates []placement.Candidate, tried map[string]bool) []placement.Candidate {
	if len(tried) == 0 {
		return candidates
	}
	var remaining []placement.Candidate
	for _, candidate := range candidates {
		if !tried[candidate.ID] {
			remaining = append(remaining, candidate)
		}
	}
	return remaining
}

// sendAttempt sends the call to the target of the decision and updates this VM's view of
// the target with the dispatched work, the reported load and any failure.
func (e *Entry) sendAttempt(ctx context.Context, c *call, d dispatch, decision placement.Decision, address string) attempt {
	uncachedTokens := max(d.promptTokens-decision.CachedTokens, 1)
	e.Targets.Dispatched(decision.Target, uncachedTokens)
	e.metrics.expectedCachedTokens.Inc(decision.CachedTokens)
	stopTimer := e.metrics.startStageTimer(stageTarget)
	a := d.send(ctx, decision.Target, address, decision.Priority)
	stopTimer()
	e.Targets.Completed(decision.Target, uncachedTokens, a.load)
	if a.result == retry.Completed {
		return a
	}
	c.log.WithFields(logrus.Fields{"event": "attempt_failed", "target": decision.Target, "result": resultName(a.result)}).Warn(a.err)
	switch a.result {
	case retry.NoAnswer, retry.Cancelled:
		go e.client.cancelRequest(address, c.id)
	}
	if a.result != retry.Cancelled && a.result != retry.Rejected {
		e.Targets.Failed(decision.Target)
	}
	return a
}

// reportCrash records that a target broke the connection while it ran the call. Repeated
// crashes quarantine the request.
func (e *Entry) reportCrash(c *call, targetID string) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := e.Programs.ReportCrash(ctx, c.organisation(), c.fingerprint, targetID); err != nil {
		c.log.WithFields(logrus.Fields{"event": "crash_not_recorded", "target": targetID}).Error(err)
	}
}

// placementProblem returns the problem of a call for which placement found no target.
func placementProblem(d placement.Decision, state retry.Attempt, lastAttempt attempt) *Problem {
	executed := executedSoFar(state)
	if d.Candidates > 0 {
		return newProblem("overloaded", executed, "all %d targets are full", d.Candidates).withRetryAfter(max(d.RetryAfter, time.Second))
	}
	if lastAttempt.err != nil {
		return newProblem("target_failed", executed, "no other target is left after: %v", lastAttempt.err).withRetryAfter(time.Second)
	}
	return newProblem("no_target", executed, "no target serves this request now").withRetryAfter(time.Second)
}

// failureProblem returns the problem of a call that may have run and has no answer.
func failureProblem(ctx context.Context, lastAttempt attempt) *Problem {
	if ctx.Err() != nil {
		return cancellationProblem(ctx, ExecutedUnknown)
	}
	return newProblem("target_failed", ExecutedUnknown, "%v", lastAttempt.err)
}

// cancellationProblem returns the problem of a call whose context has ended. The cause of
// the cancellation determines the code.
func cancellationProblem(ctx context.Context, executed Executed) *Problem {
	switch cause := context.Cause(ctx); cause {
	case errKeyWithdrawn:
		return newProblem("key_withdrawn", executed, "%v", cause)
	case errLeaseLapsed:
		return newProblem("configuration_stale", executed, "%v", cause).withRetryAfter(time.Second)
	case errCallTimeout, context.DeadlineExceeded:
		return newProblem("call_timeout", executed, "%v", errCallTimeout)
	default:
		return newProblem("target_failed", executed, "the caller left: %v", cause)
	}
}

// resultName returns the name of a result in log lines.
func resultName(r retry.Result) string {
	return [...]string{"completed", "not_sent", "rejected", "crashed", "silent", "cancelled"}[r]
}
