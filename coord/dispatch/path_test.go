package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestUnreachableTargetsAreNotGranted guards against requests that are granted at targets
// which their VM can't reach, while it reaches others.
func TestUnreachableTargetsAreNotGranted(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(3, 1))
	for n := range 2 {
		r := request(fmt.Sprint("a", n))
		r.Unreachable = []string{"t0", "t1"}
		o := d.Admit(0, r)
		if n == 0 {
			assert.Equal(t, "t2", o.Target)
		}
	}
	o := d.Admit(0, request("other VM"))
	assert.NotEqual(t, "t2", o.Target, "other VMs use the targets that one can't reach")
}

// TestPathLost guards against requests that wait or are granted at a VM which reaches none
// of their targets, and against refusals when nobody reaches them.
func TestPathLost(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(2, 2))
	cut := request("cut")
	cut.Unreachable = []string{"t0", "t1"}
	assert.Equal(t, PathLost, d.Admit(0, cut).Refusal)
	for n := range 2 {
		o := d.Admit(0, request(fmt.Sprint("down ", n)))
		d.Done(0, fmt.Sprint("down ", n), o.Target, Unreachable, 0)
	}
	cut.ID = "all down"
	assert.NotEmpty(t, d.Admit(time.Millisecond, cut).Target, "nobody reaches the targets")
}

// TestQueuedRequestOutlivesItsReachableTargets guards against a request that waits for good
// because the targets have left that its VM could reach.
func TestQueuedRequestOutlivesItsReachableTargets(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(2, 1))
	first, second := request("first"), request("second")
	first.Unreachable, second.Unreachable = []string{"t0"}, []string{"t0"}
	granted := map[string]string{}
	for _, r := range []Request{first, second, request("third")} {
		if o := d.Admit(0, r); o.Target != "" {
			granted[o.ID] = o.Target
		}
	}
	outcomes := d.SetTargets(time.Millisecond, targets(1, 4))
	for _, o := range outcomes {
		granted[o.ID] = o.Target
	}
	assert.Len(t, granted, 3)
}

// TestOneVMsPathDoesNotMakeATargetSuspect guards against sound targets that are avoided for
// everybody because one VM can't connect to them.
func TestOneVMsPathDoesNotMakeATargetSuspect(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(1, 4))
	served := d.Admit(0, request("served"))
	d.Done(time.Millisecond, "served", served.Target, Completed, 1)
	d.Done(time.Millisecond, "cut", "t0", Unreachable, 0)
	assert.False(t, d.targets["t0"].isSuspect(time.Millisecond))
	d.Done(time.Millisecond, "isolated", "t0", NoPath, 0)
	assert.False(t, d.targets["t0"].isSuspect(time.Millisecond))
	later := time.Millisecond + servingTime
	d.Done(later, "later", "t0", Unreachable, 0)
	assert.True(t, d.targets["t0"].isSuspect(later))
}

// TestRefusedWhenAllTargetsLeave guards against requests that wait until their time is over
// although all targets of their service leave.
func TestRefusedWhenAllTargetsLeave(t *testing.T) {
	d := New(0, 1)
	list := targets(1, 1)
	d.SetTargets(0, list)
	waiting := false
	for n := range 4 {
		waiting = d.Admit(0, request(fmt.Sprint("r", n))).Waiting()
	}
	assert.True(t, waiting)
	list[0].Draining = true
	outcomes := d.SetTargets(time.Millisecond, list)
	assert.NotEmpty(t, outcomes)
	for _, o := range outcomes {
		assert.Equal(t, NoTarget, o.Refusal)
	}
	assert.Equal(t, NoTarget, d.Admit(time.Millisecond, request("later")).Refusal)
}
