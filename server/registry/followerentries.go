package registry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"
)

// entriesTimeout bounds the request for entries at one control VM.
const entriesTimeout = 300 * time.Millisecond

// errNoControl is returned if no control VM can be asked.
var errNoControl = errors.New("no control VM is reachable")

// Entries asks control for the RPC addresses of entries that can reach targets.
func (f *Follower) Entries(ctx context.Context) ([]string, error) {
	f.mu.Lock()
	controlVMs := slices.Collect(maps.Keys(f.reachable))
	f.mu.Unlock()
	self := f.options.Self()
	err := errNoControl
	for _, address := range controlVMs {
		var response EntriesResponse
		callCtx, cancel := context.WithTimeout(ctx, entriesTimeout)
		err = f.options.Pool.Call(callCtx, address, MethodEntries, EntriesRequest{Node: self.Node, DataCentre: self.DataCentre}, &response)
		cancel()
		if err == nil {
			return response.Addresses, nil
		}
	}
	return nil, err
}
