// Package owner implements the owner goroutines of a store's shards. Shards are divided among
// groups. Each group has one goroutine that executes a queue of commands and is the only one
// to access the tables of the group's shards: it is the acceptor of their registers and
// retains their turns.
//
// A group sends a response only after the state that the response shows is synced. One group
// commit of a log releases all responses that wait for it.
package owner
