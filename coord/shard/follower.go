package shard

import (
	"hemlockvale.dev/coord/program"
)

// incomingCopy is the latest copy that was started. It is kept after its last
// part, so that parts that are delivered late cannot replace newer state.
type incomingCopy struct {
	epoch uint64
	id    uint64
	part  int // next part
	table *program.Table
}

// accept checks a message's addressee and epoch and adopts a later epoch.
func (r *Replica) accept(h *Header) (Status, bool) {
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
	r.offset = max(r.offset, h.Time-r.now)
	return OK, true
}

// receive stores the records of a message.
func (r *Replica) receive(m *Append) AppendReply {
	status, ok := r.accept(&m.Header)
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
		reply.Status, reply.Last = r.reject(m.Previous)
	default:
		reply.Status, reply.Last = r.store(m)
	}
	return reply
}

// reject answers a message that follows a record which this replica holds in
// another version. The owner steps back until both logs agree; where the table
// contains the differing record already, only a copy helps.
func (r *Replica) reject(previous uint64) (Status, uint64) {
	if previous <= r.ahead {
		return NeedCopy, 0
	}
	return Gap, previous - 1
}

func (r *Replica) store(m *Append) (Status, uint64) {
	for i := range m.Records {
		rec := &m.Records[i]
		if rec.Index <= r.log.last() {
			if rec.Index <= r.log.base || r.log.epochAt(rec.Index) == rec.Epoch {
				continue
			}
			if rec.Index <= r.ahead {
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

// receiveCopy stores a part of a full copy. The replica's old state remains
// until the final part has arrived.
func (r *Replica) receiveCopy(m *Copy) CopyReply {
	status, ok := r.accept(&m.Header)
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
	if m.Part < in.part {
		return reply // delivered twice
	}
	if m.Part > in.part {
		reply.Status = NeedCopy
		return reply
	}
	in.part++
	in.table.Import(m.Images, m.Suspects)
	if m.Final {
		r.install(m)
	}
	return reply
}

func (r *Replica) install(m *Copy) {
	r.table, r.complete = r.incoming.table, true
	r.log = recordLog{base: m.Start, baseEpoch: m.StartEpoch}
	r.commit, r.applied, r.ahead = m.Start, m.Start, m.End
	r.note(Note{Name: "shard_copy_received", Peer: m.From, Sequence: m.End})
}
