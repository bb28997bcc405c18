// Package store is the shared-state plane: one store process with its replicas of program
// registers and retained turns, and the proposers that apply ledger operations to them. This
// package wires the parts together, serves requests, and maintains what is on disk:
//
//   - owner: the goroutines that own the tables of shards, accept register changes and retain turns;
//   - shardtable, turnindex, hashtree: the tables, plain data that their owners use;
//   - proposer: proposals, which change registers on their replicas;
//   - turns: reads and retention of turns;
//   - replication: catch-up of shards and the scrub;
//   - steptrace: traces of training steps;
//   - placement, peers: the stores that serve each shard, and the requests to them;
//   - datafolder, records: the logs, snapshots and indexes on disk;
//   - lifecycle, mailbox, backoff: goroutines, their command queues, and waits.
//
// Registers are in memory, backed by a log with snapshots; retained turns are on disk, with
// an index in memory.
//
// Source: docs/LEDGER.md.
package store
