package daemon

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// forcedStopTimeout limits the time in which an interrupted shutdown closes what is still open.
const forcedStopTimeout = 500 * time.Millisecond

// stop shuts the process down: gracefully within the grace period if the stop was
// requested, immediately after a failure, an interrupt that follows another signal,
// or the end of the grace period.
func (i *instance) stop(reason *stopReason, environment Environment) error {
	grace := i.grace()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if reason.cause != nil {
		cancel()
		i.logger.Error("process failed", "cause", reason.cause)
	} else {
		i.logger.Info("graceful shutdown started", "grace", grace)
	}
	result := make(chan error, 1)
	go func() { result <- i.tearDown(ctx, reason.cause == nil) }()
	err := i.waitForTearDown(ctx, cancel, result, environment)
	if err = errors.CombineErrors(reason.cause, err); err != nil {
		return err
	}
	i.logger.Info("stopped")
	return nil
}

// grace is how long a graceful shutdown may take.
func (i *instance) grace() time.Duration {
	return time.Duration(i.settings.GetStopGraceMillis()) * time.Millisecond
}

func (i *instance) waitForTearDown(
	ctx context.Context, cancel func(), result <-chan error, environment Environment,
) error {
	for {
		select {
		case err := <-result:
			return err
		case received := <-environment.Signals:
			if !i.interruptsStop(received) {
				continue
			}
			cancel()
			return i.awaitForcedStop(&InterruptedStopError{Reason: "second signal"}, result)
		case <-ctx.Done():
			return i.awaitForcedStop(&InterruptedStopError{Reason: "grace period expired"}, result)
		}
	}
}

// interruptsStop reports whether a signal that follows another one ends a graceful stop at once. Only an interrupt
// does, with which somebody at a terminal insists. Supervisors repeat SIGTERM, and each one demands the graceful stop
// that is in progress already.
func (i *instance) interruptsStop(received os.Signal) bool {
	if received == os.Interrupt {
		return true
	}
	i.logger.Info("signal ignored during shutdown", "signal", received)
	return false
}

// awaitForcedStop waits until what is still open is closed, for a limited time.
func (i *instance) awaitForcedStop(interruption error, result <-chan error) error {
	limit := time.NewTimer(forcedStopTimeout)
	defer limit.Stop()
	select {
	case err := <-result:
		interruption = errors.CombineErrors(interruption, err)
	case <-limit.C:
	}
	return interruption
}

// tearDown stops the components of the process, each before those that it depends on. The plane of a graceful stop that
// was interrupted still releases what others wait for, such as its lease, within forcedStopTimeout.
func (i *instance) tearDown(ctx context.Context, graceful bool) error {
	i.httpService.server.BeginDrain()
	stopError := i.drain(ctx)
	stopError = errors.CombineErrors(stopError, wrapStage("stop HTTP", i.httpService.shutDown(ctx)))
	if i.running {
		stopError = errors.CombineErrors(stopError, wrapStage("stop plane", i.stopPlane(ctx, graceful)))
	}
	i.wireServer.Close()
	i.pool.Close()
	if i.debugService != nil {
		stopError = errors.CombineErrors(stopError, wrapStage("stop profiler", i.debugService.shutDown(ctx)))
	}
	return stopError
}

func (i *instance) stopPlane(ctx context.Context, graceful bool) error {
	if graceful && ctx.Err() != nil {
		forced, cancel := context.WithTimeout(context.WithoutCancel(ctx), forcedStopTimeout)
		defer cancel()
		ctx = forced
	}
	return i.app.Stop(ctx)
}

func (i *instance) drain(ctx context.Context) error {
	if !i.running {
		i.process.beginDrain()
		return nil
	}
	return i.process.Drain(ctx)
}

func wrapStage(stage string, err error) error {
	if err == nil {
		return nil
	}
	return &StageError{Stage: stage, Cause: err}
}
