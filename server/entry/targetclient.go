package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"hemlockvale.dev/coord/retry"
)

const (
	// targetDialTimeout bounds a connection attempt; targets are a few milliseconds away.
	targetDialTimeout = time.Second
	// silenceLimit is how long a stream may deliver no byte. Engines send a
	// keep-alive at least every second, so a long quiet generation is not cut.
	silenceLimit = 5 * time.Second
	// keepAliveInterval and keepAliveCount find a connection whose state a
	// middlebox has lost while a plain service, which sends no keep-alive, works.
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// idleConnTimeout is shorter than any server's own, so that a kept connection
	// that breaks under a request means a crash and not an idle close.
	idleConnTimeout = 5 * time.Second
	// cancelTimeout bounds the order to cancel a request on a target.
	cancelTimeout = 2 * time.Second
)

var errSilent = errors.New("the connection to the target delivered nothing within the time limit")

// targetClient sends requests to targets.
type targetClient struct {
	// reuse keeps connections for idempotent requests.
	reuse *http.Client
	// fresh opens a connection for each request. The standard transport sends
	// some requests a second time when a kept connection turns out to be
	// closed, which a non-idempotent request must never be.
	fresh *http.Client
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
	transport := func(disableKeepAlives bool) *http.Client {
		return &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				DisableCompression:  true,
				DisableKeepAlives:   disableKeepAlives,
				MaxIdleConnsPerHost: 256,
				IdleConnTimeout:     idleConnTimeout,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &targetClient{reuse: transport(false), fresh: transport(true)}
}

// targetRequest is a request as a target sees it.
type targetRequest struct {
	method        string
	url           string
	header        http.Header
	body          []byte
	nonIdempotent bool
}

// exchange is one attempt's connection to a target.
type exchange struct {
	response *http.Response
	cancel   context.CancelCauseFunc
	ctx      context.Context
	silence  *time.Timer
}

// open sends the request and waits for the response's header. On failure it
// returns how far the request came.
func (t *targetClient) open(parent context.Context, tr targetRequest, watchSilence bool) (*exchange, retry.Result, error) {
	ctx, cancel := context.WithCancelCause(parent)
	x := &exchange{ctx: ctx, cancel: cancel}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), tr.method, tr.url, bytes.NewReader(tr.body))
	if err != nil {
		cancel(nil)
		return nil, retry.NotSent, err
	}
	req.Header = tr.header
	client := t.reuse
	if tr.nonIdempotent {
		client = t.fresh
	}
	if watchSilence {
		x.silence = time.AfterFunc(silenceLimit, func() { cancel(errSilent) })
	}
	x.response, err = client.Do(req)
	if err != nil {
		result := x.classify(err, connected)
		x.close()
		return nil, result, err
	}
	return x, retry.Completed, nil
}

// Read reads the response's body and renews the silence limit.
func (x *exchange) Read(p []byte) (int, error) {
	n, err := x.response.Body.Read(p)
	if n > 0 && x.silence != nil {
		x.silence.Reset(silenceLimit)
	}
	return n, err
}

// readAll reads the whole body.
func (x *exchange) readAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(x, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errors.New("the response exceeds the size limit")
	}
	return body, err
}

// close ends the exchange; a response that was not read to its end loses its connection.
func (x *exchange) close() {
	if x.silence != nil {
		x.silence.Stop()
	}
	if x.response != nil {
		_ = x.response.Body.Close()
	}
	x.cancel(nil)
}

// classify names the cause of a failed exchange.
func (x *exchange) classify(err error, connected bool) retry.Result {
	cause := context.Cause(x.ctx)
	var timeout net.Error
	switch {
	case errors.Is(cause, errSilent):
		return retry.NoAnswer
	case cause != nil:
		if !connected {
			return retry.NotSent
		}
		return retry.Cancelled
	case !connected:
		return retry.NotSent
	case errors.As(err, &timeout) && timeout.Timeout():
		return retry.NoAnswer
	}
	return retry.Crashed
}

// cancelRequest tells a target to drop a request whose connection is gone.
func (t *targetClient) cancelRequest(address, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/requests/"+id, nil)
	if err != nil {
		return
	}
	// The order is a best effort: the target also notices the closed connection.
	if resp, err := t.fresh.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
