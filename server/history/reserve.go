package history

import "io"

const (
	// reserveStepBytes is the size of the steps in which responses are reserved. The first one,
	// which most responses don't exceed, is not.
	reserveStepBytes = 64 << 10
	// responseCopies is the number of times that a response is held: as it was read, and
	// decoded.
	responseCopies = 2
)

// reservingReader reserves memory for the bytes of a response before it reads them.
type reservingReader struct {
	source  io.Reader
	reserve func(n int) (release func(), err error)
	// left is the number of bytes that may be read before the next reservation, and releases
	// holds the reservations.
	left     int
	begun    bool
	releases []func()
}

// Read reads from the source.
func (r *reservingReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		if r.begun {
			release, err := r.reserve(responseCopies * reserveStepBytes)
			if err != nil {
				return 0, err
			}
			r.releases = append(r.releases, release)
		}
		r.begun, r.left = true, reserveStepBytes
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// release releases the reservations.
func (r *reservingReader) release() {
	for _, release := range r.releases {
		release()
	}
}
