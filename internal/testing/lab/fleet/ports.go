package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// Ports are taken below the range from which Linux gives out ports by
	// itself, so that a restarted process finds its own port free.
	firstPort       = 18000
	lastPort        = 31999
	maxPortAttempts = 20000
	loopback        = "127.0.0.1"
)

// NoPortsError says that not enough free ports were found.
type NoPortsError struct{ Wanted, Found int }

// Error implements error.
func (e *NoPortsError) Error() string {
	return fmt.Sprintf("found %d of %d free ports on %s", e.Found, e.Wanted, loopback)
}

// freePorts picks loopback addresses on which nothing listens. All stay taken
// until the last one is found.
func freePorts(ctx context.Context, count int, random *rand.Rand) (addresses []string, err error) {
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			err = errors.CombineErrors(err, listener.Close())
		}
	}()
	for range maxPortAttempts {
		if len(addresses) == count {
			return addresses, nil
		}
		address := fmt.Sprintf("%s:%d", loopback, firstPort+random.IntN(lastPort-firstPort+1))
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			continue
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, address)
	}
	return nil, &NoPortsError{Wanted: count, Found: len(addresses)}
}
