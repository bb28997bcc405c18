// Package schedulesim simulates programs of turns on model servers in virtual time, to compare scheduling policies.
// Each front node chooses servers with the information that it has in production: its own requests, a few delayed load
// reports, and the first tokens of its own requests. Simulate runs turns, SimulateTools tool calls, and
// SimulateAdmission the admission queues. Each of them runs in the calling goroutine, and its result depends only on
// its options, which include the seed.
package schedulesim
