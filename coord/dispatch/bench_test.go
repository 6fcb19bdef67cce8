package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkUpdateShares measures the update of the expected work of 100 organisations with 3,000
// started programs and 500 waiting requests, which happens every shareInterval.
func BenchmarkUpdateShares(b *testing.B) {
	d := New(0, 1)
	d.SetTargets(0, targets(36, 6))
	for i := range 3000 {
		r := request(fmt.Sprint(i))
		r.Organisation, r.Program, r.ProgramTimeLeft, r.StartsProgram = fmt.Sprint("o", i%100), r.ID, time.Minute, true
		r.TimeLeft, r.RoutePriority = time.Minute, i%2
		if o := d.Admit(0, r); o.Target != "" && i < 2400 {
			d.Done(0, r.ID, o.Target, Completed, 1)
		}
	}
	now := 200 * time.Millisecond
	d.Tick(now)
	if !d.shares.services["s"].scarce {
		b.Fatal("capacity is not scarce")
	}
	b.ResetTimer()
	for range b.N {
		d.shares.updatedAt = now - shareInterval
		d.updateShares(now)
	}
}

// BenchmarkAdmitAndDone measures one admission and one done report while other requests wait.
func BenchmarkAdmitAndDone(b *testing.B) {
	for _, waiting := range []int{0, 500, 4000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			d := New(0, 1)
			d.SetTargets(0, targets(83, 6))
			now := time.Second
			var granted []Outcome
			n := 0
			var entries []string
			for n := range 110 {
				entries = append(entries, fmt.Sprint("entry ", n))
			}
			admit := func() {
				n++
				r := request(fmt.Sprint(n))
				r.TimeLeft = time.Hour
				r.Entry = entries[n%len(entries)]
				r.Parts = []Part{{ID: "shared", Tokens: 512}, {ID: r.ID, Tokens: 300}}
				if o := d.Admit(now, r); o.Target != "" {
					granted = append(granted, o)
				}
			}
			for d.Load("s").Waiting < max(waiting, 1) {
				admit()
			}
			for waiting == 0 && d.Load("s").Waiting > 0 || waiting == 0 && len(granted) > 400 {
				o := granted[0]
				granted = append(granted[1:], d.Done(now, o.ID, o.Target, Completed, 10)...)
			}
			b.ResetTimer()
			for range b.N {
				now += 300 * time.Microsecond
				admit()
				o := granted[0]
				granted = append(granted[1:], d.Done(now, o.ID, o.Target, Completed, 10)...)
			}
		})
	}
}

// BenchmarkBesideStreamsInDoubt measures one admission and one done report while broken streams wait
// until the versions of their targets are certain. All entries may lose their connections at once.
func BenchmarkBesideStreamsInDoubt(b *testing.B) {
	const targets = 36
	for _, streams := range []int{0, 6 * targets} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			var versions []string
			for range targets {
				versions = append(versions, "v1")
			}
			d, ts, now := newDoubtTest(versions...)
			for i := range streams {
				r := streamRequest(fmt.Sprint("s", i))
				r.Target, r.TimeLeft = ts[i%targets].ID, time.Hour
				d.Admit(now, r)
				d.Done(now, r.ID, r.Target, Broken, 1)
			}
			for _, t := range ts {
				d.Doubt(now, now, t.ID, started, "e")
			}
			for i := range streams {
				d.Admit(now, takeUpAt(fmt.Sprint("c", i), fmt.Sprint("s", i), ts[i%targets].ID))
			}
			if waiting := d.Load("s").Waiting; waiting != streams {
				b.Fatal(waiting)
			}
			b.ResetTimer()
			for n := range b.N {
				r := request(fmt.Sprint("n", n))
				o := d.Admit(now, r)
				if o.Target == "" {
					b.Fatal(o)
				}
				d.Done(now, r.ID, o.Target, Completed, 1)
			}
		})
	}
}

// BenchmarkAdmitByAffinity measures one admission and one done report of requests without prompt
// parts, with and without an affinity key. The 83 targets hold two requests in the mean, or are full
// while requests wait.
func BenchmarkAdmitByAffinity(b *testing.B) {
	for _, load := range []struct {
		name    string
		running int
	}{{"free", 166}, {"full", 1000}} {
		for _, keys := range []bool{false, true} {
			b.Run(fmt.Sprint(load.name, "/keys=", keys), func(b *testing.B) {
				d := New(0, 1)
				d.SetTargets(0, targets(83, 6))
				now := time.Second
				var granted []Outcome
				ids := make([]string, 2000)
				for i := range ids {
					ids[i] = fmt.Sprint(i)
				}
				admit := func(n int) {
					r := request(ids[n%len(ids)])
					r.Entry, r.TimeLeft = "entry", time.Hour
					if keys {
						r.Affinity = uint64(n%500 + 1)
					}
					if o := d.Admit(now, r); o.Target != "" {
						granted = append(granted, o)
					}
				}
				for n := range load.running {
					admit(n)
				}
				b.ResetTimer()
				for n := range b.N {
					now += 300 * time.Microsecond
					admit(load.running + n)
					o := granted[0]
					granted = append(granted[1:], d.Done(now, o.ID, o.Target, Completed, 1)...)
				}
			})
		}
	}
}
