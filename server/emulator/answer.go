package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"hemlockvale.dev/coord/target"
)

// statusCancelled answers a request that was cancelled before it had an answer.
const statusCancelled = 499

// answer writes a complete JSON answer or a stream of server-sent events.
type answer struct {
	w       http.ResponseWriter
	chat    ChatRequest
	id      string
	text    strings.Builder
	started bool
}

// wait blocks for d, or until ready is closed when ready is not nil. A stream
// gets a comment whenever it would otherwise be silent.
func (a *answer) wait(ctx context.Context, ready <-chan struct{}, d time.Duration) error {
	var timer <-chan time.Time
	if ready == nil {
		if d <= 0 {
			return context.Cause(ctx)
		}
		t := time.NewTimer(d)
		defer t.Stop()
		timer = t.C
	}
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ready:
			return nil
		case <-timer:
			return nil
		case <-keepAlive.C:
			a.write(": keep-alive\n\n")
		}
	}
}

func (a *answer) token(text string) {
	a.text.WriteString(text)
	a.chunk(ChatResponse{Choices: []Choice{{Delta: &Message{Role: "assistant", Content: text}}}})
}

func (a *answer) finish(req *request, load target.Load) {
	usage := Usage{PromptTokens: req.promptTokens(), CachedTokens: req.cached, CompletionTokens: int64(req.tokens)}
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	reason := "stop"
	if a.chat.Stream {
		a.chunk(ChatResponse{Choices: []Choice{{Delta: &Message{Role: "assistant"}, FinishReason: &reason}}})
		a.chunk(ChatResponse{Choices: []Choice{}, Usage: &usage, Load: &load})
		a.write("data: [DONE]\n\n")
		return
	}
	setLoad(a.w, load)
	message := &Message{Role: "assistant", Content: a.text.String()}
	writeJSON(a.w, http.StatusOK, ChatResponse{
		ID: a.id, Object: "chat.completion", Model: a.chat.Model, Usage: &usage, Load: &load,
		Choices: []Choice{{Message: message, FinishReason: &reason}},
	})
}

// fail ends a stream with an error event and without [DONE].
func (a *answer) fail(err error) {
	code := "internal"
	if errors.Is(err, errCancelled) || errors.Is(err, context.Canceled) {
		code = "cancelled"
	}
	if !a.started {
		writeError(a.w, statusCancelled, code, err.Error())
		return
	}
	event, _ := json.Marshal(errorBody{Error: errorDetail{Code: code, Message: err.Error()}})
	a.write(fmt.Sprintf("data: %s\n\n", event))
}

func (a *answer) chunk(c ChatResponse) {
	if !a.chat.Stream {
		return
	}
	c.ID, c.Object, c.Model = a.id, "chat.completion.chunk", a.chat.Model
	data, _ := json.Marshal(c)
	a.write(fmt.Sprintf("data: %s\n\n", data))
}

// write sends one event; a write that fails is noticed through the request's context.
func (a *answer) write(event string) {
	if !a.chat.Stream {
		return
	}
	if !a.started {
		a.started = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
	}
	_, _ = a.w.Write([]byte(event))
	_ = http.NewResponseController(a.w).Flush()
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorBody{Error: errorDetail{Code: code, Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func setLoad(w http.ResponseWriter, load target.Load) {
	data, _ := json.Marshal(load)
	w.Header().Set(LoadHeader, string(data))
}
