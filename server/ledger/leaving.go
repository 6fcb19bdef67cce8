package ledger

import (
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
)

// ReportLeaving tells the leader that a target has stated that it leaves, and remembers it
// for later leaders.
func (c *Client) ReportLeaving(i catalog.Incarnation) {
	c.mu.Lock()
	isNew := c.leaving.Add(i)
	l := c.link
	c.startReconnect()
	c.mu.Unlock()
	if !isNew || l == nil {
		return
	}
	if err := l.send(kindLeaving, []catalog.Incarnation{i}); err != nil {
		c.connectionFailed(l, err)
	}
}

// recordLeaving handles what an entry reports about leaving targets, which get no further
// grants from this leader or a later one. The caller holds h.mu.
func (h *Host) recordLeaving(entry string, targets []catalog.Incarnation) {
	changed := false
	for _, i := range targets {
		if h.leaving.Add(i) {
			changed = true
			h.options.Log.WithFields(logrus.Fields{"event": "target_leaving", "target": i.Target, "started": i.StartedUnixMS, "entry": entry}).Info("target has stated that it leaves")
			h.batcher.add(operation{leaving: &i})
		}
	}
	if changed {
		h.setTargets()
	}
}

// leaves reports whether a target accepts no new requests: it has told control or an entry.
// The caller holds h.mu.
func (h *Host) leaves(t catalog.Target) bool {
	return t.State != catalog.Ready || h.leaving.Has(t.Incarnation())
}
