// Package memnet is a network in memory whose connections behave like TCP over links that fail: bytes take time, a
// partitioned link holds them back until it heals, a process that ends resets its connections, and a machine that loses
// power says nothing until it is back. It keeps to the clock of the goroutines that use it, so that it also runs in a
// testing/synctest bubble.
//
// A host is known by its IP address. Connections buffer without a bound: a peer that does not read blocks no writer.
package memnet
