package ratelimit

import (
	"math"
	"time"

	"hemlockvale.dev/coord/fleet"
)

// HalfLife is the time in which an organisation's token counter halves.
const HalfLife = 60 * time.Second

// BucketName names the bucket of a service profile that has its own limits.
// Neither part of the name contains a slash.
func BucketName(organisation, profile string) string { return organisation + "/" + profile }

// Want is one bucket that an acquisition takes from.
type Want struct {
	// Bucket is the organisation's id or a BucketName.
	Bucket string
	// Limits are the limits that are in effect now.
	Limits fleet.Limits
}

// Answer is the owner's decision about an acquisition of some requests in the
// order of their arrival: the first may run now, the next ones have reserved
// tokens that will exist soon, and the rest get nothing.
type Answer struct {
	// Granted is the number of requests that may run now.
	Granted int64 `json:"granted"`
	// Reserved is the number of requests that may run after their Delay.
	Reserved int64 `json:"reserved,omitempty"`
	// Validity is how long a grant may be used, from when the acquisition was
	// sent or, if reserved, from Delay after that.
	Validity time.Duration `json:"validity_ns"`
	// RetryAfter is the delay of the first request that may not run now.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// Rate is the number of such requests per second from then on.
	Rate float64 `json:"rate,omitempty"`
	// Never is set if a request of this size exceeds the bucket's capacity.
	Never bool `json:"never,omitempty"`
	// OrganisationTokens is the organisation's decayed token counter.
	OrganisationTokens int64 `json:"organisation_tokens,omitempty"`
}

// Delay returns when the owner expects to have tokens for a request, counted
// from its decision; index is the request's place in the acquisition.
func (a Answer) Delay(index int64) time.Duration {
	if index < a.Granted || a.Rate <= 0 {
		return 0
	}
	return a.RetryAfter + seconds(float64(index-a.Granted)/a.Rate)
}

// Owner keeps the buckets of the shards that this VM owns. It is not safe for
// concurrent use. The caller makes sure that it holds a lease when it asks for
// a decision.
type Owner struct {
	shards   map[int]*ownedShard
	released map[int]release
	observed map[int]observation
}

// ownedShard is one term of ownership.
type ownedShard struct {
	epoch   uint64
	since   time.Duration
	buckets map[string]*bucket
	usage   map[string]*Counter
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Duration
	terms  Terms
}

// NewOwner returns an owner of no shard.
func NewOwner() *Owner {
	return &Owner{
		shards:   make(map[int]*ownedShard),
		released: make(map[int]release),
		observed: make(map[int]observation),
	}
}

// start begins an epoch of ownership. It reports whether the epoch is in
// force: a released or earlier one is not.
func (o *Owner) start(now time.Duration, shard int, epoch uint64) bool {
	if epoch < o.released[shard].below {
		return false
	}
	current := o.shards[shard]
	if current != nil && current.epoch >= epoch {
		return current.epoch == epoch
	}
	o.shards[shard] = &ownedShard{
		epoch:   epoch,
		since:   now,
		buckets: make(map[string]*bucket),
		usage:   make(map[string]*Counter),
	}
	return true
}

// Serves reports whether this VM grants tokens of a shard in an epoch.
func (o *Owner) Serves(shard int, epoch uint64) bool {
	s := o.shards[shard]
	return s != nil && s.epoch == epoch
}

// Acquire takes unit tokens for each of up to count requests from all buckets
// together. It returns false if the shard has not been started in this epoch.
func (o *Owner) Acquire(now time.Duration, shard int, epoch uint64, wants []Want, unit, count int64) (Answer, bool) {
	s := o.shards[shard]
	if s == nil || s.epoch != epoch || unit < 1 || count < 1 {
		return Answer{}, false
	}
	answer := Answer{Granted: count, Validity: MaxValidity}
	var pair [2]*bucket // the organisation's and the profile's, as a rule
	used := pair[:0]
	for _, w := range wants {
		terms, limited := TermsFor(w.Limits)
		if !limited {
			continue
		}
		b := s.bucket(now, w.Bucket, terms)
		used = append(used, b)
		answer.Granted = min(answer.Granted, int64(math.Floor(max(b.tokens, 0)/float64(unit))))
		answer.Validity = min(answer.Validity, terms.Validity-rounding)
		answer.Never = answer.Never || float64(unit) > terms.Capacity
	}
	for _, b := range used {
		b.tokens -= float64(answer.Granted * unit)
	}
	if answer.Granted < count {
		answer.reserve(used, unit, count)
	}
	return answer, true
}

// reserve lets the requests that exceed the tokens run when their tokens will
// have arrived, within MaxWait, and charges the bucket at once. The
// displacement of an admission against its token stays below the validity, so
// the window bound holds as for other grants, and requests of all VMs are
// served in the order of their acquisitions. Two buckets fill at different
// rates; a reservation in both would displace the tokens of one, so there is none.
func (a *Answer) reserve(used []*bucket, unit, count int64) {
	a.Rate = math.Inf(1)
	for _, b := range used {
		missing := float64(unit) - b.tokens
		a.RetryAfter = max(a.RetryAfter, seconds(missing/b.terms.Rate))
		a.Rate = min(a.Rate, b.terms.Rate/float64(unit))
	}
	if len(used) != 1 || a.Never {
		return
	}
	b := used[0]
	possible := math.Floor((MaxWait.Seconds()*b.terms.Rate + b.tokens) / float64(unit))
	a.Reserved = min(count-a.Granted, int64(max(possible, 0)))
	b.tokens -= float64(a.Reserved * unit)
}

// bucket returns a bucket filled up to now. One that is used for the first
// time was empty when the ownership started.
func (s *ownedShard) bucket(now time.Duration, name string, terms Terms) *bucket {
	b := s.buckets[name]
	if b == nil {
		b = &bucket{at: s.since}
		s.buckets[name] = b
	}
	b.fill(now, terms)
	return b
}

// fill adds the tokens since the last use. Edited terms hold from the last use
// on; tokens above the new capacity are lost.
func (b *bucket) fill(now time.Duration, terms Terms) {
	b.terms = terms
	// A clock that steps back adds nothing until it has passed its former value.
	if elapsed := now - b.at; elapsed > 0 {
		b.tokens += terms.Rate * elapsed.Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, terms.Capacity)
}

// RecordUsage adds tokens to an organisation's counter.
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

// OrganisationTokens returns an organisation's decayed counter.
func (o *Owner) OrganisationTokens(now time.Duration, shard int, organisation string) int64 {
	s := o.shards[shard]
	if s == nil || s.usage[organisation] == nil {
		return 0
	}
	return int64(s.usage[organisation].Read(now))
}

// TotalTokens returns the sum of the decayed counters of all organisations that
// this VM owns.
func (o *Owner) TotalTokens(now time.Duration) int64 {
	sum := 0.0
	for _, s := range o.shards {
		for _, c := range s.usage {
			sum += c.Read(now)
		}
	}
	return int64(sum)
}

// Counter is a token counter that decays exponentially with HalfLife.
type Counter struct {
	value float64
	at    time.Duration
}

// NewCounter returns a counter with a value.
func NewCounter(now time.Duration, value float64) *Counter { return &Counter{value: value, at: now} }

// Read returns the decayed value.
func (c *Counter) Read(now time.Duration) float64 {
	elapsed := max(now-c.at, 0)
	return c.value * math.Exp2(-float64(elapsed)/float64(HalfLife))
}

// Add increases the counter.
func (c *Counter) Add(now time.Duration, amount float64) {
	c.value = c.Read(now) + amount
	c.at = max(c.at, now)
}

// rounding covers the conversion of times to whole nanoseconds.
const rounding = time.Microsecond

// seconds converts to a duration, rounded up.
func seconds(s float64) time.Duration {
	return time.Duration(math.Ceil(min(s*float64(time.Second), math.MaxInt64/2)))
}
