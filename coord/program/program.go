package program

import (
	"slices"
	"strings"
	"time"

	"hemlockvale.dev/coord/fleet"
)

// lineageMark separates a lineage's id from the number of one of its programs.
// The number is the index of the record that created the program, so it is never reused.
const lineageMark = "/~"

// Program is the state of one program. Only Table changes it.
type Program struct {
	ref         Ref
	generation  uint64 // index of the record that started this generation
	applied     uint64 // index of the last record that changed this program
	budget      fleet.Budget
	calls       int64
	tokens      int64 // attained, without reservations
	reserved    int64
	firstCall   time.Duration
	lastActive  time.Duration
	idleTimeout time.Duration
	keepUntil   time.Duration // latest end of a resend window
	head        uint64
	history     []byte
	targets     []string
	lastCall    LastCall
	running     *Running
	records     []*callRecord
	settled     settledCall
	children    int // running calls of sub-agents that were charged to this generation
	ended       bool
	endedAt     time.Duration
	release     uint64   // index of the record that asked for the current release; 0: nothing to release
	releasing   []string // targets of the current release, also of an earlier generation

	// Alarm is the time of the owner's timer for this program; it is not replicated.
	Alarm time.Duration
}

// Running is the call that has the program's turn.
type Running struct {
	// Sequence is the index of the call's record.
	Sequence uint64 `json:"sequence"`
	// Begun is the shard time of the record.
	Begun time.Duration `json:"begun"`
	// Reserved is the number of tokens reserved.
	Reserved int64 `json:"reserved,omitempty"`
	// TokenLimit is the reservation if a budget bounds tokens, or 0.
	TokenLimit int64 `json:"token_limit,omitempty"`
	// Timeout is the call's time limit; 0 means none.
	Timeout time.Duration `json:"timeout,omitempty"`
	// ResendWindow is how long the outcome is kept.
	ResendWindow time.Duration `json:"resend_window,omitempty"`
	// Runner dispatches the call.
	Runner fleet.VMRef `json:"runner"`
	// Revision is the fleet revision at which the runner was registered.
	Revision uint64 `json:"revision,omitempty"`
	// Request identifies the attempt.
	Request string `json:"request,omitempty"`
}

// callRecord is an at-most-once record.
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

// settledCall remembers the last settled call for a repeated FinishCall.
type settledCall struct {
	Sequence uint64  `json:"sequence,omitempty"`
	Outcome  Outcome `json:"outcome,omitempty"`
}

// Ref returns the program's identity.
func (p *Program) Ref() Ref { return p.ref }

// Running returns the call that has the turn, or nil.
func (p *Program) Running() *Running { return p.running }

// Ended says whether the program has ended.
func (p *Program) Ended() bool { return p.ended }

// Calls returns the number of calls charged to the current generation.
func (p *Program) Calls() int64 { return p.calls }

// Tokens returns the attained and the reserved tokens of the current generation.
func (p *Program) Tokens() (attained, reserved int64) { return p.tokens, p.reserved }

// ancestors returns the ids of the programs whose budgets cover a sub-agent,
// outermost first. The number of a lineage's program is not a sub-agent.
func ancestors(id string) []string {
	var ids []string
	for i := 0; i < len(id); i++ {
		if id[i] == '/' && !strings.HasPrefix(id[i:], lineageMark) {
			ids = append(ids, id[:i])
		}
	}
	return ids
}

// rootOf returns the root program of r, whose id ends at the first slash, and
// whether r lies below it.
func rootOf(r Ref) (Ref, bool) {
	id, _, below := strings.Cut(r.ID, "/")
	return Ref{r.Organisation, id}, below
}

// QueueRef returns the identity under which calls of a program wait: all
// programs of a lineage share a queue, because a turn can select another one.
func QueueRef(r Ref) Ref {
	if i := strings.LastIndex(r.ID, lineageMark); i >= 0 && !strings.Contains(r.ID[i+1:], "/") {
		r.ID = r.ID[:i]
	}
	return r
}

// matches says whether a call is a retry of the recorded one. A record of an
// earlier generation only protects non-idempotent calls.
func (r *callRecord) matches(c *BeginCall, generation uint64) bool {
	if r.Generation != generation && !r.NonIdempotent && !c.NonIdempotent {
		return false
	}
	if c.Key != "" {
		return r.Key == c.Key
	}
	return r.Key == "" && c.NonIdempotent && c.ResendWindow > 0 && r.Fingerprint == c.Fingerprint
}

// findRecord returns the record of which the call is a retry.
func (p *Program) findRecord(c *BeginCall, now time.Duration) *callRecord {
	generation := p.generation
	if p.ended {
		generation = 0 // the call belongs to the next one
	}
	for _, r := range slices.Backward(p.records) {
		if r.matches(c, generation) && (r.Outcome == "" || now < r.Expires) {
			return r
		}
	}
	return nil
}

// recordOf returns the record of a call.
func (p *Program) recordOf(sequence uint64) *callRecord {
	for _, r := range slices.Backward(p.records) {
		if r.Sequence == sequence {
			return r
		}
	}
	return nil
}

// pruneRecords forgets records whose resend window has passed.
func (p *Program) pruneRecords(now time.Duration) {
	p.records = slices.DeleteFunc(p.records, func(r *callRecord) bool {
		return r.Outcome != "" && r.Expires <= now
	})
	if len(p.records) == 0 {
		p.records = nil
	}
}

// compact frees what an idle program does not need: expired records and the
// spare capacity of its history.
func (p *Program) compact(now time.Duration) {
	p.pruneRecords(now)
	if now-p.lastActive >= compactAfter && cap(p.history)-len(p.history) > len(p.history)/16 {
		p.history = slices.Clone(p.history)
	}
}

// unused says that the program never ran anything: each of its calls was settled as not run.
func (p *Program) unused() bool {
	return p.calls == 0 && p.running == nil && p.head == 0 && len(p.history) == 0
}

// Deadline returns the shard time at which the program needs attention: its
// call times out, it becomes idle, or it can be forgotten. ok is false if none.
func (p *Program) Deadline() (at time.Duration, ok bool) {
	switch {
	case p.running != nil:
		return p.running.Begun + p.running.Timeout + SettleGrace, p.running.Timeout > 0
	case p.ended:
		return max(p.keepUntil, p.endedAt), p.release == 0
	case p.children > 0:
		return 0, false
	default:
		return p.lastActive + p.idleTimeout, true
	}
}
