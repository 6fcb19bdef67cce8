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

// Machine is the replicated ledger of a store VM.
type Machine struct {
	mu    sync.Mutex
	state *ledger.State
}

// NewMachine returns an empty ledger.
func NewMachine() *Machine { return &Machine{state: ledger.New()} }

// Apply executes a committed batch and returns which reservations fitted, as []bool.
func (m *Machine) Apply(_ uint64, data []byte) any {
	var c ledger.Command
	if err := compact.Unmarshal(data, &c); err != nil {
		// Only this program writes the log, so this is a fault of its own; all replicas skip it alike.
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Apply(c)
}

// Snapshot returns the complete state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Snapshot()
}

// Restore replaces the state.
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
	// maxBatch bounds the operations in one log entry.
	maxBatch = 256
	// batchQueue bounds the operations that wait for a batch.
	batchQueue = 4096
	// proposeTimeout bounds one batch.
	proposeTimeout = time.Second
)

// operation is one change of the ledger; exactly one of reserve and settle is set.
type operation struct {
	reserve *ledger.Reserve
	settle  *ledger.Settle
	// then receives the outcome of a reservation.
	then func(fitted bool, err error)
}

// proposer is the part of a quorum that the batcher needs.
type proposer interface {
	Propose(ctx context.Context, data []byte) (any, error)
}

// batcher combines operations into log entries.
type batcher struct {
	quorum proposer
	log    *logrus.Entry
	queue  chan operation
}

func newBatcher(q proposer, log *logrus.Entry) *batcher {
	return &batcher{quorum: q, log: log, queue: make(chan operation, batchQueue)}
}

// add queues an operation. A full queue fails a reservation; a settlement that
// does not fit leaves the turn charged at its most.
func (b *batcher) add(op operation) {
	select {
	case b.queue <- op:
	default:
		b.log.WithFields(logrus.Fields{"event": "ledger_queue_full", "queued": len(b.queue)}).Warn("operation dropped")
		if op.then != nil {
			go op.then(false, fmt.Errorf("ledger queue is full"))
		}
	}
}

func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case op := <-b.queue:
			// One batch at a time: operations keep their order, and a busy
			// ledger writes fewer, larger entries.
			b.propose(ctx, b.collect(op))
		}
	}
}

func (b *batcher) collect(first operation) []operation {
	batch := []operation{first}
	for len(batch) < maxBatch {
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
		fitted := err == nil && i < len(result) && result[i]
		i++
		op.then(fitted, err)
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
