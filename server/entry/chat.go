package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
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
			_ = e.finish(callCtx, c, program.FinishCall{Outcome: program.NotRun})
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
	begin := program.BeginCall{Program: program.Ref{ID: id}, Head: request.conversation.head}
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
