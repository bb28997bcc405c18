// Package frontloss measures the cost of the loss of one front node: which sessions continued, which a new owner had to
// rebuild, and the time until all were registered again.
package frontloss

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
)

// Loss is the loss of one front node.
type Loss struct {
	// Lost is the name of the lost node, one of Members.
	Lost    string
	Members []ring.Member
	At      time.Time
	// Until is the end of the measured time after the loss.
	Until time.Time
	// Reregistered is the time until no session waited for reregistration; negative when that was not observed.
	Reregistered time.Duration
	// Salvaged counts the sessions registered again with a new holder meanwhile.
	Salvaged int
}

// Cost is the cost of one loss, in sessions and requests. Its field names are those in kill-one.json.
type Cost struct {
	// Owned sessions were owned by the lost node; they have to be rebuilt in any case.
	Owned int
	// Held sessions were registered at the lost node and owned elsewhere.
	Held int
	// HeldKept of them continued under the same owner and epoch.
	HeldKept int
	// OthersRebuilt are sessions neither owned by nor registered at the lost node that were rebuilt all the same.
	OthersRebuilt int
	// Refused counts the requests that were not run meanwhile.
	Refused int
}

// Rebuilt counts the sessions that were rebuilt although their owner lived.
func (c Cost) Rebuilt() int {
	return c.Held - c.HeldKept + c.OthersRebuilt
}

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
func Measure(loss Loss, virtualNodes int, records []*caller.Record) Cost {
	hashRing := ring.New(loss.Members, virtualNodes)
	before := map[string]*caller.Record{}
	after := map[string]*caller.Record{}
	var cost Cost
	for _, record := range byAnswer(records) {
		if record.Operation == caller.OperationRead {
			continue
		}
		sent := record.SentAt()
		if record.Outcome == caller.OutcomeNotRun && sent.After(loss.At) && sent.Before(loss.Until) {
			cost.Refused++
		}
		if record.Outcome != caller.OutcomeAnswered || record.Epoch == 0 {
			continue
		}
		switch {
		case record.AnsweredAt.Before(loss.At):
			before[record.Session] = record
		case sent.After(loss.At) && sent.Before(loss.Until):
			after[record.Session] = record
		}
	}
	for session, former := range before {
		if later := after[session]; later != nil {
			cost.count(loss.Lost, hashRing, former, later)
		}
	}
	return cost
}

func byAnswer(records []*caller.Record) []*caller.Record {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b *caller.Record) int { return a.AnsweredAt.Compare(b.AnsweredAt) })
	return sorted
}

func (c *Cost) count(lost string, hashRing *ring.Ring, former, later *caller.Record) {
	unchanged := former.Epoch == later.Epoch && former.Owner == later.Owner
	holder, _ := hashRing.Holder(ring.Key(former.Session))
	switch {
	case former.Owner == lost:
		c.Owned++
	case holder.Name == lost:
		c.Held++
		if unchanged {
			c.HeldKept++
		}
	case !unchanged:
		c.OthersRebuilt++
	}
}
