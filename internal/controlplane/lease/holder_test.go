package lease_test

import (
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/controlplane/lease"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const leaseDuration = 5 * time.Second

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func newHolder() *lease.Holder {
	return lease.NewHolder(1, lease.Options{Margin: 500 * time.Millisecond, ViewLimit: 5 * time.Second})
}

func TestAuthorityIsCountedFromWhenTheRenewalWasSent(t *testing.T) {
	holder := newHolder()
	if holder.Valid(start) {
		t.Fatal("authority without a grant")
	}
	renewal, _ := holder.BeginRenewal(at(0))
	holder.Granted(at(900), renewal, leaseDuration, 0)
	if want := at(4500); !holder.ExpiresAt().Equal(want) {
		t.Fatalf("authority ends at %v, want %v", holder.ExpiresAt(), want)
	}
	if !holder.Valid(at(4499)) || holder.Valid(at(4500)) {
		t.Fatal("authority does not end exactly at ExpiresAt")
	}
}

func TestAuthorityExpiresWithoutAnEventAndResumesUnderANewIncarnation(t *testing.T) {
	holder := newHolder()
	renewal, _ := holder.BeginRenewal(at(0))
	holder.Granted(at(1), renewal, leaseDuration, 0)
	if holder.Valid(at(20_000)) {
		t.Fatal("authority 20 s after the last renewal")
	}
	renewal, expired := holder.BeginRenewal(at(20_000))
	if !expired || renewal.Incarnation <= 1 {
		t.Fatalf("expired = %v, incarnation = %d; want true and more than 1", expired, renewal.Incarnation)
	}
	if !holder.Granted(at(20_010), renewal, leaseDuration, 0) || !holder.Valid(at(20_011)) {
		t.Fatal("no authority after a grant to the new incarnation")
	}
}

func TestGrantsThatArriveAfterTheExpiryAreIgnored(t *testing.T) {
	holder := newHolder()
	first, _ := holder.BeginRenewal(at(0))
	holder.Granted(at(1), first, leaseDuration, 0)
	second, _ := holder.BeginRenewal(at(1000))
	// The granter may have ended the lease and begun another one before it received the second renewal.
	if holder.Granted(at(4600), second, leaseDuration, 0) || holder.Valid(at(4601)) {
		t.Fatal("a grant that arrived after the expiry restored authority")
	}
	third, expired := holder.BeginRenewal(at(4601))
	if !expired || holder.Granted(at(4700), second, leaseDuration, 0) ||
		!holder.Granted(at(4700), third, leaseDuration, 0) {
		t.Fatal("a grant to the earlier incarnation was accepted, or that to the new one was not")
	}
}

func TestOlderGrantsNeverShortenAuthority(t *testing.T) {
	holder := newHolder()
	first, _ := holder.BeginRenewal(at(0))
	second, _ := holder.BeginRenewal(at(1000))
	holder.Granted(at(1100), second, leaseDuration, 0)
	holder.Granted(at(1200), first, leaseDuration, 0)
	if want := at(5500); !holder.ExpiresAt().Equal(want) {
		t.Fatalf("authority ends at %v, want %v", holder.ExpiresAt(), want)
	}
}

func TestRejectionAndReleaseEndAuthorityImmediately(t *testing.T) {
	holder := newHolder()
	renewal, _ := holder.BeginRenewal(at(0))
	holder.Granted(at(1), renewal, leaseDuration, 0)
	holder.Rejected(at(2), renewal)
	if holder.Valid(at(3)) || holder.Incarnation() <= 1 {
		t.Fatal("authority or the same incarnation after the rejection")
	}
	renewal, _ = holder.BeginRenewal(at(10))
	holder.Granted(at(11), renewal, leaseDuration, 0)
	holder.Released()
	if holder.Valid(at(12)) || holder.Granted(at(13), renewal, leaseDuration, 0) || holder.Valid(at(14)) {
		t.Fatal("authority after the release")
	}
}

func TestAuthorityExpiresWhileTheLatestViewIsNotApplied(t *testing.T) {
	holder := newHolder()
	holder.ViewApplied(7)
	renew := func(millis int, latest uint64) {
		renewal, _ := holder.BeginRenewal(at(millis))
		holder.Granted(at(millis+10), renewal, leaseDuration, latest)
	}
	renew(0, 7)
	// From here on the granter advertises a view that the node does not apply.
	for millis := 1000; millis <= 4000; millis += 1000 {
		renew(millis, 9)
	}
	if want := at(5000); !holder.ExpiresAt().Equal(want) {
		t.Fatalf("authority ends at %v, want %v", holder.ExpiresAt(), want)
	}
	holder.ViewApplied(9)
	if want := at(8500); !holder.ExpiresAt().Equal(want) {
		t.Fatalf("after the view was applied, authority ends at %v, want %v", holder.ExpiresAt(), want)
	}
}

// A grant alone confers no authority: the current view must have been applied, too. Until then the incarnation stays
// the same, since it has no authority to lose.
func TestAuthorityBeginsWithACurrentView(t *testing.T) {
	holder := newHolder()
	renew := func(millis int) uint64 {
		renewal, _ := holder.BeginRenewal(at(millis))
		holder.Granted(at(millis+10), renewal, leaseDuration, 9)
		return renewal.Incarnation
	}
	for millis := 0; millis <= 12_000; millis += 1000 {
		if incarnation := renew(millis); incarnation != 1 {
			t.Fatalf("incarnation = %d before it ever had authority, want 1", incarnation)
		}
		if holder.Valid(at(millis + 20)) {
			t.Fatalf("authority after %d ms without a view", millis)
		}
	}
	holder.ViewApplied(9)
	if !holder.Valid(at(12_100)) {
		t.Fatal("no authority with a grant and a current view")
	}
}

// A view that changes with each renewal does not end authority as long as each version is applied soon after.
func TestAuthorityContinuesWhileEachNewViewIsAppliedSoon(t *testing.T) {
	holder := newHolder()
	for second := range 30 {
		renewal, expired := holder.BeginRenewal(at(second * 1000))
		if expired {
			t.Fatalf("authority expired after %d s", second)
		}
		holder.Granted(at(second*1000+5), renewal, leaseDuration, uint64(second+2))
		holder.ViewApplied(uint64(second + 1))
	}
}

// advanceWallClock returns the time after a suspension of the machine: the wall clock advanced, the monotonic reading
// did not. Package time has no function that returns such a value, so this writes to its representation: with a
// monotonic reading, the wall seconds are above the 30 bits of the nanoseconds.
func advanceWallClock(now time.Time, seconds uint64) time.Time {
	wall := (*uint64)(unsafe.Pointer(&now))
	*wall += seconds << 30
	return now
}

func TestASuspendedMachineLosesAuthorityByTheWallClock(t *testing.T) {
	now := time.Now()
	expiresAt := now.Add(2 * time.Second)
	resumed := advanceWallClock(now, 10)
	if resumed.Sub(now) != 0 || resumed.Round(0).Sub(now.Round(0)) != 10*time.Second {
		t.Fatal("advanceWallClock did not advance the wall clock alone by 10 s")
	}
	if lease.ValidAt(resumed, expiresAt) {
		t.Fatal("authority after a suspension of 10 s")
	}
	if !lease.ValidAt(advanceWallClock(now, 5), expiresAt) {
		t.Fatal("a wall clock that was set forward by 5 s ended authority")
	}
	if !lease.ValidAt(now, expiresAt) || lease.ValidAt(now, time.Time{}) {
		t.Fatal("no authority before the expiry, or authority with a zero expiry")
	}
}

// granter models the other side of the lease, which starts when a renewal is received.
type granter struct {
	incarnation uint64
	expiresAt   time.Time
}

func (g *granter) receive(now time.Time, renewal lease.Renewal) bool {
	if renewal.Incarnation < g.incarnation {
		return false
	}
	g.incarnation, g.expiresAt = renewal.Incarnation, now.Add(leaseDuration)
	return true
}

// Whatever the delays and losses, the holder has no authority once the granter may grant the lease to another node.
func TestAuthorityNeverOutlastsTheGrantersLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder, granter := newHolder(), &granter{}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "renewals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "interval")) * time.Millisecond)
			renewal, _ := holder.BeginRenewal(now)
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "request delay")) * time.Millisecond)
			if holder.Valid(now) && !now.Before(granter.expiresAt) {
				t.Fatalf("authority at %v, the lease expired at %v", now, granter.expiresAt)
			}
			granted := rapid.Bool().Draw(t, "request arrives") && granter.receive(now, renewal)
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "response delay")) * time.Millisecond)
			if granted && rapid.Bool().Draw(t, "response arrives") {
				holder.Granted(now, renewal, leaseDuration, 0)
			}
			if holder.Valid(now) && !now.Before(granter.expiresAt) {
				t.Fatalf("authority at %v, the lease expired at %v", now, granter.expiresAt)
			}
		}
	})
}

func TestANodeWhoseClockWasSetBackSupersedesItsPreviousIncarnation(t *testing.T) {
	holder := newHolder()
	before := holder.Incarnation()
	holder.Supersede(start, before-1)
	if holder.Incarnation() != before {
		t.Fatalf("incarnation = %d after superseding the smaller %d, want %d", holder.Incarnation(), before-1, before)
	}
	previous := before + 1<<50
	holder.Supersede(start, previous)
	if holder.Incarnation() <= previous {
		t.Fatalf("incarnation = %d, want more than the previous one, %d", holder.Incarnation(), previous)
	}
	renewal, _ := holder.BeginRenewal(start)
	holder.Granted(start, renewal, leaseDuration, 0)
	current := holder.Incarnation()
	holder.Supersede(start, current+5)
	if holder.Incarnation() != current {
		t.Fatalf("incarnation = %d while the lease is held, want %d", holder.Incarnation(), current)
	}
}
