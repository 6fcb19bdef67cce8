package control

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"hemlockvale.dev/server/integrity"
)

const (
	// headerForwarded marks a request that another control VM has forwarded, so that
	// it is not forwarded again. Its value is the name of that VM.
	headerForwarded = "X-Hemlockvale-Forwarded"
	// forwardTimeout limits a forwarded request: a read barrier and a proposal on the
	// leader.
	forwardTimeout = barrierTimeout + proposeTimeout
	// leaderCheckInterval is the interval at which a change of leader is checked while
	// a forwarded request is in progress.
	leaderCheckInterval = 50 * time.Millisecond
	// dialTimeout limits the establishment of a connection to the leader.
	dialTimeout = 500 * time.Millisecond
)

// forwarder is the HTTP client for operators' requests that are sent to the leader.
type forwarder struct {
	client *http.Client
}

func newForwarder() forwarder {
	dialer := net.Dialer{Timeout: dialTimeout}
	return forwarder{client: &http.Client{
		Timeout:   forwardTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// forward sends a request to the leader once and copies the response.
func (c *Control) forward(w http.ResponseWriter, r *http.Request) {
	name, _, _ := c.o.Quorum.Leader()
	address := c.o.Settings.HTTPAddresses[name]
	if name == "" || address == "" || name == c.o.Settings.Name || r.Header.Get(headerForwarded) != "" {
		c.fail(w, r, problem(http.StatusServiceUnavailable, CodeNoQuorum, "", "no leader is known here"))
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		c.fail(w, r, decodeProblem(err))
		return
	}
	response, err := c.forwardTo(name, address, r, body)
	if err == nil && !integrity.IsFinal(response.StatusCode) {
		err = errors.Join(fmt.Errorf("%w %03d", integrity.ErrInvalidStatus, response.StatusCode), response.Body.Close())
	}
	if err != nil {
		c.fail(w, r, forwardProblem(name, err))
		return
	}
	defer response.Body.Close()
	for _, header := range []string{"Content-Type", "ETag", "Retry-After", "Cache-Control"} {
		if value := response.Header.Get(header); value != "" {
			w.Header().Set(header, value)
		}
	}
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		// The status is already sent. The end of the handler would complete the response.
		panic(http.ErrAbortHandler)
	}
}

// forwardTo sends the request to the leader with the given name and address.
func (c *Control) forwardTo(name, address string, r *http.Request, body []byte) (*http.Response, error) {
	url := "http://" + address + r.URL.RequestURI()
	ctx, cancel := context.WithCancelCause(r.Context())
	// The caller reads the response body after this function returns, so the context is
	// not cancelled here.
	go c.cancelOnLeaderChange(ctx, cancel, name)
	out, err := http.NewRequestWithContext(ctx, r.Method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, the transport does not resend the request. Resending is safe
	// only for requests with an operation id.
	out.GetBody = nil
	for _, header := range []string{"Authorization", "Content-Type", headerOperationID, headerIfMatch} {
		if value := r.Header.Get(header); value != "" {
			out.Header.Set(header, value)
		}
	}
	out.Header.Set(headerForwarded, c.o.Settings.Name)
	return c.forwarder.client.Do(out)
}

// errLeaderChanged is the cancellation cause of a request to a former leader.
var errLeaderChanged = errors.New("the leader has changed")

// cancelOnLeaderChange cancels a forwarded request when another VM becomes the
// leader. The former leader may be frozen and would delay the request until the
// timeout.
func (c *Control) cancelOnLeaderChange(ctx context.Context, cancel context.CancelCauseFunc, name string) {
	ticker := time.NewTicker(leaderCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if leader, _, _ := c.o.Quorum.Leader(); leader != "" && leader != name {
				cancel(errLeaderChanged)
				return
			}
		}
	}
}

// forwardProblem returns the refusal of a request that could not be forwarded. The
// request counts as not executed only if no connection to the leader was established.
func forwardProblem(leader string, err error) error {
	p := problem(http.StatusServiceUnavailable, CodeNoQuorum, "", "the leader %s did not answer: %v", leader, err)
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		p.Executed = executedUnknown
	}
	return p
}
