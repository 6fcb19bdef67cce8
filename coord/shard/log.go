package shard

import "slices"

// recordLog is the part of the log that replicas may still need.
type recordLog struct {
	base      uint64 // index of the last record that was cut off
	baseEpoch uint64
	records   []Record
}

func (l *recordLog) last() uint64 { return l.base + uint64(len(l.records)) }

func (l *recordLog) lastEpoch() uint64 { return l.epochAt(l.last()) }

// epochAt returns the epoch of the record at index, which lies between base and last.
func (l *recordLog) epochAt(index uint64) uint64 {
	if index == l.base {
		return l.baseEpoch
	}
	return l.records[index-l.base-1].Epoch
}

func (l *recordLog) at(index uint64) *Record { return &l.records[index-l.base-1] }

// after returns the records that follow index, up to limit bytes but at least
// one. They share the log's memory, which is never overwritten in place.
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

// truncate removes the records that follow index. The rest moves to new memory,
// because a message may still refer to the removed records.
func (l *recordLog) truncate(index uint64) { l.records = slices.Clone(l.records[:index-l.base]) }

// compactMinimum is the number of records that are cut off together.
const compactMinimum = 64

// compact cuts off the records up to index.
func (l *recordLog) compact(index uint64) {
	if index < l.base+compactMinimum {
		return
	}
	l.baseEpoch = l.epochAt(index)
	l.records = slices.Clone(l.records[index-l.base:])
	l.base = index
}
