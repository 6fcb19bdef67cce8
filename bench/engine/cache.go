package engine

import "container/list"

// CacheEvent reports a change of the prefix cache.
type CacheEvent struct {
	// Program is the id of the program whose cached history changed.
	Program int
	// Tokens is the number of tokens of the program's history that remain cached;
	// 0 means that none are.
	Tokens int64
}

// cache is the prefix cache. It holds the histories of programs that have no call
// running on this engine, in LRU order.
type cache struct {
	entries map[int]*list.Element // by program id
	lru     *list.List            // of cachedHistory; front: most recently used
	tokens  int64                 // length of all cached histories
	events  []CacheEvent          // not yet returned by Engine.TakeEvents
}

// cachedHistory is the cached part of a program's history.
type cachedHistory struct {
	program int
	tokens  int64
}

// newCache returns an empty cache.
func newCache() cache {
	return cache{entries: map[int]*list.Element{}, lru: list.New()}
}

// lookup returns the number of cached tokens of the program without changing the
// LRU order.
func (c *cache) lookup(program int) int64 {
	if e, ok := c.entries[program]; ok {
		return e.Value.(cachedHistory).tokens
	}
	return 0
}

// store caches the program's history as the most recently used one.
func (c *cache) store(program int, tokens int64) {
	c.take(program)
	c.entries[program] = c.lru.PushFront(cachedHistory{program: program, tokens: tokens})
	c.tokens += tokens
	c.events = append(c.events, CacheEvent{Program: program, Tokens: tokens})
}

// take removes the program's history and returns its length in tokens. It reports no
// event, because a call that takes the history continues to use it.
func (c *cache) take(program int) int64 {
	e, ok := c.entries[program]
	if !ok {
		return 0
	}
	delete(c.entries, program)
	tokens := c.lru.Remove(e).(cachedHistory).tokens
	c.tokens -= tokens
	return tokens
}

// shrink evicts tokens until at most limit tokens are cached. It evicts from the least
// recently used history first, and from the end of it, because the remaining prefix is
// still useful.
func (c *cache) shrink(limit int64) {
	for c.tokens > limit && c.lru.Len() > 0 {
		history := c.lru.Back().Value.(cachedHistory)
		if excess := c.tokens - limit; excess < history.tokens {
			c.truncate(history.program, excess)
			return
		}
		c.drop(history.program)
	}
}

// truncate evicts the given number of tokens from the end of the program's history.
func (c *cache) truncate(program int, tokens int64) {
	e := c.entries[program]
	remaining := e.Value.(cachedHistory).tokens - tokens
	e.Value = cachedHistory{program: program, tokens: remaining}
	c.tokens -= tokens
	c.events = append(c.events, CacheEvent{Program: program, Tokens: remaining})
}

// drop removes the program's history and reports the removal.
func (c *cache) drop(program int) {
	c.take(program)
	c.events = append(c.events, CacheEvent{Program: program})
}
