// Package benchmark measures a fleet: the time that the serving tier adds to
// the first event against the stand-in called directly, turns a second and
// processor time a turn.
package benchmark

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/report"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

const (
	promptWords = 64
	answerWords = 8
)

func prompt(id string) string {
	return strings.Repeat("word ", promptWords) + id + fmt.Sprintf(" reply:%d", answerWords)
}

// NoTokenError is returned when a direct call to a stand-in produced no token.
type NoTokenError struct{ Status int }

// Error implements error.
func (e *NoTokenError) Error() string { return fmt.Sprintf("no token came, status %d", e.Status) }

// Direct calls a model server as a front node would and returns the time to
// the first token.
func Direct(ctx context.Context, client *http.Client, server, id string) (time.Duration, error) {
	body, err := json.Marshal(map[string]any{
		"model": site.ModelClimateAdvisor, "stream": true, "max_tokens": answerWords,
		"messages": []map[string]string{{"role": "user", "content": prompt(id)}},
	})
	if err != nil {
		return 0, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server+"/v1/chat/completions",
		bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(standin.HeaderRequestID, id)
	request.Header.Set(standin.HeaderSession, id)
	request.Header.Set(standin.HeaderNonce, id)
	begun := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "call stand-in")
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	first := time.Duration(0)
	for scanner.Scan() {
		if first == 0 && strings.HasPrefix(scanner.Text(), "data:") {
			first = time.Since(begun)
		}
	}
	if first == 0 {
		return 0, &NoTokenError{Status: response.StatusCode}
	}
	return first, errors.Wrap(scanner.Err(), "read answer")
}

// Latency is the outcome of calls made by turns to the stand-in and through a front node.
type Latency struct {
	Direct *report.Times
	// First is the first turn of a session, Next a turn that continues it.
	First *report.Times
	Next  *report.Times
	// Failed counts the calls through the front node that were not answered.
	Failed int
}

// MeasureLatency makes rounds of one direct call, one first turn and one
// further turn, one after another.
func MeasureLatency(ctx context.Context, client *caller.Client, front, server, run string, rounds int) (*Latency,
	error,
) {
	l := &Latency{Direct: report.NewTimes(), First: report.NewTimes(), Next: report.NewTimes()}
	for i := range rounds {
		id := fmt.Sprintf("%s-%d", run, i)
		direct, err := Direct(ctx, client.HTTP, server, id+"-direct")
		if err != nil {
			return nil, err
		}
		l.Direct.Add(direct)
		previous := l.take(ctx, client, front, id, "", l.First)
		if previous != "" {
			l.take(ctx, client, front, id, previous, l.Next)
		}
	}
	return l, ctx.Err()
}

func (l *Latency) take(ctx context.Context, client *caller.Client, front, id, previous string,
	into *report.Times,
) (turn string) {
	record := client.SingleTurn(ctx, front, caller.SingleTurn{
		ID: id + "/" + previous, Session: id, Tenant: string(site.Caroni), Model: site.ModelClimateAdvisor,
		Input: prompt(id), Previous: previous, MaxOutput: answerWords,
	})
	first, present := record.FirstToken()
	if record.Outcome != caller.OutcomeAnswered || !present {
		l.Failed++
		return ""
	}
	into.Add(first)
	return record.TurnID
}
