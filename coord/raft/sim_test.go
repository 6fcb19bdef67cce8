package raft

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// testingT is the subset of *testing.T that the simulation uses.
type testingT interface {
	Fatalf(format string, args ...any)
	Helper()
}

// replica is a simulated process with a disk and a state machine whose state is
// a hash over all applied entries.
type replica struct {
	id      ReplicaID
	node    *Node
	running bool
	paused  bool
	// disk holds the durable state, which survives a crash.
	disk    PersistentState
	applied uint64
	hash    uint64
	inbox   []Event
}

// inFlightMessage is a message that is delivered at the time due.
type inFlightMessage struct {
	due     time.Duration
	message Message
}

// entryID identifies an entry; two entries with the same entryID must be equal.
type entryID struct{ index, term uint64 }

// readBarrier holds the replica that received a read and the highest index that
// was committed before it.
type readBarrier struct {
	id    ReplicaID
	index uint64
}

// simulation runs replicas deterministically from one seed and checks the invariants at every effect.
type simulation struct {
	t     testingT
	seed  uint64
	rand  *rand.Rand
	now   time.Duration
	cfg   Config
	names []string
	// replicas holds all replicas in the order of their creation; diskLost marks those whose disk was lost.
	replicas     []*replica
	diskLost     map[ReplicaID]bool
	inFlight     []inFlightMessage
	blockedLinks map[[2]string]bool
	// loss, duplication and delay are probabilities per message.
	loss, duplication, delay float64
	lastToken                uint64
	// trace, if set, is called for each message that is sent.
	trace func(Message)

	leaders        map[uint64]ReplicaID // by term
	votes          map[string]ReplicaID // by replica and term
	entryContents  map[entryID]string
	historyHashes  map[uint64]uint64 // hash of the entries up to each index
	committedTerms map[uint64]uint64 // term of the entry at each index
	// committedIn maps an index to the term in which a leader committed the
	// entry, which may be later than the entry's own term.
	committedIn           map[uint64]uint64
	reads                 map[uint64]readBarrier
	results               map[uint64]error // result of each completed request, by token
	previousConfiguration Configuration
	maxCommitted          uint64
	counts                map[string]int
}

func newSimulation(t testingT, seed uint64, cfg Config, names ...string) *simulation {
	s := &simulation{
		t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, names: names,
		diskLost: map[ReplicaID]bool{}, blockedLinks: map[[2]string]bool{}, leaders: map[uint64]ReplicaID{}, votes: map[string]ReplicaID{},
		entryContents: map[entryID]string{}, historyHashes: map[uint64]uint64{}, committedTerms: map[uint64]uint64{}, committedIn: map[uint64]uint64{}, reads: map[uint64]readBarrier{},
		results: map[uint64]error{}, counts: map[string]int{},
	}
	return s
}

// fail ends the test with a message that contains the seed and the simulated time.
func (s *simulation) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d at %v: %s", s.seed, s.now, fmt.Sprintf(format, args...))
}

// create starts a replica with an empty disk.
func (s *simulation) create(name string) *replica {
	r := &replica{id: ReplicaID{name, fmt.Sprint("disk", len(s.replicas))}}
	s.replicas = append(s.replicas, r)
	s.start(r)
	return r
}

// bootstrap creates replicas with the given names and makes them the initial voters.
func (s *simulation) bootstrap(names ...string) {
	var c Configuration
	for _, name := range names {
		c.Members = append(c.Members, Member{ReplicaID: s.create(name).id})
	}
	s.previousConfiguration = c
	for _, r := range s.replicas {
		s.step(r, Bootstrap{Configuration: c})
	}
}

// start starts or restarts a replica from its disk.
func (s *simulation) start(r *replica) {
	cfg := s.cfg
	cfg.ID, cfg.Seed = r.id, s.rand.Uint64()
	stored := PersistentState{HardState: r.disk.HardState, Snapshot: r.disk.Snapshot, Entries: slices.Clone(r.disk.Entries)}
	node, restore, err := New(cfg, stored, s.now)
	if err != nil {
		s.fail("restart of %s: %v", r.id, err)
	}
	r.node, r.running, r.paused, r.inbox, r.applied, r.hash = node, true, false, nil, 0, 0
	if restore != nil {
		s.restore(r, restore.Snapshot)
	}
}

// crash stops a replica and drops the messages that it has not processed.
func (s *simulation) crash(r *replica) { r.running, r.inbox = false, nil }

// step processes events as one batch in the order that server/quorum uses: all
// writes first, then the other effects.
func (s *simulation) step(r *replica, events ...Event) { s.stepCrash(r, -1, events...) }

// stepCrash processes a batch like step and crashes the replica before the effect
// with the number crashBefore. The combined write is effect 0; a negative
// number does not crash the replica.
func (s *simulation) stepCrash(r *replica, crashBefore int, events ...Event) {
	var effects []Effect
	for _, ev := range events {
		out := r.node.Step(s.now, ev)
		s.checkPromotion(r, out)
		effects = append(effects, out...)
	}
	if crashBefore == 0 {
		s.crash(r)
		return
	}
	if p, ok := CombinePersist(effects); ok {
		s.persist(r, p)
	}
	if r.disk.HardState != r.node.hardState || r.lastDurableIndex() != r.node.log.lastIndex() {
		s.fail("%s relies on %v and entry %d, but %v and entry %d are durable", r.id, r.node.hardState, r.node.log.lastIndex(), r.disk.HardState, r.lastDurableIndex())
	}
	for _, e := range effects {
		if crashBefore--; crashBefore == 0 {
			s.crash(r)
			return
		}
		s.execute(r, e)
	}
}

// execute executes one effect other than a write.
func (s *simulation) execute(r *replica, e Effect) {
	switch e := e.(type) {
	case Send:
		s.transmit(e.Message)
	case Apply:
		for _, entry := range e.Entries {
			s.apply(r, entry)
		}
	case Restore:
		s.counts["snapshots installed"]++
		s.restore(r, e.Snapshot)
	case TakeSnapshot:
		s.counts["snapshots taken"]++
		data := binary.BigEndian.AppendUint64(make([]byte, 32), r.hash)
		s.step(r, SnapshotTaken{Index: r.applied, Data: data})
	case Accepted:
		s.results[e.Token] = nil
	case Rejected:
		s.results[e.Token] = e.Err
	case ReadReady:
		s.checkRead(r, e)
	case RoleChanged:
		if e.Role == Leader {
			s.checkLeader(r, e.Term)
		}
	}
}

// transmit schedules the delivery of a message, which may be lost, duplicated or delayed.
func (s *simulation) transmit(m Message) {
	if s.trace != nil {
		s.trace(m)
	}
	copies := 1
	if s.rand.Float64() < s.duplication {
		copies = 2
	}
	for range copies {
		if s.rand.Float64() < s.loss {
			continue
		}
		delay := time.Duration(1+s.rand.IntN(3)) * time.Millisecond
		if s.rand.Float64() < s.delay {
			delay = time.Duration(s.rand.IntN(900)) * time.Millisecond
		}
		s.inFlight = append(s.inFlight, inFlightMessage{s.now + delay, m})
	}
}

// advance moves the time forward by d, delivers due messages and ticks every
// replica that is running and not paused.
func (s *simulation) advance(d time.Duration) {
	s.now += d
	due := slices.DeleteFunc(slices.Clone(s.inFlight), func(f inFlightMessage) bool { return f.due > s.now })
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlightMessage) bool { return f.due <= s.now })
	slices.SortStableFunc(due, func(a, b inFlightMessage) int { return int(a.due - b.due) })
	for _, f := range due {
		if s.blockedLinks[[2]string{f.message.From.Name, f.message.To.Name}] {
			continue
		}
		for _, r := range s.replicas {
			// A message to a lost disk reaches the process that now has the same name.
			if r.running && r.id.Name == f.message.To.Name && len(r.inbox) < 200 {
				r.inbox = append(r.inbox, Receive{f.message})
			}
		}
	}
	for _, r := range s.replicas {
		if r.running && !r.paused {
			events := append(r.inbox, Tick{})
			r.inbox = nil
			s.step(r, events...)
		}
	}
}

// run advances in small steps until the condition holds or the timeout has
// passed. It reports whether the condition holds.
func (s *simulation) run(timeout time.Duration, condition func() bool) bool {
	for end := s.now + timeout; s.now < end; {
		if condition() {
			return true
		}
		s.advance(5 * time.Millisecond)
	}
	return condition()
}

// persist writes to the replica's disk and checks that votes, terms and entries
// stay consistent and that no committed entry is replaced.
func (s *simulation) persist(r *replica, p Persist) {
	if p.HardState != nil {
		s.checkVote(r, *p.HardState)
		r.disk.HardState = *p.HardState
	}
	if p.Snapshot != nil {
		r.disk.Snapshot, r.disk.Entries = p.Snapshot, nil
	}
	base := entryID{}
	if r.disk.Snapshot != nil {
		base = entryID{r.disk.Snapshot.Index, r.disk.Snapshot.Term}
	}
	for _, e := range p.Entries {
		if e.Index <= base.index {
			s.fail("%s writes entry %d, which its snapshot at %d contains", r.id, e.Index, base.index)
		}
		offset := int(e.Index - base.index - 1)
		if offset > len(r.disk.Entries) {
			s.fail("%s leaves a gap before entry %d", r.id, e.Index)
		}
		previous := base.term
		if offset > 0 {
			previous = r.disk.Entries[offset-1].Term
		}
		s.checkEntry(r, e, previous)
		r.disk.Entries = append(r.disk.Entries[:offset:offset], e)
	}
	// A combined write may contain entries that later entries in it supersede, so
	// only the result is checked.
	for _, e := range r.disk.Entries {
		if term, ok := s.committedTerms[e.Index]; ok && e.Index <= r.node.Commit() && e.Term != term {
			s.fail("%s replaces committed entry %d of term %d by one of term %d", r.id, e.Index, term, e.Term)
		}
	}
}

// checkEntry checks the log matching property by induction: index and term of an entry determine its content and the
// term of the previous entry.
func (s *simulation) checkEntry(r *replica, e Entry, previous uint64) {
	k := entryID{e.Index, e.Term}
	content := fmt.Sprint(e.Kind, previous, string(e.Data))
	if known, ok := s.entryContents[k]; ok && known != content {
		s.fail("log matching: %s has %q at %v, another log has %q", r.id, content, k, known)
	}
	s.entryContents[k] = content
}

// checkVote checks that a replica votes once per term and never returns to an earlier term.
func (s *simulation) checkVote(r *replica, h HardState) {
	k := fmt.Sprint(r.id, h.Term)
	if known := s.votes[k]; !known.IsZero() && known != h.Vote {
		s.fail("%s votes for %s after %s in term %d", r.id, h.Vote, known, h.Term)
	}
	if h.Term < r.disk.HardState.Term {
		s.fail("%s goes back to term %d", r.id, h.Term)
	}
	s.votes[k] = h.Vote
}

// checkLeader checks that a term has one leader and that its log holds every entry committed in an earlier term.
func (s *simulation) checkLeader(r *replica, term uint64) {
	if known, ok := s.leaders[term]; ok && known != r.id {
		s.fail("term %d has the leaders %s and %s", term, known, r.id)
	}
	s.leaders[term] = r.id
	s.counts["elections"]++
	for index, committed := range s.committedTerms {
		ownTerm, ok := r.node.log.term(index)
		if s.committedIn[index] < term && (index > r.node.log.lastIndex() || (ok && ownTerm != committed)) {
			s.fail("leader %s of term %d lacks committed entry %d", r.id, term, index)
		}
	}
}

// apply applies an entry and checks that all replicas apply the same entries in the same order.
func (s *simulation) apply(r *replica, e Entry) {
	if e.Index != r.applied+1 {
		s.fail("%s applies %d after %d", r.id, e.Index, r.applied)
	}
	h := fnv.New64a()
	fmt.Fprint(h, r.hash, e.Index, e.Term, e.Kind, string(e.Data))
	r.applied, r.hash = e.Index, h.Sum64()
	if known, ok := s.historyHashes[e.Index]; ok {
		if known != r.hash {
			s.fail("%s applies another history at %d", r.id, e.Index)
		}
		return
	}
	s.historyHashes[e.Index], s.committedTerms[e.Index], s.committedIn[e.Index] = r.hash, e.Term, r.node.Term()
	s.maxCommitted = max(s.maxCommitted, e.Index)
	s.counts["commits"]++
	if e.Kind == EntryConfiguration {
		s.checkChange(e)
	}
}

// checkChange checks that consecutive committed configurations differ by at most one voter.
func (s *simulation) checkChange(e Entry) {
	c, err := decodeConfiguration(e)
	if err != nil {
		s.fail("%v", err)
	}
	changed := map[ReplicaID]bool{}
	for _, m := range slices.Concat(c.Members, s.previousConfiguration.Members) {
		if c.IsVoter(m.ReplicaID) != s.previousConfiguration.IsVoter(m.ReplicaID) {
			changed[m.ReplicaID] = true
		}
	}
	if len(changed) > 1 {
		s.fail("configuration %d changes the voters %v", e.Index, changed)
	}
	s.previousConfiguration = c
	s.counts["configurations"]++
}

// checkPromotion checks that all entries that the leader has committed are durable on a new voter.
func (s *simulation) checkPromotion(r *replica, effects []Effect) {
	for _, effect := range effects {
		p, ok := effect.(Persist)
		if !ok || p.Snapshot != nil || r.node.Role() != Leader {
			continue
		}
		for _, e := range p.Entries {
			if e.Kind != EntryConfiguration || e.Term != r.node.Term() {
				continue
			}
			c, _ := decodeConfiguration(e)
			before := r.node.configurationAsOf(e.Index - 1)
			for _, other := range s.replicas {
				if c.IsVoter(other.id) && !before.IsVoter(other.id) && other.lastDurableIndex() < r.node.Commit() {
					s.fail("%s became a voter at %d although the commit index is %d", other.id, other.lastDurableIndex(), r.node.Commit())
				}
			}
		}
	}
}

// lastDurableIndex returns the index of the last entry or snapshot on the disk.
func (r *replica) lastDurableIndex() uint64 {
	last := uint64(len(r.disk.Entries))
	if r.disk.Snapshot != nil {
		last += r.disk.Snapshot.Index
	}
	return last
}

// restore loads a snapshot into the state machine and checks its hash.
func (s *simulation) restore(r *replica, snapshot *Snapshot) {
	r.applied, r.hash = snapshot.Index, 0
	if snapshot.Index > InitialIndex {
		r.hash = binary.BigEndian.Uint64(snapshot.Data[32:])
		if s.historyHashes[snapshot.Index] != r.hash {
			s.fail("%s restores another state at %d", r.id, snapshot.Index)
		}
	}
}

// read requests a read barrier, records the highest committed index, which the
// read must observe, and returns the request's token.
func (s *simulation) read(r *replica) uint64 {
	s.lastToken++
	s.reads[s.lastToken] = readBarrier{r.id, s.maxCommitted}
	s.step(r, ReadIndex{Token: s.lastToken})
	return s.lastToken
}

// checkRead checks that a read observes every entry committed before it started.
func (s *simulation) checkRead(r *replica, e ReadReady) {
	for _, token := range e.Tokens {
		start := s.reads[token]
		if e.Index < start.index || r.applied < e.Index || start.id != r.id {
			s.fail("stale read on %s: index %d, applied %d, committed before the read %d", r.id, e.Index, r.applied, start.index)
		}
		s.results[token] = nil
		s.counts["reads"]++
	}
}

// propose proposes a unique command and returns the request's token.
func (s *simulation) propose(r *replica) uint64 {
	s.lastToken++
	s.step(r, Propose{Token: s.lastToken, Data: fmt.Appendf(nil, "command %d", s.lastToken)})
	return s.lastToken
}

// leader returns the running leader of the highest term, or nil.
func (s *simulation) leader() *replica {
	var found *replica
	for _, r := range s.replicas {
		if r.running && r.node.Role() == Leader && (found == nil || r.node.Term() > found.node.Term()) {
			found = r
		}
	}
	return found
}

// describe returns the state of all replicas, one line each.
func (s *simulation) describe() string {
	var out string
	for _, r := range s.replicas {
		st := r.node.Status()
		out += fmt.Sprintf("\n%s running=%v disk_lost=%v %s term=%d commit=%d last=%d members=%v", r.id, r.running, s.diskLost[r.id], st.Role, st.HardState.Term, st.Commit, st.LastIndex, st.Configuration.Members)
	}
	return out
}
