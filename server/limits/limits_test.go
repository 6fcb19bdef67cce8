package limits

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/ratelimit"
	"hemlockvale.dev/server/rpc"
)

// testVM is a VM of a test fleet with its own limiter.
type testVM struct {
	*Limits
	server     *rpc.Server
	leaseValid atomic.Bool
}

// testFleet is a fleet with one shard whose VMs share a configuration.
type testFleet struct {
	t     testing.TB
	state *fleet.State
	vms   []*testVM
}

// apply applies a command to the shared configuration.
func (f *testFleet) apply(c fleet.Command) {
	require.Nil(f.t, f.state.Apply(f.state.Revision()+1, c).Error)
}

// newTestFleet starts n VMs; the first one owns the only shard.
func newTestFleet(t testing.TB, n int, limits fleet.Limits) *testFleet {
	f := &testFleet{t: t, state: fleet.New()}
	f.apply(fleet.Command{Configure: &fleet.Deployment{Shards: 1, Replicas: 3}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		ref := fleet.VMRef{ID: fmt.Sprint("vm-", i), Incarnation: "a"}
		f.apply(fleet.Command{RegisterVM: &fleet.VM{VMRef: ref, Role: "entry", DataCentre: "dc", RPCAddress: listener.Addr().String(), HTTPAddress: "127.0.0.1:1"}})
		pool := rpc.NewPool(time.Second)
		v := &testVM{server: rpc.NewServer(logrus.NewEntry(log))}
		v.leaseValid.Store(true)
		v.Limits = New(Options{
			Self: ref, Pool: pool, State: func() *fleet.State { return f.state }, Log: logrus.NewEntry(log),
			Owns: func(shard int) bool {
				a, _ := f.state.Assignment(shard)
				return v.leaseValid.Load() && a.Owner == ref
			},
		})
		v.Register(v.server)
		go func() { _ = v.server.Serve(listener) }()
		t.Cleanup(func() { _ = v.server.Close(); _ = pool.Close() })
		f.vms = append(f.vms, v)
	}
	f.apply(fleet.Command{Assign: &fleet.Assignment{Epoch: 1, Version: 1, Owner: f.vms[0].o.Self, InSync: f.refs(1), Replicas: f.refs(n)}})
	f.apply(fleet.Command{Assign: &fleet.Assignment{Epoch: 1, Version: 2, Owner: f.vms[0].o.Self, InSync: f.refs(n), Replicas: f.refs(n)}})
	f.apply(fleet.Command{PutOrganisation: &fleet.Organisation{ID: "acme"}})
	for _, p := range []fleet.Profile{{Name: "base", Limits: limits}, {Name: "second", Limits: fleet.Limits{RatePerSecond: 1, Burst: 5}}, {Name: "free"}} {
		p.Organisation = "acme"
		f.apply(fleet.Command{PutProfile: &p})
	}
	f.apply(fleet.Command{PutOrganisation: &fleet.Organisation{ID: "acme", Profile: "base"}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, v := range f.vms {
		go v.Run(ctx)
	}
	return f
}

// refs returns the references of the first n VMs.
func (f *testFleet) refs(n int) []fleet.VMRef {
	var refs []fleet.VMRef
	for _, v := range f.vms[:n] {
		refs = append(refs, v.o.Self)
	}
	return refs
}

// burst makes n concurrent acquisitions, spread over the VMs, and counts grants and errors.
func (f *testFleet) burst(n int, profile string) (granted, failed int64) {
	var g, e atomic.Int64
	var callers sync.WaitGroup
	for i := range n {
		callers.Go(func() {
			d, err := f.vms[i%len(f.vms)].Acquire(context.Background(), "acme", profile, 1)
			if err != nil {
				require.Equal(f.t, CodeUnavailable, rpc.CodeOf(err))
				e.Add(1)
			} else if d.Granted {
				g.Add(1)
			}
		})
	}
	callers.Wait()
	return g.Load(), e.Load()
}

// TestFleetSharesBuckets checks that all VMs together admit no more than one bucket allows
// and, without a fault, no less, and that requests of a second profile take from both
// buckets.
func TestFleetSharesBuckets(t *testing.T) {
	f := newTestFleet(t, 3, fleet.Limits{RatePerSecond: 100, Burst: 50})
	time.Sleep(600 * time.Millisecond) // the bucket fills
	start := time.Now()
	granted, failed := f.burst(300, "base")
	require.Zero(t, failed)
	require.GreaterOrEqual(t, granted, int64(50))
	require.LessOrEqual(t, float64(granted), 50+100*time.Since(start).Seconds())
	for _, name := range []string{"second", "free"} {
		start = time.Now()
		granted, failed = f.burst(100, name)
		require.Zero(t, failed)
		require.LessOrEqual(t, float64(granted), 50+100*time.Since(start).Seconds(), name)
	}
	start = time.Now()
	granted, _ = f.burst(100, "second")
	require.LessOrEqual(t, float64(granted), 5+time.Since(start).Seconds())
	_, err := f.vms[0].Acquire(t.Context(), "acme", "none", 1)
	require.Equal(t, fleet.CodeNotFound, rpc.CodeOf(err))
}

// TestOwnerWithoutLeaseAndEdit checks that an owner without a lease grants nothing, that
// callers do not hang, and that changed limits apply to existing buckets.
func TestOwnerWithoutLeaseAndEdit(t *testing.T) {
	f := newTestFleet(t, 2, fleet.Limits{RatePerSecond: 1, Burst: 3})
	f.vms[0].leaseValid.Store(false)
	start := time.Now()
	granted, failed := f.burst(4, "base")
	require.Equal(t, [2]int64{0, 4}, [2]int64{granted, failed})
	require.Less(t, time.Since(start), 2*ratelimit.UnavailableAfter)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := f.vms[1].Acquire(ctx, "acme", "base", 1)
	require.Equal(t, CodeUnavailable, rpc.CodeOf(err))
	f.vms[0].leaseValid.Store(true)
	f.apply(fleet.Command{PutProfile: &fleet.Profile{Name: "base", Organisation: "acme", Limits: fleet.Limits{RatePerSecond: 1000, Burst: 1000}}})
	granted, failed = f.burst(100, "base")
	require.Equal(t, [2]int64{100, 0}, [2]int64{granted, failed})
	f.apply(fleet.Command{PutProfile: &fleet.Profile{Name: "base", Organisation: "acme"}})
	f.vms[0].leaseValid.Store(false)
	granted, failed = f.burst(1000, "base")
	require.Equal(t, [2]int64{1000, 0}, [2]int64{granted, failed}, "an unlimited profile needs no owner")
}

// TestPlannedMoveAndUsage checks that a planned move neither loses nor doubles an
// organisation's burst, and that reported usage appears in later decisions, where the
// placement policy reads it.
func TestPlannedMoveAndUsage(t *testing.T) {
	f := newTestFleet(t, 2, fleet.Limits{RatePerSecond: 10, Burst: 100})
	time.Sleep(time.Second)
	granted, _ := f.burst(5, "base")
	require.EqualValues(t, 5, granted)
	f.vms[1].RecordUsage("acme", 1000)
	time.Sleep(2 * reportInterval)
	a, _ := f.state.Assignment(0)
	a.Epoch, a.Version, a.Previous, a.Owner = 2, a.Version+1, a.Owner, f.vms[1].o.Self
	start := time.Now()
	f.apply(fleet.Command{Assign: &a})
	granted, failed := f.burst(60, "base")
	require.Zero(t, failed)
	require.GreaterOrEqual(t, granted, int64(5), "the burst was lost")
	require.LessOrEqual(t, float64(granted), 10*(1.5+time.Since(start).Seconds()), "the burst was doubled")
	require.Less(t, time.Since(start), ratelimit.TakeoverWait, "the successor waited for the lease")
	d, err := f.vms[0].Acquire(t.Context(), "acme", "free", 1)
	require.NoError(t, err)
	time.Sleep(300 * time.Millisecond)
	d, err = f.vms[0].Acquire(t.Context(), "acme", "base", 1)
	require.NoError(t, err)
	require.InDelta(t, 1000, d.OrganisationTokens, 100)
}

// BenchmarkAcquire measures an acquisition at the owner and at another VM.
func BenchmarkAcquire(b *testing.B) {
	f := newTestFleet(b, 2, fleet.Limits{RatePerSecond: 1e9, Burst: 1e9})
	for name, v := range map[string]*testVM{"owner": f.vms[0], "remote": f.vms[1]} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := v.Acquire(context.Background(), "acme", "base", 1); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
