package burdockplacelab

import (
	"container/list"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
)

// replica models one replica: a first-in, first-out queue, slots and a prefix cache.
type replica struct {
	slots  int
	down   bool
	active []*request // requests in the slots
	queue  []*request
	cache  cache
}

func (r *replica) requests() int { return len(r.active) + len(r.queue) }

func (r *replica) load() float64 { return float64(r.requests()) / float64(r.slots) }

// accepts reports whether the replica's load with req stays within req.maxLoad.
// A maxLoad of 0 is no bound.
func (r *replica) accepts(req *request) bool {
	return req.maxLoad == 0 || float64(r.requests()+1)/float64(r.slots) <= req.maxLoad
}

func (r *replica) queueFull() bool { return len(r.queue) >= maxQueuePerSlot*r.slots }

func (r *replica) report() burdockplace.Report {
	serviceMillis := outputTokens * millisPerToken / r.slots
	return burdockplace.Report{
		Running:      len(r.active),
		Queued:       len(r.queue),
		Slots:        r.slots,
		ExpectedWait: burdockclock.Millis(len(r.queue) * serviceMillis),
	}
}

// cache is a cache of prompt prefixes with a bounded number of tokens and eviction
// of the least recently used. System prompts and the rest of a conversation have
// entries of their own.
type cache struct {
	capacity burdockid.Tokens
	tokens   burdockid.Tokens
	recency  *list.List // of *cacheEntry, most recently used first
	entries  map[uint64]*list.Element
}

type cacheEntry struct {
	key    uint64
	tokens burdockid.Tokens
}

func newCache(capacity burdockid.Tokens) cache {
	return cache{capacity: capacity, recency: list.New(), entries: make(map[uint64]*list.Element)}
}

// conversationKey returns the cache key of a conversation. The top bit keeps it
// apart from the keys of system prompts.
func conversationKey(conversation uint64) uint64 { return conversation | 1<<63 }

// cachedTokens returns how many tokens of r's prompt are cached.
func (c *cache) cachedTokens(r *request) burdockid.Tokens {
	cached := c.tokensOf(r.systemPrompt)
	return cached + c.tokensOf(conversationKey(r.conversation))
}

func (c *cache) tokensOf(key uint64) burdockid.Tokens {
	if element, ok := c.entries[key]; ok {
		return element.Value.(*cacheEntry).tokens
	}
	return 0
}

// insert caches the prompt of r and evicts entries beyond the capacity.
func (c *cache) insert(r *request) {
	c.touch(r.systemPrompt, systemPromptTokens)
	c.touch(conversationKey(r.conversation), r.promptTokens()-systemPromptTokens)
	for c.tokens > c.capacity {
		oldest := c.recency.Back()
		evicted := c.recency.Remove(oldest).(*cacheEntry)
		delete(c.entries, evicted.key)
		c.tokens -= evicted.tokens
	}
}

func (c *cache) touch(key uint64, tokens burdockid.Tokens) {
	element, ok := c.entries[key]
	if !ok {
		element = c.recency.PushFront(&cacheEntry{key: key})
		c.entries[key] = element
	}
	entry := element.Value.(*cacheEntry)
	c.tokens += tokens - entry.tokens
	entry.tokens = tokens
	c.recency.MoveToFront(element)
}
