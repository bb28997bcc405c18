package leases_test

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/protocol"
)

const duration = 5 * time.Second

var (
	start  = time.Unix(1_764_650_000, 0)
	holder = leases.Holder{Name: "front-1", Incarnation: 7}
)

func newTable() *leases.Table {
	table := leases.NewTable(duration)
	table.Reset(start)
	return table
}

func TestALeaseExpiresItsDurationAfterTheLastContact(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(table *leases.Table)
		expires time.Duration
	}{
		"unknown holder, duration counted from Reset": {
			prepare: func(*leases.Table) {}, expires: duration,
		},
		"renewed once": {
			prepare: func(table *leases.Table) { table.Renew(holder, start.Add(2*time.Second)) }, expires: 7 * time.Second,
		},
		"renewed twice, the earlier contact last": {
			prepare: func(table *leases.Table) {
				table.Renew(holder, start.Add(2*time.Second))
				table.Renew(holder, start.Add(time.Second))
			}, expires: 7 * time.Second,
		},
		"renewed, then extended for all holders": {
			prepare: func(table *leases.Table) {
				table.Renew(holder, start.Add(time.Second))
				table.Extend(start.Add(4 * time.Second))
			}, expires: 9 * time.Second,
		},
		"another incarnation renewed": {
			prepare: func(table *leases.Table) {
				table.Renew(leases.Holder{Name: holder.Name, Incarnation: 8}, start.Add(2*time.Second))
			}, expires: duration,
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			test.prepare(table)
			if got := table.Expiry(holder).Sub(start); got != test.expires {
				t.Fatalf("the lease expires after %v, want %v", got, test.expires)
			}
			if got := table.LastRenewal(holder); !got.Equal(table.Expiry(holder).Add(-duration)) {
				t.Fatalf("LastRenewal = %v, want %v before the expiry at %v", got, duration, table.Expiry(holder))
			}
		})
	}
}

func TestARemovalIsProposedOnceAtATime(t *testing.T) {
	table := newTable()
	table.Renew(holder, start)
	if table.BeginRemoval(holder, start.Add(duration-1)) {
		t.Fatal("BeginRemoval is true before the lease expired")
	}
	expired := start.Add(duration)
	if !table.BeginRemoval(holder, expired) {
		t.Fatal("BeginRemoval is false when the lease expired")
	}
	if table.Renew(holder, expired) {
		t.Fatal("Renew is true while the holder is being removed")
	}
	if table.BeginRemoval(holder, expired.Add(time.Hour)) {
		t.Fatal("BeginRemoval is true while a proposal is in flight")
	}
	table.EndProposal(holder)
	if table.BeginRemoval(holder, expired.Add(time.Second-1)) {
		t.Fatal("BeginRemoval is true before the retry interval has passed")
	}
	if !table.BeginRemoval(holder, expired.Add(time.Second)) {
		t.Fatal("BeginRemoval is false after the retry interval")
	}
}

func TestALeaseStaysInTheTableUntilItsHolderLeftTheView(t *testing.T) {
	absent := func(string) (uint64, bool) { return 0, false }
	present := func(string) (uint64, bool) { return holder.Incarnation, true }
	replaced := func(string) (uint64, bool) { return holder.Incarnation + 1, true }
	for name, test := range map[string]struct {
		current  func(string) (uint64, bool)
		removing bool
		stays    bool
	}{
		"present":                            {current: present, stays: true},
		"absent":                             {current: absent},
		"replaced by a later incarnation":    {current: replaced},
		"absent with its removal in flight":  {current: absent, removing: true, stays: true},
		"present with its removal in flight": {current: present, removing: true, stays: true},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			table.Renew(holder, start)
			if test.removing {
				table.BeginRemoval(holder, start.Add(duration))
			}
			table.DropAbsent(test.current)
			if stays := table.Find(holder) != nil; stays != test.stays {
				t.Fatalf("lease in the table after DropAbsent: %v, want %v", stays, test.stays)
			}
		})
	}
}

func TestAcknowledgedVersionsNeverDecrease(t *testing.T) {
	table := newTable()
	table.Renew(holder, start)
	lease := table.Find(holder)
	lease.Acknowledge(&protocol.ControlVersions{Configuration: 4, BackEnds: 9})
	lease.Acknowledge(&protocol.ControlVersions{Configuration: 5, BackEnds: 8, Placement: 2})
	want := leases.Versions{Configuration: 5, BackEnds: 9, Placement: 2}
	if got := table.Status(holder, start).InForce; got != want {
		t.Fatalf("acknowledged versions %+v, want %+v", got, want)
	}
}
