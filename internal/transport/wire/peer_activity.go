package wire

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// How long a peer may be silent while exchanges with it are under way. A
// connection is active while an exchange was begun or an answer came lately;
// one that only holds long polls is looked at more seldom.
const (
	// activeFor is how long a connection stays active after the last exchange or answer.
	activeFor = 2 * time.Second
	// activeInterval and restInterval are the times between two looks at all connections,
	// and the silence after which a peer is pinged.
	activeInterval = 150 * time.Millisecond
	restInterval   = time.Second
	// activePingLimit and restPingLimit are how long a ping may be unanswered.
	activePingLimit = 450 * time.Millisecond
	restPingLimit   = 2 * time.Second
	// stallFactor is how late a look may be before this process must itself have stood still.
	stallFactor = 3
)

// silence is what is known of a peer's silence on one connection.
type silence struct {
	// heardAt is when the last frame came, pings included.
	heardAt time.Time
	// activeAt is when an exchange was last begun or an answer last came.
	activeAt time.Time
	// pingedAt is when the ping that has no answer yet was sent; zero without one.
	pingedAt time.Time
}

// began notes a new exchange. Before the only one under way the peer owed nothing.
func (s *silence) began(now time.Time, only bool) {
	s.activeAt = now
	if only {
		s.excuse(now)
	}
}

// heard notes a frame of the peer.
func (s *silence) heard(now time.Time, answer bool) {
	s.excuse(now)
	if answer {
		s.activeAt = now
	}
}

// excuse takes the peer for heard now.
func (s *silence) excuse(now time.Time) {
	s.heardAt = now
	s.pingedAt = time.Time{}
}

func (s *silence) active(now time.Time) bool { return now.Sub(s.activeAt) < activeFor }

// look decides whether a peer that owes answers is to be pinged, or was silent for too long.
func (s *silence) look(now time.Time) (ping bool, silentFor time.Duration) {
	interval, limit := restInterval, restPingLimit
	if s.active(now) {
		interval, limit = activeInterval, activePingLimit
	}
	switch {
	case !s.pingedAt.IsZero():
		if now.Sub(s.pingedAt) >= limit {
			return false, now.Sub(s.heardAt)
		}
		return false, 0
	case now.Sub(s.heardAt) >= interval:
		s.pingedAt = now
		return true, 0
	default:
		return false, 0
	}
}

// check is called by the pool at each look: it pings while exchanges are under
// way, breaks a silent connection and closes an idle one. It reports whether the
// connection has to be looked at again soon.
func (c *clientConnection) check(now time.Time, idle time.Duration, stalled bool) (soon bool) {
	c.mutex.Lock()
	busy := len(c.exchanges) > 0
	unused := !busy && now.Sub(c.lastUse) > idle
	var ping bool
	var silentFor time.Duration
	switch {
	case stalled:
		c.silence.excuse(now)
	case busy:
		ping, silentFor = c.silence.look(now)
	}
	soon = busy && c.silence.active(now)
	c.mutex.Unlock()
	switch {
	case silentFor > 0:
		c.breakWith(&UnresponsivePeerError{Limit: silentFor})
	case unused:
		c.breakWith(&IdleError{})
	case ping:
		_ = c.writer.write(&protocol.Frame{Kind: protocol.FrameKind_FRAME_PING})
	}
	return soon
}
