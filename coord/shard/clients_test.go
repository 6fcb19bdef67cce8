package shard

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
)

// operation is one call of a caller through one entry.
type operation struct {
	node    *simNode
	call    program.BeginCall
	state   string // "begin", "running", "finish", "abandon", "done"
	ticket  program.Ticket
	result  program.BeginResult
	finish  program.FinishCall
	err     error
	until   time.Duration // gives up then
	resend  time.Duration
	holdFor time.Duration // duration of the run
	outcome program.Outcome
	used    int64
}

// clients are the callers, with the model that the invariants are checked against.
type clients struct {
	w         *world
	waiting   map[uint64]func(Effect)
	ids       uint64
	requests  int
	completed int // acknowledged turns
	ops       []*operation
	runs      map[string]int           // runs of non-idempotent requests that may have had an effect
	responses map[string]string        // response of each run
	refusals  map[string]int           // by code
	acked     map[program.Ref][]uint64 // sequences of acknowledged turns
	lastSeq   map[program.Ref]uint64   // last sequence granted
	mayEnd    map[program.Ref]bool     // an end was requested
	ended     map[program.Ref]uint64   // last sequence granted before an acknowledged end
	spent     map[string]int64         // tokens granted and not returned, by root program
	calls     map[string]int64         // calls granted and not returned, by root program
	budgets   map[string]fleet.Budget  // by root program
	verified  map[program.Ref]string   // what the last check of a history saw
}

func newClients(w *world) clients {
	return clients{
		w: w, waiting: map[uint64]func(Effect){}, runs: map[string]int{}, responses: map[string]string{}, refusals: map[string]int{},
		acked: map[program.Ref][]uint64{}, lastSeq: map[program.Ref]uint64{}, mayEnd: map[program.Ref]bool{},
		ended: map[program.Ref]uint64{}, spent: map[string]int64{}, calls: map[string]int64{}, budgets: map[string]fleet.Budget{}, verified: map[program.Ref]string{},
	}
}

// expect registers the receiver of one answer.
func (c *clients) expect(f func(Effect)) uint64 {
	c.ids++
	c.waiting[c.ids] = f
	return c.ids
}

func (c *clients) answer(e Effect) {
	id := reflect.ValueOf(e).FieldByName("ID").Uint()
	if f := c.waiting[id]; f != nil {
		delete(c.waiting, id)
		f(e)
	}
}

// ask sends a request to the owner that the VM knows and passes on the answer;
// the truth of a refusal is checked when the owner answers.
func (c *clients) ask(n *simNode, op *operation, build func(id uint64) Event, receive func(Effect)) {
	owner := c.w.node(n.known.Owner)
	if owner == nil {
		return
	}
	c.w.transmit(n.vm.ID, owner.vm.ID, func() {
		c.w.on(owner, func() {
			id := c.expect(func(e Effect) {
				if r, ok := e.(ReplyBegin); ok && r.Result.Refusal != nil {
					c.checkRefusal(op, r.Result.Refusal)
				}
				c.w.transmit(owner.vm.ID, n.vm.ID, func() { c.w.on(n, func() { receive(e) }) })
			})
			c.w.handle(owner, build(id))
		})
	})
}

// begin starts a call through an entry.
func (c *clients) begin(n *simNode, call program.BeginCall) *operation {
	c.requests++
	call.Request, call.Runner, call.Revision = fmt.Sprint("r", c.requests), n.vm.VMRef, n.revision
	if call.WaitLimit == 0 {
		call.WaitLimit = 3 * time.Second
	}
	op := &operation{
		node: n, call: call, state: "begin", until: c.w.now + 8*time.Second, resend: 400 * time.Millisecond,
		holdFor: 20 * time.Millisecond, outcome: program.Completed, used: call.EstimatedTokens,
	}
	c.ops = append(c.ops, op)
	c.drive(op)
	return op
}

// drive repeats the operation's message until it is answered.
func (c *clients) drive(op *operation) {
	n := op.node
	if !n.alive || op.state == "done" {
		op.state = "done"
		return
	}
	if op.state == "begin" && c.w.now > op.until {
		op.state = "abandon"
	}
	if c.w.now >= n.pausedUntil {
		c.send(op)
	}
	if op.state != "running" && op.state != "done" {
		c.w.after(op.resend, func() { c.drive(op) })
	}
}

func (c *clients) send(op *operation) {
	switch op.state {
	case "begin":
		c.ask(op.node, op, func(id uint64) Event { return BeginRequest{id, op.call} }, func(e Effect) {
			if r, ok := e.(ReplyBegin); ok && op.state == "begin" {
				c.began(op, r.Result)
			}
		})
	case "finish":
		c.ask(op.node, op, func(id uint64) Event { return FinishRequest{id, op.finish} }, func(e Effect) {
			if r, ok := e.(Reply); ok && op.state == "finish" && !errors.Is(r.Err, ErrNotOwner) {
				c.finished(op, r.Err)
			}
		})
	case "abandon":
		c.ask(op.node, op, func(id uint64) Event {
			return AbandonRequest{id, op.call.Program, op.call.Lineage, op.call.Request}
		}, func(e Effect) {
			if r, ok := e.(Reply); ok && r.Err == nil {
				op.state = "done"
			}
		})
	}
}

func identity(call *program.BeginCall) string {
	return call.Program.Organisation + "|" + call.Program.ID + "|" + call.Key
}

// began checks the answer against the model and runs the call.
func (c *clients) began(op *operation, r program.BeginResult) {
	op.result, op.state = r, "done"
	id := identity(&op.call)
	switch {
	case r.Replay != nil:
		if string(r.Replay.Body) != c.responses[id] {
			c.w.t.Fatalf("%s: replayed %q, its response was %q", id, r.Replay.Body, c.responses[id])
		}
	case r.Refusal != nil:
		c.refusals[r.Refusal.Code]++
	default:
		c.run(op, *r.Ticket)
	}
}

func (c *clients) checkRefusal(op *operation, r *program.Refusal) {
	id := identity(&op.call)
	if r.Executed == program.ExecutedNo && op.call.NonIdempotent && c.runs[id] > 0 && r.Code != program.CodeKeyReused {
		c.w.t.Fatalf("%s: refused as not run (%s) after it ran", id, r.Code)
	}
}

func (c *clients) run(op *operation, ticket program.Ticket) {
	// An entry without a lease starts nothing.
	if c.w.now >= op.node.lease {
		op.finish = program.FinishCall{Ticket: ticket, Outcome: program.NotRun}
		op.ticket, op.state = ticket, "finish"
		c.drive(op)
		return
	}
	id, root := identity(&op.call), rootID(ticket.Program.ID)
	for _, o := range c.ops {
		if o.state == "running" && o.ticket.Program == ticket.Program {
			c.w.t.Fatalf("%v: calls %d and %d run at once", ticket.Program, o.ticket.Sequence, ticket.Sequence)
		}
	}
	if ticket.Sequence <= c.lastSeq[ticket.Program] {
		c.w.t.Fatalf("%v: sequence %d after %d", ticket.Program, ticket.Sequence, c.lastSeq[ticket.Program])
	}
	if op.call.NonIdempotent && op.call.Key != "" {
		if c.runs[id]++; c.runs[id] > 1 {
			c.w.t.Fatalf("%s ran %d times", id, c.runs[id])
		}
	}
	c.lastSeq[ticket.Program] = ticket.Sequence
	c.calls[root]++
	c.spent[root] += ticket.TokenLimit
	c.checkBudget(root)
	op.ticket, op.state = ticket, "running"
	c.w.after(op.holdFor, func() { c.end(op, ticket.TokenLimit) })
}

func rootID(id string) string {
	root, _, _ := strings.Cut(id, "/")
	return root
}

func (c *clients) checkBudget(root string) {
	b := c.budgets[root]
	if b.MaxTokens > 0 && c.spent[root] > b.MaxTokens || b.MaxCalls > 0 && c.calls[root] > b.MaxCalls {
		c.w.t.Fatalf("%s: %d tokens in %d calls granted of %+v", root, c.spent[root], c.calls[root], b)
	}
}

// end ends the run; the entry then settles the call.
func (c *clients) end(op *operation, limit int64) {
	if op.state != "running" {
		return
	}
	id, root := identity(&op.call), rootID(op.ticket.Program.ID)
	if c.w.now < op.node.pausedUntil {
		// The process cannot end its streams while it is paused.
		c.w.after(op.node.pausedUntil-c.w.now, func() { c.end(op, limit) })
		return
	}
	op.finish = program.FinishCall{Ticket: op.ticket, Outcome: op.outcome, Target: "t1"}
	if limit > 0 {
		op.used = min(op.used, limit)
	}
	switch op.outcome {
	case program.Completed:
		op.finish.TokensUsed = op.used
		op.finish.HistoryDelta = fmt.Appendf(nil, "%s:%d;", op.ticket.Program.ID, op.ticket.Sequence)
		op.finish.Response = &program.StoredResponse{Status: 200, Body: fmt.Appendf(nil, "%s#%d", id, op.ticket.Sequence)}
		op.finish.Head = op.ticket.Sequence
		c.responses[id] = string(op.finish.Response.Body)
		if limit > 0 {
			c.spent[root] += op.used - limit
		}
	case program.NotRun:
		c.runs[id] = 0
		c.calls[root]--
		c.spent[root] -= limit
	}
	op.state = "finish"
	c.drive(op)
}

// finished notes an acknowledged settlement.
func (c *clients) finished(op *operation, err error) {
	op.state, op.err = "done", err
	if err == nil && op.finish.Outcome == program.Completed {
		c.acked[op.ticket.Program] = append(c.acked[op.ticket.Program], op.ticket.Sequence)
		c.completed++
	}
}

// endProgram ends a program through an entry.
func (c *clients) endProgram(n *simNode, ref program.Ref) {
	last := c.lastSeq[ref]
	c.mayEnd[ref] = true
	c.ask(n, nil, func(id uint64) Event { return EndRequest{id, ref} }, func(e Effect) {
		if r, ok := e.(Reply); ok && r.Err == nil {
			c.ended[ref] = max(c.ended[ref], last)
		}
	})
}

// read reads a program's history through an entry: it must contain what was
// acknowledged before.
func (c *clients) read(n *simNode, ref program.Ref) {
	acked := slices.Clone(c.acked[ref])
	c.ask(n, nil, func(id uint64) Event { return HistoryRequest{id, ref} }, func(e Effect) {
		r, ok := e.(Reply)
		for _, sequence := range acked {
			if ok && r.Err == nil && !c.mayEnd[ref] && !strings.Contains(string(r.History), fmt.Sprintf(":%d;", sequence)) {
				c.w.t.Fatalf("%v: read history without acknowledged turn %d", ref, sequence)
			}
		}
	})
}

var turn = regexp.MustCompile(`([^:;]+):(\d+);`)

// check checks the invariants after a step, at each replica that acts as the owner.
func (c *clients) check() {
	for _, op := range c.ops {
		// An entry ends its streams half a second after its lease; its calls have an unknown outcome.
		if op.state == "running" && (!op.node.alive || c.w.now > op.node.lease+500*time.Millisecond) {
			op.outcome, op.state = program.Unknown, "finish"
			op.finish = program.FinishCall{Ticket: op.ticket, Outcome: program.Unknown}
			c.drive(op)
		}
	}
	c.ops = slices.DeleteFunc(c.ops, func(op *operation) bool { return op.state == "done" })
	for _, n := range c.w.nodes {
		// After a handover the former owner may not know yet that it must not act.
		if epoch, ok := n.r.Owner(); ok && epoch >= c.w.control.assignment.Epoch && n.alive && c.w.now >= n.pausedUntil && c.w.now < n.lease {
			c.checkHistories(n)
		}
	}
}

func (c *clients) checkHistories(n *simNode) {
	for ref, acked := range c.acked {
		history := string(n.r.Table().History(ref))
		state := fmt.Sprint(history, len(acked), c.ended[ref], c.mayEnd[ref])
		if c.verified[ref] == state {
			continue
		}
		c.verified[ref] = state
		var sequences []uint64
		for _, m := range turn.FindAllStringSubmatch(history, -1) {
			sequence, _ := strconv.ParseUint(m[2], 10, 64)
			if m[1] != ref.ID || len(sequences) > 0 && sequence <= sequences[len(sequences)-1] {
				c.w.t.Fatalf("%v: history out of order or mixed at %s: %s", ref, n.vm.ID, history)
			}
			sequences = append(sequences, sequence)
		}
		if last := c.ended[ref]; last > 0 {
			if len(sequences) > 0 && sequences[0] <= last {
				c.w.t.Fatalf("%v: history of the ended generation at %s: %s", ref, n.vm.ID, history)
			}
		}
		if c.mayEnd[ref] {
			continue
		}
		for _, sequence := range acked {
			if _, found := slices.BinarySearch(sequences, sequence); !found {
				c.w.t.Fatalf("%v: acknowledged turn %d is missing at %s: %s", ref, sequence, n.vm.ID, history)
			}
		}
	}
}
