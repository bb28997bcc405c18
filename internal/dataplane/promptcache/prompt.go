// Package promptcache models which parts of prompts the servers of a group keep
// in their KV caches, as far as one front node can tell: from the requests that
// it sent itself and from digests of its peers. A server reads a part again
// unless it keeps that part and every part before it, so parts are known by the
// hash of the prefix that ends with them.
package promptcache

import "github.com/cespare/xxhash/v2"

// Part is one part of a prompt.
type Segment struct {
	// Prefix is the hash of the model, this part and all parts before it.
	Prefix uint64
	// Tokens is the length of this part alone.
	Tokens uint32
}

// Prompt is the parts of a prompt in order.
type Prompt []Segment

// Chain builds a Prompt part by part.
type Chain struct {
	prefix uint64
	parts  Prompt
}

// NewChain begins a prompt for a model; parts of different models never match.
func NewChain(model string, parts int) *Chain {
	return &Chain{prefix: xxhash.Sum64String(model), parts: make(Prompt, 0, parts)}
}

// Add appends a part, named by its identifier.
func (c *Chain) Add(id string, tokens uint32) {
	c.prefix = mix(c.prefix, xxhash.Sum64String(id))
	c.parts = append(c.parts, Segment{Prefix: c.prefix, Tokens: tokens})
}

// Prompt gives the parts added so far.
func (c *Chain) Prompt() Prompt { return c.parts }

// mix derives the hash of a prefix from that of the prefix before it and of its last part.
func mix(before, part uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	mixed := (before ^ part*odd) * odd
	return mixed ^ mixed>>29
}

// Tokens is the length of the whole prompt.
func (p Prompt) Tokens() uint64 {
	total := uint64(0)
	for _, part := range p {
		total += uint64(part.Tokens)
	}
	return total
}

// First is the hash of the first part, which other prompts are likely to share; zero for an empty prompt.
func (p Prompt) First() uint64 {
	if len(p) == 0 {
		return 0
	}
	return p[0].Prefix
}
