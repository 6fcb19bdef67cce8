package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
)

const (
	chatBody   = `{"model":"m1","messages":[{"role":"user","content":"hello"}]}`
	streamBody = `{"model":"m1","stream":true,"messages":[{"role":"user","content":"hello"}]}`
)

// Guards against bad input that crashes, loses something, or is reported as run.
func TestRefusals(t *testing.T) {
	reached := atomic.Int32{}
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	auth := []string{"Authorization", "Bearer " + testSecret}
	for _, c := range []struct {
		name, method, path, body string
		headers                  []string
		code                     string
		status                   int
	}{
		{"missing key", "POST", "/v1/chat/completions", chatBody, nil, "missing_key", 401},
		{"unknown key", "POST", "/v1/chat/completions", chatBody, []string{"Authorization", "Bearer nobody"}, "unknown_key", 401},
		{"broken JSON", "POST", "/v1/chat/completions", `{"model":`, auth, "invalid_json", 400},
		{"wrong type", "POST", "/v1/chat/completions", `{"messages":"hi"}`, auth, "invalid_request", 400},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"m1"}`, auth, "invalid_request", 400},
		{"unknown model", "POST", "/v1/chat/completions", strings.Replace(chatBody, "m1", "m9", 1), auth, "unknown_model", 404},
		{"oversized body", "POST", "/v1/chat/completions", strings.Repeat("x", 5000), auth, "body_too_large", 413},
		{"unknown service", "POST", "/services/none/x", "", auth, "unknown_service", 404},
		{"encoded traversal", "GET", "/services/app/status%2f..%2fpickups", "", nil, "invalid_request", 400},
		{"traversal", "GET", "/services/app/status/../pickups", "", nil, "invalid_request", 400},
		{"look-alike of an open route", "GET", "/services/app/statusx", "", nil, "missing_key", 401},
		{"program id with a slash", "POST", "/v1/chat/completions", chatBody, append([]string{"X-Program-Id", "a/b"}, auth...), "invalid_request", 400},
		{"program id of the derived form", "POST", "/services/app/pickups", "{}", append([]string{"X-Program-Id", "~key-1"}, auth...), "invalid_request", 400},
		{"oversized idempotency key", "POST", "/services/app/pickups", "{}", append([]string{"Idempotency-Key", strings.Repeat("k", 256)}, auth...), "invalid_request", 400},
		{"unknown path", "GET", "/v2/x", "", auth, "not_found", 404},
		{"wrong method", "PATCH", "/v1/entries", "", auth, "method_not_allowed", 405},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp := f.send(c.method, c.path, c.body, c.headers...)
			p := f.problem(resp)
			require.Equal(t, []any{c.code, c.status, ExecutedNo}, []any{p.Code, resp.StatusCode, p.Executed}, p.Detail)
		})
	}
	require.Zero(t, reached.Load())
}

// Guards against work that is accepted although the VM or the organisation may not run it now.
func TestRefusedForNow(t *testing.T) {
	for _, c := range []struct {
		name  string
		set   func(*fixture)
		code  string
		after string
	}{
		{"over the rate", func(f *fixture) { f.granted.Store(false) }, "rate_limited", "2"},
		{"lease lapsed", func(f *fixture) { f.held.Store(false) }, "configuration_stale", "1"},
		{"no target", func(f *fixture) { f.targets.list = nil }, "no_target", "1"},
		{"target unreachable", func(f *fixture) { f.targets.list[0].address = "127.0.0.1:1" }, "target_failed", "1"},
		{"program refused", func(f *fixture) { f.records.refusal = &program.Refusal{Code: "budget_exhausted", Executed: "no"} }, "budget_exhausted", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, streaming(true, "a"))
			c.set(f)
			resp := f.authorized("POST", "/v1/chat/completions", chatBody)
			p := f.problem(resp)
			require.Equal(t, []any{c.code, c.after, ExecutedNo}, []any{p.Code, resp.Header.Get("Retry-After"), p.Executed}, p.Detail)
			if f.records.refusal == nil && len(f.records.begun) > 0 {
				require.Equal(t, program.NotRun, f.records.waitSettled(t, 1)[0].Outcome)
			}
		})
	}
}

// Guards against an answer that differs between the two forms, and history that lacks the turn.
func TestChatAnswers(t *testing.T) {
	f := newFixture(t, streaming(true, "one ", "two"))
	whole := readAll(t, f.authorized("POST", "/v1/chat/completions", strings.Replace(chatBody, "m1", "small", 1)).Body)
	require.Contains(t, whole, `"content":"one two"`)
	require.Contains(t, whole, `"total_tokens":9`)
	streamed := readAll(t, f.authorized("POST", "/v1/chat/completions", streamBody).Body)
	require.Contains(t, streamed, `"content":"one "`)
	require.True(t, strings.HasSuffix(streamed, "data: [DONE]\n\n"), streamed)
	for _, finished := range f.records.settled() {
		require.Equal(t, program.Completed, finished.Outcome)
		require.EqualValues(t, 9, finished.TokensUsed)
		require.Contains(t, string(finished.HistoryDelta), `"content":"hello"`)
		require.Contains(t, string(finished.HistoryDelta), `one two`)
	}
}

// Guards against a second call of a program without header that is not recognised.
func TestLineageFollowsTheConversation(t *testing.T) {
	f := newFixture(t, streaming(true, "one ", "two"))
	f.authorized("POST", "/v1/chat/completions", chatBody)
	next := `{"model":"m1","messages":[{"role":"user","content":"hello"}, {"content":"one two","role":"assistant"},{"role":"user","content":"more"}]}`
	f.authorized("POST", "/v1/chat/completions", next)
	require.Len(t, f.records.begun, 2)
	first, second := f.records.begun[0], f.records.begun[1]
	require.True(t, first.Lineage && second.Lineage)
	require.Zero(t, first.Head)
	require.Equal(t, first.Program, second.Program)
	require.Equal(t, f.records.settled()[0].Head, second.Head)
	require.NotContains(t, string(f.records.settled()[1].HistoryDelta), `"hello"`)
}

// Guards against a second run, a stitched answer and a false "not run" when targets fail.
func TestTargetFailures(t *testing.T) {
	garbage := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentTypeSSE)
		fmt.Fprint(w, "data: {\n\n")
	}
	crossed := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(headerRequest, "another-request")
		streaming(true, "not yours")(w, r)
	}
	busy := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	good := streaming(true, "good")
	for _, c := range []struct {
		name     string
		body     string
		targets  []http.HandlerFunc
		want     string // part of the answer; empty: the code below
		code     string
		executed Executed
	}{
		{"crash before the answer", chatBody, []http.HandlerFunc{crash, good}, "good", "", ""},
		{"rejected", chatBody, []http.HandlerFunc{busy, good}, "good", "", ""},
		{"rejected by all", chatBody, []http.HandlerFunc{busy, busy, busy}, "", "target_unreachable", ExecutedNo},
		{"crossed answer", chatBody, []http.HandlerFunc{crossed, good}, "good", "", ""},
		{"broken stream, nothing shown yet", chatBody, []http.HandlerFunc{streaming(false, "bad"), good}, "good", "", ""},
		{"crashes each target", chatBody, []http.HandlerFunc{crash, crash, good}, "", "target_failed", ExecutedUnknown},
		{"garbage", chatBody, []http.HandlerFunc{garbage, good}, "good", "", ""},
		{"broken stream, a part was shown", streamBody, []http.HandlerFunc{streaming(false, "bad"), good}, "", "target_failed", ExecutedUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.targets...)
			text := readAll(t, f.authorized("POST", "/v1/chat/completions", c.body).Body)
			if c.want != "" {
				require.Contains(t, text, c.want)
				require.NotContains(t, text, "bad")
				require.NotContains(t, text, "not yours")
				return
			}
			require.NotContains(t, text, "good")
			require.Contains(t, text, fmt.Sprintf(`"code":%q,"executed":%q`, c.code, c.executed))
		})
	}
}

// Guards against a non-idempotent request that reaches a second target.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for _, c := range []struct {
		name     string
		first    http.HandlerFunc
		outcome  program.Outcome
		executed Executed
	}{
		{"crash", crash, program.Unknown, ExecutedUnknown},
		{"unclear refusal", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, program.Completed, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			second := atomic.Int32{}
			f := newFixture(t, c.first, func(http.ResponseWriter, *http.Request) { second.Add(1) })
			resp := f.authorized("POST", "/services/app/pickups", "{}")
			if c.executed != "" {
				require.Equal(t, c.executed, f.problem(resp).Executed)
			}
			require.Zero(t, second.Load())
			require.True(t, f.records.begun[0].NonIdempotent)
			require.Equal(t, c.outcome, f.records.waitSettled(t, 1)[0].Outcome)
		})
	}
}

// Guards against a caller that leaves during a commitment: the run goes on and its answer is recorded for the retry.
func TestNonIdempotentOutlivesItsCaller(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { <-release; fmt.Fprint(w, "confirmed") })
	req, err := http.NewRequest("POST", f.url+"/services/app/pickups", strings.NewReader("{}"))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testSecret)
	_, err = (&http.Client{Timeout: 100 * time.Millisecond}).Do(req)
	require.Error(t, err)
	close(release)
	finished := f.records.waitSettled(t, 1)[0]
	require.Equal(t, program.Completed, finished.Outcome)
	require.Equal(t, "confirmed", string(finished.Response.Body))
}

// Guards against a target that sees a caller's key in any part of the request.
func TestTargetNeverSeesTheKey(t *testing.T) {
	var seen atomic.Value
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen.Store(fmt.Sprint(r.URL, r.Header, string(body)))
		streaming(true, "ok")(w, r)
	})
	headers := []string{"X-Api-Key", testSecret, "Cookie", "k=" + testSecret, "X-Custom", "prefix " + testSecret, "X-Kept", "kept"}
	for _, c := range []struct{ path, body string }{
		{"/v1/chat/completions?key=" + testSecret, strings.Replace(chatBody, "hello", "my key is "+testSecret, 1)},
		{"/services/app/pickups?a=1&key=" + testSecret, `{"key":"` + testSecret + `"}`},
	} {
		f.authorized("POST", c.path, c.body, headers...)
		require.NotContains(t, seen.Load(), testSecret)
		require.Contains(t, seen.Load(), "kept")
	}
	f.send("GET", "/services/app/status?x="+testSecret, "", "Authorization", "Bearer "+testSecret)
	require.NotContains(t, seen.Load(), testSecret)
	f.authorized("POST", "/services/app/feedback", "{}")
	require.Len(t, f.records.begun, 3)
	require.Empty(t, f.records.begun[2].Program.Organisation, "an open route must not run as the key's organisation")
}

// Guards against a stream that goes on after its key was withdrawn or the VM was cut off.
func TestOpenStreamsAreCut(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  func(*fixture)
		code string
	}{
		{"key withdrawn", func(f *fixture) { f.apply(fleet.Command{WithdrawKey: &fleet.ObjectRef{ID: "k1"}}) }, "key_withdrawn"},
		{"lease lapsed", func(f *fixture) { f.held.Store(false) }, "configuration_stale"},
	} {
		t.Run(c.name, func(t *testing.T) {
			left := make(chan struct{})
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				streamPart(w, "first")
				<-r.Context().Done()
				close(left)
			})
			resp := f.authorized("POST", "/v1/chat/completions", streamBody)
			buf := make([]byte, 16)
			_, err := io.ReadFull(resp.Body, buf)
			require.NoError(t, err)
			start := time.Now()
			c.cut(f)
			rest := readAll(t, resp.Body)
			require.Contains(t, rest, `"code":"`+c.code+`","executed":"unknown"`)
			require.Less(t, time.Since(start), 3*time.Second)
			select {
			case <-left:
			case <-time.After(3 * time.Second):
				t.Fatal("the target still runs the request")
			}
		})
	}
}

func streamPart(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", contentTypeSSE)
	fmt.Fprintf(w, "data: {\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", text)
	w.(http.Flusher).Flush()
}

// Guards against a stream that went silent and holds its caller for good, and
// against a long quiet generation that is taken for one.
func TestSilentConnection(t *testing.T) {
	silent := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", contentTypeSSE)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}
	quiet := func(w http.ResponseWriter, r *http.Request) {
		for range int((silenceLimit + time.Second) / time.Second) {
			fmt.Fprint(w, ": keep-alive\n\n")
			w.Header().Set("Content-Type", contentTypeSSE)
			w.(http.Flusher).Flush()
			time.Sleep(time.Second)
		}
		streaming(true, "late")(w, r)
	}
	for name, c := range map[string]struct {
		targets []http.HandlerFunc
		want    string
	}{
		"silent": {[]http.HandlerFunc{silent, streaming(true, "second")}, "second"},
		"quiet": {[]http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", contentTypeSSE)
			quiet(w, r)
		}}, "late"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, c.targets...)
			f.apply(fleet.Command{PutProfile: &fleet.Profile{Name: "default", Organisation: "pantry", Models: []string{"m1"}, CallTimeoutMS: 60_000}})
			require.Contains(t, readAll(t, f.authorized("POST", "/v1/chat/completions", chatBody).Body), c.want)
		})
	}
}

// Guards against a refusal that is held up while the owner cannot record it.
func TestRefusalDoesNotWaitForItsRecord(t *testing.T) {
	f := newFixture(t)
	f.records.blocked = make(chan struct{})
	defer close(f.records.blocked)
	start := time.Now()
	require.Equal(t, "no_target", f.problem(f.authorized("POST", "/v1/chat/completions", chatBody)).Code)
	require.Less(t, time.Since(start), time.Second)
}

// Guards against an answer that waits for its record although this VM was cut
// off: the caller must learn within 3 s that it has to look elsewhere.
func TestLapsedLeaseEndsTheWaitForTheRecord(t *testing.T) {
	f := newFixture(t, streaming(true, "x"))
	f.records.blocked = make(chan struct{})
	defer close(f.records.blocked)
	time.AfterFunc(100*time.Millisecond, func() { f.held.Store(false) })
	start := time.Now()
	p := f.problem(f.authorized("POST", "/v1/chat/completions", chatBody))
	require.Equal(t, []any{"configuration_stale", ExecutedUnknown}, []any{p.Code, p.Executed})
	require.Less(t, time.Since(start), 3*time.Second)
}

// Guards against a retry that runs again instead of getting the recorded answer.
func TestReplay(t *testing.T) {
	f := newFixture(t, streaming(true, "x"))
	whole := readAll(t, f.authorized("POST", "/v1/chat/completions", chatBody, "Idempotency-Key", "i1").Body)
	require.Equal(t, whole, string(f.records.settled()[0].Response.Body))
	f.records.replay = f.records.settled()[0].Response
	f.targets.list = nil
	require.Equal(t, whole, readAll(t, f.authorized("POST", "/v1/chat/completions", chatBody, "Idempotency-Key", "i1").Body))
	streamed := f.authorized("POST", "/v1/chat/completions", streamBody, "Idempotency-Key", "i1")
	require.Equal(t, "true", streamed.Header.Get(headerReplayed))
	require.Contains(t, readAll(t, streamed.Body), `"content":"x"`)
}

// Guards against an answer that is longer than the program's budget has reserved for it.
func TestAnswerStaysWithinTheReservation(t *testing.T) {
	prompt := int64(len(`[{"role":"user","content":"hello"}]`)/bytesPerToken + 1)
	for _, c := range []struct {
		limit int64
		asked string
		want  string
	}{
		{0, `,"max_tokens":50`, `"max_tokens":50`},
		{prompt + 20, `,"max_tokens":50`, `"max_tokens":20`},
		{prompt + 20, `,"max_completion_tokens":50`, `"max_tokens":20`},
		{prompt + 20, ``, `"max_tokens":20`},
		{prompt, ``, ""},
	} {
		var seen string
		f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
			seen = readAll(t, r.Body)
			streaming(true, "x")(w, r)
		})
		f.records.limit = c.limit
		resp := f.authorized("POST", "/v1/chat/completions", strings.Replace(chatBody, `"m1"`, `"m1"`+c.asked, 1))
		if c.want == "" {
			require.Equal(t, "budget_exhausted", f.problem(resp).Code)
			require.Equal(t, program.NotRun, f.records.waitSettled(t, 1)[0].Outcome)
			continue
		}
		readAll(t, resp.Body)
		require.Contains(t, seen, c.want)
	}
}

// Guards against input that panics the parser or a head that depends on white space.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(chatBody))
	f.Add([]byte(`{"messages":[{"role":"assistant","tool_calls":[{"id":"1"}]}],"max_tokens":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, problem := parseChat(body)
		if problem != nil {
			require.Equal(t, ExecutedNo, problem.Executed)
			return
		}
		_, err := request.targetBody(0, nil)
		require.NoError(t, err)
	})
}
