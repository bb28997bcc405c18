package statesuite

import (
	"cmp"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

// linearizabilityTimeout bounds the search for a linear order of one object's operations.
const linearizabilityTimeout = 20 * time.Second

// operationRecord is one operation of a history. Without an end it may take effect at any later time, or never.
type operationRecord struct {
	input     any
	output    any
	call      time.Duration
	end       time.Duration
	ended     bool
	discarded bool
}

// history records the operations on many objects; each object is checked on its own.
type history[K cmp.Ordered] struct {
	objects map[K][]*operationRecord
}

func newHistory[K cmp.Ordered]() *history[K] { return &history[K]{objects: map[K][]*operationRecord{}} }

func (h *history[K]) begin(object K, input any, now time.Duration) *operationRecord {
	operation := &operationRecord{input: input, call: now}
	h.objects[object] = append(h.objects[object], operation)
	return operation
}

func (h *history[K]) end(operation *operationRecord, output any, now time.Duration) {
	operation.output, operation.end, operation.ended = output, now, true
}

// discard excludes an operation that certainly had no effect and returned nothing.
func (h *history[K]) discard(operation *operationRecord) { operation.discarded = true }

// check searches a linear order of each object's operations. observed reports whether the effect of an operation
// without an end is visible in an answer; one that is not may be ordered last.
func (h *history[K]) check(rule *sim.Rule, model porcupine.Model, observed func(object K, input any) bool) {
	for _, object := range sortedKeys(h.objects) {
		operations := h.operations(object, observed)
		rule.Provoke()
		switch porcupine.CheckOperationsTimeout(model, operations, linearizabilityTimeout) {
		case porcupine.Illegal:
			rule.Violatef("no linear order of the %d operations on %v", len(operations), object)
		case porcupine.Unknown:
			rule.Violatef("undecided for the %d operations on %v", len(operations), object)
		}
	}
}

func (h *history[K]) operations(object K, observed func(object K, input any) bool) []porcupine.Operation {
	var operations []porcupine.Operation
	for _, operation := range h.objects[object] {
		if operation.discarded || !operation.ended && !observed(object, operation.input) {
			continue
		}
		end := int64(math.MaxInt64)
		if operation.ended {
			end = int64(operation.end)
		}
		operations = append(operations, porcupine.Operation{
			Input: operation.input, Call: int64(operation.call), Output: operation.output, Return: end,
		})
	}
	return operations
}

// Operations on one bundle version: the first put wins it.
type (
	putBundle  struct{ digest string }
	readBundle struct{}
	// putAnswer names the winner, if there is one.
	putAnswer struct {
		winner   string
		accepted bool
	}
)

var bundleModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		winner := state.(string)
		put, isPut := input.(putBundle)
		if isPut && winner == "" {
			winner = put.digest
		}
		answer, answered := output.(putAnswer)
		if !answered {
			return true, winner
		}
		legal := answer.winner == winner && (!isPut || answer.accepted == (winner == put.digest))
		return legal, winner
	},
}

// Operations on one list register.
type (
	appendID struct{ id string }
	readList struct{}
)

var listModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		list := state.(string)
		if appended, isAppend := input.(appendID); isAppend {
			return true, strings.TrimPrefix(list+listSeparator+appended.id, listSeparator)
		}
		return output.(string) == list, list
	},
}
