package quarantine

import (
	"slices"
	"time"

	"hemlockvale.dev/coord/catalog"
)

const (
	// minCheckInterval is the time between two checks of one target.
	minCheckInterval = 500 * time.Millisecond
	// silentChecks is the number of successive checks without any response that show the
	// end of a target, and silentTime the time that they must span. A sound target may be
	// silent for a second or so.
	silentChecks = 3
	silentTime   = 3 * time.Second
	// sweepInterval is the time between two searches for losses whose retention has ended.
	sweepInterval = time.Second
)

// Evidence is what shows that a target has ended.
type Evidence string

const (
	// Superseded means that a later incarnation has announced itself with the id or the
	// address of the target.
	Superseded Evidence = "superseded"
	// Refused means that the target's address refused a connection from the VM of the
	// detector.
	Refused Evidence = "refused"
	// Silent means that the target's address did not respond to that VM.
	Silent Evidence = "silent"
)

// Target is a target as the catalog lists it.
type Target struct {
	catalog.Incarnation
	// Address is the network address.
	Address string
	// Leaving is set if the target has announced that it leaves, so that its end is planned.
	Leaving bool
}

// checkState is what the checks of an incarnation have shown.
type checkState struct {
	// checkedAt is the time of the latest check; silent is the number of successive checks
	// without a response, the first of which was at silentSince.
	checkedAt   time.Duration
	silent      int
	silentSince time.Duration
	// wanted is set if a further check should be made at the time wantedAt.
	wanted   bool
	wantedAt time.Duration
}

// want requests a check at a time, unless one is requested already.
func (s *checkState) want(at time.Duration) {
	if !s.wanted {
		s.wanted, s.wantedAt = true, at
	}
}

// Check requests to connect to the address of a target, and to report the result with
// Checked.
type Check struct {
	catalog.Incarnation
	Address string
}

// Detector decides whether targets have ended while they ran a request.
type Detector struct {
	// unixMS is the Unix time in milliseconds at the time 0 of the detector's clock.
	unixMS    int64
	targets   map[string]Target
	byAddress map[string]Target
	losses    losses
	// checks holds the states of the incarnations that were checked after a loss.
	checks map[catalog.Incarnation]*checkState
	// sweptAt is the time of the latest search for losses whose retention has ended.
	sweptAt time.Duration
}

// NewDetector returns a detector without targets. The detector's clock shows now at the
// Unix time unixMS in milliseconds.
func NewDetector(now time.Duration, unixMS int64) *Detector {
	return &Detector{
		unixMS: unixMS - now.Milliseconds(), targets: make(map[string]Target), byAddress: make(map[string]Target),
		losses: newLosses(), checks: make(map[catalog.Incarnation]*checkState),
	}
}

// SetTargets replaces the set of known targets and returns the crashes that it shows.
func (d *Detector) SetTargets(now time.Duration, targets []Target) []Crash {
	clear(d.targets)
	clear(d.byAddress)
	for _, t := range targets {
		d.targets[t.Target] = t
		if other, ok := d.byAddress[t.Address]; !ok || other.StartedUnixMS < t.StartedUnixMS {
			d.byAddress[t.Address] = t
		}
	}
	var crashes []Crash
	for i := range d.losses.byIncarnation {
		crashes = append(crashes, d.superseded(now, i)...)
	}
	return crashes
}

// superseded returns the crashes of an incarnation that is not listed any more, and forgets
// it. An incarnation without a successor has left as planned.
func (d *Detector) superseded(now time.Duration, i catalog.Incarnation) []Crash {
	list := d.losses.of(i)
	current, listed := d.targets[i.Target]
	if listed && current.StartedUnixMS <= i.StartedUnixMS || len(list) == 0 {
		return nil
	}
	// A target that restarted under its id completes requests before its successor is known.
	restarted := listed
	successor, replaced := d.byAddress[list[0].Address]
	replaced = replaced && successor.StartedUnixMS > i.StartedUnixMS
	var crashes []Crash
	for _, l := range list {
		if now <= l.to+LossRetention && (restarted || replaced && !l.completedAfter) {
			crashes = append(crashes, d.crash(l, Superseded))
		}
	}
	d.forget(i)
	return crashes
}

// crash returns the crash that a loss turned out to be.
func (d *Detector) crash(l *loss, e Evidence) Crash {
	l.evidence = e
	return Crash{
		Content: l.Content, Incarnation: l.Incarnation, FromUnixMS: d.unixMS + l.from.Milliseconds(), ToUnixMS: d.unixMS + l.to.Milliseconds(),
		EndKnown: l.Kind == Disconnected, Evidence: e,
	}
}

// Lost records a lost response. It returns the crashes that are evident, and the check that
// should be made; nil if none is due.
func (d *Detector) Lost(now time.Duration, reported Loss) ([]Crash, *Check) {
	d.Sweep(now)
	if t, ok := d.targets[reported.Target]; ok && t.Incarnation == reported.Incarnation && t.Leaving {
		return nil, nil
	}
	to := now - reported.Age
	d.losses.add(&loss{Loss: reported, from: to - reported.Ran, to: to})
	if crashes := d.superseded(now, reported.Incarnation); len(crashes) > 0 {
		return crashes, nil
	}
	if reported.Kind == Unfinished {
		return nil, nil
	}
	return nil, d.check(now, reported.Incarnation)
}

// check returns the check of an incarnation whose responses were lost; nil if there are none,
// or if the incarnation was checked just before. Then Due returns the check later.
func (d *Detector) check(now time.Duration, i catalog.Incarnation) *Check {
	list, state := d.losses.of(i), d.checks[i]
	if len(list) == 0 {
		return nil
	}
	if state == nil {
		state = &checkState{checkedAt: now - minCheckInterval}
		d.checks[i] = state
	}
	if next := state.checkedAt + minCheckInterval; now < next {
		state.want(next)
		return nil
	}
	state.checkedAt, state.wanted = now, false
	return &Check{i, list[0].Address}
}

// Postpone records that a check could not be made, so that Due returns it again.
func (d *Detector) Postpone(c Check) {
	if state := d.checks[c.Incarnation]; state != nil {
		state.want(state.checkedAt + minCheckInterval)
	}
}

// Result is the result of a check.
type Result int

const (
	// Connected means that the address accepted the connection.
	Connected Result = iota
	// NotListening means that the address refused the connection.
	NotListening
	// NoResponse means that there was no response.
	NoResponse
)

// Checked records the result of a check and returns the crashes that it shows.
func (d *Detector) Checked(now time.Duration, c Check, r Result) []Crash {
	state := d.checks[c.Incarnation]
	switch {
	case state == nil:
		return nil
	case r == Connected:
		state.silent = 0
		return nil
	case r == NotListening:
		return d.crashesOf(now, c.Incarnation, Refused)
	}
	if state.silent == 0 {
		state.silentSince = now
	}
	state.silent++
	if state.silent < silentChecks || now < state.silentSince+silentTime {
		state.want(state.checkedAt + silentTime/2)
		return nil
	}
	return d.crashesOf(now, c.Incarnation, Silent)
}

// crashesOf returns the crashes that the end of an incarnation makes of its losses. The end
// of a target that has left, or says that it leaves, is planned.
func (d *Detector) crashesOf(now time.Duration, i catalog.Incarnation, e Evidence) []Crash {
	t, listed := d.targets[i.Target]
	if !listed || t.Leaving {
		return nil
	}
	var crashes []Crash
	for _, l := range d.losses.of(i) {
		if l.evidence == "" && !l.completedAfter && now <= l.to+LossRetention {
			crashes = append(crashes, d.crash(l, e))
		}
	}
	return crashes
}

// Unreachable records that a VM could not connect to a target. It returns the check that
// should be made if another VM has lost a response there; nil if none is due. Several VMs may
// have lost their links together, so that their agreement shows nothing.
func (d *Detector) Unreachable(now time.Duration, target, reporter string) *Check {
	i := d.targets[target].Incarnation
	if !slices.ContainsFunc(d.losses.of(i), func(l *loss) bool { return l.Reporter != reporter }) {
		return nil
	}
	return d.check(now, i)
}

// Completed records that a target has completed a request that was granted at the time
// grantedAt. It returns the incarnation that was alive then, and the time in Unix
// milliseconds.
func (d *Detector) Completed(target string, grantedAt time.Duration) (catalog.Incarnation, int64) {
	alive := d.targets[target].Incarnation
	for _, l := range d.losses.of(alive) {
		// A response to an earlier request may have been complete before the loss.
		l.completedAfter = l.completedAfter || grantedAt > l.to
	}
	return alive, d.unixMS + grantedAt.Milliseconds()
}

// Due returns the checks that should be made now: those that were not made earlier, and
// those of targets that have not responded.
func (d *Detector) Due(now time.Duration) []Check {
	var due []Check
	for i, state := range d.checks {
		if !state.wanted || now < state.wantedAt {
			continue
		}
		if c := d.check(now, i); c != nil {
			due = append(due, *c)
		}
	}
	return due
}

// Sweep forgets the losses whose retention has ended, at most once in sweepInterval.
func (d *Detector) Sweep(now time.Duration) {
	if now < d.sweptAt+sweepInterval {
		return
	}
	d.sweptAt = now
	d.losses.expire(now - LossRetention)
	for i := range d.checks {
		if len(d.losses.of(i)) == 0 {
			delete(d.checks, i)
		}
	}
}

func (d *Detector) forget(i catalog.Incarnation) {
	d.losses.forget(i)
	delete(d.checks, i)
}
