package quorum

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/raft"
	"hemlockvale.dev/server/compact"
	"hemlockvale.dev/server/rpc"
)

const (
	methodVote      = "raft.vote"
	methodAppend    = "raft.append"
	methodSnapshot  = "raft.snapshot"
	methodHello     = "raft.hello"
	methodBootstrap = "raft.bootstrap"

	// sendQueueSize bounds the messages that wait for one peer. An append is repeated
	// after a heartbeat, so a dropped message only causes a delay.
	sendQueueSize = 64
	// sendTimeout bounds the delivery of one message. It is longer than the election
	// timeout, so a message that is not acknowledged by then would be too late anyway.
	sendTimeout = time.Second
)

// envelope is a message with its sender's address, so that a replica can respond to a
// leader that its settings do not name. Appends are the most frequent messages between
// data centres, so the RPC carries an envelope as a JSON string of its compact encoding.
type envelope struct {
	Message raft.Message
	// FromAddress is the sender's RPC address.
	FromAddress string
}

// compactEnvelope has the fields of an envelope without its JSON methods.
type compactEnvelope envelope

// MarshalJSON implements json.Marshaler.
func (e envelope) MarshalJSON() ([]byte, error) {
	data, err := compact.Marshal(compactEnvelope(e))
	if err != nil {
		return nil, err
	}
	return json.Marshal(data)
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *envelope) UnmarshalJSON(text []byte) error {
	var data []byte
	if err := json.Unmarshal(text, &data); err != nil {
		return err
	}
	return compact.Unmarshal(data, (*compactEnvelope)(e))
}

// transport sends messages and requests to peers.
type transport struct {
	q  *Quorum
	wg sync.WaitGroup

	mu sync.Mutex
	// announced holds the addresses that replicas sent with their messages.
	announced     map[ReplicaID]string
	configuration raft.Configuration
	senders       map[ReplicaID]*sender
}

// sender holds the message queue of one peer.
type sender struct {
	queue  chan raft.Message
	cancel context.CancelFunc
}

func newTransport(q *Quorum) *transport {
	return &transport{q: q, announced: make(map[ReplicaID]string), configuration: q.node.Status().Configuration, senders: make(map[ReplicaID]*sender)}
}

// address returns the RPC address of a replica. The address that the replica announced
// takes precedence over the settings, and the settings take precedence over the
// configuration in the log, which may be older.
func (t *transport) address(id ReplicaID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.announced[id]; a != "" {
		return a
	}
	if a := t.q.opts.Peers[id.Name]; a != "" {
		return a
	}
	m, _ := t.configuration.Find(id)
	return m.Address
}

// setMembers replaces the members and stops the senders to former members.
func (t *transport) setMembers(c raft.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.configuration = c
	for id, s := range t.senders {
		if _, ok := c.Find(id); !ok {
			s.cancel()
			delete(t.senders, id)
			delete(t.announced, id)
		}
	}
}

// send queues a message for its recipient, or drops it if the queue is full.
func (t *transport) send(m raft.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.senders[m.To]
	if s == nil {
		ctx, cancel := context.WithCancel(t.q.ctx)
		s = &sender{queue: make(chan raft.Message, sendQueueSize), cancel: cancel}
		t.senders[m.To] = s
		t.wg.Add(1)
		go t.runSender(ctx, m.To, s)
	}
	select {
	case s.queue <- m:
	default:
		t.q.metrics.dropped.Inc(1)
	}
}

// runSender delivers the messages for one peer in order. After a failure it drops the
// queued messages, because they are out of date by then.
func (t *transport) runSender(ctx context.Context, to ReplicaID, s *sender) {
	defer t.wg.Done()
	reachable := true
	for {
		var m raft.Message
		select {
		case <-ctx.Done():
			return
		case m = <-s.queue:
		}
		err := t.deliver(ctx, to, m)
		if err != nil {
			t.q.metrics.dropped.Inc(int64(1 + discardQueued(s.queue)))
		}
		if (err == nil) != reachable && ctx.Err() == nil {
			reachable = err == nil
			t.logReachability(to, err)
		}
	}
}

// logReachability logs that a peer has become reachable or unreachable.
func (t *transport) logReachability(to ReplicaID, err error) {
	log := t.q.log.WithFields(logrus.Fields{"event": "quorum_peer", "peer": to.String(), "address": t.address(to), "reachable": err == nil})
	if err != nil {
		log = log.WithError(err)
	}
	log.Info("peer connection changed")
}

// discardQueued empties a queue and returns the number of messages that were in it.
func discardQueued(queue chan raft.Message) int {
	for n := 0; ; n++ {
		select {
		case <-queue:
		default:
			return n
		}
	}
}

func (t *transport) deliver(ctx context.Context, to ReplicaID, m raft.Message) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return t.call(ctx, t.address(to), methodOf(m.Kind), envelope{m, t.q.opts.RPCAddress}, nil)
}

func (t *transport) call(ctx context.Context, address, method string, params, result any) error {
	caller, err := t.q.opts.Dial(ctx, address)
	if err != nil {
		return err
	}
	return caller.Call(ctx, method, params, result)
}

func (t *transport) close() { t.wg.Wait() }

// methodOf returns the RPC method for a kind of message.
func methodOf(k raft.MessageKind) string {
	switch k {
	case raft.MessagePreVote, raft.MessagePreVoteResponse, raft.MessageVote, raft.MessageVoteResponse:
		return methodVote
	case raft.MessageSnapshot, raft.MessageSnapshotResponse:
		return methodSnapshot
	default:
		return methodAppend
	}
}

// Register adds the replica's RPC methods to a server.
func (q *Quorum) Register(s *rpc.Server) {
	for _, method := range []string{methodVote, methodAppend, methodSnapshot} {
		s.Handle(method, q.handleMessage)
	}
	s.Handle(methodHello, q.handleHello)
	s.Handle(methodBootstrap, q.handleBootstrap)
	s.Handle(methodJoin, q.handleJoin)
}

// handleMessage queues a message for the raft node. The node responds with a message of
// its own, not with the result of the RPC.
func (q *Quorum) handleMessage(_ context.Context, params json.RawMessage) (any, error) {
	var e envelope
	if err := json.Unmarshal(params, &e); err != nil {
		return nil, rpc.Errorf("bad_request", "raft message: %v", err)
	}
	if e.Message.To != q.id {
		return nil, rpc.Errorf("wrong_replica", "message for %s reached %s", e.Message.To, q.id)
	}
	select {
	case <-q.stopped:
		return nil, rpc.Errorf("stopped", "replica %s is stopped", q.id)
	default:
	}
	q.transport.recordAddress(e.Message.From, e.FromAddress)
	select {
	case q.inputs <- input{event: raft.Receive{Message: e.Message}}:
		return struct{}{}, nil
	default:
		q.metrics.dropped.Inc(1)
		return nil, rpc.Errorf("overloaded", "replica %s is overloaded", q.id)
	}
}

// recordAddress stores the address that a replica sent with a message.
func (t *transport) recordAddress(id ReplicaID, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if address != "" {
		t.announced[id] = address
	}
}
