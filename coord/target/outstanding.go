package target

import "time"

// outstanding counts the dispatches that the target's report does not contain
// yet. A dispatch is counted until the second report at least settleInterval
// apart, because the first may have been taken before the dispatch arrived.
type outstanding struct {
	fresh, settling amount
	settledAt       time.Duration
	settledOnce     bool
}

type amount struct {
	requests int
	tokens   int64
}

func (o *outstanding) add(now time.Duration, tokens int64) {
	if o.fresh.requests == 0 && o.settling.requests == 0 {
		o.settledAt, o.settledOnce = now, true
	}
	o.fresh.requests++
	o.fresh.tokens += max(tokens, 0)
}

// remove settles a dispatch. When a report already counts it, a later dispatch
// is removed instead: the report counts one request too many until the next one.
func (o *outstanding) remove(tokens int64) {
	from := &o.settling
	if from.requests == 0 {
		from = &o.fresh
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

// settle notes a new report.
func (o *outstanding) settle(now time.Duration) {
	if o.settledOnce && now-o.settledAt < settleInterval {
		return
	}
	o.settling, o.fresh = o.fresh, amount{}
	o.settledAt, o.settledOnce = now, true
}

func (o *outstanding) total() (requests int, tokens int64) {
	return o.fresh.requests + o.settling.requests, o.fresh.tokens + o.settling.tokens
}
