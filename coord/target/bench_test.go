package target

import (
	"fmt"
	"testing"
	"time"
)

// populatedRegistry returns a registry of n targets that each hold prefixes of 100
// programs; three consecutive targets hold prefixes of the same programs.
func populatedRegistry(b *testing.B, n int) (*Registry, []string) {
	b.Helper()
	g := NewRegistry()
	var ids []string
	for i := range n {
		id := fmt.Sprintf("target-%03d", i)
		ids = append(ids, id)
		if err := g.Announce(0, announcement(id, "i", 1)); err != nil {
			b.Fatal(err)
		}
		if err := g.ApplyCacheEvents(0, id, "i", storedEvents(i/3, 1, 100)); err != nil {
			b.Fatal(err)
		}
	}
	return g, ids
}

func storedEvents(group int, first uint64, n int) []CacheEvent {
	events := make([]CacheEvent, 0, n)
	for i := range n {
		events = append(events, CacheEvent{Sequence: first + uint64(i), Kind: "stored", Program: fmt.Sprintf("org/program-%d-%02d", group, i), Tokens: 4096})
	}
	return events
}

func runSizes(b *testing.B, run func(b *testing.B, g *Registry, ids []string)) {
	for _, n := range []int{8, 64, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, ids := populatedRegistry(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, g, ids)
		})
	}
}

// BenchmarkAnnounce measures one announcement in registries of several sizes.
func BenchmarkAnnounce(b *testing.B) {
	runSizes(b, func(b *testing.B, g *Registry, ids []string) {
		a := announcement("", "i", 1)
		for i := range b.N {
			a.ID, a.Sequence = ids[i%len(ids)], uint64(i+2)
			if err := g.Announce(time.Duration(i), a); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCacheEvents measures a report of ten events.
func BenchmarkCacheEvents(b *testing.B) {
	runSizes(b, func(b *testing.B, g *Registry, ids []string) {
		events := storedEvents(0, 101, 10)
		for i := range b.N {
			if err := g.ApplyCacheEvents(0, ids[i%len(ids)], "i", events); err != nil {
				b.Fatal(err)
			}
			if i%len(ids) == len(ids)-1 {
				for k := range events {
					events[k].Sequence += uint64(len(events))
				}
			}
		}
	})
}

// BenchmarkCandidates measures the lookup of the candidates for one request. The
// memory of the views is reused for the next request, as in server/targets.
func BenchmarkCandidates(b *testing.B) {
	runSizes(b, func(b *testing.B, g *Registry, ids []string) {
		var views []View
		for range b.N {
			views = g.AppendCandidates(views[:0], 0, "s", "m", "org/program-0-42")
			if len(views) != len(ids) {
				b.Fatal(len(views))
			}
		}
	})
}
