// Package proposer applies ledger operations to the registers of the shards of one group. A
// proposal takes one register through the prepare and accept phases; the operations that
// arrive meanwhile go into the next proposal together.
//
// A Proposer belongs to the goroutine that owns its shards: every method, and every answer
// of a replica, runs there.
//
// Source: docs/LEDGER.md.
package proposer
