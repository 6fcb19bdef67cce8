package history

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hemlockvale.dev/coord/internal/schedule"
)

const (
	// simLosses is the number of disks that may be lost before the copies are restored.
	simLosses = 2
	// simRetention is the retention of all turns in seconds.
	simRetention = 60
	// simTimeout is the longest time that a turn runs in seconds.
	simTimeout = 30
)

// simStore is a simulated store VM.
type simStore struct {
	Store
	up bool
	// sealed is set while the VM refuses records because it is being retired.
	sealed  bool
	records map[Turn]string
}

// simTurn is a turn whose end a caller has received.
type simTurn struct {
	Turn
	content string
	keptAt  int64
}

// runningTurn is a turn whose holders are named and whose end has not been released.
type runningTurn struct {
	Keep
	candidates []Store
	content    string
	startedAt  int64
}

// simulation runs the directory with simulated store VMs, entries and the leader's repair.
type simulation struct {
	t         *rapid.T
	directory *Directory
	planner   Repair
	stores    []*simStore
	running   []runningTurn
	released  []simTurn
	now       int64
	next      int
	// lost counts the disks that were lost since every turn had all of its copies.
	lost int
}

func (s *simulation) newStore() *simStore {
	s.next++
	v := &simStore{up: true, records: make(map[Turn]string)}
	v.Store = Store{Storage: fmt.Sprint("disk", s.next), Address: fmt.Sprint("addr", s.next), DataCentre: string(rune('x' + s.next%3))}
	return v
}

// present returns the VMs that are up.
func (s *simulation) present() []Store {
	var list []Store
	for _, v := range s.stores {
		if v.up {
			list = append(list, v.Store)
		}
	}
	return list
}

func (s *simulation) byStorage(storage string) *simStore {
	for _, v := range s.stores {
		if v.Storage == storage {
			return v
		}
	}
	return nil
}

// startTurn names the holders of a new turn. The entry's list of VMs may be old.
func (s *simulation) startTurn(known []Store) {
	s.next++
	t := Turn{Organisation: "o", ID: fmt.Sprint("t", s.next)}
	previous, base := []string(nil), ""
	if len(s.released) > 0 && rapid.Bool().Draw(s.t, "continues") {
		parent := rapid.SampledFrom(s.released).Draw(s.t, "parent")
		if holders, ok := s.directory.Lookup(parent.Turn); ok {
			previous, base = holders, parent.content
		}
	}
	candidates := Candidates(known, t, Preference{Holders: previous, DataCentre: "x"})
	if len(candidates) <= simLosses {
		return
	}
	k := Keep{Turn: t, RetentionSeconds: simRetention}
	for _, c := range candidates[:simLosses+1] {
		k.Holders = append(k.Holders, c.Storage)
	}
	if s.directory.Keep(s.now, k) {
		s.running = append(s.running, runningTurn{k, candidates, base + "/" + t.ID, s.now})
	}
}

// endTurn writes the record of a running turn to enough candidates and releases its end to the
// caller. The entry may stop at any point, the caller may leave, and the entry's report that the
// record is stored may be lost.
func (s *simulation) endTurn() {
	if len(s.running) == 0 {
		return
	}
	turn := s.running[0]
	s.running = s.running[1:]
	if s.now > turn.startedAt+simTimeout {
		return
	}
	var holders []string
	for _, c := range turn.candidates {
		if rapid.IntRange(0, 15).Draw(s.t, "entry stops") == 0 {
			return
		}
		if v := s.byStorage(c.Storage); v != nil && v.up && !v.sealed && len(holders) <= simLosses {
			v.records[turn.Turn] = turn.content
			holders = append(holders, c.Storage)
		}
	}
	if len(holders) <= simLosses {
		return
	}
	isNamed := func(storage string) bool { return slices.Contains(turn.Holders, storage) }
	report := Keep{Turn: turn.Turn, Holders: holders, Copied: true}
	replaced := slices.ContainsFunc(holders, func(storage string) bool { return !isNamed(storage) })
	if replaced || rapid.Bool().Draw(s.t, "report arrives") {
		if !s.directory.Keep(s.now, report) && replaced {
			return
		}
	}
	s.released = append(s.released, simTurn{turn.Turn, turn.content, s.now})
}

// ask records which of some turns a VM has.
func (s *simulation) ask(v *simStore, turns []Turn) {
	for _, t := range turns {
		if v.up && v.records[t] != "" {
			s.directory.Keep(s.now, Keep{Turn: t, Holders: []string{v.Storage}, Copied: true})
		}
	}
}

// confirm asks the VMs that are named as holders of turns without a known record.
func (s *simulation) confirm() {
	named := make(map[string][]Turn)
	s.directory.Unconfirmed(s.now, func(t Turn, storages []string) {
		for _, storage := range storages {
			named[storage] = append(named[storage], t)
		}
	})
	for _, v := range s.stores {
		s.ask(v, named[v.Storage])
	}
}

// repair makes up to limit planned copies.
func (s *simulation) repair(limit int) {
	s.confirm()
	plan := s.planner.Plan(s.directory, s.now, s.present(), simLosses+1, limit)
	for _, c := range plan.Copies {
		from, to := s.byStorage(c.From.Storage), s.byStorage(c.To.Storage)
		content, ok := from.records[c.Turn]
		if !ok {
			s.planner.Failed(c.Turn)
			continue
		}
		to.records[c.Turn] = content
		s.directory.Keep(s.now, Keep{Turn: c.Turn, Holders: []string{c.To.Storage}, Copied: true})
	}
	if plan.Missing == 0 && s.allUp() {
		s.lost = 0
	}
}

func (s *simulation) allUp() bool {
	for _, v := range s.stores {
		if !v.up {
			return false
		}
	}
	return true
}

// step performs one random operation.
func (s *simulation) step(known *[]Store) {
	v := rapid.SampledFrom(s.stores).Draw(s.t, "store")
	switch rapid.IntRange(0, 12).Draw(s.t, "operation") {
	case 0:
		v.up = false
	case 1, 2:
		v.up = true
	case 3:
		if s.lost < simLosses {
			s.lost++
			v.Retiring, v.sealed = false, false
			v.records, v.Storage = make(map[Turn]string), s.newStore().Storage
		}
	case 4:
		s.retire(v)
	case 5:
		if len(s.stores) < 9 {
			s.stores = append(s.stores, s.newStore())
		}
	case 6:
		s.now += rapid.Int64Range(-3, 20).Draw(s.t, "seconds")
		s.directory.Expire(s.now)
	case 7:
		data, err := json.Marshal(s.directory.Image())
		var image Image
		if err == nil {
			err = json.Unmarshal(data, &image)
		}
		if err != nil {
			s.t.Fatal(err)
		}
		s.directory = FromImage(image)
	case 8:
		*known = s.present()
	case 9, 10:
		s.repair(rapid.IntRange(1, 40).Draw(s.t, "copies"))
	case 11:
		s.endTurn()
	default:
		s.startTurn(*known)
	}
}

// retire empties a VM and removes it, with its disk, once the directory allows it. A VM that is
// down, or suspended, is not asked what it has.
func (s *simulation) retire(v *simStore) {
	if len(s.stores) <= 2*simLosses+1 {
		return
	}
	s.directory.Retire(s.now, v.Storage)
	v.Retiring = true
	if v.up {
		v.sealed = true
		s.ask(v, s.directory.UnconfirmedOn(s.now, v.Storage))
	}
	s.repair(100)
	if s.directory.Needs(s.now, v.Storage, v.up, s.present(), simLosses+1) {
		return
	}
	s.checkEmptied(v)
	for i, other := range s.stores {
		if other == v {
			s.stores = append(s.stores[:i], s.stores[i+1:]...)
			return
		}
	}
}

// checkEmptied verifies that enough other VMs hold each released turn of a VM that may be removed.
func (s *simulation) checkEmptied(v *simStore) {
	for _, turn := range s.released {
		if s.now > turn.keptAt+simRetention || v.records[turn.Turn] == "" {
			continue
		}
		copies := 0
		for _, other := range s.stores {
			if other != v && other.up && !other.Retiring && other.records[turn.Turn] != "" {
				copies++
			}
		}
		if copies <= simLosses {
			s.t.Fatalf("%s counts as emptied, but %d other VMs hold turn %s", v.Storage, copies, turn.Turn)
		}
	}
}

// check verifies that each released turn is known while its retention lasts, and that a
// holder has exactly its content.
func (s *simulation) check() {
	for _, turn := range s.released {
		if s.now > turn.keptAt+simRetention {
			continue
		}
		holders, known := s.directory.Lookup(turn.Turn)
		if !known {
			s.t.Fatalf("turn %s is unknown although it was released", turn.Turn)
		}
		copies := 0
		for _, storage := range holders {
			if v := s.byStorage(storage); v != nil && v.records[turn.Turn] != "" {
				copies++
				if v.records[turn.Turn] != turn.content {
					s.t.Fatalf("%s holds %q for turn %s, want %q", storage, v.records[turn.Turn], turn.Turn, turn.content)
				}
			}
		}
		if copies == 0 {
			s.t.Fatalf("no disk holds turn %s, holders %v", turn.Turn, holders)
		}
		if _, known := s.directory.Lookup(Turn{"other", turn.ID}); known {
			s.t.Fatalf("turn %s is readable by another organisation", turn.Turn)
		}
	}
}

// TestSchedules runs random schedules of crashes, lost disks, added and retired VMs, jumps
// of the clock and entries that stop or have an old list of VMs.
func TestSchedules(t *testing.T) {
	schedule.Check(t, 10, func(t *rapid.T, steps int) {
		s := &simulation{t: t, directory: NewDirectory(), now: 1000}
		for range 5 {
			s.stores = append(s.stores, s.newStore())
		}
		known := s.present()
		for range steps {
			s.step(&known)
			s.check()
		}
	})
}
