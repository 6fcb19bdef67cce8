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
)

const (
	// announceInterval leaves two retries within the lease.
	announceInterval = time.Second
	// announceTimeout bounds one post, so that a silent entry cannot delay the next.
	announceTimeout = time.Second
	// announceFanout is how many entries receive each announcement: one of them
	// may be isolated and unable to forward it.
	announceFanout = 2
	// maxReplyBytes bounds an entry's answer.
	maxReplyBytes = 1 << 20
)

// announcer posts announcements and cache events to entries.
type announcer struct {
	first   target.Announcement
	entries []string
	report  func(*target.Announcement)
	log     *logrus.Entry
	client  *http.Client

	mu       sync.Mutex
	sequence uint64
	leaving  bool
	watchers []string
	next     int
	wake     chan struct{}
}

func newAnnouncer(first target.Announcement, entries []string, log *logrus.Entry, report func(*target.Announcement)) *announcer {
	return &announcer{
		first: first, entries: entries, report: report, log: log,
		client: &http.Client{Timeout: announceTimeout}, wake: make(chan struct{}, 1),
	}
}

// run announces every second until ctx ends.
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

// leave makes this and every later announcement say that the target leaves.
func (a *announcer) leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// announce sends one announcement to a few entries, in turn; a leaving target
// tells all that it knows.
func (a *announcer) announce(ctx context.Context) {
	a.mu.Lock()
	a.sequence++
	announcement := a.first
	announcement.Sequence, announcement.Leaving = a.sequence, a.leaving
	count := announceFanout
	if a.leaving {
		count = len(a.entries) + len(a.watchers)
	}
	a.mu.Unlock()
	a.report(&announcement)
	for _, address := range a.recipients(count) {
		go a.announceTo(ctx, address, announcement)
	}
}

func (a *announcer) announceTo(ctx context.Context, address string, announcement target.Announcement) {
	var reply target.AnnounceReply
	err := a.post(ctx, address, "/v1/targets/announce", announcement, &reply)
	if err != nil {
		if ctx.Err() == nil {
			a.log.WithFields(logrus.Fields{"event": "announce_failed", "target": a.first.ID, "entry": address}).Warn(err)
		}
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchers = reply.Watchers
}

// publish sends cache events to one entry, which forwards them.
func (a *announcer) publish(ctx context.Context, events []target.CacheEvent) {
	report := target.CacheReport{Incarnation: a.first.Incarnation, Events: events}
	for _, address := range a.recipients(1) {
		if err := a.post(ctx, address, "/v1/targets/"+a.first.ID+"/cache-events", report, nil); err != nil && ctx.Err() == nil {
			a.log.WithFields(logrus.Fields{"event": "cache_events_lost", "target": a.first.ID, "entry": address}).Warn(err)
		}
	}
}

// recipients returns the next entries in turn, without repetition.
func (a *announcer) recipients(count int) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := slices.Concat(a.entries, a.watchers)
	slices.Sort(known)
	known = slices.Compact(known)
	chosen := make([]string, 0, count)
	for range min(count, len(known)) {
		chosen = append(chosen, known[a.next%len(known)])
		a.next++
	}
	return chosen
}

func (a *announcer) post(ctx context.Context, address, path string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err = errors.Join(err, resp.Body.Close()); err != nil {
		return fmt.Errorf("read: %w", err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s: %s", resp.Status, bytes.TrimSpace(answer))
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(answer, reply)
}
