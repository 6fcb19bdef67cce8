package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runner is a target under test.
type runner interface {
	Run(ctx context.Context) error
	Address() string
}

// start runs a target until the test ends; the returned function stops it and
// returns the result of Run.
func start(t *testing.T, r runner) func() error {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- r.Run(ctx) }()
	stop := func() error {
		cancel()
		err := <-result
		result <- err
		return err
	}
	t.Cleanup(func() { _ = stop() })
	return stop
}

func startEngine(t *testing.T, o EngineOptions) *Engine {
	t.Helper()
	o.Address, o.StopGrace = "127.0.0.1:0", time.Millisecond
	e, err := NewEngine(o)
	require.NoError(t, err)
	start(t, e)
	return e
}

func ask(program string, texts ...string) ChatRequest {
	r := ChatRequest{Model: "m", MaxTokens: 4}
	for _, text := range texts {
		r.Messages = append(r.Messages, Message{Role: "user", Content: text})
	}
	return r
}

// send posts v and returns status and body; a broken connection has status 0.
func send(t *testing.T, method, address, path, program, id string, v any) (int, string) {
	t.Helper()
	data, err := json.Marshal(v)
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, bytes.NewReader(data))
	require.NoError(t, err)
	req.Header.Set(ProgramHeader, program)
	req.Header.Set(RequestHeader, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// Guards against answers that lack usage or load, and streams that are not complete.
func TestAnswers(t *testing.T) {
	e := startEngine(t, EngineOptions{ID: "e"})
	r := ask("p", "hello")
	status, body := send(t, http.MethodPost, e.Address(), "/v1/chat/completions", "p", "1", r)
	require.Equal(t, http.StatusOK, status)
	var whole ChatResponse
	require.NoError(t, json.Unmarshal([]byte(body), &whole))
	require.Equal(t, Answer(r), whole.Choices[0].Message.Content)
	require.NotNil(t, whole.Load)
	require.Equal(t, int64(4), whole.Usage.CompletionTokens)

	r.Stream = true
	_, body = send(t, http.MethodPost, e.Address(), "/v1/chat/completions", "p", "2", r)
	text, last := joinStream(t, body)
	require.Equal(t, Answer(r), text)
	require.Equal(t, last.Usage.PromptTokens, last.Usage.CachedTokens, "the second call finds its prompt in the cache")
}

// joinStream returns the text of a complete stream and its usage chunk.
func joinStream(t *testing.T, body string) (string, ChatResponse) {
	t.Helper()
	require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"), body)
	var text strings.Builder
	var chunk ChatResponse
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: {")
		if !ok {
			continue
		}
		chunk = ChatResponse{}
		require.NoError(t, json.Unmarshal([]byte("{"+data), &chunk))
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	return text.String(), chunk
}
