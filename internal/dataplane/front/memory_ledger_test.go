package front_test

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// memoryLedger decides by the real rules over records in memory.
type memoryLedger struct {
	clock *manualClock
	mutex sync.Mutex
	// down makes every operation unavailable; operationCounts counts them by kind.
	down bool
	// unreachable is what the client reports of every program, and isolated of its front node.
	unreachable, isolated atomic.Bool
	// holdRejections, when set, delays tombstones until it is closed.
	holdRejections chan struct{}
	// intercept, when set, may answer an operation in the ledger's place; nil lets it through.
	intercept       func(operation *protocol.LedgerOperation) *protocol.LedgerResult
	operationCounts map[string]int
	programs        map[string]*protocol.ProgramRecord
	calls           map[string]*protocol.CallRecord
	turns           map[string]*protocol.Turn
}

func (l *memoryLedger) Do(_ context.Context, operation *protocol.LedgerOperation) (*protocol.LedgerResult, error) {
	if l.holdRejections != nil && operation.GetRefuseRequest() != nil {
		<-l.holdRejections
	}
	if l.intercept != nil {
		if result := l.intercept(operation); result != nil {
			return result, nil
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.operationCounts[strings.TrimPrefix(fmt.Sprintf("%T", operation.GetBody()), "*protocol.LedgerOperation_")]++
	if l.down {
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
	}
	operation = proto.CloneOf(operation)
	if read := operation.GetReadTurns(); read != nil {
		return l.read(operation.GetProgram(), read), nil
	}
	if find := operation.GetFindTurn(); find != nil {
		return l.find(find.GetTurnId()), nil
	}
	if call := ledger.CallRequestID(operation); call != "" {
		key := operation.GetProgram() + "/" + call
		changed, result := ledger.ApplyCall(l.calls[key], operation, l.clock.Now())
		if changed != nil {
			l.calls[key] = changed
		}
		return result, nil
	}
	if commit := operation.GetSettleTurn(); commit != nil {
		l.turns[commit.GetTurn().GetId()] = commit.GetTurn()
	}
	changed, result := ledger.Apply(l.programs[operation.GetProgram()], operation, l.clock.Now())
	if changed != nil {
		l.programs[operation.GetProgram()] = changed
	}
	return result, nil
}

// DoDirectly carries out an operation for another front node.
func (l *memoryLedger) DoDirectly(
	ctx context.Context, operation *protocol.LedgerOperation,
) (*protocol.LedgerResult, error) {
	return l.Do(ctx, operation)
}

// Unreachable reports what the spec has set.
func (l *memoryLedger) Unreachable(string) bool { return l.unreachable.Load() }

// Isolated reports what the spec has set.
func (l *memoryLedger) Isolated() bool { return l.isolated.Load() }

// read follows a chain within one program, as stores do.
func (l *memoryLedger) read(program string, read *protocol.ReadTurns) *protocol.LedgerResult {
	result := ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_OK)
	for next := read.GetLastTurn(); next != "" && len(result.Turns) < int(read.GetLimit()); {
		retained := l.turns[next]
		if retained == nil || retained.GetProgram() != program {
			return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_TURN_MISSING)
		}
		result.Turns = append(result.Turns, retained)
		next = retained.GetPreviousTurn()
		if retained.GetPreviousProgram() != "" {
			next = ""
		}
	}
	return result
}

// find looks a turn up in all programs.
func (l *memoryLedger) find(id string) *protocol.LedgerResult {
	retained := l.turns[id]
	if retained == nil {
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_TURN_MISSING)
	}
	result := ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_OK)
	result.Turns = []*protocol.Turn{retained}
	return result
}

// kinds counts the operations so far by kind.
func (l *memoryLedger) kinds() map[string]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return maps.Clone(l.operationCounts)
}

// turn returns a retained turn, or nil.
func (l *memoryLedger) turn(id string) *protocol.Turn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.turns[id]
}

func (l *memoryLedger) setDown(down bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.down = down
}

func (l *memoryLedger) count(kind string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.operationCounts[kind]
}

func (l *memoryLedger) program(name string) *protocol.ProgramRecord {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.programs[name]
}
