package ratelimit

import (
	"math"
	"time"

	"hemlockvale.dev/coord/fleet"
)

// HalfLife is the time in which an organisation's token counter halves.
const HalfLife = 30 * time.Second

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

// Answer is the owner's decision about an acquisition.
type Answer struct {
	// Granted is the number of requests that may run.
	Granted int64 `json:"granted"`
	// Validity is how long the grant may be used, from when the acquisition was sent.
	Validity time.Duration `json:"validity_ns"`
	// RetryAfter is the time until one more request could be granted, if some were not.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// Spacing is the time between further requests at the sustained rate.
	Spacing time.Duration `json:"spacing_ns,omitempty"`
	// Never is set if a request of this size exceeds the bucket's capacity.
	Never bool `json:"never,omitempty"`
	// OrganisationTokens is the organisation's decayed token counter.
	OrganisationTokens int64 `json:"organisation_tokens,omitempty"`
}

// Owner keeps the buckets of the shards that this VM owns. It is not safe for
// concurrent use. The caller makes sure that it holds a lease when it asks for
// a decision.
type Owner struct {
	shards map[int]*ownedShard
	// released holds the lowest epoch that may be started, for shards that
	// this VM gave up.
	released map[int]uint64
}

// ownedShard is one term of ownership.
type ownedShard struct {
	epoch   uint64
	since   time.Duration
	buckets map[string]*bucket
	usage   map[string]*counter
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Duration
	terms  Terms
}

// NewOwner returns an owner of no shard.
func NewOwner() *Owner {
	return &Owner{shards: make(map[int]*ownedShard), released: make(map[int]uint64)}
}

// Start begins an epoch of ownership with empty buckets. It reports whether
// the epoch is in force: a released or earlier one is not.
func (o *Owner) Start(now time.Duration, shard int, epoch uint64) bool {
	if epoch < o.released[shard] {
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
		usage:   make(map[string]*counter),
	}
	return true
}

// Epoch returns the epoch in which this VM grants tokens of a shard.
func (o *Owner) Epoch(shard int) (uint64, bool) {
	s := o.shards[shard]
	if s == nil {
		return 0, false
	}
	return s.epoch, true
}

// Release ends every epoch below the given one: this VM grants nothing in them
// any more.
func (o *Owner) Release(shard int, epoch uint64) {
	o.released[shard] = max(o.released[shard], epoch)
	if s := o.shards[shard]; s != nil && s.epoch < epoch {
		delete(o.shards, shard)
	}
}

// Acquire takes unit tokens for each of up to count requests from all buckets
// together. It returns false if the shard has not been started in this epoch.
func (o *Owner) Acquire(now time.Duration, shard int, epoch uint64, wants []Want, unit, count int64) (Answer, bool) {
	s := o.shards[shard]
	if s == nil || s.epoch != epoch || unit < 1 || count < 1 {
		return Answer{}, false
	}
	answer := Answer{Granted: count, Validity: MaxValidity}
	used := make([]*bucket, 0, len(wants))
	for _, w := range wants {
		terms, limited := TermsFor(w.Limits)
		if !limited {
			continue
		}
		b := s.bucket(now, w.Bucket, terms)
		used = append(used, b)
		answer.Granted = min(answer.Granted, int64(math.Floor(b.tokens/float64(unit))))
		answer.Validity = min(answer.Validity, terms.Validity)
		answer.Spacing = max(answer.Spacing, seconds(float64(unit)/terms.Rate))
		answer.Never = answer.Never || float64(unit) > terms.Capacity
	}
	for _, b := range used {
		b.tokens -= float64(answer.Granted * unit)
		if missing := float64(unit) - b.tokens; answer.Granted < count && missing > 0 {
			answer.RetryAfter = max(answer.RetryAfter, seconds(missing/b.terms.Rate))
		}
	}
	return answer, true
}

// bucket returns a bucket filled up to now. One that is used for the first
// time was empty when the ownership started.
func (s *ownedShard) bucket(now time.Duration, name string, terms Terms) *bucket {
	b := s.buckets[name]
	if b == nil {
		b = &bucket{at: s.since}
		s.buckets[name] = b
	}
	// Edited limits hold from here on; tokens above the new capacity are lost.
	b.terms = terms
	// A clock that steps back adds nothing until it has passed its former value.
	if elapsed := now - b.at; elapsed > 0 {
		b.tokens += terms.Rate * elapsed.Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, terms.Capacity)
	return b
}

// RecordUsage adds tokens to an organisation's counter.
func (o *Owner) RecordUsage(now time.Duration, shard int, organisation string, tokens int64) {
	s := o.shards[shard]
	if s == nil || tokens <= 0 {
		return
	}
	c := s.usage[organisation]
	if c == nil {
		c = &counter{}
		s.usage[organisation] = c
	}
	c.add(now, float64(tokens))
}

// OrganisationTokens returns an organisation's decayed counter.
func (o *Owner) OrganisationTokens(now time.Duration, shard int, organisation string) int64 {
	s := o.shards[shard]
	if s == nil || s.usage[organisation] == nil {
		return 0
	}
	return int64(s.usage[organisation].read(now))
}

// counter decays exponentially with HalfLife.
type counter struct {
	value float64
	at    time.Duration
}

func (c *counter) read(now time.Duration) float64 {
	elapsed := max(now-c.at, 0)
	return c.value * math.Exp2(-float64(elapsed)/float64(HalfLife))
}

func (c *counter) add(now time.Duration, amount float64) {
	c.value = c.read(now) + amount
	c.at = max(c.at, now)
}

// seconds converts to a duration, rounded up so that a retry is not early.
func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/2)) + time.Microsecond
}
