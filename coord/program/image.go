package program

import (
	"cmp"
	"slices"
	"time"

	"hemlockvale.dev/coord/fleet"
)

// Image is the copy of one program, or of the crash suspects.
type Image struct {
	Ref         Ref           `json:"ref"`
	Generation  uint64        `json:"generation"`
	Applied     uint64        `json:"applied"`
	Budget      fleet.Budget  `json:"budget"`
	Calls       int64         `json:"calls,omitempty"`
	Tokens      int64         `json:"tokens,omitempty"`
	Reserved    int64         `json:"reserved,omitempty"`
	FirstCall   time.Duration `json:"first_call,omitempty"`
	LastActive  time.Duration `json:"last_active,omitempty"`
	IdleTimeout time.Duration `json:"idle_timeout,omitempty"`
	KeepUntil   time.Duration `json:"keep_until,omitempty"`
	Head        uint64        `json:"head,omitempty"`
	History     []byte        `json:"history,omitempty"`
	Targets     []string      `json:"targets,omitempty"`
	LastCall    LastCall      `json:"last_call,omitzero"`
	Running     *Running      `json:"running,omitempty"`
	Records     []callRecord  `json:"records,omitempty"`
	Settled     settledCall   `json:"settled,omitzero"`
	Children    int           `json:"children,omitempty"`
	Ended       bool          `json:"ended,omitempty"`
	EndedAt     time.Duration `json:"ended_at,omitempty"`
	Release     uint64        `json:"release,omitempty"`
	Releasing   []string      `json:"releasing,omitempty"`
}

// SuspectImage is the copy of one crash suspect.
type SuspectImage struct {
	Organisation string        `json:"organisation"`
	Fingerprint  uint64        `json:"fingerprint"`
	Applied      uint64        `json:"applied"`
	Targets      []string      `json:"targets,omitempty"`
	Last         time.Duration `json:"last,omitempty"`
	Cleared      bool          `json:"cleared,omitempty"`
}

// Refs returns the identities of all programs in a fixed order.
func (t *Table) Refs() []Ref {
	refs := make([]Ref, 0, len(t.programs))
	for r := range t.programs {
		refs = append(refs, r)
	}
	slices.SortFunc(refs, func(a, b Ref) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.ID, b.ID))
	})
	return refs
}

// imageOverhead is the approximate size of an image besides its history and responses.
const imageOverhead = 512

// Export returns the copies of the first programs of refs, until they reach
// limit bytes, and how many of refs they cover. Programs that no longer exist are left out.
func (t *Table) Export(refs []Ref, limit int) (images []Image, covered int) {
	size := 0
	for _, r := range refs {
		covered++
		p := t.programs[r]
		if p == nil {
			continue
		}
		images = append(images, p.image())
		size += imageOverhead + len(p.history)
		for _, c := range p.records {
			if c.Response != nil {
				size += len(c.Response.Body)
			}
		}
		if size >= limit {
			break
		}
	}
	return images, covered
}

// image returns a copy that shares no memory with the program.
func (p *Program) image() Image {
	i := Image{
		Ref: p.ref, Generation: p.generation, Applied: p.applied, Budget: p.budget, Calls: p.calls, Tokens: p.tokens,
		Reserved: p.reserved, FirstCall: p.firstCall, LastActive: p.lastActive, IdleTimeout: p.idleTimeout,
		KeepUntil: p.keepUntil, Head: p.head, History: slices.Clone(p.history), Targets: slices.Clone(p.targets), LastCall: p.lastCall,
		Settled: p.settled, Children: p.children, Ended: p.ended, EndedAt: p.endedAt,
		Release: p.release, Releasing: slices.Clone(p.releasing),
	}
	if p.running != nil {
		running := *p.running
		i.Running = &running
	}
	for _, c := range p.records {
		i.Records = append(i.Records, *c)
	}
	return i
}

// Import adds copied programs and suspects; it takes over their memory.
func (t *Table) Import(images []Image, suspects []SuspectImage) {
	for _, i := range images {
		p := &Program{
			ref: i.Ref, generation: i.Generation, applied: i.Applied, budget: i.Budget, calls: i.Calls, tokens: i.Tokens,
			reserved: i.Reserved, firstCall: i.FirstCall, lastActive: i.LastActive, idleTimeout: i.IdleTimeout,
			keepUntil: i.KeepUntil, head: i.Head, history: i.History, targets: i.Targets, lastCall: i.LastCall, running: i.Running,
			settled: i.Settled, children: i.Children, ended: i.Ended, endedAt: i.EndedAt,
			release: i.Release, releasing: i.Releasing,
		}
		for _, c := range i.Records {
			p.records = append(p.records, &c)
		}
		t.insert(p)
	}
	for _, s := range suspects {
		t.suspects[suspectKey{t.intern(s.Organisation), s.Fingerprint}] = &suspect{
			applied: s.Applied, targets: s.Targets, last: s.Last, cleared: s.Cleared,
		}
	}
}

// ExportSuspects returns the copies of all crash suspects.
func (t *Table) ExportSuspects() []SuspectImage {
	var out []SuspectImage
	for k, s := range t.suspects {
		out = append(out, SuspectImage{
			Organisation: k.organisation, Fingerprint: k.fingerprint, Applied: s.applied,
			Targets: slices.Clone(s.targets), Last: s.last, Cleared: s.cleared,
		})
	}
	return out
}
