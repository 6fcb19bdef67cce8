package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
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

// next returns the data of the next event; io.EOF at the end of the stream.
func (r *eventReader) next() ([]byte, error) {
	var data []byte
	for r.scanner.Scan() {
		line := bytes.TrimSuffix(r.scanner.Bytes(), []byte("\r"))
		switch {
		case len(line) == 0 && len(data) > 0:
			return data, nil
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
	for _, part := range [][]byte{[]byte("data: "), data, []byte("\n\n")} {
		if _, err := s.w.Write(part); err != nil {
			return err
		}
	}
	return http.NewResponseController(s.w).Flush()
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
