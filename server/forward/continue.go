package forward

import (
	"bufio"
	"context"
	"errors"
	"syscall"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/bootclock"
	ledgerhost "hemlockvale.dev/server/ledger"
)

const (
	// maxResumes bounds how often a broken stream is resumed at the same target.
	maxResumes = 2
	// maxFullWaits bounds how often a stream waits for its target to have a free slot. The
	// ledger pauses the target for 30 ms each time; a target that still generates for the
	// broken connection notices that with its next event.
	maxFullWaits = 8
	// certaintyShare is the share of the caller's time that a broken stream waits until it is
	// certain that its target is the same process, and maxCertaintyWait the longest wait: two
	// heartbeats of the target. Then the caller's connection is closed, so that the caller
	// can take the stream up at another target.
	certaintyShare   = 4
	maxCertaintyWait = 2500 * time.Millisecond
	// shortCertaintyWait is the wait if another target may run the request: in that time other
	// connections of this entry show that the process still serves.
	shortCertaintyWait = 200 * time.Millisecond
	// inFlightTime is how long the last bytes that a process has sent may be on their way.
	inFlightTime = 100 * time.Millisecond
)

// errOlderClosed is returned if the target has closed the connection on which its process could
// be recognised. Nothing was sent.
var errOlderClosed = errors.New("older connection to the target is closed")

// resumable reports whether a broken stream may be continued after the last event.
func (x *exchange) resumable() bool {
	return x.route.Kind == routing.Streaming && x.route.Resumable && x.lastEventID != ""
}

// continuesHere reports whether a stream should be requested again at the target where it broke
// off, if possible on an older connection to it, on which certainly the same process responds.
// If the target is full, the stream waits for it only if no other may run it.
func (x *exchange) continuesHere(grant ledgerhost.AdmitResponse, result dispatch.Result) bool {
	switch {
	case !x.resumable():
		return false
	case result == dispatch.Broken:
		if x.resumes++; x.resumes > maxResumes {
			return false
		}
	case result == dispatch.NotRun:
		if x.refusals++; x.refusals > maxFullWaits || x.mayPlace() {
			return false
		}
	default:
		return false
	}
	x.older = x.entry.pool.takeOlder(grant.Target, grant.Address, x.streamSentAt, x.call.ID)
	return true
}

// certaintyWait returns how long a broken stream waits for its target.
func (x *exchange) certaintyWait() time.Duration {
	if x.mayPlace() {
		return shortCertaintyWait
	}
	return min(x.timeLeft()/certaintyShare, maxCertaintyWait)
}

// admitAgain requests another grant at the target that broke off the stream, which may have
// reached its rate limit or be draining by now. It returns false if the ledger gives none.
func (x *exchange) admitAgain(broken ledgerhost.AdmitResponse, result dispatch.Result) (ledgerhost.AdmitResponse, bool) {
	if result == dispatch.NotRun {
		// The ledger pauses a target that is full. The next admission replaces a broken grant.
		x.reportDone(broken.Target, result, false)
	}
	x.attempt++
	request := x.newAdmitRequest()
	request.Target, request.SameProcess = broken.Target, x.older != nil
	ctx := x.ctx
	if x.older == nil && broken.Software != "" {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, x.certaintyWait())
		defer cancel()
	}
	response, err := x.askLedger(ctx, request)
	if err != nil {
		x.record.targetErr = errors.Join(x.record.targetErr, err)
		if !x.mayPlace() {
			// The request may still wait in the ledger's queue. Another admission would replace
			// it there, and must not be withdrawn by a report that arrives later.
			x.entry.options.Ledger.Done(ledgerhost.DoneReport{ID: x.call.ID, Result: dispatch.Abandoned})
		}
		x.countContinuation("not_granted")
		return response, false
	}
	if response.Refusal != "" || response.Address == "" {
		x.countContinuation("not_granted")
		return response, false
	}
	if request.SameProcess {
		x.countContinuation("older_connection")
	} else {
		x.countContinuation("granted")
	}
	return response, true
}

// countContinuation counts the attempt to continue a broken stream at its target.
func (x *exchange) countContinuation(outcome string) {
	gometrics.GetOrRegisterCounter("forward_continuations;outcome="+outcome, x.entry.options.Metrics).Inc(1)
}

// connection returns the connection on which to send the request to the granted target.
func (x *exchange) connection(grant ledgerhost.AdmitResponse) (*conn, error) {
	c := x.older
	if c == nil {
		return x.entry.pool.get(x.ctx, grant.Target, grant.Address, x.call.ID)
	}
	x.older = nil
	if !c.isUsable() {
		c.Close()
		return nil, errOlderClosed
	}
	return c, nil
}

// returnOlder puts back an older connection that was not needed.
func (x *exchange) returnOlder() {
	if x.older != nil {
		x.entry.pool.restore(x.granted.Target, x.older)
		x.older = nil
	}
}

// reportRefusal tells the ledger if a target refused a connection: its process has ended.
func (x *exchange) reportRefusal(err error) {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		x.reportBreak()
	}
}

// reportBreak tells the ledger that the connection to the granted target failed.
func (x *exchange) reportBreak() {
	x.entry.options.Ledger.ReportBreak(incarnationOf(x.granted), bootclock.Now()-time.Since(x.grantedAt))
}

// drainedAt returns the current time if all that the target has sent so far was read and it is
// of interest whether the target still sends; else 0.
func (x *exchange) drainedAt(reader *bufio.Reader) time.Duration {
	if x.entry.options.Ledger.InDoubt(incarnationOf(x.granted)) && reader.Buffered() == 0 && x.conn.isIdle() {
		return bootclock.Now()
	}
	return 0
}

// reportSending tells the ledger that the target has sent data on the connection of the stream,
// after all earlier data had been read at the time drainedAt.
func (x *exchange) reportSending(drainedAt time.Duration) {
	if drainedAt > 0 {
		x.entry.options.Ledger.ReportServing(incarnationOf(x.granted), x.conn.openedAt, drainedAt-inFlightTime)
	}
}
