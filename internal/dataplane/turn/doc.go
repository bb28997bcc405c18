// Package turn decides the course of one turn and of one tool call at the front
// node that owns the session. Both are state machines that take an event and
// the time and return commands; the front node's shell executes the commands and
// feeds their results back as events. A machine has one owner goroutine and
// is not safe for concurrent use.
//
// The states of a Machine (a turn), what each awaits, and what follows:
//
//	stateNew               Begun             resolve the training step, or ask for a slot
//	stateResolving         StepResolved      the version of the weights that the step is pinned to
//	stateAdmitting         Admitted          a slot of the model's server group
//	stateClaiming          Claimed           the session's epoch (not for HTTP routes)
//	stateReading           HistoryRead       the conversation so far
//	stateReserving         Reserved          the turn's reservation limit, set aside in the ledger
//	stateChoosing          Chosen            a back end for the next attempt
//	stateIssued            Token, Head, ...  the answer, which is emitted as it arrives
//	stateRequestingRetry   RetryDecided      the retry budget, after an attempt that failed
//	stateCommitting        Committed         the ledger's acknowledgement; only then is the turn completed
//	stateReleasing         Released          the end of a reservation without a turn: nothing ran, or it is charged
//	stateRejecting         Rejected          the ledger's tombstone, so that no copy of the request runs later
//	stateReadingRetained   RetainedTurnRead  the answer that an earlier send of the request got
//	stateDone              -                 nothing
//
// A Stopped event applies in every state. Before the reservation a turn is
// rejected or, when authority was lost, ended here, so that the ingress may bring
// it to the next owner; after it the reservation is released, and charged if the
// turn may have run.
//
// The states of a CallMachine (a tool call):
//
//	callNew                Begun             ask for a slot
//	callAdmitting          Admitted          a slot of the tool's server group
//	callClaiming           Claimed           the session's epoch (not for unrecorded calls)
//	callChoosing           Chosen            a back end for the next attempt
//	callRecordingIntent    IntentRecorded    the durable intent of a non-repeatable call
//	callIssued             CallAnswered      the tool's answer
//	callRequestingRetry    RetryDecided      the retry budget, after an attempt that failed
//	callRecordingOutcome   OutcomeRecorded   the durable outcome; only then is the caller answered
//	callRejecting          CallRejected      the ledger's tombstone
//	callDone               -                 nothing
package turn
