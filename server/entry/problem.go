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

// Executed states whether a refused request may have had an effect.
type Executed string

const (
	// ExecutedNo means that the request certainly had no effect: no byte of it reached a
	// target, or the target rejected it.
	ExecutedNo Executed = "no"
	// ExecutedUnknown means that the request may have had an effect.
	ExecutedUnknown Executed = "unknown"
)

// problemTypePrefix is the prefix of the URN of each problem type.
const problemTypePrefix = "urn:hemlockvale:problem:"

// Problem is the body of every refusal, sent as application/problem+json.
type Problem struct {
	// Type is a URN that ends with Code.
	Type string `json:"type"`
	// Title describes the code in words.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail describes this occurrence in words.
	Detail string `json:"detail,omitempty"`
	// Code identifies the kind of problem. Codes are stable, so that programs can match them.
	Code string `json:"code"`
	// Executed states whether the request may have had an effect.
	Executed Executed `json:"executed"`

	retryAfter time.Duration
}

// Error returns the code and the detail.
func (p *Problem) Error() string { return p.Code + ": " + p.Detail }

// problemDefinitions maps each problem code to its HTTP status and title.
var problemDefinitions = map[string]struct {
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

// newProblem returns a problem. A code without a definition, as a shard owner may return,
// gets status 503.
func newProblem(code string, executed Executed, format string, args ...any) *Problem {
	definition, ok := problemDefinitions[code]
	if !ok {
		definition = problemDefinitions["internal"]
		definition.status = http.StatusServiceUnavailable
		definition.title = "The request was refused"
	}
	return &Problem{
		Type:     problemTypePrefix + code,
		Title:    definition.title,
		Status:   definition.status,
		Detail:   fmt.Sprintf(format, args...),
		Code:     code,
		Executed: executed,
	}
}

// withRetryAfter sets the value of the Retry-After header and returns p.
func (p *Problem) withRetryAfter(after time.Duration) *Problem {
	p.retryAfter = after
	return p
}

// problemFromRefusal converts the refusal of a BeginCall.
func problemFromRefusal(r *program.Refusal) *Problem {
	p := newProblem(r.Code, Executed(r.Executed), "%s", r.Detail)
	return p.withRetryAfter(time.Duration(r.RetryAfterMS) * time.Millisecond)
}

// write sends the problem as the response.
func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.retryAfter > 0 {
		// Retry-After is in whole seconds. A retry after a value that was rounded down
		// would be refused again.
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(p)
}
