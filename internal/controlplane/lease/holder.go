// Package lease is the holder's side of a lease: it decides until when a node
// may act (its authority) under a lease that it renews periodically.
//
// Authority is counted from the moment at which a renewal was sent. The granter
// counts from when it received the renewal, so authority ends before the lease
// can. No timer has to fire for that: authority is a comparison with the clock.
// An unbroken period of authority is one incarnation; a node that was without
// authority, however briefly, continues under a new one.
//
// The package is a pure decision package: it takes the time as an argument, does
// no I/O, and a Holder is not safe for concurrent use. Its source is the design
// page, which leaves open how a front node that cannot refresh its view stops
// acting as owner.
package lease

import "time"

// Options are the limits that a Holder applies.
type Options struct {
	// Margin is subtracted from the end of every grant. It covers the drift
	// between the clocks of holder and granter over one lease.
	Margin time.Duration
	// ViewLimit is how long authority lasts after the last moment at which the
	// holder's membership view was known to be current. Zero means no limit.
	ViewLimit time.Duration
	// MaxPendingViews bounds the renewals remembered while the applied view is
	// behind. Zero means 16.
	MaxPendingViews int
}

const defaultMaxPendingViews = 16

// Renewal identifies one renewal in flight.
type Renewal struct {
	Incarnation uint64
	SentAt      time.Time
}

// advertisedView is a view version that the granter named in answer to a
// renewal; sentAt is when that renewal was sent.
type advertisedView struct {
	version uint64
	sentAt  time.Time
}

// Holder is the state of one lease. It belongs to one goroutine and is not safe for concurrent use.
type Holder struct {
	options        Options
	incarnation    uint64
	granted        bool
	released       bool
	leaseExpiresAt time.Time
	viewVersion    uint64
	// viewCurrentAt is when the latest renewal was sent whose answer named no
	// view newer than the one applied; zero while this incarnation has none.
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

// Incarnation numbers the period of authority that the holder has or requests.
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

// authorityExpired reports whether the incarnation had authority that is over.
// One that never had any, because no view was applied yet, has nothing to lose.
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

// Granted applies the granter's answer to a renewal: a lease of the given
// duration, and the latest version of the view. Authority begins once a view of
// at least that version is applied, too. Granted reports whether the grant
// counts. One that arrives after authority ended, or that belongs to an earlier
// incarnation, does not: the granter may have ended the lease in between.
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

// Rejected ends authority immediately: the granter knows a newer incarnation of
// the node, or rejects the node itself. Answers to renewals of earlier
// incarnations are ignored.
func (h *Holder) Rejected(now time.Time, renewal Renewal) {
	if renewal.Incarnation == h.incarnation {
		h.advanceIncarnation(now)
	}
}

// Supersede raises the incarnation above that of an earlier process of the same
// node, which can be the larger one after a clock was set back. It does nothing
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

// ViewApplied records that the node put a version of the membership view in
// force. Older versions than the one applied are ignored.
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
		// Dropping the newest keeps the oldest unanswered one, which is the safe side.
		return
	}
	h.pendingViews = append(h.pendingViews, view)
}

// confirmView advances viewCurrentAt when the applied view is at least as new as
// the advertised one, or when its age is not limited; it reports whether it was.
func (h *Holder) confirmView(view advertisedView) bool {
	if h.options.ViewLimit > 0 && h.viewVersion < view.version {
		return false
	}
	if view.sentAt.After(h.viewCurrentAt) {
		h.viewCurrentAt = view.sentAt
	}
	return true
}

// ExpiresAt is when authority ends, by the lease or by the age of the view,
// whichever is first; zero without authority.
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
// shorter than the tolerance is not detected; the ledger's epochs fence off what
// is done after it. The zero time is never valid.
func ValidAt(now, expiresAt time.Time) bool {
	return !expiresAt.IsZero() && now.Before(expiresAt) && now.Round(0).Before(expiresAt.Round(0).Add(wallClockTolerance))
}
