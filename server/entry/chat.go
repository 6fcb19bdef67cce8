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
	// defaultMaxTokens limits the length of an answer, in tokens, if the caller sets no
	// limit and the profile has a token budget. The reservation then covers the answer.
	defaultMaxTokens = 4096
	// bytesPerToken is a low estimate for text. It makes reservations too large rather
	// than too small.
	bytesPerToken = 2
)

// chatRequest is a parsed chat completion request.
type chatRequest struct {
	fields       map[string]json.RawMessage
	model        string
	stream       bool
	maxTokens    int64 // 0 if there is no limit
	messages     []message
	rawMessages  []json.RawMessage
	conversation conversation
}

// serveChat handles POST /v1/chat/completions. The model selects the engine service.
func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
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
	e.processChat(w, r, c)
}

// processChat parses, admits and dispatches a chat completion. The caller has already been
// authenticated, unless the route is open. c.service is set if the path names the service.
func (e *Entry) processChat(w http.ResponseWriter, r *http.Request, c *call) {
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
	c.estimatedTokens = request.estimateTokens(c.profile.Budget.MaxTokens > 0)

	callCtx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer e.activeCalls.add(c.key.ID, cancel)()
	begin, problem := c.chatBeginCall(r, request)
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
		e.metrics.recordAnswer(c)
	default:
		if problem := request.limitTokens(c.ticket.TokenLimit); problem != nil {
			_ = e.finishCall(callCtx, c, program.FinishCall{Outcome: program.NotRun})
			e.refuse(w, c, problem)
			return
		}
		e.dispatchChat(callCtx, w, r, c, request)
	}
}

// limitTokens limits the answer to the tokens that are reserved for the call, less the
// estimated prompt; a limit of 0 means that no budget limits tokens. It returns a
// problem if no token is left for the answer.
func (q *chatRequest) limitTokens(limit int64) *Problem {
	if limit == 0 {
		return nil
	}
	remaining := limit - q.estimatePromptTokens()
	if remaining < 1 {
		return newProblem("budget_exhausted", ExecutedNo, "%d tokens are left, fewer than the prompt may take", limit)
	}
	if q.maxTokens == 0 || q.maxTokens > remaining {
		q.maxTokens = remaining
	}
	q.fields["max_tokens"] = json.RawMessage(fmt.Sprint(q.maxTokens))
	delete(q.fields, "max_completion_tokens")
	return nil
}

// parseChat decodes and validates the body of a chat completion request. It keeps the
// fields that the entry does not interpret, for the engine.
func parseChat(body []byte) (*chatRequest, *Problem) {
	request := &chatRequest{}
	if err := json.Unmarshal(body, &request.fields); err != nil {
		return nil, newProblem("invalid_json", ExecutedNo, "%v", err)
	}
	for _, field := range []struct {
		name string
		dest any
	}{
		{"model", &request.model}, {"stream", &request.stream},
		{"max_tokens", &request.maxTokens}, {"max_completion_tokens", &request.maxTokens},
		{"messages", &request.messages}, {"messages", &request.rawMessages},
	} {
		raw, present := request.fields[field.name]
		if !present {
			continue
		}
		if err := json.Unmarshal(raw, field.dest); err != nil {
			return nil, newProblem("invalid_request", ExecutedNo, "field %s: %v", field.name, err)
		}
	}
	if len(request.messages) == 0 {
		return nil, newProblem("invalid_request", ExecutedNo, "field messages: at least one message is required")
	}
	if request.maxTokens < 0 {
		return nil, newProblem("invalid_request", ExecutedNo, "field max_tokens: must not be negative")
	}
	request.conversation = hashConversation(request.messages)
	return request, nil
}

// resolveModel maps the requested model to one that the profile allows. If the path does
// not name the service, it also selects the engine service: the first that has a candidate
// target for the model, or else the first whose profile allows the model.
func (e *Entry) resolveModel(c *call, request *chatRequest) *Problem {
	if c.service.Name != "" {
		return c.chooseModel(request)
	}
	problem := newProblem("unknown_model", ExecutedNo, "no engine service exists")
	var fallback *engineChoice
	for _, service := range c.fleetState.Services() {
		if service.Kind != kindEngine {
			continue
		}
		choice := engineChoice{service: service, model: request.model}
		if choiceProblem := c.resolveEngineChoice(&choice); choiceProblem != nil {
			problem = choiceProblem
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

// engineChoice is an engine service with the profile and the model that a call would
// use on it.
type engineChoice struct {
	service fleet.Service
	profile fleet.Profile
	model   string
}

// apply makes the call use the choice.
func (x *engineChoice) apply(c *call, request *chatRequest) {
	c.service, c.profile, request.model = x.service, x.profile, x.model
}

// resolveEngineChoice sets the profile and the model of choice, whose service and
// requested model are given.
func (c *call) resolveEngineChoice(choice *engineChoice) *Problem {
	profile, err := c.fleetState.ResolveProfile(c.organisation(), choice.service.Name)
	if err != nil {
		return newProblem("invalid_request", ExecutedNo, "no profile: %v", err)
	}
	choice.profile = profile
	model, problem := chooseModel(profile, choice.model)
	choice.model = model
	return problem
}

// chooseModel replaces the model of the request with the one that the call's profile
// selects.
func (c *call) chooseModel(request *chatRequest) *Problem {
	model, problem := chooseModel(c.profile, request.model)
	request.model = model
	return problem
}

// chooseModel returns the model that a profile selects for the requested name: the model
// that an alias stands for, the profile's first model for an empty name, or the name itself.
// It returns a problem if the profile does not allow the model.
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

// chatFingerprint hashes the key, the service and the body of a chat call. It is equal
// for a retry.
func (c *call) chatFingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.key.ID + "\x00" + c.service.Name + "\x00")
	_, _ = d.Write(c.body)
	return d.Sum64()
}

// chatBeginCall returns a BeginCall with the program of the call: the one that the
// headers name, or else the one derived from the lineage of the conversation.
func (c *call) chatBeginCall(r *http.Request, request *chatRequest) (program.BeginCall, *Problem) {
	id, found, problem := programFromHeaders(r.Header)
	if problem != nil {
		return program.BeginCall{}, problem
	}
	begin := program.BeginCall{Program: program.Ref{ID: id}, Head: request.conversation.head}
	if !found {
		begin.Program.ID = lineageID(c.key.ID, request.conversation)
		begin.Lineage = true
	}
	return begin, nil
}

// estimatePromptTokens estimates the length of the messages and tools in tokens.
func (q *chatRequest) estimatePromptTokens() int64 {
	return int64(len(q.fields["messages"])+len(q.fields["tools"]))/bytesPerToken + 1
}

// estimateTokens returns the number of tokens to reserve for prompt and answer. Under a
// token budget, it first sets a missing answer limit to defaultMaxTokens.
func (q *chatRequest) estimateTokens(hasTokenBudget bool) int64 {
	if q.maxTokens == 0 && hasTokenBudget {
		q.maxTokens = defaultMaxTokens
	}
	return q.estimatePromptTokens() + q.maxTokens
}

// targetBody encodes the request for the engine. It always requests a stream, whose
// keep-alives distinguish a long generation from a dead connection.
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

// replayChat responds to a retry with the recorded response. A completion is sent as a
// stream if the retry requests one.
func replayChat(w http.ResponseWriter, stream bool, stored *program.StoredResponse) {
	var recorded completion
	if !stream || json.Unmarshal(stored.Body, &recorded) != nil || len(recorded.Choices) == 0 {
		writeStoredResponse(w, stored)
		return
	}
	data, err := json.Marshal(recorded.toChunk())
	if err != nil {
		writeStoredResponse(w, stored)
		return
	}
	events := &eventWriter{w: w}
	if events.writeEvent(data) == nil {
		_ = events.writeEvent([]byte(doneMarker))
	}
}
