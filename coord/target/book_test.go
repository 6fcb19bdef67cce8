package target

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	quiet = MaxOrderDeadline + ClockTolerance
	msec  = time.Millisecond
)

// describe renders effects for comparison; order ids of releases are replaced by
// their program.
func describe(effects []Effect) []string {
	out := []string{}
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			name := e.Order.ID
			if e.Order.Kind == "release" {
				name = e.Order.Program
			}
			out = append(out, fmt.Sprintf("send %s %s #%d", e.Order.Kind, name, e.Attempt))
		case Read:
			out = append(out, "read")
		case Done:
			out = append(out, fmt.Sprintf("done %s %s", e.OrderID, reason(e.Err)))
		}
	}
	return out
}

func reason(err error) string {
	for _, e := range []error{ErrOrderUnknown, ErrNotOwner, ErrStaleFencing, ErrOrderDropped, ErrNotDelivered,
		ErrOrderRefused, ErrReleasing, ErrRestarted, ErrQueueFull, ErrDeadline, ErrTakesNoOrders} {
		if errors.Is(err, e) {
			return e.Error()
		}
	}
	return "ok"
}

// script drives one book with one target, "t".
type script struct {
	t    *testing.T
	book *Book
	// sent maps described names to the last attempt.
	sent map[string]Send
	read uint64
}

func newScript(t *testing.T, fencing string) *script {
	s := &script{t: t, book: NewBook(), sent: map[string]Send{}}
	s.at(0, Own{"t", 1})
	s.at(0, Seen{"t", "run", "engine", fencing})
	return s
}

func (s *script) at(now time.Duration, e Event, want ...string) {
	s.t.Helper()
	effects := s.book.Step(now, e)
	for _, out := range effects {
		switch out := out.(type) {
		case Send:
			name := out.Order.ID
			if out.Order.Kind == "release" {
				name = out.Order.Program
			}
			s.sent[name] = out
		case Read:
			s.read = out.Read
		}
	}
	require.Equal(s.t, append([]string{}, want...), describe(effects), "at %s: %+v", now, e)
}

func (s *script) answer(now time.Duration, name string, outcome AnswerOutcome, want ...string) {
	s.t.Helper()
	out := s.sent[name]
	s.at(now, Answer{Target: "t", OrderID: out.Order.ID, Attempt: out.Attempt, Outcome: outcome}, want...)
}

func (s *script) state(now time.Duration, state EngineState, want ...string) {
	s.t.Helper()
	s.at(now, StateRead{Target: "t", Read: s.read, OK: true, State: state}, want...)
}

func submit(id, kind, program string) Submit {
	return Submit{"t", Order{ID: id, Kind: kind, Program: program}}
}

// stateOf returns the state of the current run with the given programs held.
func stateOf(programs ...string) EngineState {
	s := EngineState{ID: "t", Incarnation: "run"}
	for _, p := range programs {
		s.Held = append(s.Held, HeldProgram{Program: p})
	}
	return s
}

// Guards against orders that wait for nothing or leave too early, for both kinds of fencing.
func TestBookOrders(t *testing.T) {
	running := stateOf()
	running.Orders = []OrderRecord{{ID: "earlier", Status: "running"}}
	for _, c := range []struct {
		name, fencing string
		run           func(s *script)
	}{
		{"enforced: at once and concurrently", FencingEnforced, func(s *script) {
			s.at(0, submit("a", "set_role", ""), "send set_role a #1")
			s.at(0, submit("b", "set_role", ""), "send set_role b #1")
			s.answer(1, "b", AnswerDone, "done b ok")
		}},
		{"ignored: quiet time, state, one at a time", FencingIgnored, func(s *script) {
			s.at(0, submit("a", "set_role", ""))
			s.at(0, submit("b", "set_role", ""))
			s.at(quiet-1, Tick{})
			s.at(quiet, Tick{}, "read")
			s.state(quiet, stateOf(), "send set_role a #1")
			s.answer(quiet, "a", AnswerDone, "done a ok", "send set_role b #1")
		}},
		{"ignored: an earlier order is still running", FencingIgnored, func(s *script) {
			s.at(0, submit("a", "set_role", ""))
			s.at(quiet, Tick{}, "read")
			s.state(quiet, running)
			s.at(quiet+retryDelay, Tick{}, "read")
			s.state(quiet+retryDelay, stateOf(), "send set_role a #1")
		}},
		{"ignored: the state of another target or run counts for nothing", FencingIgnored, func(s *script) {
			s.at(0, submit("a", "set_role", ""))
			s.at(quiet, Tick{}, "read")
			s.state(quiet, EngineState{ID: "other", Incarnation: "run"})
			s.at(quiet+retryDelay, Tick{}, "read")
			s.state(quiet+retryDelay, EngineState{ID: "t", Incarnation: "earlier"})
		}},
		{"ignored: an order of unknown outcome blocks until it has expired", FencingIgnored, func(s *script) {
			s.at(quiet, submit("a", "set_role", ""), "read")
			s.state(quiet, stateOf(), "send set_role a #1")
			s.at(quiet, submit("b", "set_role", ""))
			s.at(quiet+MaxOrderDeadline, Tick{}, "done a "+ErrOrderUnknown.Error())
			s.at(2*quiet-1, Tick{})
			s.at(2*quiet, Tick{}, "send set_role b #1")
		}},
		{"retries keep their id until the deadline", FencingEnforced, func(s *script) {
			s.at(0, submit("a", "set_role", ""), "send set_role a #1")
			s.answer(0, "a", AnswerNotDelivered)
			s.at(retryDelay, Tick{}, "send set_role a #2")
			s.answer(retryDelay, "a", AnswerNotDelivered)
			s.at(MaxOrderDeadline, Tick{}, "done a "+ErrNotDelivered.Error())
		}},
		{"a refusal after an unknown attempt proves nothing", FencingEnforced, func(s *script) {
			s.at(0, submit("a", "set_role", ""), "send set_role a #1")
			s.answer(0, "a", AnswerUnknown)
			s.at(retryDelay, Tick{}, "send set_role a #2")
			s.answer(retryDelay, "a", AnswerDropped, "done a "+ErrOrderUnknown.Error())
		}},
		{"stale epoch ends everything", FencingEnforced, func(s *script) {
			s.at(0, submit("a", "set_role", ""), "send set_role a #1")
			s.at(0, submit("b", "set_role", ""), "send set_role b #1")
			s.answer(0, "a", AnswerStale, "done a "+ErrStaleFencing.Error(), "done b "+ErrOrderUnknown.Error())
			s.at(0, submit("c", "set_role", ""), "done c "+ErrStaleFencing.Error())
			s.at(0, Own{"t", 2})
			s.at(0, Seen{"t", "run", "engine", FencingEnforced})
			s.at(0, submit("d", "set_role", ""), "send set_role d #1")
		}},
		{"lost ownership", FencingIgnored, func(s *script) {
			s.at(quiet, submit("a", "set_role", ""), "read")
			s.state(quiet, stateOf(), "send set_role a #1")
			s.at(quiet, submit("b", "set_role", ""))
			s.at(quiet, Disown{"t"}, "done a "+ErrOrderUnknown.Error(), "done b "+ErrNotOwner.Error())
			s.at(quiet, submit("c", "set_role", ""), "done c "+ErrNotOwner.Error())
		}},
		{"cancelled before it was sent", FencingIgnored, func(s *script) {
			s.at(0, submit("a", "set_role", ""))
			s.at(0, Cancel{"t", "a"}, "done a "+ErrNotDelivered.Error())
		}},
		{"restart", FencingEnforced, func(s *script) {
			s.at(0, submit("a", "set_role", ""), "send set_role a #1")
			s.at(0, Seen{"t", "next", "engine", FencingEnforced}, "done a "+ErrOrderUnknown.Error())
		}},
		{"ignored: an order to the previous run may still arrive", FencingIgnored, func(s *script) {
			s.at(quiet, submit("a", "set_role", ""), "read")
			s.state(quiet, stateOf(), "send set_role a #1")
			s.at(quiet, Seen{"t", "next", "engine", FencingIgnored}, "done a "+ErrOrderUnknown.Error())
			s.at(quiet, submit("b", "set_role", ""))
			s.at(2*quiet-1, Tick{})
			s.at(2*quiet, Tick{}, "send set_role b #1")
		}},
		{"a release is checked after the orders of earlier owners have expired", FencingEnforced, func(s *script) {
			s.at(0, Release{"t", "p", "r"}, "send release p #1")
			s.answer(0, "p", AnswerDone)
			s.at(quiet-1, Tick{})
			s.at(quiet, Tick{}, "read")
		}},
		{"a release is checked after an order of unknown outcome has expired", FencingEnforced, func(s *script) {
			s.at(quiet, submit("k", "keep", "p"), "send keep k #1")
			s.at(quiet+MaxOrderDeadline, Release{"t", "p", "r"}, "done k "+ErrOrderUnknown.Error(), "send release p #1")
			s.answer(quiet+MaxOrderDeadline, "p", AnswerDone)
			s.at(2*quiet-1, Tick{})
			s.at(2*quiet, Tick{}, "read")
		}},
		{"services and long deadlines", FencingIgnored, func(s *script) {
			s.at(0, Submit{"t", Order{ID: "a", Kind: "load_model", DeadlineMS: 60_000}}, "done a "+ErrDeadline.Error())
			s.at(0, Seen{"t", "run", "service", ""})
			s.at(0, submit("b", "set_role", ""), "done b "+ErrTakesNoOrders.Error())
			s.at(0, Release{"t", "p", "r"})
			require.Equal(t, ReleaseGone, s.book.Released("t", "p"))
			s.at(quiet, Tick{})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScript(t, c.fencing)
			c.run(s)
		})
	}
}

// Guards against releases that are confirmed while the program's memory may be
// held, or that are given up.
func TestBookReleases(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(s *script)
		want ReleaseStatus
	}{
		{"two checks", func(s *script) {
			s.state(quiet, stateOf())
			s.at(quiet+auditDelay-1, Tick{})
			s.at(quiet+auditDelay, Tick{}, "read")
			s.state(quiet+auditDelay, stateOf())
		}, ReleaseConfirmed},
		{"one check", func(s *script) { s.state(quiet, stateOf("other")) }, ReleaseFreed},
		{"still held", func(s *script) { s.state(quiet, stateOf("p"), "send release p #1") }, ReleasePending},
		{"held again at the second check", func(s *script) {
			s.state(quiet, stateOf())
			s.at(quiet+auditDelay, Tick{}, "read")
			s.state(quiet+auditDelay, stateOf("p"), "send release p #1")
		}, ReleasePending},
		{"a cache event shows it again", func(s *script) {
			s.state(quiet, stateOf())
			s.at(quiet, Stored{"t", "p"}, "send release p #1")
		}, ReleasePending},
		{"a keep ended after the state was taken", func(s *script) {
			s.answer(quiet, "k", AnswerDone, "done k ok")
			s.state(quiet, stateOf())
		}, ReleasePending},
		{"a keep is under way", func(s *script) { s.state(quiet, stateOf()) }, ReleasePending},
		{"the state cannot be read", func(s *script) {
			s.at(quiet, StateRead{Target: "t", Read: s.read})
			s.at(quiet+retryDelay, Tick{}, "read")
		}, ReleasePending},
		{"the target restarted", func(s *script) {
			s.at(quiet, Seen{"t", "next", "engine", FencingEnforced})
			s.state(quiet, stateOf())
		}, ReleasePending},
		{"the target is gone", func(s *script) { s.at(quiet, Gone{"t"}) }, ReleaseGone},
		{"a new keep is refused", func(s *script) { s.at(quiet, submit("n", "keep", "p"), "done n "+ErrReleasing.Error()) }, ReleasePending},
		{"asked anew between the checks", func(s *script) {
			s.state(quiet, stateOf())
			s.at(quiet, Release{"t", "p", "r2"}, "send release p #1")
		}, ReleasePending},
		{"asked again, then anew", func(s *script) {
			s.state(quiet, stateOf())
			s.at(quiet+auditDelay, Tick{}, "read")
			s.state(quiet+auditDelay, stateOf())
			s.at(quiet+auditDelay, Release{"t", "p", "r"})
			require.Equal(t, ReleaseConfirmed, s.book.Released("t", "p"))
			s.at(quiet+auditDelay, Release{"t", "p", "r2"}, "send release p #1")
		}, ReleasePending},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScript(t, FencingEnforced)
			keep := c.name == "a keep ended after the state was taken" || c.name == "a keep is under way"
			if keep {
				s.at(quiet-2*msec, submit("k", "keep", "p"), "send keep k #1")
			}
			s.at(quiet-msec, Release{"t", "p", "r"}, "send release p #1")
			s.answer(quiet-msec, "p", AnswerDone)
			if keep {
				// Another release makes the book read the state meanwhile.
				s.at(quiet-msec, Release{"t", "q", "r"}, "send release q #1")
				s.answer(quiet-msec, "q", AnswerDone)
			}
			s.at(quiet, Tick{}, "read")
			c.run(s)
			require.Equal(t, c.want, s.book.Released("t", "p"))
		})
	}
}
