package dispatch

import "time"

const (
	// maxWaitShare is the share of a program's total time that it may spend waiting
	// and still finish on time; the rest is needed for its work.
	maxWaitShare = 0.2
	// programRetention is how long a program is remembered after its last request.
	programRetention = 5 * time.Second
	// programSweepInterval is the time between two searches for programs that have ended.
	programSweepInterval = 200 * time.Millisecond
)

// program is what the dispatcher knows about a started program. A new dispatcher
// learns it from the program's next request.
type program struct {
	// deadline is when the program should end, and total the time that it had left
	// when this dispatcher saw its first request. overdueAt is when the program has
	// taken twice its time; it is unknown (0) if the program had started before that
	// request.
	deadline, total, overdueAt time.Duration
	// priority is the most urgent route priority among the program's requests,
	// because a call is as urgent as the program that waits for it.
	priority int
	// waited is the total time during which at least one of the program's requests
	// was waiting, counted up to waitedUntil.
	waited, waitedUntil time.Duration
	// kind holds the averages of programs of the same kind; nil if the dispatcher has not
	// seen the program's first request. startedAt is the time of that request.
	kind      *kindStats
	startedAt time.Duration
	// seenAs is the service and route priority of the first request that was seen.
	seenAs programKind
	// turns is the number of turns that the program's budget allows. learned is set once
	// the program is part of the averages of its kind.
	turns   float64
	learned bool
	// requests is the number of requests that the program has sent, and lastRequest the
	// time of the latest one.
	requests    int
	lastRequest time.Duration
}

// programKey identifies a program. Two organisations may use the same program id.
type programKey struct{ organisation, id string }

// programs holds the started programs and what is known about their kinds.
type programs struct {
	byKey          map[programKey]*program
	byOrganisation map[string]map[*program]struct{}
	kinds          map[programKind]*kindStats
	sweptAt        time.Duration
}

func newPrograms() *programs {
	return &programs{byKey: make(map[programKey]*program), byOrganisation: make(map[string]map[*program]struct{}), kinds: make(map[programKind]*kindStats)}
}

// kindOf returns the averages of the kind of the program that a request starts.
func (ps *programs) kindOf(r *Request) *kindStats {
	key := programKind{r.Service, r.RoutePriority}
	k := ps.kinds[key]
	if k == nil {
		k = newKindStats(key)
		ps.kinds[key] = k
	}
	return k
}

// record notes a request and returns its program, or nil if it has none.
func (ps *programs) record(now time.Duration, r *Request) *program {
	if r.Program == "" || r.ProgramTimeLeft == 0 {
		return nil
	}
	key := programKey{r.Organisation, r.Program}
	p := ps.byKey[key]
	if p == nil {
		left := max(r.ProgramTimeLeft, 0)
		p = &program{deadline: now + left, total: left, priority: r.RoutePriority, seenAs: programKind{r.Service, r.RoutePriority}}
		if r.StartsProgram {
			p.overdueAt = p.deadline + p.total
			p.kind, p.startedAt, p.turns = ps.kindOf(r), now, turnsOf(r)
		}
		ps.add(key, p)
	}
	p.priority = min(p.priority, r.RoutePriority)
	p.requests++
	if p.kind != nil {
		p.kind.sent(r.Service)
	}
	p.lastRequest = now
	return p
}

// addWait adds a wait that ends now. Overlapping waits of parallel requests count
// once.
func (p *program) addWait(now, waited time.Duration) {
	from := max(now-waited, p.waitedUntil)
	if now > from {
		p.waited += now - from
	}
	p.waitedUntil = now
}

func (ps *programs) add(key programKey, p *program) {
	ps.byKey[key] = p
	if ps.byOrganisation[key.organisation] == nil {
		ps.byOrganisation[key.organisation] = make(map[*program]struct{})
	}
	ps.byOrganisation[key.organisation][p] = struct{}{}
}

// sweep learns from programs that have ended, and removes those that have sent no request
// for programRetention.
func (ps *programs) sweep(now time.Duration) {
	if now < ps.sweptAt+programSweepInterval {
		return
	}
	ps.sweptAt = now
	for key, p := range ps.byKey {
		p.learn(now)
		if now <= p.lastRequest+programRetention {
			continue
		}
		delete(ps.byKey, key)
		delete(ps.byOrganisation[key.organisation], p)
		if len(ps.byOrganisation[key.organisation]) == 0 {
			delete(ps.byOrganisation, key.organisation)
		}
	}
}

// deadlineStatus says whether a program can still meet its deadline.
type deadlineStatus int

const (
	// onTrack means that the program can finish on time, or that the request has no
	// program.
	onTrack deadlineStatus = iota
	// behind means that the program is late or has waited too long to finish on
	// time.
	behind
	// overdue means that the program has taken twice its time.
	overdue
)

func (s deadlineStatus) String() string {
	return [...]string{"on_track", "behind", "overdue"}[s]
}

// DeadlineStatus returns the deadline status of a request's program as text, for logs.
func (d *Dispatcher) DeadlineStatus(now time.Duration, r *Request) string {
	return d.programs.byKey[programKey{r.Organisation, r.Program}].status(now, r).String()
}

// status returns the deadline status of a request's program at a given time; p may
// be nil.
func (p *program) status(now time.Duration, r *Request) deadlineStatus {
	switch {
	case r.ProgramTimeLeft == 0:
		return onTrack
	case p == nil:
		if r.ProgramTimeLeft > 0 {
			return onTrack
		}
		return behind
	case p.overdueAt > 0 && now >= p.overdueAt:
		return overdue
	case now >= p.deadline, float64(p.waited) > maxWaitShare*float64(p.total):
		return behind
	}
	return onTrack
}
