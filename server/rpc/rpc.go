// Package rpc carries calls between the processes of the system: jsonrpc2 over
// TCP, with a heartbeat inside every connection.
//
// A connection can go silent for good while new ones work. The client side of
// every connection therefore sends pings while a call waits and closes the
// connection when nothing has arrived for SilenceTimeout; calls under way then
// fail with an unknown outcome and the next call dials again. A connection
// without calls is closed after IdleTimeout, so that VMs which talk rarely cost
// each other nothing.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const (
	// PingInterval is the time between heartbeats on a client connection while calls wait.
	PingInterval = 500 * time.Millisecond
	// SilenceTimeout is how long a connection may deliver nothing before it is closed.
	SilenceTimeout = 2 * time.Second
	// IdleTimeout closes a connection that carried no call for so long. It is
	// shorter than SilenceTimeout, because only calls under way are accompanied by pings.
	IdleTimeout = time.Second
	// pingMethod is answered by every server.
	pingMethod = "rpc.ping"
	// handlerErrorCode marks an error that a handler returned as *Error.
	handlerErrorCode = -32050
	// methodNotFoundCode is the JSON-RPC code for a method that the server lacks.
	methodNotFoundCode = -32601
	// internalErrorCode is the JSON-RPC code for any other failure of a handler.
	internalErrorCode = -32603
)

// ErrUnreachable reports that the request was certainly not delivered: no byte
// of it was written. Any other transport failure has an unknown outcome.
var ErrUnreachable = errors.New("peer unreachable")

// ErrConnectionLost reports that the connection failed after the request may
// have been delivered.
var ErrConnectionLost = errors.New("connection lost, outcome unknown")

// Caller issues calls to one peer.
type Caller interface {
	Call(ctx context.Context, method string, params, result any) error
}

// Handler answers one method.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Error is a typed failure that crosses the connection unchanged.
type Error struct {
	Code    string          `json:"code"`
	Message string          `json:"message"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// Error returns the code and the message.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

// Errorf returns an *Error with a formatted message.
func Errorf(code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// CodeOf returns the code of a typed error, or "" for any other error.
func CodeOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}
