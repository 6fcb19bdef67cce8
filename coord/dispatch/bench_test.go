package dispatch

import (
	"fmt"
	"testing"
	"time"
)

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
