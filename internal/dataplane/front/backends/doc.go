// Package backends holds what a front node knows of the model and tool servers:
// their descriptions from the view in force, their load, health and outcomes,
// what is in flight to them, and the models of their caches and speed. From this
// it takes the snapshots on which package schedule decides.
//
// A Server is shared by all goroutines and guards itself; a Set is immutable;
// Models have one mutex. Nothing here does I/O.
package backends
