package dispatch

import "time"

const (
	// slackShare is the part of a program's time that it may spend waiting and
	// still end in time; the rest is needed for its work.
	slackShare = 0.2
	// programMemory is how long a program without a request is remembered.
	programMemory = 5 * time.Second
)

// program is what the dispatcher has seen of a program under way. A new
// dispatcher learns it from the program's next request.
type program struct {
	// due is when the program should end; total is the time that it had when
	// it was first seen. Twice its time is over at overdue, which is unknown (0)
	// for a program that was under way already.
	due, total, overdue time.Duration
	// priority is the most urgent route of its requests: a call is as urgent as
	// the program that waits for it.
	priority int
	// waited is for how long at least one of its requests was held back, until waitedUntil.
	waited, waitedUntil time.Duration
	// seen is when it sent its newest request.
	seen time.Duration
}

// programKey identifies a program; two organisations may use the same id.
type programKey struct{ organisation, id string }

// programs remembers the programs under way.
type programs map[programKey]*program

// observe records a request and returns its program, or nil if it has none.
func (ps programs) observe(now time.Duration, r *Request) *program {
	if r.Program == "" || r.ProgramLeft == 0 {
		return nil
	}
	key := programKey{r.Organisation, r.Program}
	p := ps[key]
	if p == nil {
		left := max(r.ProgramLeft, 0)
		p = &program{due: now + left, total: left, priority: r.RoutePriority}
		if r.Newcomer {
			p.overdue = p.due + p.total
		}
		ps[key] = p
	}
	p.priority = min(p.priority, r.RoutePriority)
	p.seen = now
	return p
}

// held adds a wait that ends now. Waits of parallel requests count once.
func (p *program) held(now, waited time.Duration) {
	from := max(now-waited, p.waitedUntil)
	if now > from {
		p.waited += now - from
	}
	p.waitedUntil = now
}

// sweep forgets programs that have sent nothing for a while.
func (ps programs) sweep(now time.Duration) {
	for key, p := range ps {
		if now > p.seen+programMemory {
			delete(ps, key)
		}
	}
}

// standing says what a program can still reach.
type standing int

const (
	// onTrack programs can end in time; so can requests without a program.
	onTrack standing = iota
	// behind programs are late or have waited for too long to end in time.
	behind
	// overdue programs have taken twice their time.
	overdue
)

func (s standing) String() string {
	return [...]string{"on_track", "behind", "overdue"}[s]
}

// Standing names what the program of a request can still reach, for logs.
func (d *Dispatcher) Standing(now time.Duration, r *Request) string {
	return d.programs[programKey{r.Organisation, r.Program}].standing(now, r).String()
}

// standing returns what the program of a request can still reach at a time; p may be nil.
func (p *program) standing(now time.Duration, r *Request) standing {
	switch {
	case r.ProgramLeft == 0:
		return onTrack
	case p == nil:
		if r.ProgramLeft > 0 {
			return onTrack
		}
		return behind
	case p.overdue > 0 && now >= p.overdue:
		return overdue
	case now >= p.due, float64(p.waited) > slackShare*float64(p.total):
		return behind
	}
	return onTrack
}
