package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// peersValidity is the age from which on a list of entries is fetched again, and
	// peersRetention the age up to which it is used meanwhile.
	peersValidity  = 500 * time.Millisecond
	peersRetention = 10 * time.Second
	// minFetchInterval is the time between the starts of two fetches.
	minFetchInterval = 50 * time.Millisecond
	// peersFetchTimeout bounds one fetch.
	peersFetchTimeout = 2 * time.Second
)

// peers holds the entries that can reach targets, as control names them.
type peers struct {
	mu        sync.Mutex
	addresses []string
	// triedAt is the start of the latest fetch, and fetchedAt the end of the latest one that
	// succeeded.
	triedAt, fetchedAt time.Time
	// fetched is closed when the fetch in progress ends; nil while there is none.
	fetched chan struct{}
}

// list returns the addresses. It waits for control only if it knows none.
func (p *peers) list(ctx context.Context, fetch func(context.Context) ([]string, error), log *logrus.Entry) []string {
	p.mu.Lock()
	age := time.Since(p.fetchedAt)
	isWanted := age >= peersValidity || len(p.addresses) == 0
	if isWanted && p.fetched == nil {
		p.fetched = make(chan struct{})
		delay := minFetchInterval - time.Since(p.triedAt)
		time.AfterFunc(delay, func() { p.refresh(fetch, log) })
	}
	addresses, fetched := p.addresses, p.fetched
	p.mu.Unlock()
	if fetched == nil || len(addresses) > 0 && age < peersRetention {
		return addresses
	}
	select {
	case <-fetched:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses
}

// refresh fetches the list.
func (p *peers) refresh(fetch func(context.Context) ([]string, error), log *logrus.Entry) {
	p.mu.Lock()
	p.triedAt = time.Now()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), peersFetchTimeout)
	defer cancel()
	addresses, err := fetch(ctx)
	if err != nil {
		log.WithField("event", "relay_peers").WithError(err).Warn("control does not name the entries to relay requests to")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.addresses, p.fetchedAt = addresses, time.Now()
	}
	close(p.fetched)
	p.fetched = nil
}

// remove leaves out an address that did not take a request, until the list is fetched again.
func (p *peers) remove(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = slices.DeleteFunc(slices.Clone(p.addresses), func(a string) bool { return a == address })
}
