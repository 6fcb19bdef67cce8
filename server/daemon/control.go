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
		Dial:         func(_ context.Context, address string) (rpc.Caller, error) { return p.pool.To(address), nil },
		Metrics:      p.registry,
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
		Quorum:  &replicator{q},
		State:   machine,
		Log:     log,
		Metrics: p.registry,
	})
	if err != nil {
		return errors.Join(err, q.Close(), p.close())
	}
	q.Register(p.rpc)
	role.Register(p.rpc)
	p.router.PathPrefix("/v1/").Handler(role.HTTPHandler())
	duties, stop := context.WithCancel(context.Background())
	defer stop()
	p.duties.start("planner", func() error { role.Run(duties); return nil })
	p.duties.start("quorum", func() error {
		<-q.Stopped()
		return q.Failure()
	})
	p.serve()
	failure := p.duties.wait(ctx)
	stop()
	// Operators' requests end before the log does.
	err = p.http.Shutdown(context.Background())
	log.WithField("event", "stopped").Info("planned stop complete")
	return errors.Join(failure, err, q.Close(), p.close())
}

// replicator adapts the quorum to the control role's types and errors.
type replicator struct{ q *quorum.Quorum }

// Propose adds a command to the log.
func (r *replicator) Propose(ctx context.Context, data []byte) (any, error) {
	result, err := r.q.Propose(ctx, data)
	return result, convertError(err)
}

// ReadBarrier confirms the leadership with a quorum.
func (r *replicator) ReadBarrier(ctx context.Context) error {
	return convertError(r.q.ReadBarrier(ctx))
}

// Leader returns the known leader.
func (r *replicator) Leader() (name, address string, self bool) { return r.q.Leader() }

// LeaderSince returns when this VM became the leader.
func (r *replicator) LeaderSince() time.Time { return r.q.LeaderSince() }

// Describe returns the quorum's state.
func (r *replicator) Describe() any { return r.q.Describe() }

// AddVoter adds a member.
func (r *replicator) AddVoter(ctx context.Context, v control.Voter) error {
	return convertError(r.q.AddVoter(ctx, quorum.Voter{ReplicaID: replicaID(v), Address: v.RPCAddress}))
}

// RemoveVoter removes a member.
func (r *replicator) RemoveVoter(ctx context.Context, v control.Voter) error {
	return convertError(r.q.RemoveVoter(ctx, replicaID(v)))
}

func replicaID(v control.Voter) quorum.ReplicaID {
	return quorum.ReplicaID{Name: v.Name, Storage: v.Storage}
}

func convertError(err error) error {
	switch {
	case errors.Is(err, quorum.ErrNotLeader):
		return fmt.Errorf("%w: %w", control.ErrNotLeader, err)
	case errors.Is(err, quorum.ErrUnknownOutcome):
		return fmt.Errorf("%w: %w", control.ErrUnknownOutcome, err)
	}
	return err
}
