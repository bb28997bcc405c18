package replica

import (
	"context"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

// waiters holds the callers that wait for an entry or a read. It belongs to the owner goroutine. Each channel has
// capacity for its only result, so that sending it never blocks.
type waiters struct {
	// proposals holds the callers that wait for an entry, by its index; all entries were appended in term.
	term      uint64
	proposals map[uint64]chan proposalResult
	// reads holds the reads that wait for the node's confirmation, by the id that was passed to the node.
	reads    map[uint64]chan error
	nextRead uint64
	// confirmed holds the confirmed reads, which wait until their index is applied.
	confirmed []confirmedRead
}

type confirmedRead struct {
	index uint64
	done  chan error
}

func newWaiters() waiters {
	return waiters{proposals: map[uint64]chan proposalResult{}, reads: map[uint64]chan error{}}
}

// Barrier returns once the state machine has applied everything that was committed when Barrier was
// called: a linearizable read of the state may follow. Leadership is confirmed by the lease or by a
// heartbeat. Errors: *NotLeaderError, *OverloadedError, *StoppedError, *DiskUnavailableError, that of ctx.
func (r *Replica) Barrier(ctx context.Context) error {
	if r.view.Load().status.Role != consensus.Leader {
		return r.notLeader()
	}
	done := make(chan error, 1)
	err := enqueue(r, r.requests, request{
		run:    func() { r.owner.startRead(done) },
		reject: func(err error) { done <- err },
	}, requestQueueName)
	if err != nil {
		return err
	}
	result, interrupted := waitFor(ctx, r.stopped, done)
	if interrupted != nil {
		return interrupted
	}
	return result
}

func (o *ownerLoop) startRead(done chan error) {
	o.waiters.nextRead++
	id := o.waiters.nextRead
	if err := o.node.Read(id, o.now()); err != nil {
		done <- o.replica.notLeader()
		return
	}
	o.waiters.reads[id] = done
}

// confirmReads processes the node's results of reads.
func (w *waiters) confirmReads(results []consensus.ReadResult) {
	for _, result := range results {
		done := w.reads[result.ID]
		delete(w.reads, result.ID)
		if done == nil {
			continue
		}
		if result.Failed {
			done <- &NotLeaderError{}
			continue
		}
		w.confirmed = append(w.confirmed, confirmedRead{index: result.Index, done: done})
	}
}

// resolveReads completes the confirmed reads up to the applied index.
func (w *waiters) resolveReads(index uint64) {
	remaining := w.confirmed[:0]
	for _, read := range w.confirmed {
		if read.index > index {
			remaining = append(remaining, read)
			continue
		}
		read.done <- nil
	}
	w.confirmed = remaining
}

// resolveEntry completes the proposal at the index of an applied entry. If the entry has another term, the
// proposal was replaced and will never be committed.
func (w *waiters) resolveEntry(entry *protocol.Entry, result []byte) {
	index := entry.GetIndex()
	done := w.proposals[index]
	if done == nil {
		return
	}
	delete(w.proposals, index)
	if entry.GetTerm() != w.term {
		done <- proposalResult{err: &NotLeaderError{}}
		return
	}
	done <- proposalResult{data: result, index: index}
}

// register makes done receive the result of the entry at index. Proposals of an earlier term fail first.
func (w *waiters) register(term, index uint64, done chan proposalResult) {
	if term != w.term {
		w.leadershipLost(w.term, &NotLeaderError{})
		w.term = term
	}
	w.proposals[index] = done
}

// leadershipLost ends the proposals of a term that this member no longer leads with an unknown outcome: the next
// leader may or may not have them. Confirmed reads are rejected, since the caller can retry a read.
func (w *waiters) leadershipLost(term uint64, notLeader error) {
	for index, done := range w.proposals {
		delete(w.proposals, index)
		done <- proposalResult{err: &UnknownOutcomeError{Cause: &LeadershipLostError{Term: term}}}
	}
	for _, read := range w.confirmed {
		read.done <- notLeader
	}
	w.confirmed = nil
}

// failAll fails all waiting callers with the cause for which the owner loop ended.
func (w *waiters) failAll(cause error) {
	for _, done := range w.proposals {
		done <- proposalResult{err: &UnknownOutcomeError{Cause: cause}}
	}
	for _, done := range w.reads {
		done <- cause
	}
	for _, read := range w.confirmed {
		read.done <- cause
	}
}
