package control

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/fleet"
)

const (
	// maxBodyBytes is the largest request body. The largest object is a service with a
	// profile for each of 1,600 organisations.
	maxBodyBytes = 1 << 20
	// maxOperationIDBytes is the longest Operation-Id header, in bytes.
	maxOperationIDBytes = 128

	headerOperationID = "Operation-Id"
	headerIfMatch     = "If-Match"
)

// Codes of refused HTTP requests, in addition to those of package fleet.
const (
	codeUnauthenticated  = "unauthenticated"
	codeNotFound         = "not_found"
	codeMethodNotAllowed = "method_not_allowed"
	codeBodyTooLarge     = "body_too_large"
	codeKeyAlreadyIssued = "key_already_issued"
)

// Values of Problem.Executed.
const (
	executedNo      = "no"
	executedUnknown = "unknown"
)

// Problem is the response body for a refused request, as application/problem+json.
type Problem struct {
	// Type is a URI that contains the code.
	Type string `json:"type"`
	// Title is the standard text of the HTTP status.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail is a human-readable explanation.
	Detail string `json:"detail"`
	// Code identifies the kind of problem. Clients may rely on it.
	Code string `json:"code"`
	// Path is the path of the invalid field, or the name of the invalid header or other
	// part of the request. It is empty if the problem concerns no part of the request.
	Path string `json:"place,omitempty"`
	// Executed is "no" if the request has certainly changed nothing, otherwise "unknown".
	Executed string `json:"executed"`
}

// Error implements error with the code and the detail.
func (p *Problem) Error() string { return p.Code + ": " + p.Detail }

// problem returns the refusal of a request that has changed nothing.
func problem(status int, code, path, format string, args ...any) *Problem {
	return &Problem{
		Type: "urn:hemlockvale:problem:" + code, Title: http.StatusText(status), Status: status,
		Detail: fmt.Sprintf(format, args...), Code: code, Path: path, Executed: executedNo,
	}
}

// endpointResponse is the response to a successful request.
type endpointResponse struct {
	status   int
	revision uint64 // sent as ETag unless it is 0
	body     any
}

// endpointFunc handles an authenticated request on the leader.
type endpointFunc func(*http.Request) (endpointResponse, error)

// HTTPHandler returns the handler of the operators' API.
func (c *Control) HTTPHandler() http.Handler {
	r := mux.NewRouter()
	handle := func(method, path string, fn endpointFunc) {
		r.Handle("/v1/admin"+path, c.endpoint(fn)).Methods(method)
	}
	c.addObjectRoutes(handle)
	c.addFleetRoutes(handle)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, problem(http.StatusNotFound, codeNotFound, "path", "no such path: %s", r.URL.Path))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, problem(http.StatusMethodNotAllowed, codeMethodNotAllowed, "method", "%s is not possible on %s", r.Method, r.URL.Path))
	})
	return r
}

// endpoint returns the HTTP handler for fn. The handler authenticates the operator,
// forwards the request if this VM is not the leader, and confirms the leadership
// before it calls fn.
func (c *Control) endpoint(fn endpointFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		metrics.GetOrRegisterCounter("control.http.requests", c.o.Metrics).Inc(1)
		if !c.hasValidToken(r) {
			w.Header().Set("WWW-Authenticate", `Bearer realm="hemlockvale"`)
			c.fail(w, r, problem(http.StatusUnauthorized, codeUnauthenticated, "Authorization", "the operators' bearer token is missing or wrong"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if !c.isLeader() {
			c.forward(w, r)
			return
		}
		if err := c.confirm(r.Context()); err != nil {
			c.fail(w, r, problem(http.StatusServiceUnavailable, CodeNoQuorum, "", "leadership not confirmed by a quorum: %v", err))
			return
		}
		response, err := fn(r)
		if err != nil {
			c.fail(w, r, err)
			return
		}
		writeResponse(w, response)
	})
}

// hasValidToken reports whether the request has the operators' bearer token. It
// compares hashes of equal length, so that its timing does not depend on the token.
func (c *Control) hasValidToken(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || c.o.Settings.AdminToken == "" {
		return false
	}
	presented := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(presented[:], c.tokenHash[:]) == 1
}

// fail logs and counts the refusal of a request and writes the response.
func (c *Control) fail(w http.ResponseWriter, r *http.Request, err error) {
	p := toProblem(err)
	metrics.GetOrRegisterCounter("control.http.refused."+p.Code, c.o.Metrics).Inc(1)
	c.o.Log.WithFields(logrus.Fields{
		"event": "operator_refused", "method": r.Method, "path": r.URL.Path, "status": p.Status, "code": p.Code,
		"place": p.Path, "executed": p.Executed, "operation": r.Header.Get(headerOperationID),
	}).Warn(p.Detail)
	writeProblem(w, p)
}

// toProblem converts an error into a problem. An error of unknown type means that the
// change may have been executed.
func toProblem(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	var refused *fleet.Error
	if errors.As(err, &refused) {
		return problem(httpStatus(refused.Code), refused.Code, refused.Path, "%s", refused.Message)
	}
	if errors.Is(err, ErrNotLeader) {
		return problem(http.StatusServiceUnavailable, CodeNoQuorum, "", "%v", err)
	}
	p = problem(http.StatusServiceUnavailable, CodeNoQuorum, "", "the change may still take effect; repeat it with the same Operation-Id: %v", err)
	p.Executed = executedUnknown
	return p
}

// httpStatus returns the HTTP status for the code of a refused command.
func httpStatus(code string) int {
	switch code {
	case fleet.CodeInvalid:
		return http.StatusBadRequest
	case fleet.CodeNotFound:
		return http.StatusNotFound
	case fleet.CodeRevisionConflict:
		return http.StatusPreconditionFailed
	default:
		return http.StatusConflict
	}
}

func writeProblem(w http.ResponseWriter, p *Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, p.Status, p)
}

func writeResponse(w http.ResponseWriter, response endpointResponse) {
	if response.revision != 0 {
		w.Header().Set("ETag", strconv.FormatUint(response.revision, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	// The response may contain the secret of a key.
	w.Header().Set("Cache-Control", "no-store")
	writeJSON(w, response.status, response.body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	// The status is already sent; a write fails only if the connection is broken.
	_ = json.NewEncoder(w).Encode(body)
}

// decode decodes a JSON body into the value that v points to. Unknown fields and data
// after the JSON value are refused.
func decode(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return decodeProblem(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return problem(http.StatusBadRequest, fleet.CodeInvalid, "body", "data after the JSON value")
	}
	return nil
}

// unknownFieldPrefix is the prefix of the error of encoding/json for an unknown field,
// which has no type of its own.
const unknownFieldPrefix = "json: unknown field "

// decodeProblem converts an error of reading or decoding a request body.
func decodeProblem(err error) *Problem {
	var tooLarge *http.MaxBytesError
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &tooLarge):
		return problem(http.StatusRequestEntityTooLarge, codeBodyTooLarge, "body", "the body exceeds %d bytes", tooLarge.Limit)
	case errors.As(err, &mismatch):
		return problem(http.StatusBadRequest, fleet.CodeInvalid, mismatch.Field, "%s does not fit a field of type %s", mismatch.Value, mismatch.Type)
	case errors.As(err, &syntax):
		return problem(http.StatusBadRequest, fleet.CodeInvalid, "body", "%v at byte %d", syntax, syntax.Offset)
	}
	if quoted, ok := strings.CutPrefix(err.Error(), unknownFieldPrefix); ok {
		name, unquoteErr := strconv.Unquote(quoted)
		if unquoteErr != nil {
			name = quoted
		}
		return problem(http.StatusBadRequest, fleet.CodeInvalid, name, "unknown field %q", name)
	}
	return problem(http.StatusBadRequest, fleet.CodeInvalid, "body", "%v", err)
}

// newCommand returns a command with the operation id and the expected revision of the
// request headers.
func newCommand(r *http.Request) (fleet.Command, error) {
	var cmd fleet.Command
	cmd.Operation = r.Header.Get(headerOperationID)
	if len(cmd.Operation) > maxOperationIDBytes {
		return cmd, problem(http.StatusBadRequest, fleet.CodeInvalid, headerOperationID, "%d bytes, at most %d", len(cmd.Operation), maxOperationIDBytes)
	}
	text := r.Header.Get(headerIfMatch)
	if text == "" {
		return cmd, nil
	}
	revision, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return cmd, problem(http.StatusBadRequest, fleet.CodeInvalid, headerIfMatch, "%q is not a revision", text)
	}
	cmd.ExpectedRevision = &revision
	return cmd, nil
}

// proposeChange proposes an operator's command and logs it if it was applied.
func (c *Control) proposeChange(r *http.Request, command fleet.Command, subject string) (fleet.Result, error) {
	result, err := c.propose(r.Context(), command)
	if err != nil {
		return result, err
	}
	if result.Error != nil {
		return result, result.Error
	}
	c.o.Log.WithFields(logrus.Fields{
		"event": "operator_change", "method": r.Method, "path": r.URL.Path, "subject": subject,
		"operation": command.Operation, "revision": result.Revision,
	}).Info("configuration changed")
	return result, nil
}
