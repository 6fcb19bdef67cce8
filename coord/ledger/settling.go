package ledger

import (
	"maps"
	"time"
)

const (
	// settlingAfterElection bounds the time in which entries repeat their settlements to a new
	// leader, from when it can admit requests. An entry that waits for an acknowledgement notices
	// within 0.92 s that a leader is silent, and any other within 2.1 s; both find the next leader
	// within 0.7 s.
	settlingAfterElection = 3 * time.Second
	// settlingAfterFailure is the same after a batch of settlements that was not committed: a
	// repetition, and its commit.
	settlingAfterFailure = SettlementRetryDelay + 600*time.Millisecond
	// absenceLimit is how long an entry whose connection was lost is expected back with its
	// settlements. Later it has most likely ended.
	absenceLimit = 10 * time.Second
)

// Settling tells a leader whether entries may have settlements that it has not heard of or
// could not commit. Reservations can then be charged at their maximum although their turns
// have ended. The zero value tells that there are none. Times are on the boot clock.
type Settling struct {
	until time.Duration
	// absent holds the entries whose connection was lost, with the time of the loss.
	absent map[string]time.Duration
}

// CannotAdmit is called when a leadership starts, and repeatedly while the leader can't admit
// requests: entries may not reach it, or look for another one.
func (s *Settling) CannotAdmit(now time.Duration) { s.until = max(s.until, now+settlingAfterElection) }

// Failed is called when settlements were not committed.
func (s *Settling) Failed(now time.Duration) { s.until = max(s.until, now+settlingAfterFailure) }

// Lost is called when the connection of an entry was lost, and settlements with it.
func (s *Settling) Lost(now time.Duration, entry string) {
	s.forgetAbsent(now)
	if s.absent == nil {
		s.absent = make(map[string]time.Duration)
	}
	s.absent[entry] = now
}

// Introduced is called when an entry has sent the settlements that it had when it connected.
func (s *Settling) Introduced(entry string) { delete(s.absent, entry) }

// Left returns how long settlements may still be outstanding; 0 if there are none.
func (s *Settling) Left(now time.Duration) time.Duration {
	s.forgetAbsent(now)
	left := max(0, s.until-now)
	for _, lostAt := range s.absent {
		left = max(left, lostAt+absenceLimit-now)
	}
	return left
}

// forgetAbsent removes the entries that were lost long ago.
func (s *Settling) forgetAbsent(now time.Duration) {
	maps.DeleteFunc(s.absent, func(_ string, lostAt time.Duration) bool { return lostAt+absenceLimit <= now })
}

// FitsSettled reports whether the program's budget would cover another turn if its open
// reservations were settled with no tokens. If it does not, no settlement can change that.
func (s *State) FitsSettled(r Reserve) bool {
	if a := s.accounts[r.Program]; a != nil {
		return a.Spent+r.Tokens <= r.Budget
	}
	return r.Tokens <= r.Budget
}

// FitsBeside reports whether the program's budget covers another turn beside reservations that were
// proposed, by request. Those that the state has already are charged once.
func (s *State) FitsBeside(r Reserve, proposed map[string]int64) bool {
	for request, tokens := range proposed {
		if !s.Reserves(r.Program, request) {
			r.Budget -= tokens
		}
	}
	return s.Fits(r)
}

// WholeEvents returns the number of tokens of the least whole number of events that contains
// the given tokens. Delivered tokens are counted in whole events, so the last event of a turn
// can exceed the turn's maximum, and a reservation has to include all of it.
func WholeEvents(tokens, perEvent int64) int64 {
	if perEvent <= 1 || tokens <= 0 {
		return tokens
	}
	return (tokens + perEvent - 1) / perEvent * perEvent
}
