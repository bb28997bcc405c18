package backends

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/trainingstep"
)

// RejectedVersionTTL is how long a server's statement that it does not have a version takes precedence over its
// announcement, which may be older than the statement.
const RejectedVersionTTL = 5 * time.Second

// VersionPin is the version of a model's weights that is pinned for a training step.
type VersionPin struct {
	Step    string
	Model   string
	Version uint64
}

// Announcements returns the weight versions that the servers of a group announce, without draining servers.
func (b *Set) Announcements(group string) []trainingstep.Announcement {
	var all []trainingstep.Announcement
	for _, server := range b.ByGroup[group] {
		if !server.draining.Load() {
			all = append(all, server.description.Load().GetModelVersions())
		}
	}
	return all
}

// HasVersion reports whether some server of a group that is not draining has the pinned version.
func (b *Set) HasVersion(group string, pin *VersionPin, now time.Time) bool {
	return slices.ContainsFunc(b.ByGroup[group], func(server *Server) bool {
		return !server.draining.Load() && pin.isServedBy(server, now)
	})
}

// isServedBy reports whether a server announces the pinned version and has not rejected it recently.
func (p *VersionPin) isServedBy(server *Server, now time.Time) bool {
	return server.description.Load().GetModelVersions()[p.Model] == p.Version && !server.hasRejected(p.Version, now)
}

// split partitions servers into those that have the pinned version and the others.
func (p *VersionPin) split(servers []*Server, now time.Time) (pinned, others []*Server) {
	for _, server := range servers {
		if p.isServedBy(server, now) {
			pinned = append(pinned, server)
		} else {
			others = append(others, server)
		}
	}
	return pinned, others
}

// MarkVersionRejected records the server's statement that it does not have a version.
func (b *Server) MarkVersionRejected(version uint64, now time.Time) {
	b.mutex.Lock()
	b.rejectedVersion, b.rejectedUntil = version, now.Add(RejectedVersionTTL)
	b.mutex.Unlock()
}

func (b *Server) hasRejected(version uint64, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.rejectedVersion == version && now.Before(b.rejectedUntil)
}
