// Package consensus is the replicated log of the core as a pure state machine. It follows the
// published Raft algorithm (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014, and Ongaro's dissertation): terms, pre-vote, majority commit, check-quorum,
// snapshots, learners, membership changes of one member at a time, leadership transfer, a
// leader lease and linearizable reads.
//
// A Node decides who leads, which entries are committed, and what each member is sent. It
// performs no input or output. Its owner passes in messages (Step), the time (Tick) and
// proposals, and carries out what Ready returns, in the order that Ready documents; nothing
// that acknowledges a write leaves before that write is durable. A Node has a single owner
// goroutine and no locks.
//
// The invariants, with the code that maintains them:
//
//   - Election safety: at most one leader in a term. A member votes once in a term, and its
//     vote is durable before it is sent (stepVote, Ready.MustSync).
//   - Log matching: entries of the same index and term are equal, and so is all that precedes
//     them (stepAppend checks the entry before those that it stores).
//   - Leader completeness: a leader has every committed entry. Votes go to logs that are up to
//     date only (entryLog.isUpToDate), and a leader commits by counting replicas only entries
//     of its own term (advanceCommit).
//   - Lease: while a leader's lease runs nobody else can be elected, since a majority rejects
//     votes for an election timeout after each contact to the leader (rejectsVotesFrom,
//     LeaseEnds).
//   - Membership: one member changes at a time, and a change starts after the one before it is
//     committed, so that majorities of both configurations overlap (ProposeConfiguration).
package consensus
