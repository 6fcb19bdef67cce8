package emulator

import (
	"cmp"
	"slices"

	"hemlockvale.dev/coord/target"
)

// segment is one message of a prompt. Its hash and its token count cover the prompt from
// its start to the end of the message.
type segment struct {
	hash   uint64
	tokens int64
}

// cacheEntry is the cached prefix of one program.
type cacheEntry struct {
	segments []segment
	tokens   int64
	// lastUse is the value of prefixCache.clock at the last use.
	lastUse uint64
	// kept is true if a keep order made the prefix one of the last to be evicted.
	kept bool
	// unfinished counts waiting and running requests, and running only the running ones,
	// which pin the prefix.
	unfinished, running int
	// releaseAtEnd is true if the entry is to be freed when its last request ends.
	releaseAtEnd bool
}

// prefixCache models the engine's KV cache: one prefix for each program, and the memory
// reserved for running requests. It is guarded by Engine.mu.
type prefixCache struct {
	// capacity limits the sum of cachedTokens and reservedTokens.
	capacity       int64
	cachedTokens   int64
	reservedTokens int64
	// clock is a logical clock that counts the uses of entries.
	clock   uint64
	entries map[string]*cacheEntry
	// notify is called when a prefix is stored or removed.
	notify func(kind, program string, tokens int64)
}

func newPrefixCache(capacity int64, notify func(kind, program string, tokens int64)) *prefixCache {
	return &prefixCache{capacity: capacity, entries: make(map[string]*cacheEntry), notify: notify}
}

// match returns the number of prompt tokens that the program's prefix covers. If the
// prefix is idle, match truncates it to these tokens, because the request will overwrite
// the rest.
func (c *prefixCache) match(program string, prompt []segment) int64 {
	e := c.entries[program]
	if e == nil {
		return 0
	}
	matched := 0
	for matched < min(len(e.segments), len(prompt)) && e.segments[matched].hash == prompt[matched].hash {
		matched++
	}
	var tokens int64
	if matched > 0 {
		tokens = prompt[matched-1].tokens
	}
	if e.running == 0 {
		c.cachedTokens += tokens - e.tokens
		e.segments, e.tokens = e.segments[:matched], tokens
	}
	return tokens
}

// reserve reserves memory for a request of the program and evicts idle prefixes of other
// programs if needed. It returns false if there is still too little memory.
func (c *prefixCache) reserve(program string, tokens int64) bool {
	for c.cachedTokens+c.reservedTokens+tokens > c.capacity {
		victim := c.victim(program)
		if victim == "" {
			return false
		}
		c.drop(victim)
	}
	c.reservedTokens += tokens
	return true
}

// victim returns the program whose prefix to evict next: the least recently used idle
// one, and a kept one only if no other is left. It returns "" if there is none.
func (c *prefixCache) victim(except string) string {
	best := ""
	for program, e := range c.entries {
		if e.running > 0 || e.tokens == 0 || program == except {
			continue
		}
		if best == "" || evictedBefore(e, c.entries[best]) {
			best = program
		}
	}
	return best
}

// evictedBefore reports whether a is evicted before b.
func evictedBefore(a, b *cacheEntry) bool {
	if a.kept != b.kept {
		return b.kept
	}
	return a.lastUse < b.lastUse
}

// track counts a new request of the program, so that the engine's state lists the
// program.
func (c *prefixCache) track(program string) {
	if program == "" {
		return
	}
	e := c.entry(program)
	e.unfinished++
	c.touch(e)
}

// pin protects the program's prefix from eviction while a request runs.
func (c *prefixCache) pin(program string) {
	if e := c.entries[program]; e != nil {
		e.running++
		c.touch(e)
	}
}

// complete frees the reservation of a running request, unpins the prefix and stores the
// one that the request computed.
func (c *prefixCache) complete(program string, reserved int64, segments []segment) {
	c.reservedTokens -= reserved
	e := c.entries[program]
	if e == nil {
		return
	}
	e.running--
	if len(segments) > 0 {
		c.store(program, segments)
	}
	c.untrack(program)
}

// untrack counts the end of a request. It removes the entry after the last request if
// the entry was released or is empty.
func (c *prefixCache) untrack(program string) {
	e := c.entries[program]
	if e == nil {
		return
	}
	e.unfinished--
	if e.unfinished == 0 && (e.releaseAtEnd || e.tokens == 0) {
		c.remove(program)
	}
}

// store replaces the program's prefix.
func (c *prefixCache) store(program string, segments []segment) {
	e := c.entry(program)
	tokens := segments[len(segments)-1].tokens
	c.cachedTokens += tokens - e.tokens
	e.segments, e.tokens = segments, tokens
	c.touch(e)
	c.notify("stored", program, tokens)
}

// release frees the program's memory, or marks it to be freed when the last request of
// the program ends.
func (c *prefixCache) release(program string) {
	e := c.entries[program]
	if e == nil {
		return
	}
	e.kept = false
	if e.unfinished == 0 {
		c.remove(program)
		return
	}
	e.releaseAtEnd = true
	if e.running == 0 {
		c.drop(program)
	}
}

// keep makes the program's prefix one of the last to be evicted. If the prefix is not
// cached, keep stores a placeholder of one token; a real engine would recompute the prefix.
func (c *prefixCache) keep(program string) {
	e := c.entry(program)
	e.kept = true
	if e.tokens == 0 && c.reserve(program, 1) {
		c.reservedTokens--
		c.store(program, []segment{{hash: 0, tokens: 1}})
	}
}

// entry returns the program's entry and creates it if needed.
func (c *prefixCache) entry(program string) *cacheEntry {
	e := c.entries[program]
	if e == nil {
		e = &cacheEntry{}
		c.entries[program] = e
	}
	return e
}

// touch marks the entry as the most recently used.
func (c *prefixCache) touch(e *cacheEntry) {
	c.clock++
	e.lastUse = c.clock
}

// drop frees the program's prefix. It keeps the entry while requests of the program are
// unfinished.
func (c *prefixCache) drop(program string) {
	e := c.entries[program]
	if e.unfinished == 0 {
		c.remove(program)
		return
	}
	c.cachedTokens -= e.tokens
	e.segments, e.tokens = nil, 0
	c.notify("removed", program, 0)
}

// remove deletes the program's entry and frees its prefix.
func (c *prefixCache) remove(program string) {
	c.cachedTokens -= c.entries[program].tokens
	delete(c.entries, program)
	c.notify("removed", program, 0)
}

// list returns all entries, ordered by program.
func (c *prefixCache) list() []target.HeldProgram {
	held := make([]target.HeldProgram, 0, len(c.entries))
	for program, e := range c.entries {
		held = append(held, target.HeldProgram{Program: program, Tokens: e.tokens, Kept: e.kept, Running: e.unfinished})
	}
	slices.SortFunc(held, func(a, b target.HeldProgram) int { return cmp.Compare(a.Program, b.Program) })
	return held
}
