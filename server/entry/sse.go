package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	contentTypeSSE  = "text/event-stream"
	contentTypeJSON = "application/json"
	doneMarker      = "[DONE]"
	// maxEventBytes limits one line of a target's event stream, and the data of one event.
	maxEventBytes = 1 << 20
)

// eventReader reads a stream of server-sent events.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &eventReader{scanner: s}
}

// next returns the data of the next event. It returns empty data for a comment, which
// engines send as a keep-alive, and io.EOF at the end of the stream.
func (r *eventReader) next() ([]byte, error) {
	var data []byte
	for r.scanner.Scan() {
		line := bytes.TrimSuffix(r.scanner.Bytes(), []byte("\r"))
		switch {
		case len(line) == 0 && len(data) > 0:
			return data, nil
		case bytes.HasPrefix(line, []byte(":")) && len(data) == 0:
			return nil, nil
		case bytes.HasPrefix(line, []byte("data:")):
			if len(data) > 0 {
				data = append(data, '\n')
			}
			data = append(data, bytes.TrimPrefix(line[len("data:"):], []byte(" "))...)
			if len(data) > maxEventBytes {
				return nil, errResponseTooLarge
			}
		}
	}
	if err := r.scanner.Err(); err != nil {
		return nil, err
	}
	// An event without a terminating blank line is incomplete and is discarded.
	return nil, io.EOF
}

// eventWriter writes a stream of server-sent events to a caller.
type eventWriter struct {
	w       http.ResponseWriter
	started bool
}

// writeEvent writes an event with the given data. The first event also writes the header
// of the response.
func (s *eventWriter) writeEvent(data []byte) error {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", contentTypeSSE)
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	return s.writeAndFlush([]byte("data: "), data, []byte("\n\n"))
}

// writeKeepAlive writes a comment to a started stream, so that neither the caller nor a
// middlebox considers the connection dead.
func (s *eventWriter) writeKeepAlive() error {
	if !s.started {
		return nil
	}
	return s.writeAndFlush([]byte(": keep-alive\n\n"))
}

// eventWriteTimeout limits the time to write one event to a caller. Without it, a caller
// with a dead connection would keep its engine and its program occupied.
const eventWriteTimeout = 20 * time.Second

// writeAndFlush writes the parts and flushes them to the caller.
func (s *eventWriter) writeAndFlush(parts ...[]byte) error {
	defer setWriteTimeout(s.w, eventWriteTimeout)()
	for _, part := range parts {
		if _, err := s.w.Write(part); err != nil {
			return err
		}
	}
	return http.NewResponseController(s.w).Flush()
}

// setWriteTimeout sets a deadline for writes to a caller, which the returned function
// removes. It has no effect on a writer that does not support deadlines, as in tests.
func setWriteTimeout(w http.ResponseWriter, timeout time.Duration) func() {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(timeout))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

// writeProblem ends a started stream with an error event.
func (s *eventWriter) writeProblem(p *Problem) {
	body, err := json.Marshal(map[string]any{"error": p})
	if err != nil {
		return
	}
	// A failed write means that the caller has disconnected.
	if _, err := s.w.Write([]byte("event: error\n")); err != nil {
		return
	}
	_ = s.writeEvent(body)
}
