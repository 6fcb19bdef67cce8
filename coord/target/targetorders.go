package target

import (
	"fmt"
	"slices"
	"time"
)

// targetOrders holds the orders and releases of one target.
type targetOrders struct {
	target                     string
	incarnation, kind, fencing string
	epoch                      uint64
	ownedSince                 time.Duration
	// epochStale is set when the target has refused this epoch as stale.
	epochStale bool
	// earlierOrdersExpireAt is the time by which all orders of earlier owners have
	// expired.
	earlierOrdersExpireAt time.Duration
	// synced is set once the state has been read after earlierOrdersExpireAt and
	// showed no running order.
	synced bool
	// unknownOrdersExpireAt is the time by which all orders of unknown outcome have
	// expired.
	unknownOrdersExpireAt time.Duration

	sent     []*pendingOrder
	queue    []*pendingOrder
	releases map[string]*release

	// readID identifies the state read in progress; 0 means that there is none.
	readID        uint64
	readStartedAt time.Duration
	nextReadAt    time.Duration
}

// pendingOrder is an order between its submission and its end.
type pendingOrder struct {
	order          Order
	attempt        uint64
	expiresAt      time.Duration
	retryAt        time.Duration
	awaitingResult bool // the result of the current attempt has not been reported yet
	maybeDelivered bool // some attempt may have reached the target
	internal       bool // a release order that was created here, not submitted by a caller
}

// enforcesFencing reports whether the target refuses orders of earlier owners.
func (t *targetOrders) enforcesFencing() bool { return t.fencing == FencingEnforced }

func (t *targetOrders) deadline(o Order) time.Duration {
	return time.Duration(o.DeadlineMS) * time.Millisecond
}

// hasOrdersFor reports whether an order is queued or sent that may make the target
// hold memory of the program.
func (t *targetOrders) hasOrdersFor(program string) bool {
	mayHold := func(p *pendingOrder) bool { return !p.internal && p.order.Program == program }
	return slices.ContainsFunc(t.sent, mayHold) || slices.ContainsFunc(t.queue, mayHold)
}

// step applies one event and collects the resulting effects.
type step struct {
	manager *OrderManager
	now     time.Duration
	effects []Effect
}

func (s *step) emit(e Effect) { s.effects = append(s.effects, e) }

// updateTarget applies a change to an owned target and then sends the orders that
// can be sent.
func (s *step) updateTarget(target string, apply func(*targetOrders)) {
	if t := s.manager.targets[target]; t != nil {
		apply(t)
		s.advance(t)
	}
}

func (s *step) gainOwnership(e OwnershipGained) {
	t := s.manager.targets[e.Target]
	if t != nil && e.Epoch <= t.epoch {
		return
	}
	if t != nil {
		s.loseOwnership(e.Target)
	}
	s.manager.targets[e.Target] = &targetOrders{
		target: e.Target, epoch: e.Epoch, ownedSince: s.now,
		earlierOrdersExpireAt: s.now + MaxOrderDeadline + ClockTolerance, releases: make(map[string]*release),
	}
}

func (s *step) loseOwnership(target string) {
	t := s.manager.targets[target]
	if t == nil {
		return
	}
	s.failAll(t, ErrNotOwner)
	delete(s.manager.targets, target)
}

// failAll ends all orders with an error. Orders that may have been delivered end
// with an unknown outcome: even a target that restarted may still receive one from a
// delayed sender.
func (s *step) failAll(t *targetOrders, err error) {
	for _, p := range t.sent {
		if p.maybeDelivered || p.awaitingResult {
			t.unknownOrdersExpireAt = max(t.unknownOrdersExpireAt, p.expiresAt+ClockTolerance)
			s.endOrder(t, p, fmt.Errorf("%w: %w", ErrOrderUnknown, err))
			continue
		}
		s.endOrder(t, p, err)
	}
	for _, p := range t.queue {
		s.endOrder(t, p, err)
	}
	t.sent, t.queue = nil, nil
}

func (s *step) endOrder(t *targetOrders, p *pendingOrder, err error) {
	r := t.releases[p.order.Program]
	if p.internal {
		if r != nil {
			r.orderEnded(s.now, err)
		}
		return
	}
	if r != nil {
		// A read that started at the same time may show the state before the order
		// ended.
		r.lastOrderEnd = s.now + 1
	}
	s.emit(OrderEnded{t.target, p.order.ID, err})
}

func (s *step) announced(t *targetOrders, e Announced) {
	if t.incarnation != "" && t.incarnation != e.Incarnation {
		s.endIncarnation(t)
	}
	t.incarnation, t.kind, t.fencing = e.Incarnation, e.Kind, e.Fencing
}

func (s *step) targetForgotten(t *targetOrders) {
	if t.incarnation == "" {
		return
	}
	s.endIncarnation(t)
	for _, r := range t.releases {
		if !r.status.Final() {
			r.finish(s.now, ReleaseGone)
		}
	}
	t.incarnation, t.ownedSince = "", s.now
}

// endIncarnation ends the orders to the target's current incarnation. Releases
// continue: the program may have been stored in the next incarnation before this VM
// learned of it.
func (s *step) endIncarnation(t *targetOrders) {
	s.failAll(t, ErrRestarted)
	t.readID = 0
}

func (s *step) submit(e SubmitOrder) {
	t := s.manager.targets[e.Target]
	if t == nil {
		s.emit(OrderEnded{e.Target, e.Order.ID, ErrNotOwner})
		return
	}
	if err := s.validateOrder(t, e.Order); err != nil {
		s.emit(OrderEnded{e.Target, e.Order.ID, err})
		return
	}
	if e.Order.DeadlineMS == 0 {
		e.Order.DeadlineMS = MaxOrderDeadline.Milliseconds()
	}
	t.queue = append(t.queue, &pendingOrder{order: e.Order})
	s.advance(t)
}

func (s *step) validateOrder(t *targetOrders, o Order) error {
	r := t.releases[o.Program]
	switch {
	case t.epochStale:
		return ErrStaleFencing
	case t.kind == "service":
		return ErrTakesNoOrders
	case o.DeadlineMS < 0 || t.deadline(o) > MaxOrderDeadline:
		return ErrDeadline
	case len(t.queue) >= maxQueued:
		return ErrQueueFull
	case o.Program != "" && o.Kind != "release" && r != nil && r.status != ReleaseGone:
		return ErrReleasing
	}
	return nil
}

func (s *step) cancel(t *targetOrders, id string) {
	t.queue = slices.DeleteFunc(t.queue, func(p *pendingOrder) bool {
		if p.internal || p.order.ID != id {
			return false
		}
		s.endOrder(t, p, ErrNotDelivered)
		return true
	})
}

func (s *step) attemptEnded(t *targetOrders, e SendResult) {
	at := slices.IndexFunc(t.sent, func(p *pendingOrder) bool {
		return p.order.ID == e.OrderID && p.attempt == e.Attempt && p.awaitingResult
	})
	if at < 0 {
		return
	}
	p := t.sent[at]
	p.awaitingResult = false
	switch e.Outcome {
	case OutcomeNotDelivered, OutcomeUnknown:
		p.maybeDelivered = p.maybeDelivered || e.Outcome == OutcomeUnknown
		p.retryAt = s.now + retryDelay
		return
	}
	t.sent = slices.Delete(t.sent, at, at+1)
	err := attemptError(e)
	if err != nil && p.maybeDelivered {
		// An earlier attempt may have taken effect.
		err = fmt.Errorf("%w: %w", ErrOrderUnknown, err)
	}
	s.endOrder(t, p, err)
	if e.Outcome == OutcomeStaleFencing {
		t.epochStale = true
		s.failAll(t, ErrStaleFencing)
	}
}

func attemptError(e SendResult) error {
	switch e.Outcome {
	case OutcomeDone:
		return nil
	case OutcomeStaleFencing:
		return ErrStaleFencing
	case OutcomeDropped:
		return ErrOrderDropped
	default:
		return fmt.Errorf("%w: %s", ErrOrderRefused, e.Detail)
	}
}

func (s *step) tick() {
	for _, id := range s.manager.OwnedTargets() {
		s.advance(s.manager.targets[id])
	}
}

// advance takes all steps that the current time and the last event permit.
func (s *step) advance(t *targetOrders) {
	s.expire(t)
	s.advanceReleases(t)
	if t.incarnation == "" || t.epochStale {
		return
	}
	s.resend(t)
	for len(t.queue) > 0 && s.canSend(t) {
		p := t.queue[0]
		t.queue = t.queue[1:]
		p.expiresAt = s.now + t.deadline(p.order)
		t.sent = append(t.sent, p)
		s.send(t, p)
	}
	s.readIfNeeded(t)
}

// canSend reports whether the next queued order may be sent.
func (s *step) canSend(t *targetOrders) bool {
	return t.enforcesFencing() || t.synced && len(t.sent) == 0 && s.now >= t.unknownOrdersExpireAt
}

func (s *step) send(t *targetOrders, p *pendingOrder) {
	p.attempt++
	p.awaitingResult = true
	o := p.order
	o.Fencing = t.epoch
	// The minimum is one millisecond, because zero would mean that there is no
	// deadline.
	o.DeadlineMS = max(1, (p.expiresAt - s.now).Milliseconds())
	s.emit(SendOrder{Target: t.target, Order: o, Attempt: p.attempt, Expires: p.expiresAt})
}

func (s *step) resend(t *targetOrders) {
	for _, p := range t.sent {
		if !p.awaitingResult && s.now >= p.retryAt {
			s.send(t, p)
		}
	}
}

// expire ends the orders whose deadline has passed. If the outcome of one is
// unknown, an engine that ignores fencing numbers gets its next order only after the
// clock tolerance has passed as well.
func (s *step) expire(t *targetOrders) {
	var expired []*pendingOrder
	t.sent = slices.DeleteFunc(t.sent, func(p *pendingOrder) bool {
		if s.now < p.expiresAt {
			return false
		}
		expired = append(expired, p)
		return true
	})
	for _, p := range expired {
		if p.maybeDelivered || p.awaitingResult {
			t.unknownOrdersExpireAt = max(t.unknownOrdersExpireAt, p.expiresAt+ClockTolerance)
			s.endOrder(t, p, ErrOrderUnknown)
			continue
		}
		s.endOrder(t, p, ErrNotDelivered)
	}
}
