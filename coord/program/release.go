package program

import "slices"

// requestRelease makes a release pending for the targets that may hold cached tokens of
// the program, together with those of an unconfirmed release.
func (p *Program) requestRelease(index uint64) {
	if len(p.targets) == 0 {
		return
	}
	for _, id := range p.targets {
		if !slices.Contains(p.releasing, id) {
			p.releasing = append(p.releasing, id)
		}
	}
	p.targets, p.releaseID = nil, index
}

// PendingRelease returns the release that has not been confirmed, if any.
func (p *Program) PendingRelease() (Release, bool) {
	if p.releaseID == 0 {
		return Release{}, false
	}
	return Release{Program: p.ref, Targets: slices.Clone(p.releasing), ID: p.releaseID}, true
}

// applyReleased clears the pending release, unless a later one has replaced it.
func (t *Table) applyReleased(index uint64, r *Released) *Program {
	p := t.programs[r.Program]
	if p == nil || p.applied >= index {
		return p
	}
	p.applied = index
	if p.releaseID == r.ReleaseID {
		p.releaseID, p.releasing = 0, nil
	}
	return p
}
