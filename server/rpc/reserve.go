package rpc

import (
	"context"
	"sync/atomic"
)

const (
	// reservedFrameBytes is the size above which a frame is reserved. Smaller ones are bounded
	// by the number of connections.
	reservedFrameBytes = 64 << 10
	// frameCopies is the number of times that a frame is held: as it was read, and decoded.
	frameCopies = 2
)

// Reserve reserves memory for a message before it is read. release is called once the message
// has been decoded.
type Reserve func(ctx context.Context, n int) (release func(), err error)

// reservation holds the Reserve of a server or of a pool. The zero value reserves nothing.
type reservation struct{ reserve atomic.Pointer[Reserve] }

// SetReserve makes the connections reserve memory for large messages. One that can't be reserved
// ends its connection.
func (r *reservation) SetReserve(reserve Reserve) { r.reserve.Store(&reserve) }

// take reserves memory for a frame.
func (r *reservation) take(size uint64) (release func(), err error) {
	reserve := r.reserve.Load()
	if reserve == nil || size <= reservedFrameBytes {
		return func() {}, nil
	}
	return (*reserve)(context.Background(), int(size)*frameCopies)
}
