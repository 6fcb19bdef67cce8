package target

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	// MaxOrderDeadline bounds the deadline of every order. A new owner waits this
	// long before its first order to an engine that ignores fencing numbers, and
	// a release must be complete within 10 s also when it needs a failover first.
	MaxOrderDeadline = 2 * time.Second
	// ClockTolerance is the difference between the clocks of a target and an
	// owner that is tolerated when an order carries its expiry time.
	ClockTolerance = 500 * time.Millisecond
	// releaseDeadline is the deadline of one release order.
	releaseDeadline = time.Second
	// retryDelay is the pause before an order is sent again.
	retryDelay = 200 * time.Millisecond
	// readTimeout bounds one read of a target's state.
	readTimeout = time.Second
	// auditDelay is how long after the first check a release is checked again: a
	// request that was already on its way may have stored the prefix anew.
	auditDelay = 3 * time.Second
	// releaseMemory is how long a completed release is remembered for callers
	// that ask again.
	releaseMemory = 15 * time.Second
	// unknownTargetTime is how long a release waits for a target that nobody has announced.
	unknownTargetTime = time.Minute
	// maxQueued bounds the orders that wait for one target.
	maxQueued = 256
)

// Reasons why an order has no confirmed effect.
var (
	// ErrNotOwner orders were not sent: another VM owns the target's shard.
	ErrNotOwner = errors.New("not the owner of the target's shard")
	// ErrStaleFencing orders were refused by the target: a newer owner has given it orders.
	ErrStaleFencing = errors.New("stale fencing number")
	// ErrOrderDropped orders were dropped by the target after their deadline.
	ErrOrderDropped = errors.New("target dropped the order after its deadline")
	// ErrOrderUnknown orders may or may not have taken effect.
	ErrOrderUnknown = errors.New("outcome of the order is unknown")
	// ErrNotDelivered orders never reached the target.
	ErrNotDelivered = errors.New("order was not delivered")
	// ErrOrderRefused orders were refused by the target.
	ErrOrderRefused = errors.New("target refused the order")
	// ErrReleasing rejects orders that would hold memory of a program that is gone.
	ErrReleasing = errors.New("program is being released")
	// ErrRestarted orders were given to a run of the target that has ended.
	ErrRestarted = errors.New("target restarted")
	// ErrQueueFull reports too many waiting orders.
	ErrQueueFull = errors.New("too many orders wait for the target")
	// ErrDeadline reports an order whose deadline exceeds MaxOrderDeadline.
	ErrDeadline = errors.New("order deadline is too long")
	// ErrTakesNoOrders reports an order to a target that is no engine.
	ErrTakesNoOrders = errors.New("target takes no orders")
)

// Event is an input of the Book.
type Event interface{ bookEvent() }

// Own says that this VM owns the target's shard under an epoch. It may be repeated.
type Own struct {
	Target string
	Epoch  uint64
}

// Disown says that this VM no longer owns the target's shard.
type Disown struct{ Target string }

// Seen says which run of the target is announced. It may be repeated.
type Seen struct{ Target, Incarnation, Kind, Fencing string }

// Gone says that the target has not been announced for so long that it is forgotten.
type Gone struct{ Target string }

// Submit gives an order. Its ID must be unique and its Fencing is filled in.
type Submit struct {
	Target string
	Order  Order
}

// Cancel withdraws an order that has not been sent.
type Cancel struct{ Target, OrderID string }

// Release frees the engine memory of a program that no longer exists. Repeating
// it with the same Request asks for nothing new; another Request makes the book
// check again, also when the release is complete.
type Release struct{ Target, Program, Request string }

// Stored says that a target reported a prefix of the program.
type Stored struct{ Target, Program string }

// Answer is the result of a Send.
type Answer struct {
	Target, OrderID string
	Attempt         uint64
	Outcome         AnswerOutcome
	Detail          string
}

// StateRead is the result of a Read.
type StateRead struct {
	Target string
	Read   uint64
	OK     bool
	State  EngineState
}

// Tick lets time pass.
type Tick struct{}

func (Own) bookEvent()       {}
func (Disown) bookEvent()    {}
func (Seen) bookEvent()      {}
func (Gone) bookEvent()      {}
func (Submit) bookEvent()    {}
func (Cancel) bookEvent()    {}
func (Release) bookEvent()   {}
func (Stored) bookEvent()    {}
func (Answer) bookEvent()    {}
func (StateRead) bookEvent() {}
func (Tick) bookEvent()      {}

// AnswerOutcome is how one attempt to send an order ended.
type AnswerOutcome int

const (
	// AnswerDone orders have taken effect.
	AnswerDone AnswerOutcome = iota
	// AnswerRefused orders have no effect and would have none later.
	AnswerRefused
	// AnswerStale orders carried a stale fencing number.
	AnswerStale
	// AnswerDropped orders missed their deadline.
	AnswerDropped
	// AnswerNotDelivered attempts certainly did not reach the target.
	AnswerNotDelivered
	// AnswerUnknown attempts may have reached the target.
	AnswerUnknown
)

// Effect is an output of the Book.
type Effect interface{ bookEffect() }

// Send asks for one attempt to deliver an order. The attempt must not start
// after Expires, and its result is reported as Answer.
type Send struct {
	Target  string
	Order   Order
	Attempt uint64
	Expires time.Duration
}

// Read asks for the target's state, reported as StateRead.
type Read struct {
	Target  string
	Read    uint64
	Timeout time.Duration
}

// Done reports the end of a submitted order.
type Done struct {
	Target, OrderID string
	Err             error
}

func (Send) bookEffect() {}
func (Read) bookEffect() {}
func (Done) bookEffect() {}

// Book holds the orders to the targets whose shards this VM owns. Its invariants:
//
//   - an order is sent only under the current epoch of its target's shard;
//   - an engine that ignores fencing numbers has at most one order that may
//     still take effect, and a new owner sends none before every order of an
//     earlier owner has expired and the state has been read back;
//   - a release is confirmed only by states that were read after every order
//     that could hold the program's memory again has ended or expired, unless the
//     target is no longer announced at all.
//
// Book is not safe for concurrent use.
type Book struct {
	lines    map[string]*line
	sequence uint64
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{lines: make(map[string]*line)} }

// Step applies one event and returns what must be done.
func (b *Book) Step(now time.Duration, e Event) []Effect {
	s := &step{book: b, now: now}
	switch e := e.(type) {
	case Own:
		s.own(e)
	case Disown:
		s.disown(e.Target)
	case Seen:
		s.on(e.Target, func(l *line) { s.seen(l, e) })
	case Gone:
		s.on(e.Target, s.gone)
	case Submit:
		s.submit(e)
	case Cancel:
		s.on(e.Target, func(l *line) { s.cancel(l, e.OrderID) })
	case Release:
		s.on(e.Target, func(l *line) { s.release(l, e.Program, e.Request) })
	case Stored:
		s.on(e.Target, func(l *line) { s.stored(l, e.Program) })
	case Answer:
		s.on(e.Target, func(l *line) { s.answer(l, e) })
	case StateRead:
		s.on(e.Target, func(l *line) { s.stateRead(l, e) })
	case Tick:
		s.tick()
	}
	return s.effects
}

// ReleaseStatus says how far a release is.
type ReleaseStatus string

const (
	// ReleaseNone means that the book knows of no such release.
	ReleaseNone ReleaseStatus = ""
	// ReleasePending releases are being retried.
	ReleasePending ReleaseStatus = "pending"
	// ReleaseFreed releases were found to be complete once and will be checked again.
	ReleaseFreed ReleaseStatus = "freed"
	// ReleaseConfirmed releases were found to be complete twice.
	ReleaseConfirmed ReleaseStatus = "confirmed"
	// ReleaseGone releases ended because the target is gone or holds no engine memory.
	ReleaseGone ReleaseStatus = "gone"
)

// Final reports whether the program's memory is free for good.
func (r ReleaseStatus) Final() bool { return r == ReleaseConfirmed || r == ReleaseGone }

// Released returns the status of a release.
func (b *Book) Released(target, program string) ReleaseStatus {
	if l := b.lines[target]; l != nil && l.releases[program] != nil {
		return l.releases[program].status
	}
	return ReleaseNone
}

// Owned returns the targets whose orders this book holds, sorted.
func (b *Book) Owned() []string {
	ids := make([]string, 0, len(b.lines))
	for id := range b.lines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// nextID returns an order id that is unique under the line's epoch.
func (b *Book) nextID(l *line) string {
	b.sequence++
	return fmt.Sprintf("%s/%s/%d/%d", l.target, l.incarnation, l.epoch, b.sequence)
}
