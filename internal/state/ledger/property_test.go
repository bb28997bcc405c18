package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const (
	propertyBudget   = 100
	propertyRequests = 13
)

// machine applies random operations of several owners to one program's record. It tracks the reported outcomes and
// epochs, which must never change or decrease.
type machine struct {
	record         *protocol.ProgramRecord
	now            time.Time
	outcomes       map[string]*protocol.FinishedRequest
	epochs         map[string]uint64
	largestLimit   uint64
	lastTurnNumber int
	// forked are the requests that were reserved as forks.
	forked map[string]bool
}

func (m *machine) apply(t *rapid.T, operation *protocol.LedgerOperation) *protocol.LedgerResult {
	operation.Program = "p"
	before := proto.CloneOf(m.record)
	after, result := ledger.Apply(m.record, operation, m.now)
	if !proto.Equal(before, m.record) {
		t.Fatalf("%v modified its input record: got %v, want %v", operation, m.record, before)
	}
	if after != nil {
		m.record = after
		again, repeated := ledger.Apply(m.record, operation, m.now.Add(time.Second))
		if again != nil || repeated.GetStatus() != result.GetStatus() || repeated.GetEpoch() != result.GetEpoch() {
			t.Fatalf("%v is not idempotent: first result %v, second %v", operation, result, repeated)
		}
	}
	m.checkInvariants(t)
	return result
}

// checkInvariants checks what must hold after every operation: outcomes never change, the charged tokens are the sum of
// the outcomes, the budget is exceeded by one turn at most, and epochs never decrease.
func (m *machine) checkInvariants(t *rapid.T) {
	var charged uint64
	finishedCount := 0
	for number := range propertyRequests {
		request := fmt.Sprintf("r%d", number)
		finished := ledger.FindFinished(m.record, request)
		if before := m.outcomes[request]; before != nil && !proto.Equal(before, finished) {
			t.Fatalf("outcome of %s changed from %v to %v", request, before, finished)
		}
		if finished == nil {
			continue
		}
		finishedCount++
		charged += finished.GetTokens()
		m.outcomes[request] = finished
	}
	if count := ledger.FinishedCount(m.record); count != finishedCount || len(m.record.GetFinished()) > 0 {
		t.Fatalf("the record has %d packed and %d unpacked outcomes, want %d packed and 0 unpacked", count,
			len(m.record.GetFinished()), finishedCount)
	}
	if charged != m.record.GetSettled() {
		t.Fatalf("settled tokens are %d, want %d, the sum of the outcomes", m.record.GetSettled(), charged)
	}
	used := m.record.GetSettled()
	reservedSessions := map[string]bool{}
	for _, reservation := range m.record.GetReservations() {
		used += reservation.GetCeiling()
		if reservedSessions[reservation.GetSession()] && !m.forked[reservation.GetRequestId()] {
			t.Fatalf("%s is reserved beside another request of session %s and is not a fork", reservation.GetRequestId(),
				reservation.GetSession())
		}
		reservedSessions[reservation.GetSession()] = true
		if reservation.GetEpoch() != m.epochOf(reservation.GetSession()) {
			t.Fatalf("%s is reserved under epoch %d, want the current epoch %d", reservation.GetRequestId(),
				reservation.GetEpoch(), m.epochOf(reservation.GetSession()))
		}
		if m.outcomes[reservation.GetRequestId()] != nil {
			t.Fatalf("request %s is both reserved and finished", reservation.GetRequestId())
		}
	}
	if used >= propertyBudget+m.largestLimit && m.largestLimit > 0 {
		t.Fatalf("%d tokens are charged or reserved, with a budget of %d and a largest limit of %d", used, propertyBudget,
			m.largestLimit)
	}
	for _, session := range m.record.GetSessions() {
		if session.GetEpoch() < m.epochs[session.GetSession()] {
			t.Fatalf("epoch of session %s decreased from %d to %d", session.GetSession(), m.epochs[session.GetSession()],
				session.GetEpoch())
		}
		m.epochs[session.GetSession()] = session.GetEpoch()
	}
}

func (m *machine) epochOf(sessionID string) uint64 {
	for _, session := range m.record.GetSessions() {
		if session.GetSession() == sessionID {
			return session.GetEpoch()
		}
	}
	return 0
}

func TestInvariantsHoldForAnyOrderOfOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			now: time.Unix(1_000_000, 0), outcomes: map[string]*protocol.FinishedRequest{},
			epochs: map[string]uint64{}, forked: map[string]bool{},
		}
		session := rapid.SampledFrom([]string{"s1", "s2", "s3"})
		owner := rapid.SampledFrom([]string{"front-1", "front-2"})
		request := rapid.Custom(func(t *rapid.T) string {
			return fmt.Sprintf("r%d", rapid.IntRange(0, propertyRequests-1).Draw(t, "request"))
		})
		tokens := rapid.Uint64Range(0, 40)
		epoch := func(t *rapid.T, sessionID string) uint64 {
			if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
				return rapid.Uint64Range(0, 3).Draw(t, "epoch")
			}
			return m.epochs[sessionID]
		}
		lastTurn := func(sessionID string) string {
			for _, session := range m.record.GetSessions() {
				if session.GetSession() == sessionID {
					return session.GetLastTurn()
				}
			}
			return ""
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				sessionID := session.Draw(t, "session")
				result := m.apply(t, claim(sessionID, owner.Draw(t, "owner"), rapid.Uint64Range(1, 3).Draw(t, "incarnation")))
				if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK && result.GetEpoch() != m.epochs[sessionID] {
					t.Fatalf("claim of %s returned epoch %d, want the current epoch %d", sessionID, result.GetEpoch(),
						m.epochs[sessionID])
				}
			},
			"reserve": func(t *rapid.T) {
				sessionID, limit := session.Draw(t, "session"), tokens.Draw(t, "ceiling")
				before := m.record.GetSettled()
				m.largestLimit = max(m.largestLimit, limit)
				result := m.apply(t, reserve(
					request.Draw(t, "request"), sessionID, epoch(t, sessionID), limit, lastTurn(sessionID)))
				if result.GetStatus() == protocol.LedgerStatus_LEDGER_BUDGET_SPENT && before < propertyBudget {
					t.Fatalf("reservation rejected with a spent budget, but only %d of %d tokens were charged", before,
						propertyBudget)
				}
			},
			"fork": func(t *rapid.T) {
				sessionID, requestID, limit := session.Draw(t, "session"), request.Draw(t, "request"), tokens.Draw(t, "ceiling")
				before := m.record.GetSettled()
				m.largestLimit = max(m.largestLimit, limit)
				m.forked[requestID] = true
				operation := asFork(reserve(requestID, sessionID, epoch(t, sessionID), limit,
					fmt.Sprintf("t%d", rapid.IntRange(0, m.lastTurnNumber).Draw(t, "previous"))))
				if rapid.Bool().Draw(t, "claims") {
					operation = withClaim(operation, owner.Draw(t, "owner"), rapid.Uint64Range(1, 3).Draw(t, "incarnation"))
				}
				result := m.apply(t, operation)
				switch result.GetStatus() {
				case protocol.LedgerStatus_LEDGER_BUDGET_SPENT:
					if m.record.GetSettled() < propertyBudget {
						t.Fatalf("fork rejected with a spent budget, but only %d of %d tokens were charged", before,
							propertyBudget)
					}
				case protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION:
					t.Fatalf("fork %s was rejected for its previous turn, although a fork may follow any turn", requestID)
				case protocol.LedgerStatus_LEDGER_OK:
					if result.GetEpoch() != m.epochOf(sessionID) {
						t.Fatalf("fork %s is reserved under epoch %d, want the current epoch %d", requestID, result.GetEpoch(),
							m.epochOf(sessionID))
					}
				}
			},
			"settle a fork": func(t *rapid.T) {
				if len(m.record.GetReservations()) == 0 {
					return
				}
				reservation := rapid.SampledFrom(m.record.GetReservations()).Draw(t, "open")
				m.lastTurnNumber++
				result := m.apply(t, settle(
					reservation.GetRequestId(), reservation.GetSession(), reservation.GetEpoch(), tokens.Draw(t, "tokens"),
					fmt.Sprintf("t%d", m.lastTurnNumber), reservation.GetPreviousTurn()))
				if result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
					t.Fatalf("open reservation of %s was not settled: %v", reservation.GetRequestId(), result)
				}
			},
			"settle": func(t *rapid.T) {
				sessionID := session.Draw(t, "session")
				m.lastTurnNumber++
				m.apply(t, settle(request.Draw(t, "request"), sessionID, epoch(t, sessionID), tokens.Draw(t, "tokens"),
					fmt.Sprintf("t%d", m.lastTurnNumber), lastTurn(sessionID)))
			},
			"release": func(t *rapid.T) {
				sessionID := session.Draw(t, "session")
				m.apply(t, release(request.Draw(t, "request"), sessionID, epoch(t, sessionID), tokens.Draw(t, "tokens")))
			},
			"reject": func(t *rapid.T) {
				requestID := request.Draw(t, "request")
				earlier := m.outcomes[requestID]
				result := m.apply(t, rejectRequest(requestID, session.Draw(t, "session")))
				if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK && earlier != nil &&
					earlier.GetOutcome() != protocol.RequestOutcome_OUTCOME_NOT_RUN {
					t.Fatalf("rejected %s, which had already ended as %v", requestID, earlier.GetOutcome())
				}
			},
		})
	})
}

func claim(session, owner string, incarnation uint64) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: "p",
		Body: &protocol.LedgerOperation_ClaimSession{ClaimSession: &protocol.ClaimSession{
			Session: session, Owner: owner, OwnerIncarnation: incarnation, Tenant: "t", Budget: propertyBudget,
		}},
	}
}

func reserve(request, session string, epoch, limit uint64, previous string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: "p",
		Body: &protocol.LedgerOperation_ReserveTurn{ReserveTurn: &protocol.ReserveTurn{
			RequestId: request, Session: session, Epoch: epoch, Ceiling: limit, PreviousTurn: previous,
		}},
	}
}

// asFork makes the reservation a fork, which may follow any turn.
func asFork(operation *protocol.LedgerOperation) *protocol.LedgerOperation {
	operation.GetReserveTurn().Fork = true
	return operation
}

// withClaim makes the reservation claim its session in the same operation.
func withClaim(operation *protocol.LedgerOperation, owner string, incarnation uint64) *protocol.LedgerOperation {
	sessionID := operation.GetReserveTurn().GetSession()
	operation.GetReserveTurn().Claim = claim(sessionID, owner, incarnation).GetClaimSession()
	return operation
}

func settle(request, session string, epoch, tokens uint64, turn, previous string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: "p",
		Body: &protocol.LedgerOperation_SettleTurn{SettleTurn: &protocol.SettleTurn{
			RequestId: request, Session: session, Epoch: epoch, Tokens: tokens,
			Turn: &protocol.Turn{Id: turn, Program: "p", Session: session, RequestId: request, PreviousTurn: previous},
		}},
	}
}

func release(request, session string, epoch, tokens uint64) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: "p",
		Body: &protocol.LedgerOperation_ReleaseTurn{ReleaseTurn: &protocol.ReleaseTurn{
			RequestId: request, Session: session, Epoch: epoch, Tokens: tokens,
		}},
	}
}

func rejectRequest(request, session string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: "p",
		Body: &protocol.LedgerOperation_RefuseRequest{RefuseRequest: &protocol.RefuseRequest{
			RequestId: request, Session: session,
		}},
	}
}
