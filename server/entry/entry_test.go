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

// TestRefusals checks that each kind of invalid request gets its problem code, is reported
// as not executed and reaches no target.
func TestRefusals(t *testing.T) {
	targetRequests := atomic.Int32{}
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { targetRequests.Add(1) })
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
			p := f.decodeProblem(resp)
			require.Equal(t, []any{c.code, c.status, ExecutedNo}, []any{p.Code, resp.StatusCode, p.Executed}, p.Detail)
		})
	}
	require.Zero(t, targetRequests.Load())
}

// TestRefusedForNow checks the code and the Retry-After header of valid requests that
// cannot run at present, and that a call that had begun is recorded as not run.
func TestRefusedForNow(t *testing.T) {
	for _, c := range []struct {
		name       string
		setUp      func(*fixture)
		code       string
		retryAfter string
	}{
		{"over the rate", func(f *fixture) { f.rateGranted.Store(false) }, "rate_limited", "2"},
		{"lease lapsed", func(f *fixture) { f.leaseValid.Store(false) }, "configuration_stale", "1"},
		{"no target", func(f *fixture) { f.targets.list = nil }, "no_target", "1"},
		{"target unreachable", func(f *fixture) { f.targets.list[0].address = "127.0.0.1:1" }, "target_failed", "1"},
		{"program refused", func(f *fixture) { f.programs.refusal = &program.Refusal{Code: "budget_exhausted", Executed: "no"} }, "budget_exhausted", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, streamingEngine(true, "a"))
			c.setUp(f)
			resp := f.sendAuthorized("POST", "/v1/chat/completions", chatBody)
			p := f.decodeProblem(resp)
			require.Equal(t, []any{c.code, c.retryAfter, ExecutedNo}, []any{p.Code, resp.Header.Get("Retry-After"), p.Executed}, p.Detail)
			if f.programs.refusal == nil && len(f.programs.beginCalls) > 0 {
				require.Equal(t, program.NotRun, f.programs.waitFinished(t, 1)[0].Outcome)
			}
		})
	}
}

// TestChatAnswers checks that the response has the same content with and without
// streaming, and that the call is recorded with its usage and history.
func TestChatAnswers(t *testing.T) {
	f := newFixture(t, streamingEngine(true, "one ", "two"))
	unstreamed := readAll(t, f.sendAuthorized("POST", "/v1/chat/completions", strings.Replace(chatBody, "m1", "small", 1)).Body)
	require.Contains(t, unstreamed, `"content":"one two"`)
	require.Contains(t, unstreamed, `"total_tokens":9`)
	streamed := readAll(t, f.sendAuthorized("POST", "/v1/chat/completions", streamBody).Body)
	require.Contains(t, streamed, `"content":"one "`)
	require.True(t, strings.HasSuffix(streamed, "data: [DONE]\n\n"), streamed)
	for _, finished := range f.programs.finishedCalls() {
		require.Equal(t, program.Completed, finished.Outcome)
		require.EqualValues(t, 9, finished.TokensUsed)
		require.Contains(t, string(finished.HistoryDelta), `"content":"hello"`)
		require.Contains(t, string(finished.HistoryDelta), `one two`)
	}
}

// TestLineageFollowsTheConversation checks that a call that continues a conversation but
// has no program header is assigned to the program of the conversation's first call.
func TestLineageFollowsTheConversation(t *testing.T) {
	f := newFixture(t, streamingEngine(true, "one ", "two"))
	f.sendAuthorized("POST", "/v1/chat/completions", chatBody)
	next := `{"model":"m1","messages":[{"role":"user","content":"hello"}, {"content":"one two","role":"assistant"},{"role":"user","content":"more"}]}`
	f.sendAuthorized("POST", "/v1/chat/completions", next)
	require.Len(t, f.programs.beginCalls, 2)
	first, second := f.programs.beginCalls[0], f.programs.beginCalls[1]
	require.True(t, first.Lineage && second.Lineage)
	require.Zero(t, first.Head)
	require.Equal(t, first.Program, second.Program)
	require.Equal(t, f.programs.finishedCalls()[0].Head, second.Head)
	require.NotContains(t, string(f.programs.finishedCalls()[1].HistoryDelta), `"hello"`)
}

// TestTargetFailures checks for each failure of a target whether the request is sent to
// another target. The caller must never get parts of two answers, and a request that may
// have run must not be reported as not executed.
func TestTargetFailures(t *testing.T) {
	invalidJSON := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentTypeSSE)
		fmt.Fprint(w, "data: {\n\n")
	}
	otherRequest := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(headerRequest, "another-request")
		streamingEngine(true, "not yours")(w, r)
	}
	busy := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	working := streamingEngine(true, "good")
	for _, c := range []struct {
		name     string
		body     string
		targets  []http.HandlerFunc
		want     string // part of the response; if empty, code is expected
		code     string
		executed Executed
	}{
		{"crash before the answer", chatBody, []http.HandlerFunc{breakConnection, working}, "good", "", ""},
		{"rejected", chatBody, []http.HandlerFunc{busy, working}, "good", "", ""},
		{"rejected by all", chatBody, []http.HandlerFunc{busy, busy, busy}, "", "target_unreachable", ExecutedNo},
		{"answer to another request", chatBody, []http.HandlerFunc{otherRequest, working}, "good", "", ""},
		{"broken stream, nothing sent to the caller", chatBody, []http.HandlerFunc{streamingEngine(false, "bad"), working}, "good", "", ""},
		{"crashes each target", chatBody, []http.HandlerFunc{breakConnection, breakConnection, working}, "", "target_failed", ExecutedUnknown},
		{"garbage", chatBody, []http.HandlerFunc{invalidJSON, working}, "good", "", ""},
		{"broken stream, a part sent to the caller", streamBody, []http.HandlerFunc{streamingEngine(false, "bad"), working}, "", "target_failed", ExecutedUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.targets...)
			text := readAll(t, f.sendAuthorized("POST", "/v1/chat/completions", c.body).Body)
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

// TestNonIdempotentRunsOnce checks that a non-idempotent request whose first target may
// have run it is not sent to a second target.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for _, c := range []struct {
		name     string
		first    http.HandlerFunc
		outcome  program.Outcome
		executed Executed
	}{
		{"crash", breakConnection, program.Unknown, ExecutedUnknown},
		{"503 without proof that the request did not run", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, program.Completed, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			secondTargetRequests := atomic.Int32{}
			f := newFixture(t, c.first, func(http.ResponseWriter, *http.Request) { secondTargetRequests.Add(1) })
			resp := f.sendAuthorized("POST", "/services/app/pickups", "{}")
			if c.executed != "" {
				require.Equal(t, c.executed, f.decodeProblem(resp).Executed)
			}
			require.Zero(t, secondTargetRequests.Load())
			require.True(t, f.programs.beginCalls[0].NonIdempotent)
			require.Equal(t, c.outcome, f.programs.waitFinished(t, 1)[0].Outcome)
		})
	}
}

// TestNonIdempotentOutlivesItsCaller checks that a non-idempotent call continues after its
// caller has disconnected, and that its response is recorded for the retry.
func TestNonIdempotentOutlivesItsCaller(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { <-release; fmt.Fprint(w, "confirmed") })
	req, err := http.NewRequest("POST", f.url+"/services/app/pickups", strings.NewReader("{}"))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testSecret)
	_, err = (&http.Client{Timeout: 100 * time.Millisecond}).Do(req)
	require.Error(t, err)
	close(release)
	finished := f.programs.waitFinished(t, 1)[0]
	require.Equal(t, program.Completed, finished.Outcome)
	require.Equal(t, "confirmed", string(finished.Response.Body))
}

// TestTargetNeverSeesTheKey checks that the caller's key is removed from the URL, the
// headers and the body of a forwarded request.
func TestTargetNeverSeesTheKey(t *testing.T) {
	var received atomic.Value
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received.Store(fmt.Sprint(r.URL, r.Header, string(body)))
		streamingEngine(true, "ok")(w, r)
	})
	headers := []string{"X-Api-Key", testSecret, "Cookie", "k=" + testSecret, "X-Custom", "prefix " + testSecret, "X-Kept", "kept"}
	for _, c := range []struct{ path, body string }{
		{"/v1/chat/completions?key=" + testSecret, strings.Replace(chatBody, "hello", "my key is "+testSecret, 1)},
		{"/services/app/pickups?a=1&key=" + testSecret, `{"key":"` + testSecret + `"}`},
	} {
		f.sendAuthorized("POST", c.path, c.body, headers...)
		require.NotContains(t, received.Load(), testSecret)
		require.Contains(t, received.Load(), "kept")
	}
	f.send("GET", "/services/app/status?x="+testSecret, "", "Authorization", "Bearer "+testSecret)
	require.NotContains(t, received.Load(), testSecret)
	f.sendAuthorized("POST", "/services/app/feedback", "{}")
	require.Len(t, f.programs.beginCalls, 3)
	require.Empty(t, f.programs.beginCalls[2].Program.Organisation, "an open route must not run as the key's organisation")
}

// TestOpenStreamsAreCut checks that a running stream ends within 3 s, also at the target,
// after its key was withdrawn or the VM's lease has lapsed.
func TestOpenStreamsAreCut(t *testing.T) {
	for _, c := range []struct {
		name   string
		revoke func(*fixture)
		code   string
	}{
		{"key withdrawn", func(f *fixture) { f.apply(fleet.Command{WithdrawKey: &fleet.ObjectRef{ID: "k1"}}) }, "key_withdrawn"},
		{"lease lapsed", func(f *fixture) { f.leaseValid.Store(false) }, "configuration_stale"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cancelled := make(chan struct{})
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				writeChunk(w, "first")
				<-r.Context().Done()
				close(cancelled)
			})
			resp := f.sendAuthorized("POST", "/v1/chat/completions", streamBody)
			buf := make([]byte, 16)
			_, err := io.ReadFull(resp.Body, buf)
			require.NoError(t, err)
			start := time.Now()
			c.revoke(f)
			remaining := readAll(t, resp.Body)
			require.Contains(t, remaining, `"code":"`+c.code+`","executed":"unknown"`)
			require.Less(t, time.Since(start), 3*time.Second)
			select {
			case <-cancelled:
			case <-time.After(3 * time.Second):
				t.Fatal("the target still runs the request")
			}
		})
	}
}

// writeChunk sends one event of a streamed completion.
func writeChunk(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", contentTypeSSE)
	fmt.Fprintf(w, "data: {\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", text)
	w.(http.Flusher).Flush()
}

// TestSilentConnection checks that a stream that delivers no bytes is ended and the request
// is sent to another target, while a long generation that sends only keep-alives continues.
func TestSilentConnection(t *testing.T) {
	silent := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", contentTypeSSE)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}
	keepAliveOnly := func(w http.ResponseWriter, r *http.Request) {
		for range int((silenceTimeout + time.Second) / time.Second) {
			fmt.Fprint(w, ": keep-alive\n\n")
			w.Header().Set("Content-Type", contentTypeSSE)
			w.(http.Flusher).Flush()
			time.Sleep(time.Second)
		}
		streamingEngine(true, "late")(w, r)
	}
	for name, c := range map[string]struct {
		targets []http.HandlerFunc
		want    string
	}{
		"silent": {[]http.HandlerFunc{silent, streamingEngine(true, "second")}, "second"},
		"quiet": {[]http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", contentTypeSSE)
			keepAliveOnly(w, r)
		}}, "late"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, c.targets...)
			f.apply(fleet.Command{PutProfile: &fleet.Profile{Name: "default", Organisation: "pantry", Models: []string{"m1"}, CallTimeoutMS: 60_000}})
			require.Contains(t, readAll(t, f.sendAuthorized("POST", "/v1/chat/completions", chatBody).Body), c.want)
		})
	}
}

// TestRefusalDoesNotWaitForItsRecord checks that a refusal is sent at once although the
// owner cannot record the outcome.
func TestRefusalDoesNotWaitForItsRecord(t *testing.T) {
	f := newFixture(t)
	f.programs.finishBlocked = make(chan struct{})
	defer close(f.programs.finishBlocked)
	start := time.Now()
	require.Equal(t, "no_target", f.decodeProblem(f.sendAuthorized("POST", "/v1/chat/completions", chatBody)).Code)
	require.Less(t, time.Since(start), time.Second)
}

// TestLapsedLeaseEndsTheWaitForTheRecord checks that an answered call whose outcome cannot
// be recorded ends with a problem within 3 s after the VM's lease has lapsed, so that the
// caller can use another entry.
func TestLapsedLeaseEndsTheWaitForTheRecord(t *testing.T) {
	f := newFixture(t, streamingEngine(true, "x"))
	f.programs.finishBlocked = make(chan struct{})
	defer close(f.programs.finishBlocked)
	time.AfterFunc(100*time.Millisecond, func() { f.leaseValid.Store(false) })
	start := time.Now()
	p := f.decodeProblem(f.sendAuthorized("POST", "/v1/chat/completions", chatBody))
	require.Equal(t, []any{"configuration_stale", ExecutedUnknown}, []any{p.Code, p.Executed})
	require.Less(t, time.Since(start), 3*time.Second)
}

// TestReplay checks that a retry gets the recorded response, with and without streaming,
// and does not run again.
func TestReplay(t *testing.T) {
	f := newFixture(t, streamingEngine(true, "x"))
	unstreamed := readAll(t, f.sendAuthorized("POST", "/v1/chat/completions", chatBody, "Idempotency-Key", "i1").Body)
	require.Equal(t, unstreamed, string(f.programs.finishedCalls()[0].Response.Body))
	f.programs.replay = f.programs.finishedCalls()[0].Response
	f.targets.list = nil
	require.Equal(t, unstreamed, readAll(t, f.sendAuthorized("POST", "/v1/chat/completions", chatBody, "Idempotency-Key", "i1").Body))
	streamed := f.sendAuthorized("POST", "/v1/chat/completions", streamBody, "Idempotency-Key", "i1")
	require.Equal(t, "true", streamed.Header.Get(headerReplayed))
	require.Contains(t, readAll(t, streamed.Body), `"content":"x"`)
}

// TestAnswerStaysWithinTheReservation checks that the limit that the engine gets for the
// answer never exceeds the tokens reserved for the call.
func TestAnswerStaysWithinTheReservation(t *testing.T) {
	promptTokens := int64(len(`[{"role":"user","content":"hello"}]`)/bytesPerToken + 1)
	for _, c := range []struct {
		limit     int64
		requested string
		want      string
	}{
		{0, `,"max_tokens":50`, `"max_tokens":50`},
		{promptTokens + 20, `,"max_tokens":50`, `"max_tokens":20`},
		{promptTokens + 20, `,"max_completion_tokens":50`, `"max_tokens":20`},
		{promptTokens + 20, ``, `"max_tokens":20`},
		{promptTokens, ``, ""},
	} {
		var received string
		f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
			received = readAll(t, r.Body)
			streamingEngine(true, "x")(w, r)
		})
		f.programs.tokenLimit = c.limit
		resp := f.sendAuthorized("POST", "/v1/chat/completions", strings.Replace(chatBody, `"m1"`, `"m1"`+c.requested, 1))
		if c.want == "" {
			require.Equal(t, "budget_exhausted", f.decodeProblem(resp).Code)
			require.Equal(t, program.NotRun, f.programs.waitFinished(t, 1)[0].Outcome)
			continue
		}
		readAll(t, resp.Body)
		require.Contains(t, received, c.want)
	}
}

// FuzzParseChat checks that no input panics the parser, that rejected input is reported as
// not executed, and that accepted input can be encoded for an engine.
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
