package rpc

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
)

// acceptRetryInterval is the time between two attempts to accept a connection. It bounds the log
// lines as well.
const acceptRetryInterval = 50 * time.Millisecond

// Server executes the calls that arrive on the connections of its listeners.
type Server struct {
	reservation
	log     *logrus.Entry
	traffic Traffic

	mu       sync.Mutex
	handlers map[string]Handler
	// protocols maps the prefaces of other protocols to the handlers of their connections.
	protocols map[string]func(net.Conn, *bufio.Reader)
	conns     map[*jsonrpc2.Conn]struct{}
	listeners []net.Listener
	closed    bool
}

// NewServer returns a server that handles only heartbeats.
func NewServer(log *logrus.Entry) *Server {
	s := &Server{
		log:       log,
		handlers:  make(map[string]Handler),
		protocols: make(map[string]func(net.Conn, *bufio.Reader)),
		conns:     make(map[*jsonrpc2.Conn]struct{}),
	}
	s.Handle(pingMethod, func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil })
	return s
}

// Handle registers the handler of a method and replaces an earlier registration.
func (s *Server) Handle(method string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = h
}

// Traffic returns the byte counters of the accepted connections.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Serve accepts connections until the listener or the server is closed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return net.ErrClosed
	}
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			// Too many descriptors are open, or the peer has gone. Either passes, and the
			// process must not end for it.
			s.log.WithField("event", "rpc_accept_failed").WithError(err).Warn("a connection can't be accepted")
			time.Sleep(acceptRetryInterval)
			continue
		}
		go s.dispatchConn(c)
	}
}

// prefaceBytes is the length of the preface that selects another protocol on a
// connection. No JSON-RPC frame begins with four letters: if its first byte is a letter,
// that byte is the complete length prefix, because it is below 128, and the next byte is
// the opening brace of the message.
const prefaceBytes = 4

// HandleConn registers the handler of connections that begin with preface, which must be
// four letters. The handler reads from r, which continues after the preface, and must
// close c.
func (s *Server) HandleConn(preface string, h func(c net.Conn, r *bufio.Reader)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.protocols[preface] = h
}

// dispatchConn serves a connection with the protocol that its first bytes select.
func (s *Server) dispatchConn(c net.Conn) {
	counted := countedConn{c, &s.traffic}
	r := bufio.NewReader(deadlineReader{counted})
	first, err := r.Peek(prefaceBytes)
	if err != nil {
		c.Close()
		return
	}
	s.mu.Lock()
	h := s.protocols[string(first)]
	s.mu.Unlock()
	if h == nil {
		s.serveConn(newBufferedStream(counted, r, &s.reservation))
		return
	}
	if _, err := r.Discard(prefaceBytes); err != nil {
		c.Close()
		return
	}
	h(counted, r)
}

// Close closes the listeners and the JSON-RPC connections.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	listeners, conns := s.listeners, s.conns
	s.listeners, s.conns = nil, make(map[*jsonrpc2.Conn]struct{})
	s.mu.Unlock()
	var errs []error
	for _, l := range listeners {
		errs = append(errs, l.Close())
	}
	for c := range conns {
		errs = append(errs, ignoreClosed(c.Close()))
	}
	return errors.Join(errs...)
}

// serveConn starts serving JSON-RPC on a connection.
func (s *Server) serveConn(stream *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		stream.Close()
		return
	}
	conn := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.AsyncHandler(connHandler{s}), jsonrpc2.SetLogger(discardLogger{}))
	s.conns[conn] = struct{}{}
	go s.removeWhenClosed(conn)
}

// removeWhenClosed removes a connection from the server when it has ended.
func (s *Server) removeWhenClosed(conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// connHandler implements jsonrpc2.Handler with the handlers of a server.
type connHandler struct{ s *Server }

// Handle executes a request and sends the response.
func (h connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := h.s.invoke(ctx, req)
	if req.Notif {
		return
	}
	response := &jsonrpc2.Response{ID: req.ID}
	if err == nil {
		err = response.SetResult(result)
	}
	if err != nil {
		response.Result = nil
		response.Error = encodeError(err)
	}
	// If the write fails, the connection is lost, which the caller detects itself.
	_ = conn.SendResponse(ctx, response)
}

// invoke calls the handler of a request. A panic of the handler is logged and returned as
// an error, so that it does not end the process.
func (s *Server) invoke(ctx context.Context, req *jsonrpc2.Request) (result any, err error) {
	s.mu.Lock()
	h := s.handlers[req.Method]
	s.mu.Unlock()
	if h == nil {
		return nil, &jsonrpc2.Error{Code: methodNotFoundCode, Message: "method not found: " + req.Method}
	}
	defer func() {
		if p := recover(); p != nil {
			s.log.WithFields(logrus.Fields{"event": "rpc_handler_panic", "method": req.Method, "stack": string(debug.Stack())}).Error(p)
			err = &jsonrpc2.Error{Code: internalErrorCode, Message: "internal error"}
		}
	}()
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return h(ctx, params)
}

// encodeError converts the error of a handler to a JSON-RPC error object.
func encodeError(err error) *jsonrpc2.Error {
	var typed *Error
	if errors.As(err, &typed) {
		e := &jsonrpc2.Error{Code: handlerErrorCode, Message: typed.Message}
		e.SetError(typed)
		return e
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return rpcErr
	}
	return &jsonrpc2.Error{Code: internalErrorCode, Message: err.Error()}
}

// decodeError converts a JSON-RPC error object to an *Error and returns any other error
// unchanged.
func decodeError(err error) error {
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) {
		return err
	}
	if rpcErr.Code == handlerErrorCode && rpcErr.Data != nil {
		var typed Error
		if json.Unmarshal(*rpcErr.Data, &typed) == nil {
			return &typed
		}
	}
	if rpcErr.Code == methodNotFoundCode {
		return &Error{Code: CodeMethodNotFound, Message: rpcErr.Message}
	}
	return &Error{Code: "internal", Message: rpcErr.Message}
}

// ignoreClosed returns nil if err only reports that the connection was already closed.
func ignoreClosed(err error) error {
	if errors.Is(err, jsonrpc2.ErrClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
