package ratelimit

import (
	"math"
	"time"

	"hemlockvale.dev/coord/fleet"
)

// CounterHalfLife is the time in which an organisation's token counter halves.
const CounterHalfLife = 60 * time.Second

// BucketName returns the name of the bucket of a service profile with its own limits.
// It is unambiguous because neither part contains a slash.
func BucketName(organisation, profile string) string { return organisation + "/" + profile }

// BucketLimits identifies a bucket that an acquisition takes tokens from and gives the
// limits that it enforces.
type BucketLimits struct {
	// Bucket is the organisation's id or a name returned by BucketName.
	Bucket string
	// Limits are the limits currently in effect.
	Limits fleet.Limits
}

// AcquireResponse is the owner's decision on an acquisition. Of its requests, in the
// order of their arrival, the first Granted may run now, the next Reserved have reserved
// tokens that arrive soon, and the rest receive no tokens.
type AcquireResponse struct {
	// Granted is the number of requests that may run now.
	Granted int64 `json:"granted"`
	// Reserved is the number of further requests that may run after their Delay.
	Reserved int64 `json:"reserved,omitempty"`
	// Validity is how long a grant can be used, counted from when the acquisition was
	// sent or, for a reservation, from Delay after that.
	Validity time.Duration `json:"validity_ns"`
	// RetryAfter is the Delay of the first request that was not granted.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// RequestRate is the number of requests of this cost per second that the buckets
	// can supply after RetryAfter.
	RequestRate float64 `json:"rate,omitempty"`
	// ExceedsCapacity is set if the cost of one request is above a bucket's capacity, so
	// that it can never be granted.
	ExceedsCapacity bool `json:"never,omitempty"`
	// OrganisationTokens is the organisation's decayed token counter.
	OrganisationTokens int64 `json:"organisation_tokens,omitempty"`
}

// Delay returns the time from the owner's decision until it expects to have tokens for
// the request at the zero-based index of the acquisition.
func (r AcquireResponse) Delay(index int64) time.Duration {
	if index < r.Granted || r.RequestRate <= 0 {
		return 0
	}
	return r.RetryAfter + ceilDuration(float64(index-r.Granted)/r.RequestRate)
}

// Owner keeps the token buckets and token counters of the shards that this VM owns. The
// caller must hold a valid lease when it calls Acquire or TakeOver. An Owner is not safe
// for concurrent use.
type Owner struct {
	shards   map[int]*ownedShard
	released map[int]release
	observed map[int]observation
}

// ownedShard is the state of a shard in one epoch of ownership.
type ownedShard struct {
	epoch   uint64
	started time.Duration
	buckets map[string]*bucket
	usage   map[string]*Counter
}

// bucket is a token bucket; tokens is its content at the time updated.
type bucket struct {
	tokens  float64
	updated time.Duration
	params  BucketParams
}

// NewOwner returns an Owner without shards.
func NewOwner() *Owner {
	return &Owner{
		shards:   make(map[int]*ownedShard),
		released: make(map[int]release),
		observed: make(map[int]observation),
	}
}

// startEpoch starts an epoch of ownership with empty buckets, unless it was started
// before. It returns false if the epoch was released or a later one has started.
func (o *Owner) startEpoch(now time.Duration, shard int, epoch uint64) bool {
	if epoch < o.released[shard].minEpoch {
		return false
	}
	current := o.shards[shard]
	if current != nil && current.epoch >= epoch {
		return current.epoch == epoch
	}
	o.shards[shard] = &ownedShard{
		epoch:   epoch,
		started: now,
		buckets: make(map[string]*bucket),
		usage:   make(map[string]*Counter),
	}
	return true
}

// Serves reports whether this VM grants tokens of a shard in the given epoch.
func (o *Owner) Serves(shard int, epoch uint64) bool {
	s := o.shards[shard]
	return s != nil && s.epoch == epoch
}

// Acquire takes cost tokens for each of up to count requests; each token is taken from
// all buckets. It returns false if cost or count is below 1, or if this VM does not
// serve the shard in this epoch.
func (o *Owner) Acquire(now time.Duration, shard int, epoch uint64, buckets []BucketLimits, cost, count int64) (AcquireResponse, bool) {
	s := o.shards[shard]
	if s == nil || s.epoch != epoch || cost < 1 || count < 1 {
		return AcquireResponse{}, false
	}
	response := AcquireResponse{Granted: count, Validity: MaxValidity}
	var backing [2]*bucket // usually the organisation's and the profile's; avoids an allocation
	used := backing[:0]
	for _, l := range buckets {
		params, limited := BucketParamsFor(l.Limits)
		if !limited {
			continue
		}
		b := s.bucket(now, l.Bucket, params)
		used = append(used, b)
		response.Granted = min(response.Granted, int64(math.Floor(max(b.tokens, 0)/float64(cost))))
		response.Validity = min(response.Validity, params.Validity-roundingMargin)
		response.ExceedsCapacity = response.ExceedsCapacity || float64(cost) > params.Capacity
	}
	for _, b := range used {
		b.tokens -= float64(response.Granted * cost)
	}
	if response.Granted < count {
		response.reserve(used, cost, count)
	}
	return response, true
}

// reserve sets RetryAfter and RequestRate. For requests that were not granted, it reserves
// the tokens that arrive within MaxWait, and takes them from the bucket at once, so that
// the requests of all VMs are served in the order of their acquisitions. A reserved
// request is admitted less than the validity after its tokens arrive, so the window bound
// holds as it does for granted requests. A request that takes from two buckets gets no
// reservation: the buckets fill at different rates, so the tokens of one would be used too
// long after their arrival.
func (r *AcquireResponse) reserve(used []*bucket, cost, count int64) {
	r.RequestRate = math.Inf(1)
	for _, b := range used {
		missing := float64(cost) - b.tokens
		r.RetryAfter = max(r.RetryAfter, ceilDuration(missing/b.params.Rate))
		r.RequestRate = min(r.RequestRate, b.params.Rate/float64(cost))
	}
	if len(used) != 1 || r.ExceedsCapacity {
		return
	}
	b := used[0]
	possible := math.Floor((MaxWait.Seconds()*b.params.Rate + b.tokens) / float64(cost))
	r.Reserved = min(count-r.Granted, int64(max(possible, 0)))
	b.tokens -= float64(r.Reserved * cost)
}

// bucket returns the named bucket, filled up to now. A bucket that is used for the first
// time counts as empty when the ownership started.
func (s *ownedShard) bucket(now time.Duration, name string, params BucketParams) *bucket {
	b := s.buckets[name]
	if b == nil {
		b = &bucket{updated: s.started}
		s.buckets[name] = b
	}
	b.fill(now, params)
	return b
}

// fill adds the tokens that have arrived since the last update. Changed parameters apply
// from the last update on, and tokens above the new capacity are lost.
func (b *bucket) fill(now time.Duration, params BucketParams) {
	b.params = params
	// After a backward step of the clock, no tokens arrive until it passes the time of
	// the last update.
	if elapsed := now - b.updated; elapsed > 0 {
		b.tokens += params.Rate * elapsed.Seconds()
		b.updated = now
	}
	b.tokens = min(b.tokens, params.Capacity)
}

// RecordUsage adds the tokens that an organisation's requests have used to its token
// counter. It does nothing if this VM has not started an epoch of the shard.
func (o *Owner) RecordUsage(now time.Duration, shard int, organisation string, tokens int64) {
	s := o.shards[shard]
	if s == nil || tokens <= 0 {
		return
	}
	c := s.usage[organisation]
	if c == nil {
		c = NewCounter(now, 0)
		s.usage[organisation] = c
	}
	c.Add(now, float64(tokens))
}

// OrganisationTokens returns the decayed token counter of an organisation, or 0 if this
// VM has none.
func (o *Owner) OrganisationTokens(now time.Duration, shard int, organisation string) int64 {
	s := o.shards[shard]
	if s == nil || s.usage[organisation] == nil {
		return 0
	}
	return int64(s.usage[organisation].Read(now))
}

// TotalTokens returns the sum of the decayed token counters of all organisations whose
// shards this VM owns.
func (o *Owner) TotalTokens(now time.Duration) int64 {
	sum := 0.0
	for _, s := range o.shards {
		for _, c := range s.usage {
			sum += c.Read(now)
		}
	}
	return int64(sum)
}

// Counter counts the tokens that an organisation's requests have used, which are unrelated
// to the tokens of the buckets. It decays exponentially with CounterHalfLife.
type Counter struct {
	value   float64
	updated time.Duration
}

// NewCounter returns a counter that has the given value at now.
func NewCounter(now time.Duration, value float64) *Counter {
	return &Counter{value: value, updated: now}
}

// Read returns the value decayed up to now.
func (c *Counter) Read(now time.Duration) float64 {
	elapsed := max(now-c.updated, 0)
	return c.value * math.Exp2(-float64(elapsed)/float64(CounterHalfLife))
}

// Add decays the counter up to now and adds amount.
func (c *Counter) Add(now time.Duration, amount float64) {
	c.value = c.Read(now) + amount
	c.updated = max(c.updated, now)
}

// roundingMargin shortens the validity of a grant to cover the rounding of times to whole
// nanoseconds.
const roundingMargin = time.Microsecond

// ceilDuration converts seconds to a duration and rounds up to a nanosecond.
func ceilDuration(s float64) time.Duration {
	return time.Duration(math.Ceil(min(s*float64(time.Second), math.MaxInt64/2)))
}
