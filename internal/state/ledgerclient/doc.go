// Package ledgerclient sends ledger operations to the stores on behalf of a front node. It picks the shard of the
// program and a replica of it whose store has a lease, sends a hedged attempt to another replica when that one does not
// answer in time, and retries with a growing random backoff until an answer is final or the context ends. Every
// operation is idempotent under its identifiers, so a retry is safe whatever the outcome of the previous attempt.
//
// While no replica of a shard answers this front node, operations are relayed by other front nodes. A shard that
// answers neither directly nor through a relay is unreachable: operations that would begin work fail immediately until
// a health check is answered. Client.Run performs these checks.
//
// # Outcomes of an attempt
//
//	outcome           taken effect           next
//	answered          according to answer    return the answer
//	not sent          no                     next replica
//	unanswered        unknown                next replica; this one is suspected
//	undecided         unknown                back off; the replica had no majority or another placement
//	deadline exceeded unknown                return LEDGER_UNAVAILABLE
//
// # States of a shard, as the operations of this client observe it (outageDetector)
//
//	state       entered when                                    left when
//	answering   an answer arrives                               an operation starts
//	unanswered  an operation is in flight without an answer     an answer arrives, or time passes without one
//	down        unanswered for the threshold or longer          an answer arrives
//
// A Client is safe for concurrent use; each mutable part has a mutex of its own. Attempts run in goroutines that may
// outlive their operation, bounded by the attempt timeout, so that a replica that does not answer is suspected even
// when another one did.
//
// See docs/LEDGER.md for the rationale.
package ledgerclient
