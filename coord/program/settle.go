package program

import (
	"errors"
	"fmt"
)

// ErrUnknownCall is returned for a FinishCall whose program does not exist or has
// not run the call.
var ErrUnknownCall = errors.New("unknown call")

// ErrAlreadySettled is returned for a FinishCall whose call was settled with another
// outcome, or is earlier than the last settled call, because the outcomes of earlier
// calls are not kept.
var ErrAlreadySettled = errors.New("call already settled with another outcome")

// DecideFinish returns the record that settles a call. Both results are nil if the
// call is already settled with the same outcome. The call is looked up by its
// sequence number and the epoch of its ticket is ignored, because the call may have
// been started under an earlier owner.
func (t *Table) DecideFinish(f FinishCall) (*Settle, error) {
	p := t.programs[f.Ticket.Program]
	switch {
	case p == nil:
		return nil, fmt.Errorf("%w: program %s does not exist", ErrUnknownCall, f.Ticket.Program.ID)
	case p.running != nil && p.running.Sequence == f.Ticket.Sequence:
		return &Settle{
			Program: p.ref, Sequence: f.Ticket.Sequence, Reserved: p.running.Reserved, Outcome: f.Outcome,
			TokensUsed: max(f.TokensUsed, 0), Target: f.Target, Response: f.Response, HistoryDelta: f.HistoryDelta, Head: f.Head,
		}, nil
	case p.lastSettled.Sequence == f.Ticket.Sequence && p.lastSettled.Outcome == f.Outcome:
		return nil, nil
	case p.lastSettled.Sequence >= f.Ticket.Sequence:
		return nil, fmt.Errorf("%w: sequence %d of program %s", ErrAlreadySettled, f.Ticket.Sequence, p.ref.ID)
	}
	return nil, fmt.Errorf("%w: sequence %d of program %s", ErrUnknownCall, f.Ticket.Sequence, p.ref.ID)
}

// Abort returns the record that settles the running call without a FinishCall. The
// program must have a running call.
func (p *Program) Abort(o Outcome) *Settle {
	return &Settle{Program: p.ref, Sequence: p.running.Sequence, Reserved: p.running.Reserved, Outcome: o}
}

// Valid reports whether the outcome is one of the three that settle a call.
func (o Outcome) Valid() bool { return o == Completed || o == NotRun || o == Unknown }
