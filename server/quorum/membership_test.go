package quorum

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func member(name, storage string, sinceLastContactMS int64, learner bool) MemberDescription {
	return MemberDescription{Voter: Voter{ReplicaID: ReplicaID{Name: name, Storage: storage}}, SinceLastContactMS: sinceLastContactMS, Learner: learner}
}

// TestRemovable guards against a cluster that keeps a dead voter after its replacement
// has joined, so that the next loss costs it the majority, and against removals that
// leave too few voters.
func TestRemovable(t *testing.T) {
	self := member("a", "1", 60_000, false)
	cases := []struct {
		name    string
		members []MemberDescription
		want    ReplicaID
	}{
		{"a dead voter is removed although the leader has no contact with itself", []MemberDescription{self, member("b", "1", 9000, false), member("c", "1", 10, false), member("d", "1", 10, false)}, ReplicaID{Name: "b", Storage: "1"}},
		{"a dead voter is kept if too few voters would remain", []MemberDescription{self, member("b", "1", 9000, false), member("c", "1", 10, false)}, ReplicaID{}},
		{"a restarting voter is kept", []MemberDescription{self, member("b", "1", 2000, false), member("c", "1", 10, false), member("d", "1", 10, false)}, ReplicaID{}},
		{"a voter is removed after a replica with the same name and a new disk has replaced it", []MemberDescription{self, member("b", "1", 2000, false), member("c", "1", 10, false), member("b", "2", 10, false)}, ReplicaID{Name: "b", Storage: "1"}},
		{"a dead learner is removed, so that it does not block other changes", []MemberDescription{self, member("b", "1", 10, false), member("c", "1", 10, false), member("d", "1", 5000, true)}, ReplicaID{Name: "d", Storage: "1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, _ := findRemovable(c.members, self.ReplicaID, MembershipPolicy{MinVoters: 3, DeadAfter: DefaultDeadAfter})
			assert.Equal(t, c.want, got)
		})
	}
}

// TestLearnersDoNotReplaceARetiredVoter guards against the removal of a voter while the
// replica that takes its place has not caught up.
func TestLearnersDoNotReplaceARetiredVoter(t *testing.T) {
	at := func(address string, learner bool) MemberDescription {
		return MemberDescription{Voter: Voter{Address: address}, Learner: learner}
	}
	assert.Equal(t, 2, votersWithout([]MemberDescription{at("a", false), at("b", false), at("c", false), at("d", true)}, "a"))
	assert.Equal(t, 3, votersWithout([]MemberDescription{at("a", false), at("b", false), at("c", false), at("d", false)}, "a"))
	assert.Equal(t, 3, votersWithout([]MemberDescription{at("a", false), at("b", false), at("c", false), at("d", true)}, "d"))
}
