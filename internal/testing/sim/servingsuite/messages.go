package servingsuite

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// serverDescription is a server as the view lists it.
type serverDescription struct {
	id       string
	address  string
	group    string
	zone     string
	capacity uint32
	draining bool
}

// view is a version of the configuration for front nodes; it is immutable once published.
type view struct {
	version uint64
	servers []serverDescription
	// routes are the names of the routes in force.
	routes []string
}

// Messages to the core.
type (
	// renewLease requests or renews a lease and reports the version of the view in force.
	renewLease struct {
		name        string
		incarnation uint64
		inForce     uint64
	}
	leaseGranted struct {
		granted bool
		// newerView is set when the node's view is not the newest.
		newerView *view
		// newestVersion is the version of the newest view.
		newestVersion uint64
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
		// winner is the route at the index that the order named, if another one has it.
		winner string
	}
	// shutdown tells a drained server to end.
	shutdown struct{}
)

// Messages between front nodes and servers.
type (
	// connect requests a connection to the server with an id.
	connect   struct{ server string }
	connected struct{}
	// wrongServer is the answer of a server that has another id.
	wrongServer struct{}
	// work is one attempt of a turn or call.
	work struct {
		requestID string
		nonce     string
		session   string
		epoch     uint64
		tokens    int
		call      bool
	}
	rejected struct{ retryAfter time.Duration }
	fenced   struct{}
	// token is one chunk of output of an execution.
	token struct {
		requestID string
		execution uint64
		index     int
	}
	workDone struct {
		nonce     string
		execution uint64
		running   uint32
		tokens    int
	}
)

// requestKind determines how a request may be served.
type requestKind int

const (
	// ledgeredTurn is a turn of a conversation, under an id that callers send again.
	ledgeredTurn requestKind = iota
	// routedTurn is a turn of an HTTP route: its id is for one send, and it runs at one server at most.
	routedTurn
	// nonIdempotentCall is a tool call that runs at most once.
	nonIdempotentCall
	// idempotentCall is a tool call that may run more than once.
	idempotentCall
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

// idempotent reports whether the request may run more than once.
func (k requestKind) idempotent() bool { return k == ledgeredTurn || k == idempotentCall }
