// Package frontloss measures what the loss of one front node costs: which
// sessions were kept, which had to be rebuilt by a new owner, and how long it
// took until all were registered again.
package frontloss

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
)

// Kill is the loss of one front node.
type Kill struct {
	// Victim and its address decide what it owned and what it held.
	Victim  string
	Members []ring.Member
	At      time.Time
	// Until is the end of the time that is looked at after the loss.
	Until time.Time
	// Reregistered is the time until no session waited to be registered again; negative when that was not seen.
	Reregistered time.Duration
	// Salvaged counts the sessions registered again with a new holder meanwhile.
	Salvaged int
}

// Cost is what one loss cost.
type Cost struct {
	// Owned sessions were owned by the victim; they have to be rebuilt in any case.
	Owned int
	// Held sessions were registered at the victim and owned elsewhere.
	Held int
	// HeldKept of them went on under the same owner and epoch.
	HeldKept int
	// OthersRebuilt are sessions neither owned nor held by the victim that were rebuilt all the same.
	OthersRebuilt int
	// Refused counts the requests that were not run meanwhile.
	Refused int
}

// Rebuilt counts the sessions that were rebuilt although their owner lived.
func (c Cost) Rebuilt() int { return c.Held - c.HeldKept + c.OthersRebuilt }

// Add adds another cost.
func (c *Cost) Add(other Cost) {
	c.Owned += other.Owned
	c.Held += other.Held
	c.HeldKept += other.HeldKept
	c.OthersRebuilt += other.OthersRebuilt
	c.Refused += other.Refused
}

// Measure compares the last answer of each session before the loss with its
// last answer after it. Sessions that were not seen on both sides do not count.
func Measure(kill Kill, virtualPlaces int, records []*caller.Record) Cost {
	places := ring.New(kill.Members, virtualPlaces)
	before := map[string]*caller.Record{}
	after := map[string]*caller.Record{}
	var cost Cost
	for _, record := range byAnswer(records) {
		if record.Operation == caller.OperationRead {
			continue
		}
		sent := record.SentAt()
		if record.Outcome == caller.OutcomeNotRun && sent.After(kill.At) && sent.Before(kill.Until) {
			cost.Refused++
		}
		if record.Outcome != caller.OutcomeAnswered || record.Epoch == 0 {
			continue
		}
		switch {
		case record.AnsweredAt.Before(kill.At):
			before[record.Session] = record
		case sent.After(kill.At) && sent.Before(kill.Until):
			after[record.Session] = record
		}
	}
	for session, former := range before {
		if later := after[session]; later != nil {
			cost.count(kill.Victim, places, former, later)
		}
	}
	return cost
}

func byAnswer(records []*caller.Record) []*caller.Record {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b *caller.Record) int { return a.AnsweredAt.Compare(b.AnsweredAt) })
	return sorted
}

func (c *Cost) count(victim string, places *ring.Ring, former, later *caller.Record) {
	kept := former.Epoch == later.Epoch && former.Owner == later.Owner
	holder, _ := places.Holder(ring.Key(former.Session))
	switch {
	case former.Owner == victim:
		c.Owned++
	case holder.Name == victim:
		c.Held++
		if kept {
			c.HeldKept++
		}
	case !kept:
		c.OthersRebuilt++
	}
}
