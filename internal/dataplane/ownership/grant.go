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
// own the session or is giving it up, and with `no_authority` when it may not act
// as owner at the moment. A grant must be ended.
func (m *Manager) Begin(session, _ string) (*Grant, error) {
	var grant *Grant
	var code failure.Code
	worked := m.run(func(s *shell) { grant, code = s.begin(session) })
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

// Valid reports whether the turn may go on. It is to be asked before each request
// to a back end and before each event passed on. It becomes false when authority
// ends, also in silence, and stays false when authority comes back.
func (g *Grant) Valid() bool {
	authority := g.manager.options.Link.Authority()
	return !g.ended.Load() && authority.Self.GetIncarnation() == g.incarnation && authority.Valid()
}

// Incarnation is this node's incarnation under which the grant was given; name it when claiming an epoch.
func (g *Grant) Incarnation() uint64 { return g.incarnation }

// End says that the turn is settled; a session that is being given up goes after
// its last grant. Further calls have no effect.
func (g *Grant) End() {
	if g.ended.Swap(true) {
		return
	}
	g.manager.post(func(s *shell) { s.handle(directory.GrantEnded{Session: g.session}) })
}
