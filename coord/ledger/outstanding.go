package ledger

import (
	"container/list"
	"time"
)

const (
	// SettlementRetryDelay is the time after which a settlement is sent again that the leader
	// could not commit. A settlement must take effect within 1,000 ms while the group is
	// stable, so more than half of that is left for the repetition.
	SettlementRetryDelay = 400 * time.Millisecond
	// SettlementTimeout is the time after which a settlement is sent again over the same
	// connection without an answer. A connection loses nothing while it lives, and a leader
	// that is behind must not get further behind.
	SettlementTimeout = 5 * time.Second
	// maxOutstanding bounds the settlements of one entry that are not acknowledged. Nothing
	// is admitted while the store VMs are unavailable, so there are at most as many as the
	// entry has requests in progress and ends within a failover.
	maxOutstanding = 8192
)

// Outstanding holds the settlements of an entry that the ledger has not acknowledged, the
// oldest first. Times are on the boot clock. The zero value holds none; it is not safe for
// concurrent use.
type Outstanding struct {
	byRequest map[string]*list.Element
	order     list.List
}

// outstandingSettlement is a settlement that has not been acknowledged.
type outstandingSettlement struct {
	Settle
	addedAt time.Duration
	// dueAt is when the settlement is sent next.
	dueAt time.Duration
}

// Add stores a settlement that is due at the given time, unless there is one of the same
// request: only the first takes effect. If there are too many, it removes and returns the
// oldest.
func (o *Outstanding) Add(now, dueAt time.Duration, s Settle) (dropped *Settle) {
	if o.byRequest[s.Request] != nil {
		return nil
	}
	if o.byRequest == nil {
		o.byRequest = make(map[string]*list.Element)
	}
	if o.order.Len() >= maxOutstanding {
		oldest := o.order.Front()
		dropped = &oldest.Value.(*outstandingSettlement).Settle
		o.remove(oldest)
	}
	o.byRequest[s.Request] = o.order.PushBack(&outstandingSettlement{Settle: s, addedAt: now, dueAt: dueAt})
	return dropped
}

// Acknowledge removes the settlement of a request and reports whether there was one.
func (o *Outstanding) Acknowledge(request string) bool {
	element := o.byRequest[request]
	if element == nil {
		return false
	}
	o.remove(element)
	return true
}

// Failed is called when the settlement of a request was not delivered or not committed. It is
// due again after SettlementRetryDelay.
func (o *Outstanding) Failed(now time.Duration, request string) {
	if element := o.byRequest[request]; element != nil {
		element.Value.(*outstandingSettlement).dueAt = now + SettlementRetryDelay
	}
}

func (o *Outstanding) remove(element *list.Element) {
	delete(o.byRequest, element.Value.(*outstandingSettlement).Request)
	o.order.Remove(element)
}

// Due returns at most limit settlements that are due, as sent now.
func (o *Outstanding) Due(now time.Duration, limit int) []Settle {
	var due []Settle
	for element := o.order.Front(); element != nil && len(due) < limit; element = element.Next() {
		if item := element.Value.(*outstandingSettlement); item.dueAt <= now {
			item.dueAt = now + SettlementTimeout
			due = append(due, item.Settle)
		}
	}
	return due
}

// All returns all settlements, as sent now over a new connection.
func (o *Outstanding) All(now time.Duration) []Settle {
	all := make([]Settle, 0, o.order.Len())
	for element := o.order.Front(); element != nil; element = element.Next() {
		item := element.Value.(*outstandingSettlement)
		item.dueAt = now + SettlementTimeout
		all = append(all, item.Settle)
	}
	return all
}

// Expire removes the settlements that were added before a time, and returns their number. It
// is used for leaders that do not acknowledge settlements.
func (o *Outstanding) Expire(before time.Duration) int {
	expired := 0
	for element := o.order.Front(); element != nil && element.Value.(*outstandingSettlement).addedAt < before; element = o.order.Front() {
		o.remove(element)
		expired++
	}
	return expired
}

// Len returns the number of settlements.
func (o *Outstanding) Len() int { return o.order.Len() }

// Age returns the age of the oldest settlement; 0 if there is none.
func (o *Outstanding) Age(now time.Duration) time.Duration {
	oldest := o.order.Front()
	if oldest == nil {
		return 0
	}
	return now - oldest.Value.(*outstandingSettlement).addedAt
}
