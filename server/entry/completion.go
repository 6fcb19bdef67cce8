package entry

import (
	"encoding/json"
	"errors"
	"slices"

	"hemlockvale.dev/coord/target"
)

// chunk is one event of a streamed completion, with the fields that the entry reads.
type chunk struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage"`
	Load    *target.Load  `json:"load"`
}

// chunkChoice is the increment of one choice.
type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// delta is the increment of a choice's message.
type delta struct {
	Role      string          `json:"role"`
	Content   *string         `json:"content"`
	ToolCalls []toolCallDelta `json:"tool_calls"`
}

// toolCallDelta is the increment of one tool call, selected by its index.
type toolCallDelta struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// usage is the token usage that an engine reports for a call.
type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	// CachedTokens is the number of prompt tokens that the engine had in its prefix cache.
	CachedTokens int64 `json:"cached_tokens,omitempty"`
}

// completion is the response to a chat call without streaming.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

// completionChoice is one alternative answer of a completion.
type completionChoice struct {
	Index        int           `json:"index"`
	Message      answerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

// answerMessage is the message of a choice.
type answerMessage struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

// toolCall is a call of a function that the model requests from the caller.
type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function functionCall `json:"function"`
}

// functionCall is the function of a tool call and its arguments as JSON text.
type functionCall struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// errIncompleteStream is the error of a stream that ended without a finish reason or
// without a choice.
var errIncompleteStream = errors.New("the stream ended without an answer")

// completionAccumulator merges the chunks of one attempt into a completion.
type completionAccumulator struct {
	completion completion
	finished   bool
	load       *target.Load
}

// add merges a chunk. It reports whether this chunk or an earlier one had a finish
// reason.
func (a *completionAccumulator) add(c chunk) bool {
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
		merged := a.choiceAt(choice.Index)
		merged.Message.merge(choice.Delta)
		if choice.FinishReason != nil {
			merged.FinishReason = *choice.FinishReason
			a.finished = true
		}
	}
	return a.finished
}

// choiceAt returns the choice with the given index and adds it if it is missing.
func (a *completionAccumulator) choiceAt(index int) *completionChoice {
	i := slices.IndexFunc(a.completion.Choices, func(c completionChoice) bool { return c.Index == index })
	if i < 0 {
		i = len(a.completion.Choices)
		a.completion.Choices = append(a.completion.Choices, completionChoice{Index: index, Message: answerMessage{Role: roleAssistant}})
	}
	return &a.completion.Choices[i]
}

// merge applies a delta to the message.
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
	for _, toolDelta := range d.ToolCalls {
		for toolDelta.Index >= len(m.ToolCalls) && toolDelta.Index < maxToolCalls {
			m.ToolCalls = append(m.ToolCalls, toolCall{Type: "function"})
		}
		if toolDelta.Index < 0 || toolDelta.Index >= len(m.ToolCalls) {
			continue
		}
		merged := &m.ToolCalls[toolDelta.Index]
		merged.ID += toolDelta.ID
		if toolDelta.Type != "" {
			merged.Type = toolDelta.Type
		}
		merged.Function.Name += toolDelta.Function.Name
		merged.Function.Arguments += toolDelta.Function.Arguments
	}
}

// maxToolCalls limits the tool calls of one answer. A corrupt index in a chunk could
// otherwise allocate any amount of memory.
const maxToolCalls = 1024

// result returns the completion, or an error if the stream is incomplete.
func (a *completionAccumulator) result() (completion, error) {
	if !a.finished || len(a.completion.Choices) == 0 {
		return completion{}, errIncompleteStream
	}
	return a.completion, nil
}

// toMessage returns the first choice in the form in which callers send it back as part
// of the conversation.
func (c completion) toMessage() message {
	answer := c.Choices[0].Message
	out := message{Role: answer.Role}
	if answer.Content != nil {
		out.Content = *answer.Content
	}
	if len(answer.ToolCalls) > 0 {
		// The conversation hash is computed over generic values, as decoded from the
		// caller's JSON.
		data, _ := json.Marshal(answer.ToolCalls)
		_ = json.Unmarshal(data, &out.ToolCalls)
	}
	return out
}

// toChunk returns a recorded completion as a single chunk, for a retry that requests a
// stream.
func (c completion) toChunk() map[string]any {
	choices := make([]map[string]any, 0, len(c.Choices))
	for _, choice := range c.Choices {
		choices = append(choices, map[string]any{"index": choice.Index, "delta": choice.Message, "finish_reason": choice.FinishReason})
	}
	return map[string]any{
		"id": c.ID, "object": "chat.completion.chunk", "created": c.Created, "model": c.Model,
		"choices": choices, "usage": c.Usage,
	}
}
