// Package datafolder implements the data folder of a store: its identity, the log of registers
// with its snapshots, and the log of turns with its index. It defines the names and formats of
// the files, which must stay readable, and detects a damaged folder.
//
// Any goroutine may use the logs. Snapshots and indexes must be written by one goroutine.
package datafolder
