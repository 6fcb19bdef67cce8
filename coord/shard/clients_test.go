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

// operation is one call that a client sends through one entry.
type operation struct {
	node        *simNode
	call        program.BeginCall
	state       string // "begin", "running", "finish", "abandon", "done"
	ticket      program.Ticket
	result      program.BeginResult
	finish      program.FinishCall
	err         error
	abandonAt   time.Duration // the client abandons the request at this time
	resendDelay time.Duration
	runTime     time.Duration // how long the call runs
	outcome     program.Outcome
	tokensUsed  int64
}

// clients simulates the callers. It records what they observe as the model that the
// invariants are checked against.
type clients struct {
	sim           *simulation
	replyHandlers map[uint64]func(Effect)
	lastID        uint64
	requests      int
	completed     int // number of acknowledged completed calls
	ops           []*operation
	runs          map[string]int           // runs of each non-idempotent request that may have had an effect
	responses     map[string]string        // last response of each request
	refusals      map[string]int           // number of refusals by code
	acked         map[program.Ref][]uint64 // sequences of acknowledged completed calls
	lastSequence  map[program.Ref]uint64   // last sequence granted
	endRequested  map[program.Ref]bool     // the program's end was requested
	ended         map[program.Ref]uint64   // last sequence granted before an acknowledged end
	spent         map[string]int64         // tokens granted and not returned, by root program
	calls         map[string]int64         // calls granted and not returned, by root program
	budgets       map[string]fleet.Budget  // budgets by root program
	checkedState  map[program.Ref]string   // inputs of the last passed history check
}

func newClients(sim *simulation) clients {
	return clients{
		sim: sim, replyHandlers: map[uint64]func(Effect){}, runs: map[string]int{}, responses: map[string]string{}, refusals: map[string]int{},
		acked: map[program.Ref][]uint64{}, lastSequence: map[program.Ref]uint64{}, endRequested: map[program.Ref]bool{},
		ended: map[program.Ref]uint64{}, spent: map[string]int64{}, calls: map[string]int64{}, budgets: map[string]fleet.Budget{}, checkedState: map[program.Ref]string{},
	}
}

// expectReply registers the handler of one reply and returns the request id for it.
func (c *clients) expectReply(f func(Effect)) uint64 {
	c.lastID++
	c.replyHandlers[c.lastID] = f
	return c.lastID
}

// deliverReply passes a reply to its handler. A second reply to a request is ignored.
func (c *clients) deliverReply(e Effect) {
	id := reflect.ValueOf(e).FieldByName("ID").Uint()
	if f := c.replyHandlers[id]; f != nil {
		delete(c.replyHandlers, id)
		f(e)
	}
}

// sendRequest sends a request from n to the owner that n knows, and passes the reply
// to receive. A refusal is checked against the model when the owner sends it.
func (c *clients) sendRequest(n *simNode, op *operation, build func(id uint64) Event, receive func(Effect)) {
	owner := c.sim.node(n.knownAssignment.Owner)
	if owner == nil {
		return
	}
	c.sim.transmit(n.vm.ID, owner.vm.ID, func() {
		c.sim.runOn(owner, func() {
			id := c.expectReply(func(e Effect) {
				if r, ok := e.(ReplyBegin); ok && r.Result.Refusal != nil {
					c.checkRefusal(op, r.Result.Refusal)
				}
				c.sim.transmit(owner.vm.ID, n.vm.ID, func() { c.sim.runOn(n, func() { receive(e) }) })
			})
			c.sim.handle(owner, build(id))
		})
	})
}

// begin starts a call through the entry n.
func (c *clients) begin(n *simNode, call program.BeginCall) *operation {
	c.requests++
	call.Request, call.Runner, call.Revision = fmt.Sprint("r", c.requests), n.vm.VMRef, n.revision
	if call.WaitLimit == 0 {
		call.WaitLimit = 3 * time.Second
	}
	op := &operation{
		node: n, call: call, state: "begin", abandonAt: c.sim.now + 8*time.Second, resendDelay: 400 * time.Millisecond,
		runTime: 20 * time.Millisecond, outcome: program.Completed, tokensUsed: call.EstimatedTokens,
	}
	c.ops = append(c.ops, op)
	c.sendUntilReply(op)
	return op
}

// sendUntilReply resends the operation's message until the reply arrives.
func (c *clients) sendUntilReply(op *operation) {
	n := op.node
	if !n.alive || op.state == "done" {
		op.state = "done"
		return
	}
	if op.state == "begin" && c.sim.now > op.abandonAt {
		op.state = "abandon"
	}
	if c.sim.now >= n.pausedUntil {
		c.send(op)
	}
	if op.state != "running" && op.state != "done" {
		c.sim.after(op.resendDelay, func() { c.sendUntilReply(op) })
	}
}

func (c *clients) send(op *operation) {
	switch op.state {
	case "begin":
		c.sendRequest(op.node, op, func(id uint64) Event { return BeginRequest{id, op.call} }, func(e Effect) {
			if r, ok := e.(ReplyBegin); ok && op.state == "begin" {
				c.handleBeginResult(op, r.Result)
			}
		})
	case "finish":
		c.sendRequest(op.node, op, func(id uint64) Event { return FinishRequest{id, op.finish} }, func(e Effect) {
			if r, ok := e.(Reply); ok && op.state == "finish" && !errors.Is(r.Err, ErrNotOwner) {
				c.recordSettled(op, r.Err)
			}
		})
	case "abandon":
		c.sendRequest(op.node, op, func(id uint64) Event {
			return AbandonRequest{id, op.call.Program, op.call.Lineage, op.call.Request}
		}, func(e Effect) {
			if r, ok := e.(Reply); ok && r.Err == nil {
				op.state = "done"
			}
		})
	}
}

// identity returns the key by which the model identifies a request and its retries.
func identity(call *program.BeginCall) string {
	return call.Program.Organisation + "|" + call.Program.ID + "|" + call.Key
}

// handleBeginResult checks a result against the model and runs the call if the result
// is a ticket.
func (c *clients) handleBeginResult(op *operation, r program.BeginResult) {
	op.result, op.state = r, "done"
	id := identity(&op.call)
	switch {
	case r.Replay != nil:
		if string(r.Replay.Body) != c.responses[id] {
			c.sim.t.Fatalf("%s: replayed %q, its response was %q", id, r.Replay.Body, c.responses[id])
		}
	case r.Refusal != nil:
		c.refusals[r.Refusal.Code]++
	default:
		c.startRun(op, *r.Ticket)
	}
}

// checkRefusal fails the test if a call that ran is refused as not executed.
func (c *clients) checkRefusal(op *operation, r *program.Refusal) {
	id := identity(&op.call)
	if r.Executed == program.ExecutedNo && op.call.NonIdempotent && c.runs[id] > 0 && r.Code != program.CodeKeyReused {
		c.sim.t.Fatalf("%s: refused as not run (%s) after it ran", id, r.Code)
	}
}

// startRun checks a ticket against the model and runs its call: calls of one program
// must not overlap, their sequences must increase, a non-idempotent request must run
// once, and budgets must hold.
func (c *clients) startRun(op *operation, ticket program.Ticket) {
	// An entry without a lease does not run calls.
	if c.sim.now >= op.node.lease {
		op.finish = program.FinishCall{Ticket: ticket, Outcome: program.NotRun}
		op.ticket, op.state = ticket, "finish"
		c.sendUntilReply(op)
		return
	}
	id, root := identity(&op.call), rootID(ticket.Program.ID)
	for _, o := range c.ops {
		if o.state == "running" && o.ticket.Program == ticket.Program {
			c.sim.t.Fatalf("%v: calls %d and %d run at once", ticket.Program, o.ticket.Sequence, ticket.Sequence)
		}
	}
	if ticket.Sequence <= c.lastSequence[ticket.Program] {
		c.sim.t.Fatalf("%v: sequence %d after %d", ticket.Program, ticket.Sequence, c.lastSequence[ticket.Program])
	}
	if op.call.NonIdempotent && op.call.Key != "" {
		if c.runs[id]++; c.runs[id] > 1 {
			c.sim.t.Fatalf("%s ran %d times", id, c.runs[id])
		}
	}
	c.lastSequence[ticket.Program] = ticket.Sequence
	c.calls[root]++
	c.spent[root] += ticket.TokenLimit
	c.checkBudget(root)
	op.ticket, op.state = ticket, "running"
	c.sim.after(op.runTime, func() { c.endRun(op, ticket.TokenLimit) })
}

func rootID(id string) string {
	root, _, _ := strings.Cut(id, "/")
	return root
}

func (c *clients) checkBudget(root string) {
	b := c.budgets[root]
	if b.MaxTokens > 0 && c.spent[root] > b.MaxTokens || b.MaxCalls > 0 && c.calls[root] > b.MaxCalls {
		c.sim.t.Fatalf("%s: %d tokens in %d calls granted of %+v", root, c.spent[root], c.calls[root], b)
	}
}

// endRun ends the run of a call; the entry then settles the call.
func (c *clients) endRun(op *operation, limit int64) {
	if op.state != "running" {
		return
	}
	id, root := identity(&op.call), rootID(op.ticket.Program.ID)
	if c.sim.now < op.node.pausedUntil {
		// A paused process cannot end its streams.
		c.sim.after(op.node.pausedUntil-c.sim.now, func() { c.endRun(op, limit) })
		return
	}
	op.finish = program.FinishCall{Ticket: op.ticket, Outcome: op.outcome, Target: "t1"}
	if limit > 0 {
		op.tokensUsed = min(op.tokensUsed, limit)
	}
	switch op.outcome {
	case program.Completed:
		op.finish.TokensUsed = op.tokensUsed
		op.finish.HistoryDelta = fmt.Appendf(nil, "%s:%d;", op.ticket.Program.ID, op.ticket.Sequence)
		op.finish.Response = &program.StoredResponse{Status: 200, Body: fmt.Appendf(nil, "%s#%d", id, op.ticket.Sequence)}
		op.finish.Head = op.ticket.Sequence
		c.responses[id] = string(op.finish.Response.Body)
		if limit > 0 {
			c.spent[root] += op.tokensUsed - limit
		}
	case program.NotRun:
		c.runs[id] = 0
		c.calls[root]--
		c.spent[root] -= limit
	}
	op.state = "finish"
	c.sendUntilReply(op)
}

// recordSettled records that a settlement was acknowledged, or failed with err.
func (c *clients) recordSettled(op *operation, err error) {
	op.state, op.err = "done", err
	if err == nil && op.finish.Outcome == program.Completed {
		c.acked[op.ticket.Program] = append(c.acked[op.ticket.Program], op.ticket.Sequence)
		c.completed++
	}
}

// endProgram ends a program through the entry n.
func (c *clients) endProgram(n *simNode, ref program.Ref) {
	last := c.lastSequence[ref]
	c.endRequested[ref] = true
	c.sendRequest(n, nil, func(id uint64) Event { return EndRequest{id, ref} }, func(e Effect) {
		if r, ok := e.(Reply); ok && r.Err == nil {
			c.ended[ref] = max(c.ended[ref], last)
		}
	})
}

// readHistory reads a program's history through the entry n. The history must contain
// all calls that were acknowledged before the read.
func (c *clients) readHistory(n *simNode, ref program.Ref) {
	acked := slices.Clone(c.acked[ref])
	c.sendRequest(n, nil, func(id uint64) Event { return HistoryRequest{id, ref} }, func(e Effect) {
		r, ok := e.(Reply)
		for _, sequence := range acked {
			if ok && r.Err == nil && !c.endRequested[ref] && !strings.Contains(string(r.History), fmt.Sprintf(":%d;", sequence)) {
				c.sim.t.Fatalf("%v: history read without acknowledged call %d", ref, sequence)
			}
		}
	})
}

// historyPattern matches the history entry of one call: its program and sequence.
var historyPattern = regexp.MustCompile(`([^:;]+):(\d+);`)

// checkInvariants checks the histories at each replica that acts as the owner. It also
// ends the calls of entries that failed or lost their lease.
func (c *clients) checkInvariants() {
	for _, op := range c.ops {
		// An entry ends its streams 500 ms after the end of its lease; the outcome of its
		// calls is then unknown.
		if op.state == "running" && (!op.node.alive || c.sim.now > op.node.lease+500*time.Millisecond) {
			op.outcome, op.state = program.Unknown, "finish"
			op.finish = program.FinishCall{Ticket: op.ticket, Outcome: program.Unknown}
			c.sendUntilReply(op)
		}
	}
	c.ops = slices.DeleteFunc(c.ops, func(op *operation) bool { return op.state == "done" })
	for _, n := range c.sim.nodes {
		// After a handover, the former owner may not know the new epoch yet, so it is skipped.
		if epoch, ok := n.r.Owner(); ok && epoch >= c.sim.control.assignment.Epoch && n.alive && c.sim.now >= n.pausedUntil && c.sim.now < n.lease {
			c.checkHistories(n)
		}
	}
}

// checkHistories checks that histories at n are in order, belong to their program,
// hold nothing from before an acknowledged end, and miss no acknowledged call.
func (c *clients) checkHistories(n *simNode) {
	for ref, acked := range c.acked {
		history := string(n.r.Table().History(ref))
		state := fmt.Sprint(history, len(acked), c.ended[ref], c.endRequested[ref])
		if c.checkedState[ref] == state {
			continue
		}
		c.checkedState[ref] = state
		var sequences []uint64
		for _, m := range historyPattern.FindAllStringSubmatch(history, -1) {
			sequence, _ := strconv.ParseUint(m[2], 10, 64)
			if m[1] != ref.ID || len(sequences) > 0 && sequence <= sequences[len(sequences)-1] {
				c.sim.t.Fatalf("%v: history out of order or mixed at %s: %s", ref, n.vm.ID, history)
			}
			sequences = append(sequences, sequence)
		}
		if last := c.ended[ref]; last > 0 {
			if len(sequences) > 0 && sequences[0] <= last {
				c.sim.t.Fatalf("%v: history from before an acknowledged end at %s: %s", ref, n.vm.ID, history)
			}
		}
		if c.endRequested[ref] {
			continue
		}
		for _, sequence := range acked {
			if _, found := slices.BinarySearch(sequences, sequence); !found {
				c.sim.t.Fatalf("%v: acknowledged call %d is missing at %s: %s", ref, sequence, n.vm.ID, history)
			}
		}
	}
}
