package engine

import "container/list"

// CacheEvent reports a change of the prefix cache. Tokens is what the engine
// holds of the program's history afterwards; zero means nothing.
type CacheEvent struct {
	Program int
	Tokens  int64
}

// cache holds the histories of programs that have no call running here, in the
// order of their last use.
type cache struct {
	entries map[int]*list.Element
	order   *list.List // front: most recently used
	tokens  int64
	events  []CacheEvent
}

type cached struct {
	program int
	tokens  int64
}

func newCache() cache {
	return cache{entries: map[int]*list.Element{}, order: list.New()}
}

func (c *cache) lookup(program int) int64 {
	if e, ok := c.entries[program]; ok {
		return e.Value.(cached).tokens
	}
	return 0
}

func (c *cache) store(program int, tokens int64) {
	c.take(program)
	c.entries[program] = c.order.PushFront(cached{program: program, tokens: tokens})
	c.tokens += tokens
	c.events = append(c.events, CacheEvent{Program: program, Tokens: tokens})
}

// take removes the program's history without an event: a call that uses it runs.
func (c *cache) take(program int) int64 {
	e, ok := c.entries[program]
	if !ok {
		return 0
	}
	delete(c.entries, program)
	tokens := c.order.Remove(e).(cached).tokens
	c.tokens -= tokens
	return tokens
}

// shrink evicts until at most limit tokens are held: the end of the least
// recently used history first, because a shorter prefix is still useful.
func (c *cache) shrink(limit int64) {
	for c.tokens > limit && c.order.Len() > 0 {
		oldest := c.order.Back().Value.(cached)
		if excess := c.tokens - limit; excess < oldest.tokens {
			c.cut(oldest.program, excess)
			return
		}
		c.drop(oldest.program)
	}
}

func (c *cache) cut(program int, tokens int64) {
	e := c.entries[program]
	left := e.Value.(cached).tokens - tokens
	e.Value = cached{program: program, tokens: left}
	c.tokens -= tokens
	c.events = append(c.events, CacheEvent{Program: program, Tokens: left})
}

// drop removes the program's history and reports it.
func (c *cache) drop(program int) {
	c.take(program)
	c.events = append(c.events, CacheEvent{Program: program})
}
