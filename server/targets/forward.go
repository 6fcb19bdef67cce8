package targets

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/target"
	"hemlockvale.dev/server/rpc"
)

const (
	// methodForward carries announcements and cache events between entries.
	methodForward = "targets.forward"
	// maxBatchMessages bounds the announcements, and likewise the cache reports, that
	// wait for one entry. Further ones are dropped: targets announce themselves every
	// second, and lost cache events are detected as gaps in the sequence.
	maxBatchMessages = 16_384
)

// forwardedAnnouncement is an announcement with the time since it was received, so
// that forwarding does not extend its lease.
type forwardedAnnouncement struct {
	Announcement target.Announcement `json:"announcement"`
	AgeMS        int64               `json:"age_ms"`
	received     time.Duration       // clock of Targets.now
}

// forwardBatch is the parameter of targets.forward.
type forwardBatch struct {
	Announcements []forwardedAnnouncement `json:"announcements,omitempty"`
	CacheReports  []target.CacheReport    `json:"cache_reports,omitempty"`
}

// forwardQueue holds the messages to be forwarded to one VM.
type forwardQueue struct {
	vm    fleet.VM
	batch forwardBatch
	// sending is set while a batch is being sent. The next batch waits for it, so
	// that an unresponsive VM occupies only one goroutine.
	sending bool
}

// forwardQueues holds the queues by VM id. Targets.mu guards it.
type forwardQueues map[string]*forwardQueue

func newForwardQueues() forwardQueues { return make(forwardQueues) }

// queueFor returns the queue of a VM and creates it if necessary.
func (q forwardQueues) queueFor(vm fleet.VM) *forwardQueue {
	queue := q[vm.ID]
	if queue == nil {
		queue = &forwardQueue{}
		q[vm.ID] = queue
	}
	queue.vm = vm
	return queue
}

// addAnnouncement queues an announcement, or drops it if the queue is full.
func (q forwardQueues) addAnnouncement(vm fleet.VM, now time.Duration, a target.Announcement) {
	queue := q.queueFor(vm)
	if len(queue.batch.Announcements) < maxBatchMessages {
		queue.batch.Announcements = append(queue.batch.Announcements, forwardedAnnouncement{Announcement: a, received: now})
	}
}

// addCacheReport queues a cache report, or drops it if the queue is full.
func (q forwardQueues) addCacheReport(vm fleet.VM, r target.CacheReport) {
	queue := q.queueFor(vm)
	if len(queue.batch.CacheReports) < maxBatchMessages {
		queue.batch.CacheReports = append(queue.batch.CacheReports, r)
	}
}

// flush sends the queued messages of every VM to which no batch is being sent, and
// deletes the empty queues.
func (t *Targets) flush(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for id, queue := range t.forwardQueues {
		if queue.sending {
			continue
		}
		if len(queue.batch.Announcements)+len(queue.batch.CacheReports) == 0 {
			delete(t.forwardQueues, id)
			continue
		}
		batch := queue.batch
		queue.batch, queue.sending = forwardBatch{}, true
		for i := range batch.Announcements {
			batch.Announcements[i].AgeMS = (now - batch.Announcements[i].received).Milliseconds()
		}
		go t.forward(ctx, queue, queue.vm, batch)
	}
}

// forward sends one batch. It does not retry, because targets announce themselves
// every second, which makes older announcements obsolete.
func (t *Targets) forward(ctx context.Context, queue *forwardQueue, vm fleet.VM, batch forwardBatch) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	err := t.options.Pool.Call(ctx, vm.RPCAddress, methodForward, batch, nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	queue.sending = false
	if err != nil && ctx.Err() != context.Canceled {
		t.metrics.forwardFailures.Inc(1)
		t.log.WithFields(logrus.Fields{"event": "forward_failed", "entry": vm.ID, "announcements": len(batch.Announcements)}).Warn(err)
	}
}

// handleForward handles the RPC by which another entry forwards announcements and
// cache events.
func (t *Targets) handleForward(_ context.Context, params json.RawMessage) (any, error) {
	var batch forwardBatch
	if err := json.Unmarshal(params, &batch); err != nil {
		return nil, rpc.Errorf("invalid_message", "%v", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	now := t.now()
	for _, f := range batch.Announcements {
		t.applyAnnouncement(now, time.Duration(f.AgeMS)*time.Millisecond, f.Announcement)
	}
	for _, r := range batch.CacheReports {
		if r.Validate() == nil {
			t.applyCacheReport(now, r)
		}
	}
	return struct{}{}, nil
}
