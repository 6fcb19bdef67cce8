package quarantine

import (
	"slices"
	"time"

	"hemlockvale.dev/coord/catalog"
)

const (
	// LossRetention is how long after a lost response the end of its target counts as its
	// consequence. A target that has ended is back some seconds later.
	LossRetention = 20 * time.Second
	// maxLosses and maxLossesPerOrganisation bound the lost responses that are remembered.
	maxLosses                = 4096
	maxLossesPerOrganisation = 512
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
	// evidence is that of the crash which was recorded for the loss; empty if none was.
	evidence Evidence
}

// losses holds the latest lost responses.
type losses struct {
	byIncarnation map[catalog.Incarnation][]*loss
	// order holds all of them, the oldest report first, and perOrganisation counts them.
	order           []*loss
	perOrganisation map[string]int
}

func newLosses() losses {
	return losses{byIncarnation: make(map[catalog.Incarnation][]*loss), perOrganisation: make(map[string]int)}
}

// of returns the losses at an incarnation, the oldest report first.
func (s *losses) of(i catalog.Incarnation) []*loss { return s.byIncarnation[i] }

// add remembers a loss, unless it is known. Of several runs of a content at one target, the
// latest is remembered.
func (s *losses) add(l *loss) {
	list := s.byIncarnation[l.Incarnation]
	if n := slices.IndexFunc(list, func(known *loss) bool { return known.Content == l.Content }); n >= 0 {
		if l.from < list[n].to {
			return
		}
		s.drop(list[n])
	}
	s.makeRoom(l.Organisation)
	s.byIncarnation[l.Incarnation] = append(s.byIncarnation[l.Incarnation], l)
	s.order = append(s.order, l)
	s.perOrganisation[l.Organisation]++
}

// makeRoom drops the oldest loss if the limits allow no further one of an organisation: one
// of the same organisation if that has reached its own limit, and otherwise any.
func (s *losses) makeRoom(organisation string) {
	full := s.perOrganisation[organisation] >= maxLossesPerOrganisation
	if !full && len(s.order) < maxLosses {
		return
	}
	s.drop(s.order[slices.IndexFunc(s.order, func(l *loss) bool { return !full || l.Organisation == organisation })])
}

// drop forgets a loss.
func (s *losses) drop(l *loss) {
	n := slices.Index(s.order, l)
	s.order = slices.Delete(s.order, n, n+1)
	s.unlink(l)
}

// unlink forgets a loss except for its place in the order.
func (s *losses) unlink(l *loss) {
	i := l.Incarnation
	s.byIncarnation[i] = slices.DeleteFunc(s.byIncarnation[i], func(other *loss) bool { return other == l })
	if len(s.byIncarnation[i]) == 0 {
		delete(s.byIncarnation, i)
	}
	s.perOrganisation[l.Organisation]--
	if s.perOrganisation[l.Organisation] == 0 {
		delete(s.perOrganisation, l.Organisation)
	}
}

// forget drops the losses at an incarnation.
func (s *losses) forget(i catalog.Incarnation) {
	s.dropIf(func(l *loss) bool { return l.Incarnation == i })
}

// expire drops the losses before a time.
func (s *losses) expire(before time.Duration) {
	s.dropIf(func(l *loss) bool { return l.to < before })
}

func (s *losses) dropIf(isDropped func(*loss) bool) {
	for _, l := range s.order {
		if isDropped(l) {
			s.unlink(l)
		}
	}
	s.order = slices.DeleteFunc(s.order, isDropped)
}
