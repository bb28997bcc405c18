// Package replica runs one member of the core's consensus group. It is the shell around the pure state
// machine of package consensus: it performs the I/O for its decisions, with a disk, a network and a clock.
//
// One owner goroutine (ownerLoop.run) owns the consensus node, the store, the transport, the state machine
// and the tables of waiting callers. Other goroutines reach it through three bounded queues: messages of
// other members (ServeWire), proposals (Propose) and requests (runOnOwner); a full queue rejects new items.
// After each iteration of its loop the owner publishes an immutable view, which other goroutines read. Two
// more goroutines belong to a Replica: the join loop, and one at a time that saves a snapshot.
//
// Decisions without I/O and separate concerns have their own packages: consensus (the replicated log),
// coremembership (members and voters), and below this folder logstore (durable state), transport (sending
// messages to members) and discovery (finding the core).
package replica
