package raft

import (
	"testing"
	"time"
)

// benchmarkT adapts testing.B to testingT.
type benchmarkT struct{ *testing.B }

// BenchmarkProposeAppend measures one proposal on the leader of three voters,
// its append on a follower and the response that commits it.
func BenchmarkProposeAppend(b *testing.B) {
	s := newSimulation(benchmarkT{b}, 1, Config{CompactAfter: 1 << 40}, "a", "b", "c")
	s.bootstrap("a", "b", "c")
	s.run(5*time.Second, func() bool { return s.leader() != nil && s.leader().node.Commit() > InitialIndex })
	leader := s.leader()
	follower := s.replicas[0]
	if follower == leader {
		follower = s.replicas[1]
	}
	data := make([]byte, 256)
	now := s.now
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		for _, e := range leader.node.Step(now, Propose{Token: 1, Data: data}) {
			deliver(now, e, follower.node, leader.node)
		}
		if leader.node.log.lastIndex()%4096 == 0 {
			compactAll(now, leader.node, follower.node)
		}
	}
	if leader.node.Commit() != leader.node.log.lastIndex() {
		b.Fatalf("commit index %d, last index %d", leader.node.Commit(), leader.node.log.lastIndex())
	}
}

// deliver passes a Send effect to the receiver and the responses back to the
// sender until no response follows. Other effects and recipients are ignored.
func deliver(now time.Duration, e Effect, receiver, sender *Node) {
	send, ok := e.(Send)
	if !ok || send.Message.To != receiver.cfg.ID {
		return
	}
	for _, response := range receiver.Step(now, Receive(send)) {
		deliver(now, response, sender, receiver)
	}
}

// compactAll compacts the logs so that a long benchmark uses bounded memory.
func compactAll(now time.Duration, nodes ...*Node) {
	for _, n := range nodes {
		n.Step(now, SnapshotTaken{Index: n.Commit()})
	}
}
