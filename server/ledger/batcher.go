package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/coord/quarantine"
)

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
	// accepted. It may be nil for a settlement of an entry that gets no acknowledgements.
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

// add queues an operation. If the queue is full, it is dropped and its onOutcome, if any, gets an
// error: a reservation fails, and the entry repeats a settlement.
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
