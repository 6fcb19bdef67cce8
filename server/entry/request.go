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

// Headers of the callers' protocol.
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

// call is one request of a caller on its way through the entry.
type call struct {
	id      string
	start   time.Time
	state   *fleet.State
	key     fleet.Key
	secrets []string
	service fleet.Service
	profile fleet.Profile
	body    []byte

	// open calls came without a key, on a route open to all.
	open          bool
	nonIdempotent bool
	fingerprint   uint64
	idempotency   string

	ticket             *program.Ticket
	organisationTokens int64
	estimatedTokens    int64
	log                *logrus.Entry
}

// organisation returns the organisation that the call runs for.
func (c *call) organisation() string { return c.key.Organisation }

// accept reads the request and refuses it while this VM may not serve.
func (e *Entry) accept(w http.ResponseWriter, r *http.Request) (*call, *Problem) {
	id := uuid.NewString()
	c := &call{id: id, start: time.Now(), log: e.Log.WithField("request", id)}
	w.Header().Set(headerRequest, id)
	if e.draining.Load() {
		// Callers with a kept connection look for another address next time.
		w.Header().Set("Connection", "close")
	}
	state, held := e.Configuration.State()
	if !held {
		return c, newProblem("configuration_stale", ExecutedNo, "no contact with control within the lease").retry(time.Second)
	}
	c.state = state
	c.secrets = presentedKeys(r.Header)
	return c, nil
}

// readBody reads a bounded body.
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

// authenticate finds the organisation whose key came with the request.
func (c *call) authenticate() *Problem {
	if len(c.secrets) == 0 {
		return newProblem("missing_key", ExecutedNo, "send the key as Authorization: Bearer KEY")
	}
	key, ok := c.state.Authenticate(c.secrets[0])
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

// resolveProfile finds the profile that the service runs under for the call's organisation.
func (c *call) resolveProfile() *Problem {
	profile, err := c.state.ResolveProfile(c.organisation(), c.service.Name)
	if err != nil {
		return newProblem("invalid_request", ExecutedNo, "no profile: %v", err)
	}
	c.profile = profile
	return nil
}

// acquireRate takes one request from the organisation's rate.
func (e *Entry) acquireRate(ctx context.Context, c *call) *Problem {
	if c.open {
		return nil
	}
	done := e.metrics.stage(stageRate)
	decision, err := e.Limiter.Acquire(ctx, c.organisation(), c.profile.Name, 1)
	done()
	if err != nil {
		return newProblem("limiter_unavailable", ExecutedNo, "%v", err).retry(time.Second)
	}
	if !decision.Granted {
		e.refusals.note(c.organisation())
		return newProblem("rate_limited", ExecutedNo, "organisation %s is over its rate", c.organisation()).retry(decision.RetryAfter)
	}
	c.organisationTokens = decision.OrganisationTokens
	return nil
}

// programPattern admits ids that are safe in headers, paths and logs. Derived
// ids start with derivedPrefix, which callers cannot send.
var programPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// derivedPrefix marks the ids of programs that their callers did not name.
const derivedPrefix = "~"

// namedProgram returns the program that the caller named by header. A
// sub-agent's id is its parent's id, a slash and its own.
func namedProgram(h http.Header) (id string, named bool, problem *Problem) {
	id, parent := h.Get(headerProgram), h.Get(headerParentProgram)
	if id == "" {
		return "", false, nil
	}
	names := []string{id}
	if parent != "" {
		names = append(strings.Split(parent, "/"), id)
	}
	for _, name := range names {
		if !programPattern.MatchString(name) {
			return "", false, newProblem("invalid_request", ExecutedNo, "program id %q: want 1 to 128 letters, digits, '.', '_', ':' or '-'", name)
		}
	}
	return strings.Join(names, "/"), true, nil
}

// maxKeyLength bounds an idempotency key, which is kept with its record.
const maxKeyLength = 255

// readIdempotencyKey notes the caller's idempotency key, if there is one.
func (c *call) readIdempotencyKey(h http.Header) *Problem {
	c.idempotency = h.Get(headerIdempotencyKey)
	if len(c.idempotency) > maxKeyLength {
		return newProblem("invalid_request", ExecutedNo, "%s: at most %d bytes", headerIdempotencyKey, maxKeyLength)
	}
	return nil
}

// begin takes the program's turn. It returns a stored answer when the request
// is a retry whose outcome is known.
func (e *Entry) begin(ctx context.Context, c *call, b program.BeginCall) (*program.StoredResponse, *Problem) {
	defer e.metrics.stage(stageBegin)()
	b.Program.Organisation = c.organisation()
	b.Key = c.idempotency
	b.Fingerprint = c.fingerprint
	b.NonIdempotent = c.nonIdempotent
	b.EstimatedTokens = c.estimatedTokens
	b.Budget = c.profile.Budget
	b.IdleTimeout = e.idleTimeout(c)
	b.ResendWindow = e.resendWindow(c)
	b.WaitLimit = e.Settings.Entry.QueueTimeout()
	b.CallTimeout = e.callTimeout(c)
	b.Runner = e.Self
	// The check runs beside BeginCall to save a round trip. A retry of a crashing
	// request is sent after its crash was recorded, so the check cannot miss it.
	quarantine := make(chan *Problem, 1)
	go func() { quarantine <- e.checkQuarantine(ctx, c, ExecutedNo) }()
	result, err := e.Programs.Begin(ctx, b)
	refused := <-quarantine
	switch {
	case err != nil:
		// Only this VM dispatches, and it does so only with a ticket, so an
		// unanswered BeginCall has certainly run nothing.
		return nil, newProblem("owner_unavailable", ExecutedNo, "%v", err).retry(time.Second)
	case result.Refusal != nil:
		return nil, refusalProblem(result.Refusal)
	case result.Replay != nil:
		return result.Replay, nil
	}
	c.ticket = result.Ticket
	c.log = c.log.WithFields(logrus.Fields{"program": c.ticket.Program.ID, "sequence": c.ticket.Sequence})
	if refused != nil {
		_ = e.finish(ctx, c, program.FinishCall{Outcome: program.NotRun})
	}
	return nil, refused
}

// checkQuarantine refuses a request that has taken targets down.
func (e *Entry) checkQuarantine(ctx context.Context, c *call, executed Executed) *Problem {
	quarantined, err := e.Programs.Quarantined(ctx, c.organisation(), c.fingerprint)
	if err != nil {
		return newProblem("owner_unavailable", executed, "%v", err).retry(time.Second)
	}
	if quarantined {
		return newProblem("request_quarantined", executed, "an equal request took %d targets down; fingerprint %016x", retry.MaxCrashes, c.fingerprint)
	}
	return nil
}

// settleTimeout bounds the recording of an outcome; it covers the failover of
// an owner, which takes up to 5 s.
const settleTimeout = 12 * time.Second

// finish records the outcome of a call that holds a ticket. An answer must be
// recorded before the caller gets it, unless ctx ends the wait. A refusal does
// not wait for its record, which can take long while the owner has no lease. A
// record that fails leaves the call to the owner, which settles it by its time limit.
func (e *Entry) finish(ctx context.Context, c *call, f program.FinishCall) error {
	if c.ticket == nil {
		return nil
	}
	recorded := make(chan error, 1)
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		recorded <- e.record(c, f)
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

func (e *Entry) record(c *call, f program.FinishCall) error {
	defer e.metrics.stage(stageFinish)()
	f.Ticket = *c.ticket
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
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
	// identifyBody recognises a retry without a key by its body.
	identifyBody = "body"
)

func (e *Entry) idleTimeout(c *call) time.Duration {
	if ms := c.profile.IdleTimeoutMS; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultIdleTimeout
}

func (e *Entry) callTimeout(c *call) time.Duration {
	if ms := c.profile.CallTimeoutMS; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return e.Settings.Entry.CallTimeout()
}

// timeLimit is the call's time limit, bounded by the rest of the program's seconds.
func (e *Entry) timeLimit(c *call) time.Duration {
	limit := e.callTimeout(c)
	if c.ticket != nil && c.ticket.TimeLimit > 0 {
		limit = min(limit, c.ticket.TimeLimit)
	}
	return limit
}

// resendWindow returns 0 when nothing identifies a retry of the call.
func (e *Entry) resendWindow(c *call) time.Duration {
	byBody := c.nonIdempotent && (c.open || c.profile.Resend.Identify == identifyBody)
	if c.idempotency == "" && !byBody {
		return 0
	}
	if ms := c.profile.Resend.WindowMS; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultResendWindow
}
