package forward

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/coord/routing"
)

// prepare matches the request to a route, authenticates it and reads its body. It
// returns false, after responding to the caller, if the request may not run.
func (x *exchange) prepare() bool {
	table := x.view.Table
	if table == nil {
		return x.respondError(http.StatusServiceUnavailable, "no_configuration", unavailableRetryAfter)
	}
	var err error
	if x.call, err = x.entry.options.HeaderCodec.DecodeCall(x.request.Header); err != nil {
		return x.respondError(http.StatusBadRequest, "bad_request", 0)
	}
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	x.route = table.Match(hostname(x.request.Host), path)
	if x.route == nil {
		return x.refusePermanently(http.StatusNotFound, "no_route")
	}
	if table.RequiresKey(x.route) {
		if x.organisation = table.Authenticate(x.call.Key); x.organisation == nil {
			return x.refusePermanently(http.StatusUnauthorized, "unknown_key")
		}
	}
	left := x.call.TimeLeft
	if left <= 0 {
		left = defaultTimeLeft
	}
	x.deadline = x.startedAt + min(left, x.route.Timeout())
	if !x.endsBeforeStop() {
		x.writer.Header().Set("Connection", "close")
		return x.respondError(http.StatusServiceUnavailable, "stopping", stoppingRetryAfter)
	}
	x.service = table.Service(x.route.ChooseService(x.serviceShare()))
	if x.service == nil {
		return x.respondError(http.StatusServiceUnavailable, "no_service", unavailableRetryAfter)
	}
	x.reservation = x.newReservation()
	return x.readBody(table.Configuration.Limits)
}

// serviceShare returns a number from 0 to 1 that selects one of the route's services. All
// requests for the same stream get the same number, because only the service that began a
// stream can continue it.
func (x *exchange) serviceShare() float64 {
	id := x.call.ID
	if x.call.LastEventID != "" && x.call.Resumes != "" {
		id = x.call.Resumes
	}
	return float64(xxhash.Sum64String(id)>>shareUnusedBits) / (1 << shareBits)
}

const (
	// shareBits is the number of bits that a float64 represents exactly.
	shareBits       = 53
	shareUnusedBits = 64 - shareBits
)

// refusePermanently refuses with a status that callers do not retry, but only if the
// configuration is known to be current. Otherwise the refusal is temporary.
func (x *exchange) refusePermanently(status int, reason string) bool {
	if !x.entry.options.Current() {
		return x.respondError(http.StatusServiceUnavailable, "stale_configuration", unavailableRetryAfter)
	}
	return x.respondError(status, reason, 0)
}

// hostname returns the host of a Host header without its port.
func hostname(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		return host[:colon]
	}
	return host
}

// newReservation returns the reservation of the request's tokens from the program's
// budget, or nil if the request has no budget.
func (x *exchange) newReservation() *ledger.Reserve {
	if x.call.Program == "" || x.call.TokenBudget <= 0 || x.route.Kind != routing.Streaming {
		return nil
	}
	p := ledger.Program{ID: x.call.Program}
	if x.organisation != nil {
		p.Organisation = x.organisation.Name
	}
	tokens := x.call.OutputTokens
	if x.service.Engine != nil {
		tokens = ledger.WholeEvents(tokens, x.service.Engine.TokensPerEvent)
	}
	return &ledger.Reserve{Program: p, Request: x.call.ID, Budget: x.call.TokenBudget, Tokens: tokens, RetentionSeconds: int64(x.route.Retention() / time.Second)}
}

// readBody checks the sizes of the header and the body and reads the body. It returns
// false, after responding to the caller, if one is too large or cannot be read.
func (x *exchange) readBody(l routing.Limits) bool {
	limit := l.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if l.MaxHeaderBytes > 0 && headerBytes(x.request.Header) > l.MaxHeaderBytes {
		return x.respondError(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", 0)
	}
	if x.request.ContentLength > limit {
		return x.respondError(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	}
	if !x.reserveRequest() {
		return false
	}
	body, err := x.readBodyInTime(limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errMemory):
		return x.respondError(http.StatusServiceUnavailable, reasonMemory, unavailableRetryAfter)
	case errors.As(err, &tooLarge):
		return x.respondError(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return x.respondError(http.StatusRequestTimeout, "body_too_slow", 0)
	case err != nil:
		return x.respondError(http.StatusBadRequest, "body_incomplete", 0)
	}
	x.body = body
	return true
}

// readBodyInTime reads a body of at most limit bytes until the request's deadline.
func (x *exchange) readBodyInTime(limit int64) (net.Buffers, error) {
	if x.request.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(x.writer)
	if err := controller.SetReadDeadline(time.Now().Add(x.timeLeft())); err != nil {
		return nil, err
	}
	reserve := func(n int) error { return x.entry.memory.reserve(x.request.Context(), &x.held.request, n) }
	body, err := readSteps(http.MaxBytesReader(x.writer, x.request.Body, limit), x.request.ContentLength, limit, reserve)
	if err != nil {
		return nil, err
	}
	// The server itself reads on to notice a caller that disconnects.
	return body, controller.SetReadDeadline(time.Time{})
}

// headerBytes returns the size of the header fields as HTTP/1.1 encodes them.
func headerBytes(h http.Header) int64 {
	total := 0
	for name, values := range h {
		for _, value := range values {
			total += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(total)
}
