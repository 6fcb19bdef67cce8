package raft

import "fmt"

// position identifies an entry by its index and term.
type position struct{ index, term uint64 }

// entryLog holds the entries after base in memory.
type entryLog struct {
	// base is the position of the last entry that was removed by compaction or
	// replaced by a snapshot.
	base    position
	entries []Entry
}

// lastIndex returns the index of the last entry, or that of base if there are no entries.
func (l *entryLog) lastIndex() uint64 { return l.base.index + uint64(len(l.entries)) }

// lastPosition returns the position of the last entry, or base if there are no entries.
func (l *entryLog) lastPosition() position {
	if len(l.entries) == 0 {
		return l.base
	}
	e := &l.entries[len(l.entries)-1]
	return position{e.Index, e.Term}
}

// term returns the term of the entry at index, which may be base. It returns
// false if index is before base or after the last entry.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index < l.base.index || index > l.lastIndex() {
		return 0, false
	}
	if index == l.base.index {
		return l.base.term, true
	}
	return l.entries[index-l.base.index-1].Term, true
}

// contains reports whether the log has an entry at p.index with the term p.term.
// Base counts as an entry.
func (l *entryLog) contains(p position) bool {
	term, ok := l.term(p.index)
	return ok && term == p.term
}

// between returns the entries whose indexes are in (after, to]. The result shares memory with the log.
func (l *entryLog) between(after, to uint64) []Entry {
	from, end := after-l.base.index, to-l.base.index
	return l.entries[from:end:end]
}

// batch returns entries from index next on: at most maxEntries, and no more than
// maxBytes of data unless the first entry alone is larger.
func (l *entryLog) batch(next uint64, maxEntries, maxBytes int) []Entry {
	all := l.between(next-1, l.lastIndex())
	size := 0
	for i := range all {
		size += len(all[i].Data)
		if i == maxEntries || (i > 0 && size > maxBytes) {
			return all[:i:i]
		}
	}
	return all
}

// append discards the entries from the first new index on and adds entries.
// Slices that were returned earlier stay unchanged.
func (l *entryLog) append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	if first <= l.base.index || first > l.lastIndex()+1 {
		panic(fmt.Sprintf("raft: append at %d outside of (%d, %d]", first, l.base.index, l.lastIndex()+1))
	}
	keep := first - l.base.index - 1
	if keep < uint64(len(l.entries)) {
		l.entries = l.entries[:keep:keep]
	}
	l.entries = append(l.entries, entries...)
}

// compact removes the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base.index {
		return
	}
	term, ok := l.term(index)
	if !ok {
		panic(fmt.Sprintf("raft: compact to %d after the last index %d", index, l.lastIndex()))
	}
	remaining := l.between(index, l.lastIndex())
	l.entries = append(make([]Entry, 0, len(remaining)), remaining...)
	l.base = position{index, term}
}

// reset removes all entries and sets base to p.
func (l *entryLog) reset(p position) {
	l.base = p
	l.entries = nil
}

// firstOfTerm returns the first index after base whose entry has the same term as the entry at index.
func (l *entryLog) firstOfTerm(index uint64) uint64 {
	term, _ := l.term(index)
	for index > l.base.index+1 {
		previous, _ := l.term(index - 1)
		if previous != term {
			break
		}
		index--
	}
	return index
}

// lastOfTerm returns the last index at or below limit whose entry has the given term.
func (l *entryLog) lastOfTerm(term, limit uint64) (uint64, bool) {
	for index := min(limit, l.lastIndex()); index > l.base.index; index-- {
		t, _ := l.term(index)
		if t == term {
			return index, true
		}
		if t < term {
			break
		}
	}
	return 0, false
}
