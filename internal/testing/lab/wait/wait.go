// Package wait pauses the laboratory's goroutines until a time has passed or their context ends.
package wait

import (
	"context"
	"time"
)

// For waits the length, not at all when it is zero or less. It returns false
// when the context ended first.
func For(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Until waits until the moment has come; it returns false when the context ended first.
func Until(ctx context.Context, moment time.Time) bool { return For(ctx, time.Until(moment)) }
