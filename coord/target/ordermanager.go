package target

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	// MaxOrderDeadline limits the deadline of every order. A new owner waits this
	// long before its first order to an engine that ignores fencing numbers, and a
	// release must be complete within 10 s even if it needs a failover first.
	MaxOrderDeadline = 2 * time.Second
	// ClockTolerance is the tolerated difference between the clocks of a target and
	// an owner, for orders that carry an expiry time.
	ClockTolerance = 500 * time.Millisecond
	// releaseDeadline is the deadline of one release order.
	releaseDeadline = time.Second
	// retryDelay is the delay before an order or a state read is repeated.
	retryDelay = 200 * time.Millisecond
	// readTimeout limits one read of a target's state.
	readTimeout = time.Second
	// recheckDelay is the delay between the two checks of a release: a request that
	// was in progress at the first check may have stored the prefix again.
	recheckDelay = 3 * time.Second
	// releaseRetention is how long a completed release is kept, so that repeated
	// requests for it do not start it again.
	releaseRetention = 15 * time.Second
	// unknownTargetTimeout is how long a release waits for a target that is not
	// announced.
	unknownTargetTimeout = time.Minute
	// maxQueued limits the orders that wait for one target.
	maxQueued = 256
)

// These errors say why an order has no confirmed effect.
var (
	// ErrNotOwner means that the order was not sent because another VM owns the
	// target's shard.
	ErrNotOwner = errors.New("not the owner of the target's shard")
	// ErrStaleFencing means that the target refused the order because a newer owner
	// has given it orders.
	ErrStaleFencing = errors.New("stale fencing number")
	// ErrOrderDropped means that the target dropped the order after its deadline.
	ErrOrderDropped = errors.New("target dropped the order after its deadline")
	// ErrOrderUnknown means that the order may or may not have taken effect.
	ErrOrderUnknown = errors.New("outcome of the order is unknown")
	// ErrNotDelivered means that the order never reached the target.
	ErrNotDelivered = errors.New("order was not delivered")
	// ErrOrderRefused means that the target refused the order.
	ErrOrderRefused = errors.New("target refused the order")
	// ErrReleasing means that the order was rejected because it could make the target
	// hold memory of a program that is being released.
	ErrReleasing = errors.New("program is being released")
	// ErrRestarted means that the order was given to an incarnation of the target
	// that has ended.
	ErrRestarted = errors.New("target restarted")
	// ErrQueueFull means that too many orders wait for the target.
	ErrQueueFull = errors.New("too many orders wait for the target")
	// ErrDeadline means that the deadline of the order is negative or exceeds
	// MaxOrderDeadline.
	ErrDeadline = errors.New("order deadline is too long")
	// ErrTakesNoOrders means that the target is not an engine and takes no orders.
	ErrTakesNoOrders = errors.New("target takes no orders")
)

// Event is an input of an OrderManager.
type Event interface{ isEvent() }

// OwnershipGained reports that this VM owns the target's shard under the given
// epoch. It may be repeated.
type OwnershipGained struct {
	Target string
	Epoch  uint64
}

// OwnershipLost reports that this VM does not own the target's shard. It may be
// repeated.
type OwnershipLost struct{ Target string }

// Announced reports the incarnation, the kind and the fencing mode that the target
// has announced. It may be repeated.
type Announced struct{ Target, Incarnation, Kind, Fencing string }

// Forgotten reports that the target was forgotten because it has not announced
// itself for a long time.
type Forgotten struct{ Target string }

// SubmitOrder submits an order. Its ID must be unique; Fencing is filled in when the
// order is sent.
type SubmitOrder struct {
	Target string
	Order  Order
}

// CancelOrder withdraws an order that has not been sent.
type CancelOrder struct{ Target, OrderID string }

// ReleaseMemory requests that the target frees its memory of a program that no
// longer exists. A repetition with the same RequestID has no effect; another
// RequestID starts the release again, even if it is complete.
type ReleaseMemory struct{ Target, Program, RequestID string }

// PrefixStored reports a cache event that shows a stored prefix of the program.
type PrefixStored struct{ Target, Program string }

// SendResult reports the result of a SendOrder.
type SendResult struct {
	Target, OrderID string
	Attempt         uint64
	Outcome         SendOutcome
	Detail          string
}

// ReadResult reports the result of a ReadState.
type ReadResult struct {
	Target string
	ReadID uint64
	OK     bool
	State  EngineState
}

// Tick advances the time without another input.
type Tick struct{}

func (OwnershipGained) isEvent() {}
func (OwnershipLost) isEvent()   {}
func (Announced) isEvent()       {}
func (Forgotten) isEvent()       {}
func (SubmitOrder) isEvent()     {}
func (CancelOrder) isEvent()     {}
func (ReleaseMemory) isEvent()   {}
func (PrefixStored) isEvent()    {}
func (SendResult) isEvent()      {}
func (ReadResult) isEvent()      {}
func (Tick) isEvent()            {}

// SendOutcome is the outcome of one attempt to send an order.
type SendOutcome int

const (
	// OutcomeDone means that the order has taken effect.
	OutcomeDone SendOutcome = iota
	// OutcomeRefused means that the order has no effect and will have none later.
	OutcomeRefused
	// OutcomeStaleFencing means that the order carried a stale fencing number.
	OutcomeStaleFencing
	// OutcomeDropped means that the target dropped the order after its deadline.
	OutcomeDropped
	// OutcomeNotDelivered means that the attempt certainly did not reach the target.
	OutcomeNotDelivered
	// OutcomeUnknown means that the attempt may have reached the target.
	OutcomeUnknown
)

// Effect is an output of an OrderManager.
type Effect interface{ isEffect() }

// SendOrder requests one attempt to deliver an order. The attempt must not start
// after Expires, and its result is reported as SendResult.
type SendOrder struct {
	Target  string
	Order   Order
	Attempt uint64
	Expires time.Duration
}

// ReadState requests a read of the target's state, whose result is reported as
// ReadResult.
type ReadState struct {
	Target  string
	ReadID  uint64
	Timeout time.Duration
}

// OrderEnded reports the end of a submitted order. Err is nil if the order has taken
// effect.
type OrderEnded struct {
	Target, OrderID string
	Err             error
}

func (SendOrder) isEffect()  {}
func (ReadState) isEffect()  {}
func (OrderEnded) isEffect() {}

// OrderManager decides when orders are sent to the targets whose shards this VM
// owns, and tracks the releases of program memory on them. Its invariants:
//
//   - An order is sent only under the current epoch of its target's shard.
//   - An engine that ignores fencing numbers has at most one order that may still
//     take effect. A new owner sends it no order before every order of an earlier
//     owner has expired and the state has been read.
//   - A release is confirmed only by states that were read after every order that
//     could hold the program's memory again has ended or expired, unless the target
//     is no longer announced.
//
// OrderManager does no I/O and is not safe for concurrent use.
type OrderManager struct {
	targets  map[string]*targetOrders
	sequence uint64
}

// NewOrderManager returns an OrderManager that owns no targets.
func NewOrderManager() *OrderManager { return &OrderManager{targets: make(map[string]*targetOrders)} }

// Step applies an event and returns the effects that the caller must carry out.
func (m *OrderManager) Step(now time.Duration, e Event) []Effect {
	s := &step{manager: m, now: now}
	switch e := e.(type) {
	case OwnershipGained:
		s.gainOwnership(e)
	case OwnershipLost:
		s.loseOwnership(e.Target)
	case Announced:
		s.updateTarget(e.Target, func(t *targetOrders) { s.announced(t, e) })
	case Forgotten:
		s.updateTarget(e.Target, s.targetForgotten)
	case SubmitOrder:
		s.submit(e)
	case CancelOrder:
		s.updateTarget(e.Target, func(t *targetOrders) { s.cancel(t, e.OrderID) })
	case ReleaseMemory:
		s.updateTarget(e.Target, func(t *targetOrders) { s.requestRelease(t, e.Program, e.RequestID) })
	case PrefixStored:
		s.updateTarget(e.Target, func(t *targetOrders) { s.prefixStored(t, e.Program) })
	case SendResult:
		s.updateTarget(e.Target, func(t *targetOrders) { s.attemptEnded(t, e) })
	case ReadResult:
		s.updateTarget(e.Target, func(t *targetOrders) { s.readEnded(t, e) })
	case Tick:
		s.tick()
	}
	return s.effects
}

// ReleaseStatus is the progress of a release.
type ReleaseStatus string

const (
	// ReleaseNone means that there is no such release.
	ReleaseNone ReleaseStatus = ""
	// ReleasePending means that the release has not been verified yet.
	ReleasePending ReleaseStatus = "pending"
	// ReleaseFreed means that one check found the memory free and that a second
	// check will follow.
	ReleaseFreed ReleaseStatus = "freed"
	// ReleaseConfirmed means that two checks found the memory free.
	ReleaseConfirmed ReleaseStatus = "confirmed"
	// ReleaseGone means that the release ended because the target is gone or holds
	// no engine memory.
	ReleaseGone ReleaseStatus = "gone"
)

// Final reports whether the release is complete. A confirmed release becomes pending
// again if a cache event shows that the memory is held again.
func (r ReleaseStatus) Final() bool { return r == ReleaseConfirmed || r == ReleaseGone }

// ReleaseStatus returns the status of the release of a program on a target.
func (m *OrderManager) ReleaseStatus(target, program string) ReleaseStatus {
	if t := m.targets[target]; t != nil && t.releases[program] != nil {
		return t.releases[program].status
	}
	return ReleaseNone
}

// OwnedTargets returns the IDs of the targets whose shards this VM owns, sorted.
func (m *OrderManager) OwnedTargets() []string {
	ids := make([]string, 0, len(m.targets))
	for id := range m.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// nextOrderID returns an order ID that is unique under the target's epoch.
func (m *OrderManager) nextOrderID(t *targetOrders) string {
	m.sequence++
	return fmt.Sprintf("%s/%s/%d/%d", t.target, t.incarnation, t.epoch, m.sequence)
}
