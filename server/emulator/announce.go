package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/target"
	"hemlockvale.dev/server/integrity"
)

const (
	// announceInterval is the time between announcements. It leaves time for two retries
	// before the lease expires.
	announceInterval = time.Second
	// announceTimeout limits one POST, so that an unresponsive entry does not delay the
	// next one.
	announceTimeout = time.Second
	// announceFanout is the number of entries that receive each announcement. One of
	// them may be isolated and unable to forward it.
	announceFanout = 2
	// maxResponseBytes limits the size of an entry's response.
	maxResponseBytes = 1 << 20
)

// announcer sends announcements and cache events to entries.
type announcer struct {
	// template holds the fields that are the same in all announcements; announce and
	// refresh set the others.
	template target.Announcement
	entries  []string
	refresh  func(*target.Announcement)
	log      *logrus.Entry
	client   *http.Client

	mu sync.Mutex
	// sequence is the number of the latest announcement.
	sequence uint64
	leaving  bool
	// watchers are the addresses from the latest target.AnnounceReply.
	watchers []string
	// nextRecipient is the round-robin counter. Modulo the number of known entries it is
	// the index of the next recipient.
	nextRecipient int
	// wake makes run send an announcement at once.
	wake chan struct{}
}

func newAnnouncer(template target.Announcement, entries []string, log *logrus.Entry, refresh func(*target.Announcement)) *announcer {
	return &announcer{
		template: template, entries: entries, refresh: refresh, log: log,
		client: &http.Client{Timeout: announceTimeout}, wake: make(chan struct{}, 1),
	}
}

// run sends announcements every announceInterval, and at once after leave, until ctx
// ends.
func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		a.announce(ctx)
		select {
		case <-ctx.Done():
			a.client.CloseIdleConnections()
			return
		case <-ticker.C:
		case <-a.wake:
		}
	}
}

// leave marks all further announcements as leaving and sends one at once.
func (a *announcer) leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// announce sends one announcement to the next announceFanout entries, or to all known
// entries if the target is leaving.
func (a *announcer) announce(ctx context.Context) {
	a.mu.Lock()
	a.sequence++
	announcement := a.template
	announcement.Sequence, announcement.Leaving = a.sequence, a.leaving
	count := announceFanout
	if a.leaving {
		count = len(a.entries) + len(a.watchers)
	}
	a.mu.Unlock()
	a.refresh(&announcement)
	for _, address := range a.recipients(count) {
		go a.announceTo(ctx, address, announcement)
	}
}

// announceTo sends an announcement to one entry and stores the watchers that it returns.
func (a *announcer) announceTo(ctx context.Context, address string, announcement target.Announcement) {
	var reply target.AnnounceReply
	err := a.post(ctx, address, "/v1/targets/announce", announcement, &reply)
	if err != nil {
		if ctx.Err() == nil {
			a.log.WithFields(logrus.Fields{"event": "announce_failed", "target": a.template.ID, "entry": address}).Warn(err)
		}
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchers = reply.Watchers
}

// publish sends cache events to the next entry, which forwards them.
func (a *announcer) publish(ctx context.Context, events []target.CacheEvent) {
	report := target.CacheReport{Incarnation: a.template.Incarnation, Events: events}
	for _, address := range a.recipients(1) {
		if err := a.post(ctx, address, "/v1/targets/"+a.template.ID+"/cache-events", report, nil); err != nil && ctx.Err() == nil {
			a.log.WithFields(logrus.Fields{"event": "cache_events_lost", "target": a.template.ID, "entry": address}).Warn(err)
		}
	}
}

// recipients returns up to count distinct entries in round-robin order.
func (a *announcer) recipients(count int) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := slices.Concat(a.entries, a.watchers)
	slices.Sort(known)
	known = slices.Compact(known)
	chosen := make([]string, 0, count)
	for range min(count, len(known)) {
		chosen = append(chosen, known[a.nextRecipient%len(known)])
		a.nextRecipient++
	}
	return chosen
}

// post sends body as JSON and decodes the response into result, unless result is nil.
func (a *announcer) post(ctx context.Context, address, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request body: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err = errors.Join(err, resp.Body.Close()); err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if !integrity.IsSuccess(resp.StatusCode) {
		return fmt.Errorf("%s: %s", resp.Status, bytes.TrimSpace(content))
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(content, result)
}
