package target

import (
	"time"

	"pgregory.net/rapid"
)

// defaultSchedules keeps the package's tests short; SCHEDULES overrides it.
const defaultSchedules = 10

// network delivers messages at later times of a simulated clock.
type network struct {
	rt       *rapid.T
	now      time.Duration
	messages []message
}

type message struct {
	at      time.Duration
	deliver func()
}

func (n *network) after(d time.Duration, deliver func()) {
	n.messages = append(n.messages, message{n.now + d, deliver})
}

// advance lets time pass up to the given moment and delivers what is due, in order.
func (n *network) advance(until time.Duration) {
	for {
		next := -1
		for i, m := range n.messages {
			if m.at <= until && (next < 0 || m.at < n.messages[next].at) {
				next = i
			}
		}
		if next < 0 {
			n.now = until
			return
		}
		m := n.messages[next]
		n.messages = append(n.messages[:next], n.messages[next+1:]...)
		n.now = max(n.now, m.at)
		m.deliver()
	}
}

// chance draws true in one of n cases.
func (n *network) chance(in int, label string) bool {
	return rapid.IntRange(1, in).Draw(n.rt, label) == 1
}

func (n *network) between(low, high time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(int64(low/time.Millisecond), int64(high/time.Millisecond)).Draw(n.rt, label)) * time.Millisecond
}

// delay draws a short delay, and in one of n cases a long one, as when the sender is paused.
func (n *network) delay(in int, long time.Duration, label string) time.Duration {
	if n.chance(in, label+" long") {
		return n.between(0, long, label)
	}
	return n.between(0, 20*time.Millisecond, label)
}
