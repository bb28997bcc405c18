// Package replica runs one member of the core's consensus group. It is the shell round the pure state
// machine of package consensus: it carries out what that decides, with a disk, a network and a clock.
//
// One owner goroutine (ownerLoop.run) has the consensus node, the store, the transport, the state machine
// and the tables of waiting callers. All else reaches it through three bounded queues: messages of
// other members (ServeWire), proposals (Propose) and requests (runOnOwner); a full queue rejects.
// The owner publishes an immutable view after each turn, which other goroutines read. Two more
// goroutines belong to a Replica: the join loop, and one at a time that saves a snapshot.
//
// What can be decided without I/O, or is a concern of its own, has its own package: consensus (the
// log), coremembership (members and voters), and below this folder logstore (what is
// durable), transport (sending to members) and discovery (finding the core).
package replica
