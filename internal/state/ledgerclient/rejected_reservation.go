package ledgerclient

import (
	"context"

	"github.com/rosestand/rosestand/internal/protocol"
)

// isRejectedReservation reports whether the answer means that a reservation has not taken effect, while a late copy of
// it still could.
func isRejectedReservation(reserve *protocol.ReserveTurn, result *protocol.LedgerResult) bool {
	if reserve == nil {
		return false
	}
	switch result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_BUDGET_SPENT, protocol.LedgerStatus_LEDGER_BUDGET_HELD,
		protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION, protocol.LedgerStatus_LEDGER_STEP_MISMATCH:
		return true
	case protocol.LedgerStatus_LEDGER_ALREADY_RESERVED:
		return !hasReservation(result.GetProgram(), reserve.GetRequestId())
	default:
		return false
	}
}

func hasReservation(program *protocol.ProgramRecord, requestID string) bool {
	for _, reservation := range program.GetReservations() {
		if reservation.GetRequestId() == requestID {
			return true
		}
	}
	return false
}

// confirmRejection releases the request of a rejected reservation, which marks it as not run, and returns the
// rejection. When the release fails, its result or error is returned instead, such as LEDGER_UNAVAILABLE: the outcome
// of the request is unknown.
func (c *Client) confirmRejection(
	ctx context.Context, operation *protocol.LedgerOperation, rejection *protocol.LedgerResult, options callOptions,
) (*protocol.LedgerResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	reserve := operation.GetReserveTurn()
	released, _, err := c.run(ctx, newRelease(operation.GetProgram(), reserve, rejection.GetEpoch()), options)
	if err == nil && released.GetStatus() == protocol.LedgerStatus_LEDGER_FENCED && reserve.GetClaim() != nil {
		// A late copy would claim the session again, so the epoch does not fence it. The tombstone ignores the epoch.
		released, _, err = c.run(ctx, newTombstone(operation.GetProgram(), reserve), options)
	}
	if err != nil {
		return nil, err
	}
	switch released.GetStatus() {
	case protocol.LedgerStatus_LEDGER_OK, protocol.LedgerStatus_LEDGER_FENCED:
		return rejection, nil
	default:
		return released, nil
	}
}

// confirmMismatch marks a request as not run that was rejected because its program does not belong to the training
// step. The rejection claimed no session, so no epoch is known and a tombstone is sent instead of a release. A request
// that has already finished is rejected as well.
func (c *Client) confirmMismatch(
	ctx context.Context, operation *protocol.LedgerOperation, rejection *protocol.LedgerResult, options callOptions,
) (*protocol.LedgerResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	tombstone, _, err := c.run(ctx, newTombstone(operation.GetProgram(), operation.GetReserveTurn()), options)
	if err != nil {
		return nil, err
	}
	switch tombstone.GetStatus() {
	case protocol.LedgerStatus_LEDGER_OK, protocol.LedgerStatus_LEDGER_ALREADY_FINISHED:
		return rejection, nil
	default:
		return tombstone, nil
	}
}

// newTombstone returns an operation that marks the request of a reservation as not run, whatever the epoch of its
// session.
func newTombstone(program string, reserve *protocol.ReserveTurn) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: program,
		Body: &protocol.LedgerOperation_RefuseRequest{RefuseRequest: &protocol.RefuseRequest{
			RequestId: reserve.GetRequestId(), Session: reserve.GetSession(),
		}},
	}
}

// newRelease returns an operation that releases a reservation under the epoch that it specified, or that its claim
// received.
func newRelease(program string, reserve *protocol.ReserveTurn, claimedEpoch uint64) *protocol.LedgerOperation {
	epoch := reserve.GetEpoch()
	if reserve.GetClaim() != nil {
		epoch = claimedEpoch
	}
	return &protocol.LedgerOperation{
		Program: program,
		Body: &protocol.LedgerOperation_ReleaseTurn{ReleaseTurn: &protocol.ReleaseTurn{
			RequestId: reserve.GetRequestId(), Session: reserve.GetSession(), Epoch: epoch,
		}},
	}
}
