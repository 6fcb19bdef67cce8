package ratelimit

import (
	"time"

	"hemlockvale.dev/coord/membership"
)

const (
	// TakeoverWait is the time after which every owner of an earlier epoch has certainly
	// stopped. It is counted from when a VM learns of an epoch. A poll whose response
	// lacked the new epoch was sent before the epoch was committed, so the lease of an
	// earlier owner ends at most LeaseDuration after that, and its last reserved grant
	// expires MaxWait + MaxValidity later. The remainder covers rounding and slow clocks.
	TakeoverWait = membership.LeaseDuration + MaxWait + MaxValidity + 100*time.Millisecond
	// releaseRetryInterval is the interval between release requests to the previous owner.
	releaseRetryInterval = 100 * time.Millisecond
)

// observation is what a VM knows about the latest epoch of a shard.
type observation struct {
	epoch   uint64
	learned time.Duration // when this VM learned of the epoch
	// earlierStopped is set if all owners before the previous one have certainly stopped.
	earlierStopped   bool
	releaseRequested time.Duration // when the previous owner was last asked to release the shard
}

// release records that this VM grants nothing in epochs below minEpoch, and the state
// that it handed over.
type release struct {
	minEpoch uint64
	state    HandoverState
}

// HandoverState is the state that an owner hands over when it releases a shard, so that
// organisations keep their burst when the shard is moved as planned. It contains an age
// instead of a time because clocks of different VMs are not comparable. Only the owner of
// the next epoch uses it, and only once.
type HandoverState struct {
	// Epoch is the last epoch that the previous owner started, or 0 if it started none.
	Epoch uint64 `json:"epoch"`
	// Age is the time since that epoch started; buckets that are not in Buckets have
	// been filling since then.
	Age time.Duration `json:"age_ns,omitempty"`
	// Buckets holds the tokens in each bucket that was used, by bucket name.
	Buckets map[string]float64 `json:"buckets,omitempty"`
	// Usage holds the decayed token counters by organisation.
	Usage map[string]float64 `json:"usage,omitempty"`
}

// Observe records the epoch of a shard, whichever VM owns it. Every VM calls it for all
// shards when its configuration changes, so that a VM that becomes owner knows how long
// ago the epochs before the previous one ended.
func (o *Owner) Observe(now time.Duration, shard int, epoch uint64) {
	seen := o.observed[shard]
	if epoch <= seen.epoch {
		return
	}
	earlierStopped := seen.epoch != 0 && seen.epoch == epoch-1 && now-seen.learned >= TakeoverWait
	// Before epoch 1 the shard had no owner, so up to epoch 2 there is no owner before the
	// previous one.
	o.observed[shard] = observation{epoch: epoch, learned: now, earlierStopped: earlierStopped || epoch <= 2, releaseRequested: now - releaseRetryInterval}
}

// TakeOver starts an epoch with empty buckets once every earlier owner has certainly
// stopped, and reports whether this VM serves the epoch. previousLive means that the
// previous owner was live when it lost the shard, so its lease may still be valid. If
// requestRelease is set, the caller should ask the previous owner to release the shard
// and pass the response to HandleReleaseResponse.
func (o *Owner) TakeOver(now time.Duration, shard int, epoch uint64, previousLive bool) (serves, requestRelease bool) {
	if o.Serves(shard, epoch) {
		return true, false
	}
	o.Observe(now, shard, epoch)
	seen := o.observed[shard]
	if seen.epoch != epoch {
		return false, false
	}
	stopped := epoch <= 1 || (seen.earlierStopped && !previousLive) || now-seen.learned >= TakeoverWait
	if stopped {
		return o.startEpoch(now, shard, epoch), false
	}
	if !previousLive || now-seen.releaseRequested < releaseRetryInterval {
		return false, false
	}
	seen.releaseRequested = now
	o.observed[shard] = seen
	return false, true
}

// Release ends every epoch below the given one: this VM grants nothing in them any more.
// A repeated release returns the same state.
func (o *Owner) Release(now time.Duration, shard int, epoch uint64) HandoverState {
	r := o.released[shard]
	if s := o.shards[shard]; s != nil && s.epoch < epoch {
		r.state = s.handoverState(now)
		delete(o.shards, shard)
	}
	r.minEpoch = max(r.minEpoch, epoch)
	o.released[shard] = r
	return r.state
}

// handoverState returns the state to hand over at now.
func (s *ownedShard) handoverState(now time.Duration) HandoverState {
	state := HandoverState{
		Epoch:   s.epoch,
		Age:     max(now-s.started, 0),
		Buckets: make(map[string]float64, len(s.buckets)),
		Usage:   make(map[string]float64, len(s.usage)),
	}
	for name, b := range s.buckets {
		b.fill(now, b.params)
		state.Buckets[name] = b.tokens
	}
	for organisation, c := range s.usage {
		state.Usage[organisation] = c.Read(now)
	}
	return state
}

// HandleReleaseResponse starts the epoch with the state that the previous owner handed
// over. If the previous owner had started its own epoch, all earlier owners had stopped
// before that. Otherwise the response is ignored and TakeOver waits.
func (o *Owner) HandleReleaseResponse(now time.Duration, shard int, epoch uint64, state HandoverState) {
	if o.observed[shard].epoch != epoch || state.Epoch == 0 || state.Epoch != epoch-1 || o.Serves(shard, epoch) {
		return
	}
	if !o.startEpoch(now, shard, epoch) {
		return
	}
	s := o.shards[shard]
	s.started = now - state.Age
	for name, tokens := range state.Buckets {
		s.buckets[name] = &bucket{tokens: tokens, updated: now}
	}
	for organisation, value := range state.Usage {
		s.usage[organisation] = NewCounter(now, value)
	}
}
