package ledger

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/server/bootclock"
)

// reservation is a turn's reservation on its way to the disks.
type reservation struct {
	ledger.Reserve
	began time.Duration
	// links are the entries that wait for the outcome.
	links []*link
	// state is zero until the outcome is known.
	state durableState
}

// reserve returns the request's reservation, which it proposes if there is
// none, or nil if the budget does not hold it; h.mu is held.
func (h *Host) reserve(r ledger.Reserve, l *link) *reservation {
	if known := h.reservations[r.Request]; known != nil && known.state != stateUnknown {
		return known
	}
	left := r
	left.Budget -= h.proposed[r.Program]
	if !h.o.Machine.fits(left) {
		return nil
	}
	v := &reservation{Reserve: r, began: bootclock.Now(), links: []*link{l}}
	h.reservations[r.Request] = v
	h.proposed[r.Program] += r.Tokens
	since := h.since
	h.batches.add(operation{reserve: &r, then: func(fitted bool, err error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.since.Equal(since) {
			h.applied(r)
		}
		h.reservationEnded(v, fitted, err)
	}})
	return v
}

func (h *Host) reservationEnded(v *reservation, fitted bool, err error) {
	switch {
	case err != nil:
		v.state = stateUnknown
		h.o.Log.WithFields(logrus.Fields{"event": "reservation_failed", "request": v.Request, "program": v.Program.ID}).WithError(err).Warn("reservation not confirmed")
	case fitted:
		v.state = stateDurable
	default:
		v.state = stateExhausted
	}
	for _, l := range v.links {
		l.send(kindDurable, &durable{ID: v.Request, State: v.state})
	}
	v.links = nil
}

// applied takes a reservation out of those that are only proposed.
func (h *Host) applied(r ledger.Reserve) {
	h.proposed[r.Program] -= r.Tokens
	if h.proposed[r.Program] <= 0 {
		delete(h.proposed, r.Program)
	}
}

// confirm answers once a reservation is durable. A leader that does not know
// it, because another one admitted the turn, reserves it again; h.mu is held.
func (h *Host) confirm(r ledger.Reserve, l *link) {
	if h.reserve(r, l) == nil {
		l.send(kindDurable, &durable{ID: r.Request, State: stateExhausted})
		return
	}
	h.watchReservation(&r, l)
}

// watchReservation lets an entry hear the outcome of a known reservation.
func (h *Host) watchReservation(r *ledger.Reserve, l *link) {
	if r == nil {
		return
	}
	v := h.reservations[r.Request]
	switch {
	case v == nil:
	case v.state != 0:
		l.send(kindDurable, &durable{ID: r.Request, State: v.state})
	case !slices.Contains(v.links, l):
		v.links = append(v.links, l)
	}
}

// giveBack returns the reservation of a request that will not run.
func (h *Host) giveBack(c *call) {
	if settle := Settlement(c.request.Reserve, 0); settle != nil {
		h.batches.add(operation{settle: settle})
	}
}
