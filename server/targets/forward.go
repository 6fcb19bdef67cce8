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
	methodForward = "targets.forward"
	// maxBatch bounds the messages that wait for one entry. Announcements repeat
	// every second, and lost cache events are noticed as gaps.
	maxBatch = 16_384
)

// forwardedAnnouncement is an announcement with the time since it was received,
// so that its lease does not grow on the way.
type forwardedAnnouncement struct {
	Announcement target.Announcement `json:"announcement"`
	AgeMS        int64               `json:"age_ms"`
	received     time.Duration
}

// forwardBatch is the parameter of targets.forward.
type forwardBatch struct {
	Announcements []forwardedAnnouncement `json:"announcements,omitempty"`
	CacheReports  []target.CacheReport    `json:"cache_reports,omitempty"`
}

// mailbox collects what is sent to one entry.
type mailbox struct {
	vm    fleet.VM
	batch forwardBatch
	// busy is set while a batch is on its way; the next one waits for it, so
	// that a silent entry occupies one goroutine.
	busy bool
}

// outbox holds the mailboxes by VM id. The adapter's mutex guards it.
type outbox map[string]*mailbox

func newOutbox() outbox { return make(outbox) }

func (o outbox) mailbox(vm fleet.VM) *mailbox {
	m := o[vm.ID]
	if m == nil {
		m = &mailbox{}
		o[vm.ID] = m
	}
	m.vm = vm
	return m
}

func (o outbox) announce(vm fleet.VM, now time.Duration, a target.Announcement) {
	m := o.mailbox(vm)
	if len(m.batch.Announcements) < maxBatch {
		m.batch.Announcements = append(m.batch.Announcements, forwardedAnnouncement{Announcement: a, received: now})
	}
}

func (o outbox) cacheEvents(vm fleet.VM, r target.CacheReport) {
	m := o.mailbox(vm)
	if len(m.batch.CacheReports) < maxBatch {
		m.batch.CacheReports = append(m.batch.CacheReports, r)
	}
}

// flush sends every mailbox that is not busy, and drops the empty ones.
func (t *Targets) flush(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for id, m := range t.outbox {
		if m.busy {
			continue
		}
		if len(m.batch.Announcements)+len(m.batch.CacheReports) == 0 {
			delete(t.outbox, id)
			continue
		}
		batch := m.batch
		m.batch, m.busy = forwardBatch{}, true
		for i := range batch.Announcements {
			batch.Announcements[i].AgeMS = (now - batch.Announcements[i].received).Milliseconds()
		}
		go t.forward(ctx, m, m.vm, batch)
	}
}

// forward sends one batch. A batch that fails is not repeated: the targets announce
// themselves every second, and old announcements are of no use.
func (t *Targets) forward(ctx context.Context, m *mailbox, vm fleet.VM, batch forwardBatch) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	err := t.options.Pool.Call(ctx, vm.RPCAddress, methodForward, batch, nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	m.busy = false
	if err != nil && ctx.Err() != context.Canceled {
		t.metrics.forwardFailures.Inc(1)
		t.log.WithFields(logrus.Fields{"event": "forward_failed", "entry": vm.ID, "announcements": len(batch.Announcements)}).Warn(err)
	}
}

// handleForward accepts announcements and cache events from another entry.
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
		t.announce(now, time.Duration(f.AgeMS)*time.Millisecond, f.Announcement)
	}
	for _, r := range batch.CacheReports {
		if r.Validate() == nil {
			t.cacheEvents(now, r)
		}
	}
	return struct{}{}, nil
}
