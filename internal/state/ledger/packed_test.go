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

// twin keeps a record in both forms: packed as the ledger writes it, and with
// every finished request in full, as older stores wrote it.
type twin struct {
	packed, plain *protocol.ProgramRecord
	now           time.Time
}

// apply decides an operation on both forms and compares all that can be seen.
func (w *twin) apply(t *rapid.T, operation *protocol.LedgerOperation) {
	operation.Program = "p"
	if w.isExpired() {
		w.packed, w.plain = nil, nil
	}
	packed, result := ledger.Apply(w.packed, operation, w.now)
	plain, wanted := ledger.Apply(w.plain, operation, w.now)
	if (packed == nil) != (plain == nil) || result.GetStatus() != wanted.GetStatus() ||
		result.GetEpoch() != wanted.GetEpoch() ||
		result.GetLastTurn() != wanted.GetLastTurn() || !proto.Equal(result.GetFinished(), wanted.GetFinished()) ||
		(result.GetProgram() == nil) != (wanted.GetProgram() == nil) {
		t.Fatalf("%v answered %v packed and %v plain", operation, result, wanted)
	}
	if packed == nil {
		return
	}
	compareRecords(t, operation, packed, plain)
	encoded, err := proto.Marshal(packed)
	if err != nil {
		t.Fatal(err)
	}
	w.packed = &protocol.ProgramRecord{}
	if err := proto.Unmarshal(encoded, w.packed); err != nil {
		t.Fatal(err)
	}
	if err := ledger.CheckRecord(w.packed); err != nil {
		t.Fatal(err)
	}
	w.plain = w.remember(t, operation, result)
}

// isExpired reports by the plain form whether the record's retention has ended.
func (w *twin) isExpired() bool {
	until := w.plain.GetUpdatedAtMillis() + ledger.DefaultRetention.Milliseconds()
	for _, finished := range w.plain.GetFinished() {
		until = max(until, finished.GetKeepUntilMillis())
	}
	return until < w.now.UnixMilli()
}

// compareRecords allows for one difference: a session may be named where the
// other record has its place, when the request ended before the session was claimed.
func compareRecords(t *rapid.T, operation *protocol.LedgerOperation, packed, plain *protocol.ProgramRecord) {
	for number := range propertyRequests {
		request := fmt.Sprintf("r%d", number)
		if got, wanted := ledger.FindFinished(packed, request),
			ledger.FindFinished(plain, request); !proto.Equal(got, wanted) {
			t.Fatalf("%v left %v of %s packed and %v plain", operation, got, request, wanted)
		}
	}
	left, wanted := proto.CloneOf(packed), proto.CloneOf(plain)
	left.FinishedPacked, wanted.FinishedPacked = nil, nil
	if !proto.Equal(left, wanted) || ledger.FinishedCount(packed) != ledger.FinishedCount(plain) {
		t.Fatalf("%v left %v packed and %v plain", operation, packed, plain)
	}
}

// remember makes the plain form from the plain form before, without using what was packed:
// what expired is removed, and what the operation ended is added.
func (w *twin) remember(
	t *rapid.T, operation *protocol.LedgerOperation, result *protocol.LedgerResult,
) *protocol.ProgramRecord {
	plain := proto.CloneOf(w.packed)
	plain.FinishedPacked = nil
	known := map[string]bool{}
	for _, finished := range w.plain.GetFinished() {
		if finished.GetKeepUntilMillis() >= w.now.UnixMilli() {
			plain.Finished = append(plain.Finished, finished)
			known[finished.GetRequestId()] = true
		}
	}
	if finished := result.GetFinished(); finished != nil && !known[finished.GetRequestId()] {
		plain.Finished = append(plain.Finished, proto.CloneOf(finished))
	}
	claim := operation.GetClaimSession()
	for _, open := range w.plain.GetReservations() {
		if claim != nil && open.GetSession() == claim.GetSession() {
			plain.Finished = append(plain.Finished, &protocol.FinishedRequest{
				RequestId: open.GetRequestId(), Session: open.GetSession(), Outcome: outcomeCharged, Tokens: open.GetCeiling(),
				FinishedAtMillis: w.now.UnixMilli(), KeepUntilMillis: w.now.Add(ledger.DefaultRetention).UnixMilli(),
			})
		}
	}
	if count := ledger.FinishedCount(w.packed); count != len(plain.GetFinished()) {
		t.Fatalf("after %v %d requests are packed and %d are known", operation, count, len(plain.GetFinished()))
	}
	return plain
}

func TestPackedRequestsAnswerAsPlainOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &twin{now: time.Unix(1_700_000_000, 0)}
		session := rapid.SampledFrom([]string{"s1", "s2", "s3"})
		request := rapid.Custom(func(t *rapid.T) string {
			return fmt.Sprintf("r%d", rapid.IntRange(0, propertyRequests-1).Draw(t, "request"))
		})
		tokens := rapid.Uint64Range(0, 4)
		state := func(of string) (epoch uint64, last string) {
			for _, known := range w.packed.GetSessions() {
				if known.GetSession() == of {
					return known.GetEpoch(), known.GetLastTurn()
				}
			}
			return 0, ""
		}
		// turnOf is mostly the id that follows from the request, as front nodes make it.
		turnOf := func(t *rapid.T, request string) string {
			if rapid.IntRange(0, 3).Draw(t, "own id") == 0 {
				return "turn_" + request
			}
			return ledger.TurnID("p", request)
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				owner := rapid.SampledFrom([]string{"front-1", "front-2"}).Draw(t, "owner")
				w.apply(t, claim(session.Draw(t, "session"), owner, 1))
			},
			"reserve": func(t *rapid.T) {
				of := session.Draw(t, "session")
				epoch, last := state(of)
				if last == "" && rapid.Bool().Draw(t, "forked") {
					last = turnOf(t, request.Draw(t, "forked from"))
				}
				w.apply(t, reserve(request.Draw(t, "request"), of, epoch, tokens.Draw(t, "ceiling"), last))
			},
			"settle": func(t *rapid.T) {
				of, ended := session.Draw(t, "session"), request.Draw(t, "request")
				epoch, previous := state(of)
				for _, open := range w.packed.GetReservations() {
					if open.GetSession() == of && rapid.IntRange(0, 3).Draw(t, "the open one") > 0 {
						ended, previous = open.GetRequestId(), open.GetPreviousTurn()
					}
				}
				operation := settle(ended, of, epoch, tokens.Draw(t, "tokens"), turnOf(t, ended), previous)
				keep := time.Duration(rapid.IntRange(0, 72).Draw(t, "keep hours")) * time.Hour
				operation.GetSettleTurn().Turn.KeepUntilMillis = w.now.Add(keep).UnixMilli()
				w.apply(t, operation)
			},
			"release": func(t *rapid.T) {
				of := session.Draw(t, "session")
				epoch, _ := state(of)
				w.apply(t, release(request.Draw(t, "request"), of, epoch, tokens.Draw(t, "tokens")))
			},
			"refuse": func(t *rapid.T) {
				w.apply(t, refuse(request.Draw(t, "request"), rapid.SampledFrom([]string{"", "s1", "s4"}).Draw(t, "session")))
			},
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "hours")) * time.Hour)
			},
		})
	})
}

func TestDamagedRequestsAreRejected(t *testing.T) {
	record, _ := ledger.Apply(nil, claim("s", "a", 1), now)
	record, _ = ledger.Apply(record, reserve("r", "s", 1, 10, ""), now)
	record, _ = ledger.Apply(record, settle("r", "s", 1, 4, "t1", ""), now)
	record, _ = ledger.Apply(record, refuse("r2", "elsewhere"), now)
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
			t.Errorf("truncated to %d of %d bytes: %v", size, len(complete), err)
		}
	}
	record.FinishedPacked = complete
	record.Sessions = nil
	if err := ledger.CheckRecord(record); !errors.As(err, &damaged) {
		t.Errorf("a request of an unknown session: %v", err)
	}
}
