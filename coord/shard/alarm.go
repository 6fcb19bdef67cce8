package shard

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"hemlockvale.dev/coord/program"
)

// alarm is a timer for one program. It is valid only while the program's Alarm
// has the same time; a program whose deadline moved later is set again when the
// alarm expires.
type alarm struct {
	at  time.Duration
	ref program.Ref
}

// alarmHeap orders alarms by time; it implements heap.Interface.
type alarmHeap []alarm

// Len returns the number of alarms.
func (h alarmHeap) Len() int { return len(h) }

// Less orders by time.
func (h alarmHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap exchanges two alarms.
func (h alarmHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an alarm.
func (h *alarmHeap) Push(x any) { *h = append(*h, x.(alarm)) }

// Pop removes the last alarm.
func (h *alarmHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// setAlarm makes sure that the program is looked at by its deadline.
func (r *Replica) setAlarm(p *program.Program) {
	at, ok := p.Deadline()
	if !ok || p.TimerDue != 0 && p.TimerDue <= at {
		return
	}
	p.TimerDue = max(at, 1)
	heap.Push(&r.owner.alarms, alarm{p.TimerDue, p.Ref()})
}

// track follows the consequences of the record at index, which changed p.
func (r *Replica) track(p *program.Program, index uint64) {
	ref := p.Ref()
	if run := p.Running(); run != nil {
		r.owner.running[ref] = run.Sequence
	} else {
		delete(r.owner.running, ref)
	}
	if release, ok := p.PendingRelease(); ok && release.ID == index {
		r.reply(ReleaseMemory{release})
	}
	r.setAlarm(p)
	for _, a := range r.table.Ancestors(ref) {
		r.setAlarm(a)
	}
}

// trackTakenOver follows a program that an earlier owner left.
func (r *Replica) trackTakenOver(p *program.Program) {
	p.TimerDue = 0
	if run := p.Running(); run != nil {
		r.owner.running[p.Ref()] = run.Sequence
		r.recent.put(run.Request, answeredBefore())
	}
	r.setAlarm(p)
}

// repeatReleases asks again for all releases that are not confirmed.
func (r *Replica) repeatReleases() {
	var releases []program.Release
	r.table.Programs(func(p *program.Program) {
		if release, ok := p.PendingRelease(); ok {
			releases = append(releases, release)
		}
	})
	slices.SortFunc(releases, func(a, b program.Release) int { return cmp.Compare(a.ID, b.ID) })
	for _, release := range releases {
		r.reply(ReleaseMemory{release})
	}
}

// ring handles the alarms that are due.
func (r *Replica) ring() {
	now := r.shardTime()
	for h := &r.owner.alarms; len(*h) > 0 && (*h)[0].at <= now; {
		due := heap.Pop(h).(alarm)
		p := r.table.Program(due.ref)
		if p == nil || p.TimerDue != due.at {
			continue
		}
		p.TimerDue = 0
		if at, ok := p.Deadline(); ok && at <= now {
			r.expire(p)
		}
		if p = r.table.Program(due.ref); p != nil {
			r.setAlarm(p)
		}
	}
}

// expire handles a program whose deadline has passed.
func (r *Replica) expire(p *program.Program) {
	switch {
	case p.Running() != nil:
		r.note(Note{Name: "call_timed_out", Program: p.Ref(), Sequence: p.Running().Sequence, Warning: true})
		r.abort(p, program.Unknown)
	case p.Ended():
		r.propose(program.Change{Drop: &program.Drop{Program: p.Ref()}})
	default:
		r.note(Note{Name: "program_idle", Program: p.Ref()})
		r.end(p.Ref())
	}
}

// settleLost settles the calls whose runner is no longer registered: its lease
// expired before control removed it, so it neither finishes nor dispatches them.
func (r *Replica) settleLost() {
	if !r.active() || r.owner.frozen {
		return
	}
	var lost []*program.Program
	for ref := range r.owner.running {
		p := r.table.Program(ref)
		if run := p.Running(); r.gone(run.Runner, run.Revision) {
			lost = append(lost, p)
		}
	}
	slices.SortFunc(lost, func(a, b *program.Program) int { return cmp.Compare(a.Running().Sequence, b.Running().Sequence) })
	for _, p := range lost {
		r.note(Note{Name: "call_runner_lost", Peer: p.Running().Runner, Program: p.Ref(), Sequence: p.Running().Sequence, Warning: true})
		r.abort(p, program.Unknown)
	}
}
