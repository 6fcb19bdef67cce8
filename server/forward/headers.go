package forward

import (
	"net/http"
	"time"

	"hemlockvale.dev/coord/dispatch"
)

// Call holds what the headers of a caller's request state.
type Call struct {
	// ID identifies the request. A caller uses a new id for each attempt.
	ID string
	// Key is the caller's API key; empty if it sent none.
	Key string
	// TimeLeft is how long the caller waits for a response; 0 if it stated no limit.
	TimeLeft time.Duration
	// Program is the id of the program that the request belongs to; empty if none.
	Program string
	// ProgramTimeLeft is the time until the program's deadline; negative if the
	// deadline has passed.
	ProgramTimeLeft time.Duration
	// ProgramTimed is true if the caller stated ProgramTimeLeft.
	ProgramTimed bool
	// TokenBudget bounds the tokens of all requests of the program; 0 means no budget.
	TokenBudget int64
	// OutputTokens bounds the tokens that this request generates.
	OutputTokens int64
	// Parts are the parts of the prompt, in order.
	Parts []dispatch.Part
	// LastEventID is the id of the last event that the caller has received; empty if
	// the stream starts from the beginning.
	LastEventID string
	// Resumes is the id of the request that delivered the first event of the stream which
	// the caller takes up after LastEventID; empty if it starts from the beginning.
	Resumes string
	// AffinityKey identifies the object that the request is about; empty if the caller states none.
	AffinityKey string
	// PreviousTurn is the id of the request whose history this one continues; empty if
	// there is none.
	PreviousTurn string
}

// TargetCall holds what the headers of a request tell its target.
type TargetCall struct {
	// Target identifies the incarnation of the target that must serve the request; any
	// other process at its address must reject it.
	Target string
	// Organisation is the name of the organisation that the request runs for; empty on
	// public routes.
	Organisation string
	// Priority ranks requests at engines, which serve 0 first; nil for services
	// without an engine.
	Priority *int
	// TimeLeft is how long the target may take to respond.
	TimeLeft time.Duration
	// LastEventID is the id of the event after which the stream continues; empty if the
	// stream starts from the beginning.
	LastEventID string
}

// ResponseInfo holds what the headers of a target's response state.
type ResponseInfo struct {
	// ID is the id of the request that the response belongs to; empty if not stated.
	ID string
	// NotRun is true if the target did not run the request and never will.
	NotRun bool
	// Signed is true if the response carries the target's signature.
	Signed bool
	// Leaving is true if the target itself states that it leaves.
	Leaving bool
	// IdleTimeout is how long the target keeps an idle connection; 0 if not stated, negative if
	// it keeps none.
	IdleTimeout time.Duration
	// RateLimit is the number of requests per second that the target accepts from all VMs
	// together; nil if the target states no limit.
	RateLimit *float64
	// ColdLeft is how long the target stays cold, as it states; 0 if it states nothing.
	ColdLeft time.Duration
	// Err describes headers that could not be decoded.
	Err error
}

// HeaderCodec translates the headers of callers and targets.
type HeaderCodec interface {
	// DecodeCall decodes the headers of a caller's request.
	DecodeCall(h http.Header) (Call, error)
	// EncodeCall changes h, a copy of the caller's headers, into the headers of the
	// request to the target.
	EncodeCall(h http.Header, c TargetCall)
	// DecodeResponse decodes the status and the headers of a target's response.
	DecodeResponse(status int, h http.Header) ResponseInfo
}
