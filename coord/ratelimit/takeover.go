package ratelimit

import (
	"time"

	"hemlockvale.dev/coord/membership"
)

const (
	// TakeoverWait is when every owner of an earlier epoch has stopped for sure,
	// counted from when a VM learned of the epoch. A poll that was answered
	// without the new epoch was sent before the epoch was committed, so the
	// earlier owner's lease ends at most LeaseDuration after that, and its last
	// reserved grant MaxWait + MaxValidity later. The rest covers rounding and slow clocks.
	TakeoverWait = membership.LeaseDuration + MaxWait + MaxValidity + 100*time.Millisecond
	// releaseInterval is how often the previous owner is asked to stop.
	releaseInterval = 100 * time.Millisecond
)

// observation is what a VM knows about a shard's latest epoch.
type observation struct {
	epoch uint64
	since time.Duration // when this VM learned of the epoch
	// quiet is set if the owners before the previous one have stopped for sure.
	quiet bool
	asked time.Duration // when the previous owner was last asked to stop
}

// release is a promise to grant nothing in earlier epochs.
type release struct {
	below  uint64
	levels Levels
}

// Levels is what a previous owner hands over when it stops, so that a planned
// move does not cost an organisation its burst. Times are ages, so that no
// clocks are compared. A successor uses them once, for the epoch that follows.
type Levels struct {
	// Epoch is the last epoch in which it granted anything; 0: none.
	Epoch uint64 `json:"epoch"`
	// Age is how long buckets that were never used have been filling.
	Age time.Duration `json:"age_ns,omitempty"`
	// Buckets holds the tokens of the used buckets.
	Buckets map[string]float64 `json:"buckets,omitempty"`
	// Usage holds the organisations' token counters.
	Usage map[string]float64 `json:"usage,omitempty"`
}

// Observe records the epoch of a shard, whoever owns it. Every VM calls it for
// all shards when its configuration changes: a later owner knows from it how
// long ago the epochs before the last one ended.
func (o *Owner) Observe(now time.Duration, shard int, epoch uint64) {
	seen := o.observed[shard]
	if epoch <= seen.epoch {
		return
	}
	quiet := seen.epoch != 0 && seen.epoch == epoch-1 && now-seen.since >= TakeoverWait
	// Nobody owned the shard before its first epoch.
	o.observed[shard] = observation{epoch: epoch, since: now, quiet: quiet || epoch <= 2, asked: now - releaseInterval}
}

// TakeOver starts an epoch with empty buckets once every earlier owner has
// stopped for sure. previousLive says that the previous owner was live when it
// lost the shard, so its lease may be valid. If ask is set, the previous owner
// should be asked to release the shard; its answer goes to Released.
func (o *Owner) TakeOver(now time.Duration, shard int, epoch uint64, previousLive bool) (serves, ask bool) {
	if o.Serves(shard, epoch) {
		return true, false
	}
	o.Observe(now, shard, epoch)
	seen := o.observed[shard]
	if seen.epoch != epoch {
		return false, false
	}
	stopped := epoch <= 1 || (seen.quiet && !previousLive) || now-seen.since >= TakeoverWait
	if stopped {
		return o.start(now, shard, epoch), false
	}
	if !previousLive || now-seen.asked < releaseInterval {
		return false, false
	}
	seen.asked = now
	o.observed[shard] = seen
	return false, true
}

// Release ends every epoch below the given one: this VM grants nothing in them
// any more. A repeated release returns the same answer.
func (o *Owner) Release(now time.Duration, shard int, epoch uint64) Levels {
	r := o.released[shard]
	if s := o.shards[shard]; s != nil && s.epoch < epoch {
		r.levels = s.levels(now)
		delete(o.shards, shard)
	}
	r.below = max(r.below, epoch)
	o.released[shard] = r
	return r.levels
}

func (s *ownedShard) levels(now time.Duration) Levels {
	l := Levels{
		Epoch:   s.epoch,
		Age:     max(now-s.since, 0),
		Buckets: make(map[string]float64, len(s.buckets)),
		Usage:   make(map[string]float64, len(s.usage)),
	}
	for name, b := range s.buckets {
		b.fill(now, b.terms)
		l.Buckets[name] = b.tokens
	}
	for organisation, c := range s.usage {
		l.Usage[organisation] = c.Read(now)
	}
	return l
}

// Released uses the previous owner's answer. If that VM had started its epoch,
// all earlier ones had ended before; otherwise TakeOver waits.
func (o *Owner) Released(now time.Duration, shard int, epoch uint64, l Levels) {
	if o.observed[shard].epoch != epoch || l.Epoch == 0 || l.Epoch != epoch-1 || o.Serves(shard, epoch) {
		return
	}
	if !o.start(now, shard, epoch) {
		return
	}
	s := o.shards[shard]
	s.since = now - l.Age
	for name, tokens := range l.Buckets {
		s.buckets[name] = &bucket{tokens: tokens, at: now}
	}
	for organisation, value := range l.Usage {
		s.usage[organisation] = NewCounter(now, value)
	}
}
