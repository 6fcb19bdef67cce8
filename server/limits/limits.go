// Package limits enforces rates and bursts across the fleet: it connects the
// cores of coord/ratelimit with the VM's lease, its clock and the RPC layer.
//
// Requests under unlimited profiles are admitted locally. All others ask the
// owner of the organisation's shard, which may be this VM. The cores run under
// one mutex; every call to another VM runs in its own goroutine, at most one
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

// Codes of errors that Acquire returns as *rpc.Error.
const (
	// CodeUnavailable: no owner answered; the request has not run.
	CodeUnavailable = "limiter_unavailable"
	// CodeNotOwner: the asked VM does not own the shard now.
	CodeNotOwner = "not_owner"
)

// RPC methods.
const (
	methodAcquire = "rate.acquire"
	methodUsage   = "rate.usage"
	methodRelease = "rate.release"
)

// Options are what Limits depends on.
type Options struct {
	// Self is this VM.
	Self fleet.VMRef
	// Pool reaches the other VMs.
	Pool *rpc.Pool
	// State returns the configuration in effect.
	State func() *fleet.State
	// Owns reports whether this VM owns a shard and holds a valid lease.
	Owns func(shard int) bool
	// Log receives one line for each change of ownership and failed usage report.
	Log *logrus.Entry
}

// Decision is the outcome of an acquisition.
type Decision struct {
	// Granted lets the request run now.
	Granted bool
	// RetryAfter is when the owner expects to have tokens, if it refused.
	RetryAfter time.Duration
	// OrganisationTokens is the organisation's decayed token counter.
	OrganisationTokens int64
}

// Limits is one VM's part of the rate limiter.
type Limits struct {
	o     Options
	start time.Time

	mu       sync.Mutex // guards everything below
	owner    *ratelimit.Owner
	client   *ratelimit.Client
	lastID   uint64
	results  map[uint64]chan outcome
	usage    map[string]int64              // tokens that are not reported yet
	counters map[string]*ratelimit.Counter // last counters that owners returned
}

type outcome struct {
	decision Decision
	err      error
}

// New returns a limiter.
func New(o Options) *Limits {
	return &Limits{
		o:        o,
		start:    time.Now(),
		owner:    ratelimit.NewOwner(),
		client:   ratelimit.NewClient(),
		results:  make(map[uint64]chan outcome),
		usage:    make(map[string]int64),
		counters: make(map[string]*ratelimit.Counter),
	}
}

// now returns the time on this VM's monotonic clock, which steps of the wall
// clock do not affect.
func (l *Limits) now() time.Duration { return time.Since(l.start) }

// Register adds the owner's methods.
func (l *Limits) Register(s *rpc.Server) {
	s.Handle(methodAcquire, handler(l.acquireLocal))
	s.Handle(methodUsage, handler(l.usageLocal))
	s.Handle(methodRelease, handler(l.releaseLocal))
}

// OwnedTokens returns the sum of the token counters that this VM owns. The sums
// of all VMs tell an organisation's share of the fleet.
func (l *Limits) OwnedTokens() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner.TotalTokens(l.now())
}

// Acquire asks for n requests of an organisation under a profile. It returns
// when the owner has decided, when no owner has answered for
// ratelimit.UnavailableAfter, or when ctx ends. Any error means that nothing
// was granted. A granted request should start at once: the window bound
// counts it at the moment at which Acquire returns.
func (l *Limits) Acquire(ctx context.Context, organisation, profile string, n float64) (Decision, error) {
	wants, err := wantsOf(l.o.State(), organisation, profile)
	if err != nil {
		return Decision{}, err
	}
	if len(wants) == 0 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return Decision{Granted: true, OrganisationTokens: l.reported(organisation)}, nil
	}
	key := ratelimit.Key{Organisation: organisation, Profile: profile}
	done := make(chan outcome, 1)
	l.mu.Lock()
	l.lastID++
	id := l.lastID
	l.results[id] = done
	effects := l.client.Request(l.now(), id, key, wholeRequests(n))
	l.run(effects)
	l.mu.Unlock()
	select {
	case r := <-done:
		return r.decision, r.err
	case <-ctx.Done():
		l.mu.Lock()
		defer l.mu.Unlock()
		l.client.Cancel(key, id)
		delete(l.results, id)
		return Decision{}, &rpc.Error{Code: CodeUnavailable, Message: ctx.Err().Error()}
	}
}

// reported returns the organisation's counter as of the last usage report. The
// caller holds the mutex.
func (l *Limits) reported(organisation string) int64 {
	c := l.counters[organisation]
	if c == nil {
		return 0
	}
	return int64(c.Read(l.now()))
}

// wholeRequests rounds up: the bounds hold for whole requests.
func wholeRequests(n float64) int64 {
	whole := int64(n)
	if float64(whole) < n {
		whole++
	}
	return max(whole, 1)
}

// wantsOf returns the buckets that bind a request: the organisation's, and the
// profile's own if it is not the organisation's default.
func wantsOf(s *fleet.State, organisation, profile string) ([]ratelimit.Want, error) {
	org, ok := s.Organisation(organisation)
	if !ok {
		return nil, rpc.Errorf(fleet.CodeNotFound, "organisation %q does not exist", organisation)
	}
	var wants []ratelimit.Want
	if p, ok := s.Profile(org.Profile); ok && p.Limits.RatePerSecond > 0 {
		wants = append(wants, ratelimit.Want{Bucket: organisation, Limits: p.Limits})
	}
	if profile == "" || profile == org.Profile {
		return wants, nil
	}
	p, ok := s.Profile(profile)
	if !ok || p.Organisation != organisation {
		return nil, rpc.Errorf(fleet.CodeNotFound, "organisation %q has no profile %q", organisation, profile)
	}
	if p.Limits.RatePerSecond > 0 {
		wants = append(wants, ratelimit.Want{Bucket: ratelimit.BucketName(organisation, profile), Limits: p.Limits})
	}
	return wants, nil
}

// run carries out the client's effects. The caller holds the mutex.
func (l *Limits) run(effects []ratelimit.Effect) {
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		switch e.Kind {
		case ratelimit.Admit:
			l.finish(e.Request, outcome{decision: Decision{Granted: true, OrganisationTokens: e.OrganisationTokens}})
		case ratelimit.Refuse:
			l.finish(e.Request, outcome{decision: Decision{RetryAfter: e.RetryAfter}})
		case ratelimit.Unavailable:
			l.finish(e.Request, outcome{err: &rpc.Error{Code: CodeUnavailable, Message: "the owner of the rate bucket does not answer"}})
		case ratelimit.Wake:
			time.AfterFunc(e.At-l.now(), func() { l.tick(e.Key) })
		case ratelimit.Send:
			if answer, ok := l.decideHere(e); ok {
				effects = append(effects, l.client.Answered(l.now(), e.Key, e.Sequence, answer)...)
				continue
			}
			go l.send(e)
		}
	}
}

func (l *Limits) finish(id uint64, r outcome) {
	if done := l.results[id]; done != nil {
		done <- r
		delete(l.results, id)
	}
}

func (l *Limits) tick(key ratelimit.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run(l.client.Tick(l.now(), key))
}

// decideHere answers an acquisition without a call if this VM is the owner.
func (l *Limits) decideHere(e ratelimit.Effect) (ratelimit.Answer, bool) {
	answer, err := l.decide(acquireRequest{Organisation: e.Key.Organisation, Profile: e.Key.Profile, Unit: e.Unit, Count: e.Count})
	return answer, err == nil
}

// send asks another VM and feeds its answer to the client.
func (l *Limits) send(e ratelimit.Effect) {
	ctx, cancel := context.WithTimeout(context.Background(), ratelimit.AnswerTimeout)
	defer cancel()
	request := acquireRequest{Organisation: e.Key.Organisation, Profile: e.Key.Profile, Unit: e.Unit, Count: e.Count}
	var answer ratelimit.Answer
	err := l.callOwner(ctx, e.Key.Organisation, methodAcquire, request, &answer)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.run(l.client.Failed(l.now(), e.Key, e.Sequence))
		return
	}
	l.run(l.client.Answered(l.now(), e.Key, e.Sequence, answer))
}

// callOwner calls the owner of an organisation's shard, as far as it is known here.
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
