package daemon

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
)

// listeners are opened before anything else, so that a used port ends the start at once.
type listeners struct {
	internal net.Listener
	http     net.Listener
	debug    net.Listener
}

func openListeners(settings *protocol.NodeSettings) (*listeners, error) {
	opened := &listeners{}
	wanted := []struct {
		purpose string
		address string
		target  *net.Listener
	}{
		{"node.internal_address", settings.GetInternalAddress(), &opened.internal},
		{"node.http_address", settings.GetHttpAddress(), &opened.http},
		{"node.debug_address", settings.GetDebugAddress(), &opened.debug},
	}
	for _, each := range wanted {
		if each.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return nil, errors.CombineErrors(&ListenError{Purpose: each.purpose, Address: each.address, Cause: err}, opened.close())
		}
		*each.target = listener
	}
	return opened, nil
}

// close ends all listeners; those that a server has closed before are passed over.
func (l *listeners) close() error {
	var failed error
	for _, listener := range []net.Listener{l.internal, l.http, l.debug} {
		if listener == nil {
			continue
		}
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			failed = errors.CombineErrors(failed, err)
		}
	}
	return failed
}
