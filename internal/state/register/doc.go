// Package register implements a compare-and-set register for each key, replicated over the stores of a shard. It
// follows CASPaxos: a change is a function of the newest value, proposed under a ballot in a prepare and an accept
// phase over a majority of the replicas, without a leader and without a log.
//
// The package contains the state machines of the protocol and does no I/O. An acceptor (State) returns the state that
// must be durable before its response is sent. A proposer (Change) returns the messages to send and handles the
// responses. ShardView and Quorum determine which replicas vote under a placement. No value of this package is safe for
// concurrent use: a State belongs to the goroutine that owns the replica, a Change and its BallotGenerator to the
// goroutine that runs the proposal.
//
// # Phases and status of a change
//
//	phase      sends                    next, when a majority has responded
//	reading    prepare, zero ballot     chosen if all report the same accepted ballot, else preparing
//	preparing  prepare, new ballot      chosen if nothing needs to be written, else accepting
//	accepting  accept, same ballot      chosen
//
// A read starts in reading, a write in preparing, or in accepting when it continues a PreparedProposal.
//
//	status          entered when                                         left by
//	InProgress      a phase begins                                       responses, failures
//	Preempted       no majority is possible; the last replica saw a      Retry
//	                higher ballot
//	Unavailable     no majority is possible; the last replica failed     Retry
//	                or rejected the request
//	WrongPlacement  no majority is possible; a replica reported a        a new Change under that placement
//	                newer placement epoch
//	Chosen          the value is chosen                                  -
//
// # Roles of a replica
//
//	role        votes  source of copies  becomes
//	None        no     no                joining when a move places the shard on the store
//	Rebuilding  no     no                active once copied from RequiredSources replicas
//	Joining     yes    no                active when the move ends
//	Active      yes    yes               rebuilding when its data is lost, none when moved away
//
// See docs/LEDGER.md and D. Rystsov, "CASPaxos: Replicated State Machines without logs".
package register
