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

// chatRun is the run of one chat call.
type chatRun struct {
	entry   *Entry
	call    *call
	request *chatRequest
	header  http.Header
	events  *eventWriter
	// answer and held belong to the attempt under way: held are the last events
	// of the stream, which the caller gets once the outcome is recorded.
	answer *accumulator
	held   [][]byte
	// direct is an answer that is passed on unchanged, such as a client error.
	direct *program.StoredResponse
}

// runChat dispatches the call, streams it, and records the outcome before the
// caller gets the end of the answer.
func (e *Entry) runChat(callCtx context.Context, w http.ResponseWriter, r *http.Request, c *call, request *chatRequest) {
	ctx, stop := context.WithTimeoutCause(callCtx, e.timeLimit(c), errCallTimeout)
	defer stop()
	run := &chatRun{entry: e, call: c, request: request, header: r.Header, events: &eventWriter{w: w}}
	result := e.execute(ctx, c, dispatch{
		model:  request.model,
		prompt: request.promptTokens(),
		send:   run.send,
		placed: func(d placement.Decision) {
			if !run.events.started {
				w.Header().Set(headerServedBy, d.Target)
				w.Header().Set(headerPlacement, d.Reason)
			}
		},
	})
	finish, stored := run.settlement(result)
	if err := e.finish(callCtx, c, finish); err != nil && result.problem == nil {
		result.problem = newProblem("outcome_not_recorded", ExecutedUnknown, "%v", err)
		if callCtx.Err() != nil {
			result.problem = causeProblem(callCtx, ExecutedUnknown)
		}
	}
	switch {
	case result.problem != nil:
		e.refuseChat(run, c, result.problem)
	case run.direct != nil:
		writeStored(w, run.direct)
		e.metrics.answered(c)
	default:
		run.deliver(w, stored)
		e.metrics.answered(c)
	}
}

func (e *Entry) refuseChat(run *chatRun, c *call, p *Problem) {
	if !run.events.started {
		e.refuse(run.events.w, c, p)
		return
	}
	e.metrics.refused(c, p)
	run.events.fail(p)
}

// settlement returns what is recorded about the run, and the answer's JSON form.
func (run *chatRun) settlement(result outcome) (program.FinishCall, *program.StoredResponse) {
	finish := program.FinishCall{Outcome: result.settled, Target: result.target}
	if result.problem != nil || run.direct != nil {
		return finish, run.direct
	}
	done, err := run.answer.result()
	if err != nil {
		return finish, nil
	}
	finish.TokensUsed = run.call.estimatedTokens
	if done.Usage != nil {
		finish.TokensUsed = done.Usage.TotalTokens
	}
	run.entry.Limiter.RecordUsage(run.call.organisation(), finish.TokensUsed-cachedTokens(done.Usage))
	run.entry.metrics.tokens.Inc(finish.TokensUsed)
	finish.Head = run.request.conversation.headAfter(done.message())
	finish.HistoryDelta = run.historyDelta(done)
	body, err := json.Marshal(done)
	if err != nil {
		return finish, nil
	}
	stored := &program.StoredResponse{Status: http.StatusOK, ContentType: contentTypeJSON, Body: body}
	if run.entry.resendWindow(run.call) > 0 {
		finish.Response = stored
	}
	return finish, stored
}

// cachedTokens is the part of the prompt that cost the engine nothing.
func cachedTokens(u *usage) int64 {
	if u == nil {
		return 0
	}
	return u.CachedTokens
}

// historyDelta is one line of JSON: the messages since the last answer, and the answer.
func (run *chatRun) historyDelta(done completion) []byte {
	delta, err := json.Marshal(struct {
		Messages []json.RawMessage `json:"messages"`
		Answer   answerMessage     `json:"answer"`
	}{run.request.rawMessages[run.request.conversation.tail:], done.Choices[0].Message})
	if err != nil {
		return nil
	}
	return append(forwardedBody(delta, run.call.secrets), '\n')
}

// deliver sends the rest of the answer.
func (run *chatRun) deliver(w http.ResponseWriter, stored *program.StoredResponse) {
	if !run.request.stream {
		writeStored(w, stored)
		return
	}
	for _, event := range append(run.held, []byte(doneMarker)) {
		if run.events.data(event) != nil {
			return
		}
	}
}

// send runs the call on one engine.
func (run *chatRun) send(ctx context.Context, _, address string, priority int) attempt {
	run.answer, run.held = &accumulator{}, nil
	body, err := run.request.targetBody(priority, run.call.secrets)
	if err != nil {
		return attempt{result: retry.NotSent, err: err}
	}
	header := run.call.targetHeader(run.header)
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
	return run.receive(x)
}

// receive reads one engine's answer.
func (run *chatRun) receive(x *exchange) attempt {
	if rejected(x.response, run.call.nonIdempotent) {
		return attempt{result: retry.Rejected, err: fmt.Errorf("target answered %s", x.response.Status)}
	}
	if echoed := x.response.Header.Get(headerRequest); echoed != "" && echoed != run.call.id {
		return attempt{result: retry.NoAnswer, err: fmt.Errorf("target answered request %s", echoed)}
	}
	if !strings.HasPrefix(x.response.Header.Get("Content-Type"), contentTypeSSE) {
		return run.receiveDirect(x)
	}
	err := run.receiveEvents(newEventReader(x))
	a := attempt{streamed: run.events.started, err: err, load: run.answer.load}
	switch {
	case err == nil:
		a.result = retry.Completed
	case errors.Is(err, errCallerGone):
		a.result = retry.Cancelled
	default:
		a.result = x.classify(err, true)
	}
	return a
}

// receiveDirect passes an answer on that is no stream.
func (run *chatRun) receiveDirect(x *exchange) attempt {
	body, err := x.readAll(maxResponseBytes)
	if err != nil {
		return attempt{result: x.classify(err, true), err: err}
	}
	if x.response.StatusCode >= http.StatusInternalServerError {
		return attempt{result: retry.NoAnswer, err: fmt.Errorf("target answered %s", x.response.Status)}
	}
	run.direct = &program.StoredResponse{Status: x.response.StatusCode, ContentType: x.response.Header.Get("Content-Type"), Body: body}
	return attempt{result: retry.Completed}
}

var errCallerGone = errors.New("the caller left")

// receiveEvents passes the stream on, but holds back everything from the
// finish reason on: the caller must not see the end before it is recorded.
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
			if run.events.keepAlive() != nil {
				return errCallerGone
			}
			continue
		}
		if bytes.Equal(data, []byte(doneMarker)) {
			_, err := run.answer.result()
			return err
		}
		var part chunk
		if err := json.Unmarshal(data, &part); err != nil {
			return fmt.Errorf("the target's stream is not valid: %w", err)
		}
		finished := run.answer.add(part)
		if !run.request.stream {
			continue
		}
		if finished {
			run.held = append(run.held, data)
			continue
		}
		if run.events.data(data) != nil {
			return errCallerGone
		}
	}
}
