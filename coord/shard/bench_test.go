package shard

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
)

// trio is an owner with two replicas that are connected directly.
type trio struct {
	replicas []*Replica
	now      time.Duration
	result   program.BeginResult
	queue    []func()
}

func newTrio() *trio {
	t := &trio{now: time.Second}
	view := &View{Revision: 1, VMs: map[string]fleet.VM{}}
	a := fleet.Assignment{Epoch: 1, Version: 1}
	for _, id := range []string{"a", "b", "c"} {
		vm := fleet.VM{VMRef: fleet.VMRef{ID: id, Incarnation: id}, DataCentre: id}
		view.VMs[id] = vm
		a.InSync, a.Replicas = append(a.InSync, vm.VMRef), append(a.Replicas, vm.VMRef)
		t.replicas = append(t.replicas, New(vm.VMRef, 0))
	}
	a.Owner = a.InSync[0]
	for _, r := range t.replicas {
		t.step(r, FleetChanged{view})
		t.step(r, Assigned{a})
		t.step(r, LeaseRenewed{time.Hour})
	}
	return t
}

// step handles an event and everything that follows from it.
func (t *trio) step(r *Replica, e Event) {
	t.handle(r, e)
	for len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		next()
	}
}

func (t *trio) handle(r *Replica, e Event) {
	t.now += time.Microsecond
	for _, effect := range r.Step(t.now, e) {
		switch e := effect.(type) {
		case SendAppend:
			t.queue = append(t.queue, func() { t.deliver(e.To, AppendReceived{e.Number, e.Message}) })
		case SendCopy:
			t.queue = append(t.queue, func() { t.deliver(e.To, CopyReceived{e.Number, e.Message}) })
		case ReplyAppend:
			t.queue = append(t.queue, func() { t.handle(t.replicas[0], AppendAnswered{r.self, e.Reply.Epoch, e.ID, &e.Reply}) })
		case ReplyCopy:
			t.queue = append(t.queue, func() { t.handle(t.replicas[0], CopyAnswered{r.self, e.Reply.Epoch, e.ID, &e.Reply}) })
		case ReplyBegin:
			t.result = e.Result
		}
	}
}

func (t *trio) deliver(to fleet.VMRef, e Event) {
	for _, r := range t.replicas {
		if r.self == to {
			t.handle(r, e)
		}
	}
}

// call begins and completes one call.
func (t *trio) call(c program.BeginCall, delta []byte) {
	t.step(t.replicas[0], BeginRequest{1, c})
	finish := program.FinishCall{Ticket: *t.result.Ticket, Outcome: program.Completed, Target: "t1", HistoryDelta: delta}
	t.step(t.replicas[0], FinishRequest{2, finish})
}

// Measures a call at the owner and at its two replicas, without a network.
func BenchmarkBeginFinish(b *testing.B) {
	t := newTrio()
	runner := fleet.VMRef{ID: "a", Incarnation: "a"}
	refs := make([]program.Ref, 1024)
	for i := range refs {
		refs[i] = program.Ref{Organisation: "org", ID: fmt.Sprint("p", i)}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		t.call(program.BeginCall{Program: refs[i%len(refs)], NonIdempotent: true, Runner: runner, EstimatedTokens: 100}, nil)
	}
}

// Measures the memory of an idle program with one settled call, per replica, and
// at the owner with its timer.
func BenchmarkIdleProgram(b *testing.B) {
	const programs = 20_000
	runner := fleet.VMRef{ID: "a", Incarnation: "a"}
	for _, history := range []int{0, 1000} {
		b.Run(fmt.Sprintf("history=%d", history), func(b *testing.B) {
			for b.Loop() {
				t := newTrio()
				before := heapBytes()
				for i := range programs {
					ref := program.Ref{Organisation: "org", ID: fmt.Sprintf("program-%08d", i)}
					t.call(program.BeginCall{Program: ref, Runner: runner}, make([]byte, history))
				}
				t.now += time.Minute
				t.step(t.replicas[0], Tick{})
				total := heapBytes() - before
				t.replicas = []*Replica{t.replicas[0]}
				t.queue = nil
				owner := heapBytes() - before
				b.ReportMetric(float64(owner)/programs, "owner-B/program")
				b.ReportMetric(float64(total-owner)/2/programs, "replica-B/program")
				runtime.KeepAlive(t)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
