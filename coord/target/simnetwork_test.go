package target

import (
	"time"

	"pgregory.net/rapid"
)

// defaultSchedules is the number of random schedules per test. It keeps the
// package's tests short; SCHEDULES overrides it.
const defaultSchedules = 10

// simNetwork simulates a clock and delivers messages at later times of it.
type simNetwork struct {
	rt       *rapid.T
	now      time.Duration
	messages []delayedMessage
}

type delayedMessage struct {
	at      time.Duration
	deliver func()
}

func (n *simNetwork) deliverAfter(d time.Duration, deliver func()) {
	n.messages = append(n.messages, delayedMessage{n.now + d, deliver})
}

// advance moves the clock to the given time and delivers the messages that are due,
// in order.
func (n *simNetwork) advance(until time.Duration) {
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

// oneIn draws true with a probability of 1/in.
func (n *simNetwork) oneIn(in int, label string) bool {
	return rapid.IntRange(1, in).Draw(n.rt, label) == 1
}

func (n *simNetwork) drawDuration(low, high time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(int64(low/time.Millisecond), int64(high/time.Millisecond)).Draw(n.rt, label)) * time.Millisecond
}

// drawDelay draws a short delay, and with a probability of 1/in a long one, as a paused
// sender causes.
func (n *simNetwork) drawDelay(in int, long time.Duration, label string) time.Duration {
	if n.oneIn(in, label+" long") {
		return n.drawDuration(0, long, label)
	}
	return n.drawDuration(0, 20*time.Millisecond, label)
}
