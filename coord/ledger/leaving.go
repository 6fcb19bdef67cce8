package ledger

import "hemlockvale.dev/coord/catalog"

// maxLeaving bounds the leaving targets that are remembered.
const maxLeaving = 4096

// LeavingTargets holds the incarnations of targets that have stated that they leave. The
// oldest are forgotten first. The zero value holds none; it is not safe for concurrent use.
type LeavingTargets struct {
	known map[catalog.Incarnation]bool
	// order holds the incarnations, the oldest first.
	order []catalog.Incarnation
}

// NewLeavingTargets returns a set with the incarnations of a list, the oldest first.
func NewLeavingTargets(list []catalog.Incarnation) LeavingTargets {
	l := LeavingTargets{}
	for _, i := range list {
		l.Add(i)
	}
	return l
}

// Add stores an incarnation and reports whether it is new.
func (l *LeavingTargets) Add(i catalog.Incarnation) bool {
	if l.known[i] {
		return false
	}
	if l.known == nil {
		l.known = make(map[catalog.Incarnation]bool)
	}
	if len(l.order) >= maxLeaving {
		delete(l.known, l.order[0])
		l.order = l.order[1:]
	}
	l.known[i] = true
	l.order = append(l.order, i)
	return true
}

// Has reports whether an incarnation has stated that it leaves.
func (l *LeavingTargets) Has(i catalog.Incarnation) bool { return l.known[i] }

// List returns the incarnations, the oldest first. The caller must not change it.
func (l *LeavingTargets) List() []catalog.Incarnation { return l.order }
