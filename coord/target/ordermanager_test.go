package target

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	takeoverWait = MaxOrderDeadline + ClockTolerance
	msec         = time.Millisecond
)

// describe formats effects for comparison. The ID of a release order is replaced by
// its program.
func describe(effects []Effect) []string {
	out := []string{}
	for _, e := range effects {
		switch e := e.(type) {
		case SendOrder:
			name := e.Order.ID
			if e.Order.Kind == "release" {
				name = e.Order.Program
			}
			out = append(out, fmt.Sprintf("send %s %s #%d", e.Order.Kind, name, e.Attempt))
		case ReadState:
			out = append(out, "read")
		case OrderEnded:
			out = append(out, fmt.Sprintf("done %s %s", e.OrderID, errorText(e.Err)))
		}
	}
	return out
}

func errorText(err error) string {
	for _, e := range []error{ErrOrderUnknown, ErrNotOwner, ErrStaleFencing, ErrOrderDropped, ErrNotDelivered,
		ErrOrderRefused, ErrReleasing, ErrRestarted, ErrQueueFull, ErrDeadline, ErrTakesNoOrders} {
		if errors.Is(err, e) {
			return e.Error()
		}
	}
	return "ok"
}

// orderScript applies a sequence of events to an order manager with one target, "t".
type orderScript struct {
	t       *testing.T
	manager *OrderManager
	// sent holds the last attempt of each order, by the name that describe gives it.
	sent map[string]SendOrder
	read uint64
}

func newOrderScript(t *testing.T, fencing string) *orderScript {
	s := &orderScript{t: t, manager: NewOrderManager(), sent: map[string]SendOrder{}}
	s.step(0, OwnershipGained{"t", 1})
	s.step(0, Announced{"t", "run", "engine", fencing})
	return s
}

func (s *orderScript) step(now time.Duration, e Event, want ...string) {
	s.t.Helper()
	effects := s.manager.Step(now, e)
	for _, out := range effects {
		switch out := out.(type) {
		case SendOrder:
			name := out.Order.ID
			if out.Order.Kind == "release" {
				name = out.Order.Program
			}
			s.sent[name] = out
		case ReadState:
			s.read = out.ReadID
		}
	}
	require.Equal(s.t, append([]string{}, want...), describe(effects), "at %s: %+v", now, e)
}

func (s *orderScript) sendResult(now time.Duration, name string, outcome SendOutcome, want ...string) {
	s.t.Helper()
	out := s.sent[name]
	s.step(now, SendResult{Target: "t", OrderID: out.Order.ID, Attempt: out.Attempt, Outcome: outcome}, want...)
}

func (s *orderScript) readResult(now time.Duration, state EngineState, want ...string) {
	s.t.Helper()
	s.step(now, ReadResult{Target: "t", ReadID: s.read, OK: true, State: state}, want...)
}

func submit(id, kind, program string) SubmitOrder {
	return SubmitOrder{"t", Order{ID: id, Kind: kind, Program: program}}
}

// stateOf returns a state of the current incarnation in which the given programs are
// held.
func stateOf(programs ...string) EngineState {
	s := EngineState{ID: "t", Incarnation: "run"}
	for _, p := range programs {
		s.Held = append(s.Held, HeldProgram{Program: p})
	}
	return s
}

// TestOrders checks, for both fencing modes, that orders are neither delayed without
// need nor sent too early.
func TestOrders(t *testing.T) {
	running := stateOf()
	running.Orders = []OrderRecord{{ID: "earlier", Status: "running"}}
	for _, c := range []struct {
		name, fencing string
		run           func(s *orderScript)
	}{
		{"enforced: at once and concurrently", FencingEnforced, func(s *orderScript) {
			s.step(0, submit("a", "set_role", ""), "send set_role a #1")
			s.step(0, submit("b", "set_role", ""), "send set_role b #1")
			s.sendResult(1, "b", OutcomeDone, "done b ok")
		}},
		{"ignored: wait for earlier orders, read the state, send one at a time", FencingIgnored, func(s *orderScript) {
			s.step(0, submit("a", "set_role", ""))
			s.step(0, submit("b", "set_role", ""))
			s.step(takeoverWait-1, Tick{})
			s.step(takeoverWait, Tick{}, "read")
			s.readResult(takeoverWait, stateOf(), "send set_role a #1")
			s.sendResult(takeoverWait, "a", OutcomeDone, "done a ok", "send set_role b #1")
		}},
		{"ignored: an earlier order is still running", FencingIgnored, func(s *orderScript) {
			s.step(0, submit("a", "set_role", ""))
			s.step(takeoverWait, Tick{}, "read")
			s.readResult(takeoverWait, running)
			s.step(takeoverWait+retryDelay, Tick{}, "read")
			s.readResult(takeoverWait+retryDelay, stateOf(), "send set_role a #1")
		}},
		{"ignored: the state of another target or incarnation is not used", FencingIgnored, func(s *orderScript) {
			s.step(0, submit("a", "set_role", ""))
			s.step(takeoverWait, Tick{}, "read")
			s.readResult(takeoverWait, EngineState{ID: "other", Incarnation: "run"})
			s.step(takeoverWait+retryDelay, Tick{}, "read")
			s.readResult(takeoverWait+retryDelay, EngineState{ID: "t", Incarnation: "earlier"})
		}},
		{"ignored: an order of unknown outcome blocks until it has expired", FencingIgnored, func(s *orderScript) {
			s.step(takeoverWait, submit("a", "set_role", ""), "read")
			s.readResult(takeoverWait, stateOf(), "send set_role a #1")
			s.step(takeoverWait, submit("b", "set_role", ""))
			s.step(takeoverWait+MaxOrderDeadline, Tick{}, "done a "+ErrOrderUnknown.Error())
			s.step(2*takeoverWait-1, Tick{})
			s.step(2*takeoverWait, Tick{}, "send set_role b #1")
		}},
		{"retries keep their id until the deadline", FencingEnforced, func(s *orderScript) {
			s.step(0, submit("a", "set_role", ""), "send set_role a #1")
			s.sendResult(0, "a", OutcomeNotDelivered)
			s.step(retryDelay, Tick{}, "send set_role a #2")
			s.sendResult(retryDelay, "a", OutcomeNotDelivered)
			s.step(MaxOrderDeadline, Tick{}, "done a "+ErrNotDelivered.Error())
		}},
		{"a refusal after an attempt of unknown outcome leaves the outcome unknown", FencingEnforced, func(s *orderScript) {
			s.step(0, submit("a", "set_role", ""), "send set_role a #1")
			s.sendResult(0, "a", OutcomeUnknown)
			s.step(retryDelay, Tick{}, "send set_role a #2")
			s.sendResult(retryDelay, "a", OutcomeDropped, "done a "+ErrOrderUnknown.Error())
		}},
		{"a stale epoch ends all orders", FencingEnforced, func(s *orderScript) {
			s.step(0, submit("a", "set_role", ""), "send set_role a #1")
			s.step(0, submit("b", "set_role", ""), "send set_role b #1")
			s.sendResult(0, "a", OutcomeStaleFencing, "done a "+ErrStaleFencing.Error(), "done b "+ErrOrderUnknown.Error())
			s.step(0, submit("c", "set_role", ""), "done c "+ErrStaleFencing.Error())
			s.step(0, OwnershipGained{"t", 2})
			s.step(0, Announced{"t", "run", "engine", FencingEnforced})
			s.step(0, submit("d", "set_role", ""), "send set_role d #1")
		}},
		{"lost ownership", FencingIgnored, func(s *orderScript) {
			s.step(takeoverWait, submit("a", "set_role", ""), "read")
			s.readResult(takeoverWait, stateOf(), "send set_role a #1")
			s.step(takeoverWait, submit("b", "set_role", ""))
			s.step(takeoverWait, OwnershipLost{"t"}, "done a "+ErrOrderUnknown.Error(), "done b "+ErrNotOwner.Error())
			s.step(takeoverWait, submit("c", "set_role", ""), "done c "+ErrNotOwner.Error())
		}},
		{"cancelled before it was sent", FencingIgnored, func(s *orderScript) {
			s.step(0, submit("a", "set_role", ""))
			s.step(0, CancelOrder{"t", "a"}, "done a "+ErrNotDelivered.Error())
		}},
		{"restart", FencingEnforced, func(s *orderScript) {
			s.step(0, submit("a", "set_role", ""), "send set_role a #1")
			s.step(0, Announced{"t", "next", "engine", FencingEnforced}, "done a "+ErrOrderUnknown.Error())
		}},
		{"ignored: an order to the previous incarnation may still arrive", FencingIgnored, func(s *orderScript) {
			s.step(takeoverWait, submit("a", "set_role", ""), "read")
			s.readResult(takeoverWait, stateOf(), "send set_role a #1")
			s.step(takeoverWait, Announced{"t", "next", "engine", FencingIgnored}, "done a "+ErrOrderUnknown.Error())
			s.step(takeoverWait, submit("b", "set_role", ""))
			s.step(2*takeoverWait-1, Tick{})
			s.step(2*takeoverWait, Tick{}, "send set_role b #1")
		}},
		{"a release is checked after the orders of earlier owners have expired", FencingEnforced, func(s *orderScript) {
			s.step(0, ReleaseMemory{"t", "p", "r"}, "send release p #1")
			s.sendResult(0, "p", OutcomeDone)
			s.step(takeoverWait-1, Tick{})
			s.step(takeoverWait, Tick{}, "read")
		}},
		{"a release is checked after an order of unknown outcome has expired", FencingEnforced, func(s *orderScript) {
			s.step(takeoverWait, submit("k", "keep", "p"), "send keep k #1")
			s.step(takeoverWait+MaxOrderDeadline, ReleaseMemory{"t", "p", "r"}, "done k "+ErrOrderUnknown.Error(), "send release p #1")
			s.sendResult(takeoverWait+MaxOrderDeadline, "p", OutcomeDone)
			s.step(2*takeoverWait-1, Tick{})
			s.step(2*takeoverWait, Tick{}, "read")
		}},
		{"services and long deadlines", FencingIgnored, func(s *orderScript) {
			s.step(0, SubmitOrder{"t", Order{ID: "a", Kind: "load_model", DeadlineMS: 60_000}}, "done a "+ErrDeadline.Error())
			s.step(0, Announced{"t", "run", "service", ""})
			s.step(0, submit("b", "set_role", ""), "done b "+ErrTakesNoOrders.Error())
			s.step(0, ReleaseMemory{"t", "p", "r"})
			require.Equal(t, ReleaseGone, s.manager.ReleaseStatus("t", "p"))
			s.step(takeoverWait, Tick{})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newOrderScript(t, c.fencing)
			c.run(s)
		})
	}
}

// TestBookReleases checks that a release is not confirmed while the program's memory
// may be held, and that a release order is repeated until the memory is free.
func TestBookReleases(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(s *orderScript)
		want ReleaseStatus
	}{
		{"two checks", func(s *orderScript) {
			s.readResult(takeoverWait, stateOf())
			s.step(takeoverWait+recheckDelay-1, Tick{})
			s.step(takeoverWait+recheckDelay, Tick{}, "read")
			s.readResult(takeoverWait+recheckDelay, stateOf())
		}, ReleaseConfirmed},
		{"one check", func(s *orderScript) { s.readResult(takeoverWait, stateOf("other")) }, ReleaseFreed},
		{"still held", func(s *orderScript) { s.readResult(takeoverWait, stateOf("p"), "send release p #1") }, ReleasePending},
		{"held again at the second check", func(s *orderScript) {
			s.readResult(takeoverWait, stateOf())
			s.step(takeoverWait+recheckDelay, Tick{}, "read")
			s.readResult(takeoverWait+recheckDelay, stateOf("p"), "send release p #1")
		}, ReleasePending},
		{"a cache event shows that it is held again", func(s *orderScript) {
			s.readResult(takeoverWait, stateOf())
			s.step(takeoverWait, PrefixStored{"t", "p"}, "send release p #1")
		}, ReleasePending},
		{"a keep ended after the state was taken", func(s *orderScript) {
			s.sendResult(takeoverWait, "k", OutcomeDone, "done k ok")
			s.readResult(takeoverWait, stateOf())
		}, ReleasePending},
		{"a keep is in progress", func(s *orderScript) { s.readResult(takeoverWait, stateOf()) }, ReleasePending},
		{"the state cannot be read", func(s *orderScript) {
			s.step(takeoverWait, ReadResult{Target: "t", ReadID: s.read})
			s.step(takeoverWait+retryDelay, Tick{}, "read")
		}, ReleasePending},
		{"the target restarted", func(s *orderScript) {
			s.step(takeoverWait, Announced{"t", "next", "engine", FencingEnforced})
			s.readResult(takeoverWait, stateOf())
		}, ReleasePending},
		{"the target is gone", func(s *orderScript) { s.step(takeoverWait, Forgotten{"t"}) }, ReleaseGone},
		{"a new keep is refused", func(s *orderScript) { s.step(takeoverWait, submit("n", "keep", "p"), "done n "+ErrReleasing.Error()) }, ReleasePending},
		{"requested again between the checks", func(s *orderScript) {
			s.readResult(takeoverWait, stateOf())
			s.step(takeoverWait, ReleaseMemory{"t", "p", "r2"}, "send release p #1")
		}, ReleasePending},
		{"repeated, then requested again", func(s *orderScript) {
			s.readResult(takeoverWait, stateOf())
			s.step(takeoverWait+recheckDelay, Tick{}, "read")
			s.readResult(takeoverWait+recheckDelay, stateOf())
			s.step(takeoverWait+recheckDelay, ReleaseMemory{"t", "p", "r"})
			require.Equal(t, ReleaseConfirmed, s.manager.ReleaseStatus("t", "p"))
			s.step(takeoverWait+recheckDelay, ReleaseMemory{"t", "p", "r2"}, "send release p #1")
		}, ReleasePending},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newOrderScript(t, FencingEnforced)
			keep := c.name == "a keep ended after the state was taken" || c.name == "a keep is in progress"
			if keep {
				s.step(takeoverWait-2*msec, submit("k", "keep", "p"), "send keep k #1")
			}
			s.step(takeoverWait-msec, ReleaseMemory{"t", "p", "r"}, "send release p #1")
			s.sendResult(takeoverWait-msec, "p", OutcomeDone)
			if keep {
				// The release of another program makes the order manager read the
				// state.
				s.step(takeoverWait-msec, ReleaseMemory{"t", "q", "r"}, "send release q #1")
				s.sendResult(takeoverWait-msec, "q", OutcomeDone)
			}
			s.step(takeoverWait, Tick{}, "read")
			c.run(s)
			require.Equal(t, c.want, s.manager.ReleaseStatus("t", "p"))
		})
	}
}
