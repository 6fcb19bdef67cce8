// Package voters decides which replicas vote in a raft group: which standby takes the place of a
// lost voter, when a lost voter is removed, and when one that is being retired may leave.
//
// The leader of the group decides, from what it knows of each member. Silence is counted from the
// leader's election if a member has not responded since, so a new leader starts with no evidence
// about a member: neither that it is lost nor that it is there. It waits for one of the two.
//
// Invariants, while no more voters are lost at once than are tolerated:
//   - A voter is removed only while enough others respond.
//   - A lost voter whose place another one has taken stays for a second at most: it makes the
//     majority larger without being able to belong to it.
//   - A retired replica is never added again.
package voters

import (
	"slices"
	"time"

	"hemlockvale.dev/coord/raft"
)

// DefaultDeadAfter is the default of Policy.DeadAfter. A VM that restarts responds again within
// this time.
const DefaultDeadAfter = 3 * time.Second

// These divide Policy.DeadAfter.
const (
	// standbyDivisor gives the silence of a voter after which a standby takes its place.
	standbyDivisor = 2
	// surplusDivisor gives the silence after which a voter is removed that the group is as safe
	// without.
	surplusDivisor = 3
	// unheardDivisor gives the time after an election in which each voter that is there has
	// responded: six heartbeats with the default.
	unheardDivisor = 5
)

// Member is a member of the group as its leader knows it.
type Member struct {
	raft.Member
	// Silence is the time since the member's last response, or since the election of the leader
	// if it has not responded since.
	Silence time.Duration
	// Heard is set if the member has responded since the election.
	Heard bool
}

// Group is what the leader of a group knows.
type Group struct {
	// Self is the leader. It gets no responses from itself.
	Self raft.ReplicaID
	// Members are the members of the latest configuration, those added first in front.
	Members []Member
	// ChangePending is set while the latest configuration is not known to be committed.
	ChangePending bool
	// Standbys are replicas that have asked recently to be added.
	Standbys []raft.Member
}

// Policy says how many voters a group has.
type Policy struct {
	// MinVoters is the number of responding voters that remain when one is removed. It is twice
	// the number of tolerated losses plus one.
	MinVoters int
	// MaxVoters is the number of members at which no further one is added, not counting those
	// that are lost or retired; 0 means no limit. A replica that has the name of a member replaces
	// it in any case.
	MaxVoters int
	// DeadAfter is the silence after which a member counts as dead.
	DeadAfter time.Duration
	// Retired reports whether the replica with a storage is being retired or has been; nil means
	// that none is.
	Retired func(storage string) bool
}

// Change is a change of the members. One of its fields is set.
type Change struct {
	// Remove is the member to remove, and Add the replica to add.
	Remove raft.ReplicaID
	Add    raft.Member
}

// Next returns the next change to make, and false if there is none, if the last one is not committed or if
// the leader does not hear from a quorum.
func (p Policy) Next(g Group) (Change, bool) {
	if g.ChangePending || p.responding(g, g.Members) < quorumOf(len(votersOf(g.Members))) {
		return Change{}, false
	}
	if id, ok := p.removable(g); ok {
		return Change{Remove: id}, true
	}
	for _, s := range g.Standbys {
		if p.wants(g, s) {
			return Change{Add: s}, true
		}
	}
	return Change{}, false
}

// MayLeave reports whether a member that is being retired may be removed: enough voters respond
// that are to stay, and a quorum of the others is left when as many of them as are tolerated are
// lost.
func (p Policy) MayLeave(g Group, id raft.ReplicaID) bool {
	if g.ChangePending {
		return false
	}
	rest := without(g.Members, id)
	if len(rest) == len(g.Members) || isLearner(g.Members, id) {
		return true
	}
	staying := slices.DeleteFunc(slices.Clone(rest), p.isRetired)
	tolerated := (p.MinVoters - 1) / 2
	return p.responding(g, staying) >= p.MinVoters && p.responding(g, rest)-tolerated >= quorumOf(len(votersOf(rest)))
}

// removable returns a member to remove: a learner that is dead or retired, the voter that has been
// silent for the longest time, if enough others respond, or one that is retired and may leave.
func (p Policy) removable(g Group) (raft.ReplicaID, bool) {
	for _, m := range g.Members {
		if m.Learner && (m.Silence > p.DeadAfter || p.isRetired(m)) {
			return m.ReplicaID, true
		}
	}
	if id, ok := p.lost(g); ok {
		return id, true
	}
	for _, m := range votersOf(g.Members) {
		if m.ReplicaID != g.Self && p.isRetired(m) && p.MayLeave(g, m.ReplicaID) {
			return m.ReplicaID, true
		}
	}
	return raft.ReplicaID{}, false
}

// lost returns the voter to remove that has been silent for the longest time.
func (p Policy) lost(g Group) (raft.ReplicaID, bool) {
	var lost Member
	for _, m := range votersOf(g.Members) {
		if m.ReplicaID == g.Self || m.Silence <= p.patience(g, m) || m.Silence <= lost.Silence {
			continue
		}
		if p.replaced(g, m) || p.responding(g, without(g.Members, m.ReplicaID)) >= p.MinVoters {
			lost = m
		}
	}
	return lost.ReplicaID, !lost.IsZero()
}

// patience returns the silence after which a voter may be removed. One whose place has been taken,
// or that the group would be no less safe without, need not be waited for.
func (p Policy) patience(g Group, m Member) time.Duration {
	switch {
	case !p.replaced(g, m) && !p.hasSurplus(g):
		return p.DeadAfter
	case m.Heard:
		return p.DeadAfter / surplusDivisor
	}
	return p.DeadAfter / unheardDivisor
}

// hasSurplus reports whether the group is as safe with one voter less: it has more than it is to
// have, or an even number of voters, which bears no more losses than one less. Retired voters, which
// leave, don't count.
func (p Policy) hasSurplus(g Group) bool {
	staying := len(slices.DeleteFunc(votersOf(g.Members), p.isRetired))
	return staying%2 == 0 || p.MaxVoters != 0 && staying > p.MaxVoters
}

// replaced reports whether a later voter has the name of a voter: its VM has a new disk.
func (p Policy) replaced(g Group, m Member) bool {
	voters := votersOf(g.Members)
	later := voters[slices.IndexFunc(voters, func(v Member) bool { return v.ReplicaID == m.ReplicaID })+1:]
	return slices.ContainsFunc(later, func(v Member) bool { return v.Name == m.Name })
}

// wants reports whether a standby is to be added: it replaces a member of the same name, or fewer
// than MaxVoters members are there.
func (p Policy) wants(g Group, s raft.Member) bool {
	if p.Retired != nil && p.Retired(s.Storage) {
		return false
	}
	there := 0
	for _, m := range g.Members {
		switch {
		case m.ReplicaID == s.ReplicaID || m.Learner:
			// A learner has to become a voter before the next one is added.
			return false
		case m.Name == s.Name:
			return true
		case !p.missing(g, m) && !p.isRetired(m):
			there++
		}
	}
	return p.MaxVoters == 0 || there < p.MaxVoters
}

// missing reports whether a member is known not to respond.
func (p Policy) missing(g Group, m Member) bool {
	switch {
	case m.ReplicaID == g.Self:
		return false
	case m.Heard:
		return m.Silence > p.DeadAfter/standbyDivisor
	}
	return m.Silence > p.DeadAfter/unheardDivisor
}

// responding counts the voters among some members that are known to respond.
func (p Policy) responding(g Group, members []Member) int {
	n := 0
	for _, m := range votersOf(members) {
		if m.ReplicaID == g.Self || m.Heard && m.Silence <= p.DeadAfter/unheardDivisor {
			n++
		}
	}
	return n
}

func (p Policy) isRetired(m Member) bool { return p.Retired != nil && p.Retired(m.Storage) }

// votersOf returns the members that vote.
func votersOf(members []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Learner })
}

func without(members []Member, id raft.ReplicaID) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ReplicaID == id })
}

func isLearner(members []Member, id raft.ReplicaID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ReplicaID == id && m.Learner })
}

// quorumOf returns the number of voters that form a majority.
func quorumOf(voters int) int { return voters/2 + 1 }
