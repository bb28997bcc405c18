package front

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/dataplane/front/admission"
	"github.com/rosestand/rosestand/internal/protocol"
)

// localAnswerTime is how long the requests that this node runs as owner may take to be answered once its drain was
// interrupted, before requests that other nodes run are given up.
const localAnswerTime = 50 * time.Millisecond

// drainNode takes a front node out of use. The node yields its sessions at once, accepts requests until its callers
// should have left it, and returns when all that it accepted are answered, or with the context's error.
//
// Requests that come later are answered as not run, whatever is still in progress: callers that stay must not keep the
// node from ending the requests it has accepted within the grace period. What is in progress when the context ends is
// answered with what is known of its outcome, and only an answer that has begun is cut.
func drainNode(ctx context.Context, service *Service, listener *routeListener) error {
	defer context.AfterFunc(ctx, service.abandon)()
	noticed := listener.beginDrain(service.clock)
	yielded := make(chan error, 1)
	go func() { yielded <- service.Drain(ctx) }()
	select {
	case <-noticed:
	case <-ctx.Done():
	}
	service.refuseRequests()
	later, cancel := endingAfter(ctx, localAnswerTime, service.clock)
	defer cancel()
	drained := listener.drain(later)
	drained = errors.CombineErrors(<-yielded, drained)
	return drained
}

// endingAfter returns a context that ends a while after another one.
func endingAfter(ctx context.Context, delay time.Duration, clock Clock) (context.Context, context.CancelFunc) {
	later, cancel := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() {
		select {
		case <-clock.After(delay):
			cancel()
		case <-later.Done():
		}
	})
	return later, cancel
}

// abandon ends the turns and calls that the node runs as owner, with what is known of their outcome.
func (s *Service) abandon() {
	s.logDrain("drain interrupted")
	s.stopOnce.Do(func() { close(s.stopped) })
}

// refuseRequests makes the node answer all requests of callers that it has not forwarded yet as not run.
func (s *Service) refuseRequests() { s.refusing.Store(true) }

// checkRefusing returns the failure of a request that comes when the node takes no more; nil before.
func (s *Service) checkRefusing() *protocol.Failure {
	if !s.refusing.Load() {
		return nil
	}
	return admission.StoppingFailure()
}
