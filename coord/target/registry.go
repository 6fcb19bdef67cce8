package target

import (
	"errors"
	"slices"
	"strings"
	"time"
)

const (
	// MaxLease limits the lease of an announcement: a leaving target must get no new
	// work after 3 s, even from an entry that never learns that it leaves.
	MaxLease = 3 * time.Second
	// forgetAfter is how long the sequence numbers of a target are kept after its
	// lease has lapsed, so that a late announcement is still recognised as late.
	forgetAfter = 10 * time.Minute
	// maxTargets limits the number of known targets and thereby the memory that
	// announcements can occupy.
	maxTargets = 16_384
	// maxPreviousIncarnations is the number of earlier incarnations of a target that
	// are kept.
	maxPreviousIncarnations = 4
	// initialSuspectTime and maxSuspectTime are the shortest and the longest time
	// for which a failure makes a target suspect. The time doubles with each further
	// failure.
	initialSuspectTime = 500 * time.Millisecond
	maxSuspectTime     = 30 * time.Second
	// failureResetTime is the time without a failure after which the next one makes
	// a target suspect for initialSuspectTime again.
	failureResetTime = time.Minute
	// reportSettleTime is the shortest time between two load reports after which the
	// later one is taken to include a dispatched request. It covers the network
	// delay to the target and the lag of the load report.
	reportSettleTime = 250 * time.Millisecond
	// responseLoadValidity is how long a load from a response takes precedence over
	// announced loads, which lag by up to about one second.
	responseLoadValidity = time.Second
)

// These errors say why an announcement or a cache report is not used.
var (
	// ErrLate reports an announcement that is older than one that was already
	// accepted.
	ErrLate = errors.New("announcement is late")
	// ErrTooManyTargets reports that the registry is full.
	ErrTooManyTargets = errors.New("too many targets")
	// ErrUnknownTarget reports a target or an incarnation that has not announced
	// itself.
	ErrUnknownTarget = errors.New("unknown target")
)

// View is a snapshot of what the registry knows about one target.
type View struct {
	// ID, Incarnation, Kind, Service, Address, DataCentre, Role and Fencing are
	// copied from the last accepted announcement.
	ID, Incarnation, Kind, Service, Address, DataCentre, Role, Fencing string
	// Load is the most recent load report.
	Load Load
	// ReportAge is the time since Load was sent. It does not include the lag of the
	// report at the target.
	ReportAge time.Duration
	// Outstanding and OutstandingTokens count the dispatched requests, and their
	// tokens, that no load report includes yet.
	Outstanding       int
	OutstandingTokens int64
	// CachedTokens is the expected length of the program's cached prefix: the
	// reported length times the confidence in the report.
	CachedTokens int64
	// CacheAge is how old a change of the cache must be for CachedTokens to include it,
	// unless its event was lost. It is math.MaxInt64 if that is not known.
	CacheAge time.Duration
	// Suspect is true for a target with recent failures.
	Suspect bool
	// Usable is true for a target that has a lease, is not leaving and is not
	// drained.
	Usable bool
	// Leaving and Drained are reasons why a target is not usable.
	Leaving, Drained bool
}

// previousIncarnation is an earlier incarnation of a target and its last sequence
// number.
type previousIncarnation struct {
	incarnation string
	sequence    uint64
}

// record holds the state of one target.
type record struct {
	announcement Announcement
	previous     []previousIncarnation
	leaseUntil   time.Duration
	lapsed       bool
	drained      bool
	load         Load
	reportAt     time.Duration
	// responseAt is when a response last reported a load. It is valid if
	// loadFromResponse is set.
	responseAt       time.Duration
	loadFromResponse bool
	outstanding      dispatchCounter
	cache            cacheView

	failures     int
	lastFailure  time.Duration
	suspectUntil time.Duration
}

// Registry holds what one entry knows about the targets. It is not safe for
// concurrent use.
type Registry struct {
	records  map[string]*record
	services map[string][]*record
	drained  map[string]bool
	holders  holderIndex
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		records: make(map[string]*record), services: make(map[string][]*record),
		drained: make(map[string]bool), holders: make(holderIndex),
	}
}

// Announce accepts an announcement and renews the target's lease. It returns ErrLate
// if a newer announcement was accepted before; other errors mean that the
// announcement is invalid or the registry is full.
func (g *Registry) Announce(now time.Duration, a Announcement) error {
	return g.AnnounceAged(now, 0, a)
}

// AnnounceAged is like Announce for an announcement that was received age ago. Its
// lease and its load report count from that time.
func (g *Registry) AnnounceAged(now, age time.Duration, a Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	r := g.records[a.ID]
	switch {
	case r == nil && len(g.records) >= maxTargets:
		return ErrTooManyTargets
	case r == nil:
		r = &record{drained: g.drained[a.ID]}
		r.cache = cacheView{index: g.holders, holder: r}
		g.records[a.ID] = r
	case !r.supersedes(now, a):
		return ErrLate
	case r.announcement.Incarnation != a.Incarnation:
		r.restart()
	}
	g.moveToService(r, a)
	r.accept(now, max(age, 0), a)
	return nil
}

// supersedes reports whether the announcement is newer than the last accepted one.
// Incarnations have no order: an unknown incarnation counts as newer, and one that was
// already replaced counts as late unless the lease of its successor has lapsed. The
// exception is needed if the announcement of the successor was itself a late one of an
// older incarnation.
func (r *record) supersedes(now time.Duration, a Announcement) bool {
	if a.Incarnation == r.announcement.Incarnation {
		return a.Sequence > r.announcement.Sequence
	}
	for _, old := range r.previous {
		if old.incarnation == a.Incarnation {
			return a.Sequence > old.sequence && now >= r.leaseUntil
		}
	}
	return true
}

// restart clears what does not survive a restart of the target: cache contents and
// outstanding requests. The suspect state is kept, because a target that crashes in
// a loop restarts too.
func (r *record) restart() {
	r.previous = append(r.previous, previousIncarnation{r.announcement.Incarnation, r.announcement.Sequence})
	if len(r.previous) > maxPreviousIncarnations {
		r.previous = r.previous[1:]
	}
	r.cache.clear()
	r.cache = cacheView{index: r.cache.index, holder: r}
	r.outstanding, r.loadFromResponse = dispatchCounter{}, false
}

func (r *record) accept(now, age time.Duration, a Announcement) {
	lease := min(time.Duration(a.LeaseMS)*time.Millisecond, MaxLease)
	r.announcement, r.leaseUntil, r.lapsed = a, now-age+lease, false
	if r.loadFromResponse && now-r.responseAt < responseLoadValidity {
		return
	}
	r.setLoad(now, now-age, a.Load)
}

// setLoad replaces the load by a report that was sent at the given time.
func (r *record) setLoad(now, at time.Duration, l Load) {
	r.load, r.reportAt = l, at
	r.outstanding.rotate(now)
}

// moveToService moves the record to the list of its service, which is sorted by
// target ID.
func (g *Registry) moveToService(r *record, a Announcement) {
	if r.announcement.ID != "" && r.announcement.Service == a.Service {
		return
	}
	g.removeFromService(r)
	list := g.services[a.Service]
	at, _ := slices.BinarySearchFunc(list, a.ID, compareID)
	g.services[a.Service] = slices.Insert(list, at, r)
}

func (g *Registry) removeFromService(r *record) {
	list := g.services[r.announcement.Service]
	if at, found := slices.BinarySearchFunc(list, r.announcement.ID, compareID); found {
		g.services[r.announcement.Service] = slices.Delete(list, at, at+1)
	}
	if len(g.services[r.announcement.Service]) == 0 {
		delete(g.services, r.announcement.Service)
	}
}

func compareID(r *record, id string) int { return strings.Compare(r.announcement.ID, id) }

// Withdraw ends a target's lease immediately. A newer announcement starts a new
// lease.
func (g *Registry) Withdraw(now time.Duration, id string) {
	if r := g.records[id]; r != nil {
		r.leaseUntil = min(r.leaseUntil, now)
	}
}

// Drain excludes a target from new work, whether or not the target is known yet.
func (g *Registry) Drain(id string) {
	g.drained[id] = true
	if r := g.records[id]; r != nil {
		r.drained = true
	}
}

// Undrain makes a drained target available for new work again.
func (g *Registry) Undrain(id string) {
	delete(g.drained, id)
	if r := g.records[id]; r != nil {
		r.drained = false
	}
}

// Drained returns the IDs of the drained targets, sorted.
func (g *Registry) Drained() []string {
	ids := make([]string, 0, len(g.drained))
	for id := range g.drained {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// ApplyCacheEvents applies cache events of one incarnation to the target's cache view.
func (g *Registry) ApplyCacheEvents(now time.Duration, id, incarnation string, events []CacheEvent) error {
	r := g.records[id]
	if r == nil || r.announcement.Incarnation != incarnation {
		return ErrUnknownTarget
	}
	r.cache.add(now, events)
	return nil
}

// Candidates returns the usable targets of a service that serve the model, sorted by
// ID. Targets that list no models, such as plain services, serve every model.
func (g *Registry) Candidates(now time.Duration, service, model, program string) []View {
	return g.AppendCandidates(make([]View, 0, len(g.services[service])), now, service, model, program)
}

// AppendCandidates is like Candidates, but appends to views, so that the caller can
// reuse its memory. views must be empty.
func (g *Registry) AppendCandidates(views []View, now time.Duration, service, model, program string) []View {
	for _, r := range g.services[service] {
		if r.usable(now) && r.serves(model) {
			views = append(views, View{})
			r.fillView(&views[len(views)-1], now)
		}
	}
	for _, r := range g.holders[program] {
		if at, found := slices.BinarySearchFunc(views, r.announcement.ID, compareViewID); found {
			views[at].CachedTokens = r.cache.expectedTokens(program)
		}
	}
	return views
}

func compareViewID(v View, id string) int { return strings.Compare(v.ID, id) }

func (r *record) usable(now time.Duration) bool {
	return now < r.leaseUntil && !r.announcement.Leaving && !r.drained
}

func (r *record) serves(model string) bool {
	return model == "" || len(r.announcement.Models) == 0 || slices.Contains(r.announcement.Models, model)
}

// fillView copies the record into a view, except for CachedTokens.
func (r *record) fillView(v *View, now time.Duration) {
	a := &r.announcement
	v.ID, v.Incarnation, v.Kind, v.Service, v.Address = a.ID, a.Incarnation, a.Kind, a.Service, a.Address
	v.DataCentre, v.Role, v.Fencing = a.DataCentre, a.Role, a.Fencing
	v.Load, v.ReportAge = r.load, now-r.reportAt
	v.Outstanding, v.OutstandingTokens = r.outstanding.total()
	v.CacheAge = r.cache.age(now)
	v.Suspect, v.Usable, v.Leaving, v.Drained = now < r.suspectUntil, r.usable(now), a.Leaving, r.drained
}

// Find returns the view of one target, whether or not it is usable.
func (g *Registry) Find(now time.Duration, id string) (View, bool) {
	r := g.records[id]
	if r == nil {
		return View{}, false
	}
	var v View
	r.fillView(&v, now)
	return v, true
}

// All returns the views of all known targets, sorted by service and ID.
func (g *Registry) All(now time.Duration) []View {
	views := make([]View, 0, len(g.records))
	for _, r := range g.records {
		views = append(views, View{})
		r.fillView(&views[len(views)-1], now)
	}
	slices.SortFunc(views, func(a, b View) int {
		if c := strings.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	return views
}

// Holders returns the IDs of the targets that reported a prefix of the program,
// sorted.
func (g *Registry) Holders(program string) []string {
	ids := make([]string, 0, len(g.holders[program]))
	for _, r := range g.holders[program] {
		ids = append(ids, r.announcement.ID)
	}
	slices.Sort(ids)
	return ids
}

// Dispatched records that a request with the given number of tokens was sent to the
// target.
func (g *Registry) Dispatched(now time.Duration, id string, tokens int64) {
	if r := g.records[id]; r != nil {
		r.outstanding.add(now, tokens)
	}
}

// Completed records the end of a dispatched request. A load means that the target
// responded: it replaces the load report and ends the suspect state.
func (g *Registry) Completed(now time.Duration, id string, tokens int64, load *Load) {
	r := g.records[id]
	if r == nil {
		return
	}
	r.outstanding.remove(tokens)
	if load == nil || load.validate() != nil {
		return
	}
	r.responseAt, r.loadFromResponse = now, true
	r.setLoad(now, now, *load)
	r.failures, r.suspectUntil = 0, 0
}

// Failed makes a target suspect after a failed request. The request stays counted as
// outstanding until later load reports include it.
func (g *Registry) Failed(now time.Duration, id string) {
	r := g.records[id]
	if r == nil {
		return
	}
	if now-r.lastFailure > failureResetTime {
		r.failures = 0
	}
	suspectTime := maxSuspectTime
	if shifted := initialSuspectTime << min(r.failures, 16); shifted < maxSuspectTime {
		suspectTime = shifted
	}
	r.failures++
	r.lastFailure, r.suspectUntil = now, now+suspectTime
}

// Expire returns the IDs of the targets whose lease has lapsed since the last call,
// and deletes targets whose lease lapsed at least forgetAfter ago.
func (g *Registry) Expire(now time.Duration) []string {
	var lapsed []string
	for id, r := range g.records {
		r.cache.flush(now)
		if now < r.leaseUntil {
			continue
		}
		if !r.lapsed {
			r.lapsed = true
			lapsed = append(lapsed, id)
		}
		if now-r.leaseUntil >= forgetAfter {
			g.removeFromService(r)
			r.cache.clear()
			delete(g.records, id)
		}
	}
	slices.Sort(lapsed)
	return lapsed
}
