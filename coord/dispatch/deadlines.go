package dispatch

import (
	"container/heap"
	"time"
)

// deadline is the time at which something is due for a request.
type deadline struct {
	at time.Duration
	id string
	// index is the position in the heap; negative once the deadline is removed.
	index int
}

// deadlines is a heap of deadlines, the earliest first. It implements heap.Interface.
type deadlines []*deadline

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(i, j int) bool { return d[i].at < d[j].at }

// Swap implements heap.Interface.
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	added := x.(*deadline)
	added.index = len(*d)
	*d = append(*d, added)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	removed := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	removed.index = -1
	return removed
}

// add sets a deadline for a request.
func (d *deadlines) add(id string, at time.Duration) *deadline {
	added := &deadline{at: at, id: id}
	heap.Push(d, added)
	return added
}

// remove removes a deadline, unless it was removed before.
func (d *deadlines) remove(x *deadline) {
	if x != nil && x.index >= 0 {
		heap.Remove(d, x.index)
	}
}

// popDue removes the earliest deadline that has come and returns its request.
func (d *deadlines) popDue(now time.Duration) (id string, due bool) {
	if len(*d) == 0 || (*d)[0].at > now {
		return "", false
	}
	return heap.Pop(d).(*deadline).id, true
}
