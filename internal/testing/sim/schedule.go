package sim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Plan is what a schedule is drawn from.
type Plan struct {
	// Kinds may name a kind several times to make it likelier.
	Kinds []FaultKind
	// Groups are the machines that act together (a core, the stores). The targets of a fault are of one group.
	Groups [][]Address
	// Count is the number of faults between Begin and End.
	Count      int
	Begin, End time.Duration
	// MinimumDuration and MaximumDuration bound how long a fault lasts.
	MinimumDuration, MaximumDuration time.Duration
}

// multipleTargetsOneIn: one fault in so many strikes more than one machine of a group at once.
const multipleTargetsOneIn = 4

// GenerateSchedule draws a schedule, ordered by time.
func GenerateSchedule(random *rand.Rand, plan Plan) []Fault {
	faults := make([]Fault, 0, plan.Count)
	for range plan.Count {
		faults = append(faults, plan.draw(random))
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

func (p Plan) draw(random *rand.Rand) Fault {
	group := p.Groups[random.IntN(len(p.Groups))]
	shuffled := slices.Clone(group)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	fault := Fault{
		At:       p.Begin + time.Duration(random.Int64N(int64(p.End-p.Begin)+1)),
		Kind:     p.Kinds[random.IntN(len(p.Kinds))],
		Duration: p.MinimumDuration + time.Duration(random.Int64N(int64(p.MaximumDuration-p.MinimumDuration)+1)),
	}
	targetCount := 1
	if random.IntN(multipleTargetsOneIn) == 0 {
		targetCount = 1 + random.IntN(len(shuffled))
	}
	switch fault.Kind {
	case FaultDiskLoss, FaultReplace, FaultSyncFailure, FaultFullDisk:
		// One at a time; MayApply of a suite may still reject it.
		targetCount = 1
	case FaultOutboundPartition, FaultInboundPartition:
		targetCount = 1
		if random.IntN(2) == 0 && len(shuffled) > 1 {
			fault.Peers = shuffled[1 : 2+random.IntN(len(shuffled)-1)]
		}
	case FaultMessageLoss:
		targetCount = 0
	}
	fault.Targets = shuffled[:targetCount]
	return fault
}

// Shrink returns a small subset of a schedule for which fails still returns true, leaving out halves,
// quarters and single faults in turn. It calls fails at most attempts times; the schedule itself is assumed to fail.
func Shrink(faults []Fault, attempts int, fails func([]Fault) bool) []Fault {
	for size := max(len(faults)/2, 1); len(faults) > 0; {
		shorter, shrunk := dropOneChunk(faults, size, &attempts, fails)
		faults = shorter
		switch {
		case attempts <= 0:
			return faults
		case shrunk:
			size = min(size, max(len(faults)/2, 1))
		case size > 1:
			size /= 2
		default:
			return faults
		}
	}
	return faults
}

// dropOneChunk leaves out the first chunk that is not needed.
func dropOneChunk(faults []Fault, size int, attempts *int, fails func([]Fault) bool) ([]Fault, bool) {
	for start := 0; start < len(faults); start += size {
		if *attempts <= 0 {
			return faults, false
		}
		*attempts--
		shorter := slices.Concat(faults[:start], faults[min(start+size, len(faults)):])
		if fails(shorter) {
			return shorter, true
		}
	}
	return faults, false
}
