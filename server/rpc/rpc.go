// Package rpc implements calls between the processes of the system: JSON-RPC 2.0 over
// TCP, with a heartbeat on every connection.
//
// An established connection can stop delivering data permanently while new connections
// to the same peer work. The client of each connection therefore sends pings while calls
// are in progress and closes the connection when it has received nothing for
// SilenceTimeout. Calls in progress then fail with an unknown outcome, and the next call
// dials again. A connection without calls is closed after IdleTimeout, so that VMs that
// rarely call each other keep no connection and send no pings.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const (
	// PingInterval is the time between two pings on a client connection with calls in
	// progress, if no other responses arrive.
	PingInterval = 500 * time.Millisecond
	// quietTime is the time without a response after which pings are sent. Together with
	// PingInterval it is shorter than SilenceTimeout, so that the server hears from the
	// client in time.
	quietTime = SilenceTimeout / 2
	// SilenceTimeout is the time without received data after which a connection is closed.
	SilenceTimeout = 2 * time.Second
	// IdleTimeout is the time without calls after which the client closes a connection.
	// It is shorter than SilenceTimeout, because an idle connection carries no pings and
	// would otherwise be closed as silent.
	IdleTimeout = time.Second
	// pingMethod is the heartbeat method, which every server handles.
	pingMethod = "rpc.ping"
	// handlerErrorCode is the JSON-RPC code for an *Error returned by a handler.
	handlerErrorCode = -32050
	// methodNotFoundCode is the JSON-RPC code for a method without a registered handler.
	methodNotFoundCode = -32601
	// internalErrorCode is the JSON-RPC code for any other failure of a handler.
	internalErrorCode = -32603
)

// ErrUnreachable reports that no byte of the request was sent, so that the peer has not
// executed it. After any other transport failure the outcome is unknown.
var ErrUnreachable = errors.New("peer unreachable")

// ErrMethodUnknown reports that the peer, which is of an earlier build, does not know the method.
var ErrMethodUnknown = errors.New("peer does not know the method")

// ErrConnectionLost reports that the connection failed after the request may have been
// delivered.
var ErrConnectionLost = errors.New("connection lost, outcome unknown")

// Caller sends calls to one peer.
type Caller interface {
	// Call sends a request, waits for the response and decodes it into result.
	Call(ctx context.Context, method string, params, result any) error
}

// Handler executes the calls of one method. It returns the result or an error.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Error is an error with a code. If a handler returns an *Error, the caller receives the
// same code, message and data.
type Error struct {
	Code    string          `json:"code"`
	Message string          `json:"message"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// Error returns the code and the message, separated by a colon.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

// Errorf returns an *Error with a formatted message.
func Errorf(code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// CodeOf returns the code of the *Error in the chain of err, or "" if there is none.
func CodeOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}
