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

// Begin admits a turn or call. It fails with `not_owner` when this node does not
// own the session or is yielding it, and with `no_authority` when it may not act
// as owner at the moment, both with outcome NOT_RUN. The grant must be ended.
func (m *Manager) Begin(session string) (*Grant, error) {
	var grant *Grant
	var code failure.Code
	worked := m.runAndWait(func(s *shell) { grant, code = s.begin(session) })
	switch {
	case !worked:
		return nil, notRun(failure.NoAuthority, "the directory is not running")
	case code == failure.NotOwner:
		return nil, notRun(code, "this node does not own the session")
	case code != "":
		return nil, notRun(code, "this node may not act as owner at the moment")
	default:
		return grant, nil
	}
}

// Valid reports whether the turn may continue. Check it before each request
// to a back end and before each event that is emitted. It becomes false when authority
// expires, without any notification, and stays false when authority returns.
func (g *Grant) Valid() bool {
	authority := g.manager.options.Link.Authority()
	return !g.ended.Load() && authority.Self.GetIncarnation() == g.incarnation && authority.Valid()
}

// Incarnation is this node's incarnation under which the grant was given; under which an epoch is claimed.
func (g *Grant) Incarnation() uint64 { return g.incarnation }

// End reports that the turn or call is over, however it ended; a session that is being yielded
// ends with its last grant. Further calls have no effect.
func (g *Grant) End() {
	if g.ended.Swap(true) {
		return
	}
	g.manager.post(func(s *shell) { s.handle(directory.GrantEnded{Session: g.session}) })
}
