package ledger

import "github.com/rosestand/rosestand/internal/protocol"

// Validate returns an *InvalidOperationError when an identifier is missing or too long, when a committed turn does not
// match its request, or when an operation that concerns no training step uses a program name reserved for them.
func Validate(operation *protocol.LedgerOperation) error {
	if find, ok := operation.GetBody().(*protocol.LedgerOperation_FindTurn); ok {
		return checkIdentifier("find_turn.turn_id", find.FindTurn.GetTurnId())
	}
	if err := checkIdentifier("program", operation.GetProgram()); err != nil {
		return err
	}
	switch body := operation.GetBody().(type) {
	case *protocol.LedgerOperation_PinTrainingStep:
		return validatePin(operation.GetProgram(), body.PinTrainingStep)
	case *protocol.LedgerOperation_TraceTrainingStep:
		return validateTrace(operation.GetProgram(), body.TraceTrainingStep)
	}
	if IsReservedProgram(operation.GetProgram()) {
		return &InvalidOperationError{Path: "program", Reason: "is reserved for training steps"}
	}
	switch body := operation.GetBody().(type) {
	case *protocol.LedgerOperation_OpenProgram:
		return checkIdentifier("open_program.tenant", body.OpenProgram.GetTenant())
	case *protocol.LedgerOperation_ClaimSession:
		return checkIdentifiers(
			"claim_session.session", body.ClaimSession.GetSession(),
			"claim_session.owner", body.ClaimSession.GetOwner())
	case *protocol.LedgerOperation_ReserveTurn:
		return validateReserve(body.ReserveTurn)
	case *protocol.LedgerOperation_SettleTurn:
		return validateCommit(operation.GetProgram(), body.SettleTurn)
	case *protocol.LedgerOperation_ReleaseTurn:
		return validateRelease(body.ReleaseTurn)
	case *protocol.LedgerOperation_RefuseRequest:
		return checkIdentifier("refuse_request.request_id", body.RefuseRequest.GetRequestId())
	case *protocol.LedgerOperation_ReadProgram:
		return nil
	case *protocol.LedgerOperation_ReadTurns:
		return checkIdentifier("read_turns.last_turn", body.ReadTurns.GetLastTurn())
	case *protocol.LedgerOperation_ProlongTurns:
		return checkIdentifier("prolong_turns.last_turn", body.ProlongTurns.GetLastTurn())
	case *protocol.LedgerOperation_BeginCall:
		return checkIdentifiers(
			"begin_call.request_id", body.BeginCall.GetRequestId(),
			"begin_call.session", body.BeginCall.GetSession(),
			"begin_call.attempt", body.BeginCall.GetAttempt())
	case *protocol.LedgerOperation_FinishCall:
		return checkIdentifiers(
			"finish_call.request_id", body.FinishCall.GetRequestId(),
			"finish_call.attempt", body.FinishCall.GetAttempt())
	case *protocol.LedgerOperation_RefuseCall:
		return checkIdentifier("refuse_call.request_id", body.RefuseCall.GetRequestId())
	default:
		return &InvalidOperationError{Path: "body", Reason: "missing"}
	}
}

func validateReserve(reserve *protocol.ReserveTurn) error {
	if err := checkIdentifiers(
		"reserve_turn.request_id", reserve.GetRequestId(),
		"reserve_turn.session", reserve.GetSession(),
	); err != nil {
		return err
	}
	if err := validateStepReference(reserve.GetTrainingStep()); err != nil {
		return err
	}
	claim := reserve.GetClaim()
	switch {
	case claim == nil:
		return nil
	case claim.GetSession() != reserve.GetSession():
		return &InvalidOperationError{Path: "reserve_turn.claim.session", Reason: "is another session"}
	default:
		return checkIdentifier("reserve_turn.claim.owner", claim.GetOwner())
	}
}

func validateCommit(program string, commit *protocol.SettleTurn) error {
	if err := checkIdentifiers(
		"settle_turn.request_id", commit.GetRequestId(),
		"settle_turn.session", commit.GetSession(),
		"settle_turn.turn.id", commit.GetTurn().GetId(),
	); err != nil {
		return err
	}
	turn := commit.GetTurn()
	switch {
	case turn.GetProgram() != program:
		return &InvalidOperationError{Path: "settle_turn.turn.program", Reason: "is of another program"}
	case turn.GetSession() != commit.GetSession():
		return &InvalidOperationError{Path: "settle_turn.turn.session", Reason: "is of another session"}
	case turn.GetRequestId() != commit.GetRequestId():
		return &InvalidOperationError{Path: "settle_turn.turn.request_id", Reason: "is of another request"}
	default:
		return checkWeightVersions("settle_turn.weight_versions", commit.GetWeightVersions())
	}
}

func validateRelease(release *protocol.ReleaseTurn) error {
	if err := checkIdentifiers(
		"release_turn.request_id", release.GetRequestId(),
		"release_turn.session", release.GetSession(),
	); err != nil {
		return err
	}
	return checkWeightVersions("release_turn.weight_versions", release.GetWeightVersions())
}

// checkIdentifiers checks alternating paths and values of fields.
func checkIdentifiers(pairs ...string) error {
	for i := 0; i+1 < len(pairs); i += 2 {
		if err := checkIdentifier(pairs[i], pairs[i+1]); err != nil {
			return err
		}
	}
	return nil
}

func checkIdentifier(path, value string) error {
	if value == "" {
		return &InvalidOperationError{Path: path, Reason: "missing"}
	}
	if len(value) > maxIdentifierBytes {
		return &InvalidOperationError{Path: path, Reason: "longer than an identifier may be"}
	}
	return nil
}
