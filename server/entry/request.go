package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/coord/retry"
)

// Headers of requests and responses, at callers and at targets.
const (
	headerProgram        = "X-Program-Id"
	headerParentProgram  = "X-Parent-Program"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequest        = "X-Hemlockvale-Request"
	headerTargetProgram  = "X-Hemlockvale-Program"
	headerServedBy       = "X-Served-By"
	headerPlacement      = "X-Placement-Reason"
	headerReplayed       = "Idempotent-Replayed"
)

// call is the state of one caller's request.
type call struct {
	id         string
	start      time.Time
	fleetState *fleet.State
	key        fleet.Key
	secrets    []string
	service    fleet.Service
	profile    fleet.Profile
	body       []byte

	// openRoute is set if the route requires no key. The call then runs for no
	// organisation.
	openRoute      bool
	nonIdempotent  bool
	fingerprint    uint64
	idempotencyKey string

	ticket             *program.Ticket
	organisationTokens int64
	estimatedTokens    int64
	log                *logrus.Entry
}

// organisation returns the organisation that the call runs for; empty on an open route.
func (c *call) organisation() string { return c.key.Organisation }

// accept creates the call of a request. It returns a problem if this VM has no valid lease
// and so must not serve requests. The returned call is never nil.
func (e *Entry) accept(w http.ResponseWriter, r *http.Request) (*call, *Problem) {
	id := uuid.NewString()
	c := &call{id: id, start: time.Now(), log: e.Log.WithField("request", id)}
	w.Header().Set(headerRequest, id)
	if e.draining.Load() {
		// A caller whose connection is closed selects another entry for its next request.
		w.Header().Set("Connection", "close")
	}
	state, leaseValid := e.Configuration.State()
	if !leaseValid {
		return c, newProblem("configuration_stale", ExecutedNo, "no contact with control within the lease").withRetryAfter(time.Second)
	}
	c.fleetState = state
	c.secrets = presentedSecrets(r.Header)
	return c, nil
}

// readBody reads the body into c. It refuses a body that exceeds the size limit.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, c *call) *Problem {
	limit := e.Settings.Entry.MaxBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newProblem("body_too_large", ExecutedNo, "the limit is %d bytes", limit)
	}
	if err != nil {
		return newProblem("invalid_request", ExecutedNo, "the body could not be read: %v", err)
	}
	c.body = body
	return nil
}

// authenticate sets the key of the call, and with it the organisation, from the first
// presented secret.
func (c *call) authenticate() *Problem {
	if len(c.secrets) == 0 {
		return newProblem("missing_key", ExecutedNo, "send the key as Authorization: Bearer KEY")
	}
	key, ok := c.fleetState.Authenticate(c.secrets[0])
	if ok && !key.Withdrawn {
		c.key = key
		c.log = c.log.WithFields(logrus.Fields{"organisation": key.Organisation, "key": key.ID})
		return nil
	}
	if key.Withdrawn {
		return newProblem("key_withdrawn", ExecutedNo, "the key was withdrawn")
	}
	return newProblem("unknown_key", ExecutedNo, "the key is not known")
}

// resolveProfile sets the profile that applies to the call's organisation and service.
func (c *call) resolveProfile() *Problem {
	profile, err := c.fleetState.ResolveProfile(c.organisation(), c.service.Name)
	if err != nil {
		return newProblem("invalid_request", ExecutedNo, "no profile: %v", err)
	}
	c.profile = profile
	return nil
}

// acquireRate acquires one request from the organisation's rate limit. Open routes have no
// limit.
func (e *Entry) acquireRate(ctx context.Context, c *call) *Problem {
	if c.openRoute {
		return nil
	}
	stopTimer := e.metrics.startStageTimer(stageRate)
	decision, err := e.Limiter.Acquire(ctx, c.organisation(), c.profile.Name, 1)
	stopTimer()
	if err != nil {
		return newProblem("limiter_unavailable", ExecutedNo, "%v", err).withRetryAfter(time.Second)
	}
	if !decision.Granted {
		e.rateRefusals.add(c.organisation())
		return newProblem("rate_limited", ExecutedNo, "organisation %s is over its rate", c.organisation()).withRetryAfter(decision.RetryAfter)
	}
	c.organisationTokens = decision.OrganisationTokens
	return nil
}

// programNamePattern matches program names that are safe in headers, paths and logs. It
// matches no derived id, so that callers cannot send one.
var programNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// derivedIDPrefix starts the ids of programs that the callers did not name.
const derivedIDPrefix = "~"

// programFromHeaders returns the id of the program that the headers name, if any. The id
// of a sub-agent is the id of its parent, a slash and its own name.
func programFromHeaders(h http.Header) (id string, found bool, problem *Problem) {
	id, parent := h.Get(headerProgram), h.Get(headerParentProgram)
	if id == "" {
		return "", false, nil
	}
	names := []string{id}
	if parent != "" {
		names = append(strings.Split(parent, "/"), id)
	}
	for _, name := range names {
		if !programNamePattern.MatchString(name) {
			return "", false, newProblem("invalid_request", ExecutedNo, "program id %q: want 1 to 128 letters, digits, '.', '_', ':' or '-'", name)
		}
	}
	return strings.Join(names, "/"), true, nil
}

// maxIdempotencyKeyBytes limits an idempotency key, because it is stored in the record of
// the call.
const maxIdempotencyKeyBytes = 255

// readIdempotencyKey sets the idempotency key of the call, if the headers contain one.
func (c *call) readIdempotencyKey(h http.Header) *Problem {
	c.idempotencyKey = h.Get(headerIdempotencyKey)
	if len(c.idempotencyKey) > maxIdempotencyKeyBytes {
		return newProblem("invalid_request", ExecutedNo, "%s: at most %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes)
	}
	return nil
}

// beginCall begins the call in its program and sets the ticket. It returns the stored
// response if the request is a retry of an answered call.
func (e *Entry) beginCall(ctx context.Context, c *call, begin program.BeginCall) (*program.StoredResponse, *Problem) {
	defer e.metrics.startStageTimer(stageBegin)()
	begin.Program.Organisation = c.organisation()
	begin.Key = c.idempotencyKey
	begin.Fingerprint = c.fingerprint
	begin.NonIdempotent = c.nonIdempotent
	begin.EstimatedTokens = c.estimatedTokens
	begin.Budget = c.profile.Budget
	begin.IdleTimeout = e.idleTimeout(c)
	begin.ResendWindow = e.resendWindow(c)
	begin.WaitLimit = e.Settings.Entry.QueueTimeout()
	begin.CallTimeout = e.callTimeout(c)
	begin.Runner = e.Self
	// The quarantine check runs concurrently with BeginCall to save a round trip. It
	// cannot miss a crash of the same request, because a retry is sent only after the
	// crash was recorded.
	quarantineResult := make(chan *Problem, 1)
	go func() { quarantineResult <- e.checkQuarantine(ctx, c, ExecutedNo) }()
	result, err := e.Programs.Begin(ctx, begin)
	quarantineProblem := <-quarantineResult
	switch {
	case err != nil:
		// Only this VM dispatches the call, and only with a ticket. If BeginCall failed,
		// the call has certainly not run.
		return nil, newProblem("owner_unavailable", ExecutedNo, "%v", err).withRetryAfter(time.Second)
	case result.Refusal != nil:
		return nil, problemFromRefusal(result.Refusal)
	case result.Replay != nil:
		return result.Replay, nil
	}
	c.ticket = result.Ticket
	c.log = c.log.WithFields(logrus.Fields{"program": c.ticket.Program.ID, "sequence": c.ticket.Sequence})
	if quarantineProblem != nil {
		_ = e.finishCall(ctx, c, program.FinishCall{Outcome: program.NotRun})
	}
	return nil, quarantineProblem
}

// checkQuarantine refuses a request that is quarantined because it crashed targets.
func (e *Entry) checkQuarantine(ctx context.Context, c *call, executed Executed) *Problem {
	quarantined, err := e.Programs.Quarantined(ctx, c.organisation(), c.fingerprint)
	if err != nil {
		return newProblem("owner_unavailable", executed, "%v", err).withRetryAfter(time.Second)
	}
	if quarantined {
		return newProblem("request_quarantined", executed, "an equal request took %d targets down; fingerprint %016x", retry.MaxCrashes, c.fingerprint)
	}
	return nil
}

// recordTimeout limits the time to record an outcome or a crash. It covers the failover of
// a shard's owner, which takes up to 5 s.
const recordTimeout = 12 * time.Second

// finishCall records the outcome of a call that holds a ticket. It waits until the outcome
// of an answered call is recorded or ctx ends, because the caller must not get an answer
// that is not recorded. It does not wait for any other outcome: recording can take long
// while the owner has no lease. If recording fails, the owner settles the call when the
// call's time limit ends.
func (e *Entry) finishCall(ctx context.Context, c *call, f program.FinishCall) error {
	if c.ticket == nil {
		return nil
	}
	recorded := make(chan error, 1)
	e.inFlight.Add(1)
	go func() {
		defer e.inFlight.Done()
		recorded <- e.recordOutcome(c, f)
	}()
	if f.Outcome != program.Completed {
		return nil
	}
	select {
	case err := <-recorded:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// recordOutcome sends the FinishCall to the owner and waits until the outcome is recorded.
func (e *Entry) recordOutcome(c *call, f program.FinishCall) error {
	defer e.metrics.startStageTimer(stageFinish)()
	f.Ticket = *c.ticket
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	err := e.Programs.Finish(ctx, f)
	if err != nil {
		c.log.WithFields(logrus.Fields{"event": "outcome_not_recorded", "outcome": f.Outcome}).Error(err)
	}
	return err
}

const (
	defaultIdleTimeout  = 5 * time.Minute
	defaultResendWindow = 10 * time.Minute
	// identifyByBody is the setting of Resend.Identify under which a request without an
	// idempotency key is identified by its body.
	identifyByBody = "body"
)

// idleTimeout returns the time without calls after which the program ends.
func (e *Entry) idleTimeout(c *call) time.Duration {
	if ms := c.profile.IdleTimeoutMS; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultIdleTimeout
}

// callTimeout returns the time limit of the call under its profile.
func (e *Entry) callTimeout(c *call) time.Duration {
	if ms := c.profile.CallTimeoutMS; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return e.Settings.Entry.CallTimeout()
}

// timeLimit returns the time limit of the call: its timeout, or the time that is left of the
// program's budget if that is shorter.
func (e *Entry) timeLimit(c *call) time.Duration {
	limit := e.callTimeout(c)
	if c.ticket != nil && c.ticket.TimeLimit > 0 {
		limit = min(limit, c.ticket.TimeLimit)
	}
	return limit
}

// resendWindow returns the time for which the response is kept for a retry. It is 0 if a
// retry of the call cannot be identified.
func (e *Entry) resendWindow(c *call) time.Duration {
	identifiedByBody := c.nonIdempotent && (c.openRoute || c.profile.Resend.Identify == identifyByBody)
	if c.idempotencyKey == "" && !identifiedByBody {
		return 0
	}
	if ms := c.profile.Resend.WindowMS; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultResendWindow
}
