// Package rollout selects the bundle that applies to a program: the active bundle,
// or, for a fixed share of the programs, the candidate of a roll-out. It counts
// the results of requests under either variant and reports them to the core,
// whose guard withdraws a candidate that performs worse. Policies are immutable;
// counters are atomic.
package rollout
