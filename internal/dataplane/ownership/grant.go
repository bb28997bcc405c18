package ownership

import (
	"sync/atomic"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/failure"
)

// Grant admits one turn or call of a session that this node owns.
type Grant struct {
	manager     *Manager
	session     string
	incarnation uint64
	ended       atomic.Bool
}

// Begin admits a turn or call. It fails with `not_owner` when this node does not own the session or is yielding it, and
// with `no_authority` when it may not act as owner at the moment, both with outcome NOT_RUN. The caller must end the
// grant.
func (m *Manager) Begin(session string) (*Grant, error) {
	var grant *Grant
	var code failure.Code
	executed := m.runAndWait(func(s *shell) { grant, code = s.begin(session) })
	switch {
	case !executed:
		return nil, notRun(failure.NoAuthority, "the directory is not running")
	case code == failure.NotOwner:
		return nil, notRun(code, "this node does not own the session")
	case code != "":
		return nil, notRun(code, "this node may not act as owner at the moment")
	default:
		return grant, nil
	}
}

// Valid reports whether the turn may continue. Check it before each request to a back end and before each event that is
// emitted. It becomes false, without a notification, when authority expires, and remains false when authority returns.
func (g *Grant) Valid() bool {
	authority := g.manager.options.Link.Authority()
	return !g.ended.Load() && authority.Self.GetIncarnation() == g.incarnation && authority.Valid()
}

// Incarnation returns this node's incarnation when the turn or call was admitted, under which an epoch is claimed.
func (g *Grant) Incarnation() uint64 { return g.incarnation }

// End reports that the turn or call is over, successful or not. Ownership of a session that is being yielded ends with
// its last grant. Further calls of End have no effect.
func (g *Grant) End() {
	if g.ended.Swap(true) {
		return
	}
	g.manager.post(func(s *shell) { s.handle(directory.GrantEnded{Session: g.session}) })
}
