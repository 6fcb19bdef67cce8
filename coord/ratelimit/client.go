package ratelimit

import (
	"slices"
	"time"
)

const (
	// MaxWait is how long a request may wait for tokens that the owner does not
	// have yet. Callers that use their whole burst at once and then their whole
	// rate wait up to MaxValidity, because the bucket's capacity gives up that
	// part of the burst; the rest covers competition between VMs.
	MaxWait = 250 * time.Millisecond
	// UnavailableAfter is how long a request waits for an owner that does not answer.
	UnavailableAfter = time.Second
	// AnswerTimeout is when an acquisition counts as lost: a grant that comes later has expired.
	AnswerTimeout = MaxValidity
	// RetryInterval is the pause after a failed acquisition.
	RetryInterval = 20 * time.Millisecond
)

// Key selects the buckets that a request takes from.
type Key struct {
	// Organisation is the organisation's id.
	Organisation string
	// Profile is the profile that the request runs under.
	Profile string
}

// EffectKind says what the caller of a Client must do.
type EffectKind int

const (
	// Send sends an acquisition to the owner.
	Send EffectKind = iota
	// Admit lets a request run now.
	Admit
	// Refuse refuses a request: the owner did not grant it.
	Refuse
	// Unavailable refuses a request: no owner answered.
	Unavailable
	// Wake asks for a Tick at a time.
	Wake
)

// Effect is one action for the caller of a Client.
type Effect struct {
	// Kind selects the fields that are set.
	Kind EffectKind
	// Key is the acquisition's key, for Send.
	Key Key
	// Sequence identifies the acquisition, for Send.
	Sequence uint64
	// Unit is the number of tokens of each request, for Send.
	Unit int64
	// Count is the number of requests, for Send.
	Count int64
	// Request is the request's id, for Admit, Refuse and Unavailable.
	Request uint64
	// RetryAfter is when the owner expects to have tokens, for Refuse.
	RetryAfter time.Duration
	// OrganisationTokens is the organisation's decayed counter, for Admit.
	OrganisationTokens int64
	// At is the time of the next Tick, for Wake.
	At time.Duration
}

// Client coalesces the waiting requests of one VM into one acquisition per key
// at a time. It admits a request only with a grant of the acquisition that is
// under way: late, repeated and expired answers are not used. It is not safe
// for concurrent use.
type Client struct {
	sequence uint64
	queues   map[Key]*queue
}

// queue holds the requests that wait for one key, oldest first.
type queue struct {
	waiting  []waiting
	reserved []reservation
	inFlight *acquisition
	notUntil time.Duration // the next acquisition may be sent then
	wake     time.Duration // the next Tick that was asked for; 0: none
}

type waiting struct {
	id      uint64
	unit    int64
	arrived time.Duration
}

// reservation is a request that may run from due until before latest.
type reservation struct {
	waiting
	due, latest time.Duration
	tokens      int64 // the organisation's counter, to be returned with the grant
}

type acquisition struct {
	sequence uint64
	sent     time.Duration
	count    int64
}

// NewClient returns a client without requests.
func NewClient() *Client { return &Client{queues: make(map[Key]*queue)} }

// Request adds a request for unit tokens.
func (c *Client) Request(now time.Duration, id uint64, key Key, unit int64) []Effect {
	q := c.queues[key]
	if q == nil {
		q = &queue{}
		c.queues[key] = q
	}
	q.waiting = append(q.waiting, waiting{id: id, unit: max(unit, 1), arrived: now})
	return c.next(now, key, q, nil)
}

// Cancel drops a request whose caller has gone.
func (c *Client) Cancel(key Key, id uint64) {
	q := c.queues[key]
	if q == nil {
		return
	}
	q.reserved = slices.DeleteFunc(q.reserved, func(r reservation) bool { return r.id == id })
	i := slices.IndexFunc(q.waiting, func(w waiting) bool { return w.id == id })
	if i < 0 {
		return
	}
	if q.inFlight != nil && int64(i) < q.inFlight.count {
		q.inFlight.count--
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
}

// Answered uses the owner's answer to an acquisition.
func (c *Client) Answered(now time.Duration, key Key, sequence uint64, a Answer) []Effect {
	q := c.queues[key]
	if q == nil || q.inFlight == nil || q.inFlight.sequence != sequence {
		return nil
	}
	flight := *q.inFlight
	q.inFlight = nil
	elapsed := now - flight.sent
	if a.Granted+a.Reserved > 0 && (elapsed < 0 || elapsed >= a.Validity) {
		// The grant has expired; its tokens are lost and the requests ask again.
		return c.next(now, key, q, nil)
	}
	var effects []Effect
	var remaining []waiting
	for i, w := range q.waiting[:flight.count] {
		index := int64(i)
		delay := a.Delay(index)
		switch {
		case index < a.Granted:
			effects = append(effects, Effect{Kind: Admit, Request: w.id, OrganisationTokens: a.OrganisationTokens})
		case index < a.Granted+a.Reserved:
			q.reserved = append(q.reserved, reservation{w, now + delay, flight.sent + delay + a.Validity, a.OrganisationTokens})
		case a.Never || now+delay > w.arrived+MaxWait:
			effects = append(effects, Effect{Kind: Refuse, Request: w.id, RetryAfter: delay})
		default:
			remaining = append(remaining, w)
			q.notUntil = now + a.RetryAfter
		}
	}
	q.waiting = append(remaining, q.waiting[flight.count:]...)
	return c.next(now, key, q, effects)
}

// admitReserved admits the requests whose reserved tokens have arrived. Those
// that this VM missed, because it was paused, ask again.
func (q *queue) admitReserved(now time.Duration) []Effect {
	var effects []Effect
	var missed []waiting
	q.reserved = slices.DeleteFunc(q.reserved, func(r reservation) bool {
		if now < r.due {
			return false
		}
		if now < r.latest {
			effects = append(effects, Effect{Kind: Admit, Request: r.id, OrganisationTokens: r.tokens})
		} else {
			missed = append(missed, r.waiting)
		}
		return true
	})
	if q.inFlight != nil {
		// The head of the queue belongs to the acquisition under way.
		q.waiting = slices.Insert(q.waiting, int(q.inFlight.count), missed...)
		return effects
	}
	q.waiting = append(missed, q.waiting...)
	return effects
}

// Failed reports that an acquisition brought no answer, for whatever reason.
func (c *Client) Failed(now time.Duration, key Key, sequence uint64) []Effect {
	q := c.queues[key]
	if q == nil || q.inFlight == nil || q.inFlight.sequence != sequence {
		return nil
	}
	q.inFlight = nil
	q.notUntil = now + RetryInterval
	var effects []Effect
	var remaining []waiting
	for _, w := range q.waiting {
		if now-w.arrived >= UnavailableAfter {
			effects = append(effects, Effect{Kind: Unavailable, Request: w.id})
			continue
		}
		remaining = append(remaining, w)
	}
	q.waiting = remaining
	return c.next(now, key, q, effects)
}

// Tick handles the passing of time for one key.
func (c *Client) Tick(now time.Duration, key Key) []Effect {
	q := c.queues[key]
	if q == nil {
		return nil
	}
	q.wake = 0
	effects := q.admitReserved(now)
	f := q.inFlight
	if f != nil && now-f.sent >= AnswerTimeout {
		return append(effects, c.Failed(now, key, f.sequence)...)
	}
	return c.next(now, key, q, effects)
}

// wakeAt asks for a Tick unless an earlier one is under way, so that a busy
// queue needs one timer.
func (q *queue) wakeAt(key Key, at time.Duration, effects []Effect) []Effect {
	if q.wake != 0 && q.wake <= at {
		return effects
	}
	q.wake = at
	return append(effects, Effect{Kind: Wake, Key: key, At: at})
}

// next sends an acquisition for the requests of equal size at the head of the
// queue, if none is under way, and asks for the next Tick.
func (c *Client) next(now time.Duration, key Key, q *queue, effects []Effect) []Effect {
	for _, r := range q.reserved {
		effects = q.wakeAt(key, r.due, effects)
	}
	switch {
	case q.inFlight != nil:
		return q.wakeAt(key, q.inFlight.sent+AnswerTimeout, effects)
	case len(q.waiting) == 0 && len(q.reserved) == 0:
		delete(c.queues, key)
		return effects
	case len(q.waiting) == 0:
		return effects
	case now < q.notUntil:
		return q.wakeAt(key, q.notUntil, effects)
	}
	unit := q.waiting[0].unit
	count := slices.IndexFunc(q.waiting, func(w waiting) bool { return w.unit != unit })
	if count < 0 {
		count = len(q.waiting)
	}
	c.sequence++
	q.inFlight = &acquisition{sequence: c.sequence, sent: now, count: int64(count)}
	effects = append(effects, Effect{Kind: Send, Key: key, Sequence: c.sequence, Unit: unit, Count: int64(count)})
	return q.wakeAt(key, now+AnswerTimeout, effects)
}
