package ratelimit

import (
	"slices"
	"time"
)

const (
	// MaxWait is the longest time that a request waits for tokens that are not yet in
	// the bucket. A caller that uses its whole burst at once and then its full rate
	// waits up to MaxValidity, because the capacity is smaller than the burst by the
	// tokens that arrive during the validity. The rest of MaxWait covers VMs that compete
	// for tokens.
	MaxWait = 250 * time.Millisecond
	// UnavailableAfter is how long a request waits for an owner that does not respond
	// before it is refused as Unavailable.
	UnavailableAfter = time.Second
	// AcquireTimeout is the time after which an acquisition counts as failed. A grant
	// that arrives later has expired.
	AcquireTimeout = MaxValidity
	// RetryInterval is the delay between a failed acquisition and the next one.
	RetryInterval = 20 * time.Millisecond
)

// Key selects the buckets that a request takes tokens from. Requests with the same
// key share one queue.
type Key struct {
	// Organisation is the id of the organisation that the request belongs to.
	Organisation string
	// Profile is the name of the service profile that the request runs under.
	Profile string
}

// EffectKind is the kind of an Effect.
type EffectKind int

const (
	// Send asks the caller to send an acquisition to the owner.
	Send EffectKind = iota
	// Admit allows a request to run now.
	Admit
	// Refuse refuses a request that the owner did not grant.
	Refuse
	// Unavailable refuses a request because no owner responded.
	Unavailable
	// ScheduleTick asks the caller to call Tick at a given time.
	ScheduleTick
)

// Effect is an action that a Client asks its caller to perform.
type Effect struct {
	// Kind is the action; it determines which of the other fields are set.
	Kind EffectKind
	// Key is the key of the queue, for Send and ScheduleTick.
	Key Key
	// Sequence identifies the acquisition, for Send.
	Sequence uint64
	// Cost is the number of tokens that each request takes, for Send.
	Cost int64
	// Count is the number of requests in the acquisition, for Send.
	Count int64
	// Request is the id of the request, for Admit, Refuse and Unavailable.
	Request uint64
	// RetryAfter is the delay after which the owner expects to have tokens, for Refuse.
	RetryAfter time.Duration
	// OrganisationTokens is the organisation's decayed token counter, for Admit.
	OrganisationTokens int64
	// At is the time at which to call Tick, for ScheduleTick.
	At time.Duration
}

// Client combines the waiting requests of one VM into acquisitions, with at most one
// in flight per key. It admits a request only with a grant of the acquisition in
// flight and ignores late, duplicate and expired responses. It performs no I/O and is
// not safe for concurrent use.
type Client struct {
	sequence uint64
	queues   map[Key]*queue
}

// queue holds the requests for one key, oldest first.
type queue struct {
	waiting   []pendingRequest
	reserved  []reservation
	inFlight  *acquisition
	notBefore time.Duration // earliest time of the next acquisition
	nextTick  time.Duration // earliest scheduled Tick; 0 if none is scheduled
}

// pendingRequest is a request that waits for cost tokens.
type pendingRequest struct {
	id      uint64
	cost    int64
	arrived time.Duration
}

// reservation is a request with reserved tokens. It may run at or after due and before
// expires.
type reservation struct {
	pendingRequest
	due, expires       time.Duration
	organisationTokens int64 // the organisation's counter, reported when the request is admitted
}

// acquisition is a call to the owner for the first count requests of the queue.
type acquisition struct {
	sequence uint64
	sent     time.Duration
	count    int64
}

// NewClient returns a client without requests.
func NewClient() *Client { return &Client{queues: make(map[Key]*queue)} }

// Request adds a request that takes cost tokens. A cost below 1 counts as 1.
func (c *Client) Request(now time.Duration, id uint64, key Key, cost int64) []Effect {
	q := c.queues[key]
	if q == nil {
		q = &queue{}
		c.queues[key] = q
	}
	q.waiting = append(q.waiting, pendingRequest{id: id, cost: max(cost, 1), arrived: now})
	return c.sendNext(now, key, q, nil)
}

// Cancel drops a request whose caller no longer waits. Tokens that were reserved for it,
// or that the acquisition in flight takes for it, are lost.
func (c *Client) Cancel(key Key, id uint64) {
	q := c.queues[key]
	if q == nil {
		return
	}
	q.reserved = slices.DeleteFunc(q.reserved, func(r reservation) bool { return r.id == id })
	i := slices.IndexFunc(q.waiting, func(p pendingRequest) bool { return p.id == id })
	if i < 0 {
		return
	}
	if q.inFlight != nil && int64(i) < q.inFlight.count {
		q.inFlight.count--
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
}

// HandleResponse handles the owner's response to an acquisition. It ignores a response
// whose sequence is not that of the acquisition in flight.
func (c *Client) HandleResponse(now time.Duration, key Key, sequence uint64, r AcquireResponse) []Effect {
	q := c.queues[key]
	if q == nil || q.inFlight == nil || q.inFlight.sequence != sequence {
		return nil
	}
	completed := *q.inFlight
	q.inFlight = nil
	elapsed := now - completed.sent
	if r.Granted+r.Reserved > 0 && (elapsed < 0 || elapsed >= r.Validity) {
		// The grant has expired: its tokens are lost, and the next acquisition
		// includes the requests again.
		return c.sendNext(now, key, q, nil)
	}
	var effects []Effect
	var remaining []pendingRequest
	for i, p := range q.waiting[:completed.count] {
		index := int64(i)
		delay := r.Delay(index)
		switch {
		case index < r.Granted:
			effects = append(effects, Effect{Kind: Admit, Request: p.id, OrganisationTokens: r.OrganisationTokens})
		case index < r.Granted+r.Reserved:
			q.reserved = append(q.reserved, reservation{p, now + delay, completed.sent + delay + r.Validity, r.OrganisationTokens})
		case r.ExceedsCapacity || now+delay > p.arrived+MaxWait:
			effects = append(effects, Effect{Kind: Refuse, Request: p.id, RetryAfter: delay})
		default:
			remaining = append(remaining, p)
			q.notBefore = now + r.RetryAfter
		}
	}
	q.waiting = append(remaining, q.waiting[completed.count:]...)
	return c.sendNext(now, key, q, effects)
}

// admitReserved admits the requests whose reserved tokens have arrived. Reservations
// that expired while this VM was paused go back to the queue.
func (q *queue) admitReserved(now time.Duration) []Effect {
	var effects []Effect
	var missed []pendingRequest
	q.reserved = slices.DeleteFunc(q.reserved, func(r reservation) bool {
		if now < r.due {
			return false
		}
		if now < r.expires {
			effects = append(effects, Effect{Kind: Admit, Request: r.id, OrganisationTokens: r.organisationTokens})
		} else {
			missed = append(missed, r.pendingRequest)
		}
		return true
	})
	if q.inFlight != nil {
		// The first requests of the queue belong to the acquisition in flight.
		q.waiting = slices.Insert(q.waiting, int(q.inFlight.count), missed...)
		return effects
	}
	q.waiting = append(missed, q.waiting...)
	return effects
}

// HandleFailure handles an acquisition that failed or received no response. Requests
// that have waited for UnavailableAfter are refused; the others are retried.
func (c *Client) HandleFailure(now time.Duration, key Key, sequence uint64) []Effect {
	q := c.queues[key]
	if q == nil || q.inFlight == nil || q.inFlight.sequence != sequence {
		return nil
	}
	q.inFlight = nil
	q.notBefore = now + RetryInterval
	var effects []Effect
	var remaining []pendingRequest
	for _, p := range q.waiting {
		if now-p.arrived >= UnavailableAfter {
			effects = append(effects, Effect{Kind: Unavailable, Request: p.id})
			continue
		}
		remaining = append(remaining, p)
	}
	q.waiting = remaining
	return c.sendNext(now, key, q, effects)
}

// Tick admits due reservations, times out the acquisition in flight and sends the next
// acquisition for one key.
func (c *Client) Tick(now time.Duration, key Key) []Effect {
	q := c.queues[key]
	if q == nil {
		return nil
	}
	q.nextTick = 0
	effects := q.admitReserved(now)
	f := q.inFlight
	if f != nil && now-f.sent >= AcquireTimeout {
		return append(effects, c.HandleFailure(now, key, f.sequence)...)
	}
	return c.sendNext(now, key, q, effects)
}

// scheduleTick requests a Tick unless one is already scheduled at or before that time,
// so that a busy queue does not start a timer for each request.
func (q *queue) scheduleTick(key Key, at time.Duration, effects []Effect) []Effect {
	if q.nextTick != 0 && q.nextTick <= at {
		return effects
	}
	q.nextTick = at
	return append(effects, Effect{Kind: ScheduleTick, Key: key, At: at})
}

// sendNext sends an acquisition for the requests of equal cost at the head of the queue,
// if none is in flight, and schedules the next Tick. It deletes an empty queue.
func (c *Client) sendNext(now time.Duration, key Key, q *queue, effects []Effect) []Effect {
	for _, r := range q.reserved {
		effects = q.scheduleTick(key, r.due, effects)
	}
	switch {
	case q.inFlight != nil:
		return q.scheduleTick(key, q.inFlight.sent+AcquireTimeout, effects)
	case len(q.waiting) == 0 && len(q.reserved) == 0:
		delete(c.queues, key)
		return effects
	case len(q.waiting) == 0:
		return effects
	case now < q.notBefore:
		return q.scheduleTick(key, q.notBefore, effects)
	}
	cost := q.waiting[0].cost
	count := slices.IndexFunc(q.waiting, func(p pendingRequest) bool { return p.cost != cost })
	if count < 0 {
		count = len(q.waiting)
	}
	c.sequence++
	q.inFlight = &acquisition{sequence: c.sequence, sent: now, count: int64(count)}
	effects = append(effects, Effect{Kind: Send, Key: key, Sequence: c.sequence, Cost: cost, Count: int64(count)})
	return q.scheduleTick(key, now+AcquireTimeout, effects)
}
