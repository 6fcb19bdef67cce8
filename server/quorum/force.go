package quorum

import (
	"encoding/json"
	"errors"
	"fmt"

	"hemlockvale.dev/coord/raft"
	"hemlockvale.dev/server/wal"
)

// ErrNotFormed reports a data directory whose replica has never belonged to a cluster.
var ErrNotFormed = errors.New("data directory belongs to no cluster")

// ForceSingleVoter appends a configuration to the log of a stopped replica that makes
// it the only voter of the cluster. It is meant for the permanent loss of a majority
// of the disks: commands that only the lost disks held are lost, and uncommitted
// commands in this replica's log take effect. No other former voter may run again with
// its old data directory, because a majority of the former voters could still elect a
// leader under the old configuration.
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
		return v, ErrNotFormed
	}
	v = Voter{contents.ID, address}
	configuration := raft.Configuration{Members: []raft.Member{{ReplicaID: v.ReplicaID, Address: address}}}
	data, err := json.Marshal(configuration)
	if err != nil {
		return v, err
	}
	// The next term makes the entry newer than any entry that this replica knows.
	hardState := raft.HardState{Term: contents.HardState.Term + 1}
	entry := raft.Entry{Index: lastIndex(contents) + 1, Term: hardState.Term, Kind: raft.EntryConfiguration, Data: data}
	return v, store.Append(&hardState, []raft.Entry{entry})
}

func lastIndex(c wal.Contents) uint64 {
	if n := len(c.Entries); n > 0 {
		return c.Entries[n-1].Index
	}
	return c.Snapshot.Index
}
