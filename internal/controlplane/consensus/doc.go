// Package consensus implements the replicated log of the core as a pure state machine. It follows the
// published Raft algorithm (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014, and Ongaro's dissertation): terms, pre-vote, majority commit, check-quorum,
// snapshots, learners, membership changes of one member at a time, leadership transfer, a
// leader lease and linearizable reads.
//
// A Node decides which member leads, which entries are committed, and which messages are sent to
// each member. It performs no I/O. Its owner passes in messages (Step), the time (Tick) and
// proposals, and processes the output that Ready returns, in the order that Ready documents; no
// acknowledgement of a write is sent before that write is durable. A Node has a single owner
// goroutine and no locks.
//
// The invariants, with the code that maintains them:
//
//   - Election safety: at most one leader in a term. A member votes once in a term, and its
//     vote is durable before it is sent (stepVote, Ready.MustSync).
//   - Log matching: entries of the same index and term are equal, and so are all entries before
//     them (stepAppend checks the entry before those that it stores).
//   - Leader completeness: a leader has every committed entry. A member votes only for candidates
//     whose log is up to date (entryLog.isUpToDate), and a leader commits by counting replicas
//     only entries of its own term (advanceCommit).
//   - Lease: during a leader's lease no other member can be elected, since a majority rejects
//     vote requests for an election timeout after each contact with the leader (rejectsVotesFrom,
//     LeaseEnds).
//   - Membership: one member changes at a time, and a change starts only after the previous one is
//     committed, so that majorities of both configurations overlap (ProposeConfiguration).
package consensus
