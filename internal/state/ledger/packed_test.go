package ledger_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// recordPair is one program's record in two encodings: with packed finished requests, as the ledger writes it, and with
// unpacked ones, as older stores wrote it.
type recordPair struct {
	packed, unpacked *protocol.ProgramRecord
	now              time.Time
}

// apply applies an operation to both records and compares the results and the changed records.
func (p *recordPair) apply(t *rapid.T, operation *protocol.LedgerOperation) {
	operation.Program = "p"
	if p.isExpired() {
		p.packed, p.unpacked = nil, nil
	}
	packed, result := ledger.Apply(p.packed, operation, p.now)
	unpacked, wanted := ledger.Apply(p.unpacked, operation, p.now)
	if (packed == nil) != (unpacked == nil) || result.GetStatus() != wanted.GetStatus() ||
		result.GetEpoch() != wanted.GetEpoch() ||
		result.GetLastTurn() != wanted.GetLastTurn() || !proto.Equal(result.GetFinished(), wanted.GetFinished()) ||
		(result.GetProgram() == nil) != (wanted.GetProgram() == nil) {
		t.Fatalf("%v returned %v for the packed record and %v for the unpacked one", operation, result, wanted)
	}
	if packed == nil {
		return
	}
	compareRecords(t, operation, packed, unpacked)
	encoded, err := proto.Marshal(packed)
	if err != nil {
		t.Fatal(err)
	}
	p.packed = &protocol.ProgramRecord{}
	if err := proto.Unmarshal(encoded, p.packed); err != nil {
		t.Fatal(err)
	}
	if err := ledger.CheckRecord(p.packed); err != nil {
		t.Fatal(err)
	}
	p.unpacked = p.nextUnpacked(t, operation, result)
}

// isExpired reports whether the retention of the unpacked record has ended.
func (p *recordPair) isExpired() bool {
	until := p.unpacked.GetUpdatedAtMillis() + ledger.DefaultRetention.Milliseconds()
	for _, finished := range p.unpacked.GetFinished() {
		until = max(until, finished.GetKeepUntilMillis())
	}
	return until < p.now.UnixMilli()
}

// compareRecords fails when the records differ in anything but the packed bytes. These may differ: a session that was
// claimed after its request ended is packed by name in one record and by index in the other.
func compareRecords(t *rapid.T, operation *protocol.LedgerOperation, packed, unpacked *protocol.ProgramRecord) {
	for number := range propertyRequests {
		request := fmt.Sprintf("r%d", number)
		if got, wanted := ledger.FindFinished(packed, request),
			ledger.FindFinished(unpacked, request); !proto.Equal(got, wanted) {
			t.Fatalf("%v left request %s as %v in the packed record and as %v in the unpacked one", operation, request, got,
				wanted)
		}
	}
	gotRecord, wanted := proto.CloneOf(packed), proto.CloneOf(unpacked)
	gotRecord.FinishedPacked, wanted.FinishedPacked = nil, nil
	if !proto.Equal(gotRecord, wanted) || ledger.FinishedCount(packed) != ledger.FinishedCount(unpacked) {
		t.Fatalf("%v left the packed record %v and the unpacked record %v", operation, packed, unpacked)
	}
}

// nextUnpacked returns the unpacked record after an operation. It derives the finished requests from the previous
// unpacked record, never from the packed bytes: it removes the expired ones and adds those that the operation ended.
func (p *recordPair) nextUnpacked(
	t *rapid.T, operation *protocol.LedgerOperation, result *protocol.LedgerResult,
) *protocol.ProgramRecord {
	unpacked := proto.CloneOf(p.packed)
	unpacked.FinishedPacked = nil
	finishedIDs := map[string]bool{}
	for _, finished := range p.unpacked.GetFinished() {
		if finished.GetKeepUntilMillis() >= p.now.UnixMilli() {
			unpacked.Finished = append(unpacked.Finished, finished)
			finishedIDs[finished.GetRequestId()] = true
		}
	}
	if finished := result.GetFinished(); finished != nil && !finishedIDs[finished.GetRequestId()] {
		unpacked.Finished = append(unpacked.Finished, proto.CloneOf(finished))
	}
	claim := operation.GetClaimSession()
	for _, open := range p.unpacked.GetReservations() {
		if claim != nil && open.GetSession() == claim.GetSession() {
			unpacked.Finished = append(unpacked.Finished, &protocol.FinishedRequest{
				RequestId: open.GetRequestId(), Session: open.GetSession(), Outcome: outcomeCharged, Tokens: open.GetCeiling(),
				FinishedAtMillis: p.now.UnixMilli(), KeepUntilMillis: p.now.Add(ledger.DefaultRetention).UnixMilli(),
			})
		}
	}
	if count := ledger.FinishedCount(p.packed); count != len(unpacked.GetFinished()) {
		t.Fatalf("%v left %d packed requests, want %d", operation, count, len(unpacked.GetFinished()))
	}
	return unpacked
}

func TestPackedRequestsMatchUnpackedOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &recordPair{now: time.Unix(1_700_000_000, 0)}
		session := rapid.SampledFrom([]string{"s1", "s2", "s3"})
		request := rapid.Custom(func(t *rapid.T) string {
			return fmt.Sprintf("r%d", rapid.IntRange(0, propertyRequests-1).Draw(t, "request"))
		})
		tokens := rapid.Uint64Range(0, 4)
		state := func(sessionID string) (epoch uint64, last string) {
			for _, candidate := range p.packed.GetSessions() {
				if candidate.GetSession() == sessionID {
					return candidate.GetEpoch(), candidate.GetLastTurn()
				}
			}
			return 0, ""
		}
		// turnOf returns the turn id of a request: mostly the derived one, as front nodes use it.
		turnOf := func(t *rapid.T, request string) string {
			if rapid.IntRange(0, 3).Draw(t, "own id") == 0 {
				return "turn_" + request
			}
			return ledger.TurnID("p", request)
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				owner := rapid.SampledFrom([]string{"front-1", "front-2"}).Draw(t, "owner")
				p.apply(t, claim(session.Draw(t, "session"), owner, 1))
			},
			"reserve": func(t *rapid.T) {
				sessionID := session.Draw(t, "session")
				epoch, last := state(sessionID)
				if last == "" && rapid.Bool().Draw(t, "forked") {
					last = turnOf(t, request.Draw(t, "forked from"))
				}
				p.apply(t, reserve(request.Draw(t, "request"), sessionID, epoch, tokens.Draw(t, "ceiling"), last))
			},
			"settle": func(t *rapid.T) {
				sessionID, requestID := session.Draw(t, "session"), request.Draw(t, "request")
				epoch, previous := state(sessionID)
				for _, open := range p.packed.GetReservations() {
					if open.GetSession() == sessionID && rapid.IntRange(0, 3).Draw(t, "the open one") > 0 {
						requestID, previous = open.GetRequestId(), open.GetPreviousTurn()
					}
				}
				operation := settle(requestID, sessionID, epoch, tokens.Draw(t, "tokens"), turnOf(t, requestID), previous)
				retention := time.Duration(rapid.IntRange(0, 72).Draw(t, "keep hours")) * time.Hour
				operation.GetSettleTurn().Turn.KeepUntilMillis = p.now.Add(retention).UnixMilli()
				p.apply(t, operation)
			},
			"release": func(t *rapid.T) {
				sessionID := session.Draw(t, "session")
				epoch, _ := state(sessionID)
				p.apply(t, release(request.Draw(t, "request"), sessionID, epoch, tokens.Draw(t, "tokens")))
			},
			"reject": func(t *rapid.T) {
				p.apply(t, rejectRequest(
					request.Draw(t, "request"), rapid.SampledFrom([]string{"", "s1", "s4"}).Draw(t, "session")))
			},
			"wait": func(t *rapid.T) {
				p.now = p.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "hours")) * time.Hour)
			},
		})
	})
}

func TestDamagedRequestsAreRejected(t *testing.T) {
	record, _ := ledger.Apply(nil, claim("s", "a", 1), now)
	record, _ = ledger.Apply(record, reserve("r", "s", 1, 10, ""), now)
	record, _ = ledger.Apply(record, settle("r", "s", 1, 4, "t1", ""), now)
	record, _ = ledger.Apply(record, rejectRequest("r2", "elsewhere"), now)
	if err := ledger.CheckRecord(record); err != nil {
		t.Fatal(err)
	}
	complete := record.GetFinishedPacked()
	first := len(complete) - ledger.LastPackedSize(record)
	var damaged *ledger.DamagedRecordError
	for size := range complete {
		record.FinishedPacked = complete[:size]
		err := ledger.CheckRecord(record)
		if (err == nil) != (size == 0 || size == first) || err != nil && !errors.As(err, &damaged) {
			t.Errorf("CheckRecord of a record truncated to %d of %d bytes: unexpected result %v", size, len(complete), err)
		}
	}
	record.FinishedPacked = complete
	record.Sessions = nil
	if err := ledger.CheckRecord(record); !errors.As(err, &damaged) {
		t.Errorf("CheckRecord of a request whose session index is out of range: got %v, want a DamagedRecordError", err)
	}
}
