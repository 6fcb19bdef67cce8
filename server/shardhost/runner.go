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
	// inboxSize bounds the events that wait for a shard.
	inboxSize = 256
	// linkSize bounds the messages that wait for a replica: the core has one in
	// flight and repeats it.
	linkSize = 2
	// passiveTick is the tick of a shard that this VM does not own; it has no timers.
	passiveTick = time.Second
	// discardDelay is how long the goroutine of a shard remains after the VM has left it.
	discardDelay = time.Minute
)

// input is an event with the channel for its answer, if it has one.
type input struct {
	event shard.Event
	id    uint64
	reply chan shard.Effect
}

// runner is the goroutine of one shard.
type runner struct {
	h       *Host
	number  int
	core    *shard.Replica
	inbox   chan input
	done    chan struct{}
	owned   atomic.Uint64 // epoch while this VM owns the shard, or 0
	replies map[uint64]chan shard.Effect
	links   map[fleet.VMRef]*link
	backlog []releaseTask // releases that did not fit into the queue
	idle    time.Duration // since when the VM has no part in the shard
}

func newRunner(h *Host, number int) *runner {
	return &runner{
		h: h, number: number, core: shard.New(h.o.Self, number), inbox: make(chan input, inboxSize), done: make(chan struct{}),
		replies: make(map[uint64]chan shard.Effect), links: make(map[fleet.VMRef]*link),
	}
}

// post hands an event to the shard. It returns false if the goroutine has ended.
func (r *runner) post(in input) bool {
	select {
	case r.inbox <- in:
		return true
	case <-r.done:
		return false
	}
}

// run handles events until the host stops or the VM has left the shard.
func (r *runner) run() {
	defer r.end()
	view := r.h.view.Load()
	r.step(shard.FleetChanged{View: &view.fleet})
	if a, ok := view.assignments[r.number]; ok {
		r.step(shard.Assigned{Assignment: a})
	}
	r.step(shard.LeaseRenewed{Until: time.Duration(r.h.lease.Load())})
	interval := passiveTick
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
			if r.abandoned() {
				return
			}
		case <-r.h.ctx.Done():
			return
		}
		if want := r.interval(); want != interval {
			interval = want
			ticker.Reset(interval)
		}
	}
}

func (r *runner) interval() time.Duration {
	if r.owned.Load() != 0 || len(r.backlog) > 0 {
		return shard.TickInterval
	}
	return passiveTick
}

// abandoned says whether the VM has had no part in the shard for discardDelay.
func (r *runner) abandoned() bool {
	if !r.core.Discarded() {
		r.idle = 0
		return false
	}
	if r.idle == 0 {
		r.idle = r.h.now()
	}
	return r.h.now()-r.idle >= discardDelay
}

func (r *runner) end() {
	r.owned.Store(0)
	r.h.dismiss(r)
	close(r.done)
	for _, l := range r.links {
		close(l.queue)
	}
	for _, ch := range r.replies {
		ch <- shard.Reply{Err: shard.ErrNotOwner}
	}
}

// step handles one event and carries out its effects.
func (r *runner) step(e shard.Event) {
	effects := r.core.Step(r.h.now(), e)
	epoch, ok := r.core.Owner()
	if !ok {
		epoch = 0
	}
	r.setOwned(epoch)
	for _, effect := range effects {
		r.perform(effect)
	}
	r.pushBacklog()
}

func (r *runner) setOwned(epoch uint64) {
	if old := r.owned.Swap(epoch); (old == 0) != (epoch == 0) {
		delta := int64(1)
		if epoch == 0 {
			delta = -1
		}
		r.h.metrics.owned.Inc(delta)
	}
}

func (r *runner) perform(effect shard.Effect) {
	switch e := effect.(type) {
	case shard.SendAppend:
		r.link(e.To).send(message{number: e.Number, append: &e.Message})
	case shard.SendCopy:
		r.link(e.To).send(message{number: e.Number, copy: &e.Message})
	case shard.ReplyAppend:
		r.answer(e.ID, e)
	case shard.ReplyCopy:
		r.answer(e.ID, e)
	case shard.ReplyBegin:
		r.h.metrics.began(e.Result)
		r.answer(e.ID, e)
	case shard.Reply:
		r.answer(e.ID, e)
	case shard.ProposeAssignment:
		r.h.ask(r, e.Assignment)
	case shard.ReleaseMemory:
		r.backlog = append(r.backlog, releaseTask{r, e.Release})
	case shard.LogEvent:
		r.log(e)
	}
}

// answer hands an answer to the request that waits for it.
func (r *runner) answer(id uint64, e shard.Effect) {
	if ch, ok := r.replies[id]; ok {
		delete(r.replies, id)
		ch <- e
	}
}

func (r *runner) pushBacklog() {
	for len(r.backlog) > 0 {
		select {
		case r.h.releases <- r.backlog[0]:
			r.backlog = r.backlog[1:]
		default:
			return
		}
	}
	r.backlog = nil
}

func (r *runner) log(n shard.LogEvent) {
	r.h.metrics.noted(n.Name)
	fields := logrus.Fields{"event": n.Name, "shard": r.number, "epoch": r.core.Assignment().Epoch}
	if n.Peer != (fleet.VMRef{}) {
		fields["peer"], fields["peer_incarnation"] = n.Peer.ID, n.Peer.Incarnation
	}
	if n.Program.ID != "" {
		fields["organisation"], fields["program"] = n.Program.Organisation, n.Program.ID
	}
	if n.Sequence != 0 {
		fields["sequence"] = n.Sequence
	}
	level := logrus.InfoLevel
	if n.Warning {
		level = logrus.WarnLevel
	}
	r.h.o.Log.WithFields(fields).Log(level, "shard event")
}

// link returns the goroutine that sends to one replica of the shard.
func (r *runner) link(to fleet.VMRef) *link {
	l := r.links[to]
	if l == nil {
		l = &link{r: r, to: to, queue: make(chan message, linkSize)}
		r.links[to] = l
		go l.run()
	}
	l.used = r.h.now()
	r.closeUnusedLinks()
	return l
}

// closeUnusedLinks ends the goroutines of replicas that left the shard.
func (r *runner) closeUnusedLinks() {
	for ref, l := range r.links {
		if r.h.now()-l.used > discardDelay {
			close(l.queue)
			delete(r.links, ref)
		}
	}
}

// message is an append or a part of a copy.
type message struct {
	number uint64
	append *shard.Append
	copy   *shard.Copy
}

// link sends the messages for one replica, one at a time.
type link struct {
	r     *runner
	to    fleet.VMRef
	queue chan message
	used  time.Duration
}

const (
	// appendTimeout bounds one append; the core repeats it.
	appendTimeout = time.Second
	// copyTimeout bounds one part of a copy.
	copyTimeout = 5 * time.Second
)

// send queues a message, or drops it if the replica does not keep up.
func (l *link) send(m message) {
	select {
	case l.queue <- m:
	default:
		l.r.h.metrics.dropped.Inc(1)
	}
}

func (l *link) run() {
	for m := range l.queue {
		l.r.post(input{event: l.deliver(m)})
	}
}

// deliver sends one message and returns the event with its answer.
func (l *link) deliver(m message) shard.Event {
	if m.copy != nil {
		var reply shard.CopyReply
		answered := shard.CopyAnswered{From: l.to, Epoch: m.copy.Epoch, Number: m.number}
		if l.call(copyTimeout, methodCopy, m.copy, &reply) == nil {
			answered.Reply = &reply
		}
		return answered
	}
	var reply shard.AppendReply
	answered := shard.AppendAnswered{From: l.to, Epoch: m.append.Epoch, Number: m.number}
	if l.call(appendTimeout, methodAppend, m.append, &reply) == nil {
		answered.Reply = &reply
	}
	return answered
}

func (l *link) call(timeout time.Duration, method string, params, result any) error {
	address, ok := l.r.h.view.Load().address(l.to)
	if !ok {
		return rpc.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(l.r.h.ctx, timeout)
	defer cancel()
	return l.r.h.send(ctx, address, method, params, result)
}
