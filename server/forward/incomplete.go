package forward

import (
	"net/http"

	"hemlockvale.dev/server/progress"
)

// abort makes finish end the response as incomplete.
func (x *exchange) abort(reason string) {
	x.record.reason, x.record.aborted = reason, true
}

// endIncomplete closes the caller's connection so that the caller sees an incomplete response. It
// panics with http.ErrAbortHandler, upon which net/http closes the connection. What the caller
// sees depends on what it has been sent:
//   - nothing: there is no response;
//   - a head that states a length: bytes are missing;
//   - a head that announces chunks: the last chunk is missing;
//   - a head that states neither, as to a caller of HTTP/1.0: an ordinary end of the connection
//     would be the end of the response, so the connection is reset.
func (x *exchange) endIncomplete() {
	if x.responseStarted && x.endsWithConnection() {
		x.resetCaller()
	}
	panic(http.ErrAbortHandler)
}

// endsWithConnection reports whether the response to the caller has neither a length nor chunks.
func (x *exchange) endsWithConnection() bool {
	return !x.request.ProtoAtLeast(1, 1) && x.writer.Header().Get("Content-Length") == ""
}

// resetCaller resets the caller's connection.
func (x *exchange) resetCaller() {
	conn, _, err := http.NewResponseController(x.writer).Hijack()
	if err != nil {
		// The connection has failed, which the caller sees.
		return
	}
	// An error means that the connection has failed already.
	_ = progress.Reset(conn)
}
