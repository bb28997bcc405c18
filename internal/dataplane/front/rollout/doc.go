// Package rollout decides which bundle decides for a program: the one in force,
// or the candidate of a roll-out for a fixed share of the programs. It counts
// what the requests under either variant came to and reports that to the core,
// whose guard withdraws a candidate that does worse. Policies are immutable;
// counters are atomic.
package rollout
