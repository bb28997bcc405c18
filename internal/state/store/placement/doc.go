// Package placement is what a store knows of the placement: which shards it serves, with whom, and where the other
// stores are. A Watch publishes the placement that is in force, read from the views of the
// core, as an immutable Topology. A Coverage decides when the answers of several stores
// together prove that something is nowhere.
package placement
