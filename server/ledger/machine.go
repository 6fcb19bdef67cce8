package ledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
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
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Snapshot()
}

// Restore replaces the state by one that Snapshot encoded.
func (m *Machine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Restore(data)
}

func (m *Machine) fits(r ledger.Reserve) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Fits(r)
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

const (
	// maxBatchOperations bounds the number of operations in one log entry.
	maxBatchOperations = 256
	// batchQueueSize bounds the number of operations that wait for a batch.
	batchQueueSize = 4096
	// proposeTimeout bounds the replication of one batch.
	proposeTimeout = time.Second
)

// operation is one change of the ledger. Exactly one of reserve, settle, keep, quarantine,
// leaving and retiredStorage is set.
type operation struct {
	reserve        *ledger.Reserve
	settle         *ledger.Settle
	keep           *history.Keep
	quarantine     *quarantine.Change
	leaving        *catalog.Incarnation
	retiredStorage string
	// onOutcome receives the outcome: whether a reservation is covered or a keep was
	// accepted. It may be nil for a settlement.
	onOutcome func(accepted bool, err error)
}

// proposer is the part of *quorum.Quorum that the batcher uses.
type proposer interface {
	Propose(ctx context.Context, data []byte) (any, error)
}

// batcher combines operations into batches, each of which is one log entry.
type batcher struct {
	quorum proposer
	log    *logrus.Entry
	queue  chan operation
}

func newBatcher(q proposer, log *logrus.Entry) *batcher {
	return &batcher{quorum: q, log: log, queue: make(chan operation, batchQueueSize)}
}

// add queues an operation. If the queue is full, a reservation fails, and a settlement
// is dropped, so the turn stays charged with its maximum number of tokens.
func (b *batcher) add(op operation) {
	select {
	case b.queue <- op:
	default:
		b.log.WithFields(logrus.Fields{"event": "ledger_queue_full", "queued": len(b.queue)}).Warn("operation dropped: the ledger queue is full")
		if op.onOutcome != nil {
			go op.onOutcome(false, fmt.Errorf("ledger queue is full"))
		}
	}
}

func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case op := <-b.queue:
			// One batch is proposed at a time, so operations keep their order and a
			// busy ledger writes fewer and larger entries.
			b.propose(ctx, b.collectBatch(op))
		}
	}
}

func (b *batcher) collectBatch(first operation) []operation {
	batch := []operation{first}
	for len(batch) < maxBatchOperations {
		select {
		case op := <-b.queue:
			batch = append(batch, op)
		default:
			return batch
		}
	}
	return batch
}

func (b *batcher) propose(ctx context.Context, batch []operation) {
	command := ledger.Command{UnixSeconds: time.Now().Unix()}
	for _, op := range batch {
		switch {
		case op.reserve != nil:
			command.Reserves = append(command.Reserves, *op.reserve)
		case op.settle != nil:
			command.Settles = append(command.Settles, *op.settle)
		case op.keep != nil:
			command.Keeps = append(command.Keeps, *op.keep)
		case op.quarantine != nil:
			command.Quarantine = append(command.Quarantine, *op.quarantine)
		case op.leaving != nil:
			command.Leaving = append(command.Leaving, *op.leaving)
		default:
			command.RetiredStorages = append(command.RetiredStorages, op.retiredStorage)
		}
	}
	result, err := b.commit(ctx, command)
	if err != nil {
		b.log.WithFields(logrus.Fields{"event": "ledger_batch_failed", "reserves": len(command.Reserves), "settles": len(command.Settles), "keeps": len(command.Keeps), "quarantine": len(command.Quarantine), "leaving": len(command.Leaving)}).WithError(err).Warn("batch not confirmed")
	}
	for _, op := range batch {
		accepted := err == nil
		switch {
		case op.reserve != nil:
			accepted = accepted && takeFirst(&result.Reserved)
		case op.keep != nil:
			accepted = accepted && takeFirst(&result.Kept)
		}
		if op.onOutcome != nil {
			op.onOutcome(accepted, err)
		}
	}
}

// takeFirst removes and returns the first value of a list; false if it is empty.
func takeFirst(list *[]bool) bool {
	if len(*list) == 0 {
		return false
	}
	first := (*list)[0]
	*list = (*list)[1:]
	return first
}

func (b *batcher) commit(ctx context.Context, c ledger.Command) (ledger.Result, error) {
	data, err := encodeCommand(c)
	if err != nil {
		return ledger.Result{}, fmt.Errorf("encode batch: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := b.quorum.Propose(ctx, data)
	if err != nil {
		return ledger.Result{}, err
	}
	switch result := result.(type) {
	case ledger.Result:
		return result, nil
	case error:
		return ledger.Result{}, result
	}
	return ledger.Result{}, fmt.Errorf("unexpected result %T", result)
}
