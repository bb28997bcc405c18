package wire

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Limits on how long a peer may be unresponsive while exchanges with it are in
// flight. A connection is active if an exchange began or an answer arrived within
// activePeriod; one that has only long polls is idle and is checked less often.
const (
	// activePeriod is how long a connection stays active after the last exchange or answer.
	activePeriod = 2 * time.Second
	// activeInterval and idleInterval are the intervals between two checks of all connections,
	// and the times without a frame after which a peer is pinged.
	activeInterval = 150 * time.Millisecond
	idleInterval   = time.Second
	// activePingTimeout and idlePingTimeout are how long a ping may be unanswered.
	activePingTimeout = 450 * time.Millisecond
	idlePingTimeout   = 2 * time.Second
	// stallFactor is the number of intervals since the last check after which this process itself counts as stalled.
	stallFactor = 3
)

// peerActivity is the recent activity of a peer on one connection.
type peerActivity struct {
	// lastReceived is when the last frame arrived, pings included.
	lastReceived time.Time
	// lastActivity is when an exchange last began or an answer last arrived.
	lastActivity time.Time
	// pingedAt is when the unanswered ping was sent; zero without one.
	pingedAt time.Time
}

// recordExchange records a new exchange. If it is the only one in flight, the peer owed no answer before it, so the
// peer counts as responsive as of now.
func (a *peerActivity) recordExchange(now time.Time, only bool) {
	a.lastActivity = now
	if only {
		a.reset(now)
	}
}

// recordFrame records a frame received from the peer.
func (a *peerActivity) recordFrame(now time.Time, answer bool) {
	a.reset(now)
	if answer {
		a.lastActivity = now
	}
}

// reset makes the peer count as responsive as of now.
func (a *peerActivity) reset(now time.Time) {
	a.lastReceived = now
	a.pingedAt = time.Time{}
}

func (a *peerActivity) active(now time.Time) bool { return now.Sub(a.lastActivity) < activePeriod }

// check reports whether a peer that owes answers is to be pinged. If the peer has been unresponsive for too long,
// unresponsiveFor is not 0.
func (a *peerActivity) check(now time.Time) (ping bool, unresponsiveFor time.Duration) {
	interval, limit := idleInterval, idlePingTimeout
	if a.active(now) {
		interval, limit = activeInterval, activePingTimeout
	}
	switch {
	case !a.pingedAt.IsZero():
		if now.Sub(a.pingedAt) >= limit {
			return false, now.Sub(a.lastReceived)
		}
		return false, 0
	case now.Sub(a.lastReceived) >= interval:
		a.pingedAt = now
		return true, 0
	default:
		return false, 0
	}
}

// checkActivity checks the connection for the pool: it pings the peer while exchanges
// are in flight, breaks the connection of an unresponsive peer, and closes one that was
// not used for the idle timeout. It reports whether to check again after activeInterval.
func (c *clientConnection) checkActivity(now time.Time, idle time.Duration, stalled bool) (soon bool) {
	c.mutex.Lock()
	busy := len(c.exchanges) > 0
	unused := !busy && now.Sub(c.lastUse) > idle
	var ping bool
	var unresponsiveFor time.Duration
	switch {
	case stalled:
		c.activity.reset(now)
	case busy:
		ping, unresponsiveFor = c.activity.check(now)
	}
	soon = busy && c.activity.active(now)
	c.mutex.Unlock()
	switch {
	case unresponsiveFor > 0:
		c.fail(&UnresponsivePeerError{For: unresponsiveFor})
	case unused:
		c.fail(&IdleError{})
	case ping:
		_ = c.writer.write(&protocol.Frame{Kind: protocol.FrameKind_FRAME_PING})
	}
	return soon
}
