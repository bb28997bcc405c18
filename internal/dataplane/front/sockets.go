package front

import (
	"context"
	"net"
)

// Sockets open the connections of a front node other than those to peers. A nil function stands for TCP.
type Sockets struct {
	// Dial opens a connection to a back end.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Listen opens the address for callers of HTTP routes.
	Listen func(address string) (net.Listener, error)
}

func (s Sockets) listen(ctx context.Context, address string) (net.Listener, error) {
	if s.Listen == nil {
		return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	}
	return s.Listen(address)
}
