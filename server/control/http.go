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
	// maxBodyBytes bounds an operator's request; the largest object is a
	// service with a profile for each of 1,600 organisations.
	maxBodyBytes = 1 << 20
	// maxOperationLength bounds the Operation-Id header, in bytes.
	maxOperationLength = 128

	headerOperation = "Operation-Id"
	headerIfMatch   = "If-Match"
)

// Codes of refused HTTP requests, besides those of package fleet.
const (
	codeUnauthenticated = "unauthenticated"
	codeNotFound        = "not_found"
	codeMethod          = "method_not_allowed"
	codeTooLarge        = "body_too_large"
	codeKeyIssued       = "key_already_issued"
)

// Values of Problem.Executed.
const (
	executedNo      = "no"
	executedUnknown = "unknown"
)

// Problem is the body of a refused request, as application/problem+json.
type Problem struct {
	// Type is a URI that identifies the code.
	Type string `json:"type"`
	// Title is a short text for the status.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail says what is wrong in this case.
	Detail string `json:"detail"`
	// Code is stable, for programs.
	Code string `json:"code"`
	// Place is the field or header at fault, if there is one.
	Place string `json:"place,omitempty"`
	// Executed is "no" if the request has certainly changed nothing, else "unknown".
	Executed string `json:"executed"`
}

// Error returns the code and the detail.
func (p *Problem) Error() string { return p.Code + ": " + p.Detail }

// problem returns a refusal of a request that has changed nothing.
func problem(status int, code, place, format string, args ...any) *Problem {
	return &Problem{
		Type: "urn:hemlockvale:problem:" + code, Title: http.StatusText(status), Status: status,
		Detail: fmt.Sprintf(format, args...), Code: code, Place: place, Executed: executedNo,
	}
}

// reply is the successful answer of an operation.
type reply struct {
	status   int
	revision uint64 // sent as ETag if not zero
	body     any
}

// operation handles one request on the leader.
type operation func(*http.Request) (reply, error)

// HTTPHandler returns the operators' API.
func (c *Control) HTTPHandler() http.Handler {
	r := mux.NewRouter()
	handle := func(method, path string, op operation) {
		r.Handle("/v1/admin"+path, c.endpoint(op)).Methods(method)
	}
	c.mountObjects(handle)
	c.mountFleet(handle)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, problem(http.StatusNotFound, codeNotFound, "path", "no such path: %s", r.URL.Path))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, problem(http.StatusMethodNotAllowed, codeMethod, "method", "%s is not possible on %s", r.Method, r.URL.Path))
	})
	return r
}

// endpoint authenticates the operator, brings the request to the leader and
// confirms the leadership before the operation runs.
func (c *Control) endpoint(op operation) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		metrics.GetOrRegisterCounter("control.http.requests", c.o.Metrics).Inc(1)
		if !c.authentic(r) {
			w.Header().Set("WWW-Authenticate", `Bearer realm="hemlockvale"`)
			c.fail(w, r, problem(http.StatusUnauthorized, codeUnauthenticated, "Authorization", "the operators' bearer token is missing or wrong"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if !c.leads() {
			c.forward(w, r)
			return
		}
		if err := c.confirm(r.Context()); err != nil {
			c.fail(w, r, problem(http.StatusServiceUnavailable, CodeNoQuorum, "", "leadership not confirmed by a quorum: %v", err))
			return
		}
		out, err := op(r)
		if err != nil {
			c.fail(w, r, err)
			return
		}
		writeReply(w, out)
	})
}

// authentic compares hashes of equal length, so its timing does not depend on the token.
func (c *Control) authentic(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || c.o.Settings.AdminToken == "" {
		return false
	}
	presented := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(presented[:], c.tokenHash[:]) == 1
}

// fail logs and writes a refusal.
func (c *Control) fail(w http.ResponseWriter, r *http.Request, err error) {
	p := toProblem(err)
	metrics.GetOrRegisterCounter("control.http.refused."+p.Code, c.o.Metrics).Inc(1)
	c.o.Log.WithFields(logrus.Fields{
		"event": "operator_refused", "method": r.Method, "path": r.URL.Path, "status": p.Status, "code": p.Code,
		"place": p.Place, "executed": p.Executed, "operation": r.Header.Get(headerOperation),
	}).Warn(p.Detail)
	writeProblem(w, p)
}

// toProblem turns any error into a problem document.
func toProblem(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	var refused *fleet.Error
	if errors.As(err, &refused) {
		return problem(refusedStatus(refused.Code), refused.Code, refused.Field, "%s", refused.Message)
	}
	if errors.Is(err, ErrNotLeader) {
		return problem(http.StatusServiceUnavailable, CodeNoQuorum, "", "%v", err)
	}
	p = problem(http.StatusServiceUnavailable, CodeNoQuorum, "", "the change may still take effect; repeat it with the same Operation-Id: %v", err)
	p.Executed = executedUnknown
	return p
}

func refusedStatus(code string) int {
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

func writeReply(w http.ResponseWriter, out reply) {
	if out.revision != 0 {
		w.Header().Set("ETag", strconv.FormatUint(out.revision, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	// Responses may contain a key's secret.
	w.Header().Set("Cache-Control", "no-store")
	writeJSON(w, out.status, out.body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	// A failed write means that the operator's connection is gone.
	_ = json.NewEncoder(w).Encode(body)
}

// decode reads a JSON body strictly: an unknown field is refused with its name.
func decode(r *http.Request, into any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return decodeProblem(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return problem(http.StatusBadRequest, fleet.CodeInvalid, "body", "data after the JSON value")
	}
	return nil
}

// unknownFieldPrefix starts the library's only message for an unknown field.
const unknownFieldPrefix = "json: unknown field "

func decodeProblem(err error) *Problem {
	var tooLarge *http.MaxBytesError
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &tooLarge):
		return problem(http.StatusRequestEntityTooLarge, codeTooLarge, "body", "the body exceeds %d bytes", tooLarge.Limit)
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

// command starts a command with the request's operation id and expected revision.
func command(r *http.Request) (fleet.Command, error) {
	var c fleet.Command
	c.Operation = r.Header.Get(headerOperation)
	if len(c.Operation) > maxOperationLength {
		return c, problem(http.StatusBadRequest, fleet.CodeInvalid, headerOperation, "%d bytes, at most %d", len(c.Operation), maxOperationLength)
	}
	text := r.Header.Get(headerIfMatch)
	if text == "" {
		return c, nil
	}
	revision, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return c, problem(http.StatusBadRequest, fleet.CodeInvalid, headerIfMatch, "%q is not a revision", text)
	}
	c.ExpectedRevision = &revision
	return c, nil
}

// change proposes a command for an operator.
func (c *Control) change(r *http.Request, command fleet.Command, subject string) (fleet.Result, error) {
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
