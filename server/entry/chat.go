package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/placement"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/coord/retry"
)

const (
	// defaultMaxTokens bounds an answer when the caller sets no bound and the
	// profile has a token budget, so that the reservation covers the answer.
	defaultMaxTokens = 4096
	// bytesPerToken is a low estimate for text; a reservation must rather be
	// too large than too small.
	bytesPerToken = 2
)

// chatRequest is a parsed chat completion request.
type chatRequest struct {
	fields       map[string]json.RawMessage
	model        string
	stream       bool
	maxTokens    int64
	messages     []message
	rawMessages  []json.RawMessage
	conversation conversation
}

// serveChat serves a chat completion on the engine service that has the model.
func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) {
	e.running.Add(1)
	defer e.running.Done()
	c, problem := e.accept(w, r)
	if problem == nil {
		problem = e.readBody(w, r, c)
	}
	if problem == nil {
		problem = c.authenticate()
	}
	if problem != nil {
		e.refuse(w, c, problem)
		return
	}
	e.chat(w, r, c)
}

// chat runs a chat completion for an authenticated caller. The service is
// given when the caller named it in the path.
func (e *Entry) chat(w http.ResponseWriter, r *http.Request, c *call) {
	request, problem := parseChat(c.body)
	if problem == nil {
		problem = e.resolveModel(c, request)
	}
	if problem == nil {
		problem = c.readIdempotencyKey(r.Header)
	}
	if problem != nil {
		e.refuse(w, c, problem)
		return
	}
	c.fingerprint = c.chatFingerprint()
	c.estimatedTokens = request.reservation(c.profile.Budget.MaxTokens > 0)

	callCtx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer e.active.add(c.key.ID, cancel)()
	begin, problem := c.chatProgram(r, request)
	if problem != nil {
		e.refuse(w, c, problem)
		return
	}
	replay, problem := e.admit(callCtx, c, begin)
	switch {
	case problem != nil:
		e.refuse(w, c, problem)
	case replay != nil:
		w.Header().Set(headerReplayed, "true")
		replayChat(w, request.stream, replay)
		e.metrics.answered(c)
	default:
		if problem := request.limitTokens(c.ticket.TokenLimit); problem != nil {
			// A failed record leaves the call to the owner, which settles it by its time limit.
			_ = e.finish(c, program.FinishCall{Outcome: program.NotRun})
			e.refuse(w, c, problem)
			return
		}
		e.runChat(callCtx, w, r, c, request)
	}
}

// limitTokens bounds the answer by what the program's budget has reserved.
func (q *chatRequest) limitTokens(limit int64) *Problem {
	if limit == 0 {
		return nil
	}
	left := limit - q.promptTokens()
	if left < 1 {
		return newProblem("budget_exhausted", ExecutedNo, "%d tokens are left, fewer than the prompt may take", limit)
	}
	if q.maxTokens == 0 || q.maxTokens > left {
		q.maxTokens = left
	}
	q.fields["max_tokens"] = json.RawMessage(fmt.Sprint(q.maxTokens))
	delete(q.fields, "max_completion_tokens")
	return nil
}

func parseChat(body []byte) (*chatRequest, *Problem) {
	request := &chatRequest{}
	if err := json.Unmarshal(body, &request.fields); err != nil {
		return nil, newProblem("invalid_json", ExecutedNo, "%v", err)
	}
	for _, field := range []struct {
		name string
		into any
	}{
		{"model", &request.model}, {"stream", &request.stream},
		{"max_tokens", &request.maxTokens}, {"max_completion_tokens", &request.maxTokens},
		{"messages", &request.messages}, {"messages", &request.rawMessages},
	} {
		raw, present := request.fields[field.name]
		if !present {
			continue
		}
		if err := json.Unmarshal(raw, field.into); err != nil {
			return nil, newProblem("invalid_request", ExecutedNo, "field %s: %v", field.name, err)
		}
	}
	if len(request.messages) == 0 {
		return nil, newProblem("invalid_request", ExecutedNo, "field messages: at least one message is required")
	}
	if request.maxTokens < 0 {
		return nil, newProblem("invalid_request", ExecutedNo, "field max_tokens: must not be negative")
	}
	request.conversation = readConversation(request.messages)
	return request, nil
}

// resolveModel applies the profile's model choice and finds the engine service:
// the first that has a target with the model, else the first that allows it.
func (e *Entry) resolveModel(c *call, request *chatRequest) *Problem {
	if c.service.Name != "" {
		return c.chooseModel(request)
	}
	problem := newProblem("unknown_model", ExecutedNo, "no engine service exists")
	var fallback *engineChoice
	for _, service := range c.state.Services() {
		if service.Kind != kindEngine {
			continue
		}
		choice := engineChoice{service: service, model: request.model}
		if refused := c.tryEngine(&choice); refused != nil {
			problem = refused
			continue
		}
		if len(e.Targets.Candidates(service.Name, choice.model, program.Ref{})) > 0 {
			choice.apply(c, request)
			return nil
		}
		if fallback == nil {
			fallback = &choice
		}
	}
	if fallback == nil {
		return problem
	}
	fallback.apply(c, request)
	return nil
}

// engineChoice is an engine service with the profile and model that a call would use on it.
type engineChoice struct {
	service fleet.Service
	profile fleet.Profile
	model   string
}

func (x *engineChoice) apply(c *call, request *chatRequest) {
	c.service, c.profile, request.model = x.service, x.profile, x.model
}

func (c *call) tryEngine(x *engineChoice) *Problem {
	profile, err := c.state.ResolveProfile(c.organisation(), x.service.Name)
	if err != nil {
		return newProblem("invalid_request", ExecutedNo, "no profile: %v", err)
	}
	x.profile = profile
	model, problem := chooseModel(profile, x.model)
	x.model = model
	return problem
}

// chooseModel maps the caller's model name to one that the call's profile allows.
func (c *call) chooseModel(request *chatRequest) *Problem {
	model, problem := chooseModel(c.profile, request.model)
	request.model = model
	return problem
}

func chooseModel(profile fleet.Profile, name string) (string, *Problem) {
	if alias, ok := profile.ModelAliases[name]; ok {
		name = alias
	}
	if name == "" && len(profile.Models) > 0 {
		name = profile.Models[0]
	}
	if name == "" {
		return "", newProblem("unknown_model", ExecutedNo, "the request names no model and the profile has no default")
	}
	if len(profile.Models) > 0 && !slices.Contains(profile.Models, name) {
		return "", newProblem("unknown_model", ExecutedNo, "%q is not among the models of profile %s", name, profile.Name)
	}
	return name, nil
}

func (c *call) chatFingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.key.ID + "\x00" + c.service.Name + "\x00")
	_, _ = d.Write(c.body)
	return d.Sum64()
}

// chatProgram says which program the call belongs to.
func (c *call) chatProgram(r *http.Request, request *chatRequest) (program.BeginCall, *Problem) {
	id, named, problem := namedProgram(r.Header)
	if problem != nil {
		return program.BeginCall{}, problem
	}
	begin := program.BeginCall{Program: program.Ref{ID: id}, Parent: r.Header.Get(headerParentProgram), Head: request.conversation.head}
	if !named {
		begin.Program.ID = lineageID(c.key.ID, request.conversation)
		begin.Lineage = true
	}
	return begin, nil
}

func (q *chatRequest) promptTokens() int64 {
	return int64(len(q.fields["messages"])+len(q.fields["tools"]))/bytesPerToken + 1
}

func (q *chatRequest) reservation(budgeted bool) int64 {
	if q.maxTokens == 0 && budgeted {
		q.maxTokens = defaultMaxTokens
	}
	return q.promptTokens() + q.maxTokens
}

// targetBody is the request as the engine gets it: always streamed, so that
// its keep-alives tell a long generation from a dead connection.
func (q *chatRequest) targetBody(priority int, secrets []string) ([]byte, error) {
	model, err := json.Marshal(q.model)
	if err != nil {
		return nil, err
	}
	fields := make(map[string]json.RawMessage, len(q.fields)+4)
	for name, value := range q.fields {
		fields[name] = value
	}
	fields["model"] = model
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["priority"] = json.RawMessage(fmt.Sprint(priority))
	body, err := json.Marshal(fields)
	return forwardedBody(body, secrets), err
}

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
	if err := e.finish(c, finish); err != nil && result.problem == nil {
		result.problem = newProblem("outcome_not_recorded", ExecutedUnknown, "%v", err)
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
		header.Set(headerTargetProgram, ref.Organisation+"/"+ref.ID)
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
		return attempt{result: retry.Silent, err: fmt.Errorf("target answered request %s", echoed)}
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
		return attempt{result: retry.Silent, err: fmt.Errorf("target answered %s", x.response.Status)}
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

// replayChat answers a retry with the recorded answer.
func replayChat(w http.ResponseWriter, stream bool, stored *program.StoredResponse) {
	var done completion
	if !stream || json.Unmarshal(stored.Body, &done) != nil || len(done.Choices) == 0 {
		writeStored(w, stored)
		return
	}
	data, err := json.Marshal(done.asChunk())
	if err != nil {
		writeStored(w, stored)
		return
	}
	events := &eventWriter{w: w}
	if events.data(data) == nil {
		_ = events.data([]byte(doneMarker))
	}
}
