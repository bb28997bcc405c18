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

// converse runs the callers and reads a sample of kept turns again.
func (e *environment) converse(ctx context.Context, f *fleet.Fleet, options caller.Options) (*caller.Book, error) {
	book, err := e.talk(ctx, options)
	if err != nil {
		return nil, err
	}
	return book, e.verify(ctx, f, options, book)
}

// converseBeside runs the callers while beside disturbs the fleet, then reads a
// sample of kept turns again and saves the book. It returns after both have ended.
func (e *environment) converseBeside(ctx context.Context, f *fleet.Fleet, options caller.Options, beside func() error) (*caller.Book, error) {
	var disturbing sync.WaitGroup
	var disturbed error
	disturbing.Go(func() { disturbed = beside() })
	book, err := e.talk(ctx, options)
	disturbing.Wait()
	if err = errors.CombineErrors(err, disturbed); err != nil {
		return nil, err
	}
	return book, e.verify(ctx, f, options, book)
}

// talk runs the callers with a progress bar.
func (e *environment) talk(ctx context.Context, options caller.Options) (*caller.Book, error) {
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
	book, err := caller.Run(ctx, options)
	_, _ = fmt.Fprintln(e.errors)
	return book, err
}

// verify reads a sample of kept turns again and saves the book.
func (e *environment) verify(ctx context.Context, f *fleet.Fleet, options caller.Options, book *caller.Book) error {
	ctx, cancel := context.WithTimeout(ctx, verifyDeadline)
	defer cancel()
	if err := caller.Verify(ctx, options, book, verifiedTurns); err != nil {
		return err
	}
	return book.Save(filepath.Join(f.Folder(), "book.json"))
}
