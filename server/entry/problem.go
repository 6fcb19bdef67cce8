package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"hemlockvale.dev/coord/program"
)

// Executed says whether a refused request had an effect.
type Executed string

const (
	// ExecutedNo means that no byte of the request reached a target, or that the target refused it.
	ExecutedNo Executed = "no"
	// ExecutedUnknown means anything else.
	ExecutedUnknown Executed = "unknown"
)

// problemTypePrefix is the URN namespace of the problem types.
const problemTypePrefix = "urn:hemlockvale:problem:"

// Problem is the body of every refusal, as application/problem+json.
type Problem struct {
	// Type is a URN that ends with the code.
	Type string `json:"type"`
	// Title describes the code, for people.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail describes this occurrence, for people.
	Detail string `json:"detail,omitempty"`
	// Code is stable, for programs.
	Code string `json:"code"`
	// Executed says whether the request had an effect.
	Executed Executed `json:"executed"`

	retryAfter time.Duration
}

// Error returns the code and the detail.
func (p *Problem) Error() string { return p.Code + ": " + p.Detail }

// codes maps each problem code to its HTTP status and title.
var codes = map[string]struct {
	status int
	title  string
}{
	"missing_key":            {http.StatusUnauthorized, "The request carries no key"},
	"unknown_key":            {http.StatusUnauthorized, "The key is not valid"},
	"key_withdrawn":          {http.StatusUnauthorized, "The key was withdrawn"},
	"invalid_json":           {http.StatusBadRequest, "The body is not valid JSON"},
	"invalid_request":        {http.StatusBadRequest, "The request is not valid"},
	"body_too_large":         {http.StatusRequestEntityTooLarge, "The body exceeds the size limit"},
	"unknown_model":          {http.StatusNotFound, "The model is not available"},
	"unknown_service":        {http.StatusNotFound, "The service does not exist"},
	"not_found":              {http.StatusNotFound, "The resource does not exist"},
	"method_not_allowed":     {http.StatusMethodNotAllowed, "The method is not allowed"},
	"rate_limited":           {http.StatusTooManyRequests, "The organisation's rate is exceeded"},
	"limiter_unavailable":    {http.StatusServiceUnavailable, "The organisation's rate cannot be checked now"},
	"configuration_stale":    {http.StatusServiceUnavailable, "This VM is cut off from control"},
	"overloaded":             {http.StatusServiceUnavailable, "All targets are full"},
	"no_target":              {http.StatusServiceUnavailable, "No target is available"},
	"target_failed":          {http.StatusBadGateway, "The target failed"},
	"target_unreachable":     {http.StatusBadGateway, "No target could be reached"},
	"call_timeout":           {http.StatusGatewayTimeout, "The call took too long"},
	"outcome_not_recorded":   {http.StatusBadGateway, "The outcome could not be recorded"},
	"owner_unavailable":      {http.StatusServiceUnavailable, "The program's owner cannot be reached"},
	"insufficient_replicas":  {http.StatusServiceUnavailable, "Too few copies of the program's state are available"},
	"budget_exhausted":       {http.StatusForbidden, "The program's budget is used up"},
	"program_busy":           {http.StatusServiceUnavailable, "The program's earlier calls still run"},
	"program_ended":          {http.StatusGone, "The program has ended"},
	"call_in_progress":       {http.StatusConflict, "The same request still runs"},
	"call_outcome_unknown":   {http.StatusConflict, "The outcome of the same request is unknown"},
	"request_quarantined":    {http.StatusUnprocessableEntity, "The request has taken targets down"},
	"idempotency_key_reused": {http.StatusUnprocessableEntity, "The idempotency key was used for another request"},
	"order_failed":           {http.StatusBadGateway, "The target did not confirm the order"},
	"internal":               {http.StatusInternalServerError, "Internal error"},
}

func newProblem(code string, executed Executed, format string, args ...any) *Problem {
	known, ok := codes[code]
	if !ok {
		known = codes["internal"]
		known.status = http.StatusServiceUnavailable
		known.title = "The request was refused"
	}
	return &Problem{
		Type:     problemTypePrefix + code,
		Title:    known.title,
		Status:   known.status,
		Detail:   fmt.Sprintf(format, args...),
		Code:     code,
		Executed: executed,
	}
}

// retry sets the Retry-After hint.
func (p *Problem) retry(after time.Duration) *Problem {
	p.retryAfter = after
	return p
}

func refusalProblem(r *program.Refusal) *Problem {
	p := newProblem(r.Code, Executed(r.Executed), "%s", r.Detail)
	return p.retry(time.Duration(r.RetryAfterMS) * time.Millisecond)
}

func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.retryAfter > 0 {
		// Retry-After counts whole seconds; rounding down would invite a retry that is refused again.
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	// A failed write means that the caller is gone.
	_ = json.NewEncoder(w).Encode(p)
}
