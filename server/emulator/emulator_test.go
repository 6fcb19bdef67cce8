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

// runner is a target under test.
type runner interface {
	Run(ctx context.Context) error
	Address() string
	Crash()
}

// start runs a target until the test ends; the returned function stops it
// gracefully and returns the result of Run.
func start(t *testing.T, r runner) func() error {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- r.Run(ctx) }()
	stop := sync.OnceValue(func() error { cancel(); return <-result })
	t.Cleanup(func() { r.Crash(); _ = stop() })
	return stop
}

func startEngine(t *testing.T, o EngineOptions) (*Engine, func() error) {
	t.Helper()
	o.ID, o.Address, o.StopGrace = "e", "127.0.0.1:0", time.Millisecond
	e, err := NewEngine(o)
	require.NoError(t, err)
	return e, start(t, e)
}

func ask(texts ...string) ChatRequest {
	r := ChatRequest{Model: "m", MaxTokens: 4}
	for _, text := range texts {
		r.Messages = append(r.Messages, Message{Role: "user", Content: text})
	}
	return r
}

// send sends v as JSON and returns status and body; a broken connection has status 0.
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

// joinStream returns the text of a complete stream and its last chunk.
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

// Guards against crossed and incomplete answers, answers without usage or load,
// and cache hits that do not happen.
func TestAnswers(t *testing.T) {
	e, _ := startEngine(t, EngineOptions{MaxBatch: 4})
	var g errgroup.Group
	for i := range 20 {
		g.Go(func() error {
			r := ask(fmt.Sprintf("question %d", i))
			_, body := send(http.MethodPost, e.Address(), chatPath, fmt.Sprint(i), fmt.Sprint(i), r)
			var whole ChatResponse
			if err := json.Unmarshal([]byte(body), &whole); err != nil {
				return err
			}
			if whole.Choices[0].Message.Content != Answer(r) || whole.Load == nil || whole.Usage.CompletionTokens != 4 {
				return fmt.Errorf("answer %d: %s", i, body)
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	require.NotEqual(t, Answer(ask("a", "b")), Answer(ask("ab")))
	next := ask("question 0")
	next.Messages = append(next.Messages, Message{Role: "assistant", Content: Answer(next)}, Message{Role: "user", Content: "and then?"})
	next.Stream = true
	_, body := send(http.MethodPost, e.Address(), chatPath, "0", "s", next)
	text, last := joinStream(t, body)
	require.Equal(t, Answer(next), text)
	require.NotNil(t, last.Load)
	require.Greater(t, last.Usage.CachedTokens, last.Usage.PromptTokens/2, "the earlier turns are cached")
}

// Guards against requests that are accepted although they cannot run.
func TestRefusals(t *testing.T) {
	e, _ := startEngine(t, EngineOptions{Models: []string{"m"}, KVCapacity: 100, DecodeInterval: 20 * time.Millisecond})
	go send(http.MethodPost, e.Address(), chatPath, "p", "busy", ask("x"))
	require.Eventually(t, func() bool { return e.Load().Running == 1 }, time.Second, time.Millisecond)
	other := ask("x")
	other.Model = "other"
	for _, c := range []struct {
		id     string
		body   any
		status int
	}{
		{"1", "no object", http.StatusBadRequest},
		{"2", ChatRequest{Model: "m"}, http.StatusBadRequest},
		{"3", other, http.StatusNotFound},
		{"4", ask(strings.Repeat("x", 1000)), http.StatusRequestEntityTooLarge},
		{"busy", ask("x"), http.StatusConflict},
	} {
		status, body := send(http.MethodPost, e.Address(), chatPath, "p", c.id, c.body)
		require.Equal(t, c.status, status, body)
	}
}

// Guards against priorities that are ignored and a batch that exceeds its size.
func TestPriorityAndBatch(t *testing.T) {
	e, _ := startEngine(t, EngineOptions{MaxBatch: 1, DecodeInterval: 10 * time.Millisecond})
	var mu sync.Mutex
	var finished []int
	var g errgroup.Group
	for i, priority := range []int{9, 5, 1, 3} {
		g.Go(func() error {
			r := ask("x")
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
	require.Equal(t, []int{9, 1, 3, 5}, finished, "the first one ran alone, the others by priority")
}

// Guards against cancelled requests that keep their place or memory, and against
// an answer that looks complete.
func TestCancel(t *testing.T) {
	for _, c := range []struct {
		name           string
		stream, queued bool
	}{{"running", false, false}, {"streaming", true, false}, {"waiting", false, true}, {"waiting stream", true, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e, _ := startEngine(t, EngineOptions{MaxBatch: 1, DecodeInterval: 200 * time.Millisecond})
			if c.queued {
				go send(http.MethodPost, e.Address(), chatPath, "other", "other", ask("x"))
				require.Eventually(t, func() bool { return e.Load().Running == 1 }, time.Second, time.Millisecond)
			}
			r := ask("x")
			r.Stream, r.MaxTokens = c.stream, 100
			answer := make(chan string, 1)
			go func() {
				_, body := send(http.MethodPost, e.Address(), chatPath, "p", "c", r)
				answer <- body
			}()
			require.Eventually(t, func() bool { return e.State().Holds("p") }, time.Second, time.Millisecond)
			status, _ := send(http.MethodDelete, e.Address(), "/v1/requests/c", "", "", nil)
			require.Equal(t, http.StatusNoContent, status)
			body := <-answer
			require.Contains(t, body, "cancelled")
			require.NotContains(t, body, "[DONE]")
			require.Eventually(t, func() bool { return e.Load().Waiting == 0 }, time.Second, time.Millisecond)
			status, _ = send(http.MethodDelete, e.Address(), "/v1/requests/c", "", "", nil)
			require.Equal(t, http.StatusNotFound, status)
		})
	}
}

// Guards against streams that are silent for so long that the entry gives them up.
func TestKeepAlive(t *testing.T) {
	t.Parallel()
	e, _ := startEngine(t, EngineOptions{TokensPerSecond: 100})
	r := ask(strings.Repeat("x", 4*150))
	r.Stream = true
	data, err := json.Marshal(r)
	require.NoError(t, err)
	last, longest := time.Now(), time.Duration(0)
	resp, err := http.Post("http://"+e.Address()+chatPath, "application/json", bytes.NewReader(data))
	require.NoError(t, err)
	defer resp.Body.Close()
	buffer := make([]byte, 4096)
	for err == nil {
		_, err = resp.Body.Read(buffer)
		longest = max(longest, time.Since(last))
		last = time.Now()
	}
	require.ErrorIs(t, err, io.EOF)
	require.Less(t, longest, time.Second)
}

// Guards against memory that exceeds its limit, the wrong victim, and releases
// that leave the memory of a running program behind.
func TestCacheMemory(t *testing.T) {
	e, _ := startEngine(t, EngineOptions{KVCapacity: 250, DecodeInterval: 5 * time.Millisecond})
	run := func(program string) {
		send(http.MethodPost, e.Address(), chatPath, program, "", ask(strings.Repeat("x", 300)))
	}
	order := func(kind, program string) {
		status, body := send(http.MethodPost, e.Address(), "/v1/orders", "", "", target.Order{ID: kind + program, Kind: kind, Program: program, DeadlineMS: 1000})
		require.Equal(t, http.StatusOK, status, body)
	}
	held := func(programs ...string) {
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
	held("a", "b", "c") // three prefixes of 80 tokens fit
	run("d")
	held("a", "c", "d") // b was used least recently
	order("keep", "a")
	run("e")
	held("a", "d", "e") // a is older than c, but kept
	order("release", "a")
	held("d", "e")
	ended := make(chan struct{})
	go func() { defer close(ended); run("f") }()
	require.Eventually(t, func() bool { return e.State().Holds("f") }, time.Second, time.Millisecond)
	order("release", "f")
	<-ended
	held("d", "e")
}

// Guards against prefixes that are evicted while a request uses them.
func TestRunningPrefixIsPinned(t *testing.T) {
	c := newPrefixCache(100, func(string, string, int64) {})
	for _, program := range []string{"a", "b"} {
		c.store(program, []segment{{tokens: 40}})
	}
	c.submit("a")
	c.begin("a")
	require.True(t, c.reserve("c", 50))
	require.Contains(t, c.entries, "a")
	require.NotContains(t, c.entries, "b")
	require.False(t, c.reserve("d", 50))
}

// Guards against keys that reach a target without being noticed, and ordinary
// requests that are taken for keys.
func TestSeen(t *testing.T) {
	for _, c := range []struct {
		name string
		edit func(r *http.Request)
		body string
		seen bool
	}{
		{"clean", func(r *http.Request) { r.Header.Set("Idempotency-Key", "order-12345678901234567890") }, "a key to the door", false},
		{"authorization", func(r *http.Request) { r.Header.Set("Authorization", "Bearer x") }, "", true},
		{"api key header", func(r *http.Request) { r.Header.Set("X-Api-Key", "x") }, "", true},
		{"query", func(r *http.Request) { r.URL.RawQuery = "api_key=x" }, "", true},
		{"pattern in body", func(*http.Request) {}, "use sk-abcdefghijklmnopqrst", true},
		{"issued key in body", func(*http.Request) {}, "x issued-secret y", true},
		{"issued key in header", func(r *http.Request) { r.Header.Set("X-Other", "issued-secret") }, "", true},
	} {
		k := keyWatch{}
		k.addKey("issued-secret")
		r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(c.body))
		c.edit(r)
		k.inspect(r, []byte(c.body))
		require.Equal(t, c.seen, k.snapshot().KeySeen, c.name)
	}
}
