// Package proposer applies ledger operations to the registers of the shards of one group. A
// proposal runs the prepare and accept phases for one register; the operations that arrive
// meanwhile are batched into the next proposal.
//
// A Proposer belongs to the goroutine that owns its shards: every method and the handler of
// every replica's response run there.
//
// Source: docs/LEDGER.md.
package proposer
