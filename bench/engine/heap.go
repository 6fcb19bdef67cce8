package engine

// callHeap implements heap.Interface for calls and records each call's position.
type callHeap struct {
	calls []*Call
	less  func(a, b *Call) bool
}

// queuedBefore orders waiting calls by priority and then by arrival.
func queuedBefore(a, b *Call) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.arrival < b.arrival
}

// finishesBefore orders decoding calls by the time at which they finish.
func finishesBefore(a, b *Call) bool {
	if a.finishAt != b.finishAt {
		return a.finishAt < b.finishAt
	}
	return a.arrival < b.arrival
}

func (h *callHeap) Len() int { return len(h.calls) }

func (h *callHeap) Less(i, j int) bool { return h.less(h.calls[i], h.calls[j]) }

func (h *callHeap) Swap(i, j int) {
	h.calls[i], h.calls[j] = h.calls[j], h.calls[i]
	h.calls[i].heapIndex, h.calls[j].heapIndex = i, j
}

func (h *callHeap) Push(x any) {
	c := x.(*Call)
	c.heapIndex = len(h.calls)
	h.calls = append(h.calls, c)
}

func (h *callHeap) Pop() any {
	last := h.calls[len(h.calls)-1]
	h.calls[len(h.calls)-1] = nil
	h.calls = h.calls[:len(h.calls)-1]
	return last
}
