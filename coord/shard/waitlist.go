package shard

import (
	"cmp"
	"slices"
	"time"

	"hemlockvale.dev/coord/program"
)

// waitList holds the waiting calls of each program in order of arrival.
type waitList struct {
	queues map[program.Ref][]*waiter
}

func newWaitList() waitList { return waitList{make(map[program.Ref][]*waiter)} }

func (l *waitList) add(w *waiter) {
	q := program.QueueRef(w.call.Program)
	l.queues[q] = append(l.queues[q], w)
}

// take removes and returns the queue of one program.
func (l *waitList) take(q program.Ref) []*waiter {
	waiting := l.queues[q]
	delete(l.queues, q)
	return waiting
}

func (l *waitList) put(q program.Ref, waiting []*waiter) {
	if len(waiting) == 0 {
		delete(l.queues, q)
		return
	}
	l.queues[q] = waiting
}

// all returns all waiting calls in order of their requests.
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

// removeRequest removes and returns the calls of one attempt.
func (l *waitList) removeRequest(ref program.Ref, request string) []*waiter {
	return l.remove(ref, func(w *waiter) bool { return request != "" && w.call.Request == request })
}

// removeProgram removes and returns the calls that wait for the turn of one
// program. Retries stay: they wait for the outcome of a running call.
func (l *waitList) removeProgram(ref program.Ref) []*waiter {
	return l.remove(ref, func(w *waiter) bool { return w.call.Program == ref && !w.retry })
}

// remove removes and returns the matching calls in the queue of one program.
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

// requestMemoryTime is how long a request is remembered, at least: a message
// that is delivered later than that belongs to a connection that was closed.
const requestMemoryTime = 30 * time.Second

// requestMemory remembers the requests that were started or withdrawn, so that
// a message that is delivered twice does not start a second call.
type requestMemory struct {
	current, previous map[string]struct{}
	rotated           time.Duration
}

func (m *requestMemory) add(request string) {
	if request == "" {
		return
	}
	if m.current == nil {
		m.current = make(map[string]struct{})
	}
	m.current[request] = struct{}{}
}

func (m *requestMemory) has(request string) bool {
	_, current := m.current[request]
	_, previous := m.previous[request]
	return current || previous
}

func (m *requestMemory) rotate(now time.Duration) {
	if now-m.rotated >= requestMemoryTime {
		m.current, m.previous, m.rotated = nil, m.current, now
	}
}
