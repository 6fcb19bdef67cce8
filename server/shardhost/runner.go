package shardhost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/shard"
	"hemlockvale.dev/server/rpc"
)

const (
	// inboxSize bounds the events that wait for a shard's goroutine.
	inboxSize = 256
	// senderQueueSize bounds the messages that wait for a replica. The state machine
	// has one message in flight per replica and repeats it.
	senderQueueSize = 2
	// passiveTickInterval is the tick interval of a shard that this VM does not own.
	// Such a shard has no timers.
	passiveTickInterval = time.Second
	// discardDelay is how long the goroutines of a shard or a peer replica are kept
	// after they are no longer needed.
	discardDelay = time.Minute
)

// input is an event for a shard and, if a request waits for it, the channel for
// its reply.
type input struct {
	event shard.Event
	id    uint64
	reply chan shard.Effect
}

// runner runs the state machine of one shard in a goroutine of its own.
type runner struct {
	h              *Host
	number         int
	replica        *shard.Replica
	inbox          chan input
	done           chan struct{}
	ownedEpoch     atomic.Uint64 // epoch under which this VM owns the shard, or 0
	replies        map[uint64]chan shard.Effect
	senders        map[fleet.VMRef]*replicaSender
	releaseBacklog []releaseTask // releases that wait for space in Host.releases
	discardedSince time.Duration // start of the time without this VM in the assignment, or 0
}

func newRunner(h *Host, number int) *runner {
	return &runner{
		h: h, number: number, replica: shard.New(h.options.Self, number), inbox: make(chan input, inboxSize), done: make(chan struct{}),
		replies: make(map[uint64]chan shard.Effect), senders: make(map[fleet.VMRef]*replicaSender),
	}
}

// post puts an event into the shard's inbox and blocks while the inbox is full. It
// returns false if the runner has ended.
func (r *runner) post(in input) bool {
	select {
	case r.inbox <- in:
		return true
	case <-r.done:
		return false
	}
}

// run handles events until the host stops or the VM has left the shard for
// discardDelay.
func (r *runner) run() {
	defer r.shutdown()
	view := r.h.view.Load()
	r.step(shard.FleetChanged{View: &view.fleet})
	if a, ok := view.assignments[r.number]; ok {
		r.step(shard.Assigned{Assignment: a})
	}
	r.step(shard.LeaseRenewed{Until: time.Duration(r.h.lease.Load())})
	interval := passiveTickInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case in := <-r.inbox:
			if in.reply != nil {
				r.replies[in.id] = in.reply
			}
			r.step(in.event)
		case <-ticker.C:
			r.step(shard.Tick{})
			if r.discardable() {
				return
			}
		case <-r.h.ctx.Done():
			return
		}
		if want := r.tickInterval(); want != interval {
			interval = want
			ticker.Reset(interval)
		}
	}
}

// tickInterval returns the interval between two ticks of the state machine.
func (r *runner) tickInterval() time.Duration {
	if r.ownedEpoch.Load() != 0 || len(r.releaseBacklog) > 0 {
		return shard.TickInterval
	}
	return passiveTickInterval
}

// discardable reports whether the shard's assignment has not included this VM for
// discardDelay.
func (r *runner) discardable() bool {
	if !r.replica.Discarded() {
		r.discardedSince = 0
		return false
	}
	if r.discardedSince == 0 {
		r.discardedSince = r.h.now()
	}
	return r.h.now()-r.discardedSince >= discardDelay
}

// shutdown removes the runner from the host, stops its senders and answers the
// pending requests with shard.ErrNotOwner.
func (r *runner) shutdown() {
	r.ownedEpoch.Store(0)
	r.h.removeRunner(r)
	close(r.done)
	for _, s := range r.senders {
		close(s.queue)
	}
	for _, ch := range r.replies {
		ch <- shard.Reply{Err: shard.ErrNotOwner}
	}
}

// step passes one event to the state machine and executes the effects.
func (r *runner) step(e shard.Event) {
	effects := r.replica.Step(r.h.now(), e)
	epoch, ok := r.replica.Owner()
	if !ok {
		epoch = 0
	}
	r.setOwnedEpoch(epoch)
	for _, effect := range effects {
		r.perform(effect)
	}
	r.queueReleases()
}

// setOwnedEpoch stores the epoch and updates the metric of owned shards.
func (r *runner) setOwnedEpoch(epoch uint64) {
	if old := r.ownedEpoch.Swap(epoch); (old == 0) != (epoch == 0) {
		delta := int64(1)
		if epoch == 0 {
			delta = -1
		}
		r.h.metrics.owned.Inc(delta)
	}
}

// perform executes one effect of the state machine.
func (r *runner) perform(effect shard.Effect) {
	switch e := effect.(type) {
	case shard.SendAppend:
		r.sender(e.To).send(message{number: e.Number, append: &e.Message})
	case shard.SendCopy:
		r.sender(e.To).send(message{number: e.Number, copy: &e.Message})
	case shard.ReplyAppend:
		r.reply(e.ID, e)
	case shard.ReplyCopy:
		r.reply(e.ID, e)
	case shard.ReplyBegin:
		r.h.metrics.countBegin(e.Result)
		r.reply(e.ID, e)
	case shard.Reply:
		r.reply(e.ID, e)
	case shard.ProposeAssignment:
		r.h.queueProposal(r, e.Assignment)
	case shard.ReleaseMemory:
		r.releaseBacklog = append(r.releaseBacklog, releaseTask{r, e.Release})
	case shard.LogEvent:
		r.log(e)
	}
}

// reply sends a reply to the request that waits for it, if any.
func (r *runner) reply(id uint64, e shard.Effect) {
	if ch, ok := r.replies[id]; ok {
		delete(r.replies, id)
		ch <- e
	}
}

// queueReleases moves releases from the backlog to Host.releases until that queue
// is full.
func (r *runner) queueReleases() {
	for len(r.releaseBacklog) > 0 {
		select {
		case r.h.releases <- r.releaseBacklog[0]:
			r.releaseBacklog = r.releaseBacklog[1:]
		default:
			return
		}
	}
	r.releaseBacklog = nil
}

// log counts an event of the state machine and writes it to the log.
func (r *runner) log(e shard.LogEvent) {
	r.h.metrics.countEvent(e.Name)
	fields := logrus.Fields{"event": e.Name, "shard": r.number, "epoch": r.replica.Assignment().Epoch}
	if e.Peer != (fleet.VMRef{}) {
		fields["peer"], fields["peer_incarnation"] = e.Peer.ID, e.Peer.Incarnation
	}
	if e.Program.ID != "" {
		fields["organisation"], fields["program"] = e.Program.Organisation, e.Program.ID
	}
	if e.Sequence != 0 {
		fields["sequence"] = e.Sequence
	}
	level := logrus.InfoLevel
	if e.Warning {
		level = logrus.WarnLevel
	}
	r.h.options.Log.WithFields(fields).Log(level, "shard event")
}

// sender returns the sender for one replica of the shard and starts it if necessary.
func (r *runner) sender(to fleet.VMRef) *replicaSender {
	s := r.senders[to]
	if s == nil {
		s = &replicaSender{r: r, to: to, queue: make(chan message, senderQueueSize)}
		r.senders[to] = s
		go s.run()
	}
	s.lastUsed = r.h.now()
	r.closeUnusedSenders()
	return s
}

// closeUnusedSenders stops the senders that were not used for discardDelay, such
// as those for replicas that left the shard.
func (r *runner) closeUnusedSenders() {
	for ref, s := range r.senders {
		if r.h.now()-s.lastUsed > discardDelay {
			close(s.queue)
			delete(r.senders, ref)
		}
	}
}

// message is an append or a part of a copy; exactly one pointer is set.
type message struct {
	number uint64
	append *shard.Append
	copy   *shard.Copy
}

// replicaSender sends the messages for one replica, one at a time.
type replicaSender struct {
	r        *runner
	to       fleet.VMRef
	queue    chan message
	lastUsed time.Duration
}

const (
	// appendTimeout bounds one append; the state machine repeats it.
	appendTimeout = time.Second
	// copyTimeout bounds one part of a copy.
	copyTimeout = 5 * time.Second
)

// send queues a message, or drops it if the queue is full because the replica does
// not keep up.
func (s *replicaSender) send(m message) {
	select {
	case s.queue <- m:
	default:
		s.r.h.metrics.dropped.Inc(1)
	}
}

// run sends queued messages until the queue is closed.
func (s *replicaSender) run() {
	for m := range s.queue {
		s.r.post(input{event: s.deliver(m)})
	}
}

// deliver sends one message and returns the event with its reply, which is nil if
// the call failed.
func (s *replicaSender) deliver(m message) shard.Event {
	if m.copy != nil {
		var reply shard.CopyReply
		done := shard.CopyDone{From: s.to, Epoch: m.copy.Epoch, Number: m.number}
		if s.call(copyTimeout, methodCopy, m.copy, &reply) == nil {
			done.Reply = &reply
		}
		return done
	}
	var reply shard.AppendReply
	done := shard.AppendDone{From: s.to, Epoch: m.append.Epoch, Number: m.number}
	if s.call(appendTimeout, methodAppend, m.append, &reply) == nil {
		done.Reply = &reply
	}
	return done
}

// call calls a method of the host that runs the replica.
func (s *replicaSender) call(timeout time.Duration, method string, params, result any) error {
	address, ok := s.r.h.view.Load().address(s.to)
	if !ok {
		return rpc.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(s.r.h.ctx, timeout)
	defer cancel()
	return s.r.h.send(ctx, address, method, params, result)
}
