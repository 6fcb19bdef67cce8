package dispatch

import "container/list"

// prefixCache models the prefix cache of an engine to estimate which prompt parts it
// holds. The least recently used parts are evicted when the engine's memory is full.
type prefixCache struct {
	capacity   int64
	usedTokens int64
	order      *list.List // of Part, most recently used first
	byID       map[string]*list.Element
}

func newPrefixCache(capacity int64) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), byID: make(map[string]*list.Element)}
}

// cachedTokens returns how many tokens at the start of a prompt the cache holds.
func (p *prefixCache) cachedTokens(parts []Part) int64 {
	total := int64(0)
	for _, part := range parts {
		if p.byID[part.ID] == nil {
			break
		}
		total += part.Tokens
	}
	return total
}

// recordPrompt records that the engine processes a prompt.
func (p *prefixCache) recordPrompt(parts []Part) {
	// Parts are touched from last to first, so that the leading parts, which
	// requests share, are evicted last.
	for i := len(parts) - 1; i >= 0; i-- {
		p.touch(parts[i])
	}
	for p.usedTokens > p.capacity && p.order.Len() > 0 {
		p.evict(p.order.Back())
	}
}

func (p *prefixCache) touch(part Part) {
	if e := p.byID[part.ID]; e != nil {
		p.order.MoveToFront(e)
		return
	}
	p.byID[part.ID] = p.order.PushFront(part)
	p.usedTokens += part.Tokens
}

func (p *prefixCache) evict(e *list.Element) {
	part := p.order.Remove(e).(Part)
	delete(p.byID, part.ID)
	p.usedTokens -= part.Tokens
}
