package fleet

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
)

const probeInterval = 100 * time.Millisecond

// NotServingError says that a front node did not answer a first turn in time.
type NotServingError struct {
	Front   string
	Code    string
	Message string
}

// Error implements error.
func (e *NotServingError) Error() string {
	return fmt.Sprintf("front node %s does not serve turns: %s %s", e.Front, e.Code, e.Message)
}

// AwaitServing sends every front node a turn and a tool call until each has answered both.
func (f *Fleet) AwaitServing(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := &caller.Client{HTTP: caller.NewHTTPClient(), Credentials: f.Credentials(), Now: time.Now}
	defer client.HTTP.CloseIdleConnections()
	group, ctx := errgroup.WithContext(ctx)
	for i, front := range f.FrontAddresses() {
		group.Go(func() error {
			for attempt := 0; ; attempt++ {
				id := fmt.Sprintf("probe-%d-%d-%d", i, attempt, time.Now().UnixNano())
				record := client.Probe(ctx, front, id, string(site.Caroni), site.ModelClimateAdvisor, site.ToolSensors)
				if record.Outcome == caller.OutcomeAnswered {
					return nil
				}
				select {
				case <-ctx.Done():
					last := record.Exchanges[len(record.Exchanges)-1]
					return &NotServingError{Front: front, Code: last.Code, Message: last.Message}
				case <-time.After(probeInterval):
				}
			}
		})
	}
	return group.Wait()
}
