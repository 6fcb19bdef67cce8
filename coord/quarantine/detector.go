package quarantine

import (
	"slices"
	"time"

	"hemlockvale.dev/coord/catalog"
)

const (
	// lossRetention is how long after a lost response the end of its target counts as its
	// consequence. A target that has ended is back some seconds later.
	lossRetention = 20 * time.Second
	// minCheckInterval is the time between two checks of one target.
	minCheckInterval = 500 * time.Millisecond
	// silentChecks is the number of successive checks without any response that show the
	// end of a target, and silentTime the time that they must span. A sound target may be
	// silent for a second or so.
	silentChecks = 3
	silentTime   = 3 * time.Second
	// maxLosses and maxLossesPerOrganisation bound the lost responses that are remembered.
	maxLosses                = 4096
	maxLossesPerOrganisation = 512
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

// LossKind is how the response to a request was lost. Its values are part of the protocol
// between VMs.
type LossKind int8

const (
	// Unfinished means that the caller left, or its time ran out, while the target may still
	// have been at work.
	Unfinished LossKind = iota
	// Silence means that the target had been silent for a while.
	Silence
	// Disconnected means that the connection failed.
	Disconnected
)

// String returns the kind as logs show it.
func (k LossKind) String() string {
	switch k {
	case Silence:
		return "silence"
	case Disconnected:
		return "disconnected"
	}
	return "unfinished"
}

// Target is a target as the catalog lists it.
type Target struct {
	catalog.Incarnation
	// Address is the network address.
	Address string
	// Leaving is set if the target has announced that it leaves, so that its end is planned.
	Leaving bool
}

// Loss is a request whose response was lost.
type Loss struct {
	Content
	catalog.Incarnation
	// Address is the address of the target.
	Address string
	// Reporter identifies the VM that lost the response.
	Reporter string
	// Ran is the time from the grant of the request to the loss, and Age the time since
	// then.
	Ran, Age time.Duration
	// Kind is how the response was lost.
	Kind LossKind
}

// loss is a Loss with its times on the clock of the detector.
type loss struct {
	Loss
	from, to time.Duration
	// completedAfter is set if the target has completed a request that it got later.
	completedAfter bool
	// evidence is that of the crash which the loss turned out to be; empty if it did not.
	evidence Evidence
}

// suspicion is what is known about an incarnation whose responses were lost.
type suspicion struct {
	losses []*loss
	// checkedAt is the time of the latest check; silent is the number of successive checks
	// without a response, the first of which was at silentSince.
	checkedAt   time.Duration
	silent      int
	silentSince time.Duration
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
	unixMS     int64
	targets    map[string]Target
	byAddress  map[string]Target
	suspicions map[catalog.Incarnation]*suspicion
	// order holds the remembered losses, the oldest report first, and perOrganisation counts
	// them.
	order           []*loss
	perOrganisation map[string]int
}

// NewDetector returns a detector without targets. The detector's clock shows now at the
// Unix time unixMS in milliseconds.
func NewDetector(now time.Duration, unixMS int64) *Detector {
	return &Detector{
		unixMS: unixMS - now.Milliseconds(), targets: make(map[string]Target), byAddress: make(map[string]Target),
		suspicions: make(map[catalog.Incarnation]*suspicion), perOrganisation: make(map[string]int),
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
	for i := range d.suspicions {
		crashes = append(crashes, d.superseded(now, i)...)
	}
	return crashes
}

// superseded returns the crashes of an incarnation that is not listed any more, and forgets
// it. An incarnation without a successor has left as planned.
func (d *Detector) superseded(now time.Duration, i catalog.Incarnation) []Crash {
	s := d.suspicions[i]
	current, listed := d.targets[i.Target]
	if listed && current.StartedUnixMS <= i.StartedUnixMS || len(s.losses) == 0 {
		return nil
	}
	// A target that restarted under its id completes requests before its successor is known.
	restarted := listed
	successor, replaced := d.byAddress[s.losses[0].Address]
	replaced = replaced && successor.StartedUnixMS > i.StartedUnixMS
	var crashes []Crash
	for _, l := range s.losses {
		if now <= l.to+lossRetention && (restarted || replaced && !l.completedAfter) {
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
	s := d.suspicions[reported.Incarnation]
	if s == nil {
		s = &suspicion{checkedAt: now - minCheckInterval}
		d.suspicions[reported.Incarnation] = s
	}
	d.addLoss(now, s, reported)
	if crashes := d.superseded(now, reported.Incarnation); len(crashes) > 0 {
		return crashes, nil
	}
	if reported.Kind == Unfinished {
		return nil, nil
	}
	return nil, d.check(now, reported.Incarnation)
}

// check returns the check of an incarnation whose responses were lost; nil if none is due.
func (d *Detector) check(now time.Duration, i catalog.Incarnation) *Check {
	s := d.suspicions[i]
	if s == nil || len(s.losses) == 0 || now < s.checkedAt+minCheckInterval {
		return nil
	}
	s.checkedAt = now
	return &Check{i, s.losses[0].Address}
}

// addLoss remembers a loss, unless it is known. Of several runs of a content at one target,
// the latest is remembered.
func (d *Detector) addLoss(now time.Duration, s *suspicion, reported Loss) {
	to := now - reported.Age
	l := &loss{Loss: reported, from: to - reported.Ran, to: to}
	for _, known := range s.losses {
		if known.Content != l.Content {
			continue
		}
		if l.from < known.to {
			return
		}
		d.drop(slices.Index(d.order, known))
		break
	}
	d.makeRoom(reported.Organisation)
	s.losses = append(s.losses, l)
	d.order = append(d.order, l)
	d.perOrganisation[reported.Organisation]++
}

// makeRoom drops the oldest loss if the limits allow no further one of an organisation: one
// of the same organisation if that has reached its own limit, and otherwise any.
func (d *Detector) makeRoom(organisation string) {
	full := d.perOrganisation[organisation] >= maxLossesPerOrganisation
	if !full && len(d.order) < maxLosses {
		return
	}
	d.drop(slices.IndexFunc(d.order, func(l *loss) bool { return !full || l.Organisation == organisation }))
}

// drop forgets the loss at an index of d.order.
func (d *Detector) drop(index int) {
	l := d.order[index]
	if s := d.suspicions[l.Incarnation]; s != nil {
		s.losses = slices.DeleteFunc(s.losses, func(other *loss) bool { return other == l })
	}
	d.order = slices.Delete(d.order, index, index+1)
	d.uncount(l)
}

func (d *Detector) uncount(l *loss) {
	d.perOrganisation[l.Organisation]--
	if d.perOrganisation[l.Organisation] == 0 {
		delete(d.perOrganisation, l.Organisation)
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
	s := d.suspicions[c.Incarnation]
	if s == nil {
		return nil
	}
	evidence := Refused
	switch r {
	case Connected:
		s.silent = 0
		return nil
	case NoResponse:
		evidence = Silent
		if s.silent == 0 {
			s.silentSince = now
		}
		s.silent++
		if s.silent < silentChecks || now < s.silentSince+silentTime {
			return nil
		}
	}
	return d.crashesOf(now, c.Incarnation, evidence)
}

// crashesOf returns the crashes that the end of an incarnation makes of its losses. The end
// of a target that has left, or says that it leaves, is planned.
func (d *Detector) crashesOf(now time.Duration, i catalog.Incarnation, e Evidence) []Crash {
	t, listed := d.targets[i.Target]
	if !listed || t.Leaving {
		return nil
	}
	var crashes []Crash
	for _, l := range d.suspicions[i].losses {
		if l.evidence == "" && !l.completedAfter && now <= l.to+lossRetention {
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
	s := d.suspicions[i]
	if s == nil || !slices.ContainsFunc(s.losses, func(l *loss) bool { return l.Reporter != reporter }) {
		return nil
	}
	return d.check(now, i)
}

// Completed records that a target has completed a request that was granted at the time
// grantedAt. It returns the incarnation that was alive then, and the time in Unix
// milliseconds.
func (d *Detector) Completed(target string, grantedAt time.Duration) (catalog.Incarnation, int64) {
	alive := d.targets[target].Incarnation
	if s := d.suspicions[alive]; s != nil {
		for _, l := range s.losses {
			// A response to an earlier request may have been complete before the loss.
			l.completedAfter = l.completedAfter || grantedAt > l.to
		}
	}
	return alive, d.unixMS + grantedAt.Milliseconds()
}

// Due returns the checks that must be repeated: those of targets that have not responded.
func (d *Detector) Due(now time.Duration) []Check {
	var checks []Check
	for i, s := range d.suspicions {
		if s.silent > 0 && len(s.losses) > 0 && now >= s.checkedAt+silentTime/2 {
			s.checkedAt = now
			checks = append(checks, Check{i, s.losses[0].Address})
		}
	}
	return checks
}

// Sweep forgets the losses whose retention has ended.
func (d *Detector) Sweep(now time.Duration) {
	for i, s := range d.suspicions {
		if len(s.losses) == 0 || now > s.losses[len(s.losses)-1].to+lossRetention {
			d.forget(i)
		}
	}
}

func (d *Detector) forget(i catalog.Incarnation) {
	for _, l := range d.suspicions[i].losses {
		d.uncount(l)
	}
	d.order = slices.DeleteFunc(d.order, func(l *loss) bool { return l.Incarnation == i })
	delete(d.suspicions, i)
}
