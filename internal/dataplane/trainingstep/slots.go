package trainingstep

import "math"

const (
	// IdleShare is the part of a server's slots that generations of training steps may take. The rest stays free, so
	// that a live request that comes finds a slot at once: a generation that runs is not interrupted for it and may be long.
	IdleShare = 0.75
	// LiveShare is that part while live requests wait or run: it keeps a step going and leaves the live ones most of the server.
	LiveShare = 0.25

	defaultSlots = 8
)

// ServerPlaces is what is known of the slots of one server.
type ServerSlots struct {
	// Slots is the number of requests that the server runs at once; zero is unknown.
	Slots uint32
	// Others counts what is at the server, as far as is known, beside the generations of this front node.
	Others uint32
	// Live counts the live requests of this front node at the server.
	Live uint32
}

// Places is how many generations of training steps one of several front nodes
// may have at a server. Each front node takes its part of the share, at least
// one, and what others have at the server leaves room for no more than IdleShare in all.
func Slots(server ServerSlots, frontNodes int, liveWaits bool) int {
	slots := float64(server.Slots)
	if server.Slots == 0 {
		slots = defaultSlots
	}
	share := IdleShare
	if liveWaits || server.Live > 0 {
		share = LiveShare
	}
	own := max(1, int(share*slots/float64(max(frontNodes, 1))))
	return max(0, min(own, int(math.Floor(IdleShare*slots))-int(server.Others)))
}
