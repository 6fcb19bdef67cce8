package entry

import (
	"context"
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
	// maxResponseBytes limits a response, whose content is kept in memory until the outcome is
	// recorded.
	maxResponseBytes = 16 << 20
	chatPath         = "/v1/chat/completions"
	// responseWriteTimeout limits the time to write a whole response to a slow caller.
	responseWriteTimeout = 2 * time.Minute
)

// serveService handles requests below /services/{service}: those of plain services, and
// chat completions on an engine service that the path names.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
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
		e.processChat(w, r, c)
		return
	}
	e.servePlainCall(w, r, c, subPath)
}

// refuse counts, logs and sends a problem.
func (e *Entry) refuse(w http.ResponseWriter, c *call, p *Problem) {
	e.metrics.recordRefusal(c, p)
	p.write(w)
}

// resolveRoute sets the service, the organisation and the profile of the call and applies
// the matching route. It returns the path below the service.
func (e *Entry) resolveRoute(c *call, r *http.Request) (string, *Problem) {
	name := mux.Vars(r)["service"]
	subPath, ok := servicePath(r, name)
	if !ok {
		return "", newProblem("invalid_request", ExecutedNo, "the path must be canonical, without encoded separators")
	}
	service, ok := c.fleetState.Service(name)
	if !ok {
		if problem := c.authenticate(); problem != nil {
			return "", problem
		}
		return "", newProblem("unknown_service", ExecutedNo, "%q", name)
	}
	c.service = service
	if route, found := matchRoute(service.OpenRoutes, service.Name, r.Method, subPath); found {
		// A call of an open route runs for no organisation, even if the caller sends a key.
		c.openRoute = true
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
		// Without a matching route, the HTTP method determines whether the request may be
		// repeated.
		c.nonIdempotent = !isIdempotentMethod(r.Method)
	}
	return subPath, nil
}

// servicePath returns the path below the service. It rejects paths that a target could
// interpret differently than the matching of routes does.
func servicePath(r *http.Request, service string) (string, bool) {
	escaped := strings.ToLower(r.URL.EscapedPath())
	for _, encoded := range []string{"%2f", "%2e", "%5c", "%00"} {
		if strings.Contains(escaped, encoded) {
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

// matchRoute returns the matching route with the longest path prefix, and the last one of
// several with an equal length.
func matchRoute(routes []fleet.Route, service, method, subPath string) (fleet.Route, bool) {
	var best fleet.Route
	found := false
	for _, route := range routes {
		// Routes of a service definition can omit the service.
		if (route.Service != "" && route.Service != service) || (route.Method != "" && route.Method != method) {
			continue
		}
		if !hasPathPrefix(subPath, route.PathPrefix) || (found && len(route.PathPrefix) < len(best.PathPrefix)) {
			continue
		}
		best, found = route, true
	}
	return best, found
}

// hasPathPrefix reports whether prefix covers whole segments at the start of subPath.
func hasPathPrefix(subPath, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return subPath == prefix || strings.HasPrefix(subPath, prefix+"/")
}

// isIdempotentMethod reports whether HTTP defines the method as idempotent.
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// servePlainCall serves a request to a plain service.
func (e *Entry) servePlainCall(w http.ResponseWriter, r *http.Request, c *call, subPath string) {
	if problem := c.readIdempotencyKey(r.Header); problem != nil {
		e.refuse(w, c, problem)
		return
	}
	c.fingerprint = c.requestFingerprint(r, subPath)
	callCtx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer e.activeCalls.add(c.key.ID, cancel)()

	begin, recordNeeded, problem := c.plainBeginCall(r)
	if problem == nil && !recordNeeded {
		problem = e.acquireRate(callCtx, c)
	}
	if problem != nil {
		e.refuse(w, c, problem)
		return
	}
	if recordNeeded {
		replay, problem := e.admit(callCtx, c, begin)
		if problem != nil {
			e.refuse(w, c, problem)
			return
		}
		if replay != nil {
			w.Header().Set(headerReplayed, "true")
			writeStoredResponse(w, replay)
			e.metrics.recordAnswer(c)
			return
		}
	}
	type plainResult struct {
		stored  *program.StoredResponse
		header  http.Header
		problem *Problem
	}
	results := make(chan plainResult, 1)
	dispatchCtx, stop := e.dispatchContext(callCtx, c)
	// A non-idempotent call continues after its caller has disconnected, because its
	// outcome must be recorded for the retry.
	e.inFlight.Add(1)
	go func() {
		defer e.inFlight.Done()
		defer stop()
		stored, header, problem := e.dispatchPlain(dispatchCtx, r, c, subPath)
		results <- plainResult{stored, header, problem}
	}()
	select {
	case result := <-results:
		if result.problem != nil {
			e.refuse(w, c, result.problem)
			return
		}
		copyHeaders(w.Header(), result.header)
		writeStoredResponse(w, result.stored)
		e.metrics.recordAnswer(c)
	case <-callCtx.Done():
		e.refuse(w, c, cancellationProblem(callCtx, ExecutedUnknown))
	}
}

// dispatchContext returns the context of the dispatch, with the call's time limit. For a
// non-idempotent call, it does not end when callCtx is cancelled.
func (e *Entry) dispatchContext(callCtx context.Context, c *call) (context.Context, context.CancelFunc) {
	parent := callCtx
	if c.nonIdempotent {
		parent = context.WithoutCancel(callCtx)
	}
	return context.WithTimeoutCause(parent, e.timeLimit(c), errCallTimeout)
}

// plainBeginCall returns a BeginCall with the program of the call, and whether the call
// must be recorded. An idempotent call that names no program and has no idempotency key
// is not recorded.
func (c *call) plainBeginCall(r *http.Request) (begin program.BeginCall, recordNeeded bool, problem *Problem) {
	if !c.openRoute {
		id, found, problem := programFromHeaders(r.Header)
		if problem != nil || found {
			return program.BeginCall{Program: program.Ref{ID: id}}, found, problem
		}
	}
	if !c.nonIdempotent && c.idempotencyKey == "" {
		return program.BeginCall{}, false, nil
	}
	// A call that names no program is recorded under an id that its retry derives again,
	// if a retry can be identified.
	id := "body-" + strconv.FormatUint(c.fingerprint, 16)
	if c.idempotencyKey != "" {
		id = "key-" + strconv.FormatUint(xxhash.Sum64String(c.key.ID+"\x00"+c.idempotencyKey), 16)
	} else if c.retryUnidentifiable() {
		id = "call-" + c.id
	}
	return program.BeginCall{Program: program.Ref{ID: derivedIDPrefix + id}}, true, nil
}

// retryUnidentifiable reports whether a retry of a call without an idempotency key cannot
// be distinguished from a new request.
func (c *call) retryUnidentifiable() bool {
	return !c.openRoute && c.profile.Resend.Identify != identifyByBody
}

// requestFingerprint hashes the key, the service, the method, the path, the query and the
// body of the request. It is equal for a retry.
func (c *call) requestFingerprint(r *http.Request, subPath string) uint64 {
	d := xxhash.New()
	for _, part := range []string{c.key.ID, c.service.Name, r.Method, subPath, r.URL.RawQuery} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.body)
	return d.Sum64()
}

// dispatchPlain dispatches the call and records its outcome before it returns the response.
func (e *Entry) dispatchPlain(ctx context.Context, r *http.Request, c *call, subPath string) (*program.StoredResponse, http.Header, *Problem) {
	var stored *program.StoredResponse
	var header http.Header
	request := targetRequest{
		method:        r.Method,
		header:        c.targetHeaders(r.Header),
		body:          forwardedBody(c.body, c.secrets),
		nonIdempotent: c.nonIdempotent,
	}
	pathAndQuery := (&url.URL{Path: subPath, RawQuery: forwardedQuery(r.URL.RawQuery, c.secrets)}).String()
	result := e.execute(ctx, c, dispatch{
		promptTokens: 1,
		onPlaced:     func(placement.Decision) {},
		send: func(ctx context.Context, _, address string, _ int) attempt {
			request.url = "http://" + address + pathAndQuery
			var a attempt
			stored, header, a = e.sendPlain(ctx, c, request)
			return a
		},
	})
	// A plain service holds no engine memory that must be released when the program ends,
	// so the FinishCall names no target.
	finish := program.FinishCall{Outcome: result.outcome}
	if result.problem == nil && e.resendWindow(c) > 0 {
		finish.Response = stored
	}
	if err := e.finishCall(context.WithoutCancel(ctx), c, finish); err != nil && result.problem == nil {
		return nil, nil, newProblem("outcome_not_recorded", ExecutedUnknown, "%v", err)
	}
	return stored, header, result.problem
}

// sendPlain sends the request to one target and reads the whole response.
func (e *Entry) sendPlain(ctx context.Context, c *call, request targetRequest) (*program.StoredResponse, http.Header, attempt) {
	x, result, err := e.client.open(ctx, request, false)
	if err != nil {
		return nil, nil, attempt{result: result, err: err}
	}
	defer x.close()
	if result, err := x.checkResponse(c.id, c.nonIdempotent); err != nil {
		return nil, nil, attempt{result: result, err: err}
	}
	body, err := x.readAll()
	if err != nil {
		return nil, nil, attempt{result: x.classifyError(err, true), err: err}
	}
	stored := &program.StoredResponse{Status: x.response.StatusCode, ContentType: x.response.Header.Get("Content-Type"), Body: body}
	return stored, responseHeaders(x.response.Header), attempt{result: retry.Completed}
}

// targetHeaders returns the headers of the request to a target.
func (c *call) targetHeaders(h http.Header) http.Header {
	out := forwardedHeaders(h, c.secrets)
	out.Set(headerRequest, c.id)
	return out
}

// responseHeaders returns the target's headers that are relayed to the caller.
func responseHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range append([]string{headerRequest, headerTargetProgram}, hopByHopHeaders...) {
		out.Del(name)
	}
	return out
}

// copyHeaders sets each header of src in dst.
func copyHeaders(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}

// writeStoredResponse sends a complete response to the caller.
func writeStoredResponse(w http.ResponseWriter, s *program.StoredResponse) {
	if s.ContentType != "" {
		w.Header().Set("Content-Type", s.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(s.Body)))
	w.WriteHeader(s.Status)
	defer setWriteTimeout(w, responseWriteTimeout)()
	// A failed write means that the caller has disconnected or is too slow. Its retry gets
	// the stored response.
	_, _ = w.Write(s.Body)
}
