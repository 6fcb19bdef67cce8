package integrity

import (
	"errors"
	"net"
	"net/http"
	"strings"
)

// ErrBrokenOff is returned for a body whose format shows that it was broken off.
var ErrBrokenOff = errors.New("body was broken off")

// dataField is the name of the field that holds the content of a server-sent event.
const dataField = "data"

// Check returns ErrBrokenOff if the format of a body shows that it was broken off, although it
// was read to the end that its framing states. A stream of server-sent events must end between
// two events, and have one if it ended with its connection. JSON that ended with its connection
// must not end inside a string, an array or an object, and have a value.
func Check(r *http.Response, body net.Buffers) error {
	framing := FramingOf(r)
	if framing == NoBody || r.Header.Get("Content-Encoding") != "" {
		return nil
	}
	isBrokenOff := false
	switch {
	case IsEventStream(r):
		s := scanEvents(body)
		isBrokenOff = s.inEvent || framing == Connection && !s.hasData
	case isJSON(r) && framing == Connection:
		isBrokenOff = !scanJSON(body).isWhole()
	}
	if isBrokenOff {
		return ErrBrokenOff
	}
	return nil
}

// isJSON reports whether a response states that its body is JSON.
func isJSON(r *http.Response) bool {
	t := strings.ToLower(mediaType(r))
	return t == "application/json" || strings.HasSuffix(t, "+json")
}

// eventScan is what a part of an event stream shows.
type eventScan struct {
	// inEvent is set if the part ends inside an event, and hasData if it has a data field.
	inEvent, hasData bool
	// lineBytes is the length of the last line so far, and name the start of it.
	lineBytes int
	name      [len(dataField) + 1]byte
}

// scanEvents scans the start of an event stream.
func scanEvents(body net.Buffers) eventScan {
	var s eventScan
	for _, part := range body {
		for _, b := range part {
			s.add(b)
		}
	}
	return s
}

// add scans one byte. A line feed, or a carriage return with a line feed, ends a line, and an
// empty line ends an event.
func (s *eventScan) add(b byte) {
	switch b {
	case '\n':
		s.inEvent = s.lineBytes > 0
		s.hasData = s.hasData || string(s.name[:]) == dataField+":"
		s.lineBytes, s.name = 0, [len(s.name)]byte{}
	case '\r':
		s.inEvent = true
	default:
		s.inEvent = true
		if s.lineBytes < len(s.name) {
			s.name[s.lineBytes] = b
		}
		s.lineBytes++
	}
}

// jsonScan is what the start of a JSON text shows. It finds where a text ends, and does not
// validate it, so that it needs no memory.
type jsonScan struct {
	// depth is the number of open arrays and objects, and hasValue is set once a value begins.
	depth    int
	hasValue bool
	// inString is set inside a string, and escaped after a backslash there.
	inString, escaped bool
}

// isWhole reports whether the text may end here.
func (s *jsonScan) isWhole() bool { return s.hasValue && !s.inString && s.depth <= 0 }

// scanJSON scans the start of a JSON text.
func scanJSON(body net.Buffers) *jsonScan {
	s := &jsonScan{}
	for _, part := range body {
		for _, b := range part {
			s.add(b)
		}
	}
	return s
}

// add scans one byte.
func (s *jsonScan) add(b byte) {
	if s.inString {
		s.inString = b != '"' || s.escaped
		s.escaped = b == '\\' && !s.escaped
		return
	}
	switch b {
	case ' ', '\t', '\r', '\n':
		return
	case '"':
		s.inString = true
	case '{', '[':
		s.depth++
	case '}', ']':
		s.depth--
	}
	s.hasValue = true
}
