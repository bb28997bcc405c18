package wire

import (
	"context"
	"net"
	"time"
)

const (
	// redialAfter is how long an attempt to connect may be silent until another one is begun beside it. The operating
	// system repeats its opening packet after a second; a machine that got power meanwhile answers a new one at once.
	redialAfter = 100 * time.Millisecond
	// maxDials bounds the attempts that are under way at once.
	maxDials = int(defaultConnectTimeout / redialAfter)
)

// dialFunc makes one attempt to connect.
type dialFunc func(ctx context.Context) (net.Conn, error)

// dialed is the result of one attempt.
type dialed struct {
	connection net.Conn
	err        error
}

// connectTo connects by as many attempts as it takes, for defaultConnectTimeout at most. The first connection wins and
// the others are closed; the first attempt that was answered by a refusal ends all.
func connectTo(ctx context.Context, dial dialFunc) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultConnectTimeout)
	defer cancel()
	results := make(chan dialed, maxDials)
	pending := 0
	begin := func() {
		pending++
		go func() {
			connection, err := dial(ctx)
			results <- dialed{connection: connection, err: err}
		}()
	}
	begin()
	again := time.NewTicker(redialAfter)
	defer again.Stop()
	for begun := 1; ; {
		select {
		case result := <-results:
			pending--
			if result.err == nil || ctx.Err() == nil {
				cancel()
				go closeLate(results, pending)
				return result.connection, result.err
			}
			if pending == 0 {
				return nil, result.err
			}
		case <-again.C:
			if begun < maxDials {
				begun++
				begin()
			}
		}
	}
}

// closeLate closes the connections of attempts that another one was ahead of.
func closeLate(results <-chan dialed, pending int) {
	for range pending {
		if late := <-results; late.connection != nil {
			_ = late.connection.Close()
		}
	}
}
