package entry

import (
	"context"
	"errors"
	"sync"

	"hemlockvale.dev/coord/fleet"
)

var (
	errKeyWithdrawn = errors.New("the key was withdrawn")
	errLeaseLapsed  = errors.New("this VM is cut off from control")
	errCallTimeout  = errors.New("the call exceeded its time limit")
)

// activeCalls holds the calls under way, so that a withdrawn key can end them.
type activeCalls struct {
	mu    sync.Mutex
	calls map[*activeCall]struct{}
}

type activeCall struct {
	keyID  string
	cancel context.CancelCauseFunc
}

func newActiveCalls() *activeCalls {
	return &activeCalls{calls: make(map[*activeCall]struct{})}
}

// add registers a call; the returned function removes it.
func (a *activeCalls) add(keyID string, cancel context.CancelCauseFunc) func() {
	call := &activeCall{keyID: keyID, cancel: cancel}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls[call] = struct{}{}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.calls, call)
	}
}

// revoke ends the calls whose key no longer authenticates, or all calls when
// the VM's lease has lapsed.
func (a *activeCalls) revoke(state *fleet.State, lapsed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for call := range a.calls {
		if lapsed {
			call.cancel(errLeaseLapsed)
			continue
		}
		if call.keyID == "" {
			continue
		}
		if key, ok := state.Key(call.keyID); !ok || key.Withdrawn {
			call.cancel(errKeyWithdrawn)
		}
	}
}
