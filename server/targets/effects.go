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
)

const (
	// effectWorkers bounds the orders and reads that are on their way at once.
	effectWorkers = 16
	// effectQueue bounds those that wait for a worker.
	effectQueue = 1024
	// orderDialTimeout bounds a connection attempt to a target.
	orderDialTimeout = 500 * time.Millisecond
	// maxStateBytes bounds a target's state.
	maxStateBytes = 16 << 20
)

// effect is an order to send or a state to read.
type effect struct {
	send    *target.SendOrder
	read    *target.ReadState
	address string
}

// newOrderClient returns a client that opens a connection for each order: an
// idle connection may have gone silent, and orders are rare.
func newOrderClient() *http.Client {
	dialer := net.Dialer{Timeout: orderDialTimeout}
	return &http.Client{
		Transport:     &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// enqueue hands an effect to the workers. The caller holds the lock, so that a
// full queue must not block: the order manager repeats what got no result.
func (t *Targets) enqueue(now time.Duration, e effect, id string) {
	v, _ := t.registry.Find(now, id)
	e.address = v.Address
	select {
	case t.effects <- e:
	default:
		t.log.WithFields(logrus.Fields{"event": "order_queue_full", "target": id}).Error("order was not sent")
	}
}

// work carries out effects until ctx ends.
func (t *Targets) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-t.effects:
			t.carryOut(ctx, e)
		}
	}
}

func (t *Targets) carryOut(ctx context.Context, e effect) {
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
	answer := target.SendResult{Target: s.Target, OrderID: s.Order.ID, Attempt: s.Attempt, Outcome: target.OutcomeNotDelivered}
	left := s.Expires - t.now()
	if left <= 0 || !t.mayStillSend(s) {
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	t.metrics.orders.Inc(1)
	status, body, err := t.exchange(ctx, http.MethodPost, e.address, s.Order)
	answer.Outcome, answer.Detail = classify(status, err), string(body)
	log := t.log.WithFields(logrus.Fields{
		"event": "order", "target": s.Target, "order": s.Order.ID, "kind": s.Order.Kind, "program": s.Order.Program,
		"fencing": s.Order.Fencing, "attempt": s.Attempt, "status": status,
	})
	if answer.Outcome == target.OutcomeDone {
		log.Info("target has carried out the order")
		return answer
	}
	t.metrics.orderFailures.Inc(1)
	if err != nil {
		answer.Detail = err.Error()
	}
	log.Warn(answer.Detail)
	return answer
}

// mayStillSend checks the ownership again: the lease may have ended while the
// order waited for a worker.
func (t *Targets) mayStillSend(s *target.SendOrder) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	epoch, ok := t.epochOf(t.refresh(), s.Target)
	return ok && epoch == s.Order.Fencing
}

func (t *Targets) readState(ctx context.Context, e effect) target.ReadResult {
	result := target.ReadResult{Target: e.read.Target, ReadID: e.read.ReadID}
	ctx, cancel := context.WithTimeout(ctx, e.read.Timeout)
	defer cancel()
	status, body, err := t.exchange(ctx, http.MethodGet, e.address, nil)
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

// exchange sends one request to a target's /v1/orders.
func (t *Targets) exchange(ctx context.Context, method, address string, body any) (int, []byte, error) {
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read: %w", err)
	}
	return resp.StatusCode, answer, nil
}

// classify says what an attempt's result means for the order.
func classify(status int, err error) target.SendOutcome {
	var op *net.OpError
	switch {
	case err != nil && errors.As(err, &op) && op.Op == "dial":
		return target.OutcomeNotDelivered
	case err != nil:
		return target.OutcomeUnknown
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return target.OutcomeDone
	case status == http.StatusPreconditionFailed:
		return target.OutcomeStaleFencing
	case status == http.StatusGatewayTimeout:
		return target.OutcomeDropped
	case status == http.StatusConflict || status >= http.StatusInternalServerError:
		// 409 means that an earlier attempt is still running.
		return target.OutcomeUnknown
	default:
		return target.OutcomeRefused
	}
}
