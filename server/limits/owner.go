package limits

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/ratelimit"
	"hemlockvale.dev/server/periodic"
	"hemlockvale.dev/server/rpc"
)

const (
	// reportInterval is how often usage goes to the owners.
	reportInterval = 200 * time.Millisecond
	// parallelReports bounds the usage reports in flight.
	parallelReports = 16
	// startInterval is how often the assignments are observed and new ownerships
	// started. It delays the first grants after a planned move.
	startInterval = 50 * time.Millisecond
	// releaseTimeout bounds one call to a previous owner or one usage report.
	releaseTimeout = 500 * time.Millisecond
)

// acquireRequest is the payload of rate.acquire.
type acquireRequest struct {
	Organisation string `json:"organisation"`
	Profile      string `json:"profile"`
	Unit         int64  `json:"unit"`
	Count        int64  `json:"count"`
}

// usageReport is the payload of rate.usage, for the organisations of one owner.
type usageReport struct {
	Tokens map[string]int64 `json:"tokens"`
}

// usageAnswer returns the counters of the reported organisations.
type usageAnswer struct {
	OrganisationTokens map[string]int64 `json:"organisation_tokens"`
}

// releaseRequest is the payload of rate.release: the epoch is in force elsewhere.
type releaseRequest struct {
	Shard int    `json:"shard"`
	Epoch uint64 `json:"epoch"`
}

// handler decodes a request's parameters.
func handler[P, R any](h func(P) (R, error)) rpc.Handler {
	return func(_ context.Context, data json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(data, &params); err != nil {
			return nil, rpc.Errorf(fleet.CodeInvalid, "%v", err)
		}
		return h(params)
	}
}

func (l *Limits) acquireLocal(r acquireRequest) (ratelimit.Answer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decide(r)
}

// decide takes tokens as the owner. The caller holds the mutex, so the clock
// is read and the lease checked before the bucket is used: a pause in between
// makes the decision earlier than its effect, which only lowers the grant.
func (l *Limits) decide(r acquireRequest) (ratelimit.Answer, error) {
	s := l.o.State()
	shard := fleet.ShardOf(s.Shards(), r.Organisation, "")
	now := l.now()
	epoch, ok := l.serving(now, s, shard)
	if !ok {
		return ratelimit.Answer{}, rpc.Errorf(CodeNotOwner, "shard %d is not served here", shard)
	}
	wants, err := wantsOf(s, r.Organisation, r.Profile)
	if err != nil {
		return ratelimit.Answer{}, err
	}
	answer, ok := l.owner.Acquire(now, shard, epoch, wants, r.Unit, r.Count)
	if !ok {
		return ratelimit.Answer{}, rpc.Errorf(fleet.CodeInvalid, "%d requests of %d tokens", r.Count, r.Unit)
	}
	answer.OrganisationTokens = l.owner.OrganisationTokens(now, shard, r.Organisation)
	return answer, nil
}

// serving returns the epoch in which this VM may grant, and starts the epoch
// if the previous owner has stopped for sure.
func (l *Limits) serving(now time.Duration, s *fleet.State, shard int) (uint64, bool) {
	a, ok := s.Assignment(shard)
	if !ok {
		return 0, false
	}
	if a.Owner != l.o.Self {
		l.owner.Observe(now, shard, a.Epoch)
		return 0, false
	}
	if !l.o.Owns(shard) {
		return 0, false
	}
	if l.owner.Serves(shard, a.Epoch) {
		return a.Epoch, true
	}
	serves, ask := l.owner.TakeOver(now, shard, a.Epoch, a.Previous != (fleet.VMRef{}))
	if serves {
		l.logStart(a, "every earlier owner has stopped")
	}
	if ask {
		go l.askRelease(s, a)
	}
	return a.Epoch, serves
}

func (l *Limits) logStart(a fleet.Assignment, reason string) {
	l.o.Log.WithFields(logrus.Fields{"event": "rate_owner_started", "shard": a.Shard, "epoch": a.Epoch}).Debug(reason)
}

// askRelease asks the previous owner to stop granting.
func (l *Limits) askRelease(s *fleet.State, a fleet.Assignment) {
	vm, ok := s.VM(a.Previous.ID)
	if !ok || vm.VMRef != a.Previous {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	var levels ratelimit.Levels
	err := l.o.Pool.Call(ctx, vm.RPCAddress, methodRelease, releaseRequest{Shard: a.Shard, Epoch: a.Epoch}, &levels)
	if err != nil {
		l.o.Log.WithFields(logrus.Fields{"event": "rate_release_failed", "shard": a.Shard, "epoch": a.Epoch, "owner": vm.ID}).
			WithError(err).Warn("rate buckets wait until the previous owner's lease has expired")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner.Released(l.now(), a.Shard, a.Epoch, levels)
	if l.owner.Serves(a.Shard, a.Epoch) {
		l.logStart(a, "the previous owner handed over its buckets")
	}
}

func (l *Limits) releaseLocal(r releaseRequest) (ratelimit.Levels, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner.Release(l.now(), r.Shard, r.Epoch), nil
}

// RecordUsage counts tokens that an organisation's requests have used. They
// reach the owner with the next report; the counter guides placement only, so
// a report with an unknown outcome is not repeated.
func (l *Limits) RecordUsage(organisation string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage[organisation] += tokens
}

func (l *Limits) usageLocal(r usageReport) (usageAnswer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.o.State()
	now := l.now()
	answer := usageAnswer{OrganisationTokens: make(map[string]int64, len(r.Tokens))}
	for organisation, tokens := range r.Tokens {
		shard := fleet.ShardOf(s.Shards(), organisation, "")
		_, known := s.Organisation(organisation)
		if _, ok := l.serving(now, s, shard); !ok || !known {
			continue
		}
		l.owner.RecordUsage(now, shard, organisation, tokens)
		answer.OrganisationTokens[organisation] = l.owner.OrganisationTokens(now, shard, organisation)
	}
	return answer, nil
}

// Run reports usage and starts new ownerships until ctx ends. The two tasks run
// apart, because a report may wait for an owner that does not answer.
func (l *Limits) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { periodic.Every(ctx, startInterval, l.startOwned) })
	tasks.Go(func() { periodic.Every(ctx, reportInterval, func() { l.reportUsage(ctx) }) })
	tasks.Wait()
}

// startOwned starts the shards that this VM has come to own, so that their
// buckets begin to fill before the first request.
func (l *Limits) startOwned() {
	s := l.o.State()
	l.mu.Lock()
	defer l.mu.Unlock()
	for shard := range s.Shards() {
		l.serving(l.now(), s, shard)
	}
}

// reportUsage sends the collected usage to each organisation's owner.
func (l *Limits) reportUsage(ctx context.Context) {
	l.mu.Lock()
	pending := l.usage
	l.usage = make(map[string]int64)
	l.mu.Unlock()
	s := l.o.State()
	reports := make(map[fleet.VMRef]map[string]int64)
	for organisation, tokens := range pending {
		a, _ := s.Assignment(fleet.ShardOf(s.Shards(), organisation, ""))
		if reports[a.Owner] == nil {
			reports[a.Owner] = make(map[string]int64)
		}
		reports[a.Owner][organisation] = tokens
	}
	var calls errgroup.Group
	calls.SetLimit(parallelReports)
	for owner, tokens := range reports {
		calls.Go(func() error {
			l.reportTo(ctx, s, owner, usageReport{Tokens: tokens})
			return nil
		})
	}
	// The functions return no errors.
	_ = calls.Wait()
}

// reportTo sends one report and keeps the counters of the answer.
func (l *Limits) reportTo(ctx context.Context, s *fleet.State, owner fleet.VMRef, r usageReport) {
	answer, err := l.callUsage(ctx, s, owner, r)
	if err != nil {
		l.o.Log.WithFields(logrus.Fields{"event": "usage_report_failed", "owner": owner.ID}).WithError(err).Warn("usage is not counted")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for organisation, total := range answer.OrganisationTokens {
		l.counters[organisation] = ratelimit.NewCounter(l.now(), float64(total))
	}
}

func (l *Limits) callUsage(ctx context.Context, s *fleet.State, owner fleet.VMRef, r usageReport) (usageAnswer, error) {
	if owner == l.o.Self {
		return l.usageLocal(r)
	}
	vm, ok := s.VM(owner.ID)
	if !ok || vm.VMRef != owner {
		return usageAnswer{}, rpc.Errorf(CodeNotOwner, "no registered owner")
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var answer usageAnswer
	err := l.o.Pool.Call(ctx, vm.RPCAddress, methodUsage, r, &answer)
	return answer, err
}
