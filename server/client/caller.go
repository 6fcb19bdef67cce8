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
)

// Message is one chat message.
type Message struct {
	// Role is "system", "user" or "assistant".
	Role string `json:"role"`
	// Content is the text.
	Content string `json:"content"`
}

// Chat is one call of a program.
type Chat struct {
	// Model is a model or an alias of the profile; empty takes its default.
	Model string `json:"model,omitempty"`
	// Messages are the conversation so far.
	Messages []Message `json:"messages"`
	// Stream asks for the answer in parts.
	Stream bool `json:"stream,omitempty"`
	// MaxTokens bounds the answer; 0 leaves it to the system.
	MaxTokens int64 `json:"max_tokens,omitempty"`

	// Program is sent as X-Program-Id; empty sends none.
	Program string `json:"-"`
	// Key is sent as Idempotency-Key; empty sends none.
	Key string `json:"-"`
}

// Answer is a whole answer to a call.
type Answer struct {
	// Text is the whole text.
	Text string
	// Target served the call and Reason says why it was chosen.
	Target, Reason string
	// PromptTokens, CachedTokens and CompletionTokens are the engine's counts.
	PromptTokens, CachedTokens, CompletionTokens int64
}

// Caller calls one entry with one key.
type Caller struct {
	// Address is an entry's HTTP address.
	Address string
	// Key authenticates the caller.
	Key string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// ErrBroken reports a stream that ended before the answer was whole.
var ErrBroken = errors.New("the stream ended before the answer was whole")

// Entries asks which entries to use.
func (c *Caller) Entries(ctx context.Context) (EntryList, error) {
	var list EntryList
	resp, err := c.send(ctx, http.MethodGet, "/v1/entries", nil, nil)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return list, fmt.Errorf("decode the answer: %w", err)
	}
	return list, nil
}

// EntryList is the answer of GET /v1/entries.
type EntryList struct {
	Entries []struct {
		Address    string `json:"address"`
		DataCentre string `json:"data_centre"`
	} `json:"entries"`
	LifetimeMS int64 `json:"lifetime_ms"`
}

// Chat runs one call. With Stream set, each part of the text goes to part as it arrives.
func (c *Caller) Chat(ctx context.Context, chat Chat, part func(text string)) (Answer, error) {
	body, err := json.Marshal(chat)
	if err != nil {
		return Answer{}, err
	}
	headers := map[string]string{"Content-Type": "application/json"}
	if chat.Program != "" {
		headers["X-Program-Id"] = chat.Program
	}
	if chat.Key != "" {
		headers["Idempotency-Key"] = chat.Key
	}
	resp, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", body, headers)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	answer := Answer{Target: resp.Header.Get("X-Served-By"), Reason: resp.Header.Get("X-Placement-Reason")}
	if chat.Stream {
		err := readStream(resp.Body, &answer, part)
		return answer, err
	}
	var whole chatChunk
	if err := json.NewDecoder(resp.Body).Decode(&whole); err != nil {
		return answer, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	whole.addTo(&answer)
	return answer, nil
}

// Service calls a plain service; path starts after the service's name.
func (c *Caller) Service(ctx context.Context, method, service, path string, body []byte, headers map[string]string) ([]byte, error) {
	resp, err := c.send(ctx, method, "/services/"+service+path, body, headers)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

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
	if resp.StatusCode >= http.StatusBadRequest {
		defer resp.Body.Close()
		return nil, readProblem(resp)
	}
	return resp, nil
}

// chatChunk is a whole completion or one chunk of it.
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

func (k chatChunk) addTo(a *Answer) string {
	text := ""
	if len(k.Choices) > 0 {
		text = k.Choices[0].Delta.Content + k.Choices[0].Message.Content
	}
	a.Text += text
	if k.Usage != nil {
		a.PromptTokens, a.CachedTokens, a.CompletionTokens = k.Usage.PromptTokens, k.Usage.CachedTokens, k.Usage.CompletionTokens
	}
	return text
}

func readStream(r io.Reader, answer *Answer, part func(string)) error {
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
			return fmt.Errorf("%w: %w", ErrBroken, err)
		}
		if chunk.Error != nil {
			return chunk.Error
		}
		if text := chunk.addTo(answer); text != "" && part != nil {
			part(text)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return ErrBroken
}
