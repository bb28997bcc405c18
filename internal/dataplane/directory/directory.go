// Package directory decides, without I/O, what one front node does for the
// session directory (source: design page, session directory; dotnet/orleans
// issue 2656). The node has three parts in it:
//
//   - holder of one partition: it answers lookups and takes registrations of the
//     sessions whose key falls in its ranges of the ring;
//   - owner of sessions: it registers them, and registers them again with the new
//     holder when a range changes hands (the salvage list);
//   - client: it looks the owner of a session up before a turn, with a cache.
//
// A Directory takes one event and the time and returns commands. It has one
// owner and is not safe for concurrent use.
package directory

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Starting values of Options.
const (
	DefaultTransferTimeout = 1500 * time.Millisecond
	DefaultReregistrationDelay = 300 * time.Millisecond
	DefaultCacheSize   = 1 << 16
	maxBackoff     = time.Second
	maxViewBackoff = 250 * time.Millisecond
	maxReregistrationDelay = 5 * time.Second
	resolveRetryDelay   = 20 * time.Millisecond
	// mostSettleDoublings bounds the delay of a lookup that is tried again.
	maxResolveRetryDoublings = 2
)

// Options configure a Directory. Self and Random are required.
type Options struct {
	Self ring.Member
	// SettleBound is how long a holder may answer that a range gained is settling.
	TransferTimeout time.Duration
	// ResendDelay is how long a holder waits for a node to say complete before it asks.
	ReregistrationDelay time.Duration
	// SilenceLimit is how long a peer may be silent before it is suspected.
	FailureDetectionTimeout time.Duration
	// SuspicionBound is how long a holder may answer that a range taken from a suspect is settling.
	SuspectTransferTimeout time.Duration
	// CacheSize bounds the cached lookups.
	CacheSize int
	Policy    Policy
	// Random jitters delays; nothing else depends on it.
	Random *rand.Rand
}

// Directory is the state of one front node's part in the session directory.
type Directory struct {
	options Options
	self    ring.Member
	policy  Policy
	// base is the membership as the core orders it; view is base without the suspects.
	membership, view View
	// inForce counts the views put in force.
	viewGeneration uint64
	// suspects are the incarnations of the members that this node could not reach, by name.
	suspects map[string]uint64

	// As holder.
	partition map[string]*entry
	transfers     []*transfer
	// untold are displacements whose owner the view does not have yet.
	pendingDisplacements []displacement

	// As owner.
	owned map[string]*ownedSession
	// hasOwned is true once a session was owned.
	hasOwned bool
	salvage  map[string]*item
	handOff  map[string]*item
	withdrawals  map[string]*item
	sequence uint64
	draining bool

	// As client.
	cache    *simplelru.LRU[string, *protocol.Registration]
	resolutions map[string]*resolution
	resolutionsByTicket  map[uint64]*resolution

	peers    map[string]*peer
	calls    map[uint64]*call
	lastCall uint64
	// lately is how long answers to this node's calls take of late.
	recentCallDuration time.Duration
	// working are the peers, by name, that may have something to be told.
	peersWithWork map[string]*peer
	stats   Stats

	at       Moment
	commands []Command
}

// New returns the directory of a node that has seen no view.
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

// Handle takes one event in and returns what is to be done, in order.
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
	case Answered:
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

// ticked asks again where answers are overdue and goes on with what waited.
func (d *Directory) ticked() {
	d.requestReregistrations()
	d.expireResolves()
	d.continueResolves()
}

// reincarnated follows a loss of authority. Others may have taken the node's
// ranges and sessions over meanwhile, so its partition is gone, and no session
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
		d.stats.AuthorityLost++
		if d.policy.EndSessions || session.yieldReason != "" {
			d.yield(session, YieldEnded, false)
			continue
		}
		delete(d.salvage, name)
		d.salvageSession(session)
	}
}

// NextTick is the earliest time at which Ticked has something to do; false when nothing waits.
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

// ViewVersion is the version of the view in force.
func (d *Directory) ViewVersion() uint64 { return d.view.Version }

// Membership is the newest view as the core orders it, the suspects of this node included.
func (d *Directory) Membership() View { return d.membership }

// Self is this node under its present incarnation.
func (d *Directory) Self() ring.Member { return d.self }
