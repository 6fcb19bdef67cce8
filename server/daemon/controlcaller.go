package daemon

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"

	"hemlockvale.dev/server/rpc"
	"hemlockvale.dev/server/settings"
)

// controlCaller sends calls to the leader of the control VMs.
type controlCaller struct {
	pool      *rpc.Pool
	addresses []string
	// lastSuccess is the index in addresses of the VM that executed the last successful
	// call.
	lastSuccess atomic.Int64
}

// Call tries each control VM once, starting with the one that executed the last successful
// call. It tries the next VM only if the previous one has certainly not executed the call.
func (c *controlCaller) Call(ctx context.Context, method string, params, result any) error {
	first := c.lastSuccess.Load()
	var errs []error
	for i := range len(c.addresses) {
		index := (int(first) + i) % len(c.addresses)
		err := c.pool.Call(ctx, c.addresses[index], method, params, result)
		if err == nil {
			c.lastSuccess.Store(int64(index))
			return nil
		}
		if rpc.CodeOf(err) != "not_leader" && !errors.Is(err, rpc.ErrUnreachable) {
			return err
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// controlAddresses returns the RPC addresses of the control VMs in ascending order.
func controlAddresses(s settings.Settings) []string {
	var addresses []string
	for _, address := range s.Control.Members {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}
