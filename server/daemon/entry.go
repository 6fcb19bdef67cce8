package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/placement"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/server/entry"
	"hemlockvale.dev/server/follower"
	"hemlockvale.dev/server/limits"
	"hemlockvale.dev/server/settings"
	"hemlockvale.dev/server/shardhost"
	"hemlockvale.dev/server/targets"
)

// entryRole holds the parts of a running entry.
type entryRole struct {
	*process
	self     fleet.VMRef
	follower *follower.Follower
	host     *shardhost.Host
	limits   *limits.Limits
	targets  *targets.Targets
	entry    *entry.Entry
}

func runEntry(ctx context.Context, s settings.Settings, log *logrus.Entry) error {
	p, err := newProcess(s, log)
	if err != nil {
		return err
	}
	r := newEntryRole(p)
	// The duties outlive ctx: a planned stop needs them until the last request has ended.
	duties, stop := context.WithCancel(context.Background())
	defer stop()
	r.run(duties)
	if err := p.duties.wait(ctx); err != nil {
		return errors.Join(err, p.close())
	}
	return r.shutdown()
}

func newEntryRole(p *process) *entryRole {
	r := &entryRole{process: p, self: fleet.VMRef{ID: p.settings.VM.ID, Incarnation: uuid.NewString()}}
	control := controlAddresses(p.settings)
	r.follower = follower.New(follower.Options{
		VM:          registration(p.settings, r.self),
		Control:     control,
		Pool:        p.pool,
		Log:         p.log,
		OwnedTokens: func() int64 { return r.limits.OwnedTokens() },
		OnUpdate:    func(state *fleet.State, until time.Time) { r.host.Update(state, until) },
	})
	r.host = shardhost.New(shardhost.Options{
		Self:    r.self,
		Pool:    p.pool,
		State:   func() shardhost.FleetView { return r.follower.Fleet() },
		ShardOf: fleet.ShardOf,
		Metrics: p.registry,
		Control: &controlCaller{pool: p.pool, addresses: control},
		Log:     p.log,
		// The shard keeps its record of a release until the targets' order owners have
		// confirmed it, so that the release survives the loss of this VM.
		Release: func(_ context.Context, ref program.Ref, ids []string) error {
			return r.targets.EnsureReleased(ref, ids)
		},
	})
	r.limits = limits.New(limits.Options{
		Self: r.self, Pool: p.pool, State: r.follower.Fleet, Owns: r.host.Owns, Log: p.log,
	})
	r.targets = targets.New(targets.Options{
		Self: r.self, Pool: p.pool, State: func() targets.FleetView { return r.follower.Fleet() }, ShardOf: fleet.ShardOf,
		OwnedEpoch: r.host.OwnedEpoch, Log: p.log, Metrics: p.registry,
		Networks: p.settings.Entry.Networks(),
	})
	r.entry = entry.New(entry.Options{
		Settings: p.settings, Self: r.self, Configuration: r.follower, Programs: r.host, Limiter: r.limits,
		Targets: r.targets, Policy: placement.DefaultPolicy(), Metrics: p.registry, Log: p.log,
	})
	r.host.Register(p.rpc)
	r.limits.Register(p.rpc)
	r.targets.Register(p.rpc)
	r.targets.Mount(p.router)
	r.entry.Mount(p.router)
	return r
}

func (r *entryRole) run(ctx context.Context) {
	for name, run := range map[string]func(context.Context){
		"follower": r.follower.Run, "shards": r.host.Run, "limits": r.limits.Run, "targets": r.targets.Run, "revocation": r.entry.Run,
	} {
		r.duties.start(name, func() error { run(ctx); return nil })
	}
	r.serve()
}

// shutdown is the planned stop: callers leave first, then the shards, then the process.
func (r *entryRole) shutdown() error {
	r.follower.SetDraining()
	if err := r.entry.Drain(context.Background()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := r.host.Handover(ctx); err != nil {
		// The shards then fail over as after a crash, which loses nothing.
		r.log.WithField("event", "handover_incomplete").Warn(err)
	}
	r.log.WithField("event", "stopped").Info("planned stop complete")
	return r.close()
}

// handoverTimeout bounds the move of the shards at a planned stop.
const handoverTimeout = 15 * time.Second

func registration(s settings.Settings, self fleet.VMRef) fleet.VM {
	return fleet.VM{
		VMRef: self, Role: s.VM.Role, DataCentre: s.VM.DataCentre, Region: s.VM.Region,
		RPCAddress: s.VM.RPCAddress, HTTPAddress: s.VM.HTTPAddress,
	}
}
