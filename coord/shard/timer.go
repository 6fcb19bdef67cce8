package shard

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"hemlockvale.dev/coord/program"
)

// timer is an entry of the timer heap for one program. It is valid only while the
// program's TimerDue field has the same time. If the program's deadline moves later,
// the timer is set again when it expires.
type timer struct {
	at  time.Duration
	ref program.Ref
}

// timerHeap is a min-heap of timers by time. It implements heap.Interface.
type timerHeap []timer

// Len returns the number of timers.
func (h timerHeap) Len() int { return len(h) }

// Less reports whether timer i expires before timer j.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap exchanges two timers.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a timer.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop removes and returns the last timer.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// setTimer ensures that a timer for the program expires no later than its deadline.
func (r *Replica) setTimer(p *program.Program) {
	at, ok := p.Deadline()
	if !ok || p.TimerDue != 0 && p.TimerDue <= at {
		return
	}
	p.TimerDue = max(at, 1)
	heap.Push(&r.owner.timers, timer{p.TimerDue, p.Ref()})
}

// trackChange updates the owner's volatile state after the record at index changed
// p: the set of running calls, a release of target memory, and the timers of p and
// its ancestors.
func (r *Replica) trackChange(p *program.Program, index uint64) {
	ref := p.Ref()
	if run := p.Running(); run != nil {
		r.owner.running[ref] = run.Sequence
	} else {
		delete(r.owner.running, ref)
	}
	if release, ok := p.PendingRelease(); ok && release.ID == index {
		r.replyWhenCommitted(ReleaseMemory{release})
	}
	r.setTimer(p)
	for _, a := range r.table.Ancestors(ref) {
		r.setTimer(a)
	}
}

// trackAfterTakeover builds the volatile state of a program after a takeover. The
// request of its running call is recorded in recentResults, so that a late duplicate
// does not start the call again.
func (r *Replica) trackAfterTakeover(p *program.Program) {
	p.TimerDue = 0
	if run := p.Running(); run != nil {
		r.owner.running[p.Ref()] = run.Sequence
		r.recentResults.put(run.Request, alreadyAnswered())
	}
	r.setTimer(p)
}

// repeatReleases requests all unconfirmed releases again, in order of their ids.
func (r *Replica) repeatReleases() {
	var releases []program.Release
	r.table.Programs(func(p *program.Program) {
		if release, ok := p.PendingRelease(); ok {
			releases = append(releases, release)
		}
	})
	slices.SortFunc(releases, func(a, b program.Release) int { return cmp.Compare(a.ID, b.ID) })
	for _, release := range releases {
		r.replyWhenCommitted(ReleaseMemory{release})
	}
}

// fireTimers handles the timers that have expired.
func (r *Replica) fireTimers() {
	now := r.shardTime()
	for h := &r.owner.timers; len(*h) > 0 && (*h)[0].at <= now; {
		due := heap.Pop(h).(timer)
		p := r.table.Program(due.ref)
		if p == nil || p.TimerDue != due.at {
			continue
		}
		p.TimerDue = 0
		if at, ok := p.Deadline(); ok && at <= now {
			r.expire(p)
		}
		if p = r.table.Program(due.ref); p != nil {
			r.setTimer(p)
		}
	}
}

// expire handles a program whose deadline has passed.
func (r *Replica) expire(p *program.Program) {
	switch {
	case p.Running() != nil:
		r.logEvent(LogEvent{Name: "call_timed_out", Program: p.Ref(), Sequence: p.Running().Sequence, Warning: true})
		r.abort(p, program.Unknown)
	case p.Ended():
		r.propose(program.Change{Drop: &program.Drop{Program: p.Ref()}})
	default:
		r.logEvent(LogEvent{Name: "program_idle", Program: p.Ref()})
		r.endPrograms(p.Ref())
	}
}

// settleLostCalls settles the calls whose runner is no longer registered. Control
// removes a VM only after its lease has expired, so the runner neither finishes nor
// dispatches these calls any more.
func (r *Replica) settleLostCalls() {
	if !r.active() || r.owner.handingOver {
		return
	}
	var lost []*program.Program
	for ref := range r.owner.running {
		p := r.table.Program(ref)
		if run := p.Running(); r.unregistered(run.Runner, run.Revision) {
			lost = append(lost, p)
		}
	}
	slices.SortFunc(lost, func(a, b *program.Program) int { return cmp.Compare(a.Running().Sequence, b.Running().Sequence) })
	for _, p := range lost {
		r.logEvent(LogEvent{Name: "call_runner_lost", Peer: p.Running().Runner, Program: p.Ref(), Sequence: p.Running().Sequence, Warning: true})
		r.abort(p, program.Unknown)
	}
}
