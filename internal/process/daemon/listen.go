package daemon

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
)

// listeners holds the listeners of a process; those without an address are nil. They
// are opened before anything else, so that a port in use makes the start fail at once.
type listeners struct {
	internal net.Listener
	http     net.Listener
	debug    net.Listener
}

// openListeners opens the listeners; the error is a *ListenError.
func openListeners(ctx context.Context, settings *protocol.NodeSettings) (*listeners, error) {
	opened := &listeners{}
	var config net.ListenConfig
	specs := []struct {
		purpose string
		address string
		target  *net.Listener
	}{
		{"node.internal_address", settings.GetInternalAddress(), &opened.internal},
		{"node.http_address", settings.GetHttpAddress(), &opened.http},
		{"node.debug_address", settings.GetDebugAddress(), &opened.debug},
	}
	for _, spec := range specs {
		if spec.address == "" {
			continue
		}
		listener, err := config.Listen(ctx, "tcp", spec.address)
		if err != nil {
			listenError := &ListenError{Purpose: spec.purpose, Address: spec.address, Cause: err}
			return nil, errors.CombineErrors(listenError, opened.close())
		}
		*spec.target = listener
	}
	return opened, nil
}

// close closes all listeners, including those that a server has closed already.
func (l *listeners) close() error {
	var closeError error
	for _, listener := range []net.Listener{l.internal, l.http, l.debug} {
		if listener == nil {
			continue
		}
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			closeError = errors.CombineErrors(closeError, err)
		}
	}
	return closeError
}
