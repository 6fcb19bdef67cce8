package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"hemlockvale.dev/server/client"
)

// entryCache caches the entry addresses from GET /v1/entries for the lifetime of the
// response, as callers do.
type entryCache struct {
	key       string
	bootstrap []string // addresses of entries that serve GET /v1/entries
	http      *http.Client

	mu        sync.Mutex // guards the fields below
	addresses []string
	expires   time.Time
}

var errNoEntry = errors.New("no entry responded to GET /v1/entries")

// pick returns the address of a random entry. It refreshes the cache if it is empty or
// expired.
func (c *entryCache) pick(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 || time.Now().After(c.expires) {
		if err := c.refresh(ctx); err != nil {
			return "", err
		}
	}
	return c.addresses[rand.IntN(len(c.addresses))], nil
}

// remove removes the address of an entry that failed a call.
func (c *entryCache) remove(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var remaining []string
	for _, a := range c.addresses {
		if a != address {
			remaining = append(remaining, a)
		}
	}
	c.addresses = remaining
}

// refreshTimeout limits the request to one bootstrap address.
const refreshTimeout = 2 * time.Second

// refresh replaces the addresses. It tries the bootstrap addresses in random order.
func (c *entryCache) refresh(ctx context.Context) error {
	for _, i := range rand.Perm(len(c.bootstrap)) {
		requestCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
		list, err := (&client.Caller{Address: c.bootstrap[i], Key: c.key, HTTP: c.http}).Entries(requestCtx)
		cancel()
		if err != nil || len(list.Entries) == 0 {
			continue
		}
		c.addresses = c.addresses[:0]
		for _, entry := range list.Entries {
			c.addresses = append(c.addresses, entry.Address)
		}
		c.expires = time.Now().Add(time.Duration(list.LifetimeMS) * time.Millisecond)
		return nil
	}
	return errNoEntry
}
