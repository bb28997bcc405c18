// Package lease implements the holder's side of a lease: it computes until when a
// node may act (its authority) under a lease that it renews periodically.
//
// Authority is measured from the time at which a renewal was sent. The granter
// measures the lease from the time at which it received the renewal, so authority
// always ends before the lease does. No timer has to fire for that: authority is a
// comparison with the clock. An uninterrupted period of authority is one
// incarnation; a node that lost authority, however briefly, continues under a new
// one.
//
// The package is pure: it takes the time as an argument and does no I/O. The design
// page leaves open how a front node that cannot refresh its view stops acting as
// owner; here, Options.ViewLimit ends its authority.
package lease

import "time"

// Options are the limits that a Holder applies.
type Options struct {
	// Margin is subtracted from the end of every grant. It covers the drift
	// between the clocks of holder and granter over one lease.
	Margin time.Duration
	// ViewLimit is how long authority lasts after the last time at which the
	// holder's membership view was confirmed to be current. Zero means no limit.
	ViewLimit time.Duration
	// MaxPendingViews bounds the advertised views that are kept while the applied
	// view is older than they are. Zero means 16.
	MaxPendingViews int
}

const defaultMaxPendingViews = 16

// Renewal identifies one renewal in flight.
type Renewal struct {
	Incarnation uint64
	SentAt      time.Time
}

// advertisedView is the view version in the granter's response to a renewal;
// sentAt is when that renewal was sent.
type advertisedView struct {
	version uint64
	sentAt  time.Time
}

// Holder is the state of one lease. It is not safe for concurrent use.
type Holder struct {
	options        Options
	incarnation    uint64
	granted        bool
	released       bool
	leaseExpiresAt time.Time
	viewVersion    uint64
	// viewCurrentAt is when the latest renewal was sent whose response advertised
	// no view newer than the applied one; zero until this incarnation has one.
	viewCurrentAt time.Time
	pendingViews  []advertisedView
}

// NewHolder returns a holder without a lease.
func NewHolder(incarnation uint64, options Options) *Holder {
	if options.MaxPendingViews == 0 {
		options.MaxPendingViews = defaultMaxPendingViews
	}
	return &Holder{options: options, incarnation: incarnation}
}

// Incarnation returns the number of the period of authority that the holder has or
// requests.
func (h *Holder) Incarnation() uint64 {
	return h.incarnation
}

// BeginRenewal returns the renewal to send now. If authority has expired since
// the last one, it begins a new incarnation first and reports expired.
func (h *Holder) BeginRenewal(now time.Time) (renewal Renewal, expired bool) {
	if h.authorityExpired(now) {
		h.advanceIncarnation(now)
		expired = true
	}
	return Renewal{Incarnation: h.incarnation, SentAt: now}, expired
}

// authorityExpired reports whether the incarnation had authority that has ended. An
// incarnation that never had any, because no view was applied yet, cannot lose it.
func (h *Holder) authorityExpired(now time.Time) bool {
	return h.granted && !h.viewCurrentAt.IsZero() && !h.Valid(now)
}

// advanceIncarnation ends the incarnation. The next one is larger, and close to
// the Unix time in milliseconds so that it also exceeds those of earlier processes.
func (h *Holder) advanceIncarnation(now time.Time) {
	h.incarnation = max(h.incarnation+1, uint64(max(now.UnixMilli(), 0)))
	h.granted = false
	h.leaseExpiresAt = time.Time{}
	h.viewCurrentAt = time.Time{}
	h.pendingViews = nil
}

// Granted applies the granter's response to a renewal: a lease of the given
// duration, and the latest version of the view. Authority begins once a view of
// at least that version has been applied as well. Granted reports whether the grant
// was accepted. It ignores a grant that arrives after authority ended or that
// belongs to an earlier incarnation: the granter may have ended the lease in between.
func (h *Holder) Granted(now time.Time, renewal Renewal, duration time.Duration, latestView uint64) bool {
	if h.released || renewal.Incarnation != h.incarnation {
		return false
	}
	if h.authorityExpired(now) {
		return false
	}
	expiresAt := renewal.SentAt.Add(duration - h.options.Margin)
	if expiresAt.After(h.leaseExpiresAt) {
		h.leaseExpiresAt = expiresAt
	}
	h.granted = true
	h.observeView(advertisedView{version: latestView, sentAt: renewal.SentAt})
	return true
}

// Rejected ends authority immediately: the granter has recorded a newer incarnation
// of the node, or rejects the node itself. Responses to renewals of earlier
// incarnations are ignored.
func (h *Holder) Rejected(now time.Time, renewal Renewal) {
	if renewal.Incarnation == h.incarnation {
		h.advanceIncarnation(now)
	}
}

// Supersede raises the incarnation above that of an earlier process of the same
// node, which can be the larger one after the clock was set back. It does nothing
// while a lease is held or after it was released.
func (h *Holder) Supersede(now time.Time, previous uint64) {
	if h.granted || h.released || previous < h.incarnation {
		return
	}
	h.incarnation = previous
	h.advanceIncarnation(now)
}

// Released ends authority permanently; later grants are ignored.
func (h *Holder) Released() {
	h.released = true
	h.granted = false
	h.leaseExpiresAt = time.Time{}
}

// ViewApplied records that a version of the membership view is active on the node.
// Versions older than the applied one are ignored.
func (h *Holder) ViewApplied(version uint64) {
	if version <= h.viewVersion {
		return
	}
	h.viewVersion = version
	stillPending := h.pendingViews[:0]
	for _, view := range h.pendingViews {
		if !h.confirmView(view) {
			stillPending = append(stillPending, view)
		}
	}
	h.pendingViews = stillPending
}

func (h *Holder) observeView(view advertisedView) {
	if h.confirmView(view) {
		return
	}
	if len(h.pendingViews) == h.options.MaxPendingViews {
		// Drop the newest and keep the oldest, which is confirmed first. This is safe: it can only shorten authority.
		return
	}
	h.pendingViews = append(h.pendingViews, view)
}

// confirmView reports whether the applied view is at least as new as the advertised
// one, or its age is not limited. If so, it advances viewCurrentAt.
func (h *Holder) confirmView(view advertisedView) bool {
	if h.options.ViewLimit > 0 && h.viewVersion < view.version {
		return false
	}
	if view.sentAt.After(h.viewCurrentAt) {
		h.viewCurrentAt = view.sentAt
	}
	return true
}

// ExpiresAt returns when authority ends, by the lease or by the age of the view,
// whichever is first, or the zero time without authority.
func (h *Holder) ExpiresAt() time.Time {
	if !h.granted || h.viewCurrentAt.IsZero() {
		return time.Time{}
	}
	if h.options.ViewLimit > 0 {
		if limit := h.viewCurrentAt.Add(h.options.ViewLimit); limit.Before(h.leaseExpiresAt) {
			return limit
		}
	}
	return h.leaseExpiresAt
}

// Valid reports whether the holder has authority at the given time.
func (h *Holder) Valid(now time.Time) bool {
	return ValidAt(now, h.ExpiresAt())
}

// wallClockTolerance is how far the wall clock may run ahead of the monotonic
// clock before the difference counts as a suspension of the machine.
const wallClockTolerance = 6 * time.Second

// ValidAt reports whether now is before expiresAt by the monotonic clock, and by
// the wall clock within a tolerance of six seconds. The monotonic clock does not
// advance while a machine is suspended; the wall clock may be set forward by some
// seconds in operation, which must not end the turns in flight. A suspension
// shorter than the tolerance is not detected; the ledger's epochs fence operations
// that follow it. The zero time is never valid.
func ValidAt(now, expiresAt time.Time) bool {
	return !expiresAt.IsZero() && now.Before(expiresAt) && now.Round(0).Before(expiresAt.Round(0).Add(wallClockTolerance))
}
