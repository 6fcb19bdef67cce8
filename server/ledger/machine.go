package ledger

import (
	"sync"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/coord/quarantine"
	"hemlockvale.dev/server/compact"
)

// Machine is the replicated state machine of a store VM. It is safe for concurrent
// use.
type Machine struct {
	mu    sync.Mutex
	state *ledger.State
}

// NewMachine returns a state machine with an empty ledger.
func NewMachine() *Machine { return &Machine{state: ledger.New()} }

// Apply executes a committed batch. It returns a ledger.Result or an error.
func (m *Machine) Apply(_ uint64, data []byte) any {
	c, err := decodeCommand(data)
	if err != nil {
		// Only this program writes the log, so an entry that cannot be decoded is a bug
		// in it. All replicas skip the same entry, so their states stay equal.
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Apply(c)
}

// firstCommand is the form of a command in logs of releases without histories.
type firstCommand struct {
	UnixSeconds int64
	Reserves    []ledger.Reserve
	Settles     []ledger.Settle
}

// historyCommand is the form of a command in logs of releases without quarantine and leaving
// targets.
type historyCommand struct {
	UnixSeconds     int64
	Reserves        []ledger.Reserve
	Settles         []ledger.Settle
	Keeps           []history.Keep
	RetiredStorages []string
}

// encodeCommand encodes a command in the form of the earliest release that can execute it,
// because store VMs of both releases apply the same log during an upgrade.
func encodeCommand(c ledger.Command) ([]byte, error) {
	if len(c.Quarantine) > 0 || len(c.Leaving) > 0 {
		return compact.Marshal(c)
	}
	return compact.Marshal(historyCommand{UnixSeconds: c.UnixSeconds, Reserves: c.Reserves, Settles: c.Settles, Keeps: c.Keeps, RetiredStorages: c.RetiredStorages})
}

// decodeCommand decodes a command of this or of an earlier release.
func decodeCommand(data []byte) (ledger.Command, error) {
	var c ledger.Command
	err := compact.Unmarshal(data, &c)
	if err == nil {
		return c, nil
	}
	var second historyCommand
	if compact.Unmarshal(data, &second) == nil {
		return ledger.Command{UnixSeconds: second.UnixSeconds, Reserves: second.Reserves, Settles: second.Settles, Keeps: second.Keeps, RetiredStorages: second.RetiredStorages}, nil
	}
	var first firstCommand
	if compact.Unmarshal(data, &first) != nil {
		return c, err
	}
	return ledger.Command{UnixSeconds: first.UnixSeconds, Reserves: first.Reserves, Settles: first.Settles}, nil
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) { return m.Capture()() }

// Capture implements quorum.Capturer. Requests wait only while the state is copied.
func (m *Machine) Capture() func() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Capture()
}

// Restore replaces the state by one that Snapshot encoded.
func (m *Machine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Restore(data)
}

// fits reports whether the program's budget covers another turn beside the proposed reservations.
func (m *Machine) fits(r ledger.Reserve, proposed map[string]int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.FitsBeside(r, proposed)
}

// fitsSettled reports whether the program's budget would cover another turn if its open
// reservations were settled with no tokens.
func (m *Machine) fitsSettled(r ledger.Reserve) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.FitsSettled(r)
}

func (m *Machine) charged(p ledger.Program) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Charged(p)
}

func (m *Machine) reserves(p ledger.Program, request string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Reserves(p, request)
}

func (m *Machine) programs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Programs()
}

// readTurns calls read with the directory of kept histories and the time of the state in
// Unix seconds. read must not keep the directory.
func (m *Machine) readTurns(read func(turns *history.Directory, unixSeconds int64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	read(m.state.Turns(), m.state.UnixSeconds())
}

// Retired reports whether the VM with a storage is being retired or has been.
func (m *Machine) Retired(storage string) bool {
	retired := false
	m.readTurns(func(turns *history.Directory, _ int64) { retired = turns.Retired(storage) })
	return retired
}

// readSuspects calls read with the requests that have ended targets. read must not keep or
// change them.
func (m *Machine) readSuspects(read func(*quarantine.Records)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	read(m.state.Suspects())
}

// leavingTargets returns the targets that have stated that they leave.
func (m *Machine) leavingTargets() ledger.LeavingTargets {
	m.mu.Lock()
	defer m.mu.Unlock()
	return ledger.NewLeavingTargets(m.state.Leaving())
}
