package ledger

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/server/bootclock"
)

// reservation is a reservation that was proposed to the quorum, together with its
// outcome.
type reservation struct {
	ledger.Reserve
	// createdAt is on the boot clock.
	createdAt time.Duration
	// waiters holds the connections of the entries that wait for the outcome.
	waiters []*link
	// state is zero while the outcome is pending.
	state reservationState
}

// reserve returns the reservation of a request and proposes it if there is none. It
// returns nil if the budget does not cover it. The caller holds h.mu.
func (h *Host) reserve(r ledger.Reserve, l *link) *reservation {
	if existing := h.reservations[r.Request]; existing != nil && existing.state != stateUnknown {
		return existing
	}
	if !h.options.Machine.fits(r, h.proposedTokens[r.Program]) {
		return nil
	}
	res := &reservation{Reserve: r, createdAt: bootclock.Now(), waiters: []*link{l}}
	h.reservations[r.Request] = res
	if h.proposedTokens[r.Program] == nil {
		h.proposedTokens[r.Program] = make(map[string]int64, 1)
	}
	h.proposedTokens[r.Program][r.Request] = r.Tokens
	current := h.leadership.Load()
	h.batcher.add(operation{reserve: &r, onOutcome: func(covered bool, err error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.leadership.Load() == current {
			h.removeProposed(r)
		}
		h.resolveReservation(res, covered, err)
	}})
	return res
}

// resolveReservation records the outcome of a reservation and sends it to the waiting
// entries. The caller holds h.mu.
func (h *Host) resolveReservation(res *reservation, covered bool, err error) {
	switch {
	case err != nil:
		res.state = stateUnknown
		h.options.Log.WithFields(logrus.Fields{"event": "reservation_failed", "request": res.Request, "program": res.Program.ID}).WithError(err).Warn("reservation not confirmed")
	case covered:
		res.state = stateDurable
	default:
		res.state = h.uncovered(res.Reserve)
	}
	for _, l := range res.waiters {
		l.send(kindReservationOutcome, &reservationOutcome{ID: res.Request, State: res.state})
	}
	res.waiters = nil
}

// removeProposed subtracts a reservation that is no longer pending from the proposed
// tokens of its program. The caller holds h.mu.
func (h *Host) removeProposed(r ledger.Reserve) {
	delete(h.proposedTokens[r.Program], r.Request)
	if len(h.proposedTokens[r.Program]) == 0 {
		delete(h.proposedTokens, r.Program)
	}
}

// confirm sends the outcome of a reservation to an entry once it is known. If the
// reservation is unknown because another leader admitted the turn, it is proposed
// again. The caller holds h.mu.
func (h *Host) confirm(r ledger.Reserve, l *link) {
	if h.reserve(r, l) == nil {
		l.send(kindReservationOutcome, &reservationOutcome{ID: r.Request, State: h.uncovered(r)})
		return
	}
	h.watchReservation(&r, l)
}

// watchReservation sends the outcome of a known reservation to an entry, at once or
// when it is known. The caller holds h.mu.
func (h *Host) watchReservation(r *ledger.Reserve, l *link) {
	if r == nil {
		return
	}
	res := h.reservations[r.Request]
	switch {
	case res == nil:
	case res.state != 0:
		l.send(kindReservationOutcome, &reservationOutcome{ID: r.Request, State: res.state})
	case !slices.Contains(res.waiters, l):
		res.waiters = append(res.waiters, l)
	}
}
