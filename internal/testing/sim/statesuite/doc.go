// Package statesuite simulates everything that must not lose state: core processes run the real
// consensus and control state, store processes the real registers and ledger, all on
// the real segmented log over simulated disks. Operators race for bundle versions, sign them off, roll them out, empty and
// retire stores, remove and add core members and resend orders; front nodes follow the configuration by
// deltas, claim sessions, spend budgets, keep turns, refuse requests and issue calls that may not be repeated, while processes are killed, frozen and cut off, machines lose power, lose their disks and are replaced.
//
// The processes here are adapters without goroutines round the pure packages, in place of the drivers of
// internal/controlplane/replica and internal/state/store: they keep the order of write, sync, send and apply that these packages
// ask for. A Mutation breaks one of these rules on purpose, to show that the checkers notice.
package statesuite
