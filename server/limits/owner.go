package limits

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/membership"
	"hemlockvale.dev/coord/ratelimit"
	"hemlockvale.dev/server/rpc"
)

const (
	// reportInterval is how often usage goes to the owners and new ownerships are started.
	reportInterval = 200 * time.Millisecond
	// startInterval is how often new ownerships are looked for.
	startInterval = 50 * time.Millisecond
	// releaseTimeout bounds one call to a previous owner.
	releaseTimeout = 500 * time.Millisecond
	// takeoverWait is when a live previous owner that cannot be reached has
	// stopped for sure: its lease ended at most LeaseLength after the shard was
	// moved, and the last grants MaxValidity later. The rest covers rounding.
	takeoverWait = membership.LeaseLength + ratelimit.MaxValidity + 100*time.Millisecond
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

// takeoverDeadline is the time from which an epoch may start without an answer.
type takeoverDeadline struct {
	epoch uint64
	at    time.Duration
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
	if !ok || a.Owner != l.o.Self || !l.o.Owns(shard) {
		return 0, false
	}
	if epoch, started := l.owner.Epoch(shard); started && epoch == a.Epoch {
		return a.Epoch, true
	}
	if a.Previous == (fleet.VMRef{}) || a.Previous == l.o.Self {
		return a.Epoch, l.begin(now, a)
	}
	deadline := l.takeover[shard]
	if deadline.epoch != a.Epoch {
		deadline = takeoverDeadline{epoch: a.Epoch, at: now + takeoverWait}
		l.takeover[shard] = deadline
	}
	if now >= deadline.at {
		return a.Epoch, l.begin(now, a)
	}
	l.askRelease(s, a)
	return 0, false
}

// begin starts an epoch with empty buckets.
func (l *Limits) begin(now time.Duration, a fleet.Assignment) bool {
	delete(l.takeover, a.Shard)
	if !l.owner.Start(now, a.Shard, a.Epoch) {
		return false
	}
	l.o.Log.WithFields(logrus.Fields{"event": "rate_owner_started", "shard": a.Shard, "epoch": a.Epoch}).Debug("rate buckets start empty")
	return true
}

// askRelease asks the previous owner to stop granting, once at a time per shard.
func (l *Limits) askRelease(s *fleet.State, a fleet.Assignment) {
	vm, ok := s.VM(a.Previous.ID)
	if !ok || vm.VMRef != a.Previous || l.starting[a.Shard] == a.Epoch {
		return
	}
	l.starting[a.Shard] = a.Epoch
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		err := l.o.Pool.Call(ctx, vm.RPCAddress, methodRelease, releaseRequest{Shard: a.Shard, Epoch: a.Epoch}, nil)
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.starting, a.Shard)
		if err != nil {
			l.o.Log.WithFields(logrus.Fields{"event": "rate_release_failed", "shard": a.Shard, "epoch": a.Epoch}).WithError(err).Warn("waiting for the previous owner's lease")
			return
		}
		l.begin(l.now(), a)
	}()
}

func (l *Limits) releaseLocal(r releaseRequest) (struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner.Release(r.Shard, r.Epoch)
	return struct{}{}, nil
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

// Run reports usage and starts new ownerships until ctx ends.
func (l *Limits) Run(ctx context.Context) {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	begin := time.NewTicker(startInterval)
	defer begin.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-begin.C:
			l.startOwned()
		case <-report.C:
			l.reportUsage(ctx)
		}
	}
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
	for owner, tokens := range reports {
		answer, err := l.reportTo(ctx, s, owner, usageReport{Tokens: tokens})
		if err != nil {
			l.o.Log.WithFields(logrus.Fields{"event": "usage_report_failed", "owner": owner.ID}).WithError(err).Warn("usage is not counted")
			continue
		}
		l.mu.Lock()
		for organisation, total := range answer.OrganisationTokens {
			l.counters[organisation] = total
		}
		l.mu.Unlock()
	}
}

func (l *Limits) reportTo(ctx context.Context, s *fleet.State, owner fleet.VMRef, r usageReport) (usageAnswer, error) {
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
