package forward

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/integrity"
	ledgerhost "hemlockvale.dev/server/ledger"
)

// forward sends the request to the granted target and relays its response. It
// returns true if the request should be placed at another target.
func (x *exchange) forward(grant ledgerhost.AdmitResponse) bool {
	if grant.Address == "" {
		// The target has left the catalog of the ledger's leader.
		x.excludedTargets = append(x.excludedTargets, grant.Target)
		x.reportDone(grant.Target, dispatch.Unreachable, false)
		return true
	}
	defer x.returnOlder()
	for x.counted, x.resumes, x.refusals, x.streamSentAt = false, 0, 0, 0; ; {
		if x.leaves(grant) {
			// The leader does not know yet that the target leaves.
			return x.handleFailure(grant, dispatch.Leaving)
		}
		if !x.loadHistory(grant) {
			return false
		}
		result, err := x.roundTrip(grant)
		if err != nil {
			x.record.targetErr = err
		}
		x.reportLoss(result)
		if result == dispatch.Completed || result == dispatch.Failed {
			x.reportDone(grant.Target, result, true)
			x.finishTurn()
			return false
		}
		if x.ctx.Err() != nil {
			return x.handleContextDone(grant)
		}
		if result == dispatch.Abandoned {
			x.reportDone(grant.Target, result, true)
			x.failRequest()
			return false
		}
		if result == dispatch.Broken {
			x.entry.paths.doubt(grant.Target)
		}
		if x.continuesHere(grant, result) {
			if next, ok := x.admitAgain(grant, result); ok {
				grant = next
				continue
			}
		}
		return x.handleFailure(grant, result)
	}
}

// handleContextDone ends a request whose deadline has passed or whose caller has
// disconnected. It always returns false, so that forward can return its result.
func (x *exchange) handleContextDone(grant ledgerhost.AdmitResponse) bool {
	x.reportDone(grant.Target, dispatch.Abandoned, true)
	if x.request.Context().Err() != nil {
		x.abort(x.callerLostReason())
		return false
	}
	x.failRequest()
	return false
}

// handleFailure excludes a target at which the request failed. It returns true if
// the request should be placed at another target.
func (x *exchange) handleFailure(grant ledgerhost.AdmitResponse, result dispatch.Result) bool {
	// The leader grants a target that was declined before only if it knows no other one.
	noOther := result == dispatch.Leaving && slices.Contains(x.record.outcomes, outcome{grant.Target, dispatch.Leaving})
	if result != dispatch.NotSentLate {
		x.excludedTargets = append(x.excludedTargets, grant.Target)
	}
	retry := !noOther && x.mayPlace()
	x.reportDone(grant.Target, result, !retry)
	if !retry {
		x.failRequest()
	}
	return retry
}

// mayPlace reports whether the request may be placed at a target, or at one more. Only targets
// that may have run it count against the route's limit.
func (x *exchange) mayPlace() bool {
	runs := x.runs()
	return runs == 0 || x.route.Repeatable() && runs < x.route.MaxAttempts && !(x.responseStarted && !x.resumable())
}

// countRun records that the current target may have run the request. A stream that is requested
// there again counts once.
func (x *exchange) countRun() {
	x.mayHaveRun = true
	if !x.counted {
		x.counted = true
		x.ranAt++
	}
}

// errUnsigned is returned for a response with a status below 300 that does not carry the
// target's signature.
var errUnsigned = errors.New("response carries no signature")

// roundTrip sends the request on one connection to the target and relays the response.
func (x *exchange) roundTrip(grant ledgerhost.AdmitResponse) (dispatch.Result, error) {
	left := x.timeLeft()
	if left <= 0 {
		return dispatch.Unreachable, errNotSent
	}
	if result, err := x.holdBack(grant); result != "" {
		return result, err
	}
	x.granted = grant
	c, err := x.connection(grant)
	if errors.Is(err, errOlderClosed) {
		return dispatch.Broken, err
	}
	if err != nil {
		if x.ctx.Err() == nil {
			x.entry.paths.failed(grant.Target, err)
			x.reportRefusal(err)
		}
		return dispatch.Unreachable, err
	}
	stop := context.AfterFunc(x.ctx, func() { c.Close() })
	result, info, reusable, err := x.roundTripOn(c, grant)
	if stop() && reusable {
		x.entry.pool.put(grant.Target, c, info.IdleTimeout)
	} else {
		c.Close()
	}
	return result, err
}

// roundTripOn performs the round trip on c. reusable reports whether c may be used
// for another request.
func (x *exchange) roundTripOn(c *conn, grant ledgerhost.AdmitResponse) (result dispatch.Result, info ResponseInfo, reusable bool, err error) {
	if x.leaves(grant) {
		// The target has left while the history was read or the connection was opened.
		return dispatch.Leaving, info, false, nil
	}
	if result, err = x.holdBack(grant); result != "" {
		// The view has changed while the connection was made, or that took long.
		return result, info, false, err
	}
	x.expectResponse(grant.Target)
	out := x.newTargetRequest(grant)
	x.record.sends++
	x.countSend(grant)
	x.conn = c
	sendingAt := bootclock.Now()
	if err = c.send(out); errors.Is(err, errNotSent) {
		return dispatch.Unreachable, info, false, err
	}
	x.unanswered, x.headReceived, x.sentAt = true, false, bootclock.Now()
	w := x.entry.paths.await(grant.Target, c, x.route.Repeatable())
	defer x.entry.paths.end(w)
	if err != nil {
		x.countRun()
		return dispatch.Broken, info, false, err
	}
	response, info, err := c.receive(out, x.entry.options.HeaderCodec, x.reserveResponse)
	if err != nil || !info.NotRun {
		x.countRun()
	}
	if err != nil {
		x.countClosed(err)
		return lostResult(err), info, false, err
	}
	x.entry.paths.end(w)
	x.entry.paths.heard(grant.Target)
	x.entry.options.Ledger.ReportServing(incarnationOf(grant), c.openedAt, sendingAt)
	x.headReceived = true
	x.observeLeaving(incarnationOf(grant), info.Leaving)
	x.observeLimit(info)
	x.observeCold(info)
	result, reusable, err = x.handleResponse(c, response, info, sendingAt)
	return result, info, reusable, err
}

// handleResponse relays a response, or drops one which states that the request did not run. The
// request was sent at the time sendingAt of the boot clock. reusable reports whether c may be used
// for another request.
func (x *exchange) handleResponse(c *conn, response *http.Response, info ResponseInfo, sendingAt time.Duration) (result dispatch.Result, reusable bool, err error) {
	reusable = !response.Close
	x.observeFraming(response)
	if info.NotRun {
		x.unanswered = false
		err = c.discard(response.Body)
		if response.StatusCode == http.StatusMisdirectedRequest {
			return dispatch.WrongTarget, false, err
		}
		return dispatch.NotRun, reusable && err == nil, nil
	}
	if !info.Signed && response.StatusCode < http.StatusMultipleChoices {
		return dispatch.Broken, false, errUnsigned
	}
	if x.isStream(response) {
		x.streamSentAt = sendingAt
		result, err = x.relayStream(response)
		x.streamed = result == dispatch.Completed
	} else {
		result, err = x.relayBody(response)
	}
	return result, reusable && err == nil && (result == dispatch.Completed || result == dispatch.Failed), err
}

// isStream reports whether a response is relayed event by event. On other routes, event streams
// are buffered like any response, so that the request can be repeated until they are whole.
func (x *exchange) isStream(r *http.Response) bool {
	if x.route.Kind != routing.Streaming {
		return false
	}
	return r.StatusCode == http.StatusOK || integrity.IsSuccess(r.StatusCode) && integrity.IsEventStream(r) && integrity.FramingOf(r) != integrity.NoBody
}

// observeLimit records the rate limit that the target's response states. It does not wait
// for the end of the response, which may be a long stream.
func (x *exchange) observeLimit(info ResponseInfo) {
	if info.Err != nil {
		x.entry.options.Log.WithFields(logrus.Fields{"event": "response_header_invalid", "request": x.call.ID, "target": x.granted.Target}).WithError(info.Err).Warn("a header of the target's response cannot be decoded")
		return
	}
	if info.RateLimit == nil && !info.Signed {
		// Only the target itself can state that it has no limit.
		return
	}
	x.record.rateLimit = info.RateLimit
	x.entry.options.Ledger.ObserveRate(ledgerhost.RateObservation{
		TargetRate: ledgerhost.TargetRate{Target: x.granted.Target, PerSecond: info.RateLimit, Request: x.call.ID},
		Granted:    x.granted.RateLimit, GrantedAt: x.grantedAt,
	})
}

// newTargetRequest returns the request to send to the granted target, with the
// headers that the target expects.
func (x *exchange) newTargetRequest(grant ledgerhost.AdmitResponse) *targetRequest {
	header := x.request.Header.Clone()
	removeHopByHop(header)
	header.Del("Content-Length")
	call := TargetCall{Target: grant.Target, TimeLeft: x.timeLeft(), LastEventID: x.lastEventID}
	if x.route.KeepsHistory {
		header.Del("Last-Event-ID")
	} else if call.LastEventID == "" {
		call.LastEventID = x.call.LastEventID
	}
	if x.organisation != nil {
		call.Organisation = x.organisation.Name
	}
	if x.service.Engine != nil {
		priority := x.enginePriority()
		call.Priority = &priority
	}
	x.entry.options.HeaderCodec.EncodeCall(header, call)
	return &targetRequest{id: x.call.ID, method: x.request.Method, uri: x.request.RequestURI, host: x.request.Host, header: header, body: x.targetBody()}
}

const (
	// lowestEnginePriority is the rank that an engine serves last; it serves 0 first.
	lowestEnginePriority = 9
	// ranksPerPriority is the number of engine ranks for each configured priority.
	ranksPerPriority = 2
)

// enginePriority converts the configured priority of the organisation, or else of
// the route, to a rank at the engine.
func (x *exchange) enginePriority() int {
	priority := x.route.Priority
	if x.organisation != nil && x.organisation.Priority != nil {
		priority = *x.organisation.Priority
	}
	return min(max(priority*ranksPerPriority+1, 0), lowestEnginePriority)
}

// hopByHop lists the headers that apply to a single connection and are not forwarded.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// removeHopByHop removes the hop-by-hop headers and those that Connection names.
func removeHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// relayBody reads the whole response before it sends any of it to the caller.
func (x *exchange) relayBody(response *http.Response) (dispatch.Result, error) {
	body, err := x.readResponse(response)
	if err != nil {
		x.countClosed(err)
		return lostResult(err), err
	}
	if x.responseStarted {
		return dispatch.Broken, errors.New("target did not continue the stream")
	}
	x.writeBuffered(response, body)
	if response.StatusCode >= http.StatusInternalServerError {
		return dispatch.Failed, nil
	}
	return dispatch.Completed, nil
}

// readResponse reads the body of a response. It returns an error if the body is not whole.
func (x *exchange) readResponse(response *http.Response) (net.Buffers, error) {
	if integrity.FramingOf(response) == integrity.NoBody {
		return nil, nil
	}
	body, err := readSteps(response.Body, response.ContentLength, maxResponseBytes, x.reserveResponse)
	if err != nil {
		return nil, err
	}
	return body, integrity.Check(response, body)
}

// writeBuffered sends a response whose body has been read to its end. It states the length, with
// which any caller sees if this process ends meanwhile.
func (x *exchange) writeBuffered(response *http.Response, body net.Buffers) {
	if integrity.FramingOf(response) != integrity.NoBody {
		x.writer.Header().Set("Content-Length", strconv.Itoa(size(body)))
	}
	x.writeHeader(response)
	if err := x.writeResponse(body); err != nil {
		x.noteCallerLost(err)
	}
}

// writeResponse writes a body to the caller. The bytes of a long body are released as the
// caller reads.
func (x *exchange) writeResponse(body net.Buffers) error {
	for i, part := range body {
		if _, err := x.writer.Write(part); err != nil {
			return err
		}
		body[i] = nil
		if len(body) > 1 {
			x.entry.memory.release(&x.held.response, int64(cap(part)))
		}
	}
	return nil
}

// writeHeader sends the status and the headers of the first response to the caller.
func (x *exchange) writeHeader(response *http.Response) {
	x.responseStarted = true
	x.record.status = response.StatusCode
	x.record.timeToHeader = bootclock.Now() - x.startedAt
	removeHopByHop(response.Header)
	response.Header.Del("Content-Length")
	maps.Copy(x.writer.Header(), response.Header)
	x.stateLeaving(x.writer.Header())
	if response.Header.Get("Content-Type") == "" {
		// A nil value keeps net/http from detecting a type that the target did not send.
		x.writer.Header()["Content-Type"] = nil
	}
	if response.Header.Get("Date") == "" {
		x.writer.Header()["Date"] = nil
	}
	x.writer.WriteHeader(response.StatusCode)
}
