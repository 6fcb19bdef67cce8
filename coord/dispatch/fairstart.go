package dispatch

import (
	"iter"
	"maps"
	"math"
	"time"
)

// maxKindRequests bounds the requests by which a kind of programs is divided among services;
// older requests count less.
const maxKindRequests = 2000

// minDecisivePart is the part of its requests that a program sends to a service at least if the
// capacity of that service decides about its start, unless it starts there.
const minDecisivePart = 0.1

// FairShare explains why a new program is refused while the capacity of its service is
// scarce. Usage, Level and Capacity are numbers of slots.
type FairShare struct {
	// Usage is the expected use of the organisation's started programs and of the new one.
	Usage float64
	// Level is the use up to which the programs of any organisation start.
	Level float64
	// Capacity is the use that the service completes.
	Capacity float64
	// Horizon is the time ahead for which the forecast exceeds the level.
	Horizon time.Duration
	// FreeSlots is set if targets of the service had free slots.
	FreeSlots bool
}

// startsWork reports whether a request begins work that may be refused for the benefit of
// other organisations: a new program, or a request without a program, which counts as a
// program of one request.
func (d *Dispatcher) startsWork(r *Request) bool {
	if r.Organisation == "" || r.ContinuesProgram || r.Continues || r.pinned() || len(r.Exclude) > 0 {
		return false
	}
	if r.Program == "" {
		return true
	}
	return r.StartsProgram && d.programs.byKey[programKey{r.Organisation, r.Program}] == nil
}

// startingWork is the expected work of a new program at one service.
type startingWork struct {
	service      *sharedService
	organisation *organisationShare
	// kind is nil for a request without a program.
	kind *kindShare
	work horizonValues
}

// refuseForShare decides whether the capacity of the services that a request or its program
// uses allows it to begin work. It returns a retry delay and an explanation if it does not;
// else the expected work counts from now on.
func (d *Dispatcher) refuseForShare(now time.Duration, r *Request) (time.Duration, *FairShare) {
	if !d.shares.scarce {
		d.learnSlack(now, r)
		return 0, nil
	}
	if !d.startsWork(r) {
		return 0, nil
	}
	if r.Program == "" {
		return d.startAll(now, nil, d.startingWork(now, nil, r, r.Service, 1))
	}
	kind := d.programs.kindOf(r)
	if kind.sentTotal == 0 {
		return d.startAll(now, kind, d.startingWork(now, nil, r, r.Service, 1))
	}
	var starts []startingWork
	for service, part := range kind.parts() {
		if part >= minDecisivePart || service == r.Service {
			starts = d.startingWork(now, starts, r, service, part)
		}
	}
	return d.startAll(now, kind, starts)
}

// learnSlack adds a new program to the mean wait that programs bear. While capacity is scarce,
// programs that were refused before have less time left, so they are not counted.
func (d *Dispatcher) learnSlack(now time.Duration, r *Request) {
	if !r.StartsProgram || r.Program == "" || r.ProgramTimeLeft <= 0 {
		return
	}
	kind := d.programs.kindOf(r)
	requests := turnsOf(r) * kind.perTurn() * kind.part(r.Service)
	if kind.ended == 0 || requests == 0 {
		return
	}
	s := d.shares.service(now, r.Service)
	s.slackSamples++
	slack := (r.ProgramTimeLeft.Seconds() - turnsOf(r)*kind.activeDuration.Seconds()) / requests
	s.slack += max(toleranceWeight, 1/float64(s.slackSamples)) * (slack - s.slack)
}

// startingWork appends the expected work of a request or of its program at a service, if the
// capacity of the service is scarce.
func (d *Dispatcher) startingWork(now time.Duration, starts []startingWork, r *Request, service string, part float64) []startingWork {
	s := d.shares.services[service]
	if s == nil || !s.scarce {
		return starts
	}
	o := s.organisation(now, r.Organisation)
	if o == nil {
		return starts
	}
	start := startingWork{service: s, organisation: o}
	requestTime := part * s.requestTime(o)
	if r.Program == "" {
		start.work.add(requestTime)
	} else {
		kind := d.programs.kindOf(r)
		start.work = kind.work(kind.perTurn()*turnsOf(r), requestTime)
		start.kind = o.kind(kind)
		start.kind.askedAt = now
	}
	return append(starts, start)
}

// startAll adds the expected work at all services, or refuses it if one of them does.
func (d *Dispatcher) startAll(now time.Duration, kind *kindStats, starts []startingWork) (time.Duration, *FairShare) {
	for i := range starts {
		start := &starts[i]
		if wait, refusal := start.service.refuses(start.organisation, &start.work, kind, d.programs, now); refusal != nil {
			return wait, refusal
		}
	}
	for i := range starts {
		start := &starts[i]
		start.organisation.demand.addAll(&start.work)
		start.service.total.addAll(&start.work)
		if start.kind != nil {
			start.kind.demand.addAll(&start.work)
		}
	}
	return 0, nil
}

// refuses reports whether an organisation must not begin the given work. The argument kind is
// the kind of the program; nil for a request without a program.
func (s *sharedService) refuses(o *organisationShare, work *horizonValues, kind *kindStats, programs *programs, now time.Duration) (time.Duration, *FairShare) {
	if s.sharing < 2 {
		return 0, nil
	}
	var refusal *FairShare
	lowest, wait := math.Inf(1), 0.0
	for i, horizon := range forecastHorizons {
		if s.total[i]+work[i] <= s.budget[i] {
			continue
		}
		usage, level := o.demand[i]+work[i], s.level[i]
		if usage+o.reservedForOthers(i, level, kind, programs) <= level {
			continue
		}
		if kind != nil && o.kinds[kind].demand[i]+work[i] <= level*o.reserve(kind, programs) {
			continue
		}
		length := (horizon + s.tolerance()).Seconds()
		wait = max(wait, (usage-level)/level*length)
		if level/length < lowest {
			lowest = level / length
			refusal = &FairShare{Usage: usage / length, Level: lowest, Capacity: s.capacity, Horizon: horizon, FreeSlots: float64(s.running) < s.slots}
		}
	}
	if refusal == nil {
		return 0, nil
	}
	return o.retryAfter(now, wait, work[len(work)-1]/lowest), refusal
}

// retryAfter returns the delay after which a refused program should ask again. The programs
// of an organisation start one after the other: each of them keeps its share busy for the
// given time in seconds, once the started ones leave room for it after the wait.
func (o *organisationShare) retryAfter(now time.Duration, wait, busy float64) time.Duration {
	start := max(o.nextStart, now+time.Duration(wait*float64(time.Second)))
	o.nextStart = min(start+time.Duration(busy*float64(time.Second)), now+maxShareRetryAfter)
	return min(start-now, maxShareRetryAfter)
}

// reserve returns the part of an organisation's level that is reserved for a kind.
func (o *organisationShare) reserve(kind *kindStats, programs *programs) float64 {
	if len(o.kinds) < 2 {
		return 0
	}
	part := kindReserve / float64(len(o.kinds))
	if programs.isMostUrgent(kind) {
		part += urgentReserve
	}
	return part
}

// reservedForOthers returns the work within a horizon that is reserved for an organisation's
// other kinds of programs and that they do not use.
func (o *organisationShare) reservedForOthers(horizon int, level float64, kind *kindStats, programs *programs) float64 {
	reserved := 0.0
	for other, k := range o.kinds {
		if other != kind {
			reserved += max(0, level*o.reserve(other, programs)-k.demand[horizon])
		}
	}
	return reserved
}

// work returns the work within each horizon of a program that still sends the given number
// of requests, if each of them takes the given time in seconds.
func (k *kindStats) work(remaining, requestTime float64) horizonValues {
	var v horizonValues
	rate := k.perTurn() / max(k.activeDuration, minDuration).Seconds()
	for i, horizon := range forecastHorizons {
		v[i] = min(remaining, rate*horizon.Seconds()) * requestTime
	}
	return v
}

// perTurn returns the expected number of requests for each turn. While no program has ended,
// only the turns themselves are counted: the guess of initialRequests would make a new
// dispatcher refuse programs that the service completes.
func (k *kindStats) perTurn() float64 {
	if k.ended == 0 {
		return 1
	}
	return k.requests
}

// sent records the service of a request of the kind.
func (k *kindStats) sent(service string) {
	if k.byService == nil {
		k.byService = make(map[string]float64)
	}
	k.byService[service]++
	if k.sentTotal++; k.sentTotal >= maxKindRequests {
		k.sentTotal = 0
		for name := range k.byService {
			k.byService[name] /= 2
			k.sentTotal += k.byService[name]
		}
	}
}

// part returns the part of the kind's requests that use a service.
func (k *kindStats) part(service string) float64 {
	if k.sentTotal == 0 {
		if service == k.service {
			return 1
		}
		return 0
	}
	return k.byService[service] / k.sentTotal
}

// parts returns the services that the kind's requests use, with the part of each.
func (k *kindStats) parts() iter.Seq2[string, float64] {
	return func(yield func(string, float64) bool) {
		for service := range maps.Keys(k.byService) {
			if !yield(service, k.part(service)) {
				return
			}
		}
	}
}

// expected returns the kind of a program and the number of requests that it is expected to
// send. If an earlier dispatcher started the program, they are the probable kind and half of
// the requests of such a program.
func (ps *programs) expected(now time.Duration, p *program) (*kindStats, float64) {
	if p.kind != nil {
		return p.kind, p.remainingOf(now, p.kind.perTurn())
	}
	kind := ps.kinds[p.seenAs]
	if kind == nil || now-p.lastRequest >= activeIdleTime {
		return nil, 0
	}
	return kind, kind.perTurn() * defaultTurns / 2
}

// advanceShares accounts for the time since the last change at a service.
func (d *Dispatcher) advanceShares(now time.Duration, service string) {
	d.shares.service(now, service).advance(now, d.waitsForCapacity(service))
}

// waitsForCapacity reports whether requests wait because the targets of a service are busy.
// Requests that wait while the dispatcher is held say nothing about the targets.
func (d *Dispatcher) waitsForCapacity(service string) bool {
	return !d.held && d.queue(service).hasUnpinned()
}

// recordWork records the work of a grant that has ended, if its request ran.
func (d *Dispatcher) recordWork(now time.Duration, g *grant, result Result) {
	switch result {
	case Completed, Failed, Broken, Abandoned:
		d.shares.services[g.target.Service].ended(now, g.organisation, now-g.grantedAt)
	}
}
