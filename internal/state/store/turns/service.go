package turns

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
	"github.com/rosestand/rosestand/internal/state/store/owner"
	"github.com/rosestand/rosestand/internal/state/store/placement"
	"github.com/rosestand/rosestand/internal/storage"
)

const (
	// maxTurns bounds the turns of one answer.
	maxTurns = 256
	// maxTurnBytes bounds the turns of one answer, well under a frame.
	maxTurnBytes = 8 << 20
)

// notRejected is the absence of a rejection.
const notRejected = protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED

// Peers sends requests to other stores. done is called once, on any goroutine.
type Peers interface {
	Send(store string, request *protocol.Request, done func(*protocol.Response, error))
}

// Placement returns the placement in force.
type Placement interface {
	Current() *placement.Topology
}

// Options configure a Service. All are required.
type Options struct {
	// Store names this store among the replicas.
	Store     string
	Groups    owner.Groups
	Peers     Peers
	Placement Placement
	Folder    *datafolder.Folder
	Lifecycle *lifecycle.Lifecycle
	// PeerTimeout bounds the repair of a chain.
	PeerTimeout time.Duration
	// OperationTimeout bounds an operation whose context has no deadline.
	OperationTimeout time.Duration
	// Repaired counts turns that were taken over from another replica.
	Repaired func(turns int)
	// Fail ends the store because of an error that it cannot survive.
	Fail func(error)
}

// Service serves the retained turns of one store.
type Service struct {
	options Options
	// retainers are those of the groups, in their order.
	retainers []*Retainer
	// damaged is true once the log of turns was found damaged.
	damaged atomic.Bool
}

// New returns a service; AddRetainer completes it.
func New(options Options) *Service { return &Service{options: options} }

// IsDamaged reports whether the log of turns was found damaged, so that no index may spare a
// start the reading of it.
func (s *Service) IsDamaged() bool { return s.damaged.Load() }

// FailOnDamage ends the store on a damaged log: its content cannot be trusted, and at the next
// start, which reads the log in full, the store begins anew from its peers. It returns the error.
func (s *Service) FailOnDamage(err error) error {
	var corrupt *storage.CorruptError
	if errors.As(err, &corrupt) {
		s.damaged.Store(true)
		err = errors.CombineErrors(err, s.options.Folder.RemoveTurnIndex())
		s.options.Fail(&datafolder.LogError{Log: datafolder.TurnLog, Cause: err})
	}
	return err
}

func okResult(turns ...*protocol.Turn) *protocol.LedgerResult {
	return &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_OK, Turns: turns}
}
