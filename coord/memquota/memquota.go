// Package memquota bounds the bytes that a process buffers on behalf of others. It decides
// reservations and does no I/O; it has no clock.
//
// The total is divided into a reserve for each class and size, and a shared part. A
// reservation uses the reserve of its own class and size first and the shared part for the
// rest, so no class can use the reserve of another, and long reservations can't use the part
// that is reserved for ordinary ones. Under memory pressure, the bytes that are held for one
// caller address or for one target are bounded as well.
//
// Invariants:
//   - The sum of all holdings never exceeds Limits.Total.
//   - The usage is zero when all holdings have been released, and the Quota stores nothing
//     about an owner that holds nothing.
package memquota

import "slices"

// Class says what bytes are buffered for.
type Class int

// These are the classes.
const (
	// RequestBodies are the bodies of callers' requests.
	RequestBodies Class = iota
	// ResponseBodies are the heads and bodies of targets' responses.
	ResponseBodies
	// StreamEvents are the events of streams that the caller has not read yet.
	StreamEvents
	// Relays are the requests that other entries relay and the responses that they return.
	Relays
	// PeerMessages are other messages of VMs, such as the histories of programs.
	PeerMessages
	// Classes is the number of classes.
	Classes
)

// String returns the name of a class for metrics and logs.
func (c Class) String() string {
	return [Classes]string{"request_bodies", "response_bodies", "stream_events", "relays", "peer_messages"}[c]
}

// OrdinaryBytes is the size up to which a holding is ordinary. Larger ones are long.
const OrdinaryBytes = 64 << 10

// maxWaiting bounds the waiters of each size, and with it the work of a release.
const maxWaiting = 64

// Reason explains why a reservation is not granted.
type Reason string

// These are the reasons. Granted is the zero value.
const (
	Granted Reason = ""
	// Exhausted means that the reserve of the class and the shared part are in use.
	Exhausted Reason = "exhausted"
	// CallerShare and TargetShare mean that the caller address, or the target, holds its
	// share of the total while memory is scarce.
	CallerShare Reason = "caller_share"
	TargetShare Reason = "target_share"
)

// size selects the reserve within a class.
type size int

const (
	ordinary size = iota
	long
	sizes
)

// Holding is the bytes that are held for one purpose. The zero value holds none. Class, Caller
// and Target must not change while it holds bytes.
type Holding struct {
	Class Class
	// Caller is the address of the caller, and Target the name of the target, on whose behalf
	// the bytes are held; empty if there is none.
	Caller, Target string

	bytes int64
	// size changes to long when the holding exceeds OrdinaryBytes, and back only once it is
	// empty. A return to the ordinary reserve could exceed it.
	size size
}

// Bytes returns the bytes that are held.
func (h *Holding) Bytes() int64 { return h.bytes }

// Waiter is a reservation that waits for bytes.
type Waiter struct {
	// Holding is to grow by Bytes.
	Holding *Holding
	Bytes   int64
	// Ready is for the use of the adapter, which signals the grant with it.
	Ready chan struct{}
}

// Quota decides reservations. It is not safe for concurrent use.
type Quota struct {
	limits Limits
	shared int64
	held   [Classes][sizes]int64
	// overflow is the part of the holdings that exceeds the reserves; at most shared.
	overflow int64
	total    int64
	peak     int64
	// callers and targets have the bytes of the owners that hold any.
	callers, targets map[string]int64
	waiters          []*Waiter
	waiting          [sizes]int
}

// New returns a quota with nothing held.
func New(l Limits) *Quota {
	return &Quota{limits: l, shared: l.shared(), callers: make(map[string]int64), targets: make(map[string]int64)}
}

// Held returns the bytes that are held in a class.
func (q *Quota) Held(c Class) int64 { return q.held[c][ordinary] + q.held[c][long] }

// Total returns the bytes that are held.
func (q *Quota) Total() int64 { return q.total }

// Peak returns the maximum of Total so far.
func (q *Quota) Peak() int64 { return q.peak }

// Limits returns the limits.
func (q *Quota) Limits() Limits { return q.limits }

// Owners returns the number of callers and targets that hold bytes.
func (q *Quota) Owners() int { return len(q.callers) + len(q.targets) }

// Grow adds bytes to a holding, or returns the reason against it and changes nothing.
func (q *Quota) Grow(h *Holding, n int64) Reason {
	next := h.size
	if h.bytes+n > OrdinaryBytes {
		next = long
	}
	overflow := q.overflowAfter(h, next, n)
	switch {
	case overflow > q.shared:
		return Exhausted
	case overflow > q.limits.Pressure && h.Target != "" && q.targets[h.Target]+n > q.limits.TargetShare:
		return TargetShare
	case overflow > q.limits.Pressure && h.Caller != "" && q.callers[h.Caller]+n > q.limits.CallerShare:
		return CallerShare
	}
	q.held[h.Class][h.size] -= h.bytes
	h.bytes += n
	h.size = next
	q.held[h.Class][h.size] += h.bytes
	q.overflow = overflow
	q.addOwned(h, n)
	q.peak = max(q.peak, q.total)
	return Granted
}

// overflowAfter returns the overflow once a holding has grown by n and has the given size.
func (q *Quota) overflowAfter(h *Holding, next size, n int64) int64 {
	cells := &q.held[h.Class]
	if next == h.size {
		return q.overflow - q.excess(h.Class, next, cells[next]) + q.excess(h.Class, next, cells[next]+n)
	}
	before := q.excess(h.Class, h.size, cells[h.size]) + q.excess(h.Class, next, cells[next])
	after := q.excess(h.Class, h.size, cells[h.size]-h.bytes) + q.excess(h.Class, next, cells[next]+h.bytes+n)
	return q.overflow - before + after
}

// excess returns the part of some bytes that exceeds the reserve of a class and size.
func (q *Quota) excess(c Class, s size, bytes int64) int64 {
	reserve := q.limits.Reserves[c].Ordinary
	if s == long {
		reserve = q.limits.Reserves[c].Long
	}
	return max(0, bytes-reserve)
}

// addOwned adds bytes, which may be negative, to the total and to the owners of a holding.
func (q *Quota) addOwned(h *Holding, n int64) {
	q.total += n
	add(q.callers, h.Caller, n)
	add(q.targets, h.Target, n)
}

// add adds bytes to an owner, and removes an owner that holds none.
func add(owners map[string]int64, name string, n int64) {
	if name == "" {
		return
	}
	if bytes := owners[name] + n; bytes > 0 {
		owners[name] = bytes
	} else {
		delete(owners, name)
	}
}

// Shrink takes bytes from a holding, at most all that it has. It returns the waiters that are
// granted by that; their holdings have grown.
func (q *Quota) Shrink(h *Holding, n int64) []*Waiter {
	if n = min(n, h.bytes); n <= 0 {
		return nil
	}
	q.overflow = q.overflowAfter(h, h.size, -n)
	q.held[h.Class][h.size] -= n
	h.bytes -= n
	if h.bytes == 0 {
		h.size = ordinary
	}
	q.addOwned(h, -n)
	return q.grantWaiters()
}

// grantWaiters grants the waiters that fit, the oldest first. One that doesn't fit doesn't
// hold up those behind it, which may be of another class or owner.
func (q *Quota) grantWaiters() []*Waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	var granted []*Waiter
	q.waiters = slices.DeleteFunc(q.waiters, func(w *Waiter) bool {
		waitedAs := w.size()
		if q.Grow(w.Holding, w.Bytes) != Granted {
			return false
		}
		q.waiting[waitedAs]--
		granted = append(granted, w)
		return true
	})
	return granted
}

// size returns the size of the holding once the waiter is granted.
func (w *Waiter) size() size {
	if w.Holding.size == long || w.Holding.bytes+w.Bytes > OrdinaryBytes {
		return long
	}
	return ordinary
}

// Wait adds a waiter after its reservation was not granted. It returns false if too many
// reservations of its size are waiting. The holding must not change until the waiter is
// granted or canceled.
func (q *Quota) Wait(w *Waiter) bool {
	s := w.size()
	if q.waiting[s] >= maxWaiting {
		return false
	}
	q.waiting[s]++
	q.waiters = append(q.waiters, w)
	return true
}

// Cancel removes a waiter. It returns false if the waiter has been granted.
func (q *Quota) Cancel(w *Waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiting[w.size()]--
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// Waiting returns the number of waiters.
func (q *Quota) Waiting() int { return len(q.waiters) }
