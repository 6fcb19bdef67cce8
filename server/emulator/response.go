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

// statusCancelled is the HTTP status for a request that was cancelled before its
// response started.
const statusCancelled = 499

// responseWriter writes a chat response as one JSON object or as a stream of
// server-sent events.
type responseWriter struct {
	w    http.ResponseWriter
	chat ChatRequest
	id   string
	// text is the completion so far.
	text strings.Builder
	// started is true once the header of a stream has been written.
	started bool
}

// wait blocks for d, or until ready is closed if ready is not nil. While it waits, a
// stream gets a comment every keepAliveInterval.
func (rw *responseWriter) wait(ctx context.Context, ready <-chan struct{}, d time.Duration) error {
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
			rw.writeEvent(": keep-alive\n\n")
		}
	}
}

// writeToken adds one token to the completion.
func (rw *responseWriter) writeToken(text string) {
	rw.text.WriteString(text)
	rw.writeChunk(ChatResponse{Choices: []Choice{{Delta: &Message{Role: "assistant", Content: text}}}})
}

// finish ends the response with the usage and the load.
func (rw *responseWriter) finish(req *request, load target.Load) {
	usage := Usage{PromptTokens: req.promptTokens(), CachedTokens: req.cachedTokens, CompletionTokens: int64(req.completionTokens)}
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	reason := "stop"
	if rw.chat.Stream {
		rw.writeChunk(ChatResponse{Choices: []Choice{{Delta: &Message{Role: "assistant"}, FinishReason: &reason}}})
		rw.writeChunk(ChatResponse{Choices: []Choice{}, Usage: &usage, Load: &load})
		rw.writeEvent("data: [DONE]\n\n")
		return
	}
	setLoad(rw.w, load)
	message := &Message{Role: "assistant", Content: rw.text.String()}
	writeJSON(rw.w, http.StatusOK, ChatResponse{
		ID: rw.id, Object: "chat.completion", Model: rw.chat.Model, Usage: &usage, Load: &load,
		Choices: []Choice{{Message: message, FinishReason: &reason}},
	})
}

// fail ends the response with an error. A stream that has started gets an error event
// and no [DONE].
func (rw *responseWriter) fail(err error) {
	code := "internal"
	if errors.Is(err, errCancelled) || errors.Is(err, context.Canceled) {
		code = "cancelled"
	}
	if !rw.started {
		writeError(rw.w, statusCancelled, code, err.Error())
		return
	}
	event, _ := json.Marshal(errorBody{Error: errorDetail{Code: code, Message: err.Error()}})
	rw.writeEvent(fmt.Sprintf("data: %s\n\n", event))
}

// writeChunk sends one chunk of a stream; it does nothing for a complete response.
func (rw *responseWriter) writeChunk(c ChatResponse) {
	if !rw.chat.Stream {
		return
	}
	c.ID, c.Object, c.Model = rw.id, "chat.completion.chunk", rw.chat.Model
	data, _ := json.Marshal(c)
	rw.writeEvent(fmt.Sprintf("data: %s\n\n", data))
}

// writeEvent sends one event of a stream. It ignores write errors, because a broken
// connection cancels the request's context.
func (rw *responseWriter) writeEvent(event string) {
	if !rw.chat.Stream {
		return
	}
	if !rw.started {
		rw.started = true
		rw.w.Header().Set("Content-Type", "text/event-stream")
		rw.w.Header().Set("Cache-Control", "no-store")
	}
	_, _ = rw.w.Write([]byte(event))
	_ = http.NewResponseController(rw.w).Flush()
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
