package ledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/ledger"
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

// Apply executes a committed batch. It returns a []bool that reports for each
// reservation whether the budget covers it, or an error.
func (m *Machine) Apply(_ uint64, data []byte) any {
	var c ledger.Command
	if err := compact.Unmarshal(data, &c); err != nil {
		// Only this program writes the log, so an entry that cannot be decoded is a bug
		// in it. All replicas skip the same entry, so their states stay equal.
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Apply(c)
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

func (m *Machine) programs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Programs()
}

const (
	// maxBatchOperations bounds the number of operations in one log entry.
	maxBatchOperations = 256
	// batchQueueSize bounds the number of operations that wait for a batch.
	batchQueueSize = 4096
	// proposeTimeout bounds the replication of one batch.
	proposeTimeout = time.Second
)

// operation is one change of the ledger. Exactly one of reserve and settle is set.
type operation struct {
	reserve *ledger.Reserve
	settle  *ledger.Settle
	// onOutcome receives the outcome of a reservation; nil for a settlement.
	onOutcome func(covered bool, err error)
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
		if op.reserve != nil {
			command.Reserves = append(command.Reserves, *op.reserve)
		} else {
			command.Settles = append(command.Settles, *op.settle)
		}
	}
	result, err := b.commit(ctx, command)
	if err != nil {
		b.log.WithFields(logrus.Fields{"event": "ledger_batch_failed", "reserves": len(command.Reserves), "settles": len(command.Settles)}).WithError(err).Warn("batch not confirmed")
	}
	i := 0
	for _, op := range batch {
		if op.reserve == nil {
			continue
		}
		covered := err == nil && i < len(result) && result[i]
		i++
		op.onOutcome(covered, err)
	}
}

func (b *batcher) commit(ctx context.Context, c ledger.Command) ([]bool, error) {
	data, err := compact.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode batch: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := b.quorum.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	switch result := result.(type) {
	case []bool:
		return result, nil
	case error:
		return nil, result
	}
	return nil, fmt.Errorf("unexpected result %T", result)
}
