package burdockplacelab

import (
	"container/list"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
)

// replica is a queue in order of arrival, some slots and a cache.
type replica struct {
	slots  int
	down   bool
	active []*request // in the slots
	queue  []*request
	cache  cache
}

func (r *replica) held() int { return len(r.active) + len(r.queue) }

func (r *replica) load() float64 { return float64(r.held()) / float64(r.slots) }

// takes reports whether the offer stays within the bound that it carries.
func (r *replica) takes(req *request) bool {
	return req.maxLoad == 0 || float64(r.held()+1)/float64(r.slots) <= req.maxLoad
}

func (r *replica) full() bool { return len(r.queue) >= queueSlots*r.slots }

func (r *replica) report() burdockplace.Report {
	service := outputTokens * paceMillis / r.slots
	return burdockplace.Report{
		Running:      len(r.active),
		Queued:       len(r.queue),
		Slots:        r.slots,
		ExpectedWait: burdockclock.Millis(len(r.queue) * service),
	}
}

// cache keeps prefixes up to a bound on tokens and drops the least recently
// used. A conversation includes its system prompt.
type cache struct {
	bound  burdockid.Tokens
	tokens burdockid.Tokens
	order  *list.List // of *cached, the most recently used first
	byKey  map[uint64]*list.Element
}

type cached struct {
	key    uint64
	tokens burdockid.Tokens
}

func newCache(bound burdockid.Tokens) cache {
	return cache{bound: bound, order: list.New(), byKey: make(map[uint64]*list.Element)}
}

// conversationKey sets the keys of conversations apart from system prompts'.
func conversationKey(conversation uint64) uint64 { return conversation | 1<<63 }

// found returns how many of the prompt's tokens are kept.
func (c *cache) found(r *request) burdockid.Tokens {
	found := c.tokensOf(r.system)
	return found + c.tokensOf(conversationKey(r.conversation))
}

func (c *cache) tokensOf(key uint64) burdockid.Tokens {
	if element, ok := c.byKey[key]; ok {
		return element.Value.(*cached).tokens
	}
	return 0
}

// keep takes in the prompt of r.
func (c *cache) keep(r *request) {
	c.touch(r.system, systemTokens)
	c.touch(conversationKey(r.conversation), r.promptTokens()-systemTokens)
	for c.tokens > c.bound {
		last := c.order.Back()
		dropped := c.order.Remove(last).(*cached)
		delete(c.byKey, dropped.key)
		c.tokens -= dropped.tokens
	}
}

func (c *cache) touch(key uint64, tokens burdockid.Tokens) {
	element, ok := c.byKey[key]
	if !ok {
		element = c.order.PushFront(&cached{key: key})
		c.byKey[key] = element
	}
	kept := element.Value.(*cached)
	c.tokens += tokens - kept.tokens
	kept.tokens = tokens
	c.order.MoveToFront(element)
}
