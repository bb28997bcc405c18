package ownershipsuite

import (
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	drainGrace = 8 * time.Second
	drainWait  = time.Second
)

// beginDrain stops the process gently: hand over, release the lease, exit. The machine starts it again.
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
	if f.draining && !f.released && (f.directory.Drained() || f.waitedLongEnough()) {
		f.environment.Tracef("drained")
		f.stop()
	}
}

// waitedLongEnough is what the shell decides when the partition could not be handed off in time.
func (f *front) waitedLongEnough() bool {
	if f.directory.OwnedCount() > 0 {
		return false
	}
	if f.givenUpAt.IsZero() {
		f.givenUpAt = f.now()
	}
	return f.now().Sub(f.givenUpAt) >= drainWait
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
