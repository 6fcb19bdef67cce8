package emulator

import (
	"container/heap"
	"context"
)

// request is one chat request from arrival to end.
type request struct {
	id       string
	program  string
	priority int
	arrival  uint64
	prompt   []segment
	tokens   int
	reserved int64
	cached   int64
	admitted chan struct{}
	cancel   context.CancelCauseFunc
}

func (r *request) promptTokens() int64 { return r.prompt[len(r.prompt)-1].tokens }

// waitQueue orders requests by priority, then by arrival.
type waitQueue []*request

// Len, Less, Swap, Push and Pop implement heap.Interface.
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

// batch admits waiting requests whenever a place and enough memory are free.
// The engine's mutex guards it.
type batch struct {
	size     int
	running  int
	arrivals uint64
	waiting  waitQueue
	cache    *prefixCache
}

// submit queues a request.
func (b *batch) submit(r *request) {
	b.arrivals++
	r.arrival = b.arrivals
	b.cache.submit(r.program)
	heap.Push(&b.waiting, r)
	b.admit()
}

// admit starts waiting requests in order. The first one that lacks memory
// blocks the others, so that a large request is not overtaken for ever.
func (b *batch) admit() {
	for b.running < b.size && len(b.waiting) > 0 {
		r := b.waiting[0]
		cached := b.cache.match(r.program, r.prompt)
		need := r.promptTokens() - cached + int64(r.tokens)
		if !b.cache.reserve(r.program, need) {
			return
		}
		heap.Pop(&b.waiting)
		r.cached, r.reserved = cached, need
		b.cache.begin(r.program)
		b.running++
		close(r.admitted)
	}
}

// withdraw removes a request that has not been admitted.
func (b *batch) withdraw(r *request) {
	for i, w := range b.waiting {
		if w == r {
			heap.Remove(&b.waiting, i)
			b.cache.finish(r.program)
			b.admit()
			return
		}
	}
}

// end frees the place of an admitted request and stores its prefix.
func (b *batch) end(r *request, segments []segment) {
	b.running--
	b.cache.end(r.program, r.reserved, segments)
	b.admit()
}
