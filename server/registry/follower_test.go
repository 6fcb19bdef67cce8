package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/server/bootclock"
)

// TestEagerWatches guards against changes that every control VM announces to every VM, and
// against a VM that learns of changes late because the control VMs that announce them to
// it are unreachable.
func TestEagerWatches(t *testing.T) {
	const controlVMs, vms = 9, 300
	load := make(map[string]int)
	for n := range vms {
		f := NewFollower(FollowerOptions{})
		node := fmt.Sprint("entry-", n)
		eager := func() []string {
			var list []string
			for i := range controlVMs {
				if address := fmt.Sprint("control-", i); f.reachable[address] && f.isEager(node, address) {
					list = append(list, address)
				}
			}
			return list
		}
		for i := range controlVMs {
			f.setReachable(fmt.Sprint("control-", i), true)
		}
		first := eager()
		assert.Len(t, first, eagerWatches)
		for _, address := range first {
			load[address]++
			f.setReachable(address, false)
		}
		assert.Len(t, eager(), eagerWatches, "others take the place of unreachable ones")
		assert.True(t, f.isEager(node, first[0]), "one that becomes reachable again")
	}
	for address, n := range load {
		assert.InDelta(t, vms*eagerWatches/controlVMs, n, 40, address)
	}
}

// TestHeartbeatsOutlastChanges guards against a change that ends the watches of all VMs at
// all control VMs, and against a VM that learns of a change only at its timeout.
func TestHeartbeatsOutlastChanges(t *testing.T) {
	const timeout = 300 * time.Millisecond
	g := New(Options{Machine: NewMachine()})
	await := func(known uint64) time.Duration {
		start := time.Now()
		time.AfterFunc(timeout/6, func() {
			data, err := encodeCommand(catalog.Command{PutTarget: &catalog.Target{ID: time.Now().String(), State: catalog.Ready}})
			assert.NoError(t, err)
			g.options.Machine.Apply(known%1000+1, data)
		})
		revision := g.awaitRevision(t.Context(), known, timeout)
		assert.Positive(t, revision)
		return time.Since(start)
	}
	assert.Less(t, await(0), timeout/2)
	assert.GreaterOrEqual(t, await(heartbeatOnly), timeout)
}

// TestContactIsMeasuredOnTheBootClock guards against a VM that takes its catalog for current, and
// refuses requests as unknown, because its time of day was set back after control had last
// responded.
func TestContactIsMeasuredOnTheBootClock(t *testing.T) {
	f := NewFollower(FollowerOptions{})
	assert.False(t, f.Current(), "control has never responded")
	f.lastResponse.Store(int64(bootclock.Now() - contactTimeout/2))
	assert.True(t, f.Current())
	f.lastResponse.Store(int64(bootclock.Now() - contactTimeout))
	assert.False(t, f.Current())
	assert.InDelta(t, contactTimeout.Seconds(), f.Age().Seconds(), 1)
}
