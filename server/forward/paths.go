package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/reach"
	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/registry"
)

const (
	// silenceLimit is how long a target may leave a request without a response, and all
	// other requests of this VM too, before a new connection shows whether it can be reached.
	silenceLimit = 400 * time.Millisecond
	// silenceRecheck is the time between two such checks for one request.
	silenceRecheck = time.Second
	// breakLimit is how long a repeatable request waits at a target that can't be reached any
	// more. A sound target may be silent for a second or so.
	breakLimit = 1500 * time.Millisecond
	// pathInterval is the time between two searches for targets to try while some are
	// unreachable.
	pathInterval = 100 * time.Millisecond
	// isolationHold is how long the links must be back before this VM says so to others.
	isolationHold = 1500 * time.Millisecond
)

// paths knows which targets this VM can reach. It checks those about which requests leave a
// doubt.
type paths struct {
	entry *Entry

	mu      sync.Mutex
	tracker *reach.Tracker
	// view is the view whose targets the tracker has.
	view *registry.View
	// heardAt is when each target was last heard, on the boot clock.
	heardAt map[string]time.Duration
	// waiting holds the requests that wait for the head of a response.
	waiting map[*wait]struct{}
	// surveyed is closed when the checks end that find out whether this VM has lost all of its
	// links; nil while there are none.
	surveyed chan struct{}
	// watching is set while watch runs. published is set while other VMs are told that this
	// one has lost its links, which it last found at isolatedAt.
	watching, published bool
	isolatedAt          time.Duration
}

func newPaths(e *Entry) *paths {
	return &paths{entry: e, tracker: reach.New(rand.Uint64()), heardAt: make(map[string]time.Duration), waiting: make(map[*wait]struct{})}
}

// wait is a request that waits for the head of a target's response.
type wait struct {
	target string
	conn   *conn
	since  time.Duration
	// repeatable is set if the request may be sent again.
	repeatable bool
	timer      *time.Timer
}

// refresh tells the tracker about the targets of the latest view. The caller holds p.mu.
func (p *paths) refresh() {
	view := p.entry.options.View()
	if view == p.view {
		return
	}
	p.view = view
	ids := make([]string, len(view.Targets))
	for i, t := range view.Targets {
		ids[i] = t.ID
	}
	p.tracker.SetTargets(ids)
	for id := range p.heardAt {
		if _, ok := view.Target(id); !ok {
			delete(p.heardAt, id)
		}
	}
}

// heard records that a target has accepted a connection or sent something.
func (p *paths) heard(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordHeard(target)
}

func (p *paths) recordHeard(target string) {
	now := bootclock.Now()
	p.heardAt[target] = now
	p.update(now, func() { p.tracker.Heard(now, target) })
}

// failed records that no connection to a target could be made. Errors of this VM itself say
// nothing about the path.
func (p *paths) failed(target string, err error) {
	timeout, isPathError := pathError(err)
	if !isPathError {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	if timeout {
		// Idle connections are probably silent as well.
		p.entry.pool.drop(target)
	}
	now := bootclock.Now()
	p.update(now, func() { p.tracker.Failed(now, target) })
}

// pathError reports whether an error of a connection attempt comes from the path or the
// target, and whether it is a timeout.
func pathError(err error) (timeout, isPathError bool) {
	if errors.Is(err, context.Canceled) {
		return false, false
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return true, true
	}
	for _, errno := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		if errors.Is(err, errno) {
			return false, true
		}
	}
	return false, false
}

// update applies a change of the tracker, logs whether it means that this VM has lost its
// links or has them back, and gives up repeatable requests if it has lost them. The caller
// holds p.mu.
func (p *paths) update(now time.Duration, change func()) {
	before := p.tracker.Isolated()
	change()
	isolated := p.tracker.Isolated()
	if isolated {
		p.isolatedAt = now
	}
	if isolated != before {
		p.entry.options.Log.WithFields(logrus.Fields{"event": "target_links", "lost": isolated, "targets": len(p.view.Targets)}).Warn("this VM has lost the links to all targets, or has them back")
	}
	if isolated && !before {
		for w := range p.waiting {
			p.giveUp(w)
		}
		p.publish(true)
	}
	if p.tracker.Idle() {
		return
	}
	if !p.watching {
		p.watching = true
		go p.watch()
	}
	if p.surveyed == nil && p.tracker.Suspicious(now) {
		p.surveyed = make(chan struct{})
		go p.survey(p.tracker.Due(now), p.surveyed)
	}
}

// survey checks targets to find out whether this VM has lost all of its links.
func (p *paths) survey(targets []string, done chan struct{}) {
	var wg sync.WaitGroup
	for _, id := range targets {
		wg.Go(func() { p.check(id) })
	}
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.surveyed = nil
	close(done)
}

// awaitSurvey waits for the end of a survey, if one is in progress.
func (p *paths) awaitSurvey(ctx context.Context) {
	p.mu.Lock()
	done := p.surveyed
	p.mu.Unlock()
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// publish tells the rest of the deployment whether this VM has lost its links. The caller
// holds p.mu.
func (p *paths) publish(isolated bool) {
	if p.published == isolated {
		return
	}
	p.published = isolated
	if p.entry.options.OnIsolation != nil {
		p.entry.options.OnIsolation(isolated)
	}
}

// watch tries targets that are due until all can be reached again.
func (p *paths) watch() {
	ticker := time.NewTicker(pathInterval)
	defer ticker.Stop()
	for range ticker.C {
		p.mu.Lock()
		p.refresh()
		now := bootclock.Now()
		if p.tracker.Isolated() {
			p.isolatedAt = now
		} else if now >= p.isolatedAt+isolationHold {
			p.publish(false)
		}
		due := p.tracker.Due(now)
		if p.tracker.Idle() && !p.published {
			p.watching = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		for _, id := range due {
			go p.check(id)
		}
	}
}

// check connects to a target and keeps the connection for the next request.
func (p *paths) check(target string) {
	t, ok := p.entry.options.View().Target(target)
	if !ok {
		return
	}
	c, err := p.entry.pool.dial(context.Background(), t.Address)
	if err != nil {
		p.entry.options.Log.WithFields(logrus.Fields{"event": "target_path", "target": target, "reached": false}).WithError(err).Info("target can't be reached from this VM")
		p.failed(target, err)
		return
	}
	p.heard(target)
	p.entry.pool.put(target, c, 0)
}

// doubt checks a target whose connection has failed, or that is silent.
func (p *paths) doubt(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	if p.tracker.Doubt(bootclock.Now(), target) {
		go p.check(target)
	}
}

// await starts to watch over a request that was sent on c. The caller calls end once the head
// of the response has arrived or the request has failed.
func (p *paths) await(target string, c *conn, repeatable bool) *wait {
	w := &wait{target: target, conn: c, since: bootclock.Now(), repeatable: repeatable}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[w] = struct{}{}
	w.timer = time.AfterFunc(silenceLimit, func() { p.silent(w) })
	return w
}

// end ends the watch over a request.
func (p *paths) end(w *wait) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.timer.Stop()
	delete(p.waiting, w)
}

// silent is called while a request waits for its response. It checks the target unless that
// has been heard, and gives the request up if it can be sent elsewhere.
func (p *paths) silent(w *wait) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.waiting[w]; !ok {
		return
	}
	p.refresh()
	now := bootclock.Now()
	quiet := now - max(p.heardAt[w.target], w.since)
	if quiet < silenceLimit {
		w.timer.Reset(silenceLimit - quiet)
		return
	}
	if p.tracker.Isolated() || p.tracker.Unreachable(w.target) && quiet >= breakLimit {
		p.giveUp(w)
	} else if p.tracker.Doubt(now, w.target) {
		go p.check(w.target)
	}
	w.timer.Reset(min(silenceRecheck, max(breakLimit-quiet, pathInterval)))
}

// isSilent reports whether nothing was heard from a target for a while, during which a request
// that was sent at the time sentAt waited.
func (p *paths) isSilent(target string, sentAt time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bootclock.Now()-max(p.heardAt[target], sentAt) >= silenceLimit
}

// giveUp closes the connection of a request that may be repeated. One that may not waits on,
// because its target may be running it. The caller holds p.mu.
func (p *paths) giveUp(w *wait) {
	if w.repeatable {
		w.conn.Close()
	}
}

// isolated reports whether this VM has lost the links to all targets.
func (p *paths) isolated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Isolated()
}

// unreachable returns the targets of a service that this VM can't reach. A target with idle
// connections is reached on these.
func (p *paths) unreachable(service string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tracker.Idle() {
		return nil
	}
	p.refresh()
	var ids []string
	for _, id := range p.tracker.AllUnreachable() {
		t, ok := p.view.Target(id)
		if ok && t.Service == service && !p.entry.pool.hasIdle(id) {
			ids = append(ids, id)
		}
	}
	return ids
}
