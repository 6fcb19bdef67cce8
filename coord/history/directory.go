package history

import (
	"maps"
	"slices"
	"strings"
)

const (
	// retentionFactor extends the time for which the directory remembers a turn, and
	// copyFactor the time for which it has missing copies made, because clocks differ and
	// may be set back.
	retentionFactor = 3
	copyFactor      = 2
	// minRetentionSeconds is the shortest retention.
	minRetentionSeconds = 60
	// maxHolders bounds the holders of one turn that are recorded. It exceeds the number of
	// copies that are made of a turn during its retention, because a VM that has been
	// absent may be the last one with a copy.
	maxHolders = 64
	// retiredSeconds is how long a retired storage is remembered. A VM is removed with its
	// disk soon after its retirement.
	retiredSeconds = 24 * 3600
)

// Keep is a change that records which VMs hold a turn, or are to hold it.
type Keep struct {
	Turn Turn `json:"t"`
	// Holders are the storages that hold the record if Copied is set. Otherwise the record is
	// sent to them before the caller receives the end of the turn, and they may not get it.
	Holders []string `json:"h"`
	// RetentionSeconds is how long the turn must be kept.
	RetentionSeconds int64 `json:"r,omitempty"`
	// Copied is set if the holders have the record of a turn that the directory knows.
	Copied bool `json:"c,omitempty"`
}

// holderSet is a list of holders that several turns share. There are few of them, so what
// depends on the holders alone is decided for each list and not for each turn.
type holderSet struct {
	// holders are the storages: those that have the record, then those that are only named.
	// Each part has the latest last.
	holders []string
	// stored is the number of storages that have the record.
	stored int
	// turns is the number of turns with these holders.
	turns int
}

// having returns the storages that have the record.
func (s *holderSet) having() []string { return s.holders[:s.stored] }

// named returns the storages that are named and not known to have the record.
func (s *holderSet) named() []string { return s.holders[s.stored:] }

// entry is what the directory knows about one turn.
type entry struct {
	*holderSet
	// keptSeconds is the Unix time at which the turn was kept.
	keptSeconds      int64
	retentionSeconds int64
}

// expires returns the Unix time after which the turn is forgotten.
func (e *entry) expires() int64 { return e.after(retentionFactor) }

// needsCopies reports whether missing copies of the turn are still made.
func (e *entry) needsCopies(unixSeconds int64) bool { return unixSeconds <= e.after(copyFactor) }

// after returns the Unix time at which the given multiple of the retention has passed.
func (e *entry) after(factor int64) int64 {
	return e.keptSeconds + factor*max(e.retentionSeconds, minRetentionSeconds)
}

// Directory is the replicated index of the kept turns. It is not safe for concurrent use.
type Directory struct {
	turns map[Turn]*entry
	// unconfirmed holds the turns of which no storage is known to have the record: they are
	// running, or have ended without one, or the report about it was lost.
	unconfirmed map[Turn]struct{}
	// sets holds the lists of holders, by setKey.
	sets map[string]*holderSet
	// retired holds the storages that must not be named as holders any more, with the Unix
	// time at which they were retired.
	retired map[string]int64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{turns: make(map[Turn]*entry), unconfirmed: make(map[Turn]struct{}), sets: make(map[string]*holderSet), retired: make(map[string]int64)}
}

// setKey identifies a list of holders. Storages contain no line feed.
func setKey(having, named []string) string {
	return strings.Join(having, "\n") + "\n\n" + strings.Join(named, "\n")
}

// assign replaces the holders of a turn. It does not change the former list, which Lookup
// returns to readers. If there are more than maxHolders, it leaves out the named ones first.
func (d *Directory) assign(t Turn, e *entry, having, named []string) {
	if excess := len(having) + len(named) - maxHolders; excess > 0 {
		left := min(excess, len(named))
		named, having = named[left:], having[excess-left:]
	}
	key := setKey(having, named)
	set := d.sets[key]
	if set == nil {
		set = &holderSet{holders: slices.Concat(having, named), stored: len(having)}
		d.sets[key] = set
	}
	set.turns++
	d.unassign(e)
	e.holderSet = set
	if set.stored == 0 {
		d.unconfirmed[t] = struct{}{}
	} else {
		delete(d.unconfirmed, t)
	}
}

// unassign removes the turn from the list of its holders.
func (d *Directory) unassign(e *entry) {
	if e.holderSet == nil {
		return
	}
	e.turns--
	if e.turns == 0 {
		delete(d.sets, setKey(e.having(), e.named()))
	}
	e.holderSet = nil
}

// Keep records a turn and reports whether it did. It refuses to name a holder that is retired,
// and a copy of an unknown turn. A repeated call adds holders. A storage that has the record is
// recorded even after its retirement, if it was named before.
func (d *Directory) Keep(unixSeconds int64, k Keep) bool {
	e := d.turns[k.Turn]
	if len(k.Holders) == 0 || e == nil && k.Copied {
		return false
	}
	isRefused := func(s string) bool {
		return d.Retired(s) && !(k.Copied && slices.Contains(e.holders, s))
	}
	if slices.ContainsFunc(k.Holders, isRefused) {
		return false
	}
	if e == nil {
		e = &entry{keptSeconds: unixSeconds, retentionSeconds: k.RetentionSeconds}
		d.turns[k.Turn] = e
	}
	var having, named []string
	if e.holderSet != nil {
		having, named = e.having(), e.named()
	}
	if k.Copied {
		having, named = add(having, k.Holders), without(named, k.Holders)
	} else {
		named = add(named, without(k.Holders, having))
	}
	d.assign(k.Turn, e, having, named)
	return true
}

// add returns a list with more storages at its end.
func add(list, more []string) []string { return append(without(list, more), more...) }

// without returns a copy of a list without some storages.
func without(list, left []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(left, s) })
}

// Lookup returns the storages that hold a turn or are named as its holders, and whether the
// turn is known. Those that are known to have its record come first. The caller must not change
// the result.
func (d *Directory) Lookup(t Turn) ([]string, bool) {
	e := d.turns[t]
	if e == nil {
		return nil, false
	}
	return e.holders, true
}

// Named returns the storages that are named as holders of a turn and not known to have its
// record. The caller must not change the result.
func (d *Directory) Named(t Turn) []string {
	if e := d.turns[t]; e != nil {
		return e.named()
	}
	return nil
}

// CountNamed returns the number of turns of a list for which a storage is named and not known to
// have the record.
func (d *Directory) CountNamed(storage string, turns []Turn) int {
	n := 0
	for _, t := range turns {
		if slices.Contains(d.Named(t), storage) {
			n++
		}
	}
	return n
}

// Unconfirmed calls visit with each turn of which no storage is known to have the record, and
// the storages that are named as its holders, until its retention has passed for certain.
func (d *Directory) Unconfirmed(unixSeconds int64, visit func(t Turn, named []string)) {
	for t := range d.unconfirmed {
		if e := d.turns[t]; e.needsCopies(unixSeconds) {
			visit(t, e.named())
		}
	}
}

// UnconfirmedOn returns the turns for which a storage is named and not known to have the record,
// until their retention has passed for certain.
func (d *Directory) UnconfirmedOn(unixSeconds int64, storage string) []Turn {
	var turns []Turn
	for t, e := range d.turns {
		if e.needsCopies(unixSeconds) && slices.Contains(e.named(), storage) {
			turns = append(turns, t)
		}
	}
	return turns
}

// Retire excludes a storage from holding further records. The records that it holds stay
// known until they have been copied.
func (d *Directory) Retire(unixSeconds int64, storage string) { d.retired[storage] = unixSeconds }

// Retired reports whether Retire was called for a storage.
func (d *Directory) Retired(storage string) bool {
	_, retired := d.retired[storage]
	return retired
}

// Len returns the number of known turns.
func (d *Directory) Len() int { return len(d.turns) }

// Expire removes the turns whose retention has passed, and the storages that were retired
// long ago.
func (d *Directory) Expire(unixSeconds int64) {
	maps.DeleteFunc(d.retired, func(_ string, at int64) bool { return at+retiredSeconds < unixSeconds })
	for t, e := range d.turns {
		if e.expires() < unixSeconds {
			d.unassign(e)
			delete(d.turns, t)
			delete(d.unconfirmed, t)
		}
	}
}

// Needs reports whether some turn that the given storage has is on fewer than wanted other
// present VMs that are not retiring. Turns for which the storage is only named count unless asked
// is set: the VM refuses further records and has been asked for those turns. Turns whose
// retention has passed for certain are left out.
func (d *Directory) Needs(unixSeconds int64, storage string, asked bool, present []Store, wanted int) bool {
	lasting := make(map[string]bool, len(present))
	for _, s := range present {
		lasting[s.Storage] = !s.Retiring && !d.Retired(s.Storage) && s.Storage != storage
	}
	depending := make(map[*holderSet]bool)
	for _, set := range d.sets {
		mayHave := set.holders
		if asked {
			mayHave = set.having()
		}
		if !slices.Contains(mayHave, storage) {
			continue
		}
		copies := 0
		for _, holder := range set.having() {
			if lasting[holder] {
				copies++
			}
		}
		if copies < wanted {
			depending[set] = true
		}
	}
	if len(depending) == 0 {
		return false
	}
	for _, e := range d.turns {
		if depending[e.holderSet] && e.needsCopies(unixSeconds) {
			return true
		}
	}
	return false
}

// Image is the encoded form of a Directory.
type Image struct {
	Turns []TurnImage `json:"t,omitempty"`
	// Retired holds the retired storages with the Unix times of their retirement.
	Retired map[string]int64 `json:"r,omitempty"`
}

// TurnImage is the encoded form of one turn.
type TurnImage struct {
	Turn    Turn     `json:"t"`
	Holders []string `json:"h"`
	// Stored is the number of holders, at the start of the list, that are known to have the
	// record. Earlier releases neither write nor read it.
	Stored           int   `json:"s,omitempty"`
	KeptSeconds      int64 `json:"k"`
	RetentionSeconds int64 `json:"r"`
}

// Image returns the content of the directory.
func (d *Directory) Image() Image {
	image := Image{Turns: make([]TurnImage, 0, len(d.turns)), Retired: maps.Clone(d.retired)}
	for t, e := range d.turns {
		image.Turns = append(image.Turns, TurnImage{t, e.holders, e.stored, e.keptSeconds, e.retentionSeconds})
	}
	return image
}

// FromImage returns the directory that an image holds.
func FromImage(image Image) *Directory {
	d := NewDirectory()
	for _, t := range image.Turns {
		e := &entry{keptSeconds: t.KeptSeconds, retentionSeconds: t.RetentionSeconds}
		stored := min(max(t.Stored, 0), len(t.Holders))
		d.assign(t.Turn, e, t.Holders[:stored], t.Holders[stored:])
		d.turns[t.Turn] = e
	}
	maps.Copy(d.retired, image.Retired)
	return d
}
