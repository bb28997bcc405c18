// Package promptcache models which segments of prompts the servers of a group have in their prefix caches (KV caches),
// as far as one front node can estimate it: from the requests that it sent itself and from digests of its peers. A
// server prefills a segment again unless it has cached that segment and all before it, so a segment is identified by
// the hash of the prefix that ends with it.
//
// A Model does no I/O and is not safe for concurrent use; callers pass the time.
package promptcache

import "github.com/cespare/xxhash/v2"

// Segment is one segment of a prompt.
type Segment struct {
	// Prefix is the hash of the model, this segment and all segments before it.
	Prefix uint64
	// Tokens is the length of this segment alone.
	Tokens uint32
}

// Prompt is the segments of a prompt in order.
type Prompt []Segment

// PromptBuilder builds a Prompt segment by segment.
type PromptBuilder struct {
	prefix   uint64
	segments Prompt
}

// NewPromptBuilder starts a prompt for a model; segments of different models never match. The number of segments is a
// hint.
func NewPromptBuilder(model string, segments int) *PromptBuilder {
	return &PromptBuilder{prefix: xxhash.Sum64String(model), segments: make(Prompt, 0, segments)}
}

// Add appends a segment, named by its identifier.
func (b *PromptBuilder) Add(id string, tokens uint32) {
	b.prefix = mix(b.prefix, xxhash.Sum64String(id))
	b.segments = append(b.segments, Segment{Prefix: b.prefix, Tokens: tokens})
}

// Prompt returns the segments added so far.
func (b *PromptBuilder) Prompt() Prompt { return b.segments }

// mix derives the hash of a prefix from the hashes of the prefix that it extends and of its last segment.
func mix(before, segment uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	mixed := (before ^ segment*odd) * odd
	return mixed ^ mixed>>29
}

// Tokens returns the length of the complete prompt.
func (p Prompt) Tokens() uint64 {
	total := uint64(0)
	for _, segment := range p {
		total += uint64(segment.Tokens)
	}
	return total
}

// First returns the hash of the first segment, which other prompts are likely to share; 0 for an empty prompt.
func (p Prompt) First() uint64 {
	if len(p) == 0 {
		return 0
	}
	return p[0].Prefix
}
