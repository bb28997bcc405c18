package servingsuite

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// serverDescription is what the core tells front nodes of a server.
type serverDescription struct {
	id       string
	address  string
	group    string
	zone     string
	capacity uint32
	draining bool
}

// view is what front nodes are sent; it is never changed once published.
type view struct {
	version uint64
	servers []serverDescription
	// routes are the names of the routes in force.
	routes []string
}

// Messages to the core.
type (
	// renewLease asks for a lease and says which view is in force.
	renewLease struct {
		name        string
		incarnation uint64
		inForce     uint64
	}
	leaseGranted struct {
		granted bool
		// fresh is set when the node's view is not the newest.
		fresh *view
		// version is that of the newest view.
		version uint64
	}
	// heartbeat registers a server and keeps it in the view.
	heartbeat struct{ server serverDescription }
	// drainServer and addRoute are orders of operators; both are answered by orderAnswer.
	drainServer struct{ id string }
	addRoute    struct {
		name string
		base int
	}
	orderAnswer struct {
		accepted bool
		// winner is the route that took the number which the order asked for.
		winner string
	}
	// leave tells a drained server to end.
	leave struct{}
)

// Messages between front nodes and servers.
type (
	// connect asks for a connection to the server with an id.
	connect   struct{ server string }
	connected struct{}
	// misdirected is the answer of a server that has another id.
	misdirected struct{}
	// work is one attempt of a turn or call.
	work struct {
		requestID string
		nonce     string
		session   string
		epoch     uint64
		tokens    int
		call      bool
	}
	refused   struct{ retryAfter time.Duration }
	fencedOff struct{}
	// token is one piece of output; run names the execution that it is a part of.
	token struct {
		requestID string
		run       uint64
		place     int
	}
	workDone struct {
		nonce   string
		run     uint64
		running uint32
		tokens  int
	}
)

// requestKind says how a request may be served.
type requestKind int

const (
	// ledgeredTurn is a turn of a conversation, under an id that callers send again.
	ledgeredTurn requestKind = iota
	// routedTurn is a turn of an HTTP route: its id is for one send, and it runs at one server at most.
	routedTurn
	// recordedCall is a tool call that may not be repeated.
	recordedCall
	// repeatableCall is a tool call that may.
	repeatableCall
)

// callerRequest is what callers send to a front node. Exactly one of turn and call is set.
type callerRequest struct {
	kind  requestKind
	route string
	turn  *protocol.TurnRequest
	call  *protocol.ToolCallRequest
	// timeLeft is the caller's deadline.
	timeLeft time.Duration
}

func (r callerRequest) id() string {
	if r.turn != nil {
		return r.turn.GetRequestId()
	}
	return r.call.GetRequestId()
}

func (r callerRequest) priority() protocol.Priority {
	if r.turn != nil {
		return r.turn.GetPriority()
	}
	return r.call.GetPriority()
}

// mayRunTwice says whether several servers may run the request.
func (k requestKind) mayRunTwice() bool { return k == ledgeredTurn || k == repeatableCall }
