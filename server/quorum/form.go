package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/raft"
	"hemlockvale.dev/server/rpc"
)

const (
	// formInterval is the time between attempts to form a cluster.
	formInterval = 200 * time.Millisecond
	// formTimeout bounds one question to a peer.
	formTimeout = time.Second
)

// helloAnswer tells a peer who the replica is.
type helloAnswer struct {
	// ID is the replica's identity.
	ID ReplicaID `json:"id"`
	// Touched is set once the replica has taken part in a cluster.
	Touched bool `json:"touched"`
}

// bootstrapRequest carries the initial configuration.
type bootstrapRequest struct {
	// Configuration names all initial voters.
	Configuration raft.Configuration `json:"configuration"`
}

// form waits on an unused replica until the cluster has been formed or an
// operator has added the replica. The replica whose name sorts first forms the
// cluster; a single one excludes two different initial configurations.
func (q *Quorum) form() {
	defer q.wg.Done()
	ticker := time.NewTicker(formInterval)
	defer ticker.Stop()
	reported := ""
	for !q.view.Load().touched {
		reason := q.attemptToForm()
		if reason != reported && reason != "" {
			q.log.WithFields(logrus.Fields{"event": "quorum_unformed", "reason": reason}).Warn("replica is not a voter yet")
			reported = reason
		}
		select {
		case <-q.stopped:
			return
		case <-ticker.C:
		}
	}
}

// attemptToForm returns why the cluster could not be formed now.
func (q *Quorum) attemptToForm() string {
	names := slices.Sorted(maps.Keys(q.opts.Peers))
	initial, reason := q.survey(names)
	if reason != "" {
		return reason
	}
	if names[0] != q.id.Name {
		return "waiting for " + names[0] + " to form the cluster"
	}
	for _, m := range initial.Members {
		if m.ReplicaID == q.id {
			continue
		}
		ctx, cancel := context.WithTimeout(q.ctx, formTimeout)
		err := q.peers.call(ctx, m.Address, methodBootstrap, bootstrapRequest{initial}, nil)
		cancel()
		if err != nil {
			return "initial configuration not stored by " + m.Name + ": " + err.Error()
		}
	}
	if err := q.bootstrap(q.ctx, initial); err != nil {
		return "initial configuration not stored: " + err.Error()
	}
	return ""
}

// survey asks every configured peer for its storage. It succeeds only if all
// of them answer and none has taken part in a cluster.
func (q *Quorum) survey(names []string) (raft.Configuration, string) {
	var initial raft.Configuration
	for _, name := range names {
		member := raft.Member{ReplicaID: q.id, Address: q.opts.Peers[name]}
		if name != q.id.Name {
			ctx, cancel := context.WithTimeout(q.ctx, formTimeout)
			answer, err := q.peers.hello(ctx, member.Address)
			cancel()
			switch {
			case err != nil:
				return initial, "peer " + name + " does not answer"
			case answer.ID.Name != name:
				return initial, "peer " + name + " answers as " + answer.ID.Name
			case answer.Touched:
				return initial, "a cluster exists: " + name + " belongs to it; an operator must add this replica as a voter"
			}
			member.ReplicaID = answer.ID
		}
		initial.Members = append(initial.Members, member)
	}
	return initial, ""
}

func (t *transport) hello(ctx context.Context, address string) (helloAnswer, error) {
	var answer helloAnswer
	err := t.call(ctx, address, methodHello, struct{}{}, &answer)
	return answer, err
}

func (q *Quorum) handleHello(context.Context, json.RawMessage) (any, error) {
	return helloAnswer{ID: q.id, Touched: q.view.Load().touched}, nil
}

// handleBootstrap stores the initial configuration if it agrees with the own settings.
func (q *Quorum) handleBootstrap(ctx context.Context, params json.RawMessage) (any, error) {
	var r bootstrapRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, rpc.Errorf("bad_request", "initial configuration: %v", err)
	}
	var names []string
	for _, m := range r.Configuration.Members {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	if own := slices.Sorted(maps.Keys(q.opts.Peers)); !slices.Equal(own, names) {
		return nil, rpc.Errorf("settings_differ", "initial voters %v, but the settings of %s name %v", names, q.id.Name, own)
	}
	if err := q.bootstrap(ctx, r.Configuration); err != nil {
		return nil, rpc.Errorf("bootstrap_refused", "%v", err)
	}
	return struct{}{}, nil
}

// bootstrap returns once the initial configuration is durable.
func (q *Quorum) bootstrap(ctx context.Context, c raft.Configuration) error {
	w := newWaiter()
	w.satisfied = func(committed raft.Configuration) bool { return len(committed.Members) > 0 }
	token := q.tokens.Add(1)
	_, err := q.request(ctx, raft.Bootstrap{Token: token, Configuration: c}, token, w, ErrUnknownOutcome)
	if errors.Is(err, raft.ErrAlreadyFormed) && q.view.Load().touched {
		return raft.ErrAlreadyFormed
	}
	return err
}
