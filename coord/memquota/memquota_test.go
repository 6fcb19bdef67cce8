package memquota

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	kib = 1 << 10
	mib = 1 << 20
)

// fill grows new holdings of n bytes until one is refused, and returns them.
func fill(q *Quota, h Holding, n int64) []*Holding {
	var all []*Holding
	for {
		next := h
		if q.Grow(&next, n) != Granted {
			return all
		}
		all = append(all, &next)
	}
}

// TestReserves guards against a class, or long bodies, that take the memory which others need
// to be served.
func TestReserves(t *testing.T) {
	for taker := range Classes {
		q := New(DefaultLimits(minTotal))
		fill(q, Holding{Class: taker}, 256*kib)
		for c := range Classes {
			assert.GreaterOrEqual(t, len(fill(q, Holding{Class: c}, 32*kib)), int(q.limits.Reserves[c].Ordinary/(32*kib)), "ordinary %v after long %v", c, taker)
		}
	}
	q := New(DefaultLimits(minTotal))
	fill(q, Holding{Class: RequestBodies}, 64*kib)
	assert.Equal(t, Granted, q.Grow(&Holding{Class: RequestBodies}, 2*mib), "the reserve of long bodies")
	assert.Equal(t, Granted, q.Grow(&Holding{Class: ResponseBodies}, 2*mib), "the reserve of another class")
}

// TestSingleRequest guards against limits that refuse one request within the configuration's
// limits at an idle entry of the smallest size.
func TestSingleRequest(t *testing.T) {
	for _, memory := range []int64{1, 120 * mib, 244 * mib, 0} {
		q := New(DefaultLimits(Total(memory)))
		request := Holding{Class: RequestBodies, Caller: "c"}
		response := Holding{Class: ResponseBodies, Caller: "c", Target: "t"}
		for range 16 {
			require.Equal(t, Granted, q.Grow(&request, 256*kib))
		}
		for range 32 {
			require.Equal(t, Granted, q.Grow(&response, 256*kib))
		}
	}
	assert.EqualValues(t, 36*mib, Total(120*mib))
}

// TestShares guards against one target, or one caller address, that takes the memory of all.
func TestShares(t *testing.T) {
	l := DefaultLimits(minTotal)
	q := New(l)
	endless := fill(q, Holding{Class: ResponseBodies, Target: "endless"}, 256*kib)
	assert.LessOrEqual(t, int64(len(endless))*256*kib, l.Pressure+l.Reserves[ResponseBodies].Long)
	assert.Equal(t, TargetShare, q.Grow(&Holding{Class: ResponseBodies, Target: "endless"}, 256*kib))
	assert.Len(t, fill(q, Holding{Class: ResponseBodies, Target: "sound"}, 256*kib)[:16], 16)
	for _, h := range endless {
		q.Shrink(h, h.Bytes())
	}
	assert.NotContains(t, q.targets, "endless", "owners without bytes are forgotten")
	q = New(l)
	greedy := fill(q, Holding{Class: RequestBodies, Caller: "greedy"}, 256*kib)
	assert.LessOrEqual(t, int64(len(greedy))*256*kib, max(l.CallerShare, l.Pressure+l.Reserves[RequestBodies].Long))
	assert.Equal(t, CallerShare, q.Grow(&Holding{Class: RequestBodies, Caller: "greedy"}, mib))
	assert.Equal(t, Granted, q.Grow(&Holding{Class: RequestBodies, Caller: "sound"}, mib))
}

// TestWaiters guards against a waiter that stays behind although its bytes are free, against
// one that holds up others which fit, and against waiters without bound.
func TestWaiters(t *testing.T) {
	q := New(Limits{Total: 2 * mib, Pressure: 2 * mib, CallerShare: mib, TargetShare: mib})
	first, second := Holding{}, Holding{}
	require.Equal(t, Granted, q.Grow(&first, mib))
	require.Equal(t, Granted, q.Grow(&second, mib))
	large := &Waiter{Holding: &Holding{}, Bytes: 2 * mib}
	small := &Waiter{Holding: &Holding{}, Bytes: mib / 2}
	gone := &Waiter{Holding: &Holding{}, Bytes: mib / 2}
	for _, w := range []*Waiter{large, gone, small} {
		require.Equal(t, Exhausted, q.Grow(w.Holding, w.Bytes))
		require.True(t, q.Wait(w))
	}
	assert.True(t, q.Cancel(gone))
	assert.Equal(t, []*Waiter{small}, q.Shrink(&first, mib))
	assert.False(t, q.Cancel(small), "it has been granted")
	assert.Empty(t, q.Shrink(&second, mib))
	assert.Equal(t, []*Waiter{large}, q.Shrink(small.Holding, mib/2))
	for range maxWaiting {
		require.True(t, q.Wait(&Waiter{Holding: &Holding{}, Bytes: mib}))
	}
	assert.False(t, q.Wait(&Waiter{Holding: &Holding{}, Bytes: mib}))
	assert.True(t, q.Wait(&Waiter{Holding: &Holding{}, Bytes: 1}), "long waiters leave room for ordinary ones")
}

// TestInvariants guards against bytes that are counted twice or never returned, in any order
// of reservations, releases and waits.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(DefaultLimits(minTotal))
		holdings := make([]*Holding, 24)
		waiting := make(map[*Holding]*Waiter)
		for i := range holdings {
			holdings[i] = &Holding{Class: Class(i % int(Classes)), Caller: []string{"", "a", "b"}[i%3], Target: []string{"", "x"}[i%2]}
		}
		granted := func(list []*Waiter) {
			for _, w := range list {
				delete(waiting, w.Holding)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			h := holdings[rapid.IntRange(0, len(holdings)-1).Draw(t, "holding")]
			n := rapid.Int64Range(1, 6*mib).Draw(t, "bytes")
			w := waiting[h]
			switch {
			case w != nil:
				if !q.Cancel(w) {
					t.Fatal("a waiter was granted without notice")
				}
				delete(waiting, h)
			case rapid.Bool().Draw(t, "grow"):
				if q.Grow(h, n) == Granted {
					break
				}
				if w = (&Waiter{Holding: h, Bytes: n}); q.Wait(w) {
					waiting[h] = w
				}
			default:
				granted(q.Shrink(h, n))
			}
			sum, overflow := int64(0), int64(0)
			for _, h := range holdings {
				sum += h.Bytes()
			}
			for c := range Classes {
				overflow += q.excess(c, ordinary, q.held[c][ordinary]) + q.excess(c, long, q.held[c][long])
			}
			if sum != q.Total() || sum > q.limits.Total || overflow != q.overflow || overflow > q.shared {
				t.Fatalf("held %d, total %d, overflow %d counted as %d", sum, q.Total(), overflow, q.overflow)
			}
		}
		for _, w := range waiting {
			if !q.Cancel(w) {
				t.Fatal("a waiter was granted without notice")
			}
		}
		for _, h := range holdings {
			q.Shrink(h, h.Bytes())
		}
		if q.Total() != 0 || q.Owners() != 0 || q.overflow != 0 || q.Waiting() != 0 || q.waiting != [sizes]int{} || q.held != [Classes][sizes]int64{} {
			t.Fatalf("not empty: %+v", q)
		}
	})
}

// BenchmarkOrdinary measures the reservations of one ordinary request.
func BenchmarkOrdinary(b *testing.B) {
	q := New(DefaultLimits(minTotal))
	b.ReportAllocs()
	for b.Loop() {
		request := Holding{Class: RequestBodies, Caller: "10.0.0.1"}
		response := Holding{Class: ResponseBodies, Caller: "10.0.0.1", Target: "i-0001"}
		q.Grow(&request, 2048)
		q.Grow(&response, 4096)
		q.Shrink(&response, 4096)
		q.Shrink(&request, 2048)
	}
}
