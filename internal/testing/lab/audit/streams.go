package audit

import (
	"fmt"
	"strings"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/modeltoken"
)

// checkStreams follows each stream of a turn, resumptions included.
func checkStreams(file *indexedEvidence, f *finder) {
	file.requests(func(record *caller.Record) {
		if record.Operation != caller.OperationTurn {
			return
		}
		f.examine(1)
		if fault := streamFault(record); fault != "" {
			f.found(record.RequestID, fault)
		}
	})
}

// position is how far a reader of a stream has come.
type position struct {
	attempt  uint32
	sequence uint64
	text     strings.Builder
}

// streamFault describes the first thing wrong with the streams of a record.
func streamFault(record *caller.Record) string {
	at := &position{}
	for i := range record.Exchanges {
		exchange := &record.Exchanges[i]
		if !exchange.Resumed {
			at = &position{}
		}
		for _, event := range exchange.Events {
			if fault := at.take(event); fault != "" {
				return fmt.Sprintf("exchange %d with %s: %s", i+1, exchange.Front, fault)
			}
		}
	}
	if record.Outcome != caller.OutcomeAnswered {
		return ""
	}
	return completeAnswerFault(record, at)
}

// take moves on by one event and says what is wrong with it.
func (p *position) take(event caller.Event) string {
	switch {
	case event.Attempt < p.attempt:
		return fmt.Sprintf("attempt %d after attempt %d", event.Attempt, p.attempt)
	case event.Attempt > p.attempt:
		p.attempt = event.Attempt
		p.sequence = 0
		p.text.Reset()
	}
	if event.Sequence != p.sequence+1 {
		return fmt.Sprintf("event %d-%d after %d-%d", event.Attempt, event.Sequence, p.attempt, p.sequence)
	}
	p.sequence = event.Sequence
	if event.Type == caller.EventDelta {
		p.text.WriteString(event.Text)
	}
	return tokensFault(p.text.String())
}

// tokensFault says where a text departs from the tokens 0, 1, 2 and so on.
func tokensFault(text string) string {
	tokens, complete := modeltoken.ParseText(text)
	if !complete {
		return "text holds what no model server produced"
	}
	for i, token := range tokens {
		if token.Index != i {
			return fmt.Sprintf("token %d stands in place %d", token.Index, i)
		}
	}
	return ""
}

func completeAnswerFault(record *caller.Record, at *position) string {
	if fault := tokensFault(record.Text); fault != "" {
		return "final text: " + fault
	}
	if at.text.String() != record.Text {
		return fmt.Sprintf("pieces give %d bytes, the final text has %d and differs", at.text.Len(), len(record.Text))
	}
	if count := len(strings.Fields(record.Text)); uint64(count) != record.OutputTokens {
		return fmt.Sprintf("final text has %d tokens, usage says %d", count, record.OutputTokens)
	}
	return ""
}

// checkRetainedTurns compares reads of answered turns, turns that continue them and
// resumptions of their streams against what was answered.
func checkRetainedTurns(file *indexedEvidence, f *finder) {
	for _, record := range file.RequestLog.Records {
		switch record.Operation {
		case caller.OperationRead:
			f.examine(1)
			checkRead(file, record, f)
		case caller.OperationTurn:
			// The rejection of a resumption concerns the turn itself, any other the previous turn.
			checkMissing(file, record.PreviousTurn, record, false, f)
			checkMissing(file, record.TurnID, record, true, f)
		}
	}
}

// checkMissing finds an answered turn that was reported missing to a request or its resumptions.
func checkMissing(file *indexedEvidence, turn string, record *caller.Record, resumed bool, f *finder) {
	if file.turnsByID[turn] == nil {
		return
	}
	f.examine(1)
	for i := range record.Exchanges {
		exchange := &record.Exchanges[i]
		if exchange.Resumed == resumed && failure.Code(exchange.Code) == failure.TurnMissing {
			f.found(turn, fmt.Sprintf("missing to request %s at %s", record.RequestID, exchange.Front))
		}
	}
}

func checkRead(file *indexedEvidence, record *caller.Record, f *finder) {
	if hasCode(record, failure.TurnMissing) || hasCode(record, failure.NotFound) ||
		hasCode(record, failure.UnknownProgram) {
		f.found(record.TurnID, "reported missing by "+record.Exchanges[len(record.Exchanges)-1].Front)
		return
	}
	turn := file.turnsByID[record.TurnID]
	if turn != nil && record.Outcome == caller.OutcomeAnswered && record.Text != turn.Text {
		f.found(record.TurnID, "kept text differs from the text that was streamed")
	}
}

func hasCode(record *caller.Record, code failure.Code) bool {
	for _, exchange := range record.Exchanges {
		if failure.Code(exchange.Code) == code {
			return true
		}
	}
	return false
}

const (
	// eventDelayLimit is the longest way of an event from the model server to the caller.
	eventDelayLimit = 100 * time.Millisecond
	// delayedShare of the events may be later; the limit is one on the 99.9th percentile.
	delayedShare = 0.001
)

// EventDelays measures, for each event that was passed on as it came and in no
// disturbed time, the way from the model server to the caller.
func EventDelays(evidence Evidence) []time.Duration {
	return index(evidence).eventDelays(nil)
}

func (c *indexedEvidence) eventDelays(visit func(*caller.Record, caller.Event, time.Duration)) []time.Duration {
	var delays []time.Duration
	c.requests(func(record *caller.Record) {
		if record.Operation != caller.OperationTurn || c.faultyRequests[record.RequestID] || len(record.Exchanges) == 0 {
			return
		}
		first := &record.Exchanges[0]
		if c.faultDuring(record, first.SentAt, first.AnsweredAt) {
			return
		}
		for _, event := range first.Events {
			tokens, _ := modeltoken.ParseText(event.Text)
			if len(tokens) == 0 {
				continue
			}
			delay := event.ArrivedAt.Sub(tokens[0].At)
			delays = append(delays, delay)
			if visit != nil {
				visit(record, event, delay)
			}
		}
	})
	return delays
}

func checkEventDelay(file *indexedEvidence, f *finder) {
	type late struct{ subject, detail string }
	var lates []late
	examined := file.eventDelays(func(record *caller.Record, event caller.Event, delay time.Duration) {
		if delay > eventDelayLimit {
			lates = append(lates, late{
				record.RequestID,
				fmt.Sprintf("event %d-%d took %s", event.Attempt, event.Sequence, delay.Round(time.Millisecond)),
			})
		}
	})
	f.examine(len(examined))
	if float64(len(lates)) <= delayedShare*float64(len(examined)) {
		return
	}
	for _, late := range lates {
		f.found(late.subject, late.detail)
	}
}
