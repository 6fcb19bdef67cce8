package targets

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/target"
	"hemlockvale.dev/server/integrity"
	"hemlockvale.dev/server/tcpend"
)

const (
	// effectWorkers bounds the concurrent orders and state reads, and likewise the
	// concurrent RPCs that send releases to other owners.
	effectWorkers = 16
	// effectQueueSize bounds the orders and state reads that wait for a worker.
	effectQueueSize = 1024
	// orderDialTimeout bounds one connection attempt to a target.
	orderDialTimeout = 500 * time.Millisecond
	// maxStateBytes bounds the body of a target's response, which may be its state.
	maxStateBytes = 16 << 20
)

// effect is an order to send or a state to read; exactly one pointer is set.
type effect struct {
	send    *target.SendOrder
	read    *target.ReadState
	address string
}

// newOrderClient returns an HTTP client that opens a new connection for each
// request, because an idle connection may be dead and orders are rare.
func newOrderClient() *http.Client {
	dialer := net.Dialer{Timeout: orderDialTimeout}
	return &http.Client{
		Transport:     &http.Transport{DialContext: tcpend.Wrapping(dialer.DialContext), DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// enqueue queues an effect for the workers, or drops it if the queue is full. It
// must not block, because the caller holds the lock. The order manager repeats
// effects that have no result.
func (t *Targets) enqueue(now time.Duration, e effect, id string) {
	v, _ := t.registry.Find(now, id)
	e.address = v.Address
	select {
	case t.effects <- e:
	default:
		t.log.WithFields(logrus.Fields{"event": "order_queue_full", "target": id}).Error("queue is full; order or state read was dropped")
	}
}

// runWorker executes effects until ctx ends.
func (t *Targets) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-t.effects:
			t.execute(ctx, e)
		}
	}
}

// execute executes one effect and reports the result to the order manager.
func (t *Targets) execute(ctx context.Context, e effect) {
	var result target.Event
	if e.read != nil {
		result = t.readState(ctx, e)
	} else {
		result = t.sendOrder(ctx, e)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step(result)
}

// sendOrder makes one attempt to deliver an order.
func (t *Targets) sendOrder(ctx context.Context, e effect) target.SendResult {
	s := e.send
	result := target.SendResult{Target: s.Target, OrderID: s.Order.ID, Attempt: s.Attempt, Outcome: target.OutcomeNotDelivered}
	remaining := s.Expires - t.now()
	if remaining <= 0 || !t.stillOwns(s) {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	t.metrics.orderAttempts.Inc(1)
	status, body, err := t.sendRequest(ctx, http.MethodPost, e.address, s.Order)
	result.Outcome, result.Detail = orderOutcome(status, err), string(body)
	log := t.log.WithFields(logrus.Fields{
		"event": "order", "target": s.Target, "order": s.Order.ID, "kind": s.Order.Kind, "program": s.Order.Program,
		"fencing": s.Order.Fencing, "attempt": s.Attempt, "status": status,
	})
	if result.Outcome == target.OutcomeDone {
		log.Info("target executed the order")
		return result
	}
	t.metrics.orderFailures.Inc(1)
	if err != nil {
		result.Detail = err.Error()
	}
	log.Warn(result.Detail)
	return result
}

// stillOwns reports whether this VM still owns the target's shard under the epoch of
// the order. The lease may have ended while the order waited for a worker.
func (t *Targets) stillOwns(s *target.SendOrder) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	epoch, ok := t.epochOf(t.refresh(), s.Target)
	return ok && epoch == s.Order.Fencing
}

// readState makes one attempt to read a target's state.
func (t *Targets) readState(ctx context.Context, e effect) target.ReadResult {
	result := target.ReadResult{Target: e.read.Target, ReadID: e.read.ReadID}
	ctx, cancel := context.WithTimeout(ctx, e.read.Timeout)
	defer cancel()
	status, body, err := t.sendRequest(ctx, http.MethodGet, e.address, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	if err == nil {
		result.State, err = target.DecodeEngineState(body)
	}
	result.OK = err == nil
	if err != nil {
		t.log.WithFields(logrus.Fields{"event": "state_not_read", "target": e.read.Target}).Warn(err)
	}
	return result
}

// sendRequest sends one request to a target's /v1/orders and returns the status and body
// of the response.
func (t *Targets) sendRequest(ctx context.Context, method, address string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, fmt.Errorf("encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/v1/orders", bytes.NewReader(data))
	if err != nil {
		return 0, nil, fmt.Errorf("request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read: %w", err)
	}
	return resp.StatusCode, respBody, nil
}

// orderOutcome maps the result of an attempt to the outcome of the order.
func orderOutcome(status int, err error) target.SendOutcome {
	var op *net.OpError
	switch {
	case err != nil && errors.As(err, &op) && op.Op == "dial":
		return target.OutcomeNotDelivered
	case err != nil:
		return target.OutcomeUnknown
	case !integrity.IsFinal(status):
		return target.OutcomeUnknown
	case integrity.IsSuccess(status):
		return target.OutcomeDone
	case status == http.StatusPreconditionFailed:
		return target.OutcomeStaleFencing
	case status == http.StatusGatewayTimeout:
		return target.OutcomeDropped
	case status == http.StatusConflict || status >= http.StatusInternalServerError:
		// Status 409 means that an earlier attempt is still being executed.
		return target.OutcomeUnknown
	default:
		return target.OutcomeRefused
	}
}
