package shard

import "slices"

// recordLog is the tail of the shard's log, from the first record that a replica may
// still need.
type recordLog struct {
	base      uint64 // index of the last record that was compacted away
	baseEpoch uint64 // epoch of that record
	records   []Record
}

func (l *recordLog) last() uint64 { return l.base + uint64(len(l.records)) }

func (l *recordLog) lastEpoch() uint64 { return l.epochAt(l.last()) }

// epochAt returns the epoch of the record at index, which must be between base and
// last, inclusive.
func (l *recordLog) epochAt(index uint64) uint64 {
	if index == l.base {
		return l.baseEpoch
	}
	return l.records[index-l.base-1].Epoch
}

func (l *recordLog) at(index uint64) *Record { return &l.records[index-l.base-1] }

// after returns the records that follow index: up to limit bytes, but at least one if
// there is any. The slice shares the log's memory, which is never overwritten in
// place.
func (l *recordLog) after(index uint64, limit int) []Record {
	records := l.records[index-l.base:]
	size := 0
	for i := range records {
		size += records[i].size()
		if size > limit && i > 0 {
			return records[:i:i]
		}
	}
	return records[:len(records):len(records)]
}

// truncate removes the records that follow index. The remaining records are copied,
// because messages may still share the memory of the removed ones.
func (l *recordLog) truncate(index uint64) { l.records = slices.Clone(l.records[:index-l.base]) }

// minCompactRecords is the minimum number of records to remove at once, because each
// compaction copies the remaining records.
const minCompactRecords = 64

// compact removes the records up to index, if there are at least minCompactRecords.
func (l *recordLog) compact(index uint64) {
	if index < l.base+minCompactRecords {
		return
	}
	l.baseEpoch = l.epochAt(index)
	l.records = slices.Clone(l.records[index-l.base:])
	l.base = index
}
