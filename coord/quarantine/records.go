// Package quarantine holds back requests that end the targets which run them. Callers send
// such a request again under new ids, so it is identified by its content.
//
// Detector decides whether a target has ended while it ran a request. Records is the
// replicated memory of what has been decided. Neither has I/O or a clock, and neither is
// safe for concurrent use.
//
// Invariants:
//   - A lost response alone, or the word of VMs that serve callers, never counts as the end
//     of a target: it takes the detector's own check, or the later incarnation of the target.
//   - Each incarnation of a target counts once for a content.
//   - A content that is held back is forgotten last, and of the others first one of the
//     organisation that has most suspects.
package quarantine

import (
	"cmp"
	"slices"

	"hemlockvale.dev/coord/catalog"
)

const (
	// Threshold is the number of targets that a content must have ended to be held back.
	Threshold = 3
	// maxCompletionsPerCrash is the number of complete runs for each ended target above
	// which a content is sound: other requests have ended its targets.
	maxCompletionsPerCrash = 3
	// RetentionSeconds is how long a content is suspect after its latest crash.
	RetentionSeconds = 600
	// failureSpanMS is the time in milliseconds within which the targets end that fail for the
	// same reason.
	failureSpanMS = 250
	// maxCrashes bounds the crashes that are recorded for one content.
	maxCrashes = 8
	// maxPerOrganisation and maxSuspects bound the suspects.
	maxPerOrganisation = 512
	maxSuspects        = 4096
)

// Content identifies requests with the same content of one organisation.
type Content struct {
	// Organisation is the sender; empty on public routes.
	Organisation string `json:"organisation"`
	// Fingerprint is a hash of the request.
	Fingerprint uint64 `json:"fingerprint"`
}

// Crash is the end of a target while it ran a request.
type Crash struct {
	Content
	catalog.Incarnation
	// FromUnixMS and ToUnixMS are when the run began and when its response was lost, in
	// Unix milliseconds.
	FromUnixMS int64 `json:"from"`
	ToUnixMS   int64 `json:"to"`
	// EndKnown is set if the target ended at ToUnixMS. Otherwise it had been silent for some
	// time by then.
	EndKnown bool `json:"end_known,omitempty"`
	// Evidence says how the end is known, for logs.
	Evidence Evidence `json:"evidence"`
}

// Change is a replicated change of the records. Exactly one field is set.
type Change struct {
	// Crash records a crash.
	Crash *Crash `json:"c,omitempty"`
	// Alive revokes the crashes of an incarnation that has been seen alive afterwards.
	Alive *catalog.Incarnation `json:"a,omitempty"`
	// Completed counts a complete run of a suspect content.
	Completed *Content `json:"d,omitempty"`
	// Clear forgets a content at an operator's request.
	Clear *Content `json:"x,omitempty"`
}

// Suspect is a content with the targets that ended while they ran it.
type Suspect struct {
	Content
	// Crashes are the targets that ended, the latest last.
	Crashes []Crash `json:"crashes"`
	// Completions is the number of complete runs since the first crash.
	Completions int `json:"completions"`
	// LatestSeconds is the time of the latest crash in Unix seconds.
	LatestSeconds int64 `json:"latest"`
}

// HeldBack reports whether requests with the content are refused.
func (s *Suspect) HeldBack() bool {
	return len(s.Crashes) >= Threshold && s.Completions <= maxCompletionsPerCrash*len(s.Crashes)
}

// Records holds the suspects.
type Records struct {
	suspects map[Content]*Suspect
	// perOrganisation is the number of suspects of each organisation, and blamed that of the
	// recorded crashes of each incarnation.
	perOrganisation map[string]int
	blamed          map[catalog.Incarnation]int
}

// NewRecords returns empty records.
func NewRecords() *Records {
	return &Records{suspects: make(map[Content]*Suspect), perOrganisation: make(map[string]int), blamed: make(map[catalog.Incarnation]int)}
}

// Apply executes a committed change at the time nowSeconds in Unix seconds.
func (r *Records) Apply(nowSeconds int64, c Change) {
	switch {
	case c.Crash != nil:
		r.recordCrash(nowSeconds, *c.Crash)
	case c.Alive != nil:
		r.revoke(*c.Alive)
	case c.Completed != nil:
		r.complete(*c.Completed)
	case c.Clear != nil:
		r.remove(*c.Clear)
	}
}

// sameFailure reports whether another crash counts as the same: that of the same
// incarnation, or one whose run overlaps. A failure of many targets at once meets all runs of
// a content, while a request that ends targets is sent again after its response was lost. Runs
// that overlap but are known to have ended one after the other were ended by the request.
func (c Crash) sameFailure(other Crash) bool {
	if c.Incarnation == other.Incarnation {
		return true
	}
	overlap := c.FromUnixMS < other.ToUnixMS && other.FromUnixMS < c.ToUnixMS
	apart := c.EndKnown && other.EndKnown && max(c.ToUnixMS-other.ToUnixMS, other.ToUnixMS-c.ToUnixMS) > failureSpanMS
	return overlap && !apart
}

// recordCrash adds a crash to its content, unless it is the same failure as another one.
func (r *Records) recordCrash(nowSeconds int64, c Crash) {
	s := r.suspects[c.Content]
	if s == nil {
		s = &Suspect{Content: c.Content}
		r.makeRoom(c.Organisation)
		r.suspects[c.Content] = s
		r.perOrganisation[c.Organisation]++
	}
	if slices.ContainsFunc(s.Crashes, c.sameFailure) {
		return
	}
	s.Crashes = append(s.Crashes, c)
	r.blamed[c.Incarnation]++
	if len(s.Crashes) > maxCrashes {
		r.unblame(s.Crashes[0])
		s.Crashes = s.Crashes[1:]
	}
	s.LatestSeconds = nowSeconds
}

func (r *Records) unblame(c Crash) {
	r.blamed[c.Incarnation]--
	if r.blamed[c.Incarnation] == 0 {
		delete(r.blamed, c.Incarnation)
	}
}

// revoke removes the crashes of an incarnation, and the contents that have no other ones.
func (r *Records) revoke(alive catalog.Incarnation) {
	delete(r.blamed, alive)
	for content, s := range r.suspects {
		s.Crashes = slices.DeleteFunc(s.Crashes, func(c Crash) bool { return c.Incarnation == alive })
		if len(s.Crashes) == 0 {
			r.remove(content)
		}
	}
}

// complete counts a complete run, and forgets the content if it has more of them than a
// request that ends targets has.
func (r *Records) complete(content Content) {
	s := r.suspects[content]
	if s == nil {
		return
	}
	s.Completions++
	if s.Completions > maxCompletionsPerCrash*max(len(s.Crashes), Threshold) {
		r.remove(content)
	}
}

func (r *Records) remove(content Content) {
	s := r.suspects[content]
	if s == nil {
		return
	}
	for _, c := range s.Crashes {
		r.unblame(c)
	}
	delete(r.suspects, content)
	r.perOrganisation[content.Organisation]--
	if r.perOrganisation[content.Organisation] == 0 {
		delete(r.perOrganisation, content.Organisation)
	}
}

// makeRoom removes a suspect if the limits allow no further one of an organisation: one of
// the same organisation if that has reached its own limit, and otherwise any.
func (r *Records) makeRoom(organisation string) {
	full := r.perOrganisation[organisation] >= maxPerOrganisation
	if !full && len(r.suspects) < maxSuspects {
		return
	}
	var least *Suspect
	for content, s := range r.suspects {
		if full && content.Organisation != organisation {
			continue
		}
		if least == nil || r.compareSuspects(s, least) < 0 {
			least = s
		}
	}
	r.remove(least.Content)
}

// compareSuspects orders suspects, those to be forgotten first: those with the fewest
// crashes, of these the ones of the organisation that has most, and of these the oldest.
func (r *Records) compareSuspects(a, b *Suspect) int {
	return cmp.Or(
		cmp.Compare(len(a.Crashes), len(b.Crashes)),
		cmp.Compare(r.perOrganisation[b.Organisation], r.perOrganisation[a.Organisation]),
		cmp.Compare(a.LatestSeconds, b.LatestSeconds),
		compareContents(a.Content, b.Content),
	)
}

func compareContents(a, b Content) int {
	return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

// Expire forgets the contents whose retention has ended.
func (r *Records) Expire(nowSeconds int64) {
	for content, s := range r.suspects {
		if nowSeconds > s.LatestSeconds+RetentionSeconds {
			r.remove(content)
		}
	}
}

// HeldBack reports whether requests with the content are refused.
func (r *Records) HeldBack(content Content) bool {
	s := r.suspects[content]
	return s != nil && s.HeldBack()
}

// Suspects reports whether a content has crashes.
func (r *Records) Suspects(content Content) bool { return r.suspects[content] != nil }

// Blames reports whether a crash of the incarnation before a time in Unix milliseconds is
// recorded.
func (r *Records) Blames(i catalog.Incarnation, beforeUnixMS int64) bool {
	if r.blamed[i] == 0 {
		return false
	}
	isBlamed := func(c Crash) bool { return c.Incarnation == i && c.ToUnixMS < beforeUnixMS }
	for _, s := range r.suspects {
		if slices.ContainsFunc(s.Crashes, isBlamed) {
			return true
		}
	}
	return false
}

// List returns copies of the suspects, ordered by content.
func (r *Records) List() []Suspect {
	list := make([]Suspect, 0, len(r.suspects))
	for _, s := range r.suspects {
		c := *s
		c.Crashes = slices.Clone(s.Crashes)
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Suspect) int { return compareContents(a.Content, b.Content) })
	return list
}

// FromList returns the records that List described.
func FromList(list []Suspect) *Records {
	r := NewRecords()
	for _, s := range list {
		r.suspects[s.Content] = &s
		r.perOrganisation[s.Organisation]++
		for _, c := range s.Crashes {
			r.blamed[c.Incarnation]++
		}
	}
	return r
}
