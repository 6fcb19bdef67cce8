package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// dialRetryDelay is the mean delay after a search that did not find the leader. It doubles
	// with each search after the first quickSearches, which cover an election, up to
	// maxDialRetryDelay: many entries that search together may be what delays the responses.
	dialRetryDelay    = 30 * time.Millisecond
	quickSearches     = 8
	maxDialRetryDelay = 240 * time.Millisecond
	// maxDials bounds the connection attempts of one search.
	maxDials = 6
	// memberSearches is the number of searches after which one also asks store VMs that
	// are not known as members of the ledger's group.
	memberSearches = 4
)

// connect returns the connection to the leader, or nil if ctx ends first. Concurrent
// callers wait for the same search.
func (c *Client) connect(ctx context.Context) *clientLink {
	for ctx.Err() == nil {
		c.mu.Lock()
		if c.link != nil {
			l := c.link
			c.mu.Unlock()
			return l
		}
		searchDone := c.searchDone
		if searchDone == nil {
			c.searchDone = make(chan struct{})
			go c.search(c.candidates())
			searchDone = c.searchDone
		}
		c.mu.Unlock()
		select {
		case <-searchDone:
		case <-ctx.Done():
		}
	}
	return nil
}

// candidates returns the addresses of the store VMs to try at once: the leader as far as
// it is known, which a new connection may still reach, and in turn one of the others, of
// which the members of the ledger's group come first. The caller holds c.mu.
func (c *Client) candidates() []string {
	c.searches++
	others := c.members
	if len(others) == 0 || c.searches%memberSearches == 0 {
		others = c.options.Stores()
	}
	var addresses []string
	for _, leader := range []string{c.successor, c.lostLeader, c.options.Leader()} {
		if leader != "" && !slices.Contains(addresses, leader) {
			addresses = append(addresses, leader)
		}
	}
	others = slices.DeleteFunc(slices.Clone(others), func(s string) bool { return slices.Contains(addresses, s) })
	if len(others) > 0 {
		addresses = append(addresses, others[(c.searches+c.offset)%len(others)])
	}
	return addresses
}

// search looks for the leader, first at the given addresses and then where the responses
// point, and uses the first connection to it.
func (c *Client) search(addresses []string) {
	c.mu.Lock()
	lostLeader := c.lostLeader
	c.mu.Unlock()
	results := make(chan dialResult, maxDials)
	tried := make(map[string]bool)
	pending := 0
	dial := func(address string) {
		if address == "" || tried[address] || len(tried) == maxDials {
			return
		}
		tried[address] = true
		pending++
		go func() {
			form := c.formFor(address)
			l, err := dialLink(address, form, lostLeader, c.connectionFailed)
			c.noteForm(address, form, err)
			results <- dialResult{address, l, err}
		}()
	}
	for _, address := range addresses {
		dial(address)
	}
	var found *clientLink
	for pending > 0 && found == nil {
		r := <-results
		pending--
		found = r.link
		if r.err != nil {
			dial(c.noteDialError(r.address, r.err))
		}
	}
	// The connections that come later are not needed.
	go closeLinks(results, pending)
	if found == nil {
		time.Sleep(c.retryDelay())
	}
	c.endSearch(found)
}

// retryDelay returns the delay after another failed search, with jitter.
func (c *Client) retryDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedSearches++
	doublings := min(max(c.failedSearches-quickSearches, 0), 8)
	delay := min(dialRetryDelay<<doublings, maxDialRetryDelay)
	return delay/2 + rand.N(delay)
}

// dialResult is the result of one connection attempt.
type dialResult struct {
	address string
	link    *clientLink
	err     error
}

// closeLinks closes the connections of the next n results.
func closeLinks(results <-chan dialResult, n int) {
	for range n {
		if r := <-results; r.link != nil {
			r.link.close(nil)
		}
	}
}

// noteDialError records a failed connection attempt and returns the address of the leader
// that the store VM named, or "".
func (c *Client) noteDialError(address string, err error) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markUnavailable(address, err)
	var n notLeader
	if !errors.As(err, &n) {
		return ""
	}
	if len(n.Members) > 0 {
		c.members = n.Members
	}
	return n.Leader
}

// endSearch wakes the callers that wait for a search, which may have found the leader.
func (c *Client) endSearch(found *clientLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.searchDone)
	c.searchDone = nil
	if found == nil {
		return
	}
	if err := c.introduce(found); err != nil {
		found.close(err)
		c.markUnavailable(found.address, err)
		return
	}
	c.link, c.lostLeader, c.successor, c.failedSearches = found, "", "", 0
	if len(found.members) > 0 {
		c.members = found.members
	}
}
