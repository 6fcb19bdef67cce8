package target

import (
	"fmt"
	"slices"
	"time"
)

// line holds the orders to one target.
type line struct {
	target                     string
	incarnation, kind, fencing string
	epoch                      uint64
	ownedSince                 time.Duration
	// stale is set when the target has refused this epoch.
	stale bool
	// quietUntil is when every order of an earlier owner has expired.
	quietUntil time.Duration
	// synced is set once the state has been read back after quietUntil.
	synced bool
	// busyUntil is when the last order of unknown outcome has expired.
	busyUntil time.Duration

	sent     []*flight
	queue    []*flight
	releases map[string]*release

	// reading is the number of the read under way; 0 means none.
	reading   uint64
	readStart time.Duration
	nextRead  time.Duration
}

// flight is an order from submission to end.
type flight struct {
	order    Order
	attempt  uint64
	expires  time.Duration
	retryAt  time.Duration
	waiting  bool // for the answer to the current attempt
	unknown  bool // some attempt may have reached the target
	internal bool // a release order of the book itself
}

// fenced reports whether the target itself refuses orders of earlier owners.
func (l *line) fenced() bool { return l.fencing == FencingEnforced }

func (l *line) deadline(o Order) time.Duration { return time.Duration(o.DeadlineMS) * time.Millisecond }

// mayChange reports whether an order is under way that may hold memory of the program.
func (l *line) mayChange(program string) bool {
	holds := func(f *flight) bool { return !f.internal && f.order.Program == program }
	return slices.ContainsFunc(l.sent, holds) || slices.ContainsFunc(l.queue, holds)
}

// step is the application of one event.
type step struct {
	book    *Book
	now     time.Duration
	effects []Effect
}

func (s *step) emit(e Effect) { s.effects = append(s.effects, e) }

// on applies f to an owned target and then sends what has become possible.
func (s *step) on(target string, f func(*line)) {
	if l := s.book.lines[target]; l != nil {
		f(l)
		s.advance(l)
	}
}

func (s *step) own(e Own) {
	l := s.book.lines[e.Target]
	if l != nil && e.Epoch <= l.epoch {
		return
	}
	if l != nil {
		s.disown(e.Target)
	}
	s.book.lines[e.Target] = &line{
		target: e.Target, epoch: e.Epoch, ownedSince: s.now,
		quietUntil: s.now + MaxOrderDeadline + ClockTolerance, releases: make(map[string]*release),
	}
}

func (s *step) disown(target string) {
	l := s.book.lines[target]
	if l == nil {
		return
	}
	s.failAll(l, ErrNotOwner)
	delete(s.book.lines, target)
}

// failAll ends every order; those that may have been delivered end as unknown.
// Even a restarted target may still get one of them from a delayed sender.
func (s *step) failAll(l *line, err error) {
	for _, f := range l.sent {
		if f.unknown || f.waiting {
			l.busyUntil = max(l.busyUntil, f.expires+ClockTolerance)
			s.done(l, f, fmt.Errorf("%w: %w", ErrOrderUnknown, err))
			continue
		}
		s.done(l, f, err)
	}
	for _, f := range l.queue {
		s.done(l, f, err)
	}
	l.sent, l.queue = nil, nil
}

func (s *step) done(l *line, f *flight, err error) {
	r := l.releases[f.order.Program]
	if f.internal {
		if r != nil {
			r.ordered(s.now, err)
		}
		return
	}
	if r != nil {
		// A read that started at this very time may have been taken before.
		r.since = s.now + 1
	}
	s.emit(Done{l.target, f.order.ID, err})
}

func (s *step) seen(l *line, e Seen) {
	if l.incarnation != "" && l.incarnation != e.Incarnation {
		s.endRun(l)
	}
	l.incarnation, l.kind, l.fencing = e.Incarnation, e.Kind, e.Fencing
}

func (s *step) gone(l *line) {
	if l.incarnation == "" {
		return
	}
	s.endRun(l)
	for _, r := range l.releases {
		if !r.status.Final() {
			r.finish(s.now, ReleaseGone)
		}
	}
	l.incarnation, l.ownedSince = "", s.now
}

// endRun ends the orders to the target's run. Releases go on: the program may
// have been stored in the next run before this VM heard of it.
func (s *step) endRun(l *line) {
	s.failAll(l, ErrRestarted)
	l.reading = 0
}

func (s *step) submit(e Submit) {
	l := s.book.lines[e.Target]
	if l == nil {
		s.emit(Done{e.Target, e.Order.ID, ErrNotOwner})
		return
	}
	if err := s.check(l, e.Order); err != nil {
		s.emit(Done{e.Target, e.Order.ID, err})
		return
	}
	if e.Order.DeadlineMS == 0 {
		e.Order.DeadlineMS = MaxOrderDeadline.Milliseconds()
	}
	l.queue = append(l.queue, &flight{order: e.Order})
	s.advance(l)
}

func (s *step) check(l *line, o Order) error {
	r := l.releases[o.Program]
	switch {
	case l.stale:
		return ErrStaleFencing
	case l.kind == "service":
		return ErrTakesNoOrders
	case o.DeadlineMS < 0 || l.deadline(o) > MaxOrderDeadline:
		return ErrDeadline
	case len(l.queue) >= maxQueued:
		return ErrQueueFull
	case o.Program != "" && o.Kind != "release" && r != nil && r.status != ReleaseGone:
		return ErrReleasing
	}
	return nil
}

func (s *step) cancel(l *line, id string) {
	l.queue = slices.DeleteFunc(l.queue, func(f *flight) bool {
		if f.internal || f.order.ID != id {
			return false
		}
		s.done(l, f, ErrNotDelivered)
		return true
	})
}

func (s *step) answer(l *line, e Answer) {
	at := slices.IndexFunc(l.sent, func(f *flight) bool { return f.order.ID == e.OrderID && f.attempt == e.Attempt && f.waiting })
	if at < 0 {
		return
	}
	f := l.sent[at]
	f.waiting = false
	switch e.Outcome {
	case AnswerNotDelivered, AnswerUnknown:
		f.unknown = f.unknown || e.Outcome == AnswerUnknown
		f.retryAt = s.now + retryDelay
		return
	}
	l.sent = slices.Delete(l.sent, at, at+1)
	err := answerError(e)
	if err != nil && f.unknown {
		// An earlier attempt may have taken effect.
		err = fmt.Errorf("%w: %w", ErrOrderUnknown, err)
	}
	s.done(l, f, err)
	if e.Outcome == AnswerStale {
		l.stale = true
		s.failAll(l, ErrStaleFencing)
	}
}

func answerError(e Answer) error {
	switch e.Outcome {
	case AnswerDone:
		return nil
	case AnswerStale:
		return ErrStaleFencing
	case AnswerDropped:
		return ErrOrderDropped
	default:
		return fmt.Errorf("%w: %s", ErrOrderRefused, e.Detail)
	}
}

func (s *step) tick() {
	for _, id := range s.book.Owned() {
		s.advance(s.book.lines[id])
	}
}

// advance does everything that the passage of time or the last event allows.
func (s *step) advance(l *line) {
	s.expire(l)
	s.advanceReleases(l)
	if l.incarnation == "" || l.stale {
		return
	}
	s.resend(l)
	for len(l.queue) > 0 && s.maySend(l) {
		f := l.queue[0]
		l.queue = l.queue[1:]
		f.expires = s.now + l.deadline(f.order)
		l.sent = append(l.sent, f)
		s.send(l, f)
	}
	s.readIfNeeded(l)
}

// maySend reports whether the next order may leave.
func (s *step) maySend(l *line) bool {
	return l.fenced() || l.synced && len(l.sent) == 0 && s.now >= l.busyUntil
}

func (s *step) send(l *line, f *flight) {
	f.attempt++
	f.waiting = true
	o := f.order
	o.Fencing = l.epoch
	// At least a millisecond: zero would mean no deadline.
	o.DeadlineMS = max(1, (f.expires - s.now).Milliseconds())
	s.emit(Send{Target: l.target, Order: o, Attempt: f.attempt, Expires: f.expires})
}

func (s *step) resend(l *line) {
	for _, f := range l.sent {
		if !f.waiting && s.now >= f.retryAt {
			s.send(l, f)
		}
	}
}

// expire ends the orders whose deadline has passed. One of unknown outcome
// keeps an engine that ignores fencing numbers busy for the clock tolerance.
func (s *step) expire(l *line) {
	var expired []*flight
	l.sent = slices.DeleteFunc(l.sent, func(f *flight) bool {
		if s.now < f.expires {
			return false
		}
		expired = append(expired, f)
		return true
	})
	for _, f := range expired {
		if f.unknown || f.waiting {
			l.busyUntil = max(l.busyUntil, f.expires+ClockTolerance)
			s.done(l, f, ErrOrderUnknown)
			continue
		}
		s.done(l, f, ErrNotDelivered)
	}
}
