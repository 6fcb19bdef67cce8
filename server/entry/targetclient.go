package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"hemlockvale.dev/coord/retry"
	"hemlockvale.dev/server/integrity"
	"hemlockvale.dev/server/tcpend"
)

const (
	// targetDialTimeout limits a connection attempt. The network round trip to a target
	// takes a few milliseconds.
	targetDialTimeout = time.Second
	// silenceTimeout is the time without a received byte after which a stream counts as
	// dead. Engines send a keep-alive at least every second, so a generation that takes
	// longer to produce a token is not affected.
	silenceTimeout = 5 * time.Second
	// keepAliveInterval and keepAliveCount configure TCP keep-alive. It detects that a
	// middlebox has lost the state of a connection while a plain service, which sends no
	// keep-alives of its own, processes a request.
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// idleConnTimeout is shorter than the idle timeout of any target. A pooled connection
	// that breaks during a request therefore indicates a crash, not an idle close.
	idleConnTimeout = 5 * time.Second
	// cancelRequestTimeout limits the request that cancels another request on a target.
	cancelRequestTimeout = 2 * time.Second
)

// errSilent is the cancellation cause of an exchange that reached silenceTimeout.
var errSilent = errors.New("the connection to the target delivered nothing within the time limit")

// errResponseTooLarge is the error of an exchange whose response exceeds its limit.
var errResponseTooLarge = errors.New("the response exceeds the size limit")

// targetClient sends requests to targets. It is safe for concurrent use.
type targetClient struct {
	// pooled reuses connections. It is used for idempotent requests.
	pooled *http.Client
	// unpooled opens a new connection for each request. The standard transport sends
	// some requests again if a reused connection turns out to be closed, and a
	// non-idempotent request must never be sent twice.
	unpooled *http.Client
}

func newTargetClient() *targetClient {
	dialer := net.Dialer{
		Timeout: targetDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &targetConn{Conn: tcpend.Wrap(conn)}, nil
	}
	newHTTPClient := func(disableKeepAlives bool) *http.Client {
		return &http.Client{
			Transport: &http.Transport{
				DialContext:         dial,
				DisableCompression:  true,
				DisableKeepAlives:   disableKeepAlives,
				MaxIdleConnsPerHost: 256,
				IdleConnTimeout:     idleConnTimeout,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &targetClient{pooled: newHTTPClient(false), unpooled: newHTTPClient(true)}
}

// targetRequest is a request to a target.
type targetRequest struct {
	method        string
	url           string
	header        http.Header
	body          []byte
	nonIdempotent bool
}

// exchange is one request to a target and its response.
type exchange struct {
	response *http.Response
	// conn is the connection that carries the request; nil if none does. connected is set once
	// one was to.
	conn         *targetConn
	connected    bool
	cancel       context.CancelCauseFunc
	ctx          context.Context
	silenceTimer *time.Timer
	// received is the number of bytes of the body that were read.
	received int64
}

// open sends the request and waits for the header of the response. If it fails, the
// result tells how far the request got. limitSilence applies silenceTimeout to the
// exchange.
func (t *targetClient) open(parent context.Context, request targetRequest, limitSilence bool) (*exchange, retry.Result, error) {
	ctx, cancel := context.WithCancelCause(parent)
	x := &exchange{ctx: ctx, cancel: cancel}
	trace := &httptrace.ClientTrace{GotConn: x.useConn}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), request.method, request.url, bytes.NewReader(request.body))
	if err != nil {
		cancel(nil)
		return nil, retry.NotSent, err
	}
	req.Header = request.header
	client := t.pooled
	if request.nonIdempotent {
		client = t.unpooled
	}
	if limitSilence {
		x.silenceTimer = time.AfterFunc(silenceTimeout, func() { cancel(errSilent) })
	}
	x.response, err = client.Do(req)
	if err != nil {
		result := x.classifyError(err, x.connected)
		x.close()
		return nil, result, err
	}
	if x.conn == nil {
		// A refusal was written twice, and the copy arrived just before the first write.
		x.close()
		if x.connected {
			return nil, retry.NoAnswer, errConnSpent
		}
		return nil, retry.NotSent, errConnSpent
	}
	return x, retry.Completed, nil
}

// useConn is called with the connection for the request, again if the transport sends it on
// another one.
func (x *exchange) useConn(info httptrace.GotConnInfo) {
	x.conn = nil
	if conn, ok := info.Conn.(*targetConn); ok && conn.begin() {
		x.conn, x.connected = conn, true
	}
}

// checkResponse returns an error, and how far the request with the given id got, if the
// response refuses the request or belongs to another one.
func (x *exchange) checkResponse(id string, nonIdempotent bool) (retry.Result, error) {
	if echoedID := x.response.Header.Get(headerRequest); echoedID != "" && echoedID != id {
		x.conn.discard()
		return retry.NoAnswer, fmt.Errorf("target answered request %s", echoedID)
	}
	if !integrity.IsFinal(x.response.StatusCode) {
		x.conn.discard()
		return retry.NoAnswer, fmt.Errorf("%w %03d", integrity.ErrInvalidStatus, x.response.StatusCode)
	}
	if isRejection(x.response, nonIdempotent) {
		return retry.Rejected, fmt.Errorf("target answered %s", x.response.Status)
	}
	return retry.Completed, nil
}

// isRejection reports whether the response proves that the target did not run the
// request. Status 503 does not prove it for a non-idempotent request.
func isRejection(r *http.Response, nonIdempotent bool) bool {
	if r.StatusCode == http.StatusServiceUnavailable && nonIdempotent {
		return false
	}
	return isRefusal(r.StatusCode)
}

// isRefusal reports whether targets refuse requests with a status.
func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// Read reads from the body of the response and restarts the silence timer. It returns
// errResponseTooLarge once the body exceeds maxResponseBytes.
func (x *exchange) Read(p []byte) (int, error) {
	if x.received > maxResponseBytes {
		return 0, errResponseTooLarge
	}
	n, err := x.response.Body.Read(p)
	x.received += int64(n)
	if n > 0 && x.silenceTimer != nil {
		x.silenceTimer.Reset(silenceTimeout)
	}
	return n, err
}

// readAll reads the whole body. It fails if the body exceeds maxResponseBytes, or if its format
// shows that it was broken off.
func (x *exchange) readAll() ([]byte, error) {
	body, err := io.ReadAll(x)
	if err != nil {
		return nil, err
	}
	return body, integrity.Check(x.response, net.Buffers{body})
}

// close ends the exchange. It closes the connection if the response was not read to its
// end.
func (x *exchange) close() {
	if x.silenceTimer != nil {
		x.silenceTimer.Stop()
	}
	if x.response != nil {
		_ = x.response.Body.Close()
	}
	x.cancel(nil)
}

// classifyError returns the result of a failed exchange. connected states whether a
// connection to the target had been established.
func (x *exchange) classifyError(err error, connected bool) retry.Result {
	cause := context.Cause(x.ctx)
	var netErr net.Error
	switch {
	case errors.Is(cause, errSilent) || errors.Is(err, errResponseTooLarge):
		return retry.NoAnswer
	case cause != nil:
		if !connected {
			return retry.NotSent
		}
		return retry.Cancelled
	case !connected:
		return retry.NotSent
	case errors.As(err, &netErr) && netErr.Timeout():
		return retry.NoAnswer
	}
	return retry.Crashed
}

// cancelRequest asks a target to stop a request whose connection was closed.
func (t *targetClient) cancelRequest(address, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelRequestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/requests/"+id, nil)
	if err != nil {
		return
	}
	// An error is ignored, because the target also detects the closed connection.
	if resp, err := t.unpooled.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
