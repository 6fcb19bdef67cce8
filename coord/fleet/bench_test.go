package fleet

import (
	"fmt"
	"runtime"
	"testing"
)

// newBenchFixture returns a deployment of the given size whose plan has converged.
func newBenchFixture(b *testing.B, shards, vms, organisations int) (*fixture, map[VMRef]bool) {
	f, live := newFixture(b, shards, vms)
	for i := range organisations {
		id := fmt.Sprint("org-", i)
		f.mustApply(Command{PutOrganisation: &Organisation{ID: id}})
		f.mustApply(Command{PutProfile: &Profile{Name: id, Organisation: id}})
		f.mustApply(Command{PutOrganisation: &Organisation{ID: id, Profile: id}})
		f.mustApply(Command{IssueKey: &Key{ID: id, Organisation: id, Hash: HashSecret(id)}})
	}
	f.converge(live)
	return f, live
}

// BenchmarkState measures changes and reads with 64 shards, 20 VMs and 1600 organisations.
func BenchmarkState(b *testing.B) {
	f, _ := newBenchFixture(b, 64, 20, 1600)
	run := func(name string, op func()) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				op()
			}
		})
	}
	run("Apply/profile", func() {
		f.mustApply(Command{PutProfile: &Profile{Name: "org-7", Organisation: "org-7", Priority: int(f.revision)}})
	})
	run("Apply/operation", func() {
		f.mustApply(Command{Operation: fmt.Sprint(f.revision), PutOrganisation: &Organisation{ID: "org-7", Profile: "org-7"}})
	})
	run("Authenticate", func() { f.state.Authenticate("org-7") })
	run("ResolveProfile", func() { _, _ = f.state.ResolveProfile("org-7", "llm") })
	run("Assignment", func() { f.state.Assignment(7) })
	run("ShardOf", func() { ShardOf(64, "org-7", "program-123/child") })
	run("Snapshot", func() { _, _ = f.state.FollowerSnapshot() })
	b.Run("Authenticate/parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				f.state.Authenticate("org-7")
			}
		})
	})
}

// BenchmarkPlan measures the planner and EntriesFor with 20 VMs and at the design scale of
// 2500 VMs.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ shards, vms int }{{64, 20}, {4096, 2500}} {
		f, live := newBenchFixture(b, size.shards, size.vms, 0)
		b.Run(fmt.Sprintf("EntriesFor/vms=%d", size.vms), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.state.EntriesFor("acme", 5)
			}
		})
		for _, dead := range []int{0, 1, size.vms / 20} {
			b.Run(fmt.Sprintf("vms=%d/shards=%d/dead=%d", size.vms, size.shards, dead), func(b *testing.B) {
				b.ReportAllocs()
				for i := range size.vms {
					live[testVM(i, "a").VMRef] = i >= dead
				}
				for b.Loop() {
					Plan(f.state, live)
				}
			})
		}
	}
}

// BenchmarkStateSize measures the size of a follower's state in memory and as a
// snapshot. It restores the snapshot, as a VM does at its start.
func BenchmarkStateSize(b *testing.B) {
	for _, size := range []struct{ shards, vms, organisations int }{{64, 20, 8}, {64, 20, 1600}, {4096, 2500, 8}, {7500, 2500, 1600}} {
		f, _ := newBenchFixture(b, size.shards, size.vms, size.organisations)
		snapshot, err := f.state.FollowerSnapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("shards=%d/vms=%d/organisations=%d", size.shards, size.vms, size.organisations), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := New()
				if err := s.Restore(snapshot); err != nil {
					b.Fatal(err)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(s)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/1e6, "heap-MB")
			b.ReportMetric(float64(len(snapshot))/1e6, "snapshot-MB")
		})
	}
}
