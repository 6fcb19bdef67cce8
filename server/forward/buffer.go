package forward

import (
	"errors"
	"io"
	"net"
)

const (
	// firstStepBytes and maxStepBytes bound the steps in which a body is reserved and read. A
	// body of stated length begins with one step if it is at most ordinaryBodyBytes.
	firstStepBytes    = 4 << 10
	maxStepBytes      = 256 << 10
	ordinaryBodyBytes = 64 << 10
)

// errBodyTooLarge is returned for a body that exceeds its limit.
var errBodyTooLarge = errors.New("body is too large")

// readSteps reads a body into buffers that are reserved one after the other, before their bytes
// are read. Buffers that don't grow need no copies, which would cost several times the size of
// the body. length is the stated length of the body, or -1.
func readSteps(r io.Reader, length, limit int64, reserve func(n int) error) (net.Buffers, error) {
	if length > limit {
		return nil, errBodyTooLarge
	}
	var body net.Buffers
	for total := int64(0); ; {
		step := nextStep(total, length)
		if err := reserve(step); err != nil {
			return body, err
		}
		buffer := make([]byte, step)
		n, err := readFull(r, buffer)
		total += int64(n)
		if n > 0 {
			body = append(body, buffer[:n])
		}
		switch {
		case total > limit:
			return body, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// nextStep returns the size of the next buffer after total bytes. The bodies of net/http return
// io.EOF with the last byte of the stated length.
func nextStep(total, length int64) int {
	left := length - total
	switch {
	case left <= 0:
		return int(min(max(total, firstStepBytes), maxStepBytes))
	case left <= ordinaryBodyBytes:
		return int(left)
	}
	return int(min(left, max(total, ordinaryBodyBytes), maxStepBytes))
}

// readFull is io.ReadFull, except that it returns the error of r as it is, also with the last
// bytes of the buffer.
func readFull(r io.Reader, buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		read, err := r.Read(buffer[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// size returns the number of bytes in some buffers.
func size(buffers net.Buffers) int {
	n := 0
	for _, b := range buffers {
		n += len(b)
	}
	return n
}

// join returns the bytes of some buffers as one. It copies only if there are several.
func join(buffers net.Buffers) []byte {
	if len(buffers) == 1 {
		return buffers[0]
	}
	joined := make([]byte, 0, size(buffers))
	for _, b := range buffers {
		joined = append(joined, b...)
	}
	return joined
}
