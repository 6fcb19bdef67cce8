package shard

import (
	"hemlockvale.dev/coord/program"
)

// incomingCopy is the full copy that was started last. It is kept after its last part
// has arrived, so that parts delivered late cannot replace newer state.
type incomingCopy struct {
	epoch    uint64
	id       uint64
	nextPart int // number of the next expected part; -1 if the state was dropped
	table    *program.Table
}

// checkHeader checks a message's recipient and epoch. It returns false and the status
// to reply with if the message must be refused. A later epoch is adopted; the owner
// resigns in that case.
func (r *Replica) checkHeader(h *Header) (Status, bool) {
	if h.To != r.self || h.Shard != r.shard {
		return WrongVM, false
	}
	if h.Epoch < r.epoch || h.Epoch == r.epoch && r.owner != nil {
		return Stale, false
	}
	if h.Epoch > r.epoch {
		r.resign()
		r.epoch = h.Epoch
	}
	r.version = max(r.version, h.Version)
	r.clockOffset = max(r.clockOffset, h.Time-r.now)
	return OK, true
}

// handleAppend stores the records of a message, unless the replica has no complete
// state or its log does not match the message's previous record.
func (r *Replica) handleAppend(m *Append) AppendReply {
	status, ok := r.checkHeader(&m.Header)
	if !ok {
		return AppendReply{Status: status, Epoch: r.epoch}
	}
	reply := AppendReply{Status: OK, Epoch: r.epoch}
	switch {
	case !r.complete:
		reply.Status = NeedCopy
	case m.Previous > r.log.last():
		reply.Status, reply.Last = Gap, r.log.last()
	case m.Previous >= r.log.base && r.log.epochAt(m.Previous) != m.PreviousEpoch:
		reply.Status, reply.Last = r.resolveConflict(m.Previous)
	default:
		reply.Status, reply.Last = r.storeRecords(m)
	}
	return reply
}

// resolveConflict answers a message whose previous record has another epoch in this
// replica's log. The owner then continues from earlier records until both logs agree.
// If the conflicting record may be applied to the table, only a full copy can replace
// it.
func (r *Replica) resolveConflict(previous uint64) (Status, uint64) {
	if previous <= r.maxApplied {
		return NeedCopy, 0
	}
	return Gap, previous - 1
}

// storeRecords appends the records of a message, replaces conflicting records that are
// not applied, and applies the committed ones. It requires a full copy if a
// conflicting record may be applied.
func (r *Replica) storeRecords(m *Append) (Status, uint64) {
	for i := range m.Records {
		rec := &m.Records[i]
		if rec.Index <= r.log.last() {
			if rec.Index <= r.log.base || r.log.epochAt(rec.Index) == rec.Epoch {
				continue
			}
			if rec.Index <= r.maxApplied {
				return NeedCopy, 0
			}
			r.log.truncate(rec.Index - 1)
		}
		r.log.records = append(r.log.records, *rec)
	}
	last := m.Previous + uint64(len(m.Records))
	r.commit = max(r.commit, min(m.Commit, last))
	r.applyTo(r.commit)
	r.log.compact(r.commit)
	return OK, last
}

// handleCopy stores a part of a full copy. The replica keeps its old state until the
// final part has arrived.
func (r *Replica) handleCopy(m *Copy) CopyReply {
	status, ok := r.checkHeader(&m.Header)
	if !ok {
		return CopyReply{Status: status, Epoch: r.epoch}
	}
	reply := CopyReply{Status: OK, Epoch: r.epoch, ID: m.ID, Part: m.Part}
	in := r.incoming
	if in == nil || in.id != m.ID || in.epoch != m.Epoch {
		if m.Part != 0 || in != nil && in.epoch == m.Epoch && m.ID < in.id {
			reply.Status = NeedCopy
			return reply
		}
		in = &incomingCopy{epoch: m.Epoch, id: m.ID, table: program.NewTable()}
		r.incoming = in
	}
	if m.Part < in.nextPart {
		return reply // duplicate
	}
	if m.Part > in.nextPart {
		reply.Status = NeedCopy
		return reply
	}
	in.nextPart++
	in.table.Import(m.Images, m.Suspects)
	if m.Final {
		r.installCopy(m)
	}
	return reply
}

// installCopy replaces the replica's state with the complete incoming copy.
func (r *Replica) installCopy(m *Copy) {
	r.table, r.complete = r.incoming.table, true
	r.log = recordLog{base: m.Start, baseEpoch: m.StartEpoch}
	r.commit, r.applied, r.maxApplied = m.Start, m.Start, m.End
	r.logEvent(LogEvent{Name: "shard_copy_received", Peer: m.From, Sequence: m.End})
}
