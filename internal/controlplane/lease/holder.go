// Package lease holds the holder's side of a lease. It decides, without I/O,
// until when a node may act on a lease that it keeps renewing.
//
// Authority is counted from the moment a renewal was sent, so it ends before
// the granter, which counts from the moment it received it, can end the lease.
// It ends in silence: nothing has to fire for it to be over. An unbroken
// stretch of authority is one incarnation; whoever was without authority for a
// moment comes back under a new one (source: design page, which leaves open how
// a front node that cannot refresh its view stops acting as owner).
package lease

import "time"

// Options are the times that a holder works with.
type Options struct {
	// Margin is taken off the end of every grant. It covers the drift between
	// the clocks of holder and granter over one lease.
	Margin time.Duration
	// ViewLimit is how long authority lasts after the last moment at which the
	// holder's membership view was known to be current. Zero means no limit.
	ViewLimit time.Duration
	// MaxPending bounds the renewals remembered while the view is behind.
	MaxPending int
}

const defaultMaxPending = 16

// Renewal identifies one renewal under way.
type Renewal struct {
	Incarnation uint64
	SentAt      time.Time
}

// sighting is a view version that the granter named in answer to a renewal.
type sighting struct {
	version uint64
	sentAt  time.Time
}

// Holder is the state of one lease. It has one owner and is not safe for concurrent use.
type Holder struct {
	options     Options
	incarnation uint64
	granted     bool
	released    bool
	leaseEnds   time.Time
	viewVersion uint64
	// currentAt is when the newest renewal was sent whose answer named no view
	// newer than the one held; zero while there is none under this incarnation.
	currentAt time.Time
	pending   []sighting
}

// NewHolder returns a holder without a lease.
func NewHolder(incarnation uint64, options Options) *Holder {
	if options.MaxPending == 0 {
		options.MaxPending = defaultMaxPending
	}
	return &Holder{options: options, incarnation: incarnation}
}

// Incarnation is the stretch of authority that the holder is in or asks for.
func (h *Holder) Incarnation() uint64 {
	return h.incarnation
}

// Send begins a renewal. When the stretch of authority has ended it begins a
// new incarnation first; lapsed tells so.
func (h *Holder) Send(now time.Time) (renewal Renewal, lapsed bool) {
	if h.ended(now) {
		h.lapse(now)
		lapsed = true
	}
	return Renewal{Incarnation: h.incarnation, SentAt: now}, lapsed
}

// ended reports whether the incarnation had authority that is over. One that
// never had any, because its first view was not read, has lost nothing.
func (h *Holder) ended(now time.Time) bool {
	return h.granted && !h.currentAt.IsZero() && !h.Valid(now)
}

// lapse ends the incarnation; the next one is larger and close to Unix milliseconds.
func (h *Holder) lapse(now time.Time) {
	h.incarnation = max(h.incarnation+1, uint64(max(now.UnixMilli(), 0)))
	h.granted = false
	h.leaseEnds = time.Time{}
	h.currentAt = time.Time{}
	h.pending = nil
}

// Granted takes the answer to a renewal in. Authority begins when a view as new
// as the one named by the granter is read, too. Granted reports whether the grant
// counts: an answer that comes after authority ended, or belongs to an earlier
// incarnation, does not, because the granter may have ended the lease between.
func (h *Holder) Granted(now time.Time, renewal Renewal, duration time.Duration, latestView uint64) bool {
	if h.released || renewal.Incarnation != h.incarnation {
		return false
	}
	if h.ended(now) {
		return false
	}
	ends := renewal.SentAt.Add(duration - h.options.Margin)
	if ends.After(h.leaseEnds) {
		h.leaseEnds = ends
	}
	h.granted = true
	h.saw(sighting{version: latestView, sentAt: renewal.SentAt})
	return true
}

// Refused ends authority at once: the granter knows of a newer incarnation or refuses the node.
func (h *Holder) Rejected(now time.Time, renewal Renewal) {
	if renewal.Incarnation == h.incarnation {
		h.lapse(now)
	}
}

// Succeed makes the next incarnation larger than one that a former life of the
// node had, as after its clock was set back. It does nothing while a lease is held.
func (h *Holder) Succeed(now time.Time, former uint64) {
	if h.granted || h.released || former < h.incarnation {
		return
	}
	h.incarnation = former
	h.lapse(now)
}

// Released ends authority for good.
func (h *Holder) Released() {
	h.released = true
	h.granted = false
	h.leaseEnds = time.Time{}
}

// ViewRead says that the holder put a membership view in force.
func (h *Holder) ViewRead(version uint64) {
	if version <= h.viewVersion {
		return
	}
	h.viewVersion = version
	kept := h.pending[:0]
	for _, seen := range h.pending {
		if !h.catchUp(seen) {
			kept = append(kept, seen)
		}
	}
	h.pending = kept
}

func (h *Holder) saw(seen sighting) {
	if h.catchUp(seen) {
		return
	}
	if len(h.pending) == h.options.MaxPending {
		// Dropping the newest keeps the oldest unanswered one, which is the safe side.
		return
	}
	h.pending = append(h.pending, seen)
}

// catchUp moves currentAt to the sighting when the view held is as new, or when no limit is set on its age.
func (h *Holder) catchUp(seen sighting) bool {
	if h.options.ViewLimit > 0 && h.viewVersion < seen.version {
		return false
	}
	if seen.sentAt.After(h.currentAt) {
		h.currentAt = seen.sentAt
	}
	return true
}

// Ends is when authority ends by the lease and by the age of the view; zero without a lease.
func (h *Holder) Ends() time.Time {
	if !h.granted || h.currentAt.IsZero() {
		return time.Time{}
	}
	if h.options.ViewLimit > 0 {
		if limit := h.currentAt.Add(h.options.ViewLimit); limit.Before(h.leaseEnds) {
			return limit
		}
	}
	return h.leaseEnds
}

// Held reports whether the holder has authority at the time given.
func (h *Holder) Valid(now time.Time) bool {
	return Before(now, h.Ends())
}

// wallTolerance is how far the wall clock may be ahead of what the monotonic
// clock says before it counts as a sign of suspension.
const wallTolerance = 6 * time.Second

// Before reports whether now is before ends by the monotonic clock, and by the
// wall clock with a tolerance. The monotonic clock stands still while a machine is
// suspended; the wall clock may be set forward by some seconds while it runs,
// which must not cost the turns under way. A suspension that is shorter than the
// tolerance is not seen; the epochs of the ledger fence what is done after it.
func Before(now, ends time.Time) bool {
	return !ends.IsZero() && now.Before(ends) && now.Round(0).Before(ends.Round(0).Add(wallTolerance))
}
