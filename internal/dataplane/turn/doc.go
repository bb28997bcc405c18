// Package turn implements the state machines of a turn and of a tool call at
// the front node that owns the session. A machine takes an event and the time
// and returns commands; the front node's shell executes the commands and
// feeds their results back as events. A machine has one owner goroutine and
// is not safe for concurrent use.
//
// The states of a Machine (a turn), the event that each awaits, and what it waits for:
//
//	stateNew               Begun             the start; then the step is resolved, or a slot requested
//	stateResolving         StepResolved      the version of the weights that the step is pinned to
//	stateAdmitting         Admitted          a slot of the model's server group
//	stateClaiming          Claimed           the session's epoch (not for HTTP routes)
//	stateReading           HistoryRead       the conversation so far
//	stateReserving         Reserved          the reservation of the turn's limit in the ledger
//	stateChoosing          Chosen            a back end for the next attempt
//	stateIssued            Token, Head, ...  the answer, which is emitted as it arrives
//	stateRequestingRetry   RetryDecided      the retry budget's decision after a failed attempt
//	stateCommitting        Committed         the ledger's acknowledgement; only then is the turn completed
//	stateReleasing         Released          the end of a reservation that retains no turn, charged if it may have run
//	stateRejecting         Rejected          the ledger's tombstone, so that no copy of the request runs later
//	stateReadingRetained   RetainedTurnRead  the answer to an earlier send of the request
//	stateDone              -                 nothing
//
// A Stopped event applies in every state. Before the reservation a turn is
// rejected or, when authority was lost, ended at this node only, so that the
// ingress may forward it to the next owner. After the reservation it is
// released, and charged if the turn may have run.
//
// The states of a CallMachine (a tool call):
//
//	callNew                Begun             the start; then a slot is requested
//	callAdmitting          Admitted          a slot of the tool's server group
//	callClaiming           Claimed           the session's epoch (not for unrecorded calls)
//	callChoosing           Chosen            a back end for the next attempt
//	callRecordingIntent    IntentRecorded    the durable intent of a non-repeatable call
//	callIssued             CallAnswered      the tool's answer
//	callRequestingRetry    RetryDecided      the retry budget's decision after a failed attempt
//	callRecordingOutcome   OutcomeRecorded   the durable outcome; only then is the caller answered
//	callRejecting          CallRejected      the ledger's tombstone
//	callDone               -                 nothing
package turn
