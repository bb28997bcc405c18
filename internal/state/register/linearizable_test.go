package register_test

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	_ "github.com/rosestand/rosestand/internal/testing/lab/fixedseed"
)

// linearizable decides whether a history of appendModel is linearizable, in O(n log n) steps for n operations.
//
// Each value is appended by at most one operation, and each operation returns the list right after it. The lists must
// therefore be prefixes of each other, and they determine the order of the operations: each append comes right before
// the reads of its list. Reads of the same list are ordered by their start, which agrees with real time whenever any
// order does. The history is linearizable if and only if this order is valid. The error states why it is not.
func linearizable(history []porcupine.Operation) error {
	ranked := make([]rankedOperation, 0, len(history))
	for _, operation := range history {
		ranked = append(ranked, rank(operation))
	}
	slices.SortStableFunc(ranked, func(a, b rankedOperation) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Call, b.Call))
	})
	if err := checkPrefixes(ranked); err != nil {
		return err
	}
	return checkRealTime(ranked)
}

// rankedOperation is an operation with its rank in the only order that the lists allow.
type rankedOperation struct {
	porcupine.Operation
	input operationInput
	list  string
	// rank is twice the length of the list, and one more for reads.
	rank int
}

func rank(operation porcupine.Operation) rankedOperation {
	input, list := operation.Input.(operationInput), operation.Output.(string)
	order := 2 * len(strings.Fields(list))
	if input.isRead {
		order++
	}
	return rankedOperation{Operation: operation, input: input, list: list, rank: order}
}

// checkPrefixes returns an error for a list that differs from the previous one by more than the append between them.
func checkPrefixes(ranked []rankedOperation) error {
	list := ""
	for _, operation := range ranked {
		if !operation.input.isRead {
			list += operation.input.append + " "
		}
		if operation.list != list {
			return fmt.Errorf("operation %+v returned the list %q, want %q", operation.input, operation.list, list)
		}
	}
	return nil
}

// checkRealTime returns an error for an operation that ended before the start of one that precedes it in the order.
func checkRealTime(ranked []rankedOperation) error {
	var latest rankedOperation
	for _, operation := range ranked {
		if operation.Return < latest.Call {
			return fmt.Errorf("operation %+v ended before the start of %+v, which precedes it in the order", operation.input,
				latest.input)
		}
		if operation.Call > latest.Call {
			latest = operation
		}
	}
	return nil
}

// drawHistory returns a small history: a linearizable one of which up to two operations are then altered or removed.
func drawHistory(t *rapid.T) []porcupine.Operation {
	var history []porcupine.Operation
	list := ""
	for step := range rapid.IntRange(0, 7).Draw(t, "operations") {
		input := operationInput{isRead: rapid.Bool().Draw(t, "read")}
		if !input.isRead {
			input.append = strconv.Itoa(step)
			list += input.append + " "
		}
		// The operation takes effect at 10*step.
		history = append(history, porcupine.Operation{
			ClientId: step, Input: input, Output: list,
			Call:   int64(10*step - rapid.IntRange(0, 25).Draw(t, "before") + 25),
			Return: int64(10*step + rapid.IntRange(0, 25).Draw(t, "after") + 25),
		})
	}
	if len(history) == 0 {
		return nil
	}
	for range rapid.IntRange(0, 2).Draw(t, "changes") {
		changed := &history[rapid.IntRange(0, len(history)-1).Draw(t, "changed")]
		switch rapid.IntRange(0, 2).Draw(t, "change") {
		case 0:
			changed.Output = history[rapid.IntRange(0, len(history)-1).Draw(t, "other")].Output
		case 1:
			shift := int64(rapid.IntRange(-40, 40).Draw(t, "moved"))
			changed.Call, changed.Return = max(0, changed.Call+shift), max(0, changed.Return+shift)
		default:
			dropped := rapid.IntRange(0, len(history)-1).Draw(t, "dropped")
			history = slices.Delete(history, dropped, dropped+1)
			if len(history) == 0 {
				return nil
			}
		}
	}
	return history
}

// TestLinearizableAgreesWithExhaustiveSearch compares linearizable with a search over all orders of small histories,
// for which the search is feasible.
func TestLinearizableAgreesWithExhaustiveSearch(t *testing.T) {
	verdicts := map[bool]int{}
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		searched := porcupine.CheckOperations(appendModel, history)
		verdicts[searched]++
		if err := linearizable(history); (err == nil) != searched {
			t.Fatalf("the search found linearizable = %v, but linearizable returned %v for %+v", searched, err, history)
		}
	})
	if verdicts[true] == 0 || verdicts[false] == 0 {
		t.Errorf("the histories drawn have the verdicts %v, want both true and false ones", verdicts)
	}
}
