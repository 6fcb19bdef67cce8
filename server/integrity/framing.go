// Package integrity tells whether a response is whole, as far as its framing and the format of
// its body show. Its terms are those of RFC 9112, sections 6.3 and 8.
package integrity

import (
	"net/http"
	"strings"
)

// Framing is how a recipient notices the end of a response.
type Framing string

const (
	// NoBody is the framing of a response that ends with its head.
	NoBody Framing = "no_body"
	// Length is the framing of a body whose length the head states.
	Length Framing = "length"
	// Chunks is the framing of a body that ends with its last chunk.
	Chunks Framing = "chunks"
	// Connection is the framing of a body that ends with its connection. The end of a process
	// that was sending it looks the same.
	Connection Framing = "connection"
)

// FramingOf returns the framing of a response that http.ReadResponse has returned.
func FramingOf(r *http.Response) Framing {
	switch {
	case r.Body == http.NoBody || r.ContentLength == 0:
		return NoBody
	case r.ContentLength > 0:
		return Length
	case len(r.TransferEncoding) > 0:
		return Chunks
	}
	return Connection
}

// IsEventStream reports whether a response states that its body is a stream of server-sent events.
func IsEventStream(r *http.Response) bool {
	return strings.EqualFold(mediaType(r), "text/event-stream")
}

// mediaType returns the media type of the body as the response states it, without parameters; empty
// if it states none.
func mediaType(r *http.Response) string {
	t, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
	return strings.TrimSpace(t)
}
