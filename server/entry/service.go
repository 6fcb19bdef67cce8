package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/placement"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/coord/retry"
)

const (
	kindEngine = "engine"
	// maxResponseBytes bounds the answer of a plain service, which is held
	// until its outcome is recorded.
	maxResponseBytes = 16 << 20
	chatPath         = "/v1/chat/completions"
	// storedWriteTimeout bounds the writing of a whole answer to a slow caller.
	storedWriteTimeout = 2 * time.Minute
)

// serveService routes a request to a plain service, or to an engine by name.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	e.running.Add(1)
	defer e.running.Done()
	c, problem := e.accept(w, r)
	var subPath string
	if problem == nil {
		subPath, problem = e.resolveRoute(c, r)
	}
	if problem == nil {
		problem = e.readBody(w, r, c)
	}
	if problem != nil {
		e.refuse(w, c, problem)
		return
	}
	if c.service.Kind == kindEngine {
		if subPath != chatPath || r.Method != http.MethodPost {
			e.refuse(w, c, newProblem("not_found", ExecutedNo, "engines serve POST %s only", chatPath))
			return
		}
		e.chat(w, r, c)
		return
	}
	e.plainCall(w, r, c, subPath)
}

func (e *Entry) refuse(w http.ResponseWriter, c *call, p *Problem) {
	e.metrics.refused(c, p)
	p.write(w)
}

// resolveRoute finds the service, the caller's organisation and the rules of the route.
func (e *Entry) resolveRoute(c *call, r *http.Request) (string, *Problem) {
	name := mux.Vars(r)["service"]
	subPath, ok := servicePath(r, name)
	if !ok {
		return "", newProblem("invalid_request", ExecutedNo, "the path must be canonical, without encoded separators")
	}
	service, ok := c.state.Service(name)
	if !ok {
		if problem := c.authenticate(); problem != nil {
			return "", problem
		}
		return "", newProblem("unknown_service", ExecutedNo, "%q", name)
	}
	c.service = service
	if route, found := matchRoute(service.OpenRoutes, service.Name, r.Method, subPath); found {
		// An open route runs for nobody, also when the caller sends a key.
		c.open = true
		c.nonIdempotent = route.NonIdempotent
		return subPath, nil
	}
	if problem := c.authenticate(); problem != nil {
		return "", problem
	}
	if problem := c.resolveProfile(); problem != nil {
		return "", problem
	}
	route, found := matchRoute(c.profile.Routes, service.Name, r.Method, subPath)
	switch {
	case found:
		c.nonIdempotent = route.NonIdempotent
	case service.Kind != kindEngine:
		// A route that no profile describes is repeated only if HTTP says that it may be.
		c.nonIdempotent = !idempotentMethod(r.Method)
	}
	return subPath, nil
}

// servicePath returns the path below the service. Paths that a target could
// read differently than the route rules do are rejected.
func servicePath(r *http.Request, service string) (string, bool) {
	escaped := strings.ToLower(r.URL.EscapedPath())
	for _, code := range []string{"%2f", "%2e", "%5c", "%00"} {
		if strings.Contains(escaped, code) {
			return "", false
		}
	}
	subPath := strings.TrimPrefix(r.URL.Path, "/services/"+service)
	if subPath == "" {
		subPath = "/"
	}
	clean := path.Clean(subPath)
	if len(subPath) > 1 && strings.HasSuffix(subPath, "/") {
		clean += "/"
	}
	return subPath, clean == subPath && strings.HasPrefix(subPath, "/")
}

// matchRoute returns the most specific route for a request.
func matchRoute(routes []fleet.Route, service, method, subPath string) (fleet.Route, bool) {
	var best fleet.Route
	found := false
	for _, route := range routes {
		// A service's own routes need not name it.
		if (route.Service != "" && route.Service != service) || (route.Method != "" && route.Method != method) {
			continue
		}
		if !underPrefix(subPath, route.PathPrefix) || (found && len(route.PathPrefix) < len(best.PathPrefix)) {
			continue
		}
		best, found = route, true
	}
	return best, found
}

func underPrefix(subPath, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return subPath == prefix || strings.HasPrefix(subPath, prefix+"/")
}

func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// plainCall runs a request of a plain service.
func (e *Entry) plainCall(w http.ResponseWriter, r *http.Request, c *call, subPath string) {
	if problem := c.readIdempotencyKey(r.Header); problem != nil {
		e.refuse(w, c, problem)
		return
	}
	c.fingerprint = c.requestFingerprint(r, subPath)
	callCtx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer e.active.add(c.key.ID, cancel)()

	begin, needed, problem := c.plainProgram(r)
	if problem == nil && !needed {
		problem = e.acquireRate(callCtx, c)
	}
	if problem != nil {
		e.refuse(w, c, problem)
		return
	}
	if needed {
		replay, problem := e.admit(callCtx, c, begin)
		if problem != nil {
			e.refuse(w, c, problem)
			return
		}
		if replay != nil {
			w.Header().Set(headerReplayed, "true")
			writeStored(w, replay)
			e.metrics.answered(c)
			return
		}
	}
	type answer struct {
		stored  *program.StoredResponse
		header  http.Header
		problem *Problem
	}
	answers := make(chan answer, 1)
	runCtx, stop := e.runContext(callCtx, c)
	// The run outlives a caller that leaves when it may not be repeated: its
	// outcome must be recorded for the retry.
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		defer stop()
		stored, header, problem := e.runPlain(runCtx, r, c, subPath)
		answers <- answer{stored, header, problem}
	}()
	select {
	case a := <-answers:
		if a.problem != nil {
			e.refuse(w, c, a.problem)
			return
		}
		copyHeader(w.Header(), a.header)
		writeStored(w, a.stored)
		e.metrics.answered(c)
	case <-callCtx.Done():
		e.refuse(w, c, causeProblem(callCtx, ExecutedUnknown))
	}
}

// runContext returns the context of the dispatch.
func (e *Entry) runContext(callCtx context.Context, c *call) (context.Context, context.CancelFunc) {
	parent := callCtx
	if c.nonIdempotent {
		parent = context.WithoutCancel(callCtx)
	}
	return context.WithTimeoutCause(parent, e.timeLimit(c), errCallTimeout)
}

// plainProgram says which program the call belongs to, and whether it needs a
// record at all: an idempotent call outside a program needs none.
func (c *call) plainProgram(r *http.Request) (begin program.BeginCall, needed bool, problem *Problem) {
	if !c.open {
		id, named, problem := namedProgram(r.Header)
		if problem != nil || named {
			return program.BeginCall{Program: program.Ref{ID: id}}, named, problem
		}
	}
	if !c.nonIdempotent && c.idempotency == "" {
		return program.BeginCall{}, false, nil
	}
	// The record of a call outside a program lies under an id that its retry finds again.
	id := "body-" + strconv.FormatUint(c.fingerprint, 16)
	if c.idempotency != "" {
		id = "key-" + strconv.FormatUint(xxhash.Sum64String(c.key.ID+"\x00"+c.idempotency), 16)
	} else if c.resendUnidentified() {
		id = "call-" + c.id
	}
	return program.BeginCall{Program: program.Ref{ID: derivedPrefix + id}}, true, nil
}

// resendUnidentified says that a retry of the call cannot be told from a new request.
func (c *call) resendUnidentified() bool {
	return !c.open && c.profile.Resend.Identify != identifyBody
}

// requestFingerprint identifies the request's contents: equal for a retry.
func (c *call) requestFingerprint(r *http.Request, subPath string) uint64 {
	d := xxhash.New()
	for _, part := range []string{c.key.ID, c.service.Name, r.Method, subPath, r.URL.RawQuery} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.body)
	return d.Sum64()
}

// runPlain dispatches the call and records its outcome before it returns the answer.
func (e *Entry) runPlain(ctx context.Context, r *http.Request, c *call, subPath string) (*program.StoredResponse, http.Header, *Problem) {
	var stored *program.StoredResponse
	var header http.Header
	request := targetRequest{
		method:        r.Method,
		header:        c.targetHeader(r.Header),
		body:          forwardedBody(c.body, c.secrets),
		nonIdempotent: c.nonIdempotent,
	}
	pathAndQuery := (&url.URL{Path: subPath, RawQuery: forwardedQuery(r.URL.RawQuery, c.secrets)}).String()
	result := e.execute(ctx, c, dispatch{
		prompt: 1,
		placed: func(placement.Decision) {},
		send: func(ctx context.Context, _, address string, _ int) attempt {
			request.url = "http://" + address + pathAndQuery
			var a attempt
			stored, header, a = e.exchangePlain(ctx, c, request)
			return a
		},
	})
	// Plain services hold no engine memory, so no target is recorded to release it from.
	finish := program.FinishCall{Outcome: result.settled}
	if result.problem == nil && e.resendWindow(c) > 0 {
		finish.Response = stored
	}
	if err := e.finish(context.WithoutCancel(ctx), c, finish); err != nil && result.problem == nil {
		return nil, nil, newProblem("outcome_not_recorded", ExecutedUnknown, "%v", err)
	}
	return stored, header, result.problem
}

// exchangePlain sends the request to one target and reads the whole answer.
func (e *Entry) exchangePlain(ctx context.Context, c *call, request targetRequest) (*program.StoredResponse, http.Header, attempt) {
	x, result, err := e.client.open(ctx, request, false)
	if err != nil {
		return nil, nil, attempt{result: result, err: err}
	}
	defer x.close()
	if rejected(x.response, c.nonIdempotent) {
		return nil, nil, attempt{result: retry.Rejected, err: fmt.Errorf("target answered %s", x.response.Status)}
	}
	if echoed := x.response.Header.Get(headerRequest); echoed != "" && echoed != c.id {
		return nil, nil, attempt{result: retry.NoAnswer, err: fmt.Errorf("target answered request %s", echoed)}
	}
	body, err := x.readAll(maxResponseBytes)
	if err != nil {
		return nil, nil, attempt{result: x.classify(err, true), err: err}
	}
	stored := &program.StoredResponse{Status: x.response.StatusCode, ContentType: x.response.Header.Get("Content-Type"), Body: body}
	return stored, responseHeader(x.response.Header), attempt{result: retry.Completed}
}

// rejected says whether the target itself states that it did not run the
// request. A plain 503 of a non-idempotent call proves nothing.
func rejected(r *http.Response, nonIdempotent bool) bool {
	switch r.StatusCode {
	case http.StatusTooManyRequests:
		return true
	case http.StatusServiceUnavailable:
		return !nonIdempotent
	}
	return false
}

func (c *call) targetHeader(h http.Header) http.Header {
	out := forwardedHeaders(h, c.secrets)
	out.Set(headerRequest, c.id)
	return out
}

func responseHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range append([]string{headerRequest, headerTargetProgram}, hopHeaders...) {
		out.Del(name)
	}
	return out
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}

func writeStored(w http.ResponseWriter, s *program.StoredResponse) {
	if s.ContentType != "" {
		w.Header().Set("Content-Type", s.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(s.Body)))
	w.WriteHeader(s.Status)
	defer limitWrite(w, storedWriteTimeout)()
	// A failed write means that the caller is gone; its retry gets the recorded answer.
	_, _ = w.Write(s.Body)
}
