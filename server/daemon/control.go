package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/server/control"
	"hemlockvale.dev/server/quorum"
	"hemlockvale.dev/server/rpc"
	"hemlockvale.dev/server/settings"
)

// runControl runs the control role until ctx ends or a background task fails.
func runControl(ctx context.Context, s settings.Settings, log *logrus.Entry) error {
	p, err := newProcess(s, log)
	if err != nil {
		return err
	}
	machine := control.NewMachine()
	q, err := quorum.Start(quorum.Options{
		Name:         s.VM.ID,
		DataDir:      s.Control.DataDir,
		RPCAddress:   s.VM.RPCAddress,
		Peers:        s.Control.Members,
		StateMachine: machine,
		Log:          log,
		Dial:         func(_ context.Context, address string) (rpc.Caller, error) { return p.pool.CallerFor(address), nil },
		Metrics:      p.metrics,
	})
	if err != nil {
		return errors.Join(fmt.Errorf("control.data_dir: %w", err), p.close())
	}
	role, err := control.New(control.Options{
		Settings: control.Settings{
			Name:               s.VM.ID,
			Region:             s.VM.Region,
			DataCentre:         s.VM.DataCentre,
			AdminToken:         s.Control.AdminToken,
			Shards:             s.Deployment.Shards,
			Replicas:           s.Deployment.Replicas,
			RecreateLostShards: s.Control.RecreateLostShards,
			HTTPAddresses:      s.Control.HTTPAddresses,
		},
		Quorum:  &quorumAdapter{q},
		State:   machine,
		Log:     log,
		Metrics: p.metrics,
	})
	if err != nil {
		return errors.Join(err, q.Close(), p.close())
	}
	q.Register(p.rpc)
	role.Register(p.rpc)
	p.router.PathPrefix("/v1/").Handler(role.HTTPHandler())
	taskCtx, stop := context.WithCancel(context.Background())
	defer stop()
	p.tasks.start("planner", func() error { role.Run(taskCtx); return nil })
	p.tasks.start("quorum", func() error {
		<-q.Stopped()
		return q.Failure()
	})
	p.serve()
	failure := p.tasks.wait(ctx)
	stop()
	// The requests of operators must end before the quorum is closed, because they append
	// commands to its log.
	err = p.conns.Stop(context.Background())
	log.WithField("event", "stopped").Info("planned stop complete")
	return errors.Join(failure, err, q.Close(), p.close())
}

// quorumAdapter adapts a quorum to the types and errors of package control.
type quorumAdapter struct{ q *quorum.Quorum }

// Propose appends a command to the replicated log and returns its result.
func (r *quorumAdapter) Propose(ctx context.Context, data []byte) (any, error) {
	result, err := r.q.Propose(ctx, data)
	return result, convertError(err)
}

// ReadBarrier confirms with a majority that this VM is still the leader.
func (r *quorumAdapter) ReadBarrier(ctx context.Context) error {
	return convertError(r.q.ReadBarrier(ctx))
}

// Leader returns the name and the address of the known leader and whether it is this VM.
func (r *quorumAdapter) Leader() (name, address string, self bool) { return r.q.Leader() }

// LeaderSince returns the time at which this VM became the leader.
func (r *quorumAdapter) LeaderSince() time.Time { return r.q.LeaderSince() }

// Describe returns a description of the state of the quorum.
func (r *quorumAdapter) Describe() any { return r.q.Describe() }

// AddVoter adds a voter to the quorum.
func (r *quorumAdapter) AddVoter(ctx context.Context, v control.Voter) error {
	return convertError(r.q.AddVoter(ctx, quorum.Voter{ReplicaID: replicaID(v), Address: v.RPCAddress}))
}

// RemoveVoter removes a voter from the quorum.
func (r *quorumAdapter) RemoveVoter(ctx context.Context, v control.Voter) error {
	return convertError(r.q.RemoveVoter(ctx, replicaID(v)))
}

// replicaID returns the quorum ID of a voter.
func replicaID(v control.Voter) quorum.ReplicaID {
	return quorum.ReplicaID{Name: v.Name, Storage: v.Storage}
}

// convertError adds the corresponding error of package control to an error of the quorum.
func convertError(err error) error {
	switch {
	case errors.Is(err, quorum.ErrNotLeader):
		return fmt.Errorf("%w: %w", control.ErrNotLeader, err)
	case errors.Is(err, quorum.ErrUnknownOutcome):
		return fmt.Errorf("%w: %w", control.ErrUnknownOutcome, err)
	}
	return err
}
