package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// shareInterval is the time between two updates of the forecast of all organisations.
	shareInterval = 100 * time.Millisecond
	// maxUpdatePrograms is the number of programs for each shareInterval since the last update;
	// with more programs, updates are rarer. An update takes 0.1 us for each program.
	maxUpdatePrograms = 5000
	// shareWindow is the time over which the work of organisations is averaged. What is known
	// about a service or an organisation expires that long after it last mattered.
	shareWindow = 4 * time.Second
	// capacityWindow is the time over which the capacity of a service and the duration of its
	// requests are averaged. Targets become slower or faster within a second.
	capacityWindow = time.Second
	// minBusyTime is the time with waiting requests after which the capacity is known.
	minBusyTime = 100 * time.Millisecond
	// minTolerance and maxTolerance bound the forecast wait that programs are assumed to bear
	// at each request. toleranceWeight is the least weight of the latest program in its mean.
	minTolerance    = backlogStart
	maxTolerance    = 3 * backlogStart
	toleranceWeight = 0.02
	// kindReserve is the part of an organisation's level that is reserved for its kinds of
	// programs in equal parts, and urgentReserve a further part for the most urgent of them.
	kindReserve   = 0.5
	urgentReserve = 0.2
	// meanWeight is the number of requests of average duration that are added to those of an
	// organisation when their mean duration is computed.
	meanWeight = 10
	// maxShareOrganisations bounds the organisations that are known for each service.
	maxShareOrganisations = 10_000
	// maxShareRetryAfter bounds the retry delay, before jitter, of programs that are refused.
	maxShareRetryAfter = time.Second
)

// horizonValues holds one value for each of forecastHorizons.
type horizonValues [len(forecastHorizons)]float64

// fairShares decides which new programs start while the capacity of a service is scarce.
// Work is measured in the time that requests occupy a slot of a target, so the capacity of a
// service is the number of slots that it fills while requests wait.
type fairShares struct {
	services  map[string]*sharedService
	updatedAt time.Duration
	// scarce is set while the capacity of any service is.
	scarce bool
}

// sharedService is what is known about the load of a service.
type sharedService struct {
	// running is the number of requests at the targets, valid since changedAt. slots is the
	// number of requests that the targets may hold.
	running   int
	changedAt time.Duration
	slots     float64
	// waitingTime is the time since the last update while requests waited, and waitingWork the
	// work done in it, in seconds.
	waitingTime, waitingWork float64
	// busyTime, busyWork and busySlots are moving sums of the time while requests waited,
	// of the work done and of the work that fits all slots.
	busyTime, busyWork, busySlots float64
	// busyAt is when requests last waited.
	busyAt time.Duration
	// slack is the mean wait in seconds with which a program still ends in time, for each of its
	// requests, and slackSamples the number of programs in it.
	slack        float64
	slackSamples int
	// recent holds the requests that ended within capacityWindow, window those within
	// shareWindow.
	recent, window workSum
	organisations  map[string]*organisationShare
	// scarce is set while the capacity is known, several organisations use the service and
	// requests wait for at least backlogEnd.
	scarce bool
	// sharing is the number of organisations with expected work.
	sharing int
	// capacity is in slots; 0 while it is not known.
	capacity float64
	// budget is the work that fits each horizon, total the expected work, and level the work up
	// to which each organisation may start programs, in seconds of a slot.
	budget, total, level horizonValues
}

// organisationShare is the work of one organisation at a service.
type organisationShare struct {
	window workSum
	// demand is the expected work of the started programs and of the waiting requests, by
	// horizon; kinds divides that of programs by kind.
	demand horizonValues
	kinds  map[*kindStats]*kindShare
	usedAt time.Duration
	// nextStart is when the programs that were refused so far are expected to have started.
	nextStart time.Duration
}

// kindShare is the expected work of an organisation's programs of one kind.
type kindShare struct {
	demand horizonValues
	// askedAt is when a program last asked to start.
	askedAt time.Duration
}

// workSum is a moving sum of ended requests and their durations in seconds.
type workSum struct{ requests, seconds float64 }

func (w *workSum) add(duration time.Duration) {
	w.requests++
	w.seconds += duration.Seconds()
}

func (w *workSum) decay(factor float64) {
	w.requests *= factor
	w.seconds *= factor
}

func (w *workSum) mean() float64 {
	if w.requests == 0 {
		return 0
	}
	return w.seconds / w.requests
}

func newFairShares(now time.Duration) *fairShares {
	return &fairShares{services: make(map[string]*sharedService), updatedAt: now}
}

func (f *fairShares) service(now time.Duration, name string) *sharedService {
	s := f.services[name]
	if s == nil {
		s = &sharedService{changedAt: now, organisations: make(map[string]*organisationShare)}
		f.services[name] = s
	}
	return s
}

// advance accounts for the time since the last call, in which requests waited or not. It must
// be called before the queue or the running requests of the service change.
func (s *sharedService) advance(now time.Duration, waits bool) {
	elapsed := (now - s.changedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	s.changedAt = now
	if waits {
		s.waitingTime += elapsed
		s.waitingWork += elapsed * float64(s.running)
	}
}

// organisation returns the share of an organisation, or nil if too many are known.
func (s *sharedService) organisation(now time.Duration, name string) *organisationShare {
	o := s.organisations[name]
	if o == nil {
		if len(s.organisations) >= maxShareOrganisations {
			return nil
		}
		o = &organisationShare{kinds: make(map[*kindStats]*kindShare)}
		s.organisations[name] = o
	}
	o.usedAt = now
	return o
}

// ended records a request that occupied a slot.
func (s *sharedService) ended(now time.Duration, organisation string, duration time.Duration) {
	s.recent.add(duration)
	s.window.add(duration)
	if o := s.organisation(now, organisation); o != nil {
		o.window.add(duration)
	}
}

// requestTime returns the expected duration of a request of an organisation in seconds.
func (s *sharedService) requestTime(o *organisationShare) float64 {
	mean := s.window.mean()
	if mean == 0 {
		return 0
	}
	relative := (o.window.seconds + meanWeight*mean) / (o.window.requests + meanWeight) / mean
	return s.recent.mean() * relative
}

// measure updates the moving sums and decides whether the capacity may be scarce. The argument
// backlog is the time that the service needs for the waiting requests.
func (s *sharedService) measure(now, elapsed time.Duration, slots float64, backlog time.Duration) {
	s.slots = slots
	if s.waitingTime > 0 {
		s.busyAt = now
		keep := math.Exp(-s.waitingTime / capacityWindow.Seconds())
		s.busyTime = s.busyTime*keep + s.waitingTime
		s.busyWork = s.busyWork*keep + s.waitingWork
		s.busySlots = s.busySlots*keep + s.waitingTime*slots
	} else if now > s.busyAt+shareWindow {
		s.busyTime, s.busyWork, s.busySlots = 0, 0, 0
	}
	s.waitingTime, s.waitingWork = 0, 0
	s.recent.decay(decayOver(elapsed, capacityWindow))
	s.window.decay(decayOver(elapsed, shareWindow))
	for name, o := range s.organisations {
		o.window.decay(decayOver(elapsed, shareWindow))
		if now > o.usedAt+shareWindow {
			delete(s.organisations, name)
		}
	}
	s.capacity = 0
	if s.busySlots > 0 {
		s.capacity = s.busyWork / s.busySlots * slots
	}
	s.scarce = s.busyTime >= minBusyTime.Seconds() && s.capacity > 0 && backlog >= backlogEnd && len(s.organisations) > 1
}

// decayOver returns the weight that a moving sum keeps after the elapsed time.
func decayOver(elapsed, window time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / window.Seconds())
}

// updateShares computes the expected work of all organisations at the services with scarce
// capacity.
func (d *Dispatcher) updateShares(now time.Duration) {
	elapsed := now - d.shares.updatedAt
	if elapsed < shareInterval*time.Duration(1+len(d.programs.byKey)/maxUpdatePrograms) {
		return
	}
	d.shares.updatedAt = now
	d.shares.scarce = false
	for name, s := range d.shares.services {
		q := d.queue(name)
		s.advance(now, d.waitsForCapacity(name))
		slots := 0.0
		for _, t := range d.targetsByService[name] {
			if !t.Draining && !t.isSuspect(now) {
				slots += float64(t.maxOutstanding())
			}
		}
		s.measure(now, elapsed, slots, q.backlog())
		if !s.scarce {
			continue
		}
		d.shares.scarce = true
		for _, o := range s.organisations {
			o.demand = horizonValues{}
			for kind, k := range o.kinds {
				k.demand = horizonValues{}
				if now > k.askedAt+shareWindow {
					delete(o.kinds, kind)
				}
			}
		}
		for _, w := range q.waiting {
			if o := s.organisation(now, w.request.Organisation); o != nil {
				o.demand.add(s.requestTime(o))
			}
		}
	}
	if !d.shares.scarce {
		return
	}
	d.addProgramDemand(now)
	for _, s := range d.shares.services {
		if s.scarce {
			s.computeLevels()
		}
	}
}

// addProgramDemand adds the work that the started programs are expected to cause.
func (d *Dispatcher) addProgramDemand(now time.Duration) {
	for name, programs := range d.programs.byOrganisation {
		for p := range programs {
			kind, left := d.programs.expected(now, p)
			if left <= 0 {
				continue
			}
			for service, part := range kind.parts() {
				s := d.shares.services[service]
				if s == nil || !s.scarce {
					continue
				}
				if o := s.organisation(now, name); o != nil {
					work := kind.work(left, part*s.requestTime(o))
					o.demand.addAll(&work)
					o.kind(kind).demand.addAll(&work)
				}
			}
		}
	}
}

// kind returns the share of a kind of programs.
func (o *organisationShare) kind(kind *kindStats) *kindShare {
	k := o.kinds[kind]
	if k == nil {
		k = &kindShare{askedAt: o.usedAt}
		o.kinds[kind] = k
	}
	return k
}

// computeLevels sets the max-min fair level of each horizon: the level at which the demand of
// all organisations, each counted up to the level, equals what the service can complete
// while programs bear the wait.
func (s *sharedService) computeLevels() {
	s.total, s.sharing = horizonValues{}, 0
	demands := make([]float64, 0, len(s.organisations))
	for i, horizon := range forecastHorizons {
		s.budget[i] = s.capacity * (horizon + s.tolerance()).Seconds()
		demands = demands[:0]
		for _, o := range s.organisations {
			if o.demand[i] > 0 {
				demands = append(demands, o.demand[i])
				s.total[i] += o.demand[i]
			}
		}
		s.sharing = max(s.sharing, len(demands))
		s.level[i] = maxMinLevel(demands, s.budget[i])
	}
}

// tolerance returns the wait before each request that programs are assumed to bear.
func (s *sharedService) tolerance() time.Duration {
	return min(max(time.Duration(s.slack*float64(time.Second)), minTolerance), maxTolerance)
}

// maxMinLevel returns the level at which demands, each counted up to the level, add up to the
// budget. If all demands fit, the largest may grow by what is left. It sorts the demands.
func maxMinLevel(demands []float64, budget float64) float64 {
	slices.Sort(demands)
	left := budget
	for i, demand := range demands {
		if level := left / float64(len(demands)-i); demand >= level {
			return level
		}
		left -= demand
	}
	if len(demands) == 0 {
		return budget
	}
	return demands[len(demands)-1] + left
}

// add adds the same value for each horizon.
func (v *horizonValues) add(value float64) {
	for i := range v {
		v[i] += value
	}
}

func (v *horizonValues) addAll(other *horizonValues) {
	for i := range v {
		v[i] += other[i]
	}
}
