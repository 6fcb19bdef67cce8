package logging

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFormat guards against lines that cannot be parsed as key=value pairs.
func TestFormat(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "info", "vm-1")
	require.NoError(t, err)
	log.Time = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	log.WithFields(logrus.Fields{"event": "x", "n": 3, "f": 1.5, "ok": true, "text": "two words", "quote": `a"b`, "list": []string{"a"}}).
		WithError(errors.New("line\nbreak")).Info("a message")
	log.Debug("below the level")
	assert.Equal(t, `time=2026-12-04T08:00:00Z level=info msg="a message" error="line\nbreak" event=x f=1.5 list=[a] n=3 ok=true quote="a\"b" text="two words" vm=vm-1`+"\n", out.String())
}

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

// Write waits until release is closed and appends p to out.
func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

// TestAsyncNeverBlocks guards against requests that wait until a log line is written, and
// against dropped lines that are not counted.
func TestAsyncNeverBlocks(t *testing.T) {
	s := &blockedWriter{release: make(chan struct{})}
	a := NewAsyncWriter(s)
	const lines = 3 * asyncQueueLines
	start := time.Now()
	for range lines {
		_, err := io.WriteString(a, "line\n")
		require.NoError(t, err)
	}
	assert.Less(t, time.Since(start), time.Second)
	assert.Positive(t, a.Dropped())
	close(s.release)
	a.Close()
	assert.EqualValues(t, lines, a.Dropped()+int64(strings.Count(s.out.String(), "\n")))
}

// BenchmarkRequestLine measures the cost of one log line of a request. Each request writes
// two lines.
func BenchmarkRequestLine(b *testing.B) {
	log, _ := New(io.Discard, "info", "front-valley-east-1")
	for b.Loop() {
		log.WithFields(logrus.Fields{
			"event": "request", "request": "c03aae09728fd9df", "status": 200, "reason": "", "took_ms": 12.3, "revision": uint64(52), "control_age_ms": int64(57),
			"version": int64(82), "route": "r-sfcbu2t", "left_ms": int64(2983), "organisation": "titi364", "program": "1bc5a09ebf81bb", "targets": "i-1:ok",
			"admit_ms": 2.4, "queued_ms": 0.0, "first_ms": 11.1, "events": int64(7),
		}).Info("request ended")
	}
}
