// Package placement contains a store's copy of the placement: the shards that the store serves, the
// other replicas of each, and the addresses of the other stores. A Watch publishes the current
// placement, read from the views of the core, as an immutable Topology. A Coverage determines
// when the answers of several stores together prove that an entry does not exist.
package placement
