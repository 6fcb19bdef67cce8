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

// entryRole holds the components of an entry.
type entryRole struct {
	*process
	self     fleet.VMRef
	follower *follower.Follower
	host     *shardhost.Host
	limits   *limits.Limits
	targets  *targets.Targets
	entry    *entry.Entry
}

// runEntry runs the entry role until ctx ends or a background task fails.
func runEntry(ctx context.Context, s settings.Settings, log *logrus.Entry) error {
	p, err := newProcess(s, log)
	if err != nil {
		return err
	}
	r := newEntryRole(p)
	// The tasks continue after the end of ctx, because a planned stop needs them until the
	// last request has ended.
	taskCtx, stop := context.WithCancel(context.Background())
	defer stop()
	r.run(taskCtx)
	if err := p.tasks.wait(ctx); err != nil {
		return errors.Join(err, p.close())
	}
	return r.shutdown()
}

// newEntryRole creates the components of an entry and registers their handlers.
func newEntryRole(p *process) *entryRole {
	r := &entryRole{process: p, self: fleet.VMRef{ID: p.settings.VM.ID, Incarnation: uuid.NewString()}}
	control := controlAddresses(p.settings)
	r.follower = follower.New(follower.Options{
		VM:               registration(p.settings, r.self),
		ControlAddresses: control,
		Pool:             p.pool,
		Log:              p.log,
		OwnedTokens:      func() int64 { return r.limits.OwnedTokens() },
		OnUpdate:         func(state *fleet.State, until time.Time) { r.host.Update(state, until) },
	})
	r.host = shardhost.New(shardhost.Options{
		Self:    r.self,
		Pool:    p.pool,
		State:   func() shardhost.FleetView { return r.follower.Fleet() },
		ShardOf: fleet.ShardOf,
		Metrics: p.metrics,
		Control: &controlCaller{pool: p.pool, addresses: control},
		Log:     p.log,
		// The program's shard keeps its record of a release until the owner of each
		// target's shard has confirmed it, so that the release survives the loss of this
		// VM.
		Release: func(_ context.Context, ref program.Ref, ids []string) error {
			return r.targets.EnsureReleased(ref, ids)
		},
	})
	r.limits = limits.New(limits.Options{
		Self: r.self, Pool: p.pool, State: r.follower.Fleet, Owns: r.host.Owns, Log: p.log,
	})
	r.targets = targets.New(targets.Options{
		Self: r.self, Pool: p.pool, State: func() targets.FleetView { return r.follower.Fleet() }, ShardOf: fleet.ShardOf,
		OwnedEpoch: r.host.OwnedEpoch, Log: p.log, Metrics: p.metrics,
		Networks: p.settings.Entry.Networks(),
	})
	r.entry = entry.New(entry.Options{
		Settings: p.settings, Self: r.self, Configuration: r.follower, Programs: r.host, Limiter: r.limits,
		Targets: r.targets, Policy: placement.DefaultPolicy(), Metrics: p.metrics, Log: p.log,
	})
	r.host.Register(p.rpc)
	r.limits.Register(p.rpc)
	r.targets.Register(p.rpc)
	r.targets.Mount(p.router)
	r.entry.Mount(p.router)
	return r
}

// run starts the background tasks and the servers.
func (r *entryRole) run(ctx context.Context) {
	for name, run := range map[string]func(context.Context){
		"follower": r.follower.Run, "shards": r.host.Run, "limits": r.limits.Run, "targets": r.targets.Run, "revocation": r.entry.Run,
	} {
		r.tasks.start(name, func() error { run(ctx); return nil })
	}
	r.serve()
}

// shutdown performs a planned stop: it waits until callers no longer use this VM, moves
// the shards to other VMs and closes the servers.
func (r *entryRole) shutdown() error {
	r.follower.SetDraining()
	if err := r.entry.Drain(context.Background()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := r.host.Handover(ctx); err != nil {
		// The remaining shards fail over as after a crash, without loss of data.
		r.log.WithField("event", "handover_incomplete").Warn(err)
	}
	r.log.WithField("event", "stopped").Info("planned stop complete")
	return r.close()
}

// handoverTimeout bounds the handover of the shards during a planned stop.
const handoverTimeout = 15 * time.Second

// registration returns the record with which this VM registers with control.
func registration(s settings.Settings, self fleet.VMRef) fleet.VM {
	return fleet.VM{
		VMRef: self, Role: s.VM.Role, DataCentre: s.VM.DataCentre, Region: s.VM.Region,
		RPCAddress: s.VM.RPCAddress, HTTPAddress: s.VM.HTTPAddress,
	}
}
