package dispatch

import (
	"math"
	"time"

	"hemlockvale.dev/coord/placement"
)

const (
	// MaxIdleConnections is the maximum number of idle connections that an entry keeps to one
	// target, and IdleConnectionTime is how long it keeps one if the target states no timeout.
	MaxIdleConnections = 4
	IdleConnectionTime = 3300 * time.Millisecond

	// connectTokens is the cost of a new connection in prefill tokens, about 1 ms, and
	// remoteConnectTokens that of one to another data centre, with a round trip of 2 ms.
	connectTokens       = 10
	remoteConnectTokens = 30
	// connectionLimitTokens is the cost of a new connection to a target that has as many as it
	// accepts. Such a target is chosen only if no other has capacity: the number of idle
	// connections is an estimate, and refusing on it would block the queue.
	connectionLimitTokens = 1_000_000
	// connectionReserveShare is the part of a target's limit that grants leave free, because
	// entries close expired connections up to a second late.
	connectionReserveShare = 1.0 / 16
	// maxKnownEntries bounds the entries whose connections are known. Deployments have up to
	// 115; requests of further ones are placed without regard to connections.
	maxKnownEntries = 256
	// connectionSweepInterval is the time between two removals of expired connections.
	connectionSweepInterval = time.Second
	// loadHalfLife is the age at which a grant has half of its weight in the recent load of
	// its target. 5 requests a second at a target are about 70 grants, enough to tell a
	// target with a fifth more than the mean from chance.
	loadHalfLife = 10 * time.Second
	// maxPreferredLoad is the multiple of the mean recent load of a service up to which a
	// target is preferred for its idle connections. Without it, entries keep to the targets
	// that they used first, and some targets get several times the mean.
	maxPreferredLoad = 1.25
	// loadLimitValidity is how long the cached limit of a service is used.
	loadLimitValidity = 100 * time.Millisecond
	// maxLoadWeight is the weight of a grant at which all recent loads are scaled down.
	maxLoadWeight = 1 << 30
)

// idleConnections holds when the probable idle connections of one entry to one target
// expire, the latest one last. Entries use the latest one first.
type idleConnections struct {
	count   uint8
	expires [MaxIdleConnections]time.Duration
}

// last returns when the latest connection expires; 0 if there is none.
func (c *idleConnections) last() time.Duration {
	if c.count == 0 {
		return 0
	}
	return c.expires[c.count-1]
}

// sweep removes expired connections and returns their number.
func (c *idleConnections) sweep(now time.Duration) int {
	expired := uint8(0)
	for expired < c.count && c.expires[expired] <= now {
		expired++
	}
	copy(c.expires[:], c.expires[expired:c.count])
	c.count -= expired
	return int(expired)
}

// entryConnections holds the probable idle connections of one entry.
type entryConnections struct {
	// byTarget and latest are indexed by target.column. They are as long as the highest column
	// used so far. latest holds idleConnections.last: decisions read it for each candidate.
	byTarget []idleConnections
	latest   []time.Duration
	usedAt   time.Duration
}

// idle returns the connections to a target; nil if the entry never had any.
func (e *entryConnections) idle(t *target) *idleConnections {
	if e == nil || t.column >= len(e.byTarget) {
		return nil
	}
	return &e.byTarget[t.column]
}

// update sets latest after a change of the connections to a target.
func (e *entryConnections) update(column int) { e.latest[column] = e.byTarget[column].last() }

// grow makes room for the given number of columns.
func (e *entryConnections) grow(columns int) {
	if missing := columns - len(e.byTarget); missing > 0 {
		e.byTarget = append(e.byTarget, make([]idleConnections, missing)...)
		e.latest = append(e.latest, make([]time.Duration, missing)...)
	}
}

// connections estimates which entries have idle connections to which targets. The dispatcher
// knows each grant with its entry and how it ended, so it needs no reports from entries.
type connections struct {
	// entries is bounded by maxKnownEntries; an entry without a grant for IdleConnectionTime
	// has no connections and is removed.
	entries map[string]*entryConnections
	// columns holds the targets by target.column; nil for a free column. Column 0 is not
	// used.
	columns []*target
	limits  map[string]*loadLimit
	sweptAt time.Duration
	// loadEpoch is when a grant had the weight 1 in the recent loads. The weight of new
	// grants grows instead of the loads being reduced.
	loadEpoch time.Duration
}

// loadLimit is the recent load up to which targets of a service are preferred.
type loadLimit struct {
	value      float64
	validUntil time.Duration
}

func newConnections(now time.Duration) connections {
	return connections{loadEpoch: now, entries: make(map[string]*entryConnections), columns: make([]*target, 1), limits: make(map[string]*loadLimit)}
}

// setTargets assigns columns to new targets and frees those of targets that have left.
func (c *connections) setTargets(now time.Duration, targets map[string]*target, byService map[string][]*target) {
	for column, t := range c.columns {
		if t == nil || targets[t.ID] == t {
			continue
		}
		c.columns[column] = nil
		for _, e := range c.entries {
			if column < len(e.byTarget) {
				e.byTarget[column] = idleConnections{}
				e.update(column)
			}
		}
	}
	free := 1
	for _, t := range targets {
		if t.column != 0 {
			continue
		}
		for free < len(c.columns) && c.columns[free] != nil {
			free++
		}
		if free == len(c.columns) {
			c.columns = append(c.columns, nil)
		}
		// A new target starts with the mean, which must not fall because it has joined.
		t.recentLoad = meanLoad(now, byService[t.Service])
		c.columns[free], t.column = t, free
	}
	for service := range c.limits {
		if len(byService[service]) == 0 {
			delete(c.limits, service)
		}
	}
}

// meanLoad returns the mean recent load of the targets that accept requests and are known.
func meanLoad(now time.Duration, targets []*target) float64 {
	sum, n := 0.0, 0
	for _, t := range targets {
		if t.column != 0 && !t.Draining && !t.isSuspect(now) {
			sum += t.recentLoad
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// loadWeight returns the weight of a grant in the recent loads.
func (c *connections) loadWeight(now time.Duration) float64 {
	weight := math.Exp2(float64(now-c.loadEpoch) / float64(loadHalfLife))
	if weight < maxLoadWeight {
		return weight
	}
	for _, t := range c.columns {
		if t != nil {
			t.recentLoad /= weight
		}
	}
	clear(c.limits)
	c.loadEpoch = now
	return 1
}

// loadLimit returns the recent load up to which targets of a service are preferred.
func (c *connections) loadLimit(now time.Duration, service string, targets []*target) float64 {
	l := c.limits[service]
	if l == nil {
		l = &loadLimit{}
		c.limits[service] = l
	}
	if now >= l.validUntil {
		slots := 0
		for _, t := range targets {
			slots = max(slots, t.Slots)
		}
		// A difference of one grant from the mean may be chance.
		grant := c.loadWeight(now) / float64(max(slots, 1))
		l.value = (meanLoad(now, targets) + grant) * maxPreferredLoad
		l.validUntil = now + loadLimitValidity
	}
	return l.value
}

// preference is what a placement decision needs to know about the connections of the entry.
// The zero value has no effect.
type preference struct {
	now    time.Duration
	known  bool
	latest []time.Duration
	limit  float64
}

// preference returns the preference for a request of an entry.
func (c *connections) preference(now time.Duration, r *Request, targets []*target) preference {
	if r.Entry == "" {
		return preference{}
	}
	p := preference{now: now, known: true, limit: c.loadLimit(now, r.Service, targets)}
	if e := c.entries[r.Entry]; e != nil {
		p.latest = e.latest
	}
	return p
}

// apply adds the cost of a new connection to a candidate, or marks it as connected.
func (p *preference) apply(r *Request, t *target, candidate *placement.Candidate) {
	if !p.known {
		return
	}
	open := p.open(t)
	switch {
	case !open && t.connectionLimitReached():
		candidate.DistanceTokens += connectionLimitTokens
	case open && t.recentLoad <= p.limit:
		candidate.Connected = true
	case t.DataCentre != r.DataCentre:
		candidate.DistanceTokens += remoteConnectTokens
	default:
		candidate.DistanceTokens += connectTokens
	}
}

// open reports whether the entry probably has an idle connection to a target.
func (p *preference) open(t *target) bool {
	return t.column < len(p.latest) && p.now < p.latest[t.column]
}

// connectionLimitReached reports whether a grant should not open another connection.
func (t *target) connectionLimitReached() bool {
	return t.MaxConnections > 0 && t.outstanding+t.idle >= t.grantableConnections()
}

// grantableConnections returns the number of connections up to which a grant may need another
// one.
func (t *target) grantableConnections() int {
	return t.MaxConnections - int(math.Ceil(float64(t.MaxConnections)*connectionReserveShare))
}

// granted records a grant: the entry uses an idle connection to the target if it has one.
func (c *connections) granted(now time.Duration, entry string, t *target) {
	if entry == "" {
		return
	}
	weight := c.loadWeight(now)
	t.recentLoad += weight / float64(max(t.Slots, 1))
	e := c.entries[entry]
	if idle := e.idle(t); idle != nil && now < idle.last() {
		idle.count--
		t.idle--
		e.update(t.column)
	}
}

// ended records the end of a grant.
func (c *connections) ended(now time.Duration, entry string, t *target, result Result) {
	if entry == "" || c.columns[t.column] != t {
		return
	}
	switch result {
	case Completed, NotRun:
		c.add(now, entry, t)
	case Abandoned:
		// The entry closes only the connection of the request.
	default:
		c.drop(entry, t)
	}
}

// add records that a connection of an entry has become idle.
func (c *connections) add(now time.Duration, entry string, t *target) {
	e := c.entries[entry]
	if e == nil {
		if len(c.entries) >= maxKnownEntries {
			return
		}
		e = &entryConnections{}
		c.entries[entry] = e
	}
	e.usedAt = now
	e.grow(len(c.columns))
	idle := e.idle(t)
	t.idle -= idle.sweep(now)
	if idle.count == MaxIdleConnections {
		copy(idle.expires[:], idle.expires[1:])
		idle.count--
		t.idle--
	}
	idle.expires[idle.count] = now + IdleConnectionTime
	idle.count++
	t.idle++
	e.update(t.column)
}

// drop forgets the connections of an entry to a target.
func (c *connections) drop(entry string, t *target) {
	e := c.entries[entry]
	if idle := e.idle(t); idle != nil {
		t.idle -= int(idle.count)
		*idle = idleConnections{}
		e.update(t.column)
	}
}

// sweep removes expired connections and entries without any.
func (c *connections) sweep(now time.Duration) {
	if now < c.sweptAt+connectionSweepInterval {
		return
	}
	c.sweptAt = now
	for name, e := range c.entries {
		for column := range e.byTarget {
			if idle := &e.byTarget[column]; idle.count > 0 {
				c.columns[column].idle -= idle.sweep(now)
				e.update(column)
			}
		}
		if now > e.usedAt+IdleConnectionTime {
			delete(c.entries, name)
		}
	}
}
