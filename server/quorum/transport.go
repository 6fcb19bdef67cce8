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

	// sendQueue bounds the messages that wait for one peer. An append is
	// repeated after a heartbeat, so dropped messages cost only time.
	sendQueue = 64
	// sendTimeout bounds the delivery of one message. A peer that does not
	// acknowledge for this long is past the election timeout anyway.
	sendTimeout = time.Second
)

// packet is a message with its sender's address, so that a replica can answer
// a leader that its settings do not name. Appends are the most frequent messages
// between data centres, so a packet travels as a string of compact bytes in the RPC.
type packet struct {
	Message raft.Message
	// FromAddress is where the sender answers RPCs.
	FromAddress string
}

// compactPacket has the fields of a packet without its JSON form.
type compactPacket packet

// MarshalJSON implements json.Marshaler.
func (p packet) MarshalJSON() ([]byte, error) {
	data, err := compact.Marshal(compactPacket(p))
	if err != nil {
		return nil, err
	}
	return json.Marshal(data)
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *packet) UnmarshalJSON(text []byte) error {
	var data []byte
	if err := json.Unmarshal(text, &data); err != nil {
		return err
	}
	return compact.Unmarshal(data, (*compactPacket)(p))
}

// transport sends messages to peers.
type transport struct {
	q  *Quorum
	wg sync.WaitGroup

	mu sync.Mutex
	// learned are the addresses from which replicas announced themselves.
	learned map[ReplicaID]string
	members raft.Configuration
	senders map[ReplicaID]*sender
}

// sender is the queue of one peer.
type sender struct {
	queue  chan raft.Message
	cancel context.CancelFunc
}

func newTransport(q *Quorum) *transport {
	return &transport{q: q, learned: make(map[ReplicaID]string), members: q.node.Status().Configuration, senders: make(map[ReplicaID]*sender)}
}

// address prefers what the replica itself announced over the settings, and the
// settings over the configuration in the log, which may be older.
func (t *transport) address(id ReplicaID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.learned[id]; a != "" {
		return a
	}
	if a := t.q.opts.Peers[id.Name]; a != "" {
		return a
	}
	m, _ := t.members.Find(id)
	return m.Address
}

// configured adopts a new set of members and ends the senders of former ones.
func (t *transport) configured(c raft.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = c
	for id, s := range t.senders {
		if _, ok := c.Find(id); !ok {
			s.cancel()
			delete(t.senders, id)
			delete(t.learned, id)
		}
	}
}

// send queues a message or drops it.
func (t *transport) send(m raft.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.senders[m.To]
	if s == nil {
		ctx, cancel := context.WithCancel(t.q.ctx)
		s = &sender{queue: make(chan raft.Message, sendQueue), cancel: cancel}
		t.senders[m.To] = s
		t.wg.Add(1)
		go t.run(ctx, m.To, s)
	}
	select {
	case s.queue <- m:
	default:
		t.q.metrics.dropped.Inc(1)
	}
}

// run delivers the messages for one peer in order. After a failure it drops
// what has queued up, because it is out of date by then.
func (t *transport) run(ctx context.Context, to ReplicaID, s *sender) {
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
			t.q.metrics.dropped.Inc(int64(1 + discard(s.queue)))
		}
		if (err == nil) != reachable && ctx.Err() == nil {
			reachable = err == nil
			t.report(to, err)
		}
	}
}

func (t *transport) report(to ReplicaID, err error) {
	log := t.q.log.WithFields(logrus.Fields{"event": "quorum_peer", "peer": to.String(), "address": t.address(to), "reachable": err == nil})
	if err != nil {
		log = log.WithError(err)
	}
	log.Info("peer connection changed")
}

func discard(queue chan raft.Message) int {
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
	return t.call(ctx, t.address(to), methodOf(m.Kind), packet{m, t.q.opts.RPCAddress}, nil)
}

func (t *transport) call(ctx context.Context, address, method string, params, result any) error {
	caller, err := t.q.opts.Dial(ctx, address)
	if err != nil {
		return err
	}
	return caller.Call(ctx, method, params, result)
}

func (t *transport) close() { t.wg.Wait() }

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

// Register adds the replica's methods to the server.
func (q *Quorum) Register(s *rpc.Server) {
	for _, method := range []string{methodVote, methodAppend, methodSnapshot} {
		s.Handle(method, q.handleMessage)
	}
	s.Handle(methodHello, q.handleHello)
	s.Handle(methodBootstrap, q.handleBootstrap)
	s.Handle(methodJoin, q.handleJoin)
}

// handleMessage queues a message for the core; the core's answer is a message of its own.
func (q *Quorum) handleMessage(_ context.Context, params json.RawMessage) (any, error) {
	var p packet
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, rpc.Errorf("bad_request", "raft message: %v", err)
	}
	if p.Message.To != q.id {
		return nil, rpc.Errorf("wrong_replica", "message for %s reached %s", p.Message.To, q.id)
	}
	select {
	case <-q.stopped:
		return nil, rpc.Errorf("stopped", "replica %s is stopped", q.id)
	default:
	}
	q.peers.learn(p.Message.From, p.FromAddress)
	select {
	case q.inputs <- input{event: raft.Receive{Message: p.Message}}:
		return struct{}{}, nil
	default:
		q.metrics.dropped.Inc(1)
		return nil, rpc.Errorf("overloaded", "replica %s is overloaded", q.id)
	}
}

func (t *transport) learn(id ReplicaID, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if address != "" {
		t.learned[id] = address
	}
}
