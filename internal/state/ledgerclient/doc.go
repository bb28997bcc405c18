// Package ledgerclient sends ledger operations to the stores on behalf of a front node. It picks the shard of the
// program and a live replica of it, sends a hedged attempt to another replica when that one does not answer in time,
// and retries with a growing random backoff until an answer is final or the context ends. Every operation is idempotent
// under its identifiers, so a retry is safe whatever became of the attempt before it.
//
// While no replica of a shard answers this front node, operations are relayed by other front nodes. A shard that
// answers neither directly nor through a relay is unreachable: operations that would begin work fail at once until a
// health check is answered. Client.Run does these checks.
//
// # Outcomes of an attempt
//
//	outcome           taken effect           next
//	answered          as the answer says     return it
//	not sent          no                     next replica
//	unanswered        unknown                next replica; this one is suspected
//	undecided         unknown                back off; the replica had no majority or another placement
//	deadline exceeded unknown                return LEDGER_UNAVAILABLE
//
// # States of a shard, as the operations of this client observe it (outageDetector)
//
//	state       entered by                                      left by
//	answering   an answer                                       an operation that starts
//	unanswered  an operation is in flight without an answer     an answer; time
//	out         unanswered for longer than the threshold        an answer
//
// A Client may be used from any goroutine; each of its parts has a mutex of its own. Attempts run in goroutines that
// outlive their operation, bounded by the attempt timeout, so that a replica that does not answer is suspected even
// when another one did.
//
// Source: docs/LEDGER.md, which gives the reasons.
package ledgerclient
