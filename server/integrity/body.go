package integrity

import (
	"errors"
	"net"
	"net/http"
)

// ErrBrokenOff is returned for a body whose format shows that it was broken off.
var ErrBrokenOff = errors.New("body was broken off")

// dataField is the name of the field that holds the content of a server-sent event.
const dataField = "data"

// Check returns ErrBrokenOff if the format of a body shows that it was broken off, although it
// was read to the end that its framing states. A stream of server-sent events must end between
// two events, and have one if it ended with its connection.
func Check(r *http.Response, body net.Buffers) error {
	framing := FramingOf(r)
	if framing == NoBody || r.Header.Get("Content-Encoding") != "" || !IsEventStream(r) {
		return nil
	}
	if s := scanEvents(body); s.inEvent || framing == Connection && !s.hasData {
		return ErrBrokenOff
	}
	return nil
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
