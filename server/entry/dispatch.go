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

// attempt is the result of sending a call to one target.
type attempt struct {
	result   retry.Result
	streamed bool
	err      error
	load     *target.Load
}

// sendFunc sends a call to the target at address with a priority.
type sendFunc func(ctx context.Context, targetID, address string, priority int) attempt

// dispatch is the run of a call over one or more targets.
type dispatch struct {
	model  string
	prompt int64
	send   sendFunc
	// placed is called with each decision before the call is sent.
	placed func(d placement.Decision)
}

// outcome is how a dispatch ended; problem is nil when the call was answered.
type outcome struct {
	target  string
	problem *Problem
	settled program.Outcome
}

// execute places and sends a call until an attempt settles it.
func (e *Entry) execute(ctx context.Context, c *call, d dispatch) outcome {
	state := retry.Attempt{NonIdempotent: c.nonIdempotent}
	tried := make(map[string]bool)
	var last attempt
	for {
		if p := e.checkBeforeDispatch(ctx, c, state); p != nil {
			return settle("", p)
		}
		decision := e.place(c, d, tried)
		if decision.Action == placement.Refuse {
			return settle("", placementProblem(decision, state, last))
		}
		address, known := e.Targets.Address(decision.Target)
		tried[decision.Target] = true
		if !known {
			continue
		}
		d.placed(decision)
		last = e.send(ctx, c, d, decision, address)
		state.Result = last.result
		state.Streamed = state.Streamed || last.streamed
		state.Number++
		if last.result == retry.Crashed {
			state.Crashes++
			e.reportCrash(c, decision.Target)
		}
		switch retry.Next(state) {
		case retry.ReturnAnswer:
			return outcome{target: decision.Target, settled: program.Completed}
		case retry.RefuseNotRun:
			return settle(decision.Target, newProblem("target_unreachable", ExecutedNo, "%v", last.err).retry(time.Second))
		case retry.FailUnknown:
			return settle(decision.Target, failureProblem(ctx, last))
		}
		state.EarlierMayHaveRun = state.EarlierMayHaveRun || (last.result != retry.NotSent && last.result != retry.Rejected)
		e.metrics.retries.Inc(1)
	}
}

func settle(targetID string, p *Problem) outcome {
	o := outcome{target: targetID, problem: p, settled: program.Unknown}
	if p.Executed == ExecutedNo {
		o.settled = program.NotRun
	}
	return o
}

// checkBeforeDispatch refuses a call that was cancelled or quarantined while it waited.
func (e *Entry) checkBeforeDispatch(ctx context.Context, c *call, state retry.Attempt) *Problem {
	executed := executedAfter(state)
	if ctx.Err() != nil {
		return causeProblem(ctx, executed)
	}
	if _, held := e.Configuration.State(); !held {
		return newProblem("configuration_stale", executed, "the lease from control lapsed").retry(time.Second)
	}
	if c.ticket != nil && state.Number == 0 {
		return nil // checked while the call took its turn
	}
	return e.checkQuarantine(ctx, c, executed)
}

func executedAfter(state retry.Attempt) Executed {
	if state.EarlierMayHaveRun {
		return ExecutedUnknown
	}
	return ExecutedNo
}

// place decides where the call runs and logs the decision.
func (e *Entry) place(c *call, d dispatch, tried map[string]bool) placement.Decision {
	ref := e.programRef(c)
	candidates := untried(e.Targets.Candidates(c.service.Name, d.model, ref), tried)
	request := placement.Request{
		Organisation:            c.organisation(),
		Program:                 ref.ID,
		PromptTokens:            d.prompt,
		OrganisationTokens:      c.organisationTokens,
		OrganisationShare:       e.organisationShare(c),
		OrganisationEntitlement: e.entitlements.of(c.state, c.organisation()),
		Priority:                c.profile.Priority,
		Weights:                 placement.Weights(c.profile.Policy),
	}
	if c.ticket != nil {
		request.AttainedTokens = c.ticket.AttainedTokens
		request.LastTarget = c.ticket.LastCall.Target
		request.LastTargetTokens = c.ticket.LastCall.Tokens
		request.SinceLastCall = c.ticket.SinceLastCall
	}
	decision := placement.Place(e.Policy, request, candidates, e.seed.Add(1))
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

// organisationShare is the organisation's part of all recent tokens. The two
// counters are read at different times, so the part can briefly exceed 1.
func (e *Entry) organisationShare(c *call) float64 {
	total := max(e.Configuration.FleetTokens(), c.organisationTokens)
	if total == 0 {
		return 0
	}
	return float64(c.organisationTokens) / float64(total)
}

func (e *Entry) programRef(c *call) program.Ref {
	if c.ticket == nil {
		return program.Ref{Organisation: c.organisation()}
	}
	return c.ticket.Program
}

func untried(cs []placement.Candidate, tried map[string]bool) []placement.Candidate {
	if len(tried) == 0 {
		return cs
	}
	var left []placement.Candidate
	for _, c := range cs {
		if !tried[c.ID] {
			left = append(left, c)
		}
	}
	return left
}

// send runs one attempt and keeps the view of the target's load.
func (e *Entry) send(ctx context.Context, c *call, d dispatch, decision placement.Decision, address string) attempt {
	work := max(d.prompt-decision.CachedTokens, 1)
	e.Targets.Dispatched(decision.Target, work)
	e.metrics.cached.Inc(decision.CachedTokens)
	done := e.metrics.stage(stageTarget)
	a := d.send(ctx, decision.Target, address, decision.Priority)
	done()
	e.Targets.Completed(decision.Target, work, a.load)
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

// reportCrash records that a target broke the connection while the call ran.
func (e *Entry) reportCrash(c *call, targetID string) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := e.Programs.ReportCrash(ctx, c.organisation(), c.fingerprint, targetID); err != nil {
		c.log.WithFields(logrus.Fields{"event": "crash_not_recorded", "target": targetID}).Error(err)
	}
}

func placementProblem(d placement.Decision, state retry.Attempt, last attempt) *Problem {
	executed := executedAfter(state)
	if d.Candidates > 0 {
		return newProblem("overloaded", executed, "all %d targets are full", d.Candidates).retry(max(d.RetryAfter, time.Second))
	}
	if last.err != nil {
		return newProblem("target_failed", executed, "no other target is left after: %v", last.err).retry(time.Second)
	}
	return newProblem("no_target", executed, "no target serves this request now").retry(time.Second)
}

func failureProblem(ctx context.Context, last attempt) *Problem {
	if ctx.Err() != nil {
		return causeProblem(ctx, ExecutedUnknown)
	}
	return newProblem("target_failed", ExecutedUnknown, "%v", last.err)
}

// causeProblem explains why a call was cancelled from this side.
func causeProblem(ctx context.Context, executed Executed) *Problem {
	switch cause := context.Cause(ctx); cause {
	case errKeyWithdrawn:
		return newProblem("key_withdrawn", executed, "%v", cause)
	case errLeaseLapsed:
		return newProblem("configuration_stale", executed, "%v", cause).retry(time.Second)
	case errCallTimeout, context.DeadlineExceeded:
		return newProblem("call_timeout", executed, "%v", errCallTimeout)
	default:
		return newProblem("target_failed", executed, "the caller left: %v", cause)
	}
}

func resultName(r retry.Result) string {
	return [...]string{"completed", "not_sent", "rejected", "crashed", "silent", "cancelled"}[r]
}
