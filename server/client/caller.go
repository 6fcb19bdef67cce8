package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"hemlockvale.dev/server/integrity"
)

// Message is one chat message.
type Message struct {
	// Role is "system", "user" or "assistant".
	Role string `json:"role"`
	// Content is the text of the message.
	Content string `json:"content"`
}

// ChatRequest is a request for a chat completion.
type ChatRequest struct {
	// Model is a model or an alias of the profile; an empty name means the profile's
	// default model.
	Model string `json:"model,omitempty"`
	// Messages holds the conversation so far, the oldest message first.
	Messages []Message `json:"messages"`
	// Stream requests a streamed response.
	Stream bool `json:"stream,omitempty"`
	// MaxTokens limits the length of the completion, in tokens; 0 means that the caller
	// sets no limit.
	MaxTokens int64 `json:"max_tokens,omitempty"`

	// ProgramID is sent as X-Program-Id; an empty id is not sent.
	ProgramID string `json:"-"`
	// IdempotencyKey is sent as Idempotency-Key; an empty key is not sent.
	IdempotencyKey string `json:"-"`
}

// Completion is the response to a chat request.
type Completion struct {
	// Text is the text of the completion.
	Text string
	// Target is the target that served the call, and Reason is the reason for its placement.
	Target, Reason string
	// PromptTokens, CachedTokens and CompletionTokens are the token counts that the
	// engine reports. CachedTokens is the part of the prompt that it had cached.
	PromptTokens, CachedTokens, CompletionTokens int64
}

// Caller is a client of one entry with one key.
type Caller struct {
	// Address is the HTTP address of the entry.
	Address string
	// Key is the bearer token of the caller; an empty key is not sent.
	Key string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// ErrIncomplete reports a response that is malformed or that ended before it was complete.
var ErrIncomplete = errors.New("the response ended before it was complete")

// Entries returns the entries that the caller should use.
func (c *Caller) Entries(ctx context.Context) (EntryList, error) {
	var list EntryList
	resp, err := c.send(ctx, http.MethodGet, "/v1/entries", nil, nil)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return list, fmt.Errorf("decode the response: %w", err)
	}
	return list, nil
}

// EntryList is the response body of GET /v1/entries.
type EntryList struct {
	// Entries holds the HTTP address and the data centre of each entry.
	Entries []struct {
		Address    string `json:"address"`
		DataCentre string `json:"data_centre"`
	} `json:"entries"`
	// LifetimeMS is the time for which callers may use the list, in milliseconds.
	LifetimeMS int64 `json:"lifetime_ms"`
}

// Chat sends a chat request. If Stream is set, it calls onText, which may be nil, with
// each part of the text as it arrives.
func (c *Caller) Chat(ctx context.Context, chat ChatRequest, onText func(text string)) (Completion, error) {
	body, err := json.Marshal(chat)
	if err != nil {
		return Completion{}, err
	}
	headers := map[string]string{"Content-Type": "application/json"}
	if chat.ProgramID != "" {
		headers["X-Program-Id"] = chat.ProgramID
	}
	if chat.IdempotencyKey != "" {
		headers["Idempotency-Key"] = chat.IdempotencyKey
	}
	resp, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", body, headers)
	if err != nil {
		return Completion{}, err
	}
	defer resp.Body.Close()
	completion := Completion{Target: resp.Header.Get("X-Served-By"), Reason: resp.Header.Get("X-Placement-Reason")}
	if chat.Stream {
		err := readStream(resp.Body, &completion, onText)
		return completion, err
	}
	var chunk chatChunk
	if err := json.NewDecoder(resp.Body).Decode(&chunk); err != nil {
		return completion, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	chunk.addTo(&completion)
	return completion, nil
}

// Service sends a request to a service and returns the response body. The path is
// relative to the service and starts with a slash.
func (c *Caller) Service(ctx context.Context, method, service, path string, body []byte, headers map[string]string) ([]byte, error) {
	resp, err := c.send(ctx, method, "/services/"+service+path, body, headers)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

// send sends a request to the entry. An error status is returned as a Problem.
func (c *Caller) send(ctx context.Context, method, path string, body []byte, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	httpClient := c.HTTP
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest || !integrity.IsFinal(resp.StatusCode) {
		defer resp.Body.Close()
		return nil, readProblem(resp)
	}
	return resp, nil
}

// chatChunk is a complete chat completion or one chunk of a streamed one.
type chatChunk struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CachedTokens     int64 `json:"cached_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
	Error *Problem `json:"error"`
}

// addTo adds the text and the token counts of the chunk to c, and returns the text.
func (k chatChunk) addTo(c *Completion) string {
	text := ""
	if len(k.Choices) > 0 {
		text = k.Choices[0].Delta.Content + k.Choices[0].Message.Content
	}
	c.Text += text
	if k.Usage != nil {
		c.PromptTokens, c.CachedTokens, c.CompletionTokens = k.Usage.PromptTokens, k.Usage.CachedTokens, k.Usage.CompletionTokens
	}
	return text
}

// readStream reads a stream of server-sent events up to its end marker. It adds each
// chunk to completion and calls onText, which may be nil, with its text.
func readStream(r io.Reader, completion *Completion, onText func(string)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		var chunk chatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		if chunk.Error != nil {
			return chunk.Error
		}
		if text := chunk.addTo(completion); text != "" && onText != nil {
			onText(text)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	return ErrIncomplete
}
