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

// machine applies random operations of some owners and keeps what they were promised.
type machine struct {
	record   *protocol.ProgramRecord
	now      time.Time
	outcomes map[string]*protocol.FinishedRequest
	epochs   map[string]uint64
	largest  uint64
	turns    int
	// forked are the requests that were reserved as forks.
	forked map[string]bool
}

func (m *machine) apply(t *rapid.T, operation *protocol.LedgerOperation) *protocol.LedgerResult {
	operation.Program = "p"
	before := proto.CloneOf(m.record)
	after, result := ledger.Apply(m.record, operation, m.now)
	if !proto.Equal(before, m.record) {
		t.Fatalf("the record given was written to by %v", operation)
	}
	if after != nil {
		m.record = after
		again, repeated := ledger.Apply(m.record, operation, m.now.Add(time.Second))
		if again != nil || repeated.GetStatus() != result.GetStatus() || repeated.GetEpoch() != result.GetEpoch() {
			t.Fatalf("%v was not idempotent: %v then %v", operation, result, repeated)
		}
	}
	m.check(t)
	return result
}

// check looks at what must hold after every operation.
func (m *machine) check(t *rapid.T) {
	var charged uint64
	known := 0
	for number := range propertyRequests {
		request := fmt.Sprintf("r%d", number)
		finished := ledger.FindFinished(m.record, request)
		if before := m.outcomes[request]; before != nil && !proto.Equal(before, finished) {
			t.Fatalf("outcome changed from %v to %v", before, finished)
		}
		if finished == nil {
			continue
		}
		known++
		charged += finished.GetTokens()
		m.outcomes[request] = finished
	}
	if count := ledger.FinishedCount(m.record); count != known || len(m.record.GetFinished()) > 0 {
		t.Fatalf("the record holds %d outcomes and %d unpacked ones of %d requests", count, len(m.record.GetFinished()),
			known)
	}
	if charged != m.record.GetSettled() {
		t.Fatalf("settled %d but outcomes sum up to %d", m.record.GetSettled(), charged)
	}
	used := m.record.GetSettled()
	open := map[string]bool{}
	for _, reservation := range m.record.GetReservations() {
		used += reservation.GetCeiling()
		if open[reservation.GetSession()] && !m.forked[reservation.GetRequestId()] {
			t.Fatalf("two reservations of %s", reservation.GetSession())
		}
		open[reservation.GetSession()] = true
		if reservation.GetEpoch() != m.epochOf(reservation.GetSession()) {
			t.Fatalf("%s is reserved under epoch %d, which is not in force", reservation.GetRequestId(), reservation.GetEpoch())
		}
		if m.outcomes[reservation.GetRequestId()] != nil {
			t.Fatalf("%s is reserved and finished", reservation.GetRequestId())
		}
	}
	if used >= propertyBudget+m.largest && m.largest > 0 {
		t.Fatalf("%d tokens charged or reserved with a budget of %d and turns of at most %d", used, propertyBudget, m.largest)
	}
	for _, session := range m.record.GetSessions() {
		if session.GetEpoch() < m.epochs[session.GetSession()] {
			t.Fatalf("epoch of %s stepped back", session.GetSession())
		}
		m.epochs[session.GetSession()] = session.GetEpoch()
	}
}

func (m *machine) epochOf(session string) uint64 {
	for _, known := range m.record.GetSessions() {
		if known.GetSession() == session {
			return known.GetEpoch()
		}
	}
	return 0
}

func TestAnyOrderOfOperationsKeepsTheRules(t *testing.T) {
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
		epoch := func(t *rapid.T, of string) uint64 {
			if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
				return rapid.Uint64Range(0, 3).Draw(t, "epoch")
			}
			return m.epochs[of]
		}
		last := func(of string) string {
			for _, known := range m.record.GetSessions() {
				if known.GetSession() == of {
					return known.GetLastTurn()
				}
			}
			return ""
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				of := session.Draw(t, "session")
				result := m.apply(t, claim(of, owner.Draw(t, "owner"), rapid.Uint64Range(1, 3).Draw(t, "incarnation")))
				if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK && result.GetEpoch() != m.epochs[of] {
					t.Fatalf("claimed epoch %d but %d is in force", result.GetEpoch(), m.epochs[of])
				}
			},
			"reserve": func(t *rapid.T) {
				of, limit := session.Draw(t, "session"), tokens.Draw(t, "ceiling")
				before := m.record.GetSettled()
				m.largest = max(m.largest, limit)
				result := m.apply(t, reserve(request.Draw(t, "request"), of, epoch(t, of), limit, last(of)))
				if result.GetStatus() == protocol.LedgerStatus_LEDGER_BUDGET_SPENT && before < propertyBudget {
					t.Fatalf("said to be spent with %d of %d", before, propertyBudget)
				}
			},
			"fork": func(t *rapid.T) {
				of, forked, limit := session.Draw(t, "session"), request.Draw(t, "request"), tokens.Draw(t, "ceiling")
				before := m.record.GetSettled()
				m.largest = max(m.largest, limit)
				m.forked[forked] = true
				operation := fork(reserve(forked, of, epoch(t, of), limit,
					fmt.Sprintf("t%d", rapid.IntRange(0, m.turns).Draw(t, "previous"))))
				if rapid.Bool().Draw(t, "claims") {
					operation = claiming(operation, owner.Draw(t, "owner"), rapid.Uint64Range(1, 3).Draw(t, "incarnation"))
				}
				result := m.apply(t, operation)
				switch result.GetStatus() {
				case protocol.LedgerStatus_LEDGER_BUDGET_SPENT:
					if m.record.GetSettled() < propertyBudget {
						t.Fatalf("said to be spent with %d of %d", before, propertyBudget)
					}
				case protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION:
					t.Fatal("a fork may follow any turn")
				case protocol.LedgerStatus_LEDGER_OK:
					if result.GetEpoch() != m.epochOf(of) {
						t.Fatalf("reserved under epoch %d but %d is in force", result.GetEpoch(), m.epochOf(of))
					}
				}
			},
			"settle a fork": func(t *rapid.T) {
				if len(m.record.GetReservations()) == 0 {
					return
				}
				open := rapid.SampledFrom(m.record.GetReservations()).Draw(t, "open")
				m.turns++
				result := m.apply(t, settle(
					open.GetRequestId(), open.GetSession(), open.GetEpoch(), tokens.Draw(t, "tokens"), fmt.Sprintf("t%d", m.turns),
					open.GetPreviousTurn()))
				if result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
					t.Fatalf("an open reservation was not settled: %v", result)
				}
			},
			"settle": func(t *rapid.T) {
				of := session.Draw(t, "session")
				m.turns++
				m.apply(t, settle(request.Draw(t, "request"), of, epoch(t, of), tokens.Draw(t, "tokens"),
					fmt.Sprintf("t%d", m.turns), last(of)))
			},
			"release": func(t *rapid.T) {
				of := session.Draw(t, "session")
				m.apply(t, release(request.Draw(t, "request"), of, epoch(t, of), tokens.Draw(t, "tokens")))
			},
			"refuse": func(t *rapid.T) {
				rejected := request.Draw(t, "request")
				was := m.outcomes[rejected]
				result := m.apply(t, refuse(rejected, session.Draw(t, "session")))
				if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK && was != nil &&
					was.GetOutcome() != protocol.RequestOutcome_OUTCOME_NOT_RUN {
					t.Fatalf("rejected %s, which had ended as %v", rejected, was.GetOutcome())
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

// fork lets a reservation follow any turn.
func fork(operation *protocol.LedgerOperation) *protocol.LedgerOperation {
	operation.GetReserveTurn().Fork = true
	return operation
}

// claiming lets a reservation claim its session in the same step.
func claiming(operation *protocol.LedgerOperation, owner string, incarnation uint64) *protocol.LedgerOperation {
	of := operation.GetReserveTurn().GetSession()
	operation.GetReserveTurn().Claim = claim(of, owner, incarnation).GetClaimSession()
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

func refuse(request, session string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: "p",
		Body: &protocol.LedgerOperation_RefuseRequest{RefuseRequest: &protocol.RefuseRequest{
			RequestId: request, Session: session,
		}},
	}
}
