package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"hemlockvale.dev/coord/placement"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/coord/retry"
	"hemlockvale.dev/coord/target"
)

// chatRun is the state of one chat call while it is dispatched to engines.
type chatRun struct {
	entry   *Entry
	call    *call
	request *chatRequest
	header  http.Header
	events  *eventWriter
	// accumulator and withheldEvents belong to the current attempt. withheldEvents holds
	// the events from the finish reason on, which are sent to the caller once the outcome
	// is recorded.
	accumulator    *completionAccumulator
	withheldEvents [][]byte
	// unstreamed is a response that is not an event stream, such as a client error. It
	// is relayed unchanged.
	unstreamed *program.StoredResponse
}

// dispatchChat dispatches the call, streams the answer to the caller and records the
// outcome before it sends the end of the answer.
func (e *Entry) dispatchChat(callCtx context.Context, w http.ResponseWriter, r *http.Request, c *call, request *chatRequest) {
	ctx, stop := context.WithTimeoutCause(callCtx, e.timeLimit(c), errCallTimeout)
	defer stop()
	run := &chatRun{entry: e, call: c, request: request, header: r.Header, events: &eventWriter{w: w}}
	result := e.execute(ctx, c, dispatch{
		model:        request.model,
		promptTokens: request.estimatePromptTokens(),
		send:         run.sendToEngine,
		onPlaced: func(d placement.Decision) {
			if !run.events.started {
				w.Header().Set(headerServedBy, d.Target)
				w.Header().Set(headerPlacement, d.Reason)
			}
		},
	})
	finish, stored := run.buildFinishCall(result)
	if err := e.finishCall(callCtx, c, finish); err != nil && result.problem == nil {
		result.problem = newProblem("outcome_not_recorded", ExecutedUnknown, "%v", err)
		if callCtx.Err() != nil {
			result.problem = cancellationProblem(callCtx, ExecutedUnknown)
		}
	}
	switch {
	case result.problem != nil:
		e.failChat(run, c, result.problem)
	case run.unstreamed != nil:
		writeStoredResponse(w, run.unstreamed)
		e.metrics.recordAnswer(c)
	default:
		run.writeRemaining(w, stored)
		e.metrics.recordAnswer(c)
	}
}

// failChat reports a problem to the caller: as the response, or as an error event if the
// stream has started.
func (e *Entry) failChat(run *chatRun, c *call, p *Problem) {
	if !run.events.started {
		e.refuse(run.events.w, c, p)
		return
	}
	e.metrics.recordRefusal(c, p)
	run.events.writeProblem(p)
}

// buildFinishCall returns the FinishCall that settles the call, and the response to a
// caller that did not request a stream. It also counts the used tokens.
func (run *chatRun) buildFinishCall(result dispatchResult) (program.FinishCall, *program.StoredResponse) {
	finish := program.FinishCall{Outcome: result.outcome, Target: result.target}
	if result.problem != nil || run.unstreamed != nil {
		return finish, run.unstreamed
	}
	answer, err := run.accumulator.result()
	if err != nil {
		return finish, nil
	}
	finish.TokensUsed = run.call.estimatedTokens
	if answer.Usage != nil {
		finish.TokensUsed = answer.Usage.TotalTokens
	}
	run.entry.Limiter.RecordUsage(run.call.organisation(), finish.TokensUsed-cachedTokens(answer.Usage))
	run.entry.metrics.tokens.Inc(finish.TokensUsed)
	finish.Head = run.request.conversation.headAfter(answer.toMessage())
	finish.HistoryDelta = run.historyDelta(answer)
	body, err := json.Marshal(answer)
	if err != nil {
		return finish, nil
	}
	stored := &program.StoredResponse{Status: http.StatusOK, ContentType: contentTypeJSON, Body: body}
	if run.entry.resendWindow(run.call) > 0 {
		finish.Response = stored
	}
	return finish, stored
}

// cachedTokens returns the number of prompt tokens that the engine did not compute.
func cachedTokens(u *usage) int64 {
	if u == nil {
		return 0
	}
	return u.CachedTokens
}

// historyDelta returns one line of JSON with the messages since the last answer and the
// new answer.
func (run *chatRun) historyDelta(answer completion) []byte {
	delta, err := json.Marshal(struct {
		Messages []json.RawMessage `json:"messages"`
		Answer   answerMessage     `json:"answer"`
	}{run.request.rawMessages[run.request.conversation.firstNew:], answer.Choices[0].Message})
	if err != nil {
		return nil
	}
	return append(forwardedBody(delta, run.call.secrets), '\n')
}

// writeRemaining sends the part of the answer that the caller has not received yet.
func (run *chatRun) writeRemaining(w http.ResponseWriter, stored *program.StoredResponse) {
	if !run.request.stream {
		writeStoredResponse(w, stored)
		return
	}
	for _, event := range append(run.withheldEvents, []byte(doneMarker)) {
		if run.events.writeEvent(event) != nil {
			return
		}
	}
}

// sendToEngine runs the call on the engine at address. It implements sendFunc.
func (run *chatRun) sendToEngine(ctx context.Context, _, address string, priority int) attempt {
	run.accumulator, run.withheldEvents = &completionAccumulator{}, nil
	body, err := run.request.targetBody(priority, run.call.secrets)
	if err != nil {
		return attempt{result: retry.NotSent, err: err}
	}
	header := run.call.targetHeaders(run.header)
	header.Set("Content-Type", contentTypeJSON)
	header.Set("Accept", contentTypeSSE)
	if ref := run.call.ticket.Program; ref.ID != "" {
		header.Set(headerTargetProgram, target.CacheKey(ref.Organisation, ref.ID))
	}
	x, result, err := run.entry.client.open(ctx, targetRequest{
		method:        http.MethodPost,
		url:           "http://" + address + chatPath,
		header:        header,
		body:          body,
		nonIdempotent: run.call.nonIdempotent,
	}, true)
	if err != nil {
		return attempt{result: result, err: err}
	}
	defer x.close()
	return run.receiveResponse(x)
}

// receiveResponse reads the response of one engine.
func (run *chatRun) receiveResponse(x *exchange) attempt {
	if result, err := x.checkResponse(run.call.id, run.call.nonIdempotent); err != nil {
		return attempt{result: result, err: err}
	}
	if !strings.HasPrefix(x.response.Header.Get("Content-Type"), contentTypeSSE) {
		return run.receiveUnstreamed(x)
	}
	err := run.receiveEvents(newEventReader(x))
	a := attempt{streamed: run.events.started, err: err, load: run.accumulator.load}
	switch {
	case err == nil:
		a.result = retry.Completed
	case errors.Is(err, errCallerDisconnected):
		a.result = retry.Cancelled
	default:
		a.result = x.classifyError(err, true)
	}
	return a
}

// receiveUnstreamed reads a response that is not an event stream. A server error counts
// as a failed attempt; any other response is relayed unchanged.
func (run *chatRun) receiveUnstreamed(x *exchange) attempt {
	body, err := x.readAll()
	if err != nil {
		return attempt{result: x.classifyError(err, true), err: err}
	}
	if x.response.StatusCode >= http.StatusInternalServerError {
		return attempt{result: retry.NoAnswer, err: fmt.Errorf("target answered %s", x.response.Status)}
	}
	run.unstreamed = &program.StoredResponse{Status: x.response.StatusCode, ContentType: x.response.Header.Get("Content-Type"), Body: body}
	return attempt{result: retry.Completed}
}

// errCallerDisconnected is the error of an attempt during which a write to the caller
// failed.
var errCallerDisconnected = errors.New("the caller left")

// receiveEvents relays the stream to the caller. It withholds the events from the finish
// reason on, because the caller must not see the end of the answer before the outcome
// is recorded.
func (run *chatRun) receiveEvents(events *eventReader) error {
	for {
		data, err := events.next()
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(data) == 0 {
			if run.events.writeKeepAlive() != nil {
				return errCallerDisconnected
			}
			continue
		}
		if bytes.Equal(data, []byte(doneMarker)) {
			_, err := run.accumulator.result()
			return err
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return fmt.Errorf("the target's stream is not valid: %w", err)
		}
		finished := run.accumulator.add(c)
		if !run.request.stream {
			continue
		}
		if finished {
			run.withheldEvents = append(run.withheldEvents, data)
			continue
		}
		if run.events.writeEvent(data) != nil {
			return errCallerDisconnected
		}
	}
}
