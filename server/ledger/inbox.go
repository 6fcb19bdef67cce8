package ledger

import (
	"sync"
	"time"

	"hemlockvale.dev/server/bootclock"
)

const (
	// inboxSize bounds the admissions of each kind that wait for the decider.
	inboxSize = 4096
	// startShare is how often a request that starts a program is taken before those of
	// started programs: once in startShare times.
	startShare = 4
)

// ring is a bounded queue.
type ring[T any] struct {
	items       []T
	first, used int
}

// push adds an item at the end, unless the ring is full.
func (r *ring[T]) push(item T) bool {
	if r.used == len(r.items) {
		return false
	}
	r.items[(r.first+r.used)%len(r.items)] = item
	r.used++
	return true
}

// pop removes the first item.
func (r *ring[T]) pop() (item T, ok bool) {
	if r.used == 0 {
		return item, false
	}
	var zero T
	item, r.items[r.first] = r.items[r.first], zero
	r.first = (r.first + 1) % len(r.items)
	r.used--
	return item, true
}

// inbox holds the admissions that links have received and the decider has not taken yet.
// Requests of started programs come first, because the work of those programs is lost if
// one of them fails. It is safe for concurrent use.
type inbox struct {
	// awake has an element when there may be something to decide.
	awake chan struct{}

	mu                sync.Mutex
	started, starting ring[*admission]
	byID              map[string]*admission
	// taken counts the admissions that were taken.
	taken int
}

func newInbox() *inbox {
	return &inbox{
		awake: make(chan struct{}, 1), byID: make(map[string]*admission),
		started: ring[*admission]{items: make([]*admission, inboxSize)}, starting: ring[*admission]{items: make([]*admission, inboxSize)},
	}
}

// wake makes the decider look for admissions.
func (b *inbox) wake() {
	select {
	case b.awake <- struct{}{}:
	default:
	}
}

// add queues an admission and returns false if the inbox is full. A request that is
// repeated over another connection is queued once.
func (b *inbox) add(a *admission) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if queued := b.byID[a.request.ID]; queued != nil && queued.request.Attempt == a.request.Attempt {
		queued.link = a.link
		return true
	}
	queue := &b.started
	if a.starts {
		queue = &b.starting
	}
	if !queue.push(a) {
		return false
	}
	b.byID[a.request.ID] = a
	b.wake()
	return true
}

// take removes and returns the admission that is decided next, or nil if there is none.
func (b *inbox) take() *admission {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, second := &b.started, &b.starting
	if b.taken%startShare == 0 {
		first, second = second, first
	}
	b.taken++
	a, ok := first.pop()
	if !ok {
		a, ok = second.pop()
	}
	if !ok {
		return nil
	}
	if b.byID[a.request.ID] == a {
		delete(b.byID, a.request.ID)
	}
	return a
}

// cancel marks a queued request whose caller has disconnected, and reports whether it was
// queued.
func (b *inbox) cancel(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.byID[id]
	if a == nil {
		return false
	}
	a.cancelled = true
	delete(b.byID, id)
	return true
}

// delay returns how long the oldest queued admission has waited; 0 if there is none.
func (b *inbox) delay(now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	delay := time.Duration(0)
	for _, queue := range []*ring[*admission]{&b.started, &b.starting} {
		if queue.used > 0 {
			delay = max(delay, now-queue.items[queue.first].receivedAt)
		}
	}
	return delay
}

// len returns the number of queued admissions.
func (b *inbox) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started.used + b.starting.used
}

// waited returns how long an admission has been queued.
func (a *admission) waited() time.Duration { return bootclock.Now() - a.receivedAt }
