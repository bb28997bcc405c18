package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	readyInterval = 50 * time.Millisecond
	readyTimeout  = time.Second
	maxReadyBody  = 4 << 10
)

// NotReadyError says that a process did not become ready in time.
type NotReadyError struct {
	Name    string
	Last    string
	LogFile string
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("%s is not ready (%s), see %s", e.Name, e.Last, e.LogFile)
}

// AwaitReady polls /readyz of the members until all are ready or the context ends.
func (f *Fleet) AwaitReady(ctx context.Context, members ...*Member) error {
	client := &http.Client{Timeout: readyTimeout}
	defer client.CloseIdleConnections()
	group, ctx := errgroup.WithContext(ctx)
	for _, member := range members {
		p := f.Process(member)
		group.Go(func() error {
			last := "not asked"
			for {
				ready, answer := queryReady(ctx, client, member.HTTP)
				if ready {
					return nil
				}
				if answer != "" {
					last = answer
				}
				select {
				case <-ctx.Done():
					return &NotReadyError{Name: member.Name, Last: last, LogFile: f.LogFile(member)}
				case <-p.Exited():
					return p.UnexpectedExit()
				case <-time.After(readyInterval):
				}
			}
		})
	}
	return group.Wait()
}

// askReady returns what was wrong; nothing when the context ended.
func queryReady(ctx context.Context, client *http.Client, address string) (ready bool, answer string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false, err.Error()
	}
	response, err := client.Do(request)
	if err != nil {
		if ctx.Err() != nil {
			return false, ""
		}
		return false, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReadyBody))
	if err != nil {
		return false, err.Error()
	}
	return response.StatusCode == http.StatusOK, response.Status + " " + strings.TrimSpace(string(body))
}
