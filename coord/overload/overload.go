// Package overload decides which requests are refused before they reach a server that is
// behind with its work. The server measures its delay and states the share of programs
// whose requests others refuse for it. A program is refused or not by a hash of its id, so
// that those which start are also served to their end.
package overload

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// UpdateInterval is the time between two calls of Controller.Update.
	UpdateInterval = 20 * time.Millisecond
	// targetDelay is the delay that the controller aims at while there is too much work.
	targetDelay = 50 * time.Millisecond
	// delayGain and trendGain are the changes of the share for each second by which the delay
	// exceeds targetDelay, and for each second by which it has grown.
	delayGain = 0.25
	trendGain = 2.5
	// burstTime is how long the delay may exceed targetDelay before anything is refused.
	burstTime = 100 * time.Millisecond
	// idleDecay is the factor by which the share falls with each update without delay.
	idleDecay = 0.97
	// minShare is the share below which nothing is refused.
	minShare = 0.01
)

// Controller is a proportional-integral controller of the share of programs to refuse.
// The zero value refuses none. It is not safe for concurrent use.
type Controller struct {
	share     float64
	lastDelay time.Duration
	// late is how long the delay has exceeded targetDelay while nothing is refused.
	late time.Duration
}

// Update records the current delay of the server and returns the share of programs to
// refuse, between 0 and 1. It must be called every UpdateInterval.
func (c *Controller) Update(delay time.Duration) float64 {
	if c.share == 0 && !c.burstEnds(delay) {
		c.lastDelay = delay
		return 0
	}
	change := delayGain*(delay-targetDelay).Seconds() + trendGain*(delay-c.lastDelay).Seconds()
	c.lastDelay = delay
	c.share = min(max(c.share+change, 0), 1)
	if delay == 0 {
		c.share *= idleDecay
	}
	if c.share < minShare && delay < targetDelay {
		c.share = 0
	}
	return c.share
}

// Pause records the delay of a server that may not work at the moment. It changes no share: the
// delay is not due to too much work.
func (c *Controller) Pause(delay time.Duration) { c.lastDelay, c.late = delay, 0 }

// burstEnds reports whether the delay has exceeded targetDelay for burstTime.
func (c *Controller) burstEnds(delay time.Duration) bool {
	if delay <= targetDelay {
		c.late = 0
		return false
	}
	c.late += UpdateInterval
	return c.late > burstTime
}

// Refuses reports whether a program belongs to the given share of programs.
func Refuses(share float64, program string) bool {
	const buckets = 1 << 16
	return float64(xxhash.Sum64String(program)%buckets) < share*buckets
}
