package ledger

import (
	"math/rand/v2"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/server/bootclock"
)

const (
	// BudgetUnsettled is the refusal of a turn that the program's budget may cover once
	// outstanding settlements are known.
	BudgetUnsettled dispatch.Refusal = "budget_unsettled"
	// maxUnsettledRetryAfter bounds the retry delay of such a turn. Most settlements are
	// repeated within a second after a change of leader.
	maxUnsettledRetryAfter = 500 * time.Millisecond
	// answerDelay is how long answers to settlements wait for another message to the entry. Of
	// 2,000 turns a second through 255 entries, each entry gets a message every 40 to 125 ms;
	// with 50 ms, most answers needed a write of their own and the leader recovered late from
	// a surge.
	answerDelay = 250 * time.Millisecond
)

// settlementCounters count what the leader does with settlements.
type settlementCounters struct{ applied, known, failed, repeated gometrics.Counter }

func newSettlementCounters(metrics gometrics.Registry) settlementCounters {
	counter := func(outcome string) gometrics.Counter {
		return gometrics.GetOrRegisterCounter("ledger_settlements;outcome="+outcome, metrics)
	}
	return settlementCounters{applied: counter("applied"), known: counter("known"), failed: counter("failed"), repeated: counter("repeated")}
}

// recordSettlements applies settlements that an entry repeats. The caller holds h.mu.
func (h *Host) recordSettlements(l *link, list settlementList) {
	l.acknowledges = true
	if list.Introduces {
		l.entryID = list.Entry
		h.supersede(l)
		defer h.settling.Introduced(l.entryID)
		l.send(kindSettled, &settledMessage{})
		if len(list.Settles) > 0 {
			h.options.Log.WithFields(logrus.Fields{"event": "settlements_received", "entry": l.entry, "settlements": len(list.Settles)}).Info("an entry has repeated settlements")
		}
	}
	h.settlementCounters.repeated.Inc(int64(len(list.Settles)))
	for _, s := range list.Settles {
		// An admission of the request that was not decided must not reserve tokens afterwards.
		h.inbox.cancel(s.Request)
		h.settle(l, s)
	}
}

// supersede makes the earlier connections of an entry useless. What is read late from one of
// them could reserve tokens for a request that has been settled. The caller holds h.mu.
func (h *Host) supersede(l *link) {
	for other := range h.links {
		if other != l && other.entryID == l.entryID && l.entryID != "" {
			other.superseded.Store(true)
		}
	}
}

// settle proposes a settlement and acknowledges it once it is applied. The caller holds h.mu.
func (h *Host) settle(l *link, s ledger.Settle) {
	if l.acknowledges && h.canAdmit() && !h.knowsReservation(s.Program, s.Request) {
		// Another settlement was applied, or nothing was reserved. No other VM leads, and this
		// one has applied the log of the earlier leaders.
		h.settlementCounters.known.Inc(1)
		l.answer(&l.answers.Applied, s.Request)
		return
	}
	h.proposedSettlements.add(s.Program)
	h.batcher.add(operation{settle: &s, onOutcome: func(_ bool, err error) {
		h.settled(l, s, err)
		h.proposedSettlements.remove(s.Program)
	}})
}

// settled answers a settlement that was or was not committed.
func (h *Host) settled(l *link, s ledger.Settle, err error) {
	counter, answers := h.settlementCounters.applied, &l.answers.Applied
	if err != nil {
		// The entry repeats the settlement.
		counter, answers = h.settlementCounters.failed, &l.answers.Failed
		h.mu.Lock()
		defer h.mu.Unlock()
		h.settling.Failed(bootclock.Now())
	}
	if l.acknowledges {
		counter.Inc(1)
		l.answer(answers, s.Request)
	}
}

// proposedSettlements counts, by program, the settlements that are being committed. It is safe for
// concurrent use.
type proposedSettlements struct {
	mu    sync.Mutex
	count map[ledger.Program]int
}

func (p *proposedSettlements) add(program ledger.Program) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count == nil {
		p.count = make(map[ledger.Program]int)
	}
	p.count[program]++
}

func (p *proposedSettlements) remove(program ledger.Program) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count[program]--
	if p.count[program] == 0 {
		delete(p.count, program)
	}
}

func (p *proposedSettlements) has(program ledger.Program) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count[program] > 0
}

// knowsReservation reports whether a request has a reservation that is proposed or applied. The
// caller holds h.mu.
func (h *Host) knowsReservation(p ledger.Program, request string) bool {
	return h.reservations[request] != nil || h.options.Machine.reserves(p, request)
}

// releaseReservation settles with 0 tokens the reservation of a request that will not run, if
// this leader or an earlier one has made one. The caller holds h.mu.
func (h *Host) releaseReservation(a *admission) {
	r := a.request.Reserve
	if r == nil || !a.link.acknowledges && !h.knowsReservation(r.Program, r.Request) {
		return
	}
	h.settle(a.link, *Settlement(r, 0))
}

// refuseBudget returns the response to a turn that the program's budget does not cover now. The
// caller holds h.mu.
func (h *Host) refuseBudget(r ledger.Reserve) AdmitResponse {
	left := h.unsettledFor(r)
	if left == 0 {
		return AdmitResponse{Refusal: BudgetExhausted}
	}
	delay := min(left, maxUnsettledRetryAfter)
	return AdmitResponse{Refusal: BudgetUnsettled, RetryAfter: delay/2 + rand.N(delay)}
}

// unsettledFor returns how long outstanding settlements may still make room for a turn; 0 if
// they can't. The caller holds h.mu.
func (h *Host) unsettledFor(r ledger.Reserve) time.Duration {
	left := h.settling.Left(bootclock.Now())
	if h.proposedSettlements.has(r.Program) || h.options.Machine.fits(r, h.proposedTokens[r.Program]) {
		// The second holds if a settlement was applied since the budget was found not to cover
		// the turn.
		left = max(left, maxUnsettledRetryAfter)
	}
	if left == 0 || !h.options.Machine.fitsSettled(r) {
		return 0
	}
	return left
}

// uncovered returns the outcome of a reservation that the budget does not cover now. An entry
// requests one of unknown outcome again. The caller holds h.mu.
func (h *Host) uncovered(r ledger.Reserve) reservationState {
	if h.unsettledFor(r) > 0 {
		return stateUnknown
	}
	return stateExhausted
}

// answer tells the entry what became of a settlement, with the next message to it. list is a
// list of l.answers.
func (l *link) answer(list *[]string, request string) {
	l.answersMu.Lock()
	defer l.answersMu.Unlock()
	if len(l.answers.Applied)+len(l.answers.Failed) == 0 {
		l.answeredAt = bootclock.Now()
	}
	*list = append(*list, request)
}

// takeAnswers returns messages with the answers, the first of which was added before the given
// time, or nil if there are none.
func (l *link) takeAnswers(before time.Duration) []byte {
	l.answersMu.Lock()
	defer l.answersMu.Unlock()
	if len(l.answers.Applied)+len(l.answers.Failed) == 0 || l.answeredAt > before {
		return nil
	}
	var messages []byte
	add := func(m settledMessage) {
		message, err := l.form.encode(kindSettled, &m)
		if err != nil {
			l.host.options.Log.WithField("event", "link_encode_failed").WithError(err).Error("message not sent")
		}
		messages = append(messages, message...)
	}
	idBytes := func(id string) int { return len(id) }
	for _, list := range divide(l.answers.Applied, idBytes) {
		add(settledMessage{Applied: list})
	}
	for _, list := range divide(l.answers.Failed, idBytes) {
		add(settledMessage{Failed: list})
	}
	l.answers.Applied, l.answers.Failed = l.answers.Applied[:0], l.answers.Failed[:0]
	return messages
}

// flushAnswers sends the answers for which no other message has come. The caller holds h.mu.
func (h *Host) flushAnswers() {
	before := bootclock.Now() - answerDelay
	for l := range h.links {
		if message := l.takeAnswers(before); message != nil {
			l.sendEncoded(message)
		}
	}
}
