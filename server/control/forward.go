package control

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// headerForwarded marks a request that a follower has forwarded, so that it
	// is not forwarded again.
	headerForwarded = "X-Hemlockvale-Forwarded"
	// forwardTimeout bounds a forwarded request: a barrier and a change on the leader.
	forwardTimeout = barrierTimeout + proposeTimeout
	// leaderCheckInterval is how often a forwarded request looks for a new leader.
	leaderCheckInterval = 50 * time.Millisecond
	// dialTimeout bounds the connection to the leader.
	dialTimeout = 500 * time.Millisecond
)

// forwarder sends operators' requests to the leader.
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

// forward passes a request to the leader once and copies its answer.
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
	// A failed copy reaches the operator as a truncated body.
	_, _ = io.Copy(w, response.Body)
}

func (c *Control) forwardTo(name, address string, r *http.Request, body []byte) (*http.Response, error) {
	url := "http://" + address + r.URL.RequestURI()
	ctx, cancel := context.WithCancelCause(r.Context())
	// The response's body is read after this returns, so only a failure cancels here.
	go c.cancelOnLeaderChange(ctx, cancel, name)
	out, err := http.NewRequestWithContext(ctx, r.Method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// A retry inside the transport would be harmless only with an operation id.
	out.GetBody = nil
	for _, header := range []string{"Authorization", "Content-Type", headerOperation, headerIfMatch} {
		if value := r.Header.Get(header); value != "" {
			out.Header.Set(header, value)
		}
	}
	out.Header.Set(headerForwarded, c.o.Settings.Name)
	return c.forwarder.client.Do(out)
}

// errLeaderChanged ends the wait for a leader that has been replaced.
var errLeaderChanged = errors.New("the leader has changed")

// cancelOnLeaderChange ends a forwarded request once another VM leads: the
// leader that it was sent to may be frozen and would hold it up until the timeout.
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

// forwardProblem says "no" only if no connection to the leader was made.
func forwardProblem(leader string, err error) error {
	p := problem(http.StatusServiceUnavailable, CodeNoQuorum, "", "the leader %s did not answer: %v", leader, err)
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		p.Executed = executedUnknown
	}
	return p
}
