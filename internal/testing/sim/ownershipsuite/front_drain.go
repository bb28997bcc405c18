package ownershipsuite

import (
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	drainGrace     = 8 * time.Second
	handOffTimeout = time.Second
)

// beginDrain shuts the process down gracefully: hand off, release the lease, exit. The machine starts it again.
func (f *front) beginDrain() {
	if f.draining {
		return
	}
	f.environment.Tracef("drains")
	f.draining = true
	f.drainingSince = f.now()
	f.handle(directory.DrainBegun{})
	f.environment.After(0, f.renew)
	f.environment.After(drainGrace, f.stop)
}

func (f *front) checkDrained() {
	if f.draining && !f.released && (f.directory.Drained() || f.drainTimedOut()) {
		f.environment.Tracef("drained")
		f.stop()
	}
}

// drainTimedOut reports whether the partition could not be handed off in time, as the real shell decides.
func (f *front) drainTimedOut() bool {
	if f.directory.OwnedCount() > 0 {
		return false
	}
	if f.sessionsYieldedAt.IsZero() {
		f.sessionsYieldedAt = f.now()
	}
	return f.now().Sub(f.sessionsYieldedAt) >= handOffTimeout
}

func (f *front) stop() {
	if f.released {
		return
	}
	f.suite.report.Drains = append(f.suite.report.Drains, f.now().Sub(f.drainingSince))
	f.released = true
	self := f.self()
	f.holder.Released()
	f.environment.Send(coreAddress, packet{id: 0, body: &protocol.RenewLeaseRequest{Node: self, Release: true}})
	f.environment.After(10*time.Millisecond, func() { f.environment.Exit(nil) })
}
