package logging

import (
	"io"
	"sync/atomic"
)

// asyncQueueLines is the maximum number of lines in the queue of an AsyncWriter.
const asyncQueueLines = 4096

// AsyncWriter writes lines in a background goroutine. It drops lines while its queue is
// full, so that a slow reader of the log does not delay requests.
type AsyncWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter returns a writer that writes lines to out. Close stops it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, queue: make(chan []byte, asyncQueueLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues one line, or drops it if the queue is full. It does not block and returns
// no error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	select {
	case a.queue <- queued:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Write must not be called
// afterwards.
func (a *AsyncWriter) Close() {
	close(a.queue)
	<-a.done
}

// run writes the queued lines. It combines lines that are already queued into one write.
func (a *AsyncWriter) run() {
	defer close(a.done)
	var buffer []byte
	for line := range a.queue {
		buffer = append(buffer[:0], line...)
		for more := true; more && len(buffer) < maxWriteBytes; {
			select {
			case next, open := <-a.queue:
				more = open
				buffer = append(buffer, next...)
			default:
				more = false
			}
		}
		// A failure to write the log cannot be logged.
		_, _ = a.out.Write(buffer)
	}
}

// maxWriteBytes is the size in bytes at which run stops adding lines to a write. The last
// line may exceed it.
const maxWriteBytes = 32 << 10
