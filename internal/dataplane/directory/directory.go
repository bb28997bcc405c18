// Package directory decides, without I/O, what one front node does for the
// session directory (source: docs/SALVAGE.md; dotnet/orleans
// issue 2656). The node has three roles in it:
//
//   - holder of one partition: it answers lookups and accepts registrations of the
//     sessions whose key falls in its ranges of the ring;
//   - owner of sessions: it registers them, and registers them again with the new
//     holder when a range changes hands (the salvage list);
//   - client: it looks up the owner of a session before a turn, with a cache.
//
// A Directory takes one event and the time and returns commands. It has one
// owner goroutine and is not safe for concurrent use; package ownership is its I/O adapter.
//
// The states of a range that this node holds:
//
//	transferring  gained with a view; a first registration in it is answered with
//	              DIRECTORY_SETTLING, since the session may have an owner that has not registered
//	              again yet. Ends when every awaited node has sent its completion, or
//	              after the transfer's timeout.
//	complete      lookups are answered from the registrations alone.
//
// The states of a peer, as this node sees it:
//
//	trusted       its calls are answered.
//	unconfirmed   a first sign of its loss (a broken connection, a call without an
//	              answer, a peer's indirect suspicion); it is sent a ping at once.
//	suspected     it refused a connection, or did not answer the ping. By this node's view it holds no
//	              range, and its sessions may be taken over. Its lease is not
//	              touched. An answer to a ping makes it trusted again.
//
// The states of a session that this node owns:
//
//	registered    the present holder confirmed the registration: turns may begin.
//	salvaged      on the salvage list: its holder changed, or this node's
//	              incarnation did. Turns go on unless the incarnation changed.
//	yielding      given up; it ends with its last grant, after that turn is committed (settle, then yield).
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
	// TransferTimeout is how long a range gained may be transferring before first registrations are accepted in it.
	TransferTimeout time.Duration
	// ReregistrationDelay is how long a holder waits for a node's completion before it requests reregistration; it
	// doubles with each request, up to maxReregistrationDelay.
	ReregistrationDelay time.Duration
	// FailureDetectionTimeout is how long a peer may leave calls unanswered before it is suspected.
	FailureDetectionTimeout time.Duration
	// SuspectTransferTimeout is the TransferTimeout of ranges gained from suspects alone.
	SuspectTransferTimeout time.Duration
	// CacheSize is the maximum number of cached owners.
	CacheSize int
	Policy    Policy
	// Random jitters delays; nothing else depends on it.
	Random *rand.Rand
}

// Directory is the state of one front node's part in the session directory. Only its owner goroutine may use it.
type Directory struct {
	options Options
	self    ring.Member
	policy  Policy
	// membership is the newest view as the core ordered it; view is the membership without the suspects.
	membership, view View
	// viewGeneration counts the views put in force, those that only the suspects changed included.
	viewGeneration uint64
	// suspects are the incarnations of the members that this node could not reach, by name.
	suspects map[string]uint64

	// As holder.
	partition map[string]*entry
	transfers []*transfer
	// pendingDisplacements are those whose owner the membership does not have yet.
	pendingDisplacements []displacement

	// As owner.
	owned map[string]*ownedSession
	// hasOwned is true once this process has owned a session.
	hasOwned    bool
	salvage     map[string]*item
	handOff     map[string]*item
	withdrawals map[string]*item
	sequence    uint64
	draining    bool

	// As client.
	cache               *simplelru.LRU[string, *protocol.Registration]
	resolutions         map[string]*resolution
	resolutionsByTicket map[uint64]*resolution

	peers    map[string]*peer
	calls    map[uint64]*call
	lastCall uint64
	// recentCallDuration is how long recent answers to this node's calls took; see recordDuration.
	recentCallDuration time.Duration
	// peersWithWork are the peers, by name, that dispatch looks at.
	peersWithWork map[string]*peer
	stats         Stats

	// at is the moment of the event that is being handled.
	at       Moment
	commands []Command
}

// New returns the directory of a node that has received no view. Zero options get their defaults.
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
	// The only error is a size that is not positive.
	cache, _ := simplelru.NewLRU[string, *protocol.Registration](max(1, options.CacheSize), nil)
	return &Directory{
		options: options, self: options.Self, policy: options.Policy,
		suspects:  make(map[string]uint64),
		partition: make(map[string]*entry), owned: make(map[string]*ownedSession),
		salvage: make(map[string]*item), handOff: make(map[string]*item), withdrawals: make(map[string]*item),
		cache: cache, resolutions: make(map[string]*resolution), resolutionsByTicket: make(map[uint64]*resolution),
		peers: make(map[string]*peer), calls: make(map[uint64]*call), peersWithWork: make(map[string]*peer),
	}
}

// Handle applies one event and returns the commands that follow from it, in the order in which they are to be executed.
func (d *Directory) Handle(at Moment, event Event) []Command {
	d.at = at
	d.apply(event)
	d.dispatch()
	return d.takeCommands()
}

func (d *Directory) apply(event Event) {
	switch event := event.(type) {
	case ViewChanged:
		d.viewChanged(event.View)
	case PolicyChanged:
		d.policy = event.Policy
	case Reincarnated:
		d.reincarnated(event.Incarnation)
	case ResolveRequested:
		d.resolveRequested(event)
	case ResolveCancelled:
		d.resolveCancelled(event.Ticket)
	case OwnerInvalidated:
		d.cache.Remove(event.Session)
	case CallEnded:
		d.answered(event)
	case PeerBroken:
		d.peerFailed(event.Address, CallBroken)
	case PeerFailed:
		d.peerFailed(event.Address, event.Failure)
	case GrantEnded:
		d.grantEnded(event.Session)
	case OwnershipLost:
		d.ownershipLost(event.Session)
	case DrainBegun:
		d.drainBegun()
	case Ticked:
		d.ticked()
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

// ticked repeats requests whose answers are overdue and continues what waited for its time.
func (d *Directory) ticked() {
	d.requestReregistrations()
	d.expireResolves()
	d.continueResolves()
}

// reincarnated follows a loss of authority. Other nodes may have taken over this node's
// ranges and sessions since, so its partition is dropped, and no session
// may be used before it is registered again.
func (d *Directory) reincarnated(incarnation uint64) {
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

// NextTick is the earliest time at which Ticked has an effect; false when nothing is pending.
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
		if d.at.Authority && each.call == 0 && d.hasWork(each) {
			consider(each.notBefore)
		}
	}
	for _, each := range d.transfers {
		consider(each.nextRequestAt)
	}
	return next, !next.IsZero()
}

// Pending reports whether anything waits for an answer or for time to pass.
func (d *Directory) Pending() bool {
	return len(d.peersWithWork) > 0 || len(d.resolutions) > 0 || len(d.transfers) > 0
}

// ViewVersion is the version of the view in force; 0 before the first.
func (d *Directory) ViewVersion() uint64 { return d.view.Version }

// Membership is the newest view as the core ordered it, this node's suspects included.
func (d *Directory) Membership() View { return d.membership }

// Self is this node under its current incarnation.
func (d *Directory) Self() ring.Member { return d.self }
