package quorum

import (
	"encoding/json"
	"errors"
	"fmt"

	"hemlockvale.dev/coord/raft"
	"hemlockvale.dev/server/wal"
)

// ErrUnformed reports a data directory that holds no cluster's log.
var ErrUnformed = errors.New("data directory belongs to no cluster")

// ForceSingleVoter rewrites the log of a stopped replica so that it is the only
// voter of the cluster. It is the last resort after the disks of a majority are
// lost: commands that only the lost disks held are gone, and commands in the
// survivor's log that were not committed take effect. No other former voter may
// ever run again with its old data directory, because together they could
// still form the old quorum.
func ForceSingleVoter(dataDir, name, address string) (Voter, error) {
	self, err := forceSingleVoter(dataDir, name, address)
	if err != nil {
		return Voter{}, fmt.Errorf("force single voter %s: %w", name, err)
	}
	return self, nil
}

func forceSingleVoter(dataDir, name, address string) (v Voter, err error) {
	store, contents, err := wal.Open(dataDir, name)
	if err != nil {
		return v, err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	if contents.Snapshot == nil && len(contents.Entries) == 0 {
		return v, ErrUnformed
	}
	v = Voter{contents.ID, address}
	only := raft.Configuration{Members: []raft.Member{{ReplicaID: v.ReplicaID, Address: address}}}
	data, err := json.Marshal(only)
	if err != nil {
		return v, err
	}
	// The next term makes the entry newer than any that the survivor knows.
	hard := raft.HardState{Term: contents.HardState.Term + 1}
	entry := raft.Entry{Index: lastIndex(contents) + 1, Term: hard.Term, Kind: raft.EntryConfiguration, Data: data}
	return v, store.Append(&hard, []raft.Entry{entry})
}

func lastIndex(c wal.Contents) uint64 {
	if n := len(c.Entries); n > 0 {
		return c.Entries[n-1].Index
	}
	return c.Snapshot.Index
}
