package audit

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

const (
	// drainLimit is how long requests may still reach a server after its leaving was acknowledged.
	drainLimit = 2 * time.Second
	// inForceLimit is how long after the acknowledgement a bundle may not be in force everywhere.
	inForceLimit = 2 * time.Second
)

// checkDrains looks for requests that reached a server more than two seconds
// after a front node acknowledged its leaving and before it came back.
func checkDrains(file *indexedEvidence, f *finder) {
	acknowledged := map[string]time.Time{}
	for _, entry := range file.Journal {
		switch entry.Phase {
		case standin.PhaseDrainAcknowledged:
			acknowledged[entry.Server] = entry.At()
			f.examine(1)
		case standin.PhaseReady:
			delete(acknowledged, entry.Server)
		case standin.PhaseStarted, standin.PhaseRejected:
			left, draining := acknowledged[entry.Server]
			if after := entry.ArrivedAt().Sub(left); draining && after > drainLimit {
				f.found(entry.Server, fmt.Sprintf("request %s came %s after the acknowledgement", entry.RequestID,
					after.Round(time.Millisecond)))
			}
		}
	}
}

// checkBundles looks for a node that went back to an older bundle, for two
// contents acknowledged under one version and for acknowledged versions that a later listing lacks.
func checkBundles(file *indexedEvidence, f *finder) {
	checkVersionsOfOwners(file, f)
	contents := map[uint64]string{}
	for _, order := range file.Orders {
		if !order.acknowledged(OrderPut) {
			continue
		}
		f.examine(1)
		if former, taken := contents[order.Version]; taken && former != order.Content {
			f.found(fmt.Sprintf("bundle %d", order.Version), "two contents were acknowledged")
		}
		contents[order.Version] = order.Content
	}
	for _, listing := range file.Orders {
		if listing.acknowledged(OrderList) {
			f.examine(1)
			checkListing(file, &listing, f)
		}
	}
}

// checkListing compares a listing with what was acknowledged before it was requested.
func checkListing(file *indexedEvidence, listing *Order, f *finder) {
	for _, order := range file.Orders {
		if order.Outcome != OrderAcknowledged || !order.AnsweredAt.Before(listing.SentAt) {
			continue
		}
		subject := fmt.Sprintf("bundle %d", order.Version)
		switch {
		case order.Kind == OrderPut && listing.Newest < order.Version:
			f.found(subject, fmt.Sprintf("acknowledged, a later listing names %d as the newest", listing.Newest))
		case order.Kind == OrderPut && len(listing.Listed) > 0 && order.Version > slices.Min(listing.Listed) &&
			!slices.Contains(listing.Listed, order.Version):
			f.found(subject, "acknowledged and missing from a later listing")
		case order.Kind == OrderSign && listing.Active < order.Version:
			f.found(subject, fmt.Sprintf("signed off, a later listing names %d as the active one", listing.Active))
		}
	}
}

// checkOrders finds orders that were acknowledged and rejected when sent again, or the other way round.
func checkOrders(file *indexedEvidence, f *finder) {
	outcomes := map[string]map[OrderOutcome]bool{}
	for _, order := range file.Orders {
		if order.ID == "" {
			continue
		}
		if outcomes[order.ID] == nil {
			outcomes[order.ID] = map[OrderOutcome]bool{}
		}
		outcomes[order.ID][order.Outcome] = true
	}
	for _, id := range slices.Sorted(maps.Keys(outcomes)) {
		f.examine(1)
		if outcomes[id][OrderAcknowledged] && outcomes[id][OrderRejected] {
			f.found(id, "was acknowledged and refused")
		}
	}
}

// checkOwners looks for a request of an older owner that came to any back end,
// and was run, after one of a newer owner of the same session had been run.
func checkOwners(file *indexedEvidence, f *finder) {
	newest := map[string]standin.Entry{}
	for _, entry := range file.Journal {
		if entry.Phase != standin.PhaseStarted || entry.Session == "" {
			continue
		}
		f.examine(1)
		former, known := newest[entry.Session]
		if known && entry.Epoch < former.Epoch && entry.ArrivedMicros > former.AtMicros {
			f.found(entry.Session, fmt.Sprintf("request %s of epoch %d ran at %s after one of epoch %d at %s",
				entry.RequestID, entry.Epoch, runLocation(entry), former.Epoch, runLocation(former)))
		}
		if !known || entry.Epoch > former.Epoch {
			newest[entry.Session] = entry
		}
	}
}

// returnLimit is how long service may take to be back after machines returned.
const returnLimit = 12 * time.Second

func checkRecoveries(file *indexedEvidence, f *finder) {
	for _, back := range file.Recoveries {
		f.examine(1)
		if !back.Served || back.Took > returnLimit {
			f.found(back.After, fmt.Sprintf("took %s, served %v", back.Took.Round(time.Millisecond), back.Served))
		}
	}
}

// checkVersionsOfOwners compares each turn with those that its owner had
// answered before the turn was sent. A candidate serves beside the active
// bundle, so what it served is compared apart; no program may change sides.
func checkVersionsOfOwners(file *indexedEvidence, f *finder) {
	byOwner := map[string][]*caller.Record{}
	sides := map[string]bool{}
	file.requests(func(record *caller.Record) {
		if record.Owner == "" || record.BundleVersion == 0 || len(record.Exchanges) != 1 {
			return
		}
		candidate := slices.Contains(file.Candidates, record.BundleVersion)
		owner := record.Owner
		if candidate {
			owner += " (candidate)"
		}
		byOwner[owner] = append(byOwner[owner], record)
		if side, seen := sides[record.Program]; seen && side != candidate {
			f.found(record.Program, "served by the candidate and by the active bundle")
		}
		sides[record.Program] = candidate
	})
	for _, owner := range slices.Sorted(maps.Keys(byOwner)) {
		checkVersionsOf(owner, byOwner[owner], f)
	}
}

func checkVersionsOf(owner string, records []*caller.Record, f *finder) {
	bySending := slices.Clone(records)
	slices.SortStableFunc(bySending, func(a, b *caller.Record) int { return a.SentAt().Compare(b.SentAt()) })
	byAnswer := slices.Clone(records)
	slices.SortStableFunc(byAnswer, func(a, b *caller.Record) int { return a.AnsweredAt.Compare(b.AnsweredAt) })
	next := 0
	newest := uint64(0)
	for _, record := range bySending {
		for next < len(byAnswer) && byAnswer[next].AnsweredAt.Before(record.SentAt()) {
			newest = max(newest, byAnswer[next].BundleVersion)
			next++
		}
		f.examine(1)
		if record.BundleVersion < newest {
			f.found(owner, fmt.Sprintf("request %s served by bundle %d after bundle %d", record.RequestID, record.BundleVersion,
				newest))
		}
	}
}

// checkBundleLate looks for turns sent more than two seconds after a bundle
// was acknowledged as in force and served by an older one, outside disturbed times.
func checkBundleLate(file *indexedEvidence, f *finder) {
	var signed []Order
	for _, order := range file.Orders {
		if order.acknowledged(OrderSign) {
			signed = append(signed, order)
		}
	}
	file.requests(func(record *caller.Record) {
		if record.BundleVersion == 0 || len(record.Exchanges) != 1 {
			return
		}
		for _, order := range signed {
			due := order.AnsweredAt.Add(inForceLimit)
			if !record.SentAt().After(due) {
				continue
			}
			f.examine(1)
			if record.BundleVersion >= order.Version {
				continue
			}
			if !file.coreFaultDuring(order.AnsweredAt, due) && !file.faultDuring(record, order.AnsweredAt, record.SentAt()) {
				f.found(record.RequestID, fmt.Sprintf("served by bundle %d, %d had been in force for %s",
					record.BundleVersion, order.Version, record.SentAt().Sub(order.AnsweredAt).Round(time.Millisecond)))
			}
		}
	})
}
