// Package schedulesim plays programs of turns against model servers in virtual
// time, to compare scheduling policies. Several front nodes decide, each with
// what it knows itself: its own requests, few and old load reports, and the
// first tokens of its own requests. Everything follows from one seed.
package schedulesim
