package raft

import (
	"testing"
	"time"
)

// discard is a testingT for benchmarks.
type discard struct{ *testing.B }

// BenchmarkProposeAppend measures one proposal on the leader of three voters,
// its append on a follower and the answer that commits it.
func BenchmarkProposeAppend(b *testing.B) {
	s := newSimulation(discard{b}, 1, Config{CompactAfter: 1 << 40}, "a", "b", "c")
	s.form("a", "b", "c")
	s.run(5*time.Second, func() bool { return s.leader() != nil && s.leader().node.Commit() > InitialIndex })
	lead := s.leader()
	follower := s.replicas[0]
	if follower == lead {
		follower = s.replicas[1]
	}
	data := make([]byte, 256)
	now := s.now
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		for _, e := range lead.node.Step(now, Propose{Token: 1, Data: data}) {
			deliver(now, e, follower.node, lead.node)
		}
		if lead.node.log.lastIndex()%4096 == 0 {
			compactBoth(now, lead.node, follower.node)
		}
	}
	if lead.node.Commit() != lead.node.log.lastIndex() {
		b.Fatalf("commit index %d, last index %d", lead.node.Commit(), lead.node.log.lastIndex())
	}
}

func deliver(now time.Duration, e Effect, to, back *Node) {
	send, ok := e.(Send)
	if !ok || send.Message.To != to.cfg.ID {
		return
	}
	for _, answer := range to.Step(now, Receive(send)) {
		deliver(now, answer, back, to)
	}
}

// compactBoth keeps the memory of a long benchmark bounded.
func compactBoth(now time.Duration, nodes ...*Node) {
	for _, n := range nodes {
		n.Step(now, SnapshotTaken{Index: n.Commit()})
	}
}
