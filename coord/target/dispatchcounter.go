package target

import "time"

// dispatchCounter counts the dispatched requests that the target's load report does
// not include yet. A request is counted until the second of two reports that are at
// least reportSettleTime apart, because the first report may have been produced
// before the request arrived.
type dispatchCounter struct {
	// recent counts the requests sent since the last rotation, older those sent in
	// the interval before it.
	recent, older dispatchTotals
	// rotatedAt is when the last rotation took place, or when the first request after
	// an idle time was sent. It is valid if rotatedAtSet is set.
	rotatedAt    time.Duration
	rotatedAtSet bool
}

type dispatchTotals struct {
	requests int
	tokens   int64
}

func (c *dispatchCounter) add(now time.Duration, tokens int64) {
	if c.recent.requests == 0 && c.older.requests == 0 {
		c.rotatedAt, c.rotatedAtSet = now, true
	}
	c.recent.requests++
	c.recent.tokens += max(tokens, 0)
}

// remove subtracts a completed request, from the older ones first. If a load report
// already includes the request, another one is subtracted instead. The sum of the
// report and the counter stays correct, because that report counts one request too
// many until the next report.
func (c *dispatchCounter) remove(tokens int64) {
	from := &c.older
	if from.requests == 0 {
		from = &c.recent
	}
	if from.requests == 0 {
		return
	}
	from.requests--
	from.tokens = max(0, from.tokens-max(tokens, 0))
	if from.requests == 0 {
		from.tokens = 0
	}
}

// rotate updates the counter for a new load report: the report is taken to include
// the older requests, and the recent ones become the older ones. It changes nothing
// within reportSettleTime of the last rotation or of the first request after an idle
// time.
func (c *dispatchCounter) rotate(now time.Duration) {
	if c.rotatedAtSet && now-c.rotatedAt < reportSettleTime {
		return
	}
	c.older, c.recent = c.recent, dispatchTotals{}
	c.rotatedAt, c.rotatedAtSet = now, true
}

func (c *dispatchCounter) total() (requests int, tokens int64) {
	return c.recent.requests + c.older.requests, c.recent.tokens + c.older.tokens
}
