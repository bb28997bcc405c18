package trainingstep

import "math"

const (
	// StepShare is the fraction of a server's slots that generations of training steps may use. The rest stays free, so
	// that a live request gets a slot at once: running generations are not preempted for it and may be long.
	StepShare = 0.75
	// ContendedStepShare is that fraction while live requests wait or run: a step still progresses, and live requests
	// get most of the slots.
	ContendedStepShare = 0.25

	// defaultSlots is assumed for a server whose number of slots is unknown.
	defaultSlots = 8
)

// ServerSlots is the known use of the slots of one server.
type ServerSlots struct {
	// Slots is the maximum number of concurrent requests of the server; 0 means unknown.
	Slots uint32
	// Others counts the known requests at the server other than generations of this front node.
	Others uint32
	// Live counts the live requests of this front node at the server.
	Live uint32
}

// ForSteps returns the maximum number of concurrent generations of training steps that one of several front nodes may
// run at the server. Each front node gets an equal part of the share, at least one slot, as long as its generations and
// all other requests together use no more than StepShare of the slots.
func (s ServerSlots) ForSteps(frontNodes int, liveWaits bool) int {
	slots := float64(s.Slots)
	if s.Slots == 0 {
		slots = defaultSlots
	}
	share := StepShare
	if liveWaits || s.Live > 0 {
		share = ContendedStepShare
	}
	own := max(1, int(share*slots/float64(max(frontNodes, 1))))
	return max(0, min(own, int(math.Floor(StepShare*slots))-int(s.Others)))
}
