package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxFrameBytes bounds one message. The largest messages are snapshots.
const maxFrameBytes = 64 << 20

// errFrameTooLarge reports a length prefix above maxFrameBytes.
var errFrameTooLarge = errors.New("frame exceeds the size limit")

// stream implements jsonrpc2.ObjectStream. Each JSON message follows its length, which is
// an unsigned varint. A connection that receives nothing for SilenceTimeout fails at its
// read deadline and is closed. While calls are in progress and the connection works, the
// heartbeat of the client prevents this at both ends.
type stream struct {
	conn     net.Conn
	r        *bufio.Reader
	writeMu  sync.Mutex
	reserved *reservation
	// lastRead is the Unix time in nanoseconds of the last message.
	lastRead atomic.Int64
}

// newStream returns a stream that counts the bytes of the connection in t, and reserves memory
// for large messages.
func newStream(c net.Conn, t *Traffic, reserved *reservation) *stream {
	counted := countedConn{c, t}
	return &stream{conn: counted, r: bufio.NewReader(deadlineReader{counted}), reserved: reserved}
}

// newBufferedStream returns a stream that reads from r, which has already buffered the
// first bytes of the connection.
func newBufferedStream(c net.Conn, r *bufio.Reader, reserved *reservation) *stream {
	return &stream{conn: c, r: r, reserved: reserved}
}

// Traffic counts the bytes of all connections of a server or of a pool.
type Traffic struct {
	// Received and Sent are the bytes since the creation of the server or pool, including
	// heartbeats.
	Received, Sent atomic.Int64
}

// countedConn is a connection that adds the bytes it transfers to a Traffic.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads from the connection and counts the received bytes.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the sent bytes.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

// WriteObject writes one message. A write deadline keeps a peer that has stopped
// reading from blocking the writer forever.
func (s *stream) WriteObject(obj any) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(SilenceTimeout)); err != nil {
		return err
	}
	return writeFrame(s.conn, obj)
}

// writeFrame writes the length prefix and the message in one call of w.Write.
func writeFrame(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen32), uint64(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

// ReadObject reads one message.
func (s *stream) ReadObject(v any) error {
	err := readFrame(s.r, v, s.reserved)
	s.lastRead.Store(time.Now().UnixNano())
	return err
}

// sinceRead returns the time since the last message.
func (s *stream) sinceRead() time.Duration {
	return time.Duration(time.Now().UnixNano() - s.lastRead.Load())
}

// Close closes the underlying connection.
func (s *stream) Close() error { return s.conn.Close() }

// deadlineReader reads from a connection; a read fails when no data arrives for
// SilenceTimeout.
type deadlineReader struct{ c net.Conn }

// Read sets a new read deadline and reads from the connection.
func (d deadlineReader) Read(p []byte) (int, error) {
	if err := d.c.SetReadDeadline(time.Now().Add(SilenceTimeout)); err != nil {
		return 0, err
	}
	return d.c.Read(p)
}

// readFrame reads a length prefix and decodes the message after it into v.
func readFrame(r *bufio.Reader, v any, reserved *reservation) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > maxFrameBytes {
		return errFrameTooLarge
	}
	release, err := reserved.take(size)
	if err != nil {
		return err
	}
	defer release()
	buf, err := readSteps(r, int(size))
	if err != nil {
		return err
	}
	return json.Unmarshal(buf, v)
}

// readSteps reads size bytes. Its buffer grows with the bytes that have arrived, so that a peer
// that states a long message and sends little holds little.
func readSteps(r io.Reader, size int) ([]byte, error) {
	buf := make([]byte, 0, min(size, reservedFrameBytes))
	for len(buf) < size {
		if len(buf) == cap(buf) {
			buf = slices.Grow(buf, min(size-len(buf), len(buf)))
		}
		n, err := io.ReadFull(r, buf[len(buf):min(cap(buf), size)])
		buf = buf[:len(buf)+n]
		if err != nil {
			return nil, err
		}
	}
	return buf, nil
}

// discardLogger drops the log output of jsonrpc2, because the users of this package log
// failures themselves.
type discardLogger struct{}

// Printf drops the message.
func (discardLogger) Printf(string, ...any) {}
