package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// step is the time between two calls of Due in these tests.
const step = 50 * time.Millisecond

// vm is a VM with links to targets, of which some are cut.
type vm struct {
	now      time.Duration
	tracker  *Tracker
	cut      map[string]bool
	attempts int
}

func targetID(n int) string { return fmt.Sprint("t", n) }

func newVM(targets int) *vm {
	v := &vm{now: time.Second, tracker: New(1), cut: make(map[string]bool)}
	var ids []string
	for n := range targets {
		ids = append(ids, targetID(n))
	}
	v.tracker.SetTargets(ids)
	return v
}

// try makes a connection attempt at a target.
func (v *vm) try(id string) {
	v.attempts++
	if v.cut[id] {
		v.tracker.Failed(v.now, id)
	} else {
		v.tracker.Heard(v.now, id)
	}
}

// run lets time pass and makes the attempts that are due.
func (v *vm) run(d time.Duration) {
	for end := v.now + d; v.now < end; v.now += step {
		for _, id := range v.tracker.Due(v.now) {
			v.try(id)
		}
	}
}

func (v *vm) cutAll(targets int) {
	for n := range targets {
		v.cut[targetID(n)] = true
	}
}

// TestIsolationIsNoticed guards against a VM that tries target after target although it has
// lost all of its links, and against one that stays isolated when they are back.
func TestIsolationIsNoticed(t *testing.T) {
	for _, targets := range []int{2, 8, 11, 7400} {
		v := newVM(targets)
		v.tracker.Heard(v.now, targetID(0))
		v.now += quietTime
		v.cutAll(targets)
		v.try(targetID(0))
		v.try(targetID(1))
		v.run(500 * time.Millisecond)
		assert.True(t, v.tracker.Isolated(), "%d targets", targets)
		assert.LessOrEqual(t, v.attempts, 2*surveySize)
		v.attempts = 0
		v.run(10 * time.Second)
		assert.True(t, v.tracker.Isolated())
		assert.LessOrEqual(t, v.attempts, 10*2*isolatedSample+isolatedSample, "attempts while isolated")
		clear(v.cut)
		v.run(isolatedRetry + step)
		assert.False(t, v.tracker.Isolated())
		v.run(2 * time.Second)
		assert.True(t, v.tracker.Idle(), "all targets are found again")
	}
}

// TestPartOfTheTargets guards against a VM that counts as isolated although it has lost some
// targets only, because they ended or their data centre is cut off.
func TestPartOfTheTargets(t *testing.T) {
	const targets, lost = 11, 5
	v := newVM(targets)
	v.cutAll(lost)
	for n := range lost {
		v.try(targetID(n))
	}
	v.run(5 * time.Second)
	assert.False(t, v.tracker.Isolated())
	for n := range targets {
		assert.Equal(t, n < lost, v.tracker.Unreachable(targetID(n)))
	}
	clear(v.cut)
	v.run(maxRetry + step)
	assert.True(t, v.tracker.Idle())

	v.cutAll(lost)
	v.try(targetID(0))
	v.tracker.SetTargets([]string{targetID(1)})
	assert.True(t, v.tracker.Idle(), "a target that left is forgotten")
}

// TestHeardTargetsAreReachable guards against a VM that counts as isolated because new
// connections are refused while kept ones serve.
func TestHeardTargetsAreReachable(t *testing.T) {
	const targets = 8
	v := newVM(targets)
	v.cutAll(targets)
	for range 40 {
		for n := range targets {
			v.tracker.Heard(v.now, targetID(n))
		}
		v.run(step)
		v.try(targetID(0))
		v.try(targetID(1))
		assert.False(t, v.tracker.Isolated())
	}
}

// TestNoAttemptsWithoutDoubt guards against attempts while nothing fails, and against more
// than one at a time at a target that responds slowly.
func TestNoAttemptsWithoutDoubt(t *testing.T) {
	v := newVM(100)
	v.run(10 * time.Second)
	assert.Zero(t, v.attempts)
	assert.True(t, v.tracker.Doubt(v.now, targetID(0)))
	assert.False(t, v.tracker.Doubt(v.now+step, targetID(0)))
	assert.False(t, v.tracker.Doubt(v.now, "unknown"))
	v.run(10 * time.Second)
	assert.Zero(t, v.attempts)
	assert.True(t, v.tracker.Doubt(v.now, targetID(0)))
}

// TestDeadTargetsAreRarelyTried guards against a VM that tries the targets of a service again
// and again because some of them have ended for good.
func TestDeadTargetsAreRarelyTried(t *testing.T) {
	const targets, dead, seconds = 100, 3, 60
	v := newVM(targets)
	v.cutAll(dead)
	for n := range dead {
		v.try(targetID(n))
	}
	v.run(seconds * time.Second)
	assert.LessOrEqual(t, v.attempts, surveySize+dead*(6+seconds*int(time.Second)/int(maxRetry)))
	assert.False(t, v.tracker.Isolated())
}
