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
// Each value is appended by at most one operation, and each operation returns the list right after it. So the lists
// must be prefixes of each other, and they give the order of the operations: each append comes right before the reads
// of its list. Reads of the same list are ordered by their start, which fits real time whenever any order does. The
// history is linearizable if, and only if, that one order fits. The error says why it does not.
func linearizable(history []porcupine.Operation) error {
	ranked := make([]rankedOperation, 0, len(history))
	for _, operation := range history {
		ranked = append(ranked, rank(operation))
	}
	slices.SortStableFunc(ranked, func(a, b rankedOperation) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Call, b.Call))
	})
	if err := checkChain(ranked); err != nil {
		return err
	}
	return checkRealTime(ranked)
}

// rankedOperation is an operation with its rank in the only order that its list allows.
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
	if input.read {
		order++
	}
	return rankedOperation{Operation: operation, input: input, list: list, rank: order}
}

// checkChain reports a list that does not follow from the one before by the append between them.
func checkChain(ranked []rankedOperation) error {
	list := ""
	for _, operation := range ranked {
		if !operation.input.read {
			list += operation.input.append + " "
		}
		if operation.list != list {
			return fmt.Errorf("%+v leaves %q where the list is %q", operation.input, operation.list, list)
		}
	}
	return nil
}

// checkRealTime reports an operation that ended before one began that comes earlier in the order.
func checkRealTime(ranked []rankedOperation) error {
	var latest rankedOperation
	for _, operation := range ranked {
		if operation.Return < latest.Call {
			return fmt.Errorf("%+v ended before %+v began, which comes earlier", operation.input, latest.input)
		}
		if operation.Call > latest.Call {
			latest = operation
		}
	}
	return nil
}

// drawHistory makes a small history: a linearizable one, of which some operations are then changed in any way.
func drawHistory(t *rapid.T) []porcupine.Operation {
	var history []porcupine.Operation
	list := ""
	for step := range rapid.IntRange(0, 7).Draw(t, "operations") {
		input := operationInput{read: rapid.Bool().Draw(t, "read")}
		if !input.read {
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
			moved := int64(rapid.IntRange(-40, 40).Draw(t, "moved"))
			changed.Call, changed.Return = max(0, changed.Call+moved), max(0, changed.Return+moved)
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

// TestTheCheckOfHistoriesAgreesWithASearch compares it with a search over all orders, which small histories let end.
func TestTheCheckOfHistoriesAgreesWithASearch(t *testing.T) {
	verdicts := map[bool]int{}
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		searched := porcupine.CheckOperations(appendModel, history)
		verdicts[searched]++
		if err := linearizable(history); (err == nil) != searched {
			t.Fatalf("the search says %v, the check %v, of %+v", searched, err, history)
		}
	})
	if verdicts[true] == 0 || verdicts[false] == 0 {
		t.Errorf("verdicts %v", verdicts)
	}
}
