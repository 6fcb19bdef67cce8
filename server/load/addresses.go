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

// addressBook keeps the answer of GET /v1/entries for its lifetime, as callers do.
type addressBook struct {
	key       string
	bootstrap []string
	http      *http.Client

	mu      sync.Mutex
	list    []string
	expires time.Time
}

var errNoEntry = errors.New("no entry answered GET /v1/entries")

// pick returns an address of the kept answer.
func (b *addressBook) pick(ctx context.Context) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) == 0 || time.Now().After(b.expires) {
		if err := b.refresh(ctx); err != nil {
			return "", err
		}
	}
	return b.list[rand.IntN(len(b.list))], nil
}

// drop removes an address that failed.
func (b *addressBook) drop(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var left []string
	for _, a := range b.list {
		if a != address {
			left = append(left, a)
		}
	}
	b.list = left
}

// refreshTimeout bounds the question to one entry.
const refreshTimeout = 2 * time.Second

func (b *addressBook) refresh(ctx context.Context) error {
	for _, i := range rand.Perm(len(b.bootstrap)) {
		askCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
		list, err := (&client.Caller{Address: b.bootstrap[i], Key: b.key, HTTP: b.http}).Entries(askCtx)
		cancel()
		if err != nil || len(list.Entries) == 0 {
			continue
		}
		b.list = b.list[:0]
		for _, entry := range list.Entries {
			b.list = append(b.list, entry.Address)
		}
		b.expires = time.Now().Add(time.Duration(list.LifetimeMS) * time.Millisecond)
		return nil
	}
	return errNoEntry
}
