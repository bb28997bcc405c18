package front

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/front/ledgerops"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Link is what the front plane needs of the link to the core.
type Link interface {
	View() *corelink.View
	Subscribe(subscriber func(*corelink.View))
	Authority() *corelink.Authority
	Ready() bool
	CallCore(ctx context.Context, request *protocol.Request) (*protocol.Response, error)
	LocateCore() *protocol.LocateCoreResponse
	SetDraining(draining bool)
}

// Ledger is the client of the program ledger.
type Ledger = ledgerops.Ledger

// Grant is the permission to act as owner of a session for one turn or call.
type Grant interface {
	// Valid is checked at each issue and before each event.
	Valid() bool
	// Incarnation is this front node's incarnation under which the grant was given.
	Incarnation() uint64
	// End releases the permission once the turn or call is committed.
	End()
}

// Ownership decides which front node owns a session.
type Ownership interface {
	Resolve(ctx context.Context, session, program string) (directory.Owner, error)
	Forget(session string)
	// OwnerLost reports that a request could not be forwarded to the owner at an address, or that
	// its connection broke before an answer; the next Resolve may take the session over.
	OwnerLost(session, address string, cause error)
	// Fenced gives a session up after the ledger rejected this node's epoch of it.
	Fenced(session string)
	Begin(session string) (Grant, error)
	ServeDirectory(ctx context.Context, request *protocol.Request) (*protocol.Response, error)
	Drain(ctx context.Context) error
	OnYield(yielded func(session string))
}

// Clock tells the time and waits; tests supply one of their own.
type Clock interface {
	Now() time.Time
	After(wait time.Duration) <-chan time.Time
	// WithTimeout returns a context that ends with context.DeadlineExceeded after a time.
	WithTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc)
}

type systemClock struct{}

// Now implements Clock.
func (systemClock) Now() time.Time { return time.Now() }

// After implements Clock.
func (systemClock) After(wait time.Duration) <-chan time.Time { return time.After(wait) }

// WithTimeout implements Clock.
func (systemClock) WithTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, limit)
}
