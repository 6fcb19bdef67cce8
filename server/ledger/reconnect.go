package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"hemlockvale.dev/coord/quarantine"
	"hemlockvale.dev/server/bootclock"
)

const (
	// reconnectTime is how long an entry without requests searches for the next leader. What
	// it knows is out of date afterwards.
	reconnectTime = quarantine.LossRetention
	// reconnectSearchTime is the length of one search, and reconnectPause the mean time between two
	// of them.
	reconnectSearchTime = 100 * time.Millisecond
	reconnectPause      = 300 * time.Millisecond
)

// startReconnect searches for the leader in a goroutine, so that a new one hears what this
// entry knows even if the entry has no request for it. The caller holds c.mu.
func (c *Client) startReconnect() {
	if c.reconnecting || c.link != nil {
		return
	}
	c.reconnecting = true
	go c.reconnect()
}

func (c *Client) reconnect() {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.reconnecting = false
	}()
	for start := time.Now(); time.Since(start) < reconnectTime; time.Sleep(reconnectPause/2 + rand.N(reconnectPause)) {
		ctx, cancel := context.WithTimeout(context.Background(), reconnectSearchTime)
		l := c.connect(ctx)
		cancel()
		if l != nil {
			return
		}
	}
}

// introduce tells a new leader what this entry knows of settlements, targets and streams. It must be
// sent before the first request on the connection. The caller holds c.mu.
func (c *Client) introduce(l *clientLink) error {
	if err := c.introduceSettlements(l); err != nil {
		return err
	}
	if reports := c.rates.reports(); len(reports) > 0 {
		if err := l.send(kindTargetRates, reports); err != nil {
			return err
		}
	}
	for _, origins := range c.origins.messages() {
		if err := l.send(kindOrigins, origins); err != nil {
			return err
		}
	}
	if leaving := c.leaving.List(); len(leaving) > 0 {
		if err := l.send(kindLeaving, leaving); err != nil {
			return err
		}
	}
	if cold := c.cold.reports(bootclock.Now()); len(cold) > 0 {
		if err := l.send(kindCold, cold); err != nil {
			return err
		}
	}
	for _, losses := range c.losses.messages() {
		if err := l.send(kindLosses, losses); err != nil {
			return err
		}
	}
	open, serving := c.breaks.reports(bootclock.Now())
	if len(open) > 0 {
		if err := l.send(kindBreaks, open); err != nil {
			return err
		}
	}
	if len(serving) > 0 {
		// The losses may have raised doubts that are settled.
		return l.send(kindServing, serving)
	}
	return nil
}
