package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/voters"
)

// TestStandbysAreForgotten guards against a place in the group that is given to a replica which has
// stopped asking for one, and against requests that fill the memory.
func TestStandbysAreForgotten(t *testing.T) {
	var l standbyList
	now := time.Now()
	voter := func(name string) Voter { return Voter{ReplicaID{Name: name, Storage: "1"}, name + ":1"} }
	l.record(voter("a"), now)
	l.record(voter("b"), now.Add(joinInterval))
	asked := l.recent(now.Add(joinInterval))
	require.Len(t, asked, 2)
	assert.Equal(t, "b", asked[0].Name, "the one that asked last comes first")
	asked = l.recent(now.Add(standbyAge))
	require.Len(t, asked, 1)
	assert.Equal(t, "b", asked[0].Name)
	for i := range 2 * maxStandbys {
		l.record(voter(string(rune('A'+i))), now.Add(joinInterval))
	}
	assert.Len(t, l.asked, maxStandbys)
	l.record(voter("late"), now.Add(3*standbyAge))
	assert.Len(t, l.asked, 1)
}

// TestGoneVoterIsReplacedAndLeaderRetires guards against a replica that stays a voter although its
// VM is gone and another one has its place, and against one that is retired while the dead one is
// counted as remaining, or is added again afterwards.
func TestGoneVoterIsReplacedAndLeaderRetires(t *testing.T) {
	c := newCluster(t, "a", "b", "c").startAll()
	c.propose("one")
	c.joining = map[string]bool{"d": true, "e": true}
	for name := range c.joining {
		c.peers[name] = c.reserveAddress()
		c.start(name)
	}
	retired := make(map[string]bool)
	addresses := func() (all []string) {
		for _, address := range c.peers {
			all = append(all, address)
		}
		return all
	}
	known := addresses()
	maintain := func() {
		for _, r := range c.running {
			go r.MaintainMembership(t.Context(), MembershipPolicy{
				Policy:         voters.Policy{MinVoters: 3, MaxVoters: 3, Retired: func(storage string) bool { return c.isSet(retired, storage) }},
				KnownAddresses: func() []string { return known },
			})
		}
	}
	maintain()
	isVoter := func(name string) bool {
		_, leader := c.leader()
		for _, m := range leader.Describe().Members {
			if m.Name == name && !m.Learner {
				return true
			}
		}
		return false
	}
	leaderName, leader := c.leader()
	gone := "a"
	if leaderName == gone {
		gone = "b"
	}
	c.stop(gone)
	// The leader knows by then that the voter does not respond.
	time.Sleep(voters.DefaultDeadAfter / 4)
	storage := leader.Self().Storage
	c.setFlag(retired, storage, true)
	c.eventually("the retirement of "+leaderName, func() bool {
		_, current := c.leader()
		done, err := current.Retire(t.Context(), storage)
		return err == nil && done && current.Self().Storage != storage
	})
	assert.False(t, isVoter(gone), "the dead voter would make the majority larger")
	_, current := c.leader()
	assert.Len(t, current.Describe().Members, 3)
	// It asks to be added again meanwhile.
	time.Sleep(standbyAge)
	assert.False(t, isVoter(leaderName), "it is retired")
	c.propose("two")
}
