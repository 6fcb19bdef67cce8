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
	// maxEventBytes bounds one server-sent event of a target.
	maxEventBytes = 1 << 20
)

// eventReader reads the data of server-sent events.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &eventReader{scanner: s}
}

// next returns the data of the next event; empty for a comment, which engines
// send as keep-alive; io.EOF at the end of the stream.
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
		}
	}
	if err := r.scanner.Err(); err != nil {
		return nil, err
	}
	// An event without its closing blank line is incomplete.
	return nil, io.EOF
}

// eventWriter streams server-sent events to a caller.
type eventWriter struct {
	w       http.ResponseWriter
	started bool
}

func (s *eventWriter) data(data []byte) error {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", contentTypeSSE)
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	return s.write([]byte("data: "), data, []byte("\n\n"))
}

// keepAlive shows the caller, and any device between, that the connection lives.
func (s *eventWriter) keepAlive() error {
	if !s.started {
		return nil
	}
	return s.write([]byte(": keep-alive\n\n"))
}

// callerWriteTimeout bounds one write to a caller, so that a caller whose
// connection went silent does not hold its engine and its program's turn.
const callerWriteTimeout = 20 * time.Second

func (s *eventWriter) write(parts ...[]byte) error {
	defer limitWrite(s.w, callerWriteTimeout)()
	for _, part := range parts {
		if _, err := s.w.Write(part); err != nil {
			return err
		}
	}
	return http.NewResponseController(s.w).Flush()
}

// limitWrite bounds the writes to a caller until the returned function is
// called. A writer without deadlines, as in tests, is written to all the same.
func limitWrite(w http.ResponseWriter, limit time.Duration) func() {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(limit))
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}

// fail ends a started stream with a problem.
func (s *eventWriter) fail(p *Problem) {
	body, err := json.Marshal(map[string]any{"error": p})
	if err != nil {
		return
	}
	// A failed write means that the caller is gone.
	if _, err := s.w.Write([]byte("event: error\n")); err != nil {
		return
	}
	_ = s.data(body)
}
