package target

import (
	"errors"
	"slices"
	"strings"
	"time"
)

const (
	// MaxLease bounds the lease of an announcement: a leaving target must get no
	// new work after 3 s, also from an entry that never hears that it leaves.
	MaxLease = 3 * time.Second
	// forgetAfter is how long a lapsed target's sequence numbers are kept, so
	// that a late announcement is still recognised as late.
	forgetAfter = 10 * time.Minute
	// maxTargets bounds the memory that announcements can occupy.
	maxTargets = 16_384
	// maxRetired is how many earlier incarnations of a target are remembered.
	maxRetired = 4
	// firstSuspicion and maxSuspicion bound the time for which a failure makes a
	// target suspect; the time doubles with every further failure.
	firstSuspicion = 500 * time.Millisecond
	maxSuspicion   = 30 * time.Second
	// failureMemory is how long after the last failure the back-off starts afresh.
	failureMemory = time.Minute
	// settleInterval is the shortest time after which a report counts a dispatch:
	// it covers the way to the target and the lag of the load report.
	settleInterval = 250 * time.Millisecond
	// answerLoadTime is how long a load from an answer is preferred to announced
	// ones, which lag by up to about a second.
	answerLoadTime = time.Second
)

// Reasons why an announcement or a cache report is not used.
var (
	// ErrLate announcements are older than one that was already used.
	ErrLate = errors.New("announcement is late")
	// ErrTooManyTargets reports a full registry.
	ErrTooManyTargets = errors.New("too many targets")
	// ErrUnknownTarget reports a target or incarnation that has not announced itself.
	ErrUnknownTarget = errors.New("unknown target")
)

// View is what the registry knows about one target at a moment.
type View struct {
	// ID, Incarnation, Kind, Service, Address, DataCentre, Role and Fencing were announced.
	ID, Incarnation, Kind, Service, Address, DataCentre, Role, Fencing string
	// Load is the newest report.
	Load Load
	// ReportAge is the age of Load, without the target's own lag.
	ReportAge time.Duration
	// Outstanding and OutstandingTokens are dispatches that no report counts yet.
	Outstanding       int
	OutstandingTokens int64
	// CachedTokens is the expected length of the program's prefix: the reported
	// length times the trust in the report.
	CachedTokens int64
	// CacheAge is the age of what the cache events certainly show; very large when that is nothing.
	CacheAge time.Duration
	// Suspect marks a target with recent failures.
	Suspect bool
	// Usable targets have a lease, do not leave and are not drained.
	Usable bool
	// Leaving and Drained say why a target is not usable.
	Leaving, Drained bool
}

// retiredRun is an earlier incarnation and its last sequence number.
type retiredRun struct {
	incarnation string
	sequence    uint64
}

// record is the state of one target.
type record struct {
	last       Announcement
	retired    []retiredRun
	leaseUntil time.Duration
	lapsed     bool
	drained    bool
	load       Load
	reportAt   time.Duration
	// answerAt is when a load came with an answer; valid when fromAnswer is set.
	answerAt   time.Duration
	fromAnswer bool
	work       outstanding
	cache      cacheView

	failures     int
	lastFailure  time.Duration
	suspectUntil time.Duration
}

// Registry is one entry's view of the targets. It is not safe for concurrent use.
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

// Announce renews a target's lease. ErrLate means that the registry already
// knows something newer; other errors mean that the announcement is not usable.
func (g *Registry) Announce(now time.Duration, a Announcement) error {
	return g.AnnounceAged(now, 0, a)
}

// AnnounceAged is Announce for an announcement that was received age ago; its
// lease and report started then.
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
		r.cache = cacheView{index: g.holders, owner: r}
		g.records[a.ID] = r
	case !r.newer(now, a):
		return ErrLate
	case r.last.Incarnation != a.Incarnation:
		r.restart()
	}
	g.index(r, a)
	r.accept(now, max(age, 0), a)
	return nil
}

// newer reports whether the announcement supersedes the last one. Incarnations
// carry no order: an unknown one is newer, and one that was already replaced is
// late unless its successor's lease has lapsed. The exception matters when the
// supposed successor was itself a late announcement of an older run.
func (r *record) newer(now time.Duration, a Announcement) bool {
	if a.Incarnation == r.last.Incarnation {
		return a.Sequence > r.last.Sequence
	}
	for _, old := range r.retired {
		if old.incarnation == a.Incarnation {
			return a.Sequence > old.sequence && now >= r.leaseUntil
		}
	}
	return true
}

// restart drops what a new process cannot have: cache and outstanding work.
// Suspicion is kept, because a target that crashes in a loop restarts too.
func (r *record) restart() {
	r.retired = append(r.retired, retiredRun{r.last.Incarnation, r.last.Sequence})
	if len(r.retired) > maxRetired {
		r.retired = r.retired[1:]
	}
	r.cache.clear()
	r.cache = cacheView{index: r.cache.index, owner: r}
	r.work, r.fromAnswer = outstanding{}, false
}

func (r *record) accept(now, age time.Duration, a Announcement) {
	lease := min(time.Duration(a.LeaseMS)*time.Millisecond, MaxLease)
	r.last, r.leaseUntil, r.lapsed = a, now-age+lease, false
	if r.fromAnswer && now-r.answerAt < answerLoadTime {
		return
	}
	r.report(now, now-age, a.Load)
}

// report replaces the load by one that was sent at the given time.
func (r *record) report(now, at time.Duration, l Load) {
	r.load, r.reportAt = l, at
	r.work.settle(now)
}

// index moves the record to the list of its service, which is sorted by id.
func (g *Registry) index(r *record, a Announcement) {
	if r.last.ID != "" && r.last.Service == a.Service {
		return
	}
	g.unindex(r)
	list := g.services[a.Service]
	at, _ := slices.BinarySearchFunc(list, a.ID, compareID)
	g.services[a.Service] = slices.Insert(list, at, r)
}

func (g *Registry) unindex(r *record) {
	list := g.services[r.last.Service]
	if at, found := slices.BinarySearchFunc(list, r.last.ID, compareID); found {
		g.services[r.last.Service] = slices.Delete(list, at, at+1)
	}
	if len(g.services[r.last.Service]) == 0 {
		delete(g.services, r.last.Service)
	}
}

func compareID(r *record, id string) int { return strings.Compare(r.last.ID, id) }

// Withdraw ends a target's lease at once; a newer announcement admits it again.
func (g *Registry) Withdraw(now time.Duration, id string) {
	if r := g.records[id]; r != nil {
		r.leaseUntil = min(r.leaseUntil, now)
	}
}

// Drain excludes a target from new work, known or not.
func (g *Registry) Drain(id string) {
	g.drained[id] = true
	if r := g.records[id]; r != nil {
		r.drained = true
	}
}

// Undrain admits a target again.
func (g *Registry) Undrain(id string) {
	delete(g.drained, id)
	if r := g.records[id]; r != nil {
		r.drained = false
	}
}

// Drained returns the drained targets, sorted.
func (g *Registry) Drained() []string {
	ids := make([]string, 0, len(g.drained))
	for id := range g.drained {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// CacheEvents applies cache events of one incarnation.
func (g *Registry) CacheEvents(now time.Duration, id, incarnation string, events []CacheEvent) error {
	r := g.records[id]
	if r == nil || r.last.Incarnation != incarnation {
		return ErrUnknownTarget
	}
	r.cache.add(now, events)
	return nil
}

// Candidates returns the usable targets of a service that have the model,
// sorted by id. Targets that name no models, like plain services, match any.
func (g *Registry) Candidates(now time.Duration, service, model, program string) []View {
	return g.AppendCandidates(make([]View, 0, len(g.services[service])), now, service, model, program)
}

// AppendCandidates is Candidates into the caller's memory, which must be empty.
func (g *Registry) AppendCandidates(views []View, now time.Duration, service, model, program string) []View {
	for _, r := range g.services[service] {
		if r.usable(now) && r.serves(model) {
			views = append(views, View{})
			r.fill(&views[len(views)-1], now)
		}
	}
	for _, r := range g.holders[program] {
		if at, found := slices.BinarySearchFunc(views, r.last.ID, compareViewID); found {
			views[at].CachedTokens = r.cache.expected(program)
		}
	}
	return views
}

func compareViewID(v View, id string) int { return strings.Compare(v.ID, id) }

func (r *record) usable(now time.Duration) bool {
	return now < r.leaseUntil && !r.last.Leaving && !r.drained
}

func (r *record) serves(model string) bool {
	return model == "" || len(r.last.Models) == 0 || slices.Contains(r.last.Models, model)
}

// fill writes the record into a view, except for the program's prefix.
func (r *record) fill(v *View, now time.Duration) {
	a := &r.last
	v.ID, v.Incarnation, v.Kind, v.Service, v.Address = a.ID, a.Incarnation, a.Kind, a.Service, a.Address
	v.DataCentre, v.Role, v.Fencing = a.DataCentre, a.Role, a.Fencing
	v.Load, v.ReportAge = r.load, now-r.reportAt
	v.Outstanding, v.OutstandingTokens = r.work.total()
	v.CacheAge = r.cache.age(now)
	v.Suspect, v.Usable, v.Leaving, v.Drained = now < r.suspectUntil, r.usable(now), a.Leaving, r.drained
}

// Find returns the view of one target, usable or not.
func (g *Registry) Find(now time.Duration, id string) (View, bool) {
	r := g.records[id]
	if r == nil {
		return View{}, false
	}
	var v View
	r.fill(&v, now)
	return v, true
}

// All returns the views of all known targets, sorted by service and id.
func (g *Registry) All(now time.Duration) []View {
	views := make([]View, 0, len(g.records))
	for _, r := range g.records {
		views = append(views, View{})
		r.fill(&views[len(views)-1], now)
	}
	slices.SortFunc(views, func(a, b View) int {
		if c := strings.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	return views
}

// Holders returns the targets that reported a prefix of the program, sorted.
func (g *Registry) Holders(program string) []string {
	ids := make([]string, 0, len(g.holders[program]))
	for _, r := range g.holders[program] {
		ids = append(ids, r.last.ID)
	}
	slices.Sort(ids)
	return ids
}

// Dispatched counts a request that was sent to the target.
func (g *Registry) Dispatched(now time.Duration, id string, tokens int64) {
	if r := g.records[id]; r != nil {
		r.work.add(now, tokens)
	}
}

// Completed settles a dispatch. A load shows that the target answered: it
// replaces the report and ends suspicion.
func (g *Registry) Completed(now time.Duration, id string, tokens int64, load *Load) {
	r := g.records[id]
	if r == nil {
		return
	}
	r.work.remove(tokens)
	if load == nil || load.validate() != nil {
		return
	}
	r.answerAt, r.fromAnswer = now, true
	r.report(now, now, *load)
	r.failures, r.suspectUntil = 0, 0
}

// Failed makes a target suspect. It settles no dispatch; later reports do.
func (g *Registry) Failed(now time.Duration, id string) {
	r := g.records[id]
	if r == nil {
		return
	}
	if now-r.lastFailure > failureMemory {
		r.failures = 0
	}
	suspicion := maxSuspicion
	if shifted := firstSuspicion << min(r.failures, 16); shifted < maxSuspicion {
		suspicion = shifted
	}
	r.failures++
	r.lastFailure, r.suspectUntil = now, now+suspicion
}

// Expire returns the targets whose lease has lapsed since the last call and
// forgets those that lapsed long ago.
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
			g.unindex(r)
			r.cache.clear()
			delete(g.records, id)
		}
	}
	slices.Sort(lapsed)
	return lapsed
}
