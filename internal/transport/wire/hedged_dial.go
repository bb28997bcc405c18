package wire

import (
	"context"
	"net"
	"time"
)

const (
	// hedgeDelay is how long an attempt to connect may be unanswered before another one starts concurrently. The
	// operating system retransmits a SYN packet only after a second; a machine that was powered on in the meantime
	// answers a new one immediately.
	hedgeDelay = 100 * time.Millisecond
	// maxConcurrentDials is the maximum number of concurrent attempts.
	maxConcurrentDials = int(defaultConnectTimeout / hedgeDelay)
)

// dialFunc makes one attempt to connect.
type dialFunc func(ctx context.Context) (net.Conn, error)

// dialResult is the result of one attempt.
type dialResult struct {
	connection net.Conn
	err        error
}

// dialHedged connects with hedged attempts, for defaultConnectTimeout at most. It returns the first connection and
// closes the others. If an attempt fails before the timeout, as when the peer refuses it, dialHedged fails, too.
func dialHedged(ctx context.Context, dial dialFunc) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultConnectTimeout)
	defer cancel()
	results := make(chan dialResult, maxConcurrentDials)
	pending := 0
	startAttempt := func() {
		pending++
		go func() {
			connection, err := dial(ctx)
			results <- dialResult{connection: connection, err: err}
		}()
	}
	startAttempt()
	ticker := time.NewTicker(hedgeDelay)
	defer ticker.Stop()
	for attempts := 1; ; {
		select {
		case result := <-results:
			pending--
			if result.err == nil || ctx.Err() == nil {
				cancel()
				go closeLateConnections(results, pending)
				return result.connection, result.err
			}
			if pending == 0 {
				return nil, result.err
			}
		case <-ticker.C:
			if attempts < maxConcurrentDials {
				attempts++
				startAttempt()
			}
		}
	}
}

// closeLateConnections closes the connections of the pending attempts, which another attempt preceded.
func closeLateConnections(results <-chan dialResult, pending int) {
	for range pending {
		if late := <-results; late.connection != nil {
			_ = late.connection.Close()
		}
	}
}
