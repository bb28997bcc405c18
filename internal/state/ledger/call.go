package ledger

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// ApplyCall applies an operation to the record of a non-repeatable call; record is nil when none exists. It returns the
// changed record, or nil when nothing changes. A record whose retention has ended is treated as absent.
//
// BeginCall depends on the call's register only. One attempt wins there, whatever its epoch, so a call never runs
// twice. The epoch is checked separately: the store reads the program's register after the intent is chosen and returns
// LEDGER_OK only if the epoch was current at that read. The permission to issue the call therefore precedes every later
// claim of the session.
func ApplyCall(
	record *protocol.CallRecord, operation *protocol.LedgerOperation, now time.Time,
) (*protocol.CallRecord, *protocol.LedgerResult) {
	if CallRetainedUntil(record) < now.UnixMilli() {
		record = nil
	}
	switch body := operation.GetBody().(type) {
	case *protocol.LedgerOperation_BeginCall:
		return beginCall(record, operation.GetProgram(), body.BeginCall, now)
	case *protocol.LedgerOperation_FinishCall:
		return finishCall(record, body.FinishCall, now)
	case *protocol.LedgerOperation_RefuseCall:
		return rejectCall(record, operation.GetProgram(), body.RefuseCall, now)
	default:
		return nil, ResultWithStatus(protocol.LedgerStatus_LEDGER_STATUS_UNSPECIFIED)
	}
}

func callResult(status protocol.LedgerStatus, record *protocol.CallRecord) *protocol.LedgerResult {
	return &protocol.LedgerResult{Status: status, Call: record, Epoch: record.GetEpoch()}
}

func beginCall(
	record *protocol.CallRecord, program string, begin *protocol.BeginCall, now time.Time,
) (*protocol.CallRecord, *protocol.LedgerResult) {
	switch record.GetState() {
	case protocol.CallState_CALL_DONE, protocol.CallState_CALL_NOT_RUN:
		return nil, callResult(protocol.LedgerStatus_LEDGER_ALREADY_FINISHED, record)
	case protocol.CallState_CALL_INTENT:
		if record.GetAttempt() == begin.GetAttempt() && record.GetEpoch() == begin.GetEpoch() {
			return nil, callResult(protocol.LedgerStatus_LEDGER_OK, record)
		}
		return nil, callResult(protocol.LedgerStatus_LEDGER_CALL_UNDER_WAY, record)
	}
	changed := &protocol.CallRecord{
		Program:         program,
		RequestId:       begin.GetRequestId(),
		Session:         begin.GetSession(),
		Epoch:           begin.GetEpoch(),
		Tool:            begin.GetTool(),
		State:           protocol.CallState_CALL_INTENT,
		Attempt:         begin.GetAttempt(),
		UpdatedAtMillis: now.UnixMilli(),
		KeepingMillis:   begin.GetKeepingMillis(),
	}
	return changed, callResult(protocol.LedgerStatus_LEDGER_OK, changed)
}

// finishCall records the outcome of a call. The epoch is not checked: the call ran, and a later owner needs its
// outcome.
func finishCall(
	record *protocol.CallRecord, finish *protocol.FinishCall, now time.Time,
) (*protocol.CallRecord, *protocol.LedgerResult) {
	switch {
	case record.GetState() == protocol.CallState_CALL_STATE_UNSPECIFIED:
		return nil, ResultWithStatus(protocol.LedgerStatus_LEDGER_NOT_RESERVED)
	case record.GetState() == protocol.CallState_CALL_NOT_RUN:
		return nil, callResult(protocol.LedgerStatus_LEDGER_ALREADY_FINISHED, record)
	case record.GetAttempt() != finish.GetAttempt():
		return nil, callResult(protocol.LedgerStatus_LEDGER_FENCED, record)
	case record.GetState() == protocol.CallState_CALL_DONE:
		return nil, callResult(protocol.LedgerStatus_LEDGER_OK, record)
	}
	changed := copyCall(record, now)
	changed.State = protocol.CallState_CALL_DONE
	changed.Status = finish.GetStatus()
	changed.Body = finish.GetBody()
	changed.ContentType = finish.GetContentType()
	return changed, callResult(protocol.LedgerStatus_LEDGER_OK, changed)
}

// rejectCall marks a call as not run. It fails when the call has an intent, unless the attempt that wrote the intent
// withdraws it.
func rejectCall(
	record *protocol.CallRecord, program string, reject *protocol.RefuseCall, now time.Time,
) (*protocol.CallRecord, *protocol.LedgerResult) {
	switch record.GetState() {
	case protocol.CallState_CALL_NOT_RUN:
		return nil, callResult(protocol.LedgerStatus_LEDGER_OK, record)
	case protocol.CallState_CALL_DONE:
		return nil, callResult(protocol.LedgerStatus_LEDGER_ALREADY_FINISHED, record)
	case protocol.CallState_CALL_INTENT:
		if reject.GetAttempt() == "" || reject.GetAttempt() != record.GetAttempt() {
			return nil, callResult(protocol.LedgerStatus_LEDGER_CALL_UNDER_WAY, record)
		}
		changed := copyCall(record, now)
		changed.State = protocol.CallState_CALL_NOT_RUN
		return changed, callResult(protocol.LedgerStatus_LEDGER_OK, changed)
	}
	changed := &protocol.CallRecord{
		Program:         program,
		RequestId:       reject.GetRequestId(),
		State:           protocol.CallState_CALL_NOT_RUN,
		UpdatedAtMillis: now.UnixMilli(),
		KeepingMillis:   reject.GetKeepingMillis(),
	}
	return changed, callResult(protocol.LedgerStatus_LEDGER_OK, changed)
}

func copyCall(record *protocol.CallRecord, now time.Time) *protocol.CallRecord {
	return &protocol.CallRecord{
		Program:         record.GetProgram(),
		RequestId:       record.GetRequestId(),
		Session:         record.GetSession(),
		Epoch:           record.GetEpoch(),
		Tool:            record.GetTool(),
		State:           record.GetState(),
		Status:          record.GetStatus(),
		Body:            record.GetBody(),
		UpdatedAtMillis: now.UnixMilli(),
		Attempt:         record.GetAttempt(),
		ContentType:     record.GetContentType(),
		KeepingMillis:   record.GetKeepingMillis(),
	}
}
