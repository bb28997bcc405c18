// Package backends holds a front node's state of the model and tool servers:
// their descriptions from the current view, their load, health and outcomes, the
// requests in flight to them, and the models of their caches and speed. From this
// state it takes the snapshots on which package schedule decides.
//
// A Server is shared by all goroutines and synchronizes its own fields; a Set is
// immutable; Models is guarded by one mutex. The package does no I/O.
package backends
