package entry

import (
	"encoding/json"
	"errors"
	"slices"

	"hemlockvale.dev/coord/target"
)

// chunk is the part of a streamed completion that the entry reads.
type chunk struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage"`
	Load    *target.Load  `json:"load"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role      string          `json:"role"`
	Content   *string         `json:"content"`
	ToolCalls []toolCallDelta `json:"tool_calls"`
}

type toolCallDelta struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	// CachedTokens is how much of the prompt the engine found in its prefix cache.
	CachedTokens int64 `json:"cached_tokens,omitempty"`
}

// completion is the answer to a call that does not stream.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int           `json:"index"`
	Message      answerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

type answerMessage struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function functionCall `json:"function"`
}

type functionCall struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

var errNoChoice = errors.New("the stream ended without an answer")

// accumulator joins the chunks of one run to a completion.
type accumulator struct {
	completion completion
	finished   bool
	load       *target.Load
}

// add merges a chunk and reports whether it, or an earlier one, carried a finish reason.
func (a *accumulator) add(c chunk) bool {
	if a.completion.ID == "" {
		a.completion = completion{ID: c.ID, Object: "chat.completion", Created: c.Created, Model: c.Model}
	}
	if c.Usage != nil {
		a.completion.Usage = c.Usage
	}
	if c.Load != nil {
		a.load = c.Load
	}
	for _, choice := range c.Choices {
		merged := a.choice(choice.Index)
		merged.Message.merge(choice.Delta)
		if choice.FinishReason != nil {
			merged.FinishReason = *choice.FinishReason
			a.finished = true
		}
	}
	return a.finished
}

func (a *accumulator) choice(index int) *completionChoice {
	at := slices.IndexFunc(a.completion.Choices, func(c completionChoice) bool { return c.Index == index })
	if at < 0 {
		at = len(a.completion.Choices)
		a.completion.Choices = append(a.completion.Choices, completionChoice{Index: index, Message: answerMessage{Role: roleAssistant}})
	}
	return &a.completion.Choices[at]
}

func (m *answerMessage) merge(d delta) {
	if d.Role != "" {
		m.Role = d.Role
	}
	if d.Content != nil {
		joined := *d.Content
		if m.Content != nil {
			joined = *m.Content + joined
		}
		m.Content = &joined
	}
	for _, part := range d.ToolCalls {
		for part.Index >= len(m.ToolCalls) && part.Index < maxToolCalls {
			m.ToolCalls = append(m.ToolCalls, toolCall{Type: "function"})
		}
		if part.Index < 0 || part.Index >= len(m.ToolCalls) {
			continue
		}
		merged := &m.ToolCalls[part.Index]
		merged.ID += part.ID
		if part.Type != "" {
			merged.Type = part.Type
		}
		merged.Function.Name += part.Function.Name
		merged.Function.Arguments += part.Function.Arguments
	}
}

// maxToolCalls bounds the tool calls of one answer against a corrupt index.
const maxToolCalls = 1024

// result returns the completion once the run has finished.
func (a *accumulator) result() (completion, error) {
	if !a.finished || len(a.completion.Choices) == 0 {
		return completion{}, errNoChoice
	}
	return a.completion, nil
}

// message returns the first choice in the form that callers echo.
func (c completion) message() message {
	m := c.Choices[0].Message
	out := message{Role: m.Role}
	if m.Content != nil {
		out.Content = *m.Content
	}
	if len(m.ToolCalls) > 0 {
		// The hash of a conversation covers generic values, as read from the caller's JSON.
		data, _ := json.Marshal(m.ToolCalls)
		_ = json.Unmarshal(data, &out.ToolCalls)
	}
	return out
}

// asChunk turns a recorded completion into one chunk, for a replay to a streaming caller.
func (c completion) asChunk() map[string]any {
	choices := make([]map[string]any, 0, len(c.Choices))
	for _, choice := range c.Choices {
		choices = append(choices, map[string]any{"index": choice.Index, "delta": choice.Message, "finish_reason": choice.FinishReason})
	}
	return map[string]any{
		"id": c.ID, "object": "chat.completion.chunk", "created": c.Created, "model": c.Model,
		"choices": choices, "usage": c.Usage,
	}
}
