// Package client implements clients of a deployment's HTTP APIs: Admin for operators and
// Caller for callers.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"hemlockvale.dev/server/integrity"
)

// Problem is the error for a refused request.
type Problem struct {
	// Title is the standard text of the HTTP status.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail is a human-readable explanation.
	Detail string `json:"detail"`
	// Code identifies the kind of problem. It is unexpected_status if the response
	// contains no problem document.
	Code string `json:"code"`
	// Path is the path of the invalid field, or the name of the invalid header or other
	// part of the request, if any.
	Path string `json:"place,omitempty"`
	// Executed states whether the request may have taken effect; "no" means certainly not.
	Executed string `json:"executed"`
	// RetryAfter is the delay from the Retry-After header, or 0.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the code, the path if any, the detail and whether the request was
// executed.
func (p *Problem) Error() string {
	text := p.Code + ": " + p.Detail
	if p.Path != "" {
		text = p.Code + ": " + p.Path + ": " + p.Detail
	}
	return fmt.Sprintf("%s (executed: %s)", text, p.Executed)
}

// maxProblemBytes limits how much of the body of an error response is read.
const maxProblemBytes = 64 << 10

// readProblem returns the Problem of an error response.
func readProblem(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err != nil {
		return fmt.Errorf("read the error response: %w", err)
	}
	p := &Problem{}
	if json.Unmarshal(body, p) != nil || p.Code == "" {
		p = &Problem{Code: "unexpected_status", Executed: "unknown", Detail: fmt.Sprintf("%s: %.200s", resp.Status, body)}
	}
	p.Status = resp.StatusCode
	if delay, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil {
		p.RetryAfter = delay
	}
	return p
}

// Admin is a client of the operators' API.
type Admin struct {
	// Addresses are the HTTP addresses of the control VMs.
	Addresses []string
	// Token is the operator's bearer token.
	Token string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client

	// preferred is the index of the address that last handled a request.
	preferred atomic.Int64
}

// attemptTimeout limits the request to one control VM, so that a VM that is frozen or
// unreachable does not block an operator.
const attemptTimeout = 2500 * time.Millisecond

// Request is a request to the operators' API.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Path is the URL path with the query, if any.
	Path string
	// Body is sent as JSON; nil means no body.
	Body any
	// Operation identifies the request across retries. It is sent as Operation-Id; an
	// empty one is not sent.
	Operation string
	// ExpectedRevision is sent as If-Match; nil means no such header.
	ExpectedRevision *uint64
}

// Do sends a request and decodes the response into result, which may be nil. If a
// control VM does not respond or refuses the request with no_quorum or not_leader, a
// GET request or a request with an operation id is sent to the next control VM.
func (a *Admin) Do(ctx context.Context, r Request, result any) error {
	var errs []error
	start := int(a.preferred.Load())
	for i := range a.Addresses {
		index := (start + i) % len(a.Addresses)
		err := a.sendTo(ctx, a.Addresses[index], r, result)
		var problem *Problem
		if err == nil || (errors.As(err, &problem) && problem.Code != "no_quorum" && problem.Code != "not_leader") {
			a.preferred.Store(int64(index))
			return err
		}
		errs = append(errs, fmt.Errorf("%s: %w", a.Addresses[index], err))
		retryable := r.Operation != "" || r.Method == http.MethodGet
		if !retryable || ctx.Err() != nil {
			break
		}
	}
	if len(errs) == 0 {
		return errors.New("no control address is configured")
	}
	return errors.Join(errs...)
}

// sendTo sends a request to one control VM.
func (a *Admin) sendTo(ctx context.Context, address string, r Request, result any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var body io.Reader
	if r.Body != nil {
		data, err := json.Marshal(r.Body)
		if err != nil {
			return fmt.Errorf("encode the request: %w", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+a.Token)
	if r.Body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.Operation != "" {
		req.Header.Set("Operation-Id", r.Operation)
	}
	if r.ExpectedRevision != nil {
		req.Header.Set("If-Match", fmt.Sprint(*r.ExpectedRevision))
	}
	httpClient := a.HTTP
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if !integrity.IsSuccess(resp.StatusCode) {
		return readProblem(resp)
	}
	if result == nil || resp.StatusCode == http.StatusNoContent {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(result); err != nil {
		return fmt.Errorf("decode the response: %w", err)
	}
	return nil
}
