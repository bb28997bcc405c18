package ownershipsuite

import (
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/lease"
	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	renewInterval = time.Second
	renewTimeout  = time.Second
)

func (f *front) renew() {
	if f.released || f.stayOut {
		return
	}
	renewal, expired := f.holder.BeginRenewal(f.now())
	if expired && f.suite.options.Mutation == MutationStayOut {
		f.stayOut = true
		return
	}
	f.syncIncarnation()
	f.contacted = f.contacted && !expired
	if !f.contacted && f.suite.options.Mutation != MutationNoContact {
		f.contact()
		return
	}
	f.call(coreAddress, &protocol.RenewLeaseRequest{Node: f.self()}, renewTimeout, func(body any) {
		answer, _ := body.(*protocol.RenewLeaseResponse)
		f.renewed(renewal, answer)
	})
}

// contact shows that answers of the core arrive, before a lease is asked for
// that others would wait for.
func (f *front) contact() {
	sentAt := f.now()
	f.call(coreAddress, &protocol.CoreStatusRequest{}, renewTimeout, func(body any) {
		// An answer that lay here while the process was frozen shows nothing.
		if _, answered := body.(*protocol.CoreStatusResponse); answered && f.now().Sub(sentAt) <= renewTimeout {
			f.contacted = true
			f.suite.rules.acted(f.environment.Address())
			f.renew()
			return
		}
		f.environment.After(100*time.Millisecond, f.renew)
	})
}

func (f *front) renewed(renewal lease.Renewal, answer *protocol.RenewLeaseResponse) {
	wait := 100 * time.Millisecond
	f.contacted = answer != nil || f.held()
	if answer != nil {
		f.suite.rules.acted(f.environment.Address())
	}
	switch {
	case answer == nil:
	case !answer.GetGranted():
		f.holder.Rejected(f.now(), renewal)
	default:
		duration := time.Duration(answer.GetDurationMillis()) * time.Millisecond
		latest := answer.GetLatest().GetMembership()
		if f.holder.Granted(f.now(), renewal, duration, latest) {
			wait = max(0, renewal.SentAt.Add(renewInterval).Sub(f.now()))
		}
		if latest > f.viewKnown && f.now().Sub(f.pollStarted) > renewInterval {
			// The poll under way was not answered although there is something new; it may have been lost.
			f.finish(f.pollCall, nil)
		}
	}
	f.syncIncarnation()
	f.handle(directory.Ticked{})
	f.environment.After(wait, f.renew)
}

func (f *front) syncIncarnation() {
	if incarnation := f.holder.Incarnation(); incarnation != f.directory.Self().Incarnation {
		f.suite.report.Lapses++
		f.execute(f.directory.Handle(f.moment(), directory.Reincarnated{Incarnation: incarnation}))
	}
}

func (f *front) poll() {
	request := &protocol.PollControlRequest{
		Node: string(f.environment.Address()), WaitMillis: uint32(longPoll.Milliseconds()),
		Known: &protocol.ControlVersions{Membership: f.viewKnown},
	}
	f.pollStarted = f.now()
	f.pollCall = f.call(coreAddress, request, longPoll+time.Second, func(body any) {
		answer, _ := body.(*protocol.PollControlResponse)
		wait := 20 * time.Millisecond
		if answer == nil {
			wait = 200 * time.Millisecond
		}
		f.polled(answer.GetMembership())
		f.environment.After(wait, f.poll)
	})
}

func (f *front) polled(membership *protocol.MembershipView) {
	if membership.GetVersion() <= f.viewKnown {
		return
	}
	f.viewKnown = membership.GetVersion()
	f.suite.meter.view(f.suite.world.Elapsed(), f.environment.Address(), membership)
	if f.deaf() {
		return
	}
	f.handle(directory.ViewChanged{View: f.suite.viewOfMembership(membership)})
	f.holder.ViewApplied(membership.GetVersion())
}

// deaf is true for the front node that ignores views under a mutation.
func (f *front) deaf() bool {
	return f.suite.options.Mutation == MutationKeepPartition && f.environment.Address() == f.suite.fronts[0] &&
		f.directory.PartitionSize() > 0
}

// viewOfMembership returns the shared view of a membership version.
func (s *suite) viewOfMembership(membership *protocol.MembershipView) directory.View {
	view, known := s.views[membership.GetVersion()]
	if !known {
		view = directory.ViewFromMembership(membership, ring.DefaultVirtualNodes)
		s.views[membership.GetVersion()] = view
	}
	return view
}
