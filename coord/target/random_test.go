package target

import (
	"flag"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	defaultSchedules = 10
	defaultSteps     = 2000
)

// environment returns a number from the environment.
func environment(t *testing.T, name string, missing uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return missing
	}
	value, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err, name)
	return value
}

// schedules checks random schedules. SEED repeats a run; STEPS and SCHEDULES set its length.
func schedules(t *testing.T, run func(rt *rapid.T, steps int)) {
	t.Helper()
	seed := environment(t, "SEED", rand.Uint64())
	steps := environment(t, "STEPS", defaultSteps)
	checks := environment(t, "SCHEDULES", defaultSchedules)
	t.Logf("SEED=%d STEPS=%d SCHEDULES=%d", seed, steps, checks)
	for name, value := range map[string]string{
		"rapid.seed": strconv.FormatUint(seed, 10), "rapid.checks": strconv.FormatUint(checks, 10), "rapid.nofailfile": "true", "rapid.shrinktime": "10s",
	} {
		require.NoError(t, flag.Set(name, value))
	}
	rapid.Check(t, func(rt *rapid.T) { run(rt, int(steps)) })
}

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
