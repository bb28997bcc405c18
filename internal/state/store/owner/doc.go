// Package owner has the owner goroutines of a store's shards. Shards are divided among
// groups; the one goroutine of a group works through a queue of commands and is the only one
// that uses the tables of its shards, as the acceptor of their registers and as the keeper of
// their turns.
//
// An answer leaves a group only after what it shows is synced: one group commit of a log
// serves all answers that wait for it.
package owner
