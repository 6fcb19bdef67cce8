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
	// reportInterval is the interval between usage reports to the owners.
	reportInterval = 200 * time.Millisecond
	// maxParallelReports is the maximum number of usage reports in flight.
	maxParallelReports = 16
	// takeoverInterval is the interval at which assignments are observed and new ownerships
	// started. It adds to the delay of the first grants after a planned move.
	takeoverInterval = 50 * time.Millisecond
	// ownerCallTimeout is the timeout of a release request or a usage report.
	ownerCallTimeout = 500 * time.Millisecond
)

// acquireRequest holds the parameters of rate.acquire: Count requests that take Cost bucket
// tokens each.
type acquireRequest struct {
	Organisation string `json:"organisation"`
	Profile      string `json:"profile"`
	Cost         int64  `json:"unit"`
	Count        int64  `json:"count"`
}

// usageReport holds the parameters of rate.usage: the tokens used since the last report, by
// organisation. The called VM owns the shards of all organisations in it, as far as the
// sender knows.
type usageReport struct {
	Tokens map[string]int64 `json:"tokens"`
}

// usageResponse is the result of rate.usage: the token counters of the reported
// organisations.
type usageResponse struct {
	OrganisationTokens map[string]int64 `json:"organisation_tokens"`
}

// releaseRequest holds the parameters of rate.release. Epoch is the epoch of the new owner;
// the called VM stops granting in all earlier epochs.
type releaseRequest struct {
	Shard int    `json:"shard"`
	Epoch uint64 `json:"epoch"`
}

// handler returns an rpc.Handler that decodes the parameters of a request and calls h.
func handler[P, R any](h func(P) (R, error)) rpc.Handler {
	return func(_ context.Context, data json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(data, &params); err != nil {
			return nil, rpc.Errorf(fleet.CodeInvalid, "%v", err)
		}
		return h(params)
	}
}

// handleAcquire handles rate.acquire.
func (l *Limits) handleAcquire(r acquireRequest) (ratelimit.AcquireResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decide(r)
}

// decide decides on an acquisition as the owner. The caller holds the mutex. The clock is
// read first, and the lease is checked before the buckets are used. If the process pauses
// in between, the buckets are filled only up to the earlier time, which can only lower the
// grant.
func (l *Limits) decide(r acquireRequest) (ratelimit.AcquireResponse, error) {
	s := l.o.State()
	shard := fleet.ShardOf(s.Shards(), r.Organisation, "")
	now := l.now()
	epoch, ok := l.servedEpoch(now, s, shard)
	if !ok {
		return ratelimit.AcquireResponse{}, rpc.Errorf(CodeNotOwner, "shard %d is not served here", shard)
	}
	buckets, err := bucketsFor(s, r.Organisation, r.Profile)
	if err != nil {
		return ratelimit.AcquireResponse{}, err
	}
	response, ok := l.owner.Acquire(now, shard, epoch, buckets, r.Cost, r.Count)
	if !ok {
		return ratelimit.AcquireResponse{}, rpc.Errorf(fleet.CodeInvalid, "%d requests of %d tokens", r.Count, r.Cost)
	}
	response.OrganisationTokens = l.owner.OrganisationTokens(now, shard, r.Organisation)
	return response, nil
}

// servedEpoch returns the epoch in which this VM may grant tokens of a shard, or false. It
// starts the epoch if every earlier owner has certainly stopped. Otherwise it may send a
// release request to the previous owner. The caller holds the mutex.
func (l *Limits) servedEpoch(now time.Duration, s *fleet.State, shard int) (uint64, bool) {
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
	serves, requestRelease := l.owner.TakeOver(now, shard, a.Epoch, a.Previous != (fleet.VMRef{}))
	if serves {
		l.logStart(a, "every earlier owner has stopped")
	}
	if requestRelease {
		go l.requestRelease(s, a)
	}
	return a.Epoch, serves
}

// logStart logs that this VM has started an epoch of ownership.
func (l *Limits) logStart(a fleet.Assignment, reason string) {
	l.o.Log.WithFields(logrus.Fields{"event": "rate_owner_started", "shard": a.Shard, "epoch": a.Epoch}).Debug(reason)
}

// requestRelease asks the previous owner to stop granting and starts the epoch with the
// state that it hands over.
func (l *Limits) requestRelease(s *fleet.State, a fleet.Assignment) {
	vm, ok := s.VM(a.Previous.ID)
	if !ok || vm.VMRef != a.Previous {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerCallTimeout)
	defer cancel()
	var state ratelimit.HandoverState
	err := l.o.Pool.Call(ctx, vm.RPCAddress, methodRelease, releaseRequest{Shard: a.Shard, Epoch: a.Epoch}, &state)
	if err != nil {
		l.o.Log.WithFields(logrus.Fields{"event": "rate_release_failed", "shard": a.Shard, "epoch": a.Epoch, "owner": vm.ID}).
			WithError(err).Warn("the previous owner did not release its rate buckets; grants wait for a retry or the end of its lease")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner.HandleReleaseResponse(l.now(), a.Shard, a.Epoch, state)
	if l.owner.Serves(a.Shard, a.Epoch) {
		l.logStart(a, "the previous owner handed over its buckets")
	}
}

// handleRelease handles rate.release.
func (l *Limits) handleRelease(r releaseRequest) (ratelimit.HandoverState, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner.Release(l.now(), r.Shard, r.Epoch), nil
}

// RecordUsage counts tokens that an organisation's requests have used. The next usage report
// sends them to the owner. The token counter only guides placement, so a report whose
// outcome is unknown is not repeated.
func (l *Limits) RecordUsage(organisation string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreported[organisation] += tokens
}

// handleUsage handles rate.usage. It skips organisations that do not exist or whose shard
// this VM does not serve.
func (l *Limits) handleUsage(r usageReport) (usageResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.o.State()
	now := l.now()
	response := usageResponse{OrganisationTokens: make(map[string]int64, len(r.Tokens))}
	for organisation, tokens := range r.Tokens {
		shard := fleet.ShardOf(s.Shards(), organisation, "")
		_, known := s.Organisation(organisation)
		if _, ok := l.servedEpoch(now, s, shard); !ok || !known {
			continue
		}
		l.owner.RecordUsage(now, shard, organisation, tokens)
		response.OrganisationTokens[organisation] = l.owner.OrganisationTokens(now, shard, organisation)
	}
	return response, nil
}

// Run reports usage and starts new ownerships until ctx ends. The two tasks run in separate
// goroutines, because a report may wait for an owner that does not respond.
func (l *Limits) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { periodic.Every(ctx, takeoverInterval, l.startOwnedShards) })
	tasks.Go(func() { periodic.Every(ctx, reportInterval, func() { l.reportUsage(ctx) }) })
	tasks.Wait()
}

// startOwnedShards starts the epochs of the shards that this VM now owns, so that their
// buckets begin to fill before the first request. It observes the epochs of all others.
func (l *Limits) startOwnedShards() {
	s := l.o.State()
	l.mu.Lock()
	defer l.mu.Unlock()
	for shard := range s.Shards() {
		l.servedEpoch(l.now(), s, shard)
	}
}

// reportUsage sends the unreported usage of each organisation to its owner.
func (l *Limits) reportUsage(ctx context.Context) {
	l.mu.Lock()
	pending := l.unreported
	l.unreported = make(map[string]int64)
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
	calls.SetLimit(maxParallelReports)
	for owner, tokens := range reports {
		calls.Go(func() error {
			l.sendReport(ctx, s, owner, usageReport{Tokens: tokens})
			return nil
		})
	}
	// The functions return no errors.
	_ = calls.Wait()
}

// sendReport sends a usage report and stores the counters of the response.
func (l *Limits) sendReport(ctx context.Context, s *fleet.State, owner fleet.VMRef, r usageReport) {
	response, err := l.callUsage(ctx, s, owner, r)
	if err != nil {
		l.o.Log.WithFields(logrus.Fields{"event": "usage_report_failed", "owner": owner.ID}).WithError(err).Warn("the usage report failed; its tokens are not counted")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for organisation, total := range response.OrganisationTokens {
		l.reportedCounters[organisation] = ratelimit.NewCounter(l.now(), float64(total))
	}
}

// callUsage delivers a usage report to its owner, without an RPC if that is this VM.
func (l *Limits) callUsage(ctx context.Context, s *fleet.State, owner fleet.VMRef, r usageReport) (usageResponse, error) {
	if owner == l.o.Self {
		return l.handleUsage(r)
	}
	vm, ok := s.VM(owner.ID)
	if !ok || vm.VMRef != owner {
		return usageResponse{}, rpc.Errorf(CodeNotOwner, "no registered owner")
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	var response usageResponse
	err := l.o.Pool.Call(ctx, vm.RPCAddress, methodUsage, r, &response)
	return response, err
}
