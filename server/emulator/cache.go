package emulator

import (
	"cmp"
	"slices"

	"hemlockvale.dev/coord/target"
)

// segment is one message of a prompt: the hash of the prompt through it and
// the number of tokens through it.
type segment struct {
	hash   uint64
	tokens int64
}

// cacheEntry is the prefix that one program occupies.
type cacheEntry struct {
	segments []segment
	tokens   int64
	lastUse  uint64
	kept     bool
	// unfinished counts waiting and running requests; running ones pin the prefix.
	unfinished, running int
	// releaseAtEnd frees the entry when its last request ends.
	releaseAtEnd bool
}

// prefixCache is engine memory: prefixes keyed by program, and the memory that
// running requests have reserved. The engine's mutex guards it.
type prefixCache struct {
	capacity int64
	held     int64
	reserved int64
	clock    uint64
	entries  map[string]*cacheEntry
	// notify receives every change of an entry.
	notify func(kind, program string, tokens int64)
}

func newPrefixCache(capacity int64, notify func(kind, program string, tokens int64)) *prefixCache {
	return &prefixCache{capacity: capacity, entries: make(map[string]*cacheEntry), notify: notify}
}

// match returns how many tokens of the prompt the program's prefix covers. The
// rest of an idle prefix is dropped, because the request will override it.
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
		c.held += tokens - e.tokens
		e.segments, e.tokens = e.segments[:matched], tokens
	}
	return tokens
}

// reserve takes memory for a request and evicts idle prefixes where needed. It
// reports false when the memory is in use by running requests.
func (c *prefixCache) reserve(program string, tokens int64) bool {
	for c.held+c.reserved+tokens > c.capacity {
		victim := c.victim(program)
		if victim == "" {
			return false
		}
		c.drop(victim)
	}
	c.reserved += tokens
	return true
}

// victim returns the least recently used idle program, kept ones last.
func (c *prefixCache) victim(except string) string {
	best := ""
	for program, e := range c.entries {
		if e.running > 0 || e.tokens == 0 || program == except {
			continue
		}
		if best == "" || less(e, c.entries[best]) {
			best = program
		}
	}
	return best
}

func less(a, b *cacheEntry) bool {
	if a.kept != b.kept {
		return b.kept
	}
	return a.lastUse < b.lastUse
}

// submit notes a request of the program, so that the state shows it.
func (c *prefixCache) submit(program string) {
	if program == "" {
		return
	}
	e := c.entry(program)
	e.unfinished++
	c.touch(e)
}

// begin pins the program's prefix for a running request.
func (c *prefixCache) begin(program string) {
	if e := c.entries[program]; e != nil {
		e.running++
		c.touch(e)
	}
}

// end returns a running request's reservation and stores the prefix that it computed.
func (c *prefixCache) end(program string, reserved int64, segments []segment) {
	c.reserved -= reserved
	e := c.entries[program]
	if e == nil {
		return
	}
	e.running--
	if len(segments) > 0 {
		c.store(program, segments)
	}
	c.finish(program)
}

// finish notes the end of a request and frees what nothing needs any more.
func (c *prefixCache) finish(program string) {
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
	c.held += tokens - e.tokens
	e.segments, e.tokens = segments, tokens
	c.touch(e)
	c.notify("stored", program, tokens)
}

// release frees the program's memory, or marks it to be freed when its last
// request ends.
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

// keep protects the program's prefix; an engine that lacks it recomputes it.
func (c *prefixCache) keep(program string) {
	e := c.entry(program)
	e.kept = true
	if e.tokens == 0 && c.reserve(program, 1) {
		c.reserved--
		c.store(program, []segment{{hash: 0, tokens: 1}})
	}
}

func (c *prefixCache) entry(program string) *cacheEntry {
	e := c.entries[program]
	if e == nil {
		e = &cacheEntry{}
		c.entries[program] = e
	}
	return e
}

func (c *prefixCache) touch(e *cacheEntry) {
	c.clock++
	e.lastUse = c.clock
}

// drop frees the program's prefix but remembers its unfinished requests.
func (c *prefixCache) drop(program string) {
	e := c.entries[program]
	if e.unfinished == 0 {
		c.remove(program)
		return
	}
	c.held -= e.tokens
	e.segments, e.tokens = nil, 0
	c.notify("removed", program, 0)
}

func (c *prefixCache) remove(program string) {
	c.held -= c.entries[program].tokens
	delete(c.entries, program)
	c.notify("removed", program, 0)
}

// list returns every program that occupies memory, by name.
func (c *prefixCache) list() []target.HeldProgram {
	held := make([]target.HeldProgram, 0, len(c.entries))
	for program, e := range c.entries {
		held = append(held, target.HeldProgram{Program: program, Tokens: e.tokens, Kept: e.kept, Running: e.unfinished})
	}
	slices.SortFunc(held, func(a, b target.HeldProgram) int { return cmp.Compare(a.Program, b.Program) })
	return held
}
