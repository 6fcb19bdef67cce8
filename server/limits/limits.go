// Package limits enforces rates and bursts across the fleet. It connects the Owner and the
// Client of coord/ratelimit with the VM's lease, its clock and the RPC layer.
//
// Requests under unlimited profiles are admitted locally. All others need a grant from the
// owner of the organisation's shard, which may be this VM. One mutex guards the Owner and
// the Client. Each acquisition from another VM runs in its own goroutine, with at most one
// per organisation and profile at a time.
package limits

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/ratelimit"
	"hemlockvale.dev/server/rpc"
)

// Codes of the *rpc.Error values that Acquire returns or that an owner responds with.
const (
	// CodeUnavailable means that no owner responded in time; the request has not run.
	CodeUnavailable = "limiter_unavailable"
	// CodeNotOwner means that the called VM does not serve the shard, or that the caller
	// knows no owner to call.
	CodeNotOwner = "not_owner"
)

// RPC methods of the owner of a shard.
const (
	methodAcquire = "rate.acquire"
	methodUsage   = "rate.usage"
	methodRelease = "rate.release"
)

// Options holds the dependencies of Limits.
type Options struct {
	// Self identifies this VM.
	Self fleet.VMRef
	// Pool holds the RPC connections to other VMs.
	Pool *rpc.Pool
	// State returns the latest configuration that this VM knows.
	State func() *fleet.State
	// Owns reports whether this VM owns a shard and holds a valid lease.
	Owns func(shard int) bool
	// Log receives a line for each started ownership, failed release request and failed
	// usage report.
	Log *logrus.Entry
}

// Decision is the outcome of an acquisition.
type Decision struct {
	// Granted is set if the request may run now.
	Granted bool
	// RetryAfter is the delay after which the owner expects the buckets to hold enough
	// tokens, if the request was refused.
	RetryAfter time.Duration
	// OrganisationTokens is the organisation's decayed counter of used tokens, which
	// guides placement.
	OrganisationTokens int64
}

// Limits is one VM's part of the fleet's rate limiter. It is safe for concurrent use.
type Limits struct {
	o     Options
	start time.Time

	mu               sync.Mutex // guards everything below
	owner            *ratelimit.Owner
	client           *ratelimit.Client
	lastID           uint64
	waiters          map[uint64]chan outcome       // by request id
	unreported       map[string]int64              // used tokens by organisation, not yet reported
	reportedCounters map[string]*ratelimit.Counter // by organisation, as last returned by its owner
}

// outcome is the result of an acquisition for one request.
type outcome struct {
	decision Decision
	err      error
}

// New returns a Limits that uses o. The caller registers its RPC methods with Register and
// runs its periodic tasks with Run.
func New(o Options) *Limits {
	return &Limits{
		o:                o,
		start:            time.Now(),
		owner:            ratelimit.NewOwner(),
		client:           ratelimit.NewClient(),
		waiters:          make(map[uint64]chan outcome),
		unreported:       make(map[string]int64),
		reportedCounters: make(map[string]*ratelimit.Counter),
	}
}

// now returns the time on this VM's monotonic clock, which steps of the wall clock do not
// affect.
func (l *Limits) now() time.Duration { return time.Since(l.start) }

// Register adds the RPC methods of the owner to s.
func (l *Limits) Register(s *rpc.Server) {
	s.Handle(methodAcquire, handler(l.handleAcquire))
	s.Handle(methodUsage, handler(l.handleUsage))
	s.Handle(methodRelease, handler(l.handleRelease))
}

// OwnedTokens returns the sum of the token counters of the organisations whose shards this
// VM owns. The sums of all VMs give the total from which an organisation's share of the
// fleet is computed.
func (l *Limits) OwnedTokens() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner.TotalTokens(l.now())
}

// Acquire takes bucket tokens for n requests, rounded up, of an organisation under a
// profile. It returns when the owner has decided, when no owner has responded for
// ratelimit.UnavailableAfter, or when ctx ends. An error means that nothing was granted. A
// granted request should start at once, because the bound on admissions within a time
// window counts it when Acquire returns.
func (l *Limits) Acquire(ctx context.Context, organisation, profile string, n float64) (Decision, error) {
	buckets, err := bucketsFor(l.o.State(), organisation, profile)
	if err != nil {
		return Decision{}, err
	}
	if len(buckets) == 0 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return Decision{Granted: true, OrganisationTokens: l.reportedTokens(organisation)}, nil
	}
	key := ratelimit.Key{Organisation: organisation, Profile: profile}
	done := make(chan outcome, 1)
	l.mu.Lock()
	l.lastID++
	id := l.lastID
	l.waiters[id] = done
	effects := l.client.Request(l.now(), id, key, wholeRequests(n))
	l.applyEffects(effects)
	l.mu.Unlock()
	select {
	case result := <-done:
		return result.decision, result.err
	case <-ctx.Done():
		l.mu.Lock()
		defer l.mu.Unlock()
		l.client.Cancel(key, id)
		delete(l.waiters, id)
		return Decision{}, &rpc.Error{Code: CodeUnavailable, Message: ctx.Err().Error()}
	}
}

// reportedTokens returns the organisation's token counter that its owner returned for the
// last usage report, decayed up to now. The caller holds the mutex.
func (l *Limits) reportedTokens(organisation string) int64 {
	c := l.reportedCounters[organisation]
	if c == nil {
		return 0
	}
	return int64(c.Read(l.now()))
}

// wholeRequests rounds n up to a whole number of at least 1, because the bounds hold for
// whole requests.
func wholeRequests(n float64) int64 {
	whole := int64(n)
	if float64(whole) < n {
		whole++
	}
	return max(whole, 1)
}

// bucketsFor returns the buckets that limit a request: the organisation's bucket, and the
// bucket of the profile if the profile is not the organisation's default. Buckets without
// a limit are omitted.
func bucketsFor(s *fleet.State, organisation, profile string) ([]ratelimit.BucketLimits, error) {
	org, ok := s.Organisation(organisation)
	if !ok {
		return nil, rpc.Errorf(fleet.CodeNotFound, "organisation %q does not exist", organisation)
	}
	var buckets []ratelimit.BucketLimits
	if p, ok := s.Profile(org.Profile); ok && p.Limits.RatePerSecond > 0 {
		buckets = append(buckets, ratelimit.BucketLimits{Bucket: organisation, Limits: p.Limits})
	}
	if profile == "" || profile == org.Profile {
		return buckets, nil
	}
	p, ok := s.Profile(profile)
	if !ok || p.Organisation != organisation {
		return nil, rpc.Errorf(fleet.CodeNotFound, "organisation %q has no profile %q", organisation, profile)
	}
	if p.Limits.RatePerSecond > 0 {
		buckets = append(buckets, ratelimit.BucketLimits{Bucket: ratelimit.BucketName(organisation, profile), Limits: p.Limits})
	}
	return buckets, nil
}

// applyEffects performs the effects of the Client. The caller holds the mutex.
func (l *Limits) applyEffects(effects []ratelimit.Effect) {
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		switch e.Kind {
		case ratelimit.Admit:
			l.resolve(e.Request, outcome{decision: Decision{Granted: true, OrganisationTokens: e.OrganisationTokens}})
		case ratelimit.Refuse:
			l.resolve(e.Request, outcome{decision: Decision{RetryAfter: e.RetryAfter}})
		case ratelimit.Unavailable:
			l.resolve(e.Request, outcome{err: &rpc.Error{Code: CodeUnavailable, Message: "the owner of the rate bucket does not answer"}})
		case ratelimit.ScheduleTick:
			time.AfterFunc(e.At-l.now(), func() { l.tick(e.Key) })
		case ratelimit.Send:
			if response, ok := l.decideLocally(e); ok {
				effects = append(effects, l.client.HandleResponse(l.now(), e.Key, e.Sequence, response)...)
				continue
			}
			go l.sendAcquire(e)
		}
	}
}

// resolve delivers the outcome of a request to the call of Acquire that waits for it, if
// any. The caller holds the mutex.
func (l *Limits) resolve(id uint64, result outcome) {
	if done := l.waiters[id]; done != nil {
		done <- result
		delete(l.waiters, id)
	}
}

// tick runs the Client's Tick for a key.
func (l *Limits) tick(key ratelimit.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyEffects(l.client.Tick(l.now(), key))
}

// decideLocally decides on an acquisition without an RPC. It returns false if this VM is not
// the owner or cannot decide. The caller holds the mutex.
func (l *Limits) decideLocally(e ratelimit.Effect) (ratelimit.AcquireResponse, bool) {
	response, err := l.decide(acquireRequest{Organisation: e.Key.Organisation, Profile: e.Key.Profile, Cost: e.Cost, Count: e.Count})
	return response, err == nil
}

// sendAcquire calls the owner and passes its response or the failure to the Client.
func (l *Limits) sendAcquire(e ratelimit.Effect) {
	ctx, cancel := context.WithTimeout(context.Background(), ratelimit.AcquireTimeout)
	defer cancel()
	request := acquireRequest{Organisation: e.Key.Organisation, Profile: e.Key.Profile, Cost: e.Cost, Count: e.Count}
	var response ratelimit.AcquireResponse
	err := l.callOwner(ctx, e.Key.Organisation, methodAcquire, request, &response)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.applyEffects(l.client.HandleFailure(l.now(), e.Key, e.Sequence))
		return
	}
	l.applyEffects(l.client.HandleResponse(l.now(), e.Key, e.Sequence, response))
}

// callOwner calls the owner of an organisation's shard in the configuration that this VM
// knows.
func (l *Limits) callOwner(ctx context.Context, organisation, method string, params, result any) error {
	s := l.o.State()
	a, ok := s.Assignment(fleet.ShardOf(s.Shards(), organisation, ""))
	if !ok || a.Owner == l.o.Self {
		return &rpc.Error{Code: CodeNotOwner, Message: "the shard has no owner that serves"}
	}
	vm, ok := s.VM(a.Owner.ID)
	if !ok || vm.VMRef != a.Owner {
		return &rpc.Error{Code: CodeNotOwner, Message: "the shard's owner is not registered"}
	}
	return l.o.Pool.Call(ctx, vm.RPCAddress, method, params, result)
}
