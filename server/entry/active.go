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

// activeCalls holds the running calls, so that they can be cancelled when their key
// is withdrawn or the VM's lease lapses.
type activeCalls struct {
	mu    sync.Mutex
	calls map[*activeCall]struct{}
}

// activeCall is a running call and the key that authenticated it.
type activeCall struct {
	keyID  string // empty for a call of an open route
	cancel context.CancelCauseFunc
}

func newActiveCalls() *activeCalls {
	return &activeCalls{calls: make(map[*activeCall]struct{})}
}

// add registers a running call. The returned function removes it.
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

// cancelRevoked cancels the calls whose key is withdrawn or no longer exists. If the
// VM's lease has lapsed, it cancels all calls.
func (a *activeCalls) cancelRevoked(state *fleet.State, leaseLapsed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for call := range a.calls {
		if leaseLapsed {
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
