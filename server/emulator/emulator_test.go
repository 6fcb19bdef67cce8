package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"hemlockvale.dev/coord/target"
)

const chatPath = "/v1/chat/completions"

// emulatedTarget is the target under test, an Engine or a Service.
type emulatedTarget interface {
	Run(ctx context.Context) error
	Address() string
	Crash()
}

// start runs a target until the test ends. The returned function stops the target
// gracefully and returns the result of Run.
func start(t *testing.T, emulated emulatedTarget) func() error {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- emulated.Run(ctx) }()
	stop := sync.OnceValue(func() error { cancel(); return <-result })
	t.Cleanup(func() { emulated.Crash(); _ = stop() })
	return stop
}

func startEngine(t *testing.T, o EngineOptions) (*Engine, func() error) {
	t.Helper()
	o.ID, o.Address, o.StopGrace = "e", "127.0.0.1:0", time.Millisecond
	e, err := NewEngine(o)
	require.NoError(t, err)
	return e, start(t, e)
}

func newChatRequest(texts ...string) ChatRequest {
	r := ChatRequest{Model: "m", MaxTokens: 4}
	for _, text := range texts {
		r.Messages = append(r.Messages, Message{Role: "user", Content: text})
	}
	return r
}

// send sends v as JSON and returns the status and the body of the response. The status
// is 0 if the connection breaks.
func send(method, address, path, program, id string, v any) (int, string) {
	data, _ := json.Marshal(v)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set(ProgramHeader, program)
	req.Header.Set(RequestHeader, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// parseStream returns the completion and the last chunk of a stream. It requires that
// the stream ends with [DONE].
func parseStream(t *testing.T, body string) (string, ChatResponse) {
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

// TestCompletions guards against mixed-up and incomplete responses, responses without
// usage or load, and missing cache hits.
func TestCompletions(t *testing.T) {
	e, _ := startEngine(t, EngineOptions{MaxBatch: 4})
	var g errgroup.Group
	for i := range 20 {
		g.Go(func() error {
			r := newChatRequest(fmt.Sprintf("question %d", i))
			_, body := send(http.MethodPost, e.Address(), chatPath, fmt.Sprint(i), fmt.Sprint(i), r)
			var response ChatResponse
			if err := json.Unmarshal([]byte(body), &response); err != nil {
				return err
			}
			if response.Choices[0].Message.Content != Completion(r) || response.Load == nil || response.Usage.CompletionTokens != 4 {
				return fmt.Errorf("response %d: %s", i, body)
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	require.NotEqual(t, Completion(newChatRequest("a", "b")), Completion(newChatRequest("ab")))
	followUp := newChatRequest("question 0")
	followUp.Messages = append(followUp.Messages, Message{Role: "assistant", Content: Completion(followUp)}, Message{Role: "user", Content: "and then?"})
	followUp.Stream = true
	_, body := send(http.MethodPost, e.Address(), chatPath, "0", "s", followUp)
	text, lastChunk := parseStream(t, body)
	require.Equal(t, Completion(followUp), text)
	require.NotNil(t, lastChunk.Load)
	require.Greater(t, lastChunk.Usage.CachedTokens, lastChunk.Usage.PromptTokens/2, "the earlier messages are cached")
}

// TestRefusals guards against accepting requests that cannot run.
func TestRefusals(t *testing.T) {
	e, _ := startEngine(t, EngineOptions{Models: []string{"m"}, KVCapacity: 100, DecodeInterval: 20 * time.Millisecond})
	go send(http.MethodPost, e.Address(), chatPath, "p", "busy", newChatRequest("x"))
	require.Eventually(t, func() bool { return e.Load().Running == 1 }, time.Second, time.Millisecond)
	unknownModel := newChatRequest("x")
	unknownModel.Model = "other"
	for _, c := range []struct {
		id     string
		body   any
		status int
	}{
		{"1", "no object", http.StatusBadRequest},
		{"2", ChatRequest{Model: "m"}, http.StatusBadRequest},
		{"3", unknownModel, http.StatusNotFound},
		{"4", newChatRequest(strings.Repeat("x", 1000)), http.StatusRequestEntityTooLarge},
		{"busy", newChatRequest("x"), http.StatusConflict},
	} {
		status, body := send(http.MethodPost, e.Address(), chatPath, "p", c.id, c.body)
		require.Equal(t, c.status, status, body)
	}
}

// TestPriorityAndBatch guards against ignored priorities and a batch that exceeds its
// maximum size.
func TestPriorityAndBatch(t *testing.T) {
	e, _ := startEngine(t, EngineOptions{MaxBatch: 1, DecodeInterval: 10 * time.Millisecond})
	var mu sync.Mutex
	var finished []int
	var g errgroup.Group
	for i, priority := range []int{9, 5, 1, 3} {
		g.Go(func() error {
			r := newChatRequest("x")
			r.Priority = priority
			send(http.MethodPost, e.Address(), chatPath, fmt.Sprint(i), fmt.Sprint(i), r)
			mu.Lock()
			defer mu.Unlock()
			finished = append(finished, priority)
			return nil
		})
		require.Eventually(t, func() bool { l := e.Load(); return l.Running == 1 && l.Waiting == i }, time.Second, time.Millisecond)
	}
	require.NoError(t, g.Wait())
	require.Equal(t, []int{9, 1, 3, 5}, finished, "the first request ran alone and the others in the order of their priorities")
}

// TestCancel guards against cancelled requests that keep their slot or memory, and
// against responses to cancelled requests that look complete.
func TestCancel(t *testing.T) {
	for _, c := range []struct {
		name           string
		stream, queued bool
	}{{"running", false, false}, {"streaming", true, false}, {"waiting", false, true}, {"waiting stream", true, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e, _ := startEngine(t, EngineOptions{MaxBatch: 1, DecodeInterval: 200 * time.Millisecond})
			if c.queued {
				go send(http.MethodPost, e.Address(), chatPath, "other", "other", newChatRequest("x"))
				require.Eventually(t, func() bool { return e.Load().Running == 1 }, time.Second, time.Millisecond)
			}
			r := newChatRequest("x")
			r.Stream, r.MaxTokens = c.stream, 100
			response := make(chan string, 1)
			go func() {
				_, body := send(http.MethodPost, e.Address(), chatPath, "p", "c", r)
				response <- body
			}()
			require.Eventually(t, func() bool { return e.State().Holds("p") }, time.Second, time.Millisecond)
			status, _ := send(http.MethodDelete, e.Address(), "/v1/requests/c", "", "", nil)
			require.Equal(t, http.StatusNoContent, status)
			body := <-response
			require.Contains(t, body, "cancelled")
			require.NotContains(t, body, "[DONE]")
			require.Eventually(t, func() bool { return e.Load().Waiting == 0 }, time.Second, time.Millisecond)
			status, _ = send(http.MethodDelete, e.Address(), "/v1/requests/c", "", "", nil)
			require.Equal(t, http.StatusNotFound, status)
		})
	}
}

// TestKeepAlive guards against streams that send nothing for a second or longer. Entries
// rely on a keep-alive at least every second.
func TestKeepAlive(t *testing.T) {
	t.Parallel()
	e, _ := startEngine(t, EngineOptions{TokensPerSecond: 100})
	r := newChatRequest(strings.Repeat("x", 4*150))
	r.Stream = true
	data, err := json.Marshal(r)
	require.NoError(t, err)
	lastRead, longestGap := time.Now(), time.Duration(0)
	resp, err := http.Post("http://"+e.Address()+chatPath, "application/json", bytes.NewReader(data))
	require.NoError(t, err)
	defer resp.Body.Close()
	buffer := make([]byte, 4096)
	for err == nil {
		_, err = resp.Body.Read(buffer)
		longestGap = max(longestGap, time.Since(lastRead))
		lastRead = time.Now()
	}
	require.ErrorIs(t, err, io.EOF)
	require.Less(t, longestGap, time.Second)
}

// TestCacheMemory guards against memory use above the limit, the wrong choice of the
// prefix to evict, and releases during a request that leave the program's memory
// allocated after it.
func TestCacheMemory(t *testing.T) {
	e, _ := startEngine(t, EngineOptions{KVCapacity: 250, DecodeInterval: 5 * time.Millisecond})
	run := func(program string) {
		send(http.MethodPost, e.Address(), chatPath, program, "", newChatRequest(strings.Repeat("x", 300)))
	}
	order := func(kind, program string) {
		status, body := send(http.MethodPost, e.Address(), "/v1/orders", "", "", target.Order{ID: kind + program, Kind: kind, Program: program, DeadlineMS: 1000})
		require.Equal(t, http.StatusOK, status, body)
	}
	requireHeld := func(programs ...string) {
		t.Helper()
		var got []string
		for _, h := range e.State().Held {
			got = append(got, h.Program)
		}
		require.ElementsMatch(t, programs, got)
		require.LessOrEqual(t, e.Load().KVUsed, int64(250))
	}
	for _, program := range []string{"a", "b", "a", "c"} {
		run(program)
	}
	requireHeld("a", "b", "c") // three prefixes of 80 tokens fit into 250
	run("d")
	requireHeld("a", "c", "d") // b was the least recently used
	order("keep", "a")
	run("e")
	requireHeld("a", "d", "e") // a was used less recently than c, but is kept
	order("release", "a")
	requireHeld("d", "e")
	ended := make(chan struct{})
	go func() { defer close(ended); run("f") }()
	require.Eventually(t, func() bool { return e.State().Holds("f") }, time.Second, time.Millisecond)
	order("release", "f")
	<-ended
	requireHeld("d", "e")
}

// TestRunningPrefixIsPinned guards against the eviction of prefixes that a running
// request uses.
func TestRunningPrefixIsPinned(t *testing.T) {
	c := newPrefixCache(100, func(string, string, int64) {})
	for _, program := range []string{"a", "b"} {
		c.store(program, []segment{{tokens: 40}})
	}
	c.track("a")
	c.pin("a")
	require.True(t, c.reserve("c", 50))
	require.Contains(t, c.entries, "a")
	require.NotContains(t, c.entries, "b")
	require.False(t, c.reserve("d", 50))
}

// TestRequestInspector guards against undetected keys in requests, and against ordinary
// text that is taken for a key.
func TestRequestInspector(t *testing.T) {
	for _, c := range []struct {
		name    string
		edit    func(r *http.Request)
		body    string
		keySeen bool
	}{
		{"clean", func(r *http.Request) { r.Header.Set("Idempotency-Key", "order-12345678901234567890") }, "a key to the door", false},
		{"authorization", func(r *http.Request) { r.Header.Set("Authorization", "Bearer x") }, "", true},
		{"api key header", func(r *http.Request) { r.Header.Set("X-Api-Key", "x") }, "", true},
		{"query", func(r *http.Request) { r.URL.RawQuery = "api_key=x" }, "", true},
		{"pattern in body", func(*http.Request) {}, "use sk-abcdefghijklmnopqrst", true},
		{"issued key in body", func(*http.Request) {}, "x issued-secret y", true},
		{"issued key in header", func(r *http.Request) { r.Header.Set("X-Other", "issued-secret") }, "", true},
	} {
		inspector := requestInspector{}
		inspector.addKey("issued-secret")
		r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(c.body))
		c.edit(r)
		inspector.inspect(r, []byte(c.body))
		require.Equal(t, c.keySeen, inspector.snapshot().KeySeen, c.name)
	}
}
