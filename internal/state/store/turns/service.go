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
	// maxTurns bounds the number of turns in one response.
	maxTurns = 256
	// maxTurnBytes bounds the size of the turns in one response, well below the maximum of a frame.
	maxTurnBytes = 8 << 20
)

// notRejected is the rejection of a response that accepts the request.
const notRejected = protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED

// Peers sends requests to other stores. done is called once, on any goroutine.
type Peers interface {
	Send(store string, request *protocol.Request, done func(*protocol.Response, error))
}

// Placement returns the current placement.
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
	// Repaired counts turns that were copied from another replica.
	Repaired func(turns int)
	// Fail stops the store after an unrecoverable error.
	Fail func(error)
}

// Service serves the retained turns of one store.
type Service struct {
	options Options
	// retainers contains one retainer for each group, in the order of the groups.
	retainers []*Retainer
	// damaged is true once damage to the log of turns was detected.
	damaged atomic.Bool
}

// New returns a service without retainers; AddRetainer must be called for each group.
func New(options Options) *Service { return &Service{options: options} }

// IsDamaged reports whether damage to the log of turns was detected. No index may be written
// then, so that the next start reads the log in full.
func (s *Service) IsDamaged() bool { return s.damaged.Load() }

// FailOnDamage stops the store if err reports a damaged log, whose content cannot be trusted. The
// next start reads the log in full, detects the damage and rebuilds the store from its peers.
// It returns err, combined with that of the removal of the index.
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
