package shard

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
)

// benchCluster is an owner and two replicas that exchange messages by function calls.
type benchCluster struct {
	replicas []*Replica
	now      time.Duration
	result   program.BeginResult
}

func newBenchCluster() *benchCluster {
	t := &benchCluster{now: time.Second}
	view := &View{Revision: 1, VMs: map[string]fleet.VM{}}
	a := fleet.Assignment{Epoch: 1, Version: 1}
	for _, id := range []string{"a", "b", "c"} {
		vm := fleet.VM{VMRef: fleet.VMRef{ID: id, Incarnation: id}, DataCentre: id}
		view.VMs[id] = vm
		a.InSync, a.Replicas = append(a.InSync, vm.VMRef), append(a.Replicas, vm.VMRef)
		t.replicas = append(t.replicas, New(vm.VMRef, 0))
	}
	a.Owner = a.InSync[0]
	for i := range t.replicas {
		for _, e := range []Event{FleetChanged{view}, Assigned{a}, LeaseRenewed{time.Hour}} {
			t.step(i, e)
		}
	}
	return t
}

// step handles an event at replica i and, recursively, the messages that result from it.
func (t *benchCluster) step(i int, e Event) {
	t.now += time.Microsecond
	for _, effect := range slices.Clone(t.replicas[i].Step(t.now, e)) {
		switch e := effect.(type) {
		case SendAppend:
			t.step(int(e.To.ID[0]-'a'), AppendReceived{e.Number, e.Message})
		case SendCopy:
			t.step(int(e.To.ID[0]-'a'), CopyReceived{e.Number, e.Message})
		case ReplyAppend:
			t.step(0, AppendDone{t.replicas[i].self, e.Reply.Epoch, e.ID, &e.Reply})
		case ReplyCopy:
			t.step(0, CopyDone{t.replicas[i].self, e.Reply.Epoch, e.ID, &e.Reply})
		case ReplyBegin:
			t.result = e.Result
		}
	}
}

// call begins and completes a call.
func (t *benchCluster) call(c program.BeginCall, delta []byte) {
	t.step(0, BeginRequest{1, c})
	t.step(0, FinishRequest{2, program.FinishCall{Ticket: *t.result.Ticket, Outcome: program.Completed, Target: "t1", HistoryDelta: delta}})
}

// BenchmarkBeginFinish measures the cost of a call at the owner and its two replicas,
// without a network.
func BenchmarkBeginFinish(b *testing.B) {
	t := newBenchCluster()
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

// BenchmarkIdleProgram measures the memory of an idle program with one settled call, at
// a replica and at the owner, which also holds a timer for it.
func BenchmarkIdleProgram(b *testing.B) {
	const programs = 20_000
	runner := fleet.VMRef{ID: "a", Incarnation: "a"}
	for _, history := range []int{0, 1000} {
		b.Run(fmt.Sprintf("history=%d", history), func(b *testing.B) {
			for b.Loop() {
				t := newBenchCluster()
				before := heapBytes()
				for i := range programs {
					ref := program.Ref{Organisation: "org", ID: fmt.Sprintf("program-%08d", i)}
					t.call(program.BeginCall{Program: ref, Runner: runner}, make([]byte, history))
				}
				t.now += time.Minute
				t.step(0, Tick{})
				total := heapBytes() - before
				t.replicas = []*Replica{t.replicas[0]}
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
