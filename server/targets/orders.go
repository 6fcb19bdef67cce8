package targets

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/target"
	"hemlockvale.dev/server/rpc"
)

const (
	// methodOrder submits one order to the owner of the target's shard.
	methodOrder = "targets.order"
	// maxOrderWait bounds the time until an order ends, including the wait for earlier
	// orders and for those of a previous owner to expire.
	maxOrderWait = 30 * time.Second
)

// orderCall is the parameter of targets.order.
type orderCall struct {
	Target string       `json:"target"`
	Order  target.Order `json:"order"`
}

// orderCodes maps the errors of orders to RPC error codes, which must not change.
// The more specific errors come first, because an error can wrap two of them.
var orderCodes = []struct {
	err  error
	code string
}{
	{target.ErrOrderUnknown, "order_outcome_unknown"},
	{target.ErrNotOwner, "not_owner"},
	{target.ErrStaleFencing, "stale_fencing"},
	{target.ErrOrderDropped, "order_dropped"},
	{target.ErrNotDelivered, "order_not_delivered"},
	{target.ErrOrderRefused, "order_refused"},
	{target.ErrReleasing, "program_releasing"},
	{target.ErrRestarted, "target_restarted"},
	{target.ErrQueueFull, "order_queue_full"},
	{target.ErrDeadline, "order_deadline_too_long"},
	{target.ErrTakesNoOrders, "target_takes_no_orders"},
}

// Order submits one order for the target id to the owner of the target's shard and
// waits until the order has ended. An empty order ID is filled in; the owner sets
// Fencing to its epoch. A returned error wraps one of the order errors of
// coord/target; all but ErrOrderUnknown mean that the order has had no effect.
func (t *Targets) Order(ctx context.Context, id string, o target.Order) error {
	if o.ID == "" {
		o.ID = newID()
	}
	t.mu.Lock()
	topo := t.refresh()
	_, local := t.epochOf(topo, id)
	owner, known := t.ownerOf(topo, id)
	t.mu.Unlock()
	if local {
		return t.orderLocal(ctx, id, o)
	}
	if !known || owner.VMRef == t.options.Self {
		return fmt.Errorf("order %s to %s: %w", o.Kind, id, target.ErrNotOwner)
	}
	err := t.options.Pool.Call(ctx, owner.RPCAddress, methodOrder, orderCall{id, o}, nil)
	if err != nil {
		return fmt.Errorf("order %s to %s: %w", o.Kind, id, orderError(err))
	}
	return nil
}

// orderError converts an RPC error to the error that the owner encoded in it.
func orderError(err error) error {
	if errors.Is(err, rpc.ErrUnreachable) {
		return fmt.Errorf("%w: %w", target.ErrNotDelivered, err)
	}
	code := rpc.CodeOf(err)
	for _, c := range orderCodes {
		if c.code == code {
			return fmt.Errorf("%w: %w", c.err, err)
		}
	}
	return fmt.Errorf("%w: %w", target.ErrOrderUnknown, err)
}

// handleOrder handles the RPC by which another entry submits an order.
func (t *Targets) handleOrder(ctx context.Context, params json.RawMessage) (any, error) {
	var req orderCall
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, rpc.Errorf("order_refused", "%v", err)
	}
	err := t.orderLocal(ctx, req.Target, req.Order)
	if err == nil {
		return struct{}{}, nil
	}
	for _, c := range orderCodes {
		if errors.Is(err, c.err) {
			return nil, rpc.Errorf(c.code, "%v", err)
		}
	}
	return nil, rpc.Errorf("order_outcome_unknown", "%v", err)
}

// orderLocal submits an order for a target whose shard this VM owns and waits until
// it has ended.
func (t *Targets) orderLocal(ctx context.Context, id string, o target.Order) error {
	ctx, cancel := context.WithTimeout(ctx, maxOrderWait)
	defer cancel()
	result := make(chan error, 1)
	t.mu.Lock()
	if t.waiters[o.ID] != nil {
		t.mu.Unlock()
		return fmt.Errorf("%w: order id %s is in use", target.ErrOrderRefused, o.ID)
	}
	t.waiters[o.ID] = result
	t.updateOwnership(id)
	t.step(target.SubmitOrder{Target: id, Order: o})
	t.mu.Unlock()
	var err error
	select {
	case err = <-result:
	case <-ctx.Done():
		err = t.cancelOrder(ctx, id, o.ID, result)
	}
	t.mu.Lock()
	delete(t.waiters, o.ID)
	t.mu.Unlock()
	return err
}

// cancelOrder cancels an order whose caller has stopped waiting. The outcome of an
// order that was already sent is unknown.
func (t *Targets) cancelOrder(ctx context.Context, id, orderID string, result <-chan error) error {
	t.mu.Lock()
	t.step(target.CancelOrder{Target: id, OrderID: orderID})
	t.mu.Unlock()
	select {
	case err := <-result:
		return err
	default:
		return fmt.Errorf("%w: %w", target.ErrOrderUnknown, ctx.Err())
	}
}

// step passes an event to the order manager and queues the effects. The caller
// holds the lock.
func (t *Targets) step(e target.Event) {
	now, wall := t.now(), time.Now()
	for _, out := range t.orders.Step(now, e) {
		switch out := out.(type) {
		case target.OrderEnded:
			if result := t.waiters[out.OrderID]; result != nil {
				result <- out.Err
			}
		case target.SendOrder:
			// The expiry time is computed now, so that a pause of this process before
			// the order is sent does not extend it.
			out.Order.ExpiresUnixMS = wall.Add(out.Expires - now).UnixMilli()
			t.enqueue(now, effect{send: &out}, out.Target)
		case target.ReadState:
			t.enqueue(now, effect{read: &out}, out.Target)
		}
	}
}

// updateOwnership tells the order manager whether this VM owns the target's
// shard. The caller holds the lock.
func (t *Targets) updateOwnership(id string) {
	epoch, ok := t.epochOf(t.refresh(), id)
	if !ok {
		t.step(target.OwnershipLost{Target: id})
		return
	}
	t.step(target.OwnershipGained{Target: id, Epoch: epoch})
	t.updateIncarnation(t.now(), id)
}

// updateIncarnation tells the order manager which incarnation of the target is
// announced. The caller holds the lock.
func (t *Targets) updateIncarnation(now time.Duration, id string) {
	if v, ok := t.registry.Find(now, id); ok {
		t.step(target.Announced{Target: id, Incarnation: v.Incarnation, Kind: v.Kind, Fencing: v.Fencing})
	}
}

// tick ends expired leases and orders, updates the ownership of all known targets
// and the metrics.
func (t *Targets) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	now := t.now()
	for _, id := range t.registry.Expire(now) {
		t.log.WithFields(logrus.Fields{"event": "target_lease_lapsed", "target": id}).Warn("target lease expired; target gets no new work")
	}
	usable := 0
	views := t.registry.All(now)
	for i := range views {
		t.updateOwnership(views[i].ID)
		if views[i].Usable {
			usable++
		}
	}
	for _, id := range t.orders.OwnedTargets() {
		if _, known := t.registry.Find(now, id); !known {
			t.updateOwnership(id)
			t.step(target.Forgotten{Target: id})
		}
	}
	t.step(target.Tick{})
	t.metrics.knownTargets.Update(int64(len(views)))
	t.metrics.usableTargets.Update(int64(usable))
	t.metrics.pendingReleases.Update(int64(len(t.pendingReleases)))
}
