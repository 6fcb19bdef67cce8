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
	// closing is closed by Close, and done at the end of run.
	closing, done chan struct{}
}

// NewAsyncWriter returns a writer that writes lines to out. Close stops it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, queue: make(chan []byte, asyncQueueLines), closing: make(chan struct{}), done: make(chan struct{})}
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

// Close writes the queued lines and stops the goroutine. Lines that are written later are
// lost: goroutines of a process that ends may still log. Close must be called once.
func (a *AsyncWriter) Close() {
	close(a.closing)
	<-a.done
}

// run writes the queued lines until Close is called and the queue is empty.
func (a *AsyncWriter) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.queue:
			a.write(line)
		case <-a.closing:
			select {
			case line := <-a.queue:
				a.write(line)
			default:
				return
			}
		}
	}
}

// write writes a line, and with it lines that are already queued.
func (a *AsyncWriter) write(line []byte) {
	buffer := line
	for more := true; more && len(buffer) < maxWriteBytes; {
		select {
		case next := <-a.queue:
			buffer = append(buffer, next...)
		default:
			more = false
		}
	}
	// A failure to write the log cannot be logged.
	_, _ = a.out.Write(buffer)
}

// maxWriteBytes is the size in bytes at which write stops adding lines to a write. The last
// line may exceed it.
const maxWriteBytes = 32 << 10
