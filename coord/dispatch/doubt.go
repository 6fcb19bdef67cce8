package dispatch

import "time"

const (
	// grantDelay is how long after its grant the first byte of a request is sent at the latest,
	// as a rule: a connection attempt ends after 350 ms, and a process that ends takes some
	// tens of milliseconds to accept connections again.
	grantDelay = 300 * time.Millisecond
	// maxDoubtReporters bounds the VMs that are remembered with one doubt. The doubts of others
	// end with a heartbeat only.
	maxDoubtReporters = 256
)

// doubt is set at a target while it is uncertain whether its process still is the one that the
// catalog describes: a connection to it was refused or broke off. A process that starts again
// under its id may be of another software version, which only its heartbeat states.
type doubt struct {
	// first and last are the times of the first and of the latest break.
	first, last time.Duration
	// reporters are the VMs that noticed breaks, and others is set if there were more.
	reporters map[string]struct{}
	others    bool
	// heardAt is when the first heartbeat after the latest break was received, and sequence is
	// that of the heartbeat; heardAt is 0 before.
	heardAt  time.Duration
	sequence int64
}

// Doubt records that a VM had a connection to an incarnation of a target refused, or lost one,
// at the time at. It reports whether the version of the target becomes uncertain with that.
func (d *Dispatcher) Doubt(now, at time.Duration, targetID string, started int64, reporter string) bool {
	t := d.targets[targetID]
	if t == nil || t.Software == "" || at < t.certainAt || t.Started != started && at < t.knownSince {
		return false
	}
	began := t.doubt == nil
	if began {
		t.doubt = &doubt{first: at, last: at, reporters: make(map[string]struct{})}
		d.doubted[targetID] = t
	}
	b := t.doubt
	b.first = min(b.first, at)
	if at > b.last {
		b.last, b.heardAt = at, 0
	}
	if _, known := b.reporters[reporter]; !known && len(b.reporters) >= maxDoubtReporters {
		b.others = true
	} else {
		b.reporters[reporter] = struct{}{}
	}
	return began
}

// Serving records that a VM got the response to a request that it sent after the breaks that it
// noticed, on a connection that it had opened before them. It reports whether the version of
// the target is certain with that: all VMs that noticed breaks have such evidence.
func (d *Dispatcher) Serving(now time.Duration, targetID string, started int64, reporter string) ([]Outcome, bool) {
	t := d.targets[targetID]
	if t == nil || t.doubt == nil || t.Started != started {
		return nil, false
	}
	delete(t.doubt.reporters, reporter)
	if len(t.doubt.reporters) > 0 || t.doubt.others {
		return nil, false
	}
	return d.endDoubt(now, t), true
}

// minHeartbeatGap is the time between two heartbeats that are not repetitions of one. Targets
// announce themselves about every 1.2 s.
const minHeartbeatGap = 500 * time.Millisecond

// Heartbeat records that control received a heartbeat of an incarnation at the time at. It
// reports whether the version of the target is certain with that. A heartbeat may arrive
// seconds late, so one that was received after a break may have been sent before it. A target
// sends the next one after the acknowledgement, so the second was sent after the break, unless
// both follow each other at once: a heartbeat that is not acknowledged is repeated, and a VM that
// was suspended reads both together.
func (d *Dispatcher) Heartbeat(now, at time.Duration, targetID string, started, sequence int64) ([]Outcome, bool) {
	t := d.targets[targetID]
	if t == nil || t.doubt == nil || t.Started != started || at <= t.doubt.last {
		return nil, false
	}
	b := t.doubt
	if b.heardAt == 0 {
		b.heardAt, b.sequence = at, sequence
		return nil, false
	}
	if at < b.heardAt+minHeartbeatGap || sequence <= b.sequence {
		return nil, false
	}
	t.certainAt = b.heardAt
	return d.endDoubt(now, t), true
}

// ExpireDoubts ends the doubts whose latest break is older than age. It serves deployments whose
// control VMs, of earlier releases, do not say which heartbeats they received.
func (d *Dispatcher) ExpireDoubts(now, age time.Duration) []Outcome {
	var out []Outcome
	for _, t := range d.doubted {
		if now-t.doubt.last > age {
			out = append(out, d.endDoubt(now, t)...)
		}
	}
	return out
}

func (d *Dispatcher) endDoubt(now time.Duration, t *target) []Outcome {
	t.doubt = nil
	delete(d.doubted, t.ID)
	return d.grantWaiting(now, t.Service)
}

// Doubted returns the ids of the targets whose version is uncertain.
func (d *Dispatcher) Doubted() []string {
	var ids []string
	for id := range d.doubted {
		ids = append(ids, id)
	}
	return ids
}

// renewTargets drops the doubts about targets that have left or started again, as the heartbeat
// of a new incarnation states its version.
func (d *Dispatcher) renewTargets() {
	for id := range d.doubted {
		if t := d.targets[id]; t == nil || t.doubt == nil {
			delete(d.doubted, id)
		} else {
			d.doubted[id] = t
		}
	}
}

// beganInDoubt reports whether a stream may have begun after a break that leaves the version of
// its target uncertain, so that its own version is uncertain as well.
func (d *Dispatcher) beganInDoubt(o knownOrigin) bool {
	t := d.targets[o.target]
	return t != nil && t.doubt != nil && o.grantedAt+grantDelay >= t.doubt.first
}

// mayContinue reports whether a target may get a request now as far as the version of its
// software goes. A stream waits while its own version or that of the target is uncertain,
// unless the process that generated it continues it.
func (r *Request) mayContinue(t *target) bool {
	return !r.Continues || r.SameProcess && r.Target == t.ID || t.doubt == nil && !r.inDoubt
}

// awaitsCertainty reports whether no target may get a request now as far as the version of the
// software goes. It looks at one target only, and returns false if it does not know.
func (d *Dispatcher) awaitsCertainty(r *Request) bool {
	if !r.Continues || r.SameProcess {
		return false
	}
	if r.inDoubt {
		return true
	}
	t := d.targets[r.Target]
	return t != nil && t.doubt != nil
}

// recheckOrigin updates whether the version of the stream that a waiting request continues is
// uncertain. It returns a refusal if the target turned out to have another version.
func (d *Dispatcher) recheckOrigin(r *Request) Refusal {
	known, ok := d.origins.byRequest[r.origin]
	switch {
	case !r.Continues:
		return ""
	case !ok && r.inDoubt:
		return OriginUnknown
	}
	r.inDoubt = ok && d.beganInDoubt(known)
	return ""
}
