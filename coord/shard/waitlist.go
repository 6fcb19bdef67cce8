package shard

import (
	"cmp"
	"slices"
	"time"

	"hemlockvale.dev/coord/program"
)

// waitList holds the waiting calls by queue, in order of arrival. A program has its own
// queue, unless it belongs to a lineage, whose programs share one.
type waitList struct {
	queues map[program.Ref][]*waiter
}

func newWaitList() waitList { return waitList{make(map[program.Ref][]*waiter)} }

func (l *waitList) add(w *waiter) {
	q := program.QueueRef(w.call.Program)
	l.queues[q] = append(l.queues[q], w)
}

// take removes and returns the queue q.
func (l *waitList) take(q program.Ref) []*waiter {
	waiting := l.queues[q]
	delete(l.queues, q)
	return waiting
}

// put stores the queue q.
func (l *waitList) put(q program.Ref, waiting []*waiter) {
	if len(waiting) == 0 {
		delete(l.queues, q)
		return
	}
	l.queues[q] = waiting
}

// all returns all waiting calls by ascending request id.
func (l *waitList) all() []*waiter { return l.collect(func(*waiter) bool { return true }) }

// expired removes and returns the calls whose wait limit has passed.
func (l *waitList) expired(now time.Duration) []*waiter {
	match := func(w *waiter) bool { return w.deadline <= now }
	out := l.collect(match)
	for _, w := range out {
		l.remove(w.call.Program, match)
	}
	return out
}

// removeRequest removes and returns the calls with the given request identity.
func (l *waitList) removeRequest(ref program.Ref, request string) []*waiter {
	return l.remove(ref, func(w *waiter) bool { return request != "" && w.call.Request == request })
}

// removeProgram removes and returns the calls that wait to run in one program. Retries
// stay: they wait for the outcome of a running call.
func (l *waitList) removeProgram(ref program.Ref) []*waiter {
	return l.remove(ref, func(w *waiter) bool { return w.call.Program == ref && !w.retry })
}

// remove removes and returns the matching calls in the queue of the program ref.
func (l *waitList) remove(ref program.Ref, match func(*waiter) bool) []*waiter {
	q := program.QueueRef(ref)
	var out []*waiter
	l.put(q, slices.DeleteFunc(l.take(q), func(w *waiter) bool {
		if match(w) {
			out = append(out, w)
			return true
		}
		return false
	}))
	return out
}

// collect returns the matching calls of all queues by ascending request id.
func (l *waitList) collect(match func(*waiter) bool) []*waiter {
	var out []*waiter
	for _, waiting := range l.queues {
		for _, w := range waiting {
			if match(w) {
				out = append(out, w)
			}
		}
	}
	slices.SortFunc(out, func(a, b *waiter) int { return cmp.Compare(a.id, b.id) })
	return out
}

// find returns the waiting call with the given request identity, or nil.
func (l *waitList) find(ref program.Ref, request string) *waiter {
	for _, w := range l.queues[program.QueueRef(ref)] {
		if request != "" && w.call.Request == request {
			return w
		}
	}
	return nil
}

// resultRetention is the minimum time for which a result is cached. A duplicate that
// arrives later belongs to a connection that was closed.
const resultRetention = 30 * time.Second

// resultCache holds the results of recent requests that were refused, replayed, started
// or withdrawn, so that a duplicate message does not start a second call. It has two
// generations, which rotate replaces every resultRetention.
type resultCache struct {
	current, previous map[string]program.BeginResult
	rotatedAt         time.Duration
}

func (m *resultCache) put(request string, result program.BeginResult) {
	if request == "" {
		return
	}
	if m.current == nil {
		m.current = make(map[string]program.BeginResult)
	}
	m.current[request] = result
}

func (m *resultCache) get(request string) (program.BeginResult, bool) {
	if result, ok := m.current[request]; ok {
		return result, true
	}
	result, ok := m.previous[request]
	return result, ok
}

// rotate drops the results of the previous generation once the current one is old enough.
func (m *resultCache) rotate(now time.Duration) {
	if now-m.rotatedAt >= resultRetention {
		m.current, m.previous, m.rotatedAt = nil, m.current, now
	}
}
