package command

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/schollz/progressbar/v3"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
)

const (
	verifiedTurns  = 300
	verifyDeadline = 30 * time.Second
	maxDuration    = 2 * time.Hour
)

// converse runs the callers and reads a sample of retained turns again.
func (e *environment) converse(ctx context.Context, f *fleet.Fleet, options caller.Options) (*caller.RequestLog,
	error,
) {
	requestLog, err := e.talk(ctx, options)
	if err != nil {
		return nil, err
	}
	return requestLog, e.verify(ctx, f, options, requestLog)
}

// converseBeside runs the callers while beside disturbs the fleet, then reads a
// sample of retained turns again and saves the request log. It returns after both have ended.
func (e *environment) converseBeside(ctx context.Context, f *fleet.Fleet, options caller.Options,
	beside func() error,
) (*caller.RequestLog, error) {
	var disturbing sync.WaitGroup
	var disturbed error
	disturbing.Go(func() { disturbed = beside() })
	requestLog, err := e.talk(ctx, options)
	disturbing.Wait()
	if err = errors.CombineErrors(err, disturbed); err != nil {
		return nil, err
	}
	return requestLog, e.verify(ctx, f, options, requestLog)
}

// talk runs the callers with a progress bar.
func (e *environment) talk(ctx context.Context, options caller.Options) (*caller.RequestLog, error) {
	var bar *progressbar.ProgressBar
	options.Progress = func(ended, opened, planned int) {
		if bar == nil {
			bar = progressbar.NewOptions(planned, progressbar.OptionSetWriter(e.errors),
				progressbar.OptionShowCount(), progressbar.OptionSetPredictTime(false), progressbar.OptionSetWidth(30),
				progressbar.OptionSetElapsedTime(false))
		}
		bar.Describe(fmt.Sprintf("conversations ended (%d under way)", opened-ended))
		_ = bar.Set(ended)
	}
	requestLog, err := caller.Run(ctx, options)
	_, _ = fmt.Fprintln(e.errors)
	return requestLog, err
}

// verify reads a sample of retained turns again and saves the request log.
func (e *environment) verify(ctx context.Context, f *fleet.Fleet, options caller.Options,
	requestLog *caller.RequestLog,
) error {
	ctx, cancel := context.WithTimeout(ctx, verifyDeadline)
	defer cancel()
	if err := caller.Verify(ctx, options, requestLog, verifiedTurns); err != nil {
		return err
	}
	return requestLog.Save(filepath.Join(f.Folder(), "book.json"))
}
