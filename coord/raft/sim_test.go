package raft

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// testingT is the part of *testing.T that the simulation needs.
type testingT interface {
	Fatalf(format string, args ...any)
	Helper()
}

// replica is a simulated process with a disk and a state machine whose state is
// a hash over all applied entries.
type replica struct {
	id     ReplicaID
	node   *Node
	up     bool
	paused bool
	// disk survives a crash.
	disk    Stored
	applied uint64
	hash    uint64
	inbox   []Event
}

type flight struct {
	due time.Duration
	m   Message
}

// key identifies an entry; two entries with one key must be equal.
type key struct{ index, term uint64 }

type readStart struct {
	id    ReplicaID
	index uint64
}

// simulation runs replicas under one seed and checks the invariants at every effect.
type simulation struct {
	t     testingT
	seed  uint64
	rand  *rand.Rand
	now   time.Duration
	cfg   Config
	names []string
	// replicas are ordered by creation; dead marks identities whose disk was lost.
	replicas []*replica
	dead     map[ReplicaID]bool
	flights  []flight
	cut      map[[2]string]bool
	// loss, duplication and delay are probabilities per message.
	loss, duplication, delay float64
	token                    uint64
	// trace, if set, sees each message that is sent.
	trace func(Message)

	leaders map[uint64]ReplicaID
	votes   map[string]ReplicaID
	entries map[key]string
	chain   map[uint64]uint64
	terms   map[uint64]uint64
	// committedIn is the term in which a leader committed the entry, which may
	// be later than the entry's own term.
	committedIn map[uint64]uint64
	reads       map[uint64]readStart
	answers     map[uint64]error
	previous    Configuration
	maximum     uint64
	counts      map[string]int
}

func newSimulation(t testingT, seed uint64, cfg Config, names ...string) *simulation {
	s := &simulation{
		t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, names: names,
		dead: map[ReplicaID]bool{}, cut: map[[2]string]bool{}, leaders: map[uint64]ReplicaID{}, votes: map[string]ReplicaID{},
		entries: map[key]string{}, chain: map[uint64]uint64{}, terms: map[uint64]uint64{}, committedIn: map[uint64]uint64{}, reads: map[uint64]readStart{},
		answers: map[uint64]error{}, counts: map[string]int{},
	}
	return s
}

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

// form bootstraps the replicas of the given names.
func (s *simulation) form(names ...string) {
	var c Configuration
	for _, name := range names {
		c.Members = append(c.Members, Member{ReplicaID: s.create(name).id})
	}
	s.previous = c
	for _, r := range s.replicas {
		s.step(r, Bootstrap{Configuration: c})
	}
}

func (s *simulation) start(r *replica) {
	cfg := s.cfg
	cfg.ID, cfg.Seed = r.id, s.rand.Uint64()
	stored := Stored{HardState: r.disk.HardState, Snapshot: r.disk.Snapshot, Entries: slices.Clone(r.disk.Entries)}
	node, restore, err := New(cfg, stored, s.now)
	if err != nil {
		s.fail("restart of %s: %v", r.id, err)
	}
	r.node, r.up, r.paused, r.inbox, r.applied, r.hash = node, true, false, nil, 0, 0
	if restore != nil {
		s.restore(r, restore.Snapshot)
	}
}

func (s *simulation) crash(r *replica) { r.up, r.inbox = false, nil }

// step runs events as one batch, like the adapter: first all writes, then the rest.
func (s *simulation) step(r *replica, events ...Event) { s.stepCrash(r, -1, events...) }

// stepCrash crashes the replica before effect number at of the batch; writes
// count as one effect. A negative number does not crash it.
func (s *simulation) stepCrash(r *replica, at int, events ...Event) {
	var effects []Effect
	for _, ev := range events {
		out := r.node.Step(s.now, ev)
		s.checkPromotion(r, out)
		effects = append(effects, out...)
	}
	if at == 0 {
		s.crash(r)
		return
	}
	if p, ok := CombinePersist(effects); ok {
		s.persist(r, p)
	}
	if r.disk.HardState != r.node.hard || r.last() != r.node.log.lastIndex() {
		s.fail("%s relies on %v and entry %d, but %v and entry %d are durable", r.id, r.node.hard, r.node.log.lastIndex(), r.disk.HardState, r.last())
	}
	for _, e := range effects {
		if at--; at == 0 {
			s.crash(r)
			return
		}
		s.perform(r, e)
	}
}

func (s *simulation) perform(r *replica, e Effect) {
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
		s.answers[e.Token] = nil
	case Rejected:
		s.answers[e.Token] = e.Err
	case ReadReady:
		s.checkRead(r, e)
	case RoleChanged:
		if e.Role == Leader {
			s.checkLeader(r, e.Term)
		}
	}
}

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
		s.flights = append(s.flights, flight{s.now + delay, m})
	}
}

// advance lets time pass, delivers due messages and ticks every replica.
func (s *simulation) advance(d time.Duration) {
	s.now += d
	due := slices.DeleteFunc(slices.Clone(s.flights), func(f flight) bool { return f.due > s.now })
	s.flights = slices.DeleteFunc(s.flights, func(f flight) bool { return f.due <= s.now })
	slices.SortStableFunc(due, func(a, b flight) int { return int(a.due - b.due) })
	for _, f := range due {
		if s.cut[[2]string{f.m.From.Name, f.m.To.Name}] {
			continue
		}
		for _, r := range s.replicas {
			// A message to a former disk reaches the process that now has the name.
			if r.up && r.id.Name == f.m.To.Name && len(r.inbox) < 200 {
				r.inbox = append(r.inbox, Receive{f.m})
			}
		}
	}
	for _, r := range s.replicas {
		if r.up && !r.paused {
			events := append(r.inbox, Tick{})
			r.inbox = nil
			s.step(r, events...)
		}
	}
}

// run advances in small steps until the condition holds or the time is over.
func (s *simulation) run(limit time.Duration, condition func() bool) bool {
	for end := s.now + limit; s.now < end; {
		if condition() {
			return true
		}
		s.advance(5 * time.Millisecond)
	}
	return condition()
}

func (s *simulation) persist(r *replica, p Persist) {
	if p.HardState != nil {
		s.checkVote(r, *p.HardState)
		r.disk.HardState = *p.HardState
	}
	if p.Snapshot != nil {
		r.disk.Snapshot, r.disk.Entries = p.Snapshot, nil
	}
	base := key{}
	if r.disk.Snapshot != nil {
		base = key{r.disk.Snapshot.Index, r.disk.Snapshot.Term}
	}
	for _, e := range p.Entries {
		if e.Index <= base.index {
			s.fail("%s writes entry %d behind its snapshot %d", r.id, e.Index, base.index)
		}
		at := int(e.Index - base.index - 1)
		if at > len(r.disk.Entries) {
			s.fail("%s leaves a gap before entry %d", r.id, e.Index)
		}
		previous := base.term
		if at > 0 {
			previous = r.disk.Entries[at-1].Term
		}
		s.checkEntry(r, e, previous)
		r.disk.Entries = append(r.disk.Entries[:at:at], e)
	}
	// A combined write may contain entries that it supersedes itself, so the result counts.
	for _, e := range r.disk.Entries {
		if term, ok := s.terms[e.Index]; ok && e.Index <= r.node.Commit() && e.Term != term {
			s.fail("%s replaces committed entry %d of term %d by one of term %d", r.id, e.Index, term, e.Term)
		}
	}
}

// checkEntry proves log matching by induction: the key determines the content and the previous term.
func (s *simulation) checkEntry(r *replica, e Entry, previous uint64) {
	k := key{e.Index, e.Term}
	content := fmt.Sprint(e.Kind, previous, string(e.Data))
	if known, ok := s.entries[k]; ok && known != content {
		s.fail("log matching: %s has %q at %v, another log has %q", r.id, content, k, known)
	}
	s.entries[k] = content
}

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

// checkLeader proves that a term has one leader and that its log holds every entry committed in an earlier term.
func (s *simulation) checkLeader(r *replica, term uint64) {
	if known, ok := s.leaders[term]; ok && known != r.id {
		s.fail("term %d has the leaders %s and %s", term, known, r.id)
	}
	s.leaders[term] = r.id
	s.counts["elections"]++
	for index, committed := range s.terms {
		own, ok := r.node.log.term(index)
		if s.committedIn[index] < term && (index > r.node.log.lastIndex() || (ok && own != committed)) {
			s.fail("leader %s of term %d lacks committed entry %d", r.id, term, index)
		}
	}
}

func (s *simulation) apply(r *replica, e Entry) {
	if e.Index != r.applied+1 {
		s.fail("%s applies %d after %d", r.id, e.Index, r.applied)
	}
	h := fnv.New64a()
	fmt.Fprint(h, r.hash, e.Index, e.Term, e.Kind, string(e.Data))
	r.applied, r.hash = e.Index, h.Sum64()
	if known, ok := s.chain[e.Index]; ok {
		if known != r.hash {
			s.fail("%s applies another history at %d", r.id, e.Index)
		}
		return
	}
	s.chain[e.Index], s.terms[e.Index], s.committedIn[e.Index] = r.hash, e.Term, r.node.Term()
	s.maximum = max(s.maximum, e.Index)
	s.counts["commits"]++
	if e.Kind == EntryConfiguration {
		s.checkChange(e)
	}
}

// checkChange proves that committed configurations differ by one voter at most.
func (s *simulation) checkChange(e Entry) {
	c, err := decodeConfiguration(e)
	if err != nil {
		s.fail("%v", err)
	}
	changed := map[ReplicaID]bool{}
	for _, m := range slices.Concat(c.Members, s.previous.Members) {
		if c.IsVoter(m.ReplicaID) != s.previous.IsVoter(m.ReplicaID) {
			changed[m.ReplicaID] = true
		}
	}
	if len(changed) > 1 {
		s.fail("configuration %d changes the voters %v", e.Index, changed)
	}
	s.previous = c
	s.counts["configurations"]++
}

// checkPromotion proves that a new voter has synced what its leader has committed.
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
				if c.IsVoter(other.id) && !before.IsVoter(other.id) && other.last() < r.node.Commit() {
					s.fail("%s became a voter at %d although the commit index is %d", other.id, other.last(), r.node.Commit())
				}
			}
		}
	}
}

func (r *replica) last() uint64 {
	last := uint64(len(r.disk.Entries))
	if r.disk.Snapshot != nil {
		last += r.disk.Snapshot.Index
	}
	return last
}

func (s *simulation) restore(r *replica, snapshot *Snapshot) {
	r.applied, r.hash = snapshot.Index, 0
	if snapshot.Index > InitialIndex {
		r.hash = binary.BigEndian.Uint64(snapshot.Data[32:])
		if s.chain[snapshot.Index] != r.hash {
			s.fail("%s restores another state at %d", r.id, snapshot.Index)
		}
	}
}

// read starts a read barrier and remembers what it must observe.
func (s *simulation) read(r *replica) uint64 {
	s.token++
	s.reads[s.token] = readStart{r.id, s.maximum}
	s.step(r, ReadIndex{Token: s.token})
	return s.token
}

func (s *simulation) checkRead(r *replica, e ReadReady) {
	for _, token := range e.Tokens {
		start := s.reads[token]
		if e.Index < start.index || r.applied < e.Index || start.id != r.id {
			s.fail("stale read on %s: index %d, applied %d, committed before the read %d", r.id, e.Index, r.applied, start.index)
		}
		s.answers[token] = nil
		s.counts["reads"]++
	}
}

func (s *simulation) propose(r *replica) uint64 {
	s.token++
	s.step(r, Propose{Token: s.token, Data: fmt.Appendf(nil, "command %d", s.token)})
	return s.token
}

// leader returns the running leader of the highest term, or nil.
func (s *simulation) leader() *replica {
	var found *replica
	for _, r := range s.replicas {
		if r.up && r.node.Role() == Leader && (found == nil || r.node.Term() > found.node.Term()) {
			found = r
		}
	}
	return found
}

func (s *simulation) describe() string {
	var out string
	for _, r := range s.replicas {
		st := r.node.Status()
		out += fmt.Sprintf("\n%s up=%v dead=%v %s term=%d commit=%d last=%d members=%v", r.id, r.up, s.dead[r.id], st.Role, st.HardState.Term, st.Commit, st.LastIndex, st.Configuration.Members)
	}
	return out
}
