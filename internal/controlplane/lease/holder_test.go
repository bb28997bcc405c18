package lease_test

import (
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/controlplane/lease"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const duration = 5 * time.Second

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
	holder.Granted(at(900), renewal, duration, 0)
	if want := at(4500); !holder.ExpiresAt().Equal(want) {
		t.Fatalf("ends at %v, want %v", holder.ExpiresAt(), want)
	}
	if !holder.Valid(at(4499)) || holder.Valid(at(4500)) {
		t.Fatal("does not end exactly at its end")
	}
}

func TestAuthorityExpiresWithoutAnEventAndResumesUnderANewIncarnation(t *testing.T) {
	holder := newHolder()
	renewal, _ := holder.BeginRenewal(at(0))
	holder.Granted(at(1), renewal, duration, 0)
	if holder.Valid(at(20_000)) {
		t.Fatal("a process that was frozen has authority")
	}
	renewal, expired := holder.BeginRenewal(at(20_000))
	if !expired || renewal.Incarnation <= 1 {
		t.Fatalf("expired %v, incarnation %d", expired, renewal.Incarnation)
	}
	if !holder.Granted(at(20_010), renewal, duration, 0) || !holder.Valid(at(20_011)) {
		t.Fatal("the new incarnation did not get authority")
	}
}

func TestGrantsThatArriveAfterTheExpiryAreIgnored(t *testing.T) {
	holder := newHolder()
	first, _ := holder.BeginRenewal(at(0))
	holder.Granted(at(1), first, duration, 0)
	second, _ := holder.BeginRenewal(at(1000))
	// The granter may have ended the lease and begun another one before it received the second renewal.
	if holder.Granted(at(4600), second, duration, 0) || holder.Valid(at(4601)) {
		t.Fatal("an answer after the expiry restored authority")
	}
	third, expired := holder.BeginRenewal(at(4601))
	if !expired || holder.Granted(at(4700), second, duration, 0) || !holder.Granted(at(4700), third, duration, 0) {
		t.Fatal("an answer to an earlier incarnation counted, or the new one did not")
	}
}

func TestOlderAnswersNeverShortenAuthority(t *testing.T) {
	holder := newHolder()
	first, _ := holder.BeginRenewal(at(0))
	second, _ := holder.BeginRenewal(at(1000))
	holder.Granted(at(1100), second, duration, 0)
	holder.Granted(at(1200), first, duration, 0)
	if want := at(5500); !holder.ExpiresAt().Equal(want) {
		t.Fatalf("ends at %v, want %v", holder.ExpiresAt(), want)
	}
}

func TestRejectionAndReleaseEndAuthorityImmediately(t *testing.T) {
	holder := newHolder()
	renewal, _ := holder.BeginRenewal(at(0))
	holder.Granted(at(1), renewal, duration, 0)
	holder.Rejected(at(2), renewal)
	if holder.Valid(at(3)) || holder.Incarnation() <= 1 {
		t.Fatal("authority after the rejection")
	}
	renewal, _ = holder.BeginRenewal(at(10))
	holder.Granted(at(11), renewal, duration, 0)
	holder.Released()
	if holder.Valid(at(12)) || holder.Granted(at(13), renewal, duration, 0) || holder.Valid(at(14)) {
		t.Fatal("authority after the release")
	}
}

func TestAuthorityExpiresWhileTheLatestViewIsNotApplied(t *testing.T) {
	holder := newHolder()
	holder.ViewApplied(7)
	renew := func(millis int, latest uint64) {
		renewal, _ := holder.BeginRenewal(at(millis))
		holder.Granted(at(millis+10), renewal, duration, latest)
	}
	renew(0, 7)
	// From here on the granter names a view that the node does not apply.
	for millis := 1000; millis <= 4000; millis += 1000 {
		renew(millis, 9)
	}
	if want := at(5000); !holder.ExpiresAt().Equal(want) {
		t.Fatalf("ends at %v, want %v", holder.ExpiresAt(), want)
	}
	holder.ViewApplied(9)
	if want := at(8500); !holder.ExpiresAt().Equal(want) {
		t.Fatalf("after the view was applied it expires at %v, want %v", holder.ExpiresAt(), want)
	}
}

// Under a new incarnation too, authority begins only with a view that is current.
func TestAuthorityBeginsWithACurrentView(t *testing.T) {
	holder := newHolder()
	renew := func(millis int) uint64 {
		renewal, _ := holder.BeginRenewal(at(millis))
		holder.Granted(at(millis+10), renewal, duration, 9)
		return renewal.Incarnation
	}
	for millis := 0; millis <= 12_000; millis += 1000 {
		if incarnation := renew(millis); incarnation != 1 {
			t.Fatalf("incarnation %d without ever having had authority", incarnation)
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

// A view that changes with each renewal does not end authority as long as each version is applied soon.
func TestAuthorityContinuesWhileEachNewViewIsAppliedSoon(t *testing.T) {
	holder := newHolder()
	for second := range 30 {
		renewal, expired := holder.BeginRenewal(at(second * 1000))
		if expired {
			t.Fatalf("expired after %d s", second)
		}
		holder.Granted(at(second*1000+5), renewal, duration, uint64(second+2))
		holder.ViewApplied(uint64(second + 1))
	}
}

// suspended is the time after a suspension: the wall clock went on, the
// monotonic reading did not. No function of package time makes such a value;
// the wall seconds of one with a monotonic reading lie above the 30 bits of its nanoseconds.
func suspended(now time.Time, seconds uint64) time.Time {
	wall := (*uint64)(unsafe.Pointer(&now))
	*wall += seconds << 30
	return now
}

func TestASuspendedMachineLosesAuthorityByTheWallClock(t *testing.T) {
	now := time.Now()
	ends := now.Add(2 * time.Second)
	resumed := suspended(now, 10)
	if resumed.Sub(now) != 0 || resumed.Round(0).Sub(now.Round(0)) != 10*time.Second {
		t.Fatal("the clocks of the example are not what they should be")
	}
	if lease.ValidAt(resumed, ends) {
		t.Fatal("authority after a suspension")
	}
	if !lease.ValidAt(suspended(now, 5), ends) {
		t.Fatal("a wall clock set forward by 5 s ended it")
	}
	if !lease.ValidAt(now, ends) || lease.ValidAt(now, time.Time{}) {
		t.Fatal("the ordinary cases are wrong")
	}
}

// granter is the other side of the lease: it counts from when it received a renewal.
type granter struct {
	incarnation uint64
	expires     time.Time
}

func (g *granter) receive(now time.Time, renewal lease.Renewal) bool {
	if renewal.Incarnation < g.incarnation {
		return false
	}
	g.incarnation, g.expires = renewal.Incarnation, now.Add(duration)
	return true
}

// Whatever the delays and losses, the holder has no authority once the granter may give the lease to another.
func TestAuthorityNeverOutlastsTheGrantersLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder, granter := newHolder(), &granter{}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "renewals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "interval")) * time.Millisecond)
			renewal, _ := holder.BeginRenewal(now)
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "there")) * time.Millisecond)
			if holder.Valid(now) && !now.Before(granter.expires) {
				t.Fatalf("authority at %v, the lease expired at %v", now, granter.expires)
			}
			granted := rapid.Bool().Draw(t, "arrives") && granter.receive(now, renewal)
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "back")) * time.Millisecond)
			if granted && rapid.Bool().Draw(t, "answered") {
				holder.Granted(now, renewal, duration, 0)
			}
			if holder.Valid(now) && !now.Before(granter.expires) {
				t.Fatalf("authority at %v, the lease expired at %v", now, granter.expires)
			}
		}
	})
}

func TestANodeWhoseClockWasSetBackSupersedesItsPreviousIncarnation(t *testing.T) {
	holder := newHolder()
	before := holder.Incarnation()
	holder.Supersede(start, before-1)
	if holder.Incarnation() != before {
		t.Fatal("a smaller incarnation changed it")
	}
	previous := before + 1<<50
	holder.Supersede(start, previous)
	if holder.Incarnation() <= previous {
		t.Fatalf("%d does not supersede %d", holder.Incarnation(), previous)
	}
	renewal, _ := holder.BeginRenewal(start)
	holder.Granted(start, renewal, duration, 0)
	current := holder.Incarnation()
	holder.Supersede(start, current+5)
	if holder.Incarnation() != current {
		t.Fatal("it gave up the lease that it holds")
	}
}
