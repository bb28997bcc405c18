package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// forcedWait is how long a stop that was cut short may still take to close what is open.
const forcedWait = 500 * time.Millisecond

// stop ends the process: gently within the grace when it was asked to stop, at
// once after a failure, after a second signal or when the grace has passed.
func (i *instance) stop(reason *stopReason, environment Environment) error {
	grace := time.Duration(i.settings.GetStopGraceMillis()) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if reason.cause != nil {
		cancel()
		i.logger.Error("stopping after a failure", "cause", reason.cause)
	} else {
		i.logger.Info("stopping", "grace", grace)
	}
	result := make(chan error, 1)
	go func() { result <- i.tearDown(ctx) }()
	err := i.awaitTearDown(ctx, cancel, result, environment)
	if err = errors.CombineErrors(reason.cause, err); err != nil {
		return err
	}
	i.logger.Info("stopped")
	return nil
}

func (i *instance) awaitTearDown(ctx context.Context, cancel func(), result <-chan error, environment Environment) error {
	var cut error
	select {
	case err := <-result:
		return err
	case <-environment.Signals:
		cut = &CutShortError{Reason: "second signal"}
	case <-ctx.Done():
		cut = &CutShortError{Reason: "the grace has passed"}
	}
	cancel()
	limit := time.NewTimer(forcedWait)
	defer limit.Stop()
	select {
	case err := <-result:
		cut = errors.CombineErrors(cut, err)
	case <-limit.C:
	}
	return cut
}

// tearDown ends the parts of the process in the order in which they depend on each other.
func (i *instance) tearDown(ctx context.Context) error {
	i.served.server.BeginDrain()
	failed := i.drain(ctx)
	failed = errors.CombineErrors(failed, staged("stop HTTP", i.served.shutDown(ctx)))
	if i.running {
		failed = errors.CombineErrors(failed, staged("stop plane", i.app.Stop(ctx)))
	}
	i.server.Close()
	i.pool.Close()
	if i.debug != nil {
		failed = errors.CombineErrors(failed, staged("stop profiler", i.debug.shutDown(ctx)))
	}
	return failed
}

func (i *instance) drain(ctx context.Context) error {
	if !i.running {
		i.process.beginDrain()
		return nil
	}
	return i.process.Drain(ctx)
}

func staged(stage string, err error) error {
	if err == nil {
		return nil
	}
	return &StageError{Stage: stage, Cause: err}
}
