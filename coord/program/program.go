package program

import (
	"slices"
	"strings"
	"time"

	"hemlockvale.dev/coord/fleet"
)

// lineageSeparator separates a lineage's id from the number of one of its programs.
// The number is the index of the record that created the program, so it is never
// reused.
const lineageSeparator = "/~"

// Program is the state of one program. Only Table changes it, except for TimerDue.
type Program struct {
	ref           Ref
	generation    uint64 // index of the record that started the current generation
	applied       uint64 // index of the last record that changed this program
	budget        fleet.Budget
	calls         int64
	tokens        int64 // charged for settled calls, without reservations
	reserved      int64
	firstCall     time.Duration
	lastActive    time.Duration
	idleTimeout   time.Duration
	keepUntil     time.Duration // latest end of a resend window; an ended program is kept until then
	head          uint64
	history       []byte
	targets       []string
	lastCall      LastCall
	running       *Running
	records       []*callRecord
	lastSettled   settledCall
	subAgentCalls int // running calls of sub-agents that are charged to the current generation
	ended         bool
	endedAt       time.Duration
	releaseID     uint64   // index of the record that requested the pending release; 0 if none is pending
	releasing     []string // targets of the pending release, including those of earlier generations

	// TimerDue is the shard time of the owner's timer for this program, or 0 if none is
	// set; it is not replicated.
	TimerDue time.Duration
}

// Running is the call that a program is running; a program runs one call at a time.
type Running struct {
	// Sequence is the call's sequence number: the index of its Begin record.
	Sequence uint64 `json:"sequence"`
	// BegunAt is the shard time of the Begin record.
	BegunAt time.Duration `json:"begun"`
	// Reserved is the number of tokens reserved for the call.
	Reserved int64 `json:"reserved,omitempty"`
	// TokenLimit is the number of tokens that the call may use; 0 if no budget
	// limits tokens.
	TokenLimit int64 `json:"token_limit,omitempty"`
	// Timeout is the call's time limit; 0 means that there is none.
	Timeout time.Duration `json:"timeout,omitempty"`
	// ResendWindow is the time for which the outcome is kept for retries.
	ResendWindow time.Duration `json:"resend_window,omitempty"`
	// Runner is the VM that dispatches the call.
	Runner fleet.VMRef `json:"runner"`
	// Revision is the fleet revision at which the runner knew itself to be
	// registered.
	Revision uint64 `json:"revision,omitempty"`
	// Request identifies the attempt to begin the call.
	Request string `json:"request,omitempty"`
}

// callRecord is an at-most-once record: it lets a retry of a call find the outcome
// instead of running the call again.
type callRecord struct {
	Key           string          `json:"key,omitempty"`
	Fingerprint   uint64          `json:"fingerprint"`
	Generation    uint64          `json:"generation"`
	Sequence      uint64          `json:"sequence"`
	NonIdempotent bool            `json:"non_idempotent,omitempty"`
	Outcome       Outcome         `json:"outcome,omitempty"` // empty while the call runs
	Response      *StoredResponse `json:"response,omitempty"`
	Expires       time.Duration   `json:"expires,omitempty"`
}

// settledCall is the last settled call; a repeated FinishCall is compared with it.
type settledCall struct {
	Sequence uint64  `json:"sequence,omitempty"`
	Outcome  Outcome `json:"outcome,omitempty"`
}

// Ref returns the program's identity.
func (p *Program) Ref() Ref { return p.ref }

// Running returns the running call, or nil.
func (p *Program) Running() *Running { return p.running }

// Ended reports whether the program has ended.
func (p *Program) Ended() bool { return p.ended }

// Calls returns the number of calls charged to the current generation.
func (p *Program) Calls() int64 { return p.calls }

// Tokens returns the tokens of the current generation: those charged for settled
// calls and those reserved.
func (p *Program) Tokens() (attained, reserved int64) { return p.tokens, p.reserved }

// ancestors returns the ids of the programs whose budgets also cover the program with
// the given id, outermost first. The part of an id that numbers a lineage's program
// does not make it a sub-agent.
func ancestors(id string) []string {
	var ids []string
	for i := 0; i < len(id); i++ {
		if id[i] == '/' && !strings.HasPrefix(id[i:], lineageSeparator) {
			ids = append(ids, id[:i])
		}
	}
	return ids
}

// rootOf returns the root program of r, whose id ends before the first slash of r's
// id, and whether r differs from it.
func rootOf(r Ref) (Ref, bool) {
	id, _, nested := strings.Cut(r.ID, "/")
	return Ref{r.Organisation, id}, nested
}

// QueueRef returns the identity of the queue in which calls of a program wait. All
// programs of a lineage share the lineage's queue, because the program that a waiting
// call belongs to can change when another call ends.
func QueueRef(r Ref) Ref {
	if i := strings.LastIndex(r.ID, lineageSeparator); i >= 0 && !strings.Contains(r.ID[i+1:], "/") {
		r.ID = r.ID[:i]
	}
	return r
}

// matches reports whether a call is a retry of the recorded one. A record of an
// earlier generation matches only if either call is non-idempotent.
func (r *callRecord) matches(c *BeginCall, generation uint64) bool {
	if r.Generation != generation && !r.NonIdempotent && !c.NonIdempotent {
		return false
	}
	if c.Key != "" {
		return r.Key == c.Key
	}
	return r.Key == "" && c.NonIdempotent && c.ResendWindow > 0 && r.Fingerprint == c.Fingerprint
}

// findRecord returns the record of the call that c retries, or nil.
func (p *Program) findRecord(c *BeginCall, now time.Duration) *callRecord {
	generation := p.generation
	if p.ended {
		generation = 0 // the call belongs to the next generation
	}
	for _, r := range slices.Backward(p.records) {
		if r.matches(c, generation) && (r.Outcome == "" || now < r.Expires) {
			return r
		}
	}
	return nil
}

// recordBySequence returns the record of the call with the given sequence number, or
// nil.
func (p *Program) recordBySequence(sequence uint64) *callRecord {
	for _, r := range slices.Backward(p.records) {
		if r.Sequence == sequence {
			return r
		}
	}
	return nil
}

// pruneRecords deletes the records whose resend window has passed.
func (p *Program) pruneRecords(now time.Duration) {
	p.records = slices.DeleteFunc(p.records, func(r *callRecord) bool {
		return r.Outcome != "" && r.Expires <= now
	})
	if len(p.records) == 0 {
		p.records = nil
	}
}

// compact deletes expired records and, for an idle program, frees the spare capacity
// of the history.
func (p *Program) compact(now time.Duration) {
	p.pruneRecords(now)
	if now-p.lastActive >= compactIdleTime && cap(p.history)-len(p.history) > len(p.history)/16 {
		p.history = slices.Clone(p.history)
	}
}

// neverRan reports whether each call of the program, if any, was settled as not run.
func (p *Program) neverRan() bool {
	return p.calls == 0 && p.running == nil && p.head == 0 && len(p.history) == 0
}

// Deadline returns the shard time at which the owner must act on the program: its
// call has timed out, its idle timeout has passed, or its state can be deleted. ok is
// false if there is no such time.
func (p *Program) Deadline() (at time.Duration, ok bool) {
	switch {
	case p.running != nil:
		return p.running.BegunAt + p.running.Timeout + SettleGrace, p.running.Timeout > 0
	case p.ended:
		return max(p.keepUntil, p.endedAt), p.releaseID == 0
	case p.subAgentCalls > 0:
		return 0, false
	default:
		return p.lastActive + p.idleTimeout, true
	}
}
