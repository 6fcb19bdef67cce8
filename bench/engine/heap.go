package engine

// callHeap is a container/heap of calls that records their positions.
type callHeap struct {
	calls []*Call
	less  func(a, b *Call) bool
}

func waitsBefore(a, b *Call) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.sequence < b.sequence
}

func endsBefore(a, b *Call) bool {
	if a.finish != b.finish {
		return a.finish < b.finish
	}
	return a.sequence < b.sequence
}

func (h *callHeap) Len() int { return len(h.calls) }

func (h *callHeap) Less(i, j int) bool { return h.less(h.calls[i], h.calls[j]) }

func (h *callHeap) Swap(i, j int) {
	h.calls[i], h.calls[j] = h.calls[j], h.calls[i]
	h.calls[i].index, h.calls[j].index = i, j
}

func (h *callHeap) Push(x any) {
	c := x.(*Call)
	c.index = len(h.calls)
	h.calls = append(h.calls, c)
}

func (h *callHeap) Pop() any {
	last := h.calls[len(h.calls)-1]
	h.calls[len(h.calls)-1] = nil
	h.calls = h.calls[:len(h.calls)-1]
	return last
}
