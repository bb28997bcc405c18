// Package statesuite simulates everything that must not lose state: core processes run the real consensus and control
// state, store processes the real registers and ledger, all on the real segmented log over simulated disks. Operators
// race for bundle versions, sign them off, roll them out, empty and retire stores, remove and add core members and
// resend orders; front nodes follow the configuration by deltas, claim sessions, spend budgets, retain turns, reject
// requests and issue non-idempotent calls, while processes crash, freeze and are partitioned, machines lose power, lose
// their disks and are replaced.
//
// The processes here are adapters without goroutines round the pure packages, in place of the drivers of
// internal/controlplane/replica and internal/state/store: they follow the order of write, sync, send and apply that the
// packages require. A Mutation violates one of these rules on purpose, to show that the checkers detect it.
package statesuite
