package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"hemlockvale.dev/coord/target"
)

const (
	// RequestHeader carries the entry's request id, which DELETE /v1/requests/{id} takes.
	RequestHeader = "X-Hemlockvale-Request"
	// ProgramHeader carries the program whose prefix the engine caches.
	ProgramHeader = "X-Hemlockvale-Program"
	// LoadHeader carries the load as JSON on complete answers.
	LoadHeader = "X-Load"
	// defaultMaxTokens is the answer length when the request names none.
	defaultMaxTokens = 16
	// bytesPerToken approximates a tokenizer.
	bytesPerToken = 4
	// keepAliveInterval is the longest silence of a stream: half of the second that entries rely on.
	keepAliveInterval = 500 * time.Millisecond
)

var errCancelled = errors.New("request cancelled")

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	// Priority orders waiting requests; lower runs first.
	Priority int `json:"priority,omitempty"`
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Choice is one alternative of an answer; there is always exactly one.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// ChatResponse is a complete answer or one chunk of a stream. The last chunk
// before [DONE] has no choices and carries Usage and Load.
type ChatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []Choice     `json:"choices"`
	Usage   *Usage       `json:"usage,omitempty"`
	Load    *target.Load `json:"load,omitempty"`
}

// Answer returns the text with which every emulated engine answers r. Each token
// names the hash of model and messages and its own position, so that crossed,
// stitched or truncated answers can be found.
func Answer(r ChatRequest) string {
	prompt := segments(r)
	var text strings.Builder
	for i := range answerTokens(r) {
		text.WriteString(answerToken(prompt, i))
	}
	return text.String()
}

func answerToken(prompt []segment, i int) string {
	return fmt.Sprintf("%016x.%d ", prompt[len(prompt)-1].hash, i)
}

func answerTokens(r ChatRequest) int {
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultMaxTokens
}

// segments returns the prompt's prefixes, one for each message.
func segments(r ChatRequest) []segment {
	all := make([]segment, 0, len(r.Messages)+1)
	last := segment{hash: xxhash.Sum64String(r.Model)}
	for _, m := range r.Messages {
		last = extend(last, m, int64(len(m.Content)/bytesPerToken+1))
		all = append(all, last)
	}
	return all
}

func extend(s segment, m Message, tokens int64) segment {
	text := fmt.Sprintf("%016x\x00%s\x00%s", s.hash, m.Role, m.Content)
	return segment{hash: xxhash.Sum64String(text), tokens: s.tokens + tokens}
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	body, ok := e.seen.read(w, r)
	if !ok {
		return
	}
	if e.options.CrashOn != "" && strings.Contains(string(body), e.options.CrashOn) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	var chat ChatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	req := &request{
		id: r.Header.Get(RequestHeader), program: r.Header.Get(ProgramHeader), priority: chat.Priority,
		prompt: segments(chat), tokens: answerTokens(chat), admitted: make(chan struct{}), cancel: cancel,
	}
	if status, code := e.accept(req, chat); code != "" {
		writeError(w, status, code, "")
		return
	}
	defer e.forget(req)
	a := &answer{w: w, chat: chat, id: "chatcmpl-" + req.id}
	if err := e.run(ctx, req, chat, a); err != nil {
		a.fail(err)
		return
	}
	a.finish(req, e.Load())
}

// accept queues a request, or says why it is refused.
func (e *Engine) accept(req *request, chat ChatRequest) (status int, code string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case len(req.prompt) == 0:
		return http.StatusBadRequest, "invalid_request"
	case !e.hasModel(chat.Model):
		return http.StatusNotFound, "model_not_found"
	case req.promptTokens()+int64(req.tokens) > e.options.KVCapacity:
		return http.StatusRequestEntityTooLarge, "context_too_long"
	case req.id != "" && e.requests[req.id] != nil:
		return http.StatusConflict, "duplicate_request"
	}
	if req.id != "" {
		e.requests[req.id] = req
	}
	e.active++
	e.batch.submit(req)
	return 0, ""
}

func (e *Engine) forget(req *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.id != "" {
		delete(e.requests, req.id)
	}
	e.active--
}

// run waits for a place in the batch, then spends the prefill and decode time.
func (e *Engine) run(ctx context.Context, req *request, chat ChatRequest, a *answer) error {
	if err := a.wait(ctx, req.admitted, 0); err != nil {
		if e.withdraw(req) {
			return err
		}
	}
	done := req.prompt[:0]
	defer func() { e.end(req, done) }()
	prefill := time.Duration(float64(req.promptTokens()-req.cached) / e.options.TokensPerSecond * float64(time.Second))
	if err := a.wait(ctx, nil, prefill); err != nil {
		return err
	}
	done = req.prompt
	var text strings.Builder
	for i := range req.tokens {
		if err := a.wait(ctx, nil, e.options.DecodeInterval); err != nil {
			return err
		}
		token := answerToken(req.prompt, i)
		text.WriteString(token)
		a.token(token)
	}
	last := extend(done[len(done)-1], Message{Role: "assistant", Content: text.String()}, int64(req.tokens))
	done = append(done[:len(done):len(done)], last)
	return nil
}

// withdraw removes a waiting request; it reports false when it was admitted meanwhile.
func (e *Engine) withdraw(req *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-req.admitted:
		return false
	default:
		e.batch.withdraw(req)
		return true
	}
}

func (e *Engine) end(req *request, segments []segment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.end(req, segments)
}

// handleCancel ends a request that waits or runs.
func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.seen.inspect(r, nil)
	e.mu.Lock()
	req := e.requests[mux.Vars(r)["id"]]
	e.mu.Unlock()
	if req == nil {
		writeError(w, http.StatusNotFound, "request_not_found", "")
		return
	}
	req.cancel(errCancelled)
	w.WriteHeader(http.StatusNoContent)
}
