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
	methodOrder = "targets.order"
	// maxOrderWait bounds the time that an order waits for earlier ones and for
	// the quiet time after a change of owner.
	maxOrderWait = 30 * time.Second
)

// orderCall is the parameter of targets.order.
type orderCall struct {
	Target string       `json:"target"`
	Order  target.Order `json:"order"`
}

// orderCodes are the stable codes of the reasons that cross RPC. The more
// specific reasons come first, because an error can wrap two of them.
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

// Order gives one order to a target through the owner of its shard and waits
// until it has ended. An empty ID is filled in; Fencing is the owner's epoch.
// The error wraps one of the reasons in coord/target; all but ErrOrderUnknown
// mean that the order has had no effect.
func (t *Targets) Order(ctx context.Context, id string, o target.Order) error {
	if o.ID == "" {
		o.ID = newID()
	}
	t.mu.Lock()
	p := t.refresh()
	_, local := t.epochOf(p, id)
	owner, known := t.ownerOf(p, id)
	t.mu.Unlock()
	if local {
		return t.orderHere(ctx, id, o)
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

// orderError restores the reason that the owner sent.
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

// handleOrder gives an order on behalf of another entry.
func (t *Targets) handleOrder(ctx context.Context, params json.RawMessage) (any, error) {
	var call orderCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, rpc.Errorf("order_refused", "%v", err)
	}
	err := t.orderHere(ctx, call.Target, call.Order)
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

// orderHere gives an order to a target whose shard this VM owns.
func (t *Targets) orderHere(ctx context.Context, id string, o target.Order) error {
	ctx, cancel := context.WithTimeout(ctx, maxOrderWait)
	defer cancel()
	end := make(chan error, 1)
	t.mu.Lock()
	if t.waiters[o.ID] != nil {
		t.mu.Unlock()
		return fmt.Errorf("%w: order id %s is in use", target.ErrOrderRefused, o.ID)
	}
	t.waiters[o.ID] = end
	t.own(id)
	t.step(target.SubmitOrder{Target: id, Order: o})
	t.mu.Unlock()
	var err error
	select {
	case err = <-end:
	case <-ctx.Done():
		err = t.abandon(ctx, id, o.ID, end)
	}
	t.mu.Lock()
	delete(t.waiters, o.ID)
	t.mu.Unlock()
	return err
}

// abandon withdraws an order that nobody waits for; one that was already sent
// has an unknown outcome.
func (t *Targets) abandon(ctx context.Context, id, order string, end <-chan error) error {
	t.mu.Lock()
	t.step(target.CancelOrder{Target: id, OrderID: order})
	t.mu.Unlock()
	select {
	case err := <-end:
		return err
	default:
		return fmt.Errorf("%w: %w", target.ErrOrderUnknown, ctx.Err())
	}
}

// step applies an event to the order manager and queues its effects. The caller holds the lock.
func (t *Targets) step(e target.Event) {
	now, wall := t.now(), time.Now()
	for _, out := range t.book.Step(now, e) {
		switch out := out.(type) {
		case target.OrderEnded:
			if end := t.waiters[out.OrderID]; end != nil {
				end <- out.Err
			}
		case target.SendOrder:
			// The expiry time is fixed here, so that a pause of this process before
			// the order leaves does not extend it.
			out.Order.ExpiresUnixMS = wall.Add(out.Expires - now).UnixMilli()
			t.enqueue(now, effect{send: &out}, out.Target)
		case target.ReadState:
			t.enqueue(now, effect{read: &out}, out.Target)
		}
	}
}

// own tells the order manager whether this VM owns a target's shard now.
func (t *Targets) own(id string) {
	epoch, ok := t.epochOf(t.refresh(), id)
	if !ok {
		t.step(target.OwnershipLost{Target: id})
		return
	}
	t.step(target.OwnershipGained{Target: id, Epoch: epoch})
	t.see(t.now(), id)
}

// see tells the order manager which run of the target is announced.
func (t *Targets) see(now time.Duration, id string) {
	if v, ok := t.registry.Find(now, id); ok {
		t.step(target.Announced{Target: id, Incarnation: v.Incarnation, Kind: v.Kind, Fencing: v.Fencing})
	}
}

// tick lets leases lapse and orders expire, and follows changes of ownership.
func (t *Targets) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	now := t.now()
	for _, id := range t.registry.Expire(now) {
		t.log.WithFields(logrus.Fields{"event": "target_lease_lapsed", "target": id}).Warn("target gets no new work")
	}
	usable := 0
	views := t.registry.All(now)
	for i := range views {
		t.own(views[i].ID)
		if views[i].Usable {
			usable++
		}
	}
	for _, id := range t.book.OwnedTargets() {
		if _, known := t.registry.Find(now, id); !known {
			t.own(id)
			t.step(target.Forgotten{Target: id})
		}
	}
	t.step(target.Tick{})
	t.metrics.known.Update(int64(len(views)))
	t.metrics.usable.Update(int64(usable))
	t.metrics.releasesPending.Update(int64(len(t.releases)))
}
