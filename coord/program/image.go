package program

import (
	"cmp"
	"slices"
	"time"

	"hemlockvale.dev/coord/fleet"
)

// Image is a copy of the state of one program, for the transfer to another replica.
type Image struct {
	// Ref identifies the program.
	Ref Ref `json:"ref"`
	// Generation is the index of the record that started the current generation.
	Generation uint64 `json:"generation"`
	// Applied is the index of the last record that changed the program.
	Applied uint64 `json:"applied"`
	// Budget is the budget that the last call set.
	Budget fleet.Budget `json:"budget"`
	// Calls is the number of calls charged to the current generation.
	Calls int64 `json:"calls,omitempty"`
	// Tokens is the number of tokens charged for settled calls.
	Tokens int64 `json:"tokens,omitempty"`
	// Reserved is the number of tokens reserved for running calls.
	Reserved int64 `json:"reserved,omitempty"`
	// FirstCall is the shard time of the first call of the current generation.
	FirstCall time.Duration `json:"first_call,omitempty"`
	// LastActive is the shard time at which a call was last started or settled.
	LastActive time.Duration `json:"last_active,omitempty"`
	// IdleTimeout is the time without calls after which the program ends.
	IdleTimeout time.Duration `json:"idle_timeout,omitempty"`
	// KeepUntil is the latest end of a resend window, in shard time.
	KeepUntil time.Duration `json:"keep_until,omitempty"`
	// Head is the hash of the messages through the last answer.
	Head uint64 `json:"head,omitempty"`
	// History is the recorded history of the current generation.
	History []byte `json:"history,omitempty"`
	// Targets are the ids of the targets that may hold cached tokens of the program.
	Targets []string `json:"targets,omitempty"`
	// LastCall is the last completed call that ran on a target.
	LastCall LastCall `json:"last_call,omitzero"`
	// Running is the running call; nil if there is none.
	Running *Running `json:"running,omitempty"`
	// Records are the at-most-once records.
	Records []callRecord `json:"records,omitempty"`
	// LastSettled is the last settled call.
	LastSettled settledCall `json:"settled,omitzero"`
	// SubAgentCalls is the number of running calls of sub-agents that are charged to the
	// current generation.
	SubAgentCalls int `json:"children,omitempty"`
	// Ended is set if the program has ended.
	Ended bool `json:"ended,omitempty"`
	// EndedAt is the shard time at which the program ended.
	EndedAt time.Duration `json:"ended_at,omitempty"`
	// ReleaseID is the ID of the pending Release; 0 if there is none.
	ReleaseID uint64 `json:"release,omitempty"`
	// Releasing are the ids of the targets of the pending Release.
	Releasing []string `json:"releasing,omitempty"`
}

// SuspectImage is a copy of one crash suspect, for the transfer to another replica.
type SuspectImage struct {
	// Organisation is the id of the organisation that made the request.
	Organisation string `json:"organisation"`
	// Fingerprint is the hash of the request's route and body.
	Fingerprint uint64 `json:"fingerprint"`
	// Applied is the index of the last record that changed the suspect.
	Applied uint64 `json:"applied"`
	// Targets are the ids of the targets that failed while they ran the request.
	Targets []string `json:"targets,omitempty"`
	// LastCrash is the shard time of the last crash, or of its clearing.
	LastCrash time.Duration `json:"last,omitempty"`
	// Cleared is set if the suspicion was removed.
	Cleared bool `json:"cleared,omitempty"`
}

// Refs returns the identities of all programs, sorted by organisation and id.
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

// imageOverhead is the approximate size of an image in bytes, without its history
// and stored responses.
const imageOverhead = 512

// Export returns images of the first programs in refs and the number of refs that they
// cover. It stops after the program with which the approximate size of the images
// reaches limit bytes, and skips programs that no longer exist.
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

// image returns a copy of the program's state that shares no memory with it, except
// for stored responses, which are never modified.
func (p *Program) image() Image {
	img := Image{
		Ref: p.ref, Generation: p.generation, Applied: p.applied, Budget: p.budget, Calls: p.calls, Tokens: p.tokens,
		Reserved: p.reserved, FirstCall: p.firstCall, LastActive: p.lastActive, IdleTimeout: p.idleTimeout,
		KeepUntil: p.keepUntil, Head: p.head, History: slices.Clone(p.history), Targets: slices.Clone(p.targets), LastCall: p.lastCall,
		LastSettled: p.lastSettled, SubAgentCalls: p.subAgentCalls, Ended: p.ended, EndedAt: p.endedAt,
		ReleaseID: p.releaseID, Releasing: slices.Clone(p.releasing),
	}
	if p.running != nil {
		running := *p.running
		img.Running = &running
	}
	for _, c := range p.records {
		img.Records = append(img.Records, *c)
	}
	return img
}

// Import adds copied programs and suspects to the table. It keeps references to
// their memory, so the caller must not modify them afterwards.
func (t *Table) Import(images []Image, suspects []SuspectImage) {
	for _, img := range images {
		p := &Program{
			ref: img.Ref, generation: img.Generation, applied: img.Applied, budget: img.Budget, calls: img.Calls, tokens: img.Tokens,
			reserved: img.Reserved, firstCall: img.FirstCall, lastActive: img.LastActive, idleTimeout: img.IdleTimeout,
			keepUntil: img.KeepUntil, head: img.Head, history: img.History, targets: img.Targets, lastCall: img.LastCall, running: img.Running,
			lastSettled: img.LastSettled, subAgentCalls: img.SubAgentCalls, ended: img.Ended, endedAt: img.EndedAt,
			releaseID: img.ReleaseID, releasing: img.Releasing,
		}
		for _, c := range img.Records {
			p.records = append(p.records, &c)
		}
		t.insert(p)
	}
	for _, s := range suspects {
		t.suspects[suspectKey{t.intern(s.Organisation), s.Fingerprint}] = &suspect{
			applied: s.Applied, targets: s.Targets, lastCrash: s.LastCrash, cleared: s.Cleared,
		}
	}
}

// ExportSuspects returns copies of all crash suspects.
func (t *Table) ExportSuspects() []SuspectImage {
	var out []SuspectImage
	for k, s := range t.suspects {
		out = append(out, SuspectImage{
			Organisation: k.organisation, Fingerprint: k.fingerprint, Applied: s.applied,
			Targets: slices.Clone(s.targets), LastCrash: s.lastCrash, Cleared: s.cleared,
		})
	}
	return out
}
