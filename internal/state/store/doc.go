// Package store is the shared-state plane: replicas of program registers and
// kept turns, and the proposer that applies ledger operations to them.
//
// Shards are divided among groups. Each group has one owner goroutine that works
// through a queue of commands and holds the registers and the turn index of its
// shards, the acceptor's and the proposer's side alike. An answer leaves a group
// only after what it shows is synced: one group commit serves all that wait.
// Registers live in memory, backed by a log with snapshots; kept turns live on
// disk, with an index in memory.
//
// Source: design page, program ledger.
package store
