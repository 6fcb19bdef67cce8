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
	// RequestHeader carries the entry's request ID, as used in DELETE /v1/requests/{id}.
	RequestHeader = "X-Hemlockvale-Request"
	// ProgramHeader carries the program whose prefix the engine caches.
	ProgramHeader = "X-Hemlockvale-Program"
	// LoadHeader carries the load as JSON in complete responses.
	LoadHeader = "X-Load"
	// defaultMaxTokens is the completion length for requests without max_tokens.
	defaultMaxTokens = 16
	// bytesPerToken approximates a tokenizer for prompts.
	bytesPerToken = 4
	// keepAliveInterval is the time between keep-alive comments in a stream. Entries rely
	// on a keep-alive at least every second; the interval is half of that.
	keepAliveInterval = 500 * time.Millisecond
)

var errCancelled = errors.New("request cancelled")

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	// MaxTokens is the exact length of the completion, in tokens. Values below 1 select
	// the default of 16.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Stream selects a stream of server-sent events as the response.
	Stream bool `json:"stream,omitempty"`
	// Priority orders waiting requests; lower values run first.
	Priority int `json:"priority,omitempty"`
}

// Usage counts the tokens of one request. CachedTokens is the part of PromptTokens that
// was cached, and TotalTokens is the sum of PromptTokens and CompletionTokens.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Choice is one completion of a request. An emulated engine generates exactly one.
type Choice struct {
	Index int `json:"index"`
	// Message is the completion; it is set in complete responses.
	Message *Message `json:"message,omitempty"`
	// Delta is the next part of the completion; it is set in the chunks of a stream.
	Delta *Message `json:"delta,omitempty"`
	// FinishReason is nil until the completion has ended.
	FinishReason *string `json:"finish_reason"`
}

// ChatResponse is a complete response or one chunk of a stream. The last chunk before
// [DONE] has no choices and carries Usage and Load.
type ChatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []Choice     `json:"choices"`
	Usage   *Usage       `json:"usage,omitempty"`
	Load    *target.Load `json:"load,omitempty"`
}

// Completion returns the completion that every emulated engine generates for r. Each
// token consists of a hash of the model and the messages, and of the token's position.
// Tests can therefore detect mixed-up, spliced and truncated completions.
func Completion(r ChatRequest) string {
	prompt := segments(r)
	var text strings.Builder
	for i := range completionLength(r) {
		text.WriteString(completionToken(prompt, i))
	}
	return text.String()
}

func completionToken(prompt []segment, i int) string {
	return fmt.Sprintf("%016x.%d ", prompt[len(prompt)-1].hash, i)
}

func completionLength(r ChatRequest) int {
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultMaxTokens
}

// segments returns one segment for each message of the prompt.
func segments(r ChatRequest) []segment {
	all := make([]segment, 0, len(r.Messages)+1)
	last := segment{hash: xxhash.Sum64String(r.Model)}
	for _, m := range r.Messages {
		last = nextSegment(last, m, int64(len(m.Content)/bytesPerToken+1))
		all = append(all, last)
	}
	return all
}

// nextSegment returns the segment of a message that follows s.
func nextSegment(s segment, m Message, tokens int64) segment {
	text := fmt.Sprintf("%016x\x00%s\x00%s", s.hash, m.Role, m.Content)
	return segment{hash: xxhash.Sum64String(text), tokens: s.tokens + tokens}
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	body, ok := e.inspector.readBody(w, r)
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
		prompt: segments(chat), completionTokens: completionLength(chat), admitted: make(chan struct{}), cancel: cancel,
	}
	if status, code := e.submit(req, chat); code != "" {
		writeError(w, status, code, "")
		return
	}
	defer e.unregister(req)
	rw := &responseWriter{w: w, chat: chat, id: "chatcmpl-" + req.id}
	if err := e.generate(ctx, req, chat, rw); err != nil {
		rw.fail(err)
		return
	}
	rw.finish(req, e.Load())
}

// submit validates, registers and queues a request. For an invalid request it returns
// the HTTP status and the error code of the response.
func (e *Engine) submit(req *request, chat ChatRequest) (status int, code string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case len(req.prompt) == 0:
		return http.StatusBadRequest, "invalid_request"
	case !e.hasModel(chat.Model):
		return http.StatusNotFound, "model_not_found"
	case req.promptTokens()+int64(req.completionTokens) > e.options.KVCapacity:
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

// unregister removes a request that has ended.
func (e *Engine) unregister(req *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.id != "" {
		delete(e.requests, req.id)
	}
	e.active--
}

// generate waits until the request is admitted. It then emulates the duration of prefill
// and decode and writes the tokens.
func (e *Engine) generate(ctx context.Context, req *request, chat ChatRequest, rw *responseWriter) error {
	if err := rw.wait(ctx, req.admitted, 0); err != nil {
		if e.removeWaiting(req) {
			return err
		}
	}
	computed := req.prompt[:0]
	defer func() { e.end(req, computed) }()
	prefill := time.Duration(float64(req.promptTokens()-req.cachedTokens) / e.options.TokensPerSecond * float64(time.Second))
	if err := rw.wait(ctx, nil, prefill); err != nil {
		return err
	}
	computed = req.prompt
	var text strings.Builder
	for i := range req.completionTokens {
		if err := rw.wait(ctx, nil, e.options.DecodeInterval); err != nil {
			return err
		}
		token := completionToken(req.prompt, i)
		text.WriteString(token)
		rw.writeToken(token)
	}
	last := nextSegment(computed[len(computed)-1], Message{Role: "assistant", Content: text.String()}, int64(req.completionTokens))
	computed = append(computed[:len(computed):len(computed)], last)
	return nil
}

// removeWaiting removes a waiting request from the queue. It returns false if the
// request has been admitted in the meantime.
func (e *Engine) removeWaiting(req *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-req.admitted:
		return false
	default:
		e.batch.removeWaiting(req)
		return true
	}
}

// end ends an admitted request and stores the prefix that it computed.
func (e *Engine) end(req *request, segments []segment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.end(req, segments)
}

// handleCancel cancels a waiting or running request.
func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.inspector.inspect(r, nil)
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
