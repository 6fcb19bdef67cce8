package emulator

import (
	"container/heap"
	"context"
)

// request is an unfinished chat request.
type request struct {
	id      string
	program string
	// priority determines the order of waiting requests, and arrival the order of those
	// with equal priority; lower values run first.
	priority int
	arrival  uint64
	prompt   []segment
	// completionTokens is the length of the completion, in tokens.
	completionTokens int
	// reservedTokens is the engine memory that is reserved for the request.
	reservedTokens int64
	// cachedTokens is the number of prompt tokens that were cached at admission.
	cachedTokens int64
	// admitted is closed when the request is admitted to the batch.
	admitted chan struct{}
	cancel   context.CancelCauseFunc
}

func (r *request) promptTokens() int64 { return r.prompt[len(r.prompt)-1].tokens }

// waitQueue orders requests by priority, then by arrival.
type waitQueue []*request

// Len returns the number of waiting requests. Together with the methods below it
// implements heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less reports whether request i runs before request j.
func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

// Swap exchanges two requests.
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends a request.
func (q *waitQueue) Push(x any) { *q = append(*q, x.(*request)) }

// Pop removes the last request.
func (q *waitQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// batch admits waiting requests as slots and memory become free. It is guarded by
// Engine.mu.
type batch struct {
	// maxRunning limits running, the number of admitted requests.
	maxRunning int
	running    int
	// arrivals counts the submitted requests.
	arrivals uint64
	waiting  waitQueue
	cache    *prefixCache
}

// submit queues a request and admits it if possible.
func (b *batch) submit(r *request) {
	b.arrivals++
	r.arrival = b.arrivals
	b.cache.track(r.program)
	heap.Push(&b.waiting, r)
	b.admit()
}

// admit admits waiting requests in order. It stops at the first request for which there is
// too little memory, so that smaller requests do not starve a large one.
func (b *batch) admit() {
	for b.running < b.maxRunning && len(b.waiting) > 0 {
		r := b.waiting[0]
		cached := b.cache.match(r.program, r.prompt)
		need := r.promptTokens() - cached + int64(r.completionTokens)
		if !b.cache.reserve(r.program, need) {
			return
		}
		heap.Pop(&b.waiting)
		r.cachedTokens, r.reservedTokens = cached, need
		b.cache.pin(r.program)
		b.running++
		close(r.admitted)
	}
}

// removeWaiting removes a request that has not been admitted from the queue.
func (b *batch) removeWaiting(r *request) {
	for i, w := range b.waiting {
		if w == r {
			heap.Remove(&b.waiting, i)
			b.cache.untrack(r.program)
			b.admit()
			return
		}
	}
}

// end frees the slot of an admitted request and stores the prefix that it computed.
func (b *batch) end(r *request, segments []segment) {
	b.running--
	b.cache.complete(r.program, r.reservedTokens, segments)
	b.admit()
}
