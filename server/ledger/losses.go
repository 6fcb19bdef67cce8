package ledger

import (
	"slices"
	"time"

	"hemlockvale.dev/coord/quarantine"
	"hemlockvale.dev/server/bootclock"
)

// maxKnownLosses bounds the lost responses that an entry remembers.
const maxKnownLosses = 1000

// LossReport tells the leader that the response to a request was lost: its connection
// failed, or the target was silent until the request ended.
type LossReport struct {
	quarantine.Loss
	// Request is the id of the request.
	Request string
}

// knownLoss is a loss with the time at which it was reported first.
type knownLoss struct {
	LossReport
	reportedAt time.Time
}

// knownLosses holds the latest lost responses of an entry, so that it can repeat them to a
// new leader. It is not safe for concurrent use.
type knownLosses struct{ list []knownLoss }

// add stores a loss. The oldest one is dropped if there are too many.
func (k *knownLosses) add(r LossReport) {
	k.expire()
	if len(k.list) >= maxKnownLosses {
		k.list = k.list[1:]
	}
	k.list = append(k.list, knownLoss{r, time.Now()})
}

func (k *knownLosses) expire() {
	k.list = slices.DeleteFunc(k.list, func(l knownLoss) bool { return time.Since(l.reportedAt) > quarantine.LossRetention })
}

// messages returns the losses as reports to a new leader, in lists that fit into one message each.
func (k *knownLosses) messages() [][]LossReport {
	k.expire()
	reports := make([]LossReport, len(k.list))
	for i, l := range k.list {
		reports[i] = l.LossReport
		reports[i].Age = time.Since(l.reportedAt)
	}
	return divide(reports, func(r LossReport) int {
		return len(r.Request) + len(r.Organisation) + len(r.Target) + len(r.Address)
	})
}

// ReportLoss tells the leader that a response was lost, before any later request of this
// entry, and remembers it for later leaders.
func (c *Client) ReportLoss(r LossReport) {
	c.mu.Lock()
	c.losses.add(r)
	if r.Kind == quarantine.Disconnected {
		now := bootclock.Now()
		c.breaks.add(r.Incarnation, now-r.Ran, now)
	}
	l := c.link
	c.startReconnect()
	c.mu.Unlock()
	if l == nil {
		return
	}
	if err := l.send(kindLosses, []LossReport{r}); err != nil {
		c.connectionFailed(l, err)
	}
}
