// Package client speaks the HTTP interfaces of a deployment, for operators and for callers.
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
)

// Problem is a refusal by the system.
type Problem struct {
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail"`
	Code     string `json:"code"`
	Place    string `json:"place,omitempty"`
	Executed string `json:"executed"`
	// RetryAfter is the server's hint; 0 when it gave none.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the code, the place and the detail.
func (p *Problem) Error() string {
	text := p.Code + ": " + p.Detail
	if p.Place != "" {
		text = p.Code + ": " + p.Place + ": " + p.Detail
	}
	return fmt.Sprintf("%s (executed: %s)", text, p.Executed)
}

// maxProblemBytes bounds the body of a refusal.
const maxProblemBytes = 64 << 10

func readProblem(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err != nil {
		return fmt.Errorf("read the refusal: %w", err)
	}
	p := &Problem{}
	if json.Unmarshal(body, p) != nil || p.Code == "" {
		p = &Problem{Code: "unexpected_status", Executed: "unknown", Detail: fmt.Sprintf("%s: %.200s", resp.Status, body)}
	}
	p.Status = resp.StatusCode
	if seconds, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil {
		p.RetryAfter = seconds
	}
	return p
}

// Admin calls the operators' interface of the control VMs.
type Admin struct {
	// Addresses are HTTP addresses of control VMs; the next one is tried when one cannot be reached.
	Addresses []string
	// Token authenticates the operator.
	Token string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client

	// preferred is the index of the address that answered last.
	preferred atomic.Int64
}

// attemptTimeout bounds the request to one control VM, so that a VM that is
// frozen or cut off does not hold up an operator.
const attemptTimeout = 2500 * time.Millisecond

// Request is one call of the operators' interface.
type Request struct {
	Method string
	Path   string
	// Body is sent as JSON; nil sends none.
	Body any
	// Operation identifies the request across retries.
	Operation string
	// ExpectedRevision is sent as If-Match; nil sends none.
	ExpectedRevision *uint64
}

// Do sends a request and decodes the answer into result, which may be nil. A
// request with an operation id may be sent again to the next control VM.
func (a *Admin) Do(ctx context.Context, r Request, result any) error {
	var errs []error
	start := int(a.preferred.Load())
	for i := range a.Addresses {
		at := (start + i) % len(a.Addresses)
		err := a.doOne(ctx, a.Addresses[at], r, result)
		var problem *Problem
		if err == nil || (errors.As(err, &problem) && problem.Code != "no_quorum" && problem.Code != "not_leader") {
			a.preferred.Store(int64(at))
			return err
		}
		errs = append(errs, fmt.Errorf("%s: %w", a.Addresses[at], err))
		repeatable := r.Operation != "" || r.Method == http.MethodGet
		if !repeatable || ctx.Err() != nil {
			break
		}
	}
	if len(errs) == 0 {
		return errors.New("no control address is configured")
	}
	return errors.Join(errs...)
}

func (a *Admin) doOne(ctx context.Context, address string, r Request, result any) error {
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
	if resp.StatusCode >= http.StatusMultipleChoices {
		return readProblem(resp)
	}
	if result == nil || resp.StatusCode == http.StatusNoContent {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(result); err != nil {
		return fmt.Errorf("decode the answer: %w", err)
	}
	return nil
}
