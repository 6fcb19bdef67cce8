package forward

import (
	"cmp"
	"errors"
	"net"
	"time"

	"hemlockvale.dev/server/progress"
)

const (
	// defaultStallTimeout is how long a caller may leave a response unread. Targets abort
	// responses that stay unread for longer.
	defaultStallTimeout = 5 * time.Second
	// callerSendBufferBytes bounds the bytes that the kernel holds for one caller, and
	// targetReceiveBufferBytes those that it holds of one target's response, so that a target
	// is read no faster than the caller reads. The kernel doubles both.
	callerSendBufferBytes    = 128 << 10
	targetReceiveBufferBytes = 128 << 10
	// reasonStalled is the reason of a response that the caller did not read for the timeout.
	reasonStalled = "caller_stalled"
)

// Listener returns a listener for callers, whose connections are closed when they leave a
// response unread for the stall timeout.
func (e *Entry) Listener(l net.Listener) net.Listener {
	return &progress.Listener{
		Listener: l, Timeout: cmp.Or(e.options.StallTimeout, defaultStallTimeout), SendBuffer: callerSendBufferBytes,
		OnStall: func() { e.countClosed("caller", reasonStalled) },
	}
}

// noteCallerLost records why a response can't be written to the caller.
func (x *exchange) noteCallerLost(err error) {
	x.callerStalled = x.callerStalled || errors.Is(err, progress.ErrStalled)
	x.record.reason = x.callerLostReason()
}

// callerLostReason returns the reason of a response that the caller does not get.
func (x *exchange) callerLostReason() string {
	if x.callerStalled {
		return reasonStalled
	}
	return "caller_left"
}
