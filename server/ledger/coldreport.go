package ledger

import (
	"maps"
	"time"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/server/bootclock"
)

const (
	// coldReportTolerance is the difference between two stated ends of a cold period up to which
	// the later statement is not reported again.
	coldReportTolerance = time.Second
	// maxColdStatements bounds the cold targets that an entry or a leader remembers.
	maxColdStatements = 1024
)

// ColdStatement is what the response of a target states about its cold period.
type ColdStatement struct {
	Incarnation catalog.Incarnation
	// Left is how long the target stays cold.
	Left time.Duration
}

// coldStatements holds the ends of stated cold periods on the boot clock. It is not safe for
// concurrent use.
type coldStatements map[catalog.Incarnation]time.Duration

// record stores a statement and reports whether it differs from what is known.
func (c coldStatements) record(now time.Duration, s ColdStatement) bool {
	until := now + min(s.Left, catalog.MaxCold)
	known, found := c[s.Incarnation]
	if found && max(until-known, known-until) <= coldReportTolerance {
		return false
	}
	if !found && len(c) >= maxColdStatements {
		c.expire(now)
		if len(c) >= maxColdStatements {
			return false
		}
	}
	c[s.Incarnation] = until
	return true
}

// left returns how long an incarnation stays cold.
func (c coldStatements) left(now time.Duration, i catalog.Incarnation) time.Duration {
	return max(c[i]-now, 0)
}

// expire forgets the periods that have ended.
func (c coldStatements) expire(now time.Duration) {
	maps.DeleteFunc(c, func(_ catalog.Incarnation, until time.Duration) bool { return until <= now })
}

// reports returns the statements for a new leader.
func (c coldStatements) reports(now time.Duration) []ColdStatement {
	c.expire(now)
	reports := make([]ColdStatement, 0, len(c))
	for i, until := range c {
		reports = append(reports, ColdStatement{i, until - now})
	}
	return reports
}

// ReportCold tells the leader that a target has stated that it is cold, and remembers it for later
// leaders.
func (c *Client) ReportCold(s ColdStatement) {
	c.mu.Lock()
	isNew := c.cold.record(bootclock.Now(), s)
	l := c.link
	c.mu.Unlock()
	if !isNew || l == nil {
		return
	}
	if err := l.send(kindCold, []ColdStatement{s}); err != nil {
		c.connectionFailed(l, err)
	}
}

// recordCold handles what entries report about cold targets. A report about an incarnation that
// the catalog doesn't list, or lists as cold for as long, changes nothing. The caller holds h.mu.
func (h *Host) recordCold(statements []ColdStatement) {
	now, nowUnixMS := bootclock.Now(), time.Now().UnixMilli()
	view := h.options.View()
	changed := false
	for _, s := range statements {
		t, listed := view.Target(s.Incarnation.Target)
		if !listed || t.Incarnation() != s.Incarnation || view.Table == nil {
			continue
		}
		service := view.Table.Service(t.Service)
		if service == nil || service.ColdPerSecond <= 0 || s.Left <= t.ColdLeft(service, nowUnixMS)+coldReportTolerance {
			continue
		}
		changed = h.coldStatements.record(now, s) || changed
	}
	if changed {
		h.setTargets()
	}
}
