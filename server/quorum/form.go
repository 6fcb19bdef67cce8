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
	// formRetryInterval is the time between two attempts to form a cluster.
	formRetryInterval = 200 * time.Millisecond
	// formRequestTimeout bounds one request to a peer while the cluster is formed.
	formRequestTimeout = time.Second
)

// helloResponse identifies the replica to a peer.
type helloResponse struct {
	// ID identifies the replica.
	ID ReplicaID `json:"id"`
	// HasState is set once the replica has taken part in a cluster.
	HasState bool `json:"touched"`
}

// bootstrapRequest carries the initial configuration.
type bootstrapRequest struct {
	// Configuration lists all initial voters.
	Configuration raft.Configuration `json:"configuration"`
}

// formCluster tries to form the cluster until the replica belongs to one, either because
// the cluster has been formed or because the replica has been added to an existing one,
// or until the replica stops. Only the replica whose name sorts first forms the cluster,
// so that there cannot be two different initial configurations.
func (q *Quorum) formCluster() {
	defer q.wg.Done()
	ticker := time.NewTicker(formRetryInterval)
	defer ticker.Stop()
	lastReason := ""
	for !q.published.Load().hasState {
		reason := q.tryFormCluster()
		if reason != lastReason && reason != "" {
			q.log.WithFields(logrus.Fields{"event": "quorum_unformed", "reason": reason}).Warn("replica is not a voter yet")
			lastReason = reason
		}
		select {
		case <-q.stopped:
			return
		case <-ticker.C:
		}
	}
}

// tryFormCluster makes one attempt to form the cluster. It returns an empty string on
// success, and otherwise the reason for the failure.
func (q *Quorum) tryFormCluster() string {
	names := slices.Sorted(maps.Keys(q.opts.Peers))
	initial, reason := q.queryPeers(names)
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
		ctx, cancel := context.WithTimeout(q.ctx, formRequestTimeout)
		err := q.transport.call(ctx, m.Address, methodBootstrap, bootstrapRequest{initial}, nil)
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

// queryPeers asks every configured peer for its identity and returns the initial
// configuration. If a peer does not respond or has taken part in a cluster, it returns
// the reason why no cluster can be formed.
func (q *Quorum) queryPeers(names []string) (raft.Configuration, string) {
	var initial raft.Configuration
	for _, name := range names {
		member := raft.Member{ReplicaID: q.id, Address: q.opts.Peers[name]}
		if name != q.id.Name {
			ctx, cancel := context.WithTimeout(q.ctx, formRequestTimeout)
			response, err := q.transport.hello(ctx, member.Address)
			cancel()
			switch {
			case err != nil:
				return initial, "peer " + name + " does not answer"
			case response.ID.Name != name:
				return initial, "peer " + name + " answers as " + response.ID.Name
			case response.HasState:
				return initial, "a cluster exists: " + name + " belongs to it; an operator must add this replica as a voter"
			}
			member.ReplicaID = response.ID
		}
		initial.Members = append(initial.Members, member)
	}
	return initial, ""
}

// hello requests the identity of the replica at an address.
func (t *transport) hello(ctx context.Context, address string) (helloResponse, error) {
	var response helloResponse
	err := t.call(ctx, address, methodHello, struct{}{}, &response)
	return response, err
}

func (q *Quorum) handleHello(context.Context, json.RawMessage) (any, error) {
	return helloResponse{ID: q.id, HasState: q.published.Load().hasState}, nil
}

// handleBootstrap stores the initial configuration if it names the same replicas as this
// replica's settings. A joining replica, whose settings name none, accepts any that names it: it may
// have lost its disk during the first start. The replica that forms the cluster has made sure
// that none of the others has taken part in one.
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
	if configured := slices.Sorted(maps.Keys(q.opts.Peers)); !q.opts.Joining && !slices.Equal(configured, names) {
		return nil, rpc.Errorf("settings_differ", "initial voters %v, but the settings of %s name %v", names, q.id.Name, configured)
	}
	if err := q.bootstrap(ctx, r.Configuration); err != nil {
		return nil, rpc.Errorf("bootstrap_refused", "%v", err)
	}
	return struct{}{}, nil
}

// bootstrap stores the initial configuration and returns once it is durable.
func (q *Quorum) bootstrap(ctx context.Context, c raft.Configuration) error {
	w := newWaiter()
	w.satisfiedBy = func(committed raft.Configuration) bool { return len(committed.Members) > 0 }
	token := q.tokens.Add(1)
	_, err := q.request(ctx, raft.Bootstrap{Token: token, Configuration: c}, token, w, ErrUnknownOutcome)
	if errors.Is(err, raft.ErrAlreadyFormed) && q.published.Load().hasState {
		return raft.ErrAlreadyFormed
	}
	return err
}
