package audit

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/modeltoken"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

// checkRanTwice looks for a second run of a call that may not be repeated, by
// request id and by the thing that the call changes: a caller asks anew for the
// same thing only after an outcome of not_run.
func checkRanTwice(file *indexedEvidence, f *finder) {
	byObject := map[string][]standin.Entry{}
	for _, request := range slices.Sorted(maps.Keys(file.startsByRequest)) {
		runs := file.startsByRequest[request]
		if !site.NonRepeatable(runs[0].Tool) {
			continue
		}
		f.examine(1)
		if len(runs) > 1 {
			f.found(request, fmt.Sprintf("%d runs of %s, at %s and %s", len(runs), runs[0].Tool, runLocation(runs[0]),
				runLocation(runs[1])))
		}
		byObject[runs[0].Object] = append(byObject[runs[0].Object], runs[0])
	}
	for _, object := range slices.Sorted(maps.Keys(byObject)) {
		if runs := byObject[object]; object != "" && len(runs) > 1 {
			f.found(object, fmt.Sprintf("changed by requests %s and %s", runs[0].RequestID, runs[1].RequestID))
		}
	}
}

func runLocation(entry standin.Entry) string {
	return fmt.Sprintf("%s %s", entry.Server, entry.At().UTC().Format(time.RFC3339Nano))
}

// checkRefusedButRan holds each "not run" against the journals and against
// other answers to the same request.
func checkRejectedButRan(file *indexedEvidence, f *finder) {
	file.requests(func(record *caller.Record) {
		rejection := notRun(record)
		if rejection == nil {
			return
		}
		f.examine(1)
		if runs := file.startsByRequest[record.RequestID]; len(runs) > 0 {
			f.found(record.RequestID, fmt.Sprintf("told not_run (%s) by %s, ran at %s", rejection.Code, rejection.Front,
				runLocation(runs[0])))
			return
		}
		if answered(record) {
			f.found(record.RequestID, "told not_run and answered as well")
		}
	})
}

// notRun is the exchange with outcome not_run. The rejection of a resumption
// concerns the resumption only.
func notRun(record *caller.Record) *caller.Exchange {
	for i := range record.Exchanges {
		exchange := &record.Exchanges[i]
		if exchange.Outcome == caller.OutcomeNotRun && !exchange.Resumed {
			return exchange
		}
	}
	return nil
}

func answered(record *caller.Record) bool {
	return slices.ContainsFunc(record.Exchanges, func(exchange caller.Exchange) bool {
		return exchange.Outcome == caller.OutcomeAnswered
	})
}

// checkBudgetRejections compares rejections for a spent budget with the journals,
// whatever outcome they named.
func checkBudgetRejections(file *indexedEvidence, f *finder) {
	file.requests(func(record *caller.Record) {
		rejected := slices.ContainsFunc(record.Exchanges, func(exchange caller.Exchange) bool {
			return failure.Code(exchange.Code) == failure.BudgetSpent
		})
		if !rejected {
			return
		}
		f.examine(1)
		if runs := file.startsByRequest[record.RequestID]; len(runs) > 0 {
			f.found(record.RequestID, "ran at "+runLocation(runs[0]))
		}
	})
}

// checkOverBudget counts the tokens that each program received, each token once.
func checkOverBudget(file *indexedEvidence, f *finder) {
	received := map[string]map[modeltoken.Token]bool{}
	file.requests(func(record *caller.Record) {
		tokens := received[record.Program]
		if tokens == nil {
			tokens = map[modeltoken.Token]bool{}
			received[record.Program] = tokens
		}
		for _, exchange := range record.Exchanges {
			for _, event := range exchange.Events {
				addTokens(tokens, event.Text)
			}
		}
		if record.Operation == caller.OperationTurn {
			addTokens(tokens, record.Text)
		}
	})
	for _, id := range slices.Sorted(maps.Keys(file.RequestLog.Programs)) {
		program := file.RequestLog.Programs[id]
		f.examine(1)
		allowed := program.Budget + uint64(program.LargestTurn)
		if count := uint64(len(received[id])); count > allowed {
			f.found(id, fmt.Sprintf("received %d tokens, budget %d and largest turn %d", count, program.Budget,
				program.LargestTurn))
		}
	}
}

func addTokens(tokens map[modeltoken.Token]bool, text string) {
	parsed, _ := modeltoken.ParseText(text)
	for _, token := range parsed {
		tokens[token] = true
	}
}

// checkAnswersCrossed looks for answers and pieces that belong to another request.
func checkAnswersCrossed(file *indexedEvidence, f *finder) {
	file.requests(func(record *caller.Record) {
		f.examine(1)
		if record.Outcome == caller.OutcomeAnswered && record.AnswerNonce != record.Nonce {
			f.found(record.RequestID, fmt.Sprintf("sent nonce %q, answered with %q", record.Nonce, record.AnswerNonce))
			return
		}
		if record.Operation == caller.OperationTool {
			if record.Outcome == caller.OutcomeAnswered && record.Text != record.Object {
				f.found(record.RequestID, fmt.Sprintf("asked for %q, answered about %q", record.Object, record.Text))
			}
			return
		}
		if token, foreign := foreignToken(record); foreign {
			f.found(record.RequestID, fmt.Sprintf("token %d carries nonce %q in place of %q", token.Index, token.Nonce,
				record.Nonce))
		}
	})
}

func foreignToken(record *caller.Record) (modeltoken.Token, bool) {
	texts := []string{record.Text}
	for _, exchange := range record.Exchanges {
		for _, event := range exchange.Events {
			texts = append(texts, event.Text)
		}
	}
	for _, text := range texts {
		tokens, _ := modeltoken.ParseText(text)
		for _, token := range tokens {
			if token.Nonce != record.Nonce {
				return token, true
			}
		}
	}
	return modeltoken.Token{}, false
}
