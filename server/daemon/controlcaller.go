package daemon

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"

	"hemlockvale.dev/server/rpc"
	"hemlockvale.dev/server/settings"
)

// controlCaller sends a call to the leader of control, wherever it is.
type controlCaller struct {
	pool      *rpc.Pool
	addresses []string
	preferred atomic.Int64
}

// Call tries each control VM once, starting with the one that answered last.
// It goes on to the next one only when the call certainly had no effect there.
func (c *controlCaller) Call(ctx context.Context, method string, params, result any) error {
	start := c.preferred.Load()
	var errs []error
	for i := range len(c.addresses) {
		at := (int(start) + i) % len(c.addresses)
		err := c.pool.Call(ctx, c.addresses[at], method, params, result)
		if err == nil {
			c.preferred.Store(int64(at))
			return nil
		}
		if rpc.CodeOf(err) != "not_leader" && !errors.Is(err, rpc.ErrUnreachable) {
			return err
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

func controlAddresses(s settings.Settings) []string {
	var addresses []string
	for _, address := range s.Control.Members {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}
