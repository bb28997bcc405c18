// Package directory is the state machine, without I/O, of one front node's part in the session directory (source:
// docs/SALVAGE.md; dotnet/orleans issue 2656). The node has three roles:
//
//   - holder of one partition: it answers lookups and accepts registrations for the sessions whose key falls in its
//     ranges of the ring;
//   - owner of sessions: it registers them, and registers them again with the new holder when a range moves (the
//     salvage list);
//   - client: it looks up the owner of a session before a turn, with a cache.
//
// Directory.Handle takes the time and one event and returns commands. A Directory belongs to one owner goroutine and is
// not safe for concurrent use; package ownership is its I/O adapter.
//
// The states of a range that this node holds:
//
//	transferring  gained with a view. A first registration in it is answered with DIRECTORY_SETTLING, since the session
//	              may have an owner that has not registered again yet. The state ends when every awaited node has sent
//	              its completion, or after the transfer's timeout.
//	complete      lookups are answered from the registrations alone.
//
// The states of a peer, from this node's point of view:
//
//	trusted       its calls are answered.
//	unconfirmed   there is a first sign of its failure (a broken connection, a call without a response, a suspicion
//	              reported by another peer). It is sent a ping at once.
//	suspected     it refused a connection or did not answer the ping. In this node's view it holds no range, and its
//	              sessions may be taken over. Its lease is not affected. An answer to a ping makes it trusted again.
//
// The states of a session that this node owns:
//
//	registered    the current holder has confirmed the registration: turns may begin.
//	salvaged      on the salvage list, because its holder or this node's incarnation changed. Turns may begin unless
//	              the incarnation changed.
//	yielding      being given up. It ends with its last grant, after that turn is committed.
package directory

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Defaults of Options.
const (
	DefaultTransferTimeout     = 1500 * time.Millisecond
	DefaultReregistrationDelay = 300 * time.Millisecond
	DefaultCacheSize           = 1 << 16
	maxBackoff                 = time.Second
	maxViewBackoff             = 250 * time.Millisecond
	maxReregistrationDelay     = 5 * time.Second
	resolveRetryDelay          = 20 * time.Millisecond
	// maxResolveRetryDoublings bounds the backoff of a resolution, which begins at resolveRetryDelay.
	maxResolveRetryDoublings = 2
)

// Options configure a Directory. Self and Random are required.
type Options struct {
	Self ring.Member
	// TransferTimeout is how long a gained range may be transferring before first registrations are accepted in it.
	TransferTimeout time.Duration
	// ReregistrationDelay is how long a holder waits for a node's completion before it requests reregistration; it doubles
	// with each request, up to maxReregistrationDelay.
	ReregistrationDelay time.Duration
	// FailureDetectionTimeout is how long a peer may leave calls unanswered before it is suspected.
	FailureDetectionTimeout time.Duration
	// SuspectTransferTimeout is the TransferTimeout for ranges gained only from suspects.
	SuspectTransferTimeout time.Duration
	// CacheSize is the maximum number of cached owners.
	CacheSize int
	Policy    Policy
	// Random jitters delays; nothing else depends on it.
	Random *rand.Rand
}

// Directory is one front node's part in the session directory. Only its owner goroutine may use it.
type Directory struct {
	options Options
	self    ring.Member
	policy  Policy
	// membership is the newest view received from the core; view is the membership without the suspects.
	membership, view View
	// viewGeneration counts the changes of view, including those of the suspects alone.
	viewGeneration uint64
	// suspects maps the names of the members that this node cannot reach to their incarnations.
	suspects map[string]uint64

	// As holder.
	partition map[string]*entry
	transfers []*transfer
	// pendingDisplacements are the displacements whose owner is not in the membership yet.
	pendingDisplacements []displacement

	// As owner.
	owned map[string]*ownedSession
	// hasOwned is true once this process has owned a session.
	hasOwned    bool
	salvage     map[string]*pendingUpdate
	handOff     map[string]*pendingUpdate
	withdrawals map[string]*pendingUpdate
	sequence    uint64
	draining    bool

	// As client.
	cache               *simplelru.LRU[string, *protocol.Registration]
	resolutions         map[string]*resolution
	resolutionsByTicket map[uint64]*resolution

	peers    map[string]*peer
	calls    map[uint64]*call
	lastCall uint64
	// recentCallDuration is the decaying maximum of this node's call durations; see recordDuration.
	recentCallDuration time.Duration
	// peersWithWork are the peers, by name, that dispatch considers.
	peersWithWork map[string]*peer
	stats         Stats

	// moment is that of the event being handled.
	moment   Moment
	commands []Command
}

// New returns the directory of a node that has received no view. Zero options are replaced by their defaults.
func New(options Options) *Directory {
	if options.TransferTimeout == 0 {
		options.TransferTimeout = DefaultTransferTimeout
	}
	if options.ReregistrationDelay == 0 {
		options.ReregistrationDelay = DefaultReregistrationDelay
	}
	if options.FailureDetectionTimeout == 0 {
		options.FailureDetectionTimeout = DefaultFailureDetectionTimeout
	}
	if options.SuspectTransferTimeout == 0 {
		options.SuspectTransferTimeout = DefaultSuspectTransferTimeout
	}
	if options.CacheSize == 0 {
		options.CacheSize = DefaultCacheSize
	}
	if options.Policy.BatchSize == 0 {
		options.Policy = NewPolicy(nil)
	}
	// NewLRU fails only for a size that is not positive.
	cache, _ := simplelru.NewLRU[string, *protocol.Registration](max(1, options.CacheSize), nil)
	return &Directory{
		options: options, self: options.Self, policy: options.Policy,
		suspects:  make(map[string]uint64),
		partition: make(map[string]*entry), owned: make(map[string]*ownedSession),
		salvage: make(map[string]*pendingUpdate), handOff: make(map[string]*pendingUpdate),
		withdrawals: make(map[string]*pendingUpdate), cache: cache,
		resolutions: make(map[string]*resolution), resolutionsByTicket: make(map[uint64]*resolution),
		peers: make(map[string]*peer), calls: make(map[uint64]*call), peersWithWork: make(map[string]*peer),
	}
}

// Handle applies one event and returns the commands that follow from it, in the order in which they are to be executed.
func (d *Directory) Handle(moment Moment, event Event) []Command {
	d.moment = moment
	d.apply(event)
	d.dispatch()
	return d.takeCommands()
}

func (d *Directory) apply(event Event) {
	switch event := event.(type) {
	case ViewChanged:
		d.handleViewChanged(event.View)
	case PolicyChanged:
		d.policy = event.Policy
	case Reincarnated:
		d.handleReincarnated(event.Incarnation)
	case ResolveRequested:
		d.handleResolveRequested(event)
	case ResolveCancelled:
		d.handleResolveCancelled(event.Ticket)
	case OwnerInvalidated:
		d.cache.Remove(event.Session)
	case CallEnded:
		d.handleCallEnded(event)
	case PeerBroken:
		d.handlePeerFailed(event.Address, CallBroken)
	case PeerFailed:
		d.handlePeerFailed(event.Address, event.Failure)
	case GrantEnded:
		d.handleGrantEnded(event.Session)
	case OwnershipLost:
		d.handleOwnershipLost(event.Session)
	case DrainBegun:
		d.handleDrainBegun()
	case Ticked:
		d.handleTick()
	}
}

func (d *Directory) takeCommands() []Command {
	commands := d.commands
	d.commands = nil
	return commands
}

func (d *Directory) emit(command Command) {
	d.commands = append(d.commands, command)
}

func (d *Directory) isSelf(member ring.Member) bool {
	return member.Name == d.self.Name && member.Incarnation == d.self.Incarnation
}

// handleTick repeats overdue requests for reregistration, and expires and continues resolutions.
func (d *Directory) handleTick() {
	d.requestReregistrations()
	d.expireResolves()
	d.continueResolves()
}

// handleReincarnated handles a loss of authority. Other nodes may have taken over this node's ranges and sessions
// since, so its partition is dropped, and no session may be used before it is registered again.
func (d *Directory) handleReincarnated(incarnation uint64) {
	d.self.Incarnation = incarnation
	clear(d.partition)
	clear(d.handOff)
	clear(d.withdrawals)
	d.transfers = nil
	for _, name := range sortedKeys(d.owned) {
		session := d.owned[name]
		session.confirmed = false
		d.stats.VoidRegistrations++
		if d.policy.EndSessions || session.yieldReason != "" {
			d.yield(session, YieldEnded, false)
			continue
		}
		delete(d.salvage, name)
		d.salvageSession(session)
	}
}

// NextTick returns the earliest time at which Ticked has an effect, or false when nothing is pending.
func (d *Directory) NextTick() (time.Time, bool) {
	var next time.Time
	consider := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, each := range d.resolutions {
		consider(each.deadline)
		if each.call == 0 && !each.notBefore.IsZero() {
			consider(each.notBefore)
		}
	}
	for _, each := range d.peersWithWork {
		if d.moment.Authority && each.call == 0 && d.hasWork(each) {
			consider(each.notBefore)
		}
	}
	for _, each := range d.transfers {
		consider(each.nextRequestAt)
	}
	return next, !next.IsZero()
}

// Pending reports whether anything waits for a response or a timeout.
func (d *Directory) Pending() bool {
	return len(d.peersWithWork) > 0 || len(d.resolutions) > 0 || len(d.transfers) > 0
}

// ViewVersion returns the version of the current view; 0 before the first.
func (d *Directory) ViewVersion() uint64 { return d.view.Version }

// Membership returns the newest view received from the core, including this node's suspects.
func (d *Directory) Membership() View { return d.membership }

// Self returns this node with its current incarnation.
func (d *Directory) Self() ring.Member { return d.self }
