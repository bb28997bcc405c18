// Package schedulesim simulates programs of turns against model servers in virtual
// time, to compare scheduling policies. Several front nodes decide, each with
// the information that it has in production: its own requests, a few load reports with a delay, and the
// first tokens of its own requests. Simulate runs turns, SimulateTools tool calls,
// and SimulateAdmission the admission queues. Each runs in the calling goroutine, and its result
// follows from its options and seed alone.
package schedulesim
