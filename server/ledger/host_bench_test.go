package ledger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
)

// addBusyService adds a service with many targets of a few slots.
func (s *testStore) addBusyService(targets, slots int) {
	view := *s.view.Load()
	for i := range targets {
		id := fmt.Sprintf("busy%d", i)
		view.Targets = append(view.Targets, catalog.Target{ID: id, StartedUnixMS: 1, Service: "busy", Address: id + ":1", Slots: slots, State: catalog.Ready})
	}
	s.view.Store(&view)
	s.host.Update(&view)
}

// BenchmarkAdmissions measures the admission and the done report of a turn, from many entries.
func BenchmarkAdmissions(b *testing.B) {
	const entries = 255
	s := startStore(b, b.TempDir())
	s.awaitLeader(b)
	s.addBusyService(83, 6)
	var clients []*Client
	for range entries {
		clients = append(clients, startClient(b, func() []string { return []string{s.address} }))
	}
	var number atomic.Int64
	var wg sync.WaitGroup
	b.ResetTimer()
	for i := range min(entries, b.N) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := i; n < b.N; n += entries {
				id := fmt.Sprint(number.Add(1))
				r := turnRequest(id, 1000, 60)
				r.Service, r.Reserve.Program.ID, r.Program, r.ProgramTimeLeft = "busy", id, id, time.Second
				response, err := clients[i].Admit(context.Background(), r)
				require.NoError(b, err)
				clients[i].Done(DoneReport{ID: id, Target: response.Target, Result: dispatch.Completed, Units: 50, Settle: Settlement(r.Reserve, 50)})
			}
		}()
	}
	wg.Wait()
}

// BenchmarkReconnects measures the connection and the introduction of entries that have lost the
// leader together; each has a few losses and origins to tell.
func BenchmarkReconnects(b *testing.B) {
	for _, entries := range []int{255, 2500} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			s := startStore(b, b.TempDir())
			s.awaitLeader(b)
			var clients []*Client
			for range entries {
				c := startClient(b, func() []string { return []string{s.address} })
				for n := range 5 {
					c.losses.add(LossReport{Request: fmt.Sprint(n)})
					c.origins.byRequest[fmt.Sprint(n)] = originUntil{dispatch.Origin{Service: "s", Software: "v1"}, "t", time.Now().Add(time.Minute)}
				}
				clients = append(clients, c)
			}
			b.ResetTimer()
			for range b.N {
				var wg sync.WaitGroup
				for _, c := range clients {
					wg.Go(func() {
						l := c.connect(context.Background())
						l.close(nil)
						c.connectionFailed(l, errClosed)
					})
				}
				wg.Wait()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*entries), "us/entry")
		})
	}
}
