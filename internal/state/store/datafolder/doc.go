// Package datafolder is the data folder of a store: its identity, the log of registers with
// its snapshots, and the log of turns with its index. It knows the names and forms of the
// files, which must stay readable, and what makes a folder damaged.
//
// The logs may be used by any goroutine. Snapshots and indexes are written by one goroutine.
package datafolder
